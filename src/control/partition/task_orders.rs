//! Selection of the next order for an attempt.

use crate::model::{ExitReason, Job, TaskAttempt, TaskPhase, UnsavedChange};
use crate::wire::Order;

/// Returns the start or stop order that the worker should have and, by the status of the attempt, has
/// not followed. Returns `None` if the order must wait for the record of a loan or of a warm
/// reservation.
pub(super) fn start_or_stop(job_id: &str, attempt: &TaskAttempt) -> Option<Order> {
    match (attempt.phase, attempt.stop) {
        (TaskPhase::Ended(_), _) => None,
        (TaskPhase::Saving, Some(grace_s)) if grace_s > 0.0 => None,
        (_, Some(_)) if attempt.stop_awaits_record => None,
        (_, Some(grace_s)) => Some(Order::stop(job_id, attempt, grace_s)),
        (TaskPhase::Sent, None) if attempt.start_awaits_record => None,
        (TaskPhase::Sent, None) => Some(Order::run(job_id, attempt)),
        _ => None,
    }
}

/// Returns whether a start or stop order for the attempt is still to be sent, now or, for a start, once
/// its record is written.
pub(super) fn is_start_or_stop_due(attempt: &TaskAttempt) -> bool {
    match (attempt.phase, attempt.stop) {
        (TaskPhase::Ended(_), _) => false,
        (TaskPhase::Saving, Some(grace_s)) => grace_s <= 0.0,
        (_, Some(_)) if attempt.stop_awaits_record => false,
        (phase, stop) => stop.is_some() || phase == TaskPhase::Sent,
    }
}

/// Returns whether the outcome of an attempt that has ended with this reason cannot be lost, so that its worker, which
/// holds the only other copy, may discard (`reap`) it.
pub(super) fn is_outcome_safe(job: &Job, attempt: &TaskAttempt, reason: ExitReason) -> bool {
    reason != ExitReason::Done
        || job.end.is_some()
        || job.recorded_as_done(attempt.key.task)
        || (job.unsaved == UnsavedChange::Nothing && !job.saving)
}
