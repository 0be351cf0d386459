//! Triggers of scheduling cycles, and the jobs that the last cycles left pending.

use crate::model::{Job, JobIndex, Urgency};

/// Requests for scheduling cycles, and the jobs that found no capacity in them.
#[derive(Debug)]
pub(super) struct SchedulingTriggers {
    /// Whether a cycle for all work is due.
    cycle_due: bool,
    /// Whether a cycle for urgent work is due.
    urgent_cycle_due: bool,
    /// Whether array tasks were completed since the last cycle.
    array_tasks_done: bool,
    /// Jobs with tasks that found no capacity in the last cycle.
    pending_jobs: Vec<JobIndex>,
    /// Number of hosts that cycles have examined so far.
    hosts_examined: u64,
}

impl SchedulingTriggers {
    /// Returns the initial state, in which the first cycle of a new leader is due.
    pub(super) fn new() -> SchedulingTriggers {
        SchedulingTriggers {
            cycle_due: true,
            urgent_cycle_due: false,
            array_tasks_done: false,
            pending_jobs: Vec::new(),
            hosts_examined: 0,
        }
    }

    /// Requests a cycle after a change that may allow new placements.
    pub(super) fn request_cycle(&mut self) {
        self.cycle_due = true;
    }

    /// Requests a cycle for urgent work if work of this urgency counts as urgent.
    pub(super) fn request_cycle_for(&mut self, urgency: Urgency) {
        self.urgent_cycle_due |= urgency >= Urgency::High;
    }

    /// Requests a cycle for urgent work after capacity became free that it may be waiting for.
    pub(super) fn request_urgent_cycle(&mut self) {
        self.urgent_cycle_due = true;
    }

    /// Returns whether a cycle for all work is due.
    pub(super) fn is_cycle_due(&self) -> bool {
        self.cycle_due
    }

    /// Returns whether a cycle for urgent work is due.
    pub(super) fn is_urgent_cycle_due(&self) -> bool {
        self.urgent_cycle_due
    }

    /// Notes the start of a cycle for work of at least this urgency.
    pub(super) fn begin_cycle(&mut self, min_urgency: Urgency) {
        self.urgent_cycle_due = false;
        if min_urgency == Urgency::Low {
            self.cycle_due = false;
        }
    }

    /// Notes that an array task is done, so that its remaining attempts are to be stopped.
    pub(super) fn mark_array_task_done(&mut self) {
        self.array_tasks_done = true;
    }

    /// Returns whether array tasks were completed since the last call.
    pub(super) fn take_array_tasks_done(&mut self) -> bool {
        std::mem::take(&mut self.array_tasks_done)
    }

    /// Stores the results of a cycle. Jobs below `min_urgency` were not considered in it and remain
    /// pending.
    pub(super) fn end_cycle(
        &mut self,
        jobs: &[Job],
        min_urgency: Urgency,
        pending_jobs: Vec<JobIndex>,
        hosts_examined: u64,
    ) {
        self.pending_jobs.retain(|job_index| jobs[*job_index].urgency < min_urgency && jobs[*job_index].active());
        self.pending_jobs.extend(pending_jobs);
        self.hosts_examined += hosts_examined;
    }

    /// Returns the jobs with tasks that found no capacity in the last cycle.
    pub(super) fn pending_jobs(&self) -> &[JobIndex] {
        &self.pending_jobs
    }

    /// Returns the number of hosts that scheduling cycles have examined so far.
    #[cfg(test)]
    pub(super) fn hosts_examined(&self) -> u64 {
        self.hosts_examined
    }
}
