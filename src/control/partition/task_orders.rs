//! Which order an attempt needs next.

use crate::model::{ExitReason, Job, TaskAttempt, TaskPhase, UnsavedChange};
use crate::wire::Order;

/// The order to start or stop an attempt that its worker should have and, by its status, has not
/// followed. None for one that waits for the record of a loan or of a warm reservation.
pub(super) fn start_or_stop(job_id: &str, attempt: &TaskAttempt) -> Option<Order> {
    match (attempt.phase, attempt.stop) {
        (TaskPhase::Ended(_), _) => None,
        (TaskPhase::Saving, Some(grace)) if grace > 0.0 => None,
        (_, Some(_)) if attempt.stop_awaits_record => None,
        (_, Some(grace)) => Some(Order::stop(job_id, attempt, grace)),
        (TaskPhase::Sent, None) if attempt.awaits_record => None,
        (TaskPhase::Sent, None) => Some(Order::run(job_id, attempt)),
        _ => None,
    }
}

/// Is an order to start or stop the attempt still to be sent, now or once its record is written?
pub(super) fn is_start_or_stop_due(attempt: &TaskAttempt) -> bool {
    match (attempt.phase, attempt.stop) {
        (TaskPhase::Ended(_), _) => false,
        (TaskPhase::Saving, Some(grace)) => grace <= 0.0,
        (_, Some(_)) if attempt.stop_awaits_record => false,
        (phase, stop) => stop.is_some() || phase == TaskPhase::Sent,
    }
}

/// May the worker forget an attempt that has ended for this reason (`reap`)?
///
/// Only once its outcome can't be lost any more, as the worker's memory is the only other copy; and only
/// while no `run` for it can still arrive, which would start it a second time.
pub(super) fn may_reap(job: &Job, attempt: &TaskAttempt, reason: ExitReason) -> bool {
    let outcome_is_safe = reason != ExitReason::Done
        || job.end.is_some()
        || job.recorded_as_done(attempt.key.task)
        || (job.unsaved == UnsavedChange::Nothing && !job.saving);
    outcome_is_safe && attempt.indeterminate_order_token.is_none() && !attempt.in_flight
}
