//! When the next scheduling cycle is due, and what the last ones left to be placed.

use crate::model::{Job, JobIndex, Urgency};

/// Requests for scheduling cycles, and the work that found no capacity in them.
#[derive(Debug)]
pub(super) struct SchedulingTriggers {
    cycle_due: bool,
    urgent_cycle_due: bool,
    /// Tasks of arrays were done since the last cycle.
    array_tasks_done: bool,
    pending_jobs: Vec<JobIndex>,
    hosts_examined: u64,
}

impl SchedulingTriggers {
    /// A new leader's first cycle is due at once.
    pub(super) fn new() -> SchedulingTriggers {
        SchedulingTriggers {
            cycle_due: true,
            urgent_cycle_due: false,
            array_tasks_done: false,
            pending_jobs: Vec::new(),
            hosts_examined: 0,
        }
    }

    /// Something changed that a scheduling cycle may use.
    pub(super) fn request_cycle(&mut self) {
        self.cycle_due = true;
    }

    /// Work of this urgency may be placed: if it is urgent, a cycle for urgent work is due.
    pub(super) fn request_cycle_for(&mut self, urgency: Urgency) {
        self.urgent_cycle_due |= urgency >= Urgency::High;
    }

    /// Capacity is free that urgent work may be waiting for.
    pub(super) fn request_urgent_cycle(&mut self) {
        self.urgent_cycle_due = true;
    }

    /// Is a cycle for all work due?
    pub(super) fn is_cycle_due(&self) -> bool {
        self.cycle_due
    }

    /// Is a cycle for urgent work due?
    pub(super) fn is_urgent_cycle_due(&self) -> bool {
        self.urgent_cycle_due
    }

    /// A cycle for work that is as urgent as this, or more, begins.
    pub(super) fn begin_cycle(&mut self, least_urgency: Urgency) {
        self.urgent_cycle_due = false;
        if least_urgency == Urgency::Low {
            self.cycle_due = false;
        }
    }

    /// A task of an array is done: further attempts of it are to be stopped.
    pub(super) fn mark_array_task_done(&mut self) {
        self.array_tasks_done = true;
    }

    /// Were tasks of arrays done since the last call?
    pub(super) fn take_array_tasks_done(&mut self) -> bool {
        std::mem::take(&mut self.array_tasks_done)
    }

    /// A cycle has ended. What is less urgent than `least_urgency` was not tried in it, and is as
    /// pending as before.
    pub(super) fn end_cycle(
        &mut self,
        jobs: &[Job],
        least_urgency: Urgency,
        pending_jobs: Vec<JobIndex>,
        hosts_examined: u64,
    ) {
        self.pending_jobs.retain(|job_index| jobs[*job_index].urgency < least_urgency && jobs[*job_index].active());
        self.pending_jobs.extend(pending_jobs);
        self.hosts_examined += hosts_examined;
    }

    /// Jobs with tasks that found no capacity in the last cycle.
    pub(super) fn pending_jobs(&self) -> &[JobIndex] {
        &self.pending_jobs
    }

    /// Machines that scheduling cycles have looked at so far.
    #[cfg(test)]
    pub(super) fn hosts_examined(&self) -> u64 {
        self.hosts_examined
    }
}
