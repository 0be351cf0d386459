//! Builder of a single commit.

use super::{Commit, PendingWrite};
use crate::wire::{Condition, Write};

/// Upper bound, in bytes, of the changes of one commit. The protocol allows 64 KiB.
const MAX_COMMIT_BYTES: usize = 48 * 1024;
/// Overhead of a change in a commit, in bytes, without its value and its key, which occurs twice.
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// A write and the condition under which it is carried out.
pub(super) struct ConditionalWrite {
    pub(super) condition: Condition,
    pub(super) write: Write,
}

/// A commit under construction, with the pending writes it contains and its size so far.
pub(super) struct CommitBuilder {
    commit: Commit,
    pending: Vec<PendingWrite>,
    /// Size of the records of jobs, pools and loans in the commit, in bytes.
    bytes: usize,
    /// Upper bound of the changes in the commit.
    max_changes: usize,
}

impl CommitBuilder {
    /// Returns an empty commit under this condition, for at most `max_changes` changes.
    pub(super) fn new(condition: Condition, max_changes: usize) -> CommitBuilder {
        let commit = Commit { conditions: vec![condition], writes: Vec::new() };
        CommitBuilder { commit, pending: Vec::new(), bytes: 0, max_changes }
    }

    /// Returns whether the commit holds the maximum number of changes.
    pub(super) fn is_full(&self) -> bool {
        self.commit.writes.len() >= self.max_changes
    }

    /// Returns whether the commit exceeds the maximum size in bytes.
    pub(super) fn is_over_size(&self) -> bool {
        self.bytes > MAX_COMMIT_BYTES
    }

    /// Returns the number of further changes that the commit may hold, or `None` if job records already
    /// take up half of its size, in which case no records of pools or loans may be added.
    pub(super) fn changes_left_for_reservations(&self) -> Option<usize> {
        let left = self.max_changes.saturating_sub(self.commit.writes.len());
        (self.bytes <= MAX_COMMIT_BYTES / 2).then_some(left)
    }

    /// Adds the size of a job's record to that of the commit. Returns `false` if the record does not fit
    /// next to the changes already in the commit; a record always fits into an empty commit.
    pub(super) fn reserve_job_record(&mut self, key: &str, value_bytes: usize) -> bool {
        self.bytes += value_bytes + 2 * key.len() + CHANGE_OVERHEAD_BYTES;
        !self.is_over_size() || self.commit.writes.is_empty()
    }

    /// Adds a change with its own condition.
    pub(super) fn add_conditional(&mut self, condition: Condition, write: Write, pending: PendingWrite) {
        self.commit.conditions.push(condition);
        self.add(write, pending);
    }

    /// Adds a change without a condition of its own.
    pub(super) fn add(&mut self, write: Write, pending: PendingWrite) {
        self.commit.writes.push(write);
        self.pending.push(pending);
    }

    /// Adds the changes of the pools or of the loans as a group that is written atomically.
    pub(super) fn add_group(&mut self, changes: Vec<ConditionalWrite>, pending: PendingWrite) {
        for ConditionalWrite { condition, write } in changes {
            self.bytes += write.to_string().len() + CHANGE_OVERHEAD_BYTES;
            self.commit.conditions.push(condition);
            self.commit.writes.push(write);
        }
        self.pending.push(pending);
    }

    /// Returns the commit and the pending writes it contains, or `None` if there is nothing to write.
    pub(super) fn build(self) -> Option<(Commit, Vec<PendingWrite>)> {
        (!self.commit.writes.is_empty()).then_some((self.commit, self.pending))
    }
}
