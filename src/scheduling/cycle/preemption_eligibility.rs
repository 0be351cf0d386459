//! Preemption eligibility: decides which work may be stopped for other work.

use super::SchedulingCycle;
use super::borrowing::StopCause;
use super::cost::late_probability;
use super::planned_stops::PlannedStops;
use super::request::PlacementRequest;
use crate::model::{HostIndex, JobIndex, Shape, TaskAttempt, Urgency};

/// A replica counts as settled after this multiple of `Policy::react_ms`, the time within which an order
/// shows its effect.
const SETTLED_AFTER_REACTIONS: u64 = 30;

/// Work that has run for less than this fraction of its expected duration counts as recently started.
const RECENT_START_FRACTION: f64 = 0.25;

/// A start counts as in time for a guarantee if its probability of being late is below this value.
const MAX_LATE_PROBABILITY: f64 = 0.5;

/// Work of equal urgency that a job may stop for the guarantee of its team. Wider scopes compare as larger.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum PreemptionScope {
    None,
    RecentlyStarted,
    Any,
}

impl SchedulingCycle<'_> {
    /// Returns which work of equal urgency the job may stop for the guarantee of its team. While the start
    /// can be in time, this is recently started work; once the job has waited as long as capacity is
    /// reserved for a gang, any work. Without such bounds, the arrays of two teams stop each other
    /// repeatedly and neither is in time.
    pub(super) fn preemption_scope(&self, request: &PlacementRequest) -> PreemptionScope {
        let job = &self.cluster.jobs[request.job_index];
        // All tasks of a gang start together, so all of them must be within the guarantee.
        let started_together = if job.spec.shape == Shape::Gang { job.spec.tasks } else { 1 };
        if !self.within_guarantee(&job.spec, started_together) {
            PreemptionScope::None
        } else if self.wall.saturating_sub(job.ready_ms) >= self.policy.gang_reservation_ms {
            PreemptionScope::Any
        } else if request.guarantee_left_s.is_some() {
            PreemptionScope::RecentlyStarted
        } else {
            PreemptionScope::None
        }
    }

    /// Returns the scope that applies on one machine. It is `None` where the start would miss the
    /// guarantee's objective in any case.
    pub(super) fn preemption_scope_on_host(
        &self,
        scope: PreemptionScope,
        request: &PlacementRequest,
        host_index: HostIndex,
    ) -> PreemptionScope {
        let in_time = || {
            let late = |left_s| late_probability(self.fetch_s(request, host_index), left_s);
            request.guarantee_left_s.is_some_and(|left_s| late(left_s) < MAX_LATE_PROBABILITY)
        };
        if scope == PreemptionScope::RecentlyStarted && !in_time() { PreemptionScope::None } else { scope }
    }

    /// Returns whether the attempt has run for only a small fraction of its expected duration.
    pub(super) fn started_recently(&self, attempt: &TaskAttempt) -> bool {
        let expected_s = self.cluster.jobs[attempt.key.job].spec.expected_s;
        self.now.saturating_sub(attempt.since_ms) as f64 <= expected_s * 1000.0 * RECENT_START_FRACTION
    }

    /// Returns whether the attempt has run for long enough to be migrated. Stopping it earlier would waste
    /// its start.
    pub(super) fn is_settled(&self, attempt: &TaskAttempt) -> bool {
        self.now.saturating_sub(attempt.since_ms) >= SETTLED_AFTER_REACTIONS * self.policy.react_ms
    }

    /// Returns whether the attempt's job could still meet its deadline if it restarted now.
    pub(super) fn restart_meets_deadline(&self, attempt: &TaskAttempt) -> bool {
        let job = &self.cluster.jobs[attempt.key.job];
        let expected_ms = (job.spec.expected_s * 1000.0) as u64;
        job.due_ms().is_none() || self.wall + expected_ms < self.policy.soft_deadline_ms(job)
    }

    /// Returns whether this attempt may be stopped for a task of the job, given the stops that are planned
    /// for the same start.
    pub(super) fn may_stop(
        &self,
        job_index: JobIndex,
        scope: PreemptionScope,
        attempt: &TaskAttempt,
        planned: &PlannedStops,
    ) -> bool {
        let job = &self.cluster.jobs[job_index];
        let victim_job = &self.cluster.jobs[attempt.key.job];
        let victim = &victim_job.spec;
        if attempt.stop.is_some() || attempt.ended() {
            return false;
        }
        if victim_job.urgency < job.urgency {
            return self.stop_cause(job_index, attempt, planned).is_ok();
        }
        if self.may_reclaim(job_index) && self.stop_cause(job_index, attempt, planned) == Ok(StopCause::Reclaim) {
            return true;
        }
        let in_scope = match scope {
            PreemptionScope::None => false,
            PreemptionScope::RecentlyStarted => self.started_recently(attempt),
            PreemptionScope::Any => true,
        };
        in_scope
            && (scope == PreemptionScope::Any || self.restart_meets_deadline(attempt))
            && victim.team != job.spec.team
            && victim.shape != Shape::Service
            && victim_job.urgency <= job.urgency.max(Urgency::Normal)
            && self.beyond_guarantee(attempt.key.job, planned)
            && self.stop_cause(job_index, attempt, planned).is_ok()
    }
}
