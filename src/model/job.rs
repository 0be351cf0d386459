//! Jobs, with the state of their tasks and of their stored records.

use super::{ClusterState, HostIndex, JobTasks, Spec, Urgency};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Index of a job in [`ClusterState::jobs`](super::ClusterState::jobs).
pub type JobIndex = usize;

/// Phase of a job, as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobPhase {
    /// The job is accepted and none of its tasks runs.
    Pending,
    /// At least one task of the job runs.
    Running,
    /// All tasks of the job are done.
    Done,
    /// The job is cancelled and none of its tasks is left on a machine.
    Cancelled,
}

/// Change of a job that is not yet written to its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnsavedChange {
    /// The record is up to date.
    Nothing,
    /// More tasks are done than the record states.
    Progress,
    /// The job has ended in this way.
    End(JobEnd),
    /// The record does not exist yet.
    Creation,
}

/// Way in which a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All tasks of the job are done.
    Done,
    /// A user cancelled the job.
    Cancelled,
}

impl JobEnd {
    /// Returns the phase that is shown to users.
    pub fn phase(self) -> JobPhase {
        match self {
            JobEnd::Done => JobPhase::Done,
            JobEnd::Cancelled => JobPhase::Cancelled,
        }
    }
}

/// Upper bound of the number of machines that a job avoids after failures on them.
const MAX_AVOIDED_HOSTS: usize = 3;

/// A job, with the state of its tasks and of its stored record.
#[allow(clippy::struct_excessive_bools, reason = "independent facts of a job and of its record")]
#[derive(Debug, Clone)]
pub struct Job {
    /// Description of the job, as its user submitted it.
    pub spec: Spec,
    /// Wall time, in milliseconds, at which the job was accepted.
    pub accepted_ms: u64,
    /// True while the job waits for other jobs. None of its tasks was started or may be started.
    pub waiting: bool,
    /// Wall time, in milliseconds, from which the job could start: the time of its acceptance, or the time
    /// at which the last of its dependencies became known to be done.
    pub ready_ms: u64,
    /// Effective priority: the highest of its own and those of the jobs that depend on it.
    pub urgency: Urgency,
    /// Wall time, in milliseconds, by which the job should be done so that the jobs that depend on it meet
    /// their deadlines; `None` if none of them has a deadline.
    pub needed_by_ms: Option<u64>,
    /// Version of the stored record; 0 while the record does not exist.
    pub version: u64,
    /// End that the stored record states; `None` if it states none.
    ///
    /// Invariant: it is set only after the commit of the record, and never changes afterwards.
    pub end: Option<JobEnd>,
    /// Change that is to be written next.
    pub unsaved: UnsavedChange,
    /// Steady time, in milliseconds, since which progress is unsaved.
    pub unsaved_since_ms: u64,
    /// True while a commit with the record is in flight.
    pub saving: bool,
    /// Steady time, in milliseconds, before which the record is not written because the last write was
    /// rejected; 0 if it was not rejected.
    pub write_after_ms: u64,
    /// True while the outcome of a write of the job's end is indeterminate: the write may take effect, now or
    /// later, or not at all. Until the outcome is known, another node may read the end and answer with it.
    pub end_indeterminate: bool,
    /// State of each task, by its number; not kept once the job has ended.
    pub tasks: JobTasks,
    /// Number of tasks that are done, whether or not that is stored.
    pub done: u32,
    /// Done tasks that the stored record states, as ordered ranges of the first number and one past the last.
    pub recorded_done: Vec<(u32, u32)>,
    /// Number of the gang's attempt that is starting or running.
    pub gang_attempt: u64,
    /// Steady time, in milliseconds, until which capacity is reserved for the gang; 0 if none is reserved.
    pub gang_reserved_until_ms: u64,
    /// Steady time, in milliseconds, before which no capacity is reserved for the gang again, after a
    /// reservation that expired unused; 0 if there was none.
    pub gang_backoff_until_ms: u64,
    /// Steady time, in milliseconds, until which the job waits for capacity on a machine that has its image;
    /// 0 if this wait has not begun.
    pub image_wait_until_ms: u64,
    /// True if the job's record did not exist when this leader read the records: this leader accepted the job,
    /// or another node did so later. No earlier leader can have started its tasks.
    pub unknown_to_earlier_leaders: bool,
    /// True if a user requested cancellation. The request is answered once none of the job's tasks can run.
    pub cancelling: bool,
    /// Machines on which tasks of the job failed.
    pub failed_on: HashSet<HostIndex>,
    /// Steady time, in milliseconds, until which the machines in `failed_on` are avoided; 0 if none is
    /// avoided.
    pub avoid_hosts_until_ms: u64,
}

