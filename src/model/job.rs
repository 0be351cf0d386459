//! Jobs, with the state of their tasks and of their records.

use super::{ClusterState, HostIndex, Place, Spec, Task, Urgency};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Index of a job in [`ClusterState::jobs`](super::ClusterState::jobs).
pub type JobIndex = usize;

/// The phase of a job, as it is answered to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobPhase {
    /// Accepted; no task runs.
    Pending,
    /// At least one task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled, and all its tasks are gone.
    Cancelled,
}

/// What is not yet written to the record of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnsavedChange {
    /// The record is up to date.
    Nothing,
    /// More tasks are done than it has.
    Progress,
    /// The job has ended.
    End(JobEnd),
    /// There is no record yet.
    Creation,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

impl JobEnd {
    /// The phase that users are answered.
    pub fn phase(self) -> JobPhase {
        match self {
            JobEnd::Done => JobPhase::Done,
            JobEnd::Cancelled => JobPhase::Cancelled,
        }
    }
}

/// A job avoids so many machines at the most.
const MAX_AVOIDED_HOSTS: usize = 3;

/// A job, with the state of its tasks and of its record.
#[allow(clippy::struct_excessive_bools, reason = "independent facts of a job and of its record")]
#[derive(Debug, Clone)]
pub struct Job {
    /// What its user asked for.
    pub spec: Spec,
    /// Wall time at which it was accepted.
    pub accepted_ms: u64,
    /// It waits for other jobs: none of its tasks was or may be started.
    pub waiting: bool,
    /// Wall time from which on it could start: of its acceptance, or when it became known that
    /// the last job that it waits for is done.
    pub ready_ms: u64,
    /// Its priority: its own, or that of a job that needs it where that is higher.
    pub urgency: Urgency,
    /// Wall time by which it should be done for the sake of those that need it; `None` if none
    /// of them has a deadline.
    pub needed_by_ms: Option<u64>,
    /// Version of its record; 0 while it is not created.
    pub version: u64,
    /// The end that its record has.
    ///
    /// Invariant: it is set only after the commit of the record, and never changes then.
    pub end: Option<JobEnd>,
    /// The change that is to be written next.
    pub unsaved: UnsavedChange,
    /// Steady time at which unsaved progress began.
    pub unsaved_since_ms: u64,
    /// Its record is in a commit in flight.
    pub saving: bool,
    /// Steady time before which its record is not written, as it was not taken; 0 if it was.
    pub write_after_ms: u64,
    /// A write of its end is indeterminate: it may be carried out or not, now or later. Until that is
    /// settled another node may read the end and answer with it.
    pub end_indeterminate: bool,
    /// The state of each task, by its number.
    pub tasks: Vec<Task>,
    /// Tasks that are done, whether recorded or not.
    pub done: u32,
    /// Done tasks that its record has, as ranges in order, first and one past the last.
    pub recorded_done: Vec<(u32, u32)>,
    /// The attempt of a gang that is starting or running.
    pub gang_attempt: u64,
    /// Steady time until which capacity is reserved for the gang; 0 if none is.
    pub gang_reserved_until_ms: u64,
    /// Steady time before which none is reserved again after a reservation that expired unused; 0 if there
    /// was none.
    pub gang_backoff_until_ms: u64,
    /// Steady time until which it waits for capacity on a machine that has its image; 0 if it does not yet.
    pub image_wait_until_ms: u64,
    /// Accepted in this fencing token: no earlier leader can have started its tasks.
    pub fresh: bool,
    /// Its user has asked for its cancellation, which is answered once none of its tasks can run.
    pub cancelling: bool,
    /// Machines on which its tasks failed, and until when it keeps away from them.
    pub failed_on: HashSet<HostIndex>,
    /// Steady time until which the machines in `failed_on` are avoided; 0 if none is.
    pub avoid_hosts_until_ms: u64,
}

impl Job {
    /// A job none of whose tasks was placed.
    pub fn new(spec: Spec, accepted_ms: u64, now: u64) -> Job {
        let tasks = vec![Task { place: Place::Idle, located: false, fails: 0, retry_ms: 0 }; spec.tasks as usize];
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
            fresh: false,
            cancelling: false,
            failed_on: HashSet::new(),
            avoid_hosts_until_ms: 0,
        }
    }

    /// Is the task done by its record? Then its attempts may be forgotten, also
    /// while further tasks end all the time and more is to be recorded.
    pub fn recorded_as_done(&self, task: u32) -> bool {
        let next = self.recorded_done.partition_point(|range| range.0 <= task);
        next > 0 && task < self.recorded_done[next - 1].1
    }

    /// The wall time by which it has to be done, for its own deadline or for those that need
    /// it; `None` if there is none.
    pub fn due_ms(&self) -> Option<u64> {
        let own = self.spec.due_s.map(|due_s| self.accepted_ms + (due_s * 1000.0) as u64);
        own.into_iter().chain(self.needed_by_ms).min()
    }

    /// May its tasks be started?
    pub fn active(&self) -> bool {
        self.version > 0
            && !self.waiting
            && self.end.is_none()
            && !self.cancelling
            && !matches!(self.unsaved, UnsavedChange::End(_))
    }

    /// Machines that it is not placed on again for a while, as it failed there: they
    /// are mostly faulty, and others are rented instead.
    pub fn avoided_hosts(&self, cluster: &ClusterState, now: u64) -> &HashSet<HostIndex> {
        static NONE: std::sync::LazyLock<HashSet<HostIndex>> = std::sync::LazyLock::new(HashSet::new);
        if now < self.avoid_hosts_until_ms && !self.fails_everywhere(cluster) { &self.failed_on } else { &NONE }
    }

    /// It failed on many machines, or on several and no other is left: it is at fault itself.
    fn fails_everywhere(&self, cluster: &ClusterState) -> bool {
        let all = || cluster.host_index.values().all(|host| self.failed_on.contains(host));
        self.failed_on.len() > MAX_AVOIDED_HOSTS || (self.failed_on.len() > 1 && all())
    }

    /// Frees what a job that is over no longer needs.
    pub fn retire(&mut self) {
        if self.end == Some(JobEnd::Done) {
            self.done = self.spec.tasks;
        }
    }

    /// Its phase while so many of its tasks run.
    pub fn phase(&self, running: u32) -> JobPhase {
        match self.end {
            Some(JobEnd::Done) => JobPhase::Done,
            Some(JobEnd::Cancelled) => JobPhase::Cancelled,
            None if running > 0 => JobPhase::Running,
            None => JobPhase::Pending,
        }
    }
}
