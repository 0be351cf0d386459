//! A commit that is being put together.

use super::{Commit, PendingWrite};
use crate::wire::{Condition, Write};

/// Most bytes of the changes of one commit, under the protocol's 64 KiB.
const COMMIT_BYTES: usize = 48 * 1024;
/// Bytes of a change in a commit besides its key, which is there twice, and its value.
const CHANGE_BYTES: usize = 64;

/// A write with the condition under which it is carried out.
pub(super) struct ConditionalWrite {
    pub(super) condition: Condition,
    pub(super) write: Write,
}

/// The commit, what it will have written, and its size so far.
pub(super) struct CommitBuilder {
    commit: Commit,
    pending: Vec<PendingWrite>,
    /// Bytes of the records of jobs, pools and loans in it.
    bytes: usize,
    max_changes: usize,
}

impl CommitBuilder {
    /// An empty commit under this condition, for at most so many changes.
    pub(super) fn new(condition: Condition, max_changes: usize) -> CommitBuilder {
        let commit = Commit { conditions: vec![condition], writes: Vec::new() };
        CommitBuilder { commit, pending: Vec::new(), bytes: 0, max_changes }
    }

    /// Is there no capacity for one more change?
    pub(super) fn is_full(&self) -> bool {
        self.commit.writes.len() >= self.max_changes
    }

    /// Does it hold as many bytes as a commit may?
    pub(super) fn is_over_size(&self) -> bool {
        self.bytes > COMMIT_BYTES
    }

    /// Changes that it may still hold; none of pools and loans once jobs' records take half of it.
    pub(super) fn changes_left_for_reservations(&self) -> Option<usize> {
        let left = self.max_changes.saturating_sub(self.commit.writes.len());
        (self.bytes <= COMMIT_BYTES / 2).then_some(left)
    }

    /// Counts the bytes of a job's record; false if it does not fit with what is there already.
    pub(super) fn reserve_job_record(&mut self, key: &str, value_bytes: usize) -> bool {
        self.bytes += value_bytes + 2 * key.len() + CHANGE_BYTES;
        !self.is_over_size() || self.commit.writes.is_empty()
    }

    /// Adds a change under a condition of its own.
    pub(super) fn add_conditional(&mut self, condition: Condition, write: Write, pending: PendingWrite) {
        self.commit.conditions.push(condition);
        self.add(write, pending);
    }

    /// Adds a change that needs no condition of its own.
    pub(super) fn add(&mut self, write: Write, pending: PendingWrite) {
        self.commit.writes.push(write);
        self.pending.push(pending);
    }

    /// Adds the changes of the pools or of the loans, which are written or not as one.
    pub(super) fn add_group(&mut self, changes: Vec<ConditionalWrite>, pending: PendingWrite) {
        for ConditionalWrite { condition, write } in changes {
            self.bytes += write.to_string().len() + CHANGE_BYTES;
            self.commit.conditions.push(condition);
            self.commit.writes.push(write);
        }
        self.pending.push(pending);
    }

    /// The commit and what it will have written; none if there is nothing to write.
    pub(super) fn build(self) -> Option<(Commit, Vec<PendingWrite>)> {
        (!self.commit.writes.is_empty()).then_some((self.commit, self.pending))
    }
}