impl Job {
    /// Creates a job none of whose tasks is placed. `accepted_ms` is wall time, `now` is steady time, both in
    /// milliseconds.
    pub fn new(spec: Spec, accepted_ms: u64, now: u64) -> Job {
        let tasks = JobTasks::new(spec.tasks);
        Job {
            waiting: !spec.dependencies.is_empty(),
            urgency: spec.urgency,
            needed_by_ms: None,
            spec,
            accepted_ms,
            ready_ms: accepted_ms,
            version: 0,
            end: None,
            unsaved: UnsavedChange::Nothing,
            unsaved_since_ms: now,
            saving: false,
            write_after_ms: 0,
            end_indeterminate: false,
            tasks,
            done: 0,
            recorded_done: Vec::new(),
            gang_attempt: 0,
            gang_reserved_until_ms: 0,
            gang_backoff_until_ms: 0,
            image_wait_until_ms: 0,
            unknown_to_earlier_leaders: false,
            cancelling: false,
            failed_on: HashSet::new(),
            avoid_hosts_until_ms: 0,
        }
    }

    /// Returns whether the stored record states that the task is done. Its attempts may then be removed, even
    /// if tasks keep ending so that there is always progress left to be stored.
    pub fn recorded_as_done(&self, task: u32) -> bool {
        let next = self.recorded_done.partition_point(|range| range.0 <= task);
        next > 0 && task < self.recorded_done[next - 1].1
    }

    /// Returns the wall time, in milliseconds, by which the job has to be done: the earlier of its own
    /// deadline and `needed_by_ms`; `None` if there is neither.
    pub fn due_ms(&self) -> Option<u64> {
        let own_due_ms = self.spec.due_s.map(|due_s| self.accepted_ms + (due_s * 1000.0) as u64);
        own_due_ms.into_iter().chain(self.needed_by_ms).min()
    }

    /// Returns whether tasks of the job may be started.
    pub fn active(&self) -> bool {
        self.version > 0
            && !self.waiting
            && self.end.is_none()
            && !self.cancelling
            && !matches!(self.unsaved, UnsavedChange::End(_))
    }

    /// Returns the machines on which the job is temporarily not placed because its tasks failed there. Such
    /// machines are usually faulty; other machines are requested instead.
    pub fn avoided_hosts(&self, cluster: &ClusterState, now: u64) -> &HashSet<HostIndex> {
        static NONE: std::sync::LazyLock<HashSet<HostIndex>> = std::sync::LazyLock::new(HashSet::new);
        if now < self.avoid_hosts_until_ms && !self.fails_everywhere(cluster) { &self.failed_on } else { &NONE }
    }

    /// Returns whether the job has failed on more than `MAX_AVOIDED_HOSTS` machines, or on several and no
    /// other machine is left. The job itself is then taken to be the cause of the failures.
    fn fails_everywhere(&self, cluster: &ClusterState) -> bool {
        let no_other_host = || cluster.host_index.values().all(|host| self.failed_on.contains(host));
        self.failed_on.len() > MAX_AVOIDED_HOSTS || (self.failed_on.len() > 1 && no_other_host())
    }

    /// Sets the number of done tasks to the number of tasks if the job is done, and frees the memory for tasks that
    /// are on no machine. The job has ended.
    pub fn retire(&mut self) {
        if self.end == Some(JobEnd::Done) {
            self.done = self.spec.tasks;
        }
        self.tasks.retire();
        self.recorded_done = Vec::new();
    }

    /// Returns the phase of the job, given the number of its running tasks.
    pub fn phase(&self, running: u32) -> JobPhase {
        match self.end {
            Some(JobEnd::Done) => JobPhase::Done,
            Some(JobEnd::Cancelled) => JobPhase::Cancelled,
            None if running > 0 => JobPhase::Running,
            None => JobPhase::Pending,
        }
    }
}
