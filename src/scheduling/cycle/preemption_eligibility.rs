//! Preemption eligibility: which work may be stopped for other work.

use super::SchedulingCycle;
use super::borrowing::StopCause;
use super::cost::late_probability;
use super::planned_stops::PlannedStops;
use super::request::PlacementRequest;
use crate::model::{HostIndex, JobIndex, Shape, TaskAttempt, Urgency};

/// A replica has settled after this multiple of the time within which an order shows its effect.
const SETTLED_AFTER_REACTIONS: u64 = 30;

/// Work that has run for less than this share of its estimate was started recently.
const EARLY_SHARE_OF_EXPECTED: f64 = 0.25;

/// A start is in time for a guarantee if it is late with less than this probability.
const LIKELY_LATE: f64 = 0.5;

/// Which work of its own urgency a job may stop for its team's guarantee; the wider, the larger.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum PreemptionScope {
    None,
    RecentlyStarted,
    Any,
}

impl SchedulingCycle<'_> {
    /// Which work that is no less urgent a job may stop for its team's guarantee: while the start can
    /// be in time, work that was started recently; once it has waited as long as capacity is reserved
    /// for a gang, any. Without bounds two teams' arrays stop each other over and over, and none is in
    /// time.
    pub(super) fn scope(&self, request: &PlacementRequest) -> PreemptionScope {
        let job = &self.cluster.jobs[request.job_index];
        // A gang starts whole, and so all of it has to be within the guarantee.
        let started_together = if job.spec.shape == Shape::Gang { job.spec.tasks } else { 1 };
        if !self.within_guarantee(&job.spec, started_together) {
            PreemptionScope::None
        } else if self.wall.saturating_sub(job.ready_ms) >= self.policy.hold_ms {
            PreemptionScope::Any
        } else if request.guarantee_left_s.is_some() {
            PreemptionScope::RecentlyStarted
        } else {
            PreemptionScope::None
        }
    }

    /// The same on one machine: nothing is stopped where the start would be late for the guarantee
    /// all the same.
    pub(super) fn scope_on_host(
        &self,
        scope: PreemptionScope,
        request: &PlacementRequest,
        host_index: HostIndex,
    ) -> PreemptionScope {
        let in_time = || {
            let late = |left_s| late_probability(self.fetch_s(request, host_index), left_s);
            request.guarantee_left_s.is_some_and(|left_s| late(left_s) < LIKELY_LATE)
        };
        if scope == PreemptionScope::RecentlyStarted && !in_time() { PreemptionScope::None } else { scope }
    }

    /// Has it run for only a small share of its estimate?
    pub(super) fn started_recently(&self, attempt: &TaskAttempt) -> bool {
        let expected_s = self.cluster.jobs[attempt.key.job].spec.expected_s;
        self.now.saturating_sub(attempt.since_ms) as f64 <= expected_s * 1000.0 * EARLY_SHARE_OF_EXPECTED
    }

    /// Has it been there for long? What is stopped sooner was started in vain.
    pub(super) fn settled(&self, attempt: &TaskAttempt) -> bool {
        self.now.saturating_sub(attempt.since_ms) >= SETTLED_AFTER_REACTIONS * self.policy.react_ms
    }

    /// Could the attempt's job still be in time if it began anew?
    pub(super) fn restart_in_time(&self, attempt: &TaskAttempt) -> bool {
        let job = &self.cluster.jobs[attempt.key.job];
        let expected_ms = (job.spec.expected_s * 1000.0) as u64;
        job.due_ms().is_none() || self.wall + expected_ms < self.policy.soft_deadline_ms(job)
    }

    /// May this attempt be stopped for a task of the job, beside the stops that are planned for the
    /// same start?
    pub(super) fn may_evict(
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
            && (scope == PreemptionScope::Any || self.restart_in_time(attempt))
            && victim.team != job.spec.team
            && victim.shape != Shape::Service
            && victim_job.urgency <= job.urgency.max(Urgency::Normal)
            && self.beyond_guarantee(attempt.key.job, planned)
            && self.stop_cause(job_index, attempt, planned).is_ok()
    }
}
