//! Records that are due to be written, and the commit in flight.

use super::PendingWrite;
use crate::clients::write_limits::WriteLimits;
use crate::model::{HostIndex, Job, JobIndex, UnsavedChange, Urgency};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Number of heartbeat intervals for which progress is held back, so that one write covers many tasks.
const PROGRESS_HEARTBEATS: u64 = 3;

/// Order in which records are written, lowest value first. The write rate is limited, so ends (including
/// cancellations) and creations precede everything else.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WritePriority {
    /// The end of a job, including a cancellation.
    End,
    /// The creation of a job.
    Creation,
    /// A cancellation that already follows from the record of another job.
    PropagatedCancellation,
    /// Tasks that are done.
    Progress,
}

/// A job's record that is due to be written. Within one priority, records of more urgent jobs come
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueRecord {
    pub(super) priority: WritePriority,
    urgency: Reverse<Urgency>,
    pub(super) job: JobIndex,
}

/// Pending writes and the commit in flight. At most one commit is in flight.
#[derive(Debug)]
pub(super) struct CommitQueue {
    /// Jobs whose records are to be written.
    dirty_jobs: BTreeSet<JobIndex>,
    /// Hosts that are new or being transferred to another partition.
    dirty_hosts: BTreeSet<HostIndex>,
    /// Keys that are no longer needed and are to be deleted.
    obsolete_keys: BTreeSet<String>,
    /// Writes of the commit in flight; `None` if there is none.
    in_flight: Option<Vec<PendingWrite>>,
    /// Version of the partition's key under which a host record was written without an answer. Such a
    /// write may be carried out late, after the host has moved to another partition or back, and undo
    /// that move. It can no longer be carried out once the version of the key has changed.
    indeterminate_host_write: Option<u64>,
    /// Size limits of the state service.
    limits: WriteLimits,
    /// Upper bound of the changes in a commit. Reduced temporarily after the state service rejected a
    /// commit.
    max_changes: usize,
    /// Instant, in milliseconds of the monotonic clock, at which construction of the last commit started.
    last_commit_ms: u64,
}

impl CommitQueue {
    /// Returns a queue without pending writes, for commits within these limits.
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

    /// Returns the size limits of the state service.
    pub(super) fn limits(&self) -> &WriteLimits {
        &self.limits
    }

    // ---- pending writes ----

    /// Marks the job's record as to be written.
    pub(super) fn mark_job(&mut self, job: JobIndex) {
        self.dirty_jobs.insert(job);
    }

    /// Clears the mark of a job whose record is current or in flight.
    pub(super) fn unmark_job(&mut self, job: JobIndex) {
        self.dirty_jobs.remove(&job);
    }

    /// Marks the host's record as to be written.
    pub(super) fn mark_host(&mut self, host: HostIndex) {
        self.dirty_hosts.insert(host);
    }

    /// Clears the mark of a host whose record is in flight or no longer needed.
    pub(super) fn unmark_host(&mut self, host: HostIndex) {
        self.dirty_hosts.remove(&host);
    }

    /// Returns the hosts whose records are to be written, ordered by index.
    pub(super) fn dirty_hosts(&self) -> Vec<HostIndex> {
        self.dirty_hosts.iter().copied().collect()
    }

    /// Marks the key as to be deleted.
    pub(super) fn mark_obsolete(&mut self, key: String) {
        self.obsolete_keys.insert(key);
    }

    /// Removes and returns the next key to be deleted.
    pub(super) fn pop_obsolete_key(&mut self) -> Option<String> {
        self.obsolete_keys.pop_first()
    }

    /// Returns the job records that are due, in the order in which they are written.
    pub(super) fn due_records(&self, jobs: &[Job], heartbeat_interval_ms: u64, now: u64) -> Vec<DueRecord> {
        let progress_after_ms = PROGRESS_HEARTBEATS * heartbeat_interval_ms;
        let priority = |job: &Job| match job.unsaved {
            _ if now < job.write_after_ms => None,
            UnsavedChange::End(_) if job.end.is_some() => Some(WritePriority::PropagatedCancellation),
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

    /// Returns the number of jobs of at least this urgency whose creation is not recorded yet.
    pub(super) fn creations_due(&self, jobs: &[Job], urgency: Urgency) -> usize {
        let goes_first = |job: &&Job| job.unsaved == UnsavedChange::Creation && job.spec.urgency >= urgency;
        self.dirty_jobs.iter().map(|job_index| &jobs[*job_index]).filter(goes_first).count()
    }

    // ---- commit in flight ----

    /// Returns whether a commit is in flight.
    pub(super) fn is_committing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns the upper bound of the changes in the next commit.
    pub(super) fn max_changes(&self) -> usize {
        self.max_changes
    }

    /// Notes that construction of the next commit starts.
    pub(super) fn begin_commit(&mut self, now: u64) {
        self.last_commit_ms = now;
    }

    /// Returns the instant, in milliseconds of the monotonic clock, at which construction of the last
    /// commit started.
    pub(super) fn last_commit_ms(&self) -> u64 {
        self.last_commit_ms
    }

    /// Notes that a commit with these writes was sent.
    pub(super) fn commit_sent(&mut self, writes: Vec<PendingWrite>) {
        self.in_flight = Some(writes);
    }

    /// Ends the commit in flight, regardless of its outcome, and returns its writes.
    pub(super) fn take_in_flight(&mut self) -> Vec<PendingWrite> {
        self.in_flight.take().unwrap_or_default()
    }

    /// Doubles the bound of the changes per commit, up to the limit, after a commit was carried out.
    pub(super) fn raise_max_changes(&mut self) {
        self.max_changes = (2 * self.max_changes).min(self.limits.commit_changes);
    }

    /// Reduces the bound of the changes per commit to half the size of a commit that the state service
    /// rejected. If the rejected commit held a single change, restores the bound to the limit and
    /// returns `true`.
    pub(super) fn lower_max_changes(&mut self, changes: usize) -> bool {
        if changes > 1 {
            self.max_changes = changes / 2;
            return false;
        }
        self.max_changes = self.limits.commit_changes;
        true
    }

    // ---- writes without an answer ----

    /// Notes that a host record was written without an answer while the partition's key had this
    /// version.
    pub(super) fn set_indeterminate_host_write(&mut self, partition_version: u64) {
        self.indeterminate_host_write = Some(partition_version);
    }

    /// Returns whether a write of a host record may still be carried out late while the partition's key
    /// has this version.
    pub(super) fn is_host_write_indeterminate(&self, partition_version: u64) -> bool {
        self.indeterminate_host_write == Some(partition_version)
    }
}
