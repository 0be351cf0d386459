//! Records that are due to be written, and the commit under way.

use super::PendingWrite;
use crate::clients::write_limits::WriteLimits;
use crate::model::{HostIndex, Job, JobIndex, UnsavedChange, Urgency};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Progress waits for so many heartbeats, so that one write tells of many tasks.
const PROGRESS_HEARTBEATS: u64 = 3;

/// Which records are written first; lowest first. Writes are scarce: ends, cancellations among
/// them, and creations go before everything else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WritePriority {
    End,
    Creation,
    /// A cancellation that another job's record tells already.
    FollowedEnd,
    Progress,
}

/// A job's record that is due to be written: those of more urgent jobs go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueRecord {
    pub(super) priority: WritePriority,
    urgency: Reverse<Urgency>,
    pub(super) job: JobIndex,
}

/// What is to be written, and what is being written. One commit at a time is under way.
#[derive(Debug)]
pub(super) struct CommitQueue {
    dirty_jobs: BTreeSet<JobIndex>,
    /// Machines that are new, or given to another partition.
    dirty_hosts: BTreeSet<HostIndex>,
    /// Keys that are of no more use.
    obsolete_keys: BTreeSet<String>,
    in_flight: Option<Vec<PendingWrite>>,
    /// The version of the partition's key under which a record of a machine was written without
    /// an answer. Such a write may come late, after the machine has moved to another partition
    /// or back, and undo that; it can't once the key has changed.
    indeterminate_host_write: Option<u64>,
    limits: WriteLimits,
    /// Most changes in a commit: fewer for a while after one that was not taken.
    max_changes: usize,
    last_commit_ms: u64,
}

impl CommitQueue {
    /// Nothing is due; commits keep to these limits.
    pub(super) fn new(limits: WriteLimits) -> CommitQueue {
        CommitQueue {
            dirty_jobs: BTreeSet::new(),
            dirty_hosts: BTreeSet::new(),
            obsolete_keys: BTreeSet::new(),
            in_flight: None,
            indeterminate_host_write: None,
            limits,
            max_changes: limits.commit_changes,
            last_commit_ms: 0,
        }
    }

    /// What the state service takes.
    pub(super) fn limits(&self) -> &WriteLimits {
        &self.limits
    }

    // ---- what is due ----

    /// The job's record is to be written.
    pub(super) fn mark_job(&mut self, job: JobIndex) {
        self.dirty_jobs.insert(job);
    }

    /// The job's record is as it should be, or is being written.
    pub(super) fn unmark_job(&mut self, job: JobIndex) {
        self.dirty_jobs.remove(&job);
    }

    /// The machine's record is to be written.
    pub(super) fn mark_host(&mut self, host: HostIndex) {
        self.dirty_hosts.insert(host);
    }

    /// The machine's record is being written, or of no use.
    pub(super) fn unmark_host(&mut self, host: HostIndex) {
        self.dirty_hosts.remove(&host);
    }

    /// Machines whose records are to be written, in the order of their indices.
    pub(super) fn dirty_hosts(&self) -> Vec<HostIndex> {
        self.dirty_hosts.iter().copied().collect()
    }

    /// The key is to be deleted.
    pub(super) fn mark_obsolete(&mut self, key: String) {
        self.obsolete_keys.insert(key);
    }

    /// The next key to be deleted.
    pub(super) fn pop_obsolete_key(&mut self) -> Option<String> {
        self.obsolete_keys.pop_first()
    }

    /// Records of jobs that are due, in the order in which they are written.
    pub(super) fn due_records(&self, jobs: &[Job], heartbeat_interval_ms: u64, now: u64) -> Vec<DueRecord> {
        let progress_after_ms = PROGRESS_HEARTBEATS * heartbeat_interval_ms;
        let priority = |job: &Job| match job.unsaved {
            _ if now < job.write_after_ms => None,
            UnsavedChange::End(_) if job.end.is_some() => Some(WritePriority::FollowedEnd),
            UnsavedChange::End(_) => Some(WritePriority::End),
            UnsavedChange::Creation => Some(WritePriority::Creation),
            UnsavedChange::Progress if now >= job.unsaved_since_ms + progress_after_ms => Some(WritePriority::Progress),
            _ => None,
        };
        let due_record = |job_index: &JobIndex| {
            let job = &jobs[*job_index];
            Some(DueRecord { priority: priority(job)?, urgency: Reverse(job.urgency), job: *job_index })
        };
        let mut due: Vec<DueRecord> = self.dirty_jobs.iter().filter_map(due_record).collect();
        due.sort_unstable();
        due
    }

    /// How many jobs that are as urgent as this, or more, are still to be created.
    pub(super) fn creations_due(&self, jobs: &[Job], urgency: Urgency) -> usize {
        let goes_first = |job: &&Job| job.unsaved == UnsavedChange::Creation && job.spec.urgency >= urgency;
        self.dirty_jobs.iter().map(|job_index| &jobs[*job_index]).filter(goes_first).count()
    }

    // ---- the commit under way ----

    /// Is a commit under way?
    pub(super) fn is_committing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Most changes in the next commit.
    pub(super) fn max_changes(&self) -> usize {
        self.max_changes
    }

    /// The next commit is being put together.
    pub(super) fn begin_commit(&mut self, now: u64) {
        self.last_commit_ms = now;
    }

    /// When the last commit was put together.
    pub(super) fn last_commit_ms(&self) -> u64 {
        self.last_commit_ms
    }

    /// A commit of these changes is sent.
    pub(super) fn commit_sent(&mut self, writes: Vec<PendingWrite>) {
        self.in_flight = Some(writes);
    }

    /// The commit under way has ended somehow; the changes that it held.
    pub(super) fn take_in_flight(&mut self) -> Vec<PendingWrite> {
        self.in_flight.take().unwrap_or_default()
    }

    /// A commit was made: the next may be larger again.
    pub(super) fn raise_max_changes(&mut self) {
        self.max_changes = (2 * self.max_changes).min(self.limits.commit_changes);
    }

    /// The service takes no commit of so many changes: the next ones are smaller. True if one
    /// change alone is at fault.
    pub(super) fn lower_max_changes(&mut self, changes: usize) -> bool {
        if changes > 1 {
            self.max_changes = changes / 2;
            return false;
        }
        self.max_changes = self.limits.commit_changes;
        true
    }

    // ---- writes without an answer ----

    /// A machine's record was written without an answer, while the partition's key had this version.
    pub(super) fn set_indeterminate_host_write(&mut self, partition_version: u64) {
        self.indeterminate_host_write = Some(partition_version);
    }

    /// May a write of a machine's record still be carried out late, under this version of the
    /// partition's key?
    pub(super) fn is_host_write_indeterminate(&self, partition_version: u64) -> bool {
        self.indeterminate_host_write == Some(partition_version)
    }
}
