//! Limit of the preemption plans of a cycle, and the turns of the jobs that wait for them.
//!
//! Planning what to stop takes most of the time of a long cycle, in which the leader neither renews its lease nor answers.
//! A cycle that has reached the limit leaves the other jobs to the next cycles. These begin with jobs that had no turn
//! yet, so that jobs that no preemption helps do not keep the others from theirs.

use super::SchedulingCycle;
use crate::model::{JobIndex, Urgency};

impl SchedulingCycle<'_> {
    /// Returns whether the cycle may plan preemption for a job now, and notes its turn if so.
    pub(super) fn take_preemption_turn(&mut self, job_index: JobIndex) -> bool {
        if self.cluster.preemption_turns.contains(&job_index) {
            return false;
        }
        if self.preemption_limit_reached() {
            self.decisions.interrupted = true;
            return false;
        }
        self.preemption_turns.insert(job_index);
        true
    }

    /// Notes that the limit ended the turn of a job early, so that it goes on in the next cycle.
    pub(super) fn return_preemption_turn(&mut self, job_index: JobIndex) {
        self.decisions.interrupted = true;
        self.preemption_turns.remove(&job_index);
    }

    /// Returns whether the cycle has made as many preemption plans as it may.
    pub(super) fn preemption_limit_reached(&self) -> bool {
        self.preemption_plans.get() >= self.policy.preemption_plans_per_cycle
    }

    /// Keeps the turns for the next cycles if this one was interrupted. Otherwise all jobs of at least this urgency
    /// have had theirs, and the next cycle begins anew with them.
    pub(super) fn end_preemption_turns(&mut self, min_urgency: Urgency) {
        if self.decisions.interrupted {
            self.cluster.preemption_turns.extend(self.preemption_turns.drain());
            return;
        }
        let jobs = &self.cluster.jobs;
        self.cluster.preemption_turns.retain(|job_index| jobs[*job_index].urgency < min_urgency);
    }
}
