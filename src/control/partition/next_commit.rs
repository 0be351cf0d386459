//! The next commit: which records are due, and what of them goes into it.

use super::borrowing::PartitionBorrowing;
use super::keys::{host_key, job_key};
use super::warm_pools::PartitionWarmPools;
use super::{Commit, JobWrite, Partition, PendingWrite};
use crate::model::{HostRecord, JobIndex, JobRecord, UnsavedChange, Urgency};
use crate::wire;
use serde_json::Value;
use std::cmp::Reverse;

/// Most bytes of the changes of one commit, under the protocol's 64 KiB.
const COMMIT_BYTES: usize = 48 * 1024;
/// Bytes of a change in a commit besides its key, which is there twice, and its value.
const CHANGE_BYTES: usize = 64;
/// Progress waits for so many reports, so that one write tells of many tasks.
const PROGRESS_REPORTS: u64 = 3;

/// Which records are written first; lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WritePriority {
    End,
    Creation,
    /// A cancellation that another job's record tells already.
    FollowedEnd,
    Progress,
}

/// A job's record that is due to be written: those of more urgent jobs go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueRecord {
    priority: WritePriority,
    urgency: Reverse<Urgency>,
    job: JobIndex,
}

/// A commit that is being put together.
struct CommitBuilder {
    commit: Commit,
    /// What it will have told.
    saved: Vec<PendingWrite>,
    /// Bytes of the jobs' records in it.
    bytes: usize,
    max_ops: usize,
}

impl CommitBuilder {
    fn new(condition: Value, max_ops: usize) -> CommitBuilder {
        let commit = Commit { conditions: vec![condition], writes: Vec::new() };
        CommitBuilder { commit, saved: Vec::new(), bytes: 0, max_ops }
    }

    fn full(&self) -> bool {
        self.commit.writes.len() >= self.max_ops
    }

    fn writes(&mut self, change: Value, saved: PendingWrite) {
        self.commit.writes.push(change);
        self.saved.push(saved);
    }
}

impl Partition {
    /// The next commit, if one is due: ends and creations first, then machines,
    /// then progress that has waited for a while. At most `ops` changes.
    pub fn next_commit(&mut self, now: u64, ops: usize) -> Option<Commit> {
        if self.in_flight.is_some() || self.partition_version == 0 {
            return None;
        }
        self.settle_cancellations();
        self.last_commit_ms = now;
        let due = self.due_records(now);
        let (urgent, rest) = due.split_at(due.partition_point(|d| d.priority < WritePriority::FollowedEnd));
        let condition = wire::condition(&self.partition_key, self.partition_version);
        let mut builder = CommitBuilder::new(condition, ops.min(self.largest_commit));
        self.add_job_records(urgent, &mut builder);
        self.add_loan_records(&mut builder);
        self.add_pool_records(&mut builder);
        self.add_host_records(&mut builder);
        self.add_job_records(rest, &mut builder);
        self.add_deletions(&mut builder);
        if builder.commit.writes.is_empty() {
            return None;
        }
        self.in_flight = Some(builder.saved);
        Some(builder.commit)
    }

    /// Records of jobs that are due, in the order in which they are written.
    fn due_records(&self, now: u64) -> Vec<DueRecord> {
        let patience = PROGRESS_REPORTS * self.policy.report_ms;
        let priority = |job_index: JobIndex| {
            let job = &self.cluster.jobs[job_index];
            match job.unsaved {
                _ if now < job.write_after_ms => None,
                UnsavedChange::End(_) if job.end.is_some() => Some(WritePriority::FollowedEnd),
                UnsavedChange::End(_) => Some(WritePriority::End),
                UnsavedChange::Creation => Some(WritePriority::Creation),
                UnsavedChange::Progress if now >= job.unsaved_since_ms + patience => Some(WritePriority::Progress),
                _ => None,
            }
        };
        let due = self.dirty.iter().filter_map(|job_index| {
            Some(DueRecord {
                priority: priority(*job_index)?,
                urgency: Reverse(self.cluster.jobs[*job_index].urgency),
                job: *job_index,
            })
        });
        let mut due: Vec<DueRecord> = due.collect();
        due.sort_unstable();
        due
    }

    /// Adds jobs' records while there is room for them.
    fn add_job_records(&mut self, due: &[DueRecord], builder: &mut CommitBuilder) {
        for &DueRecord { job: job_index, .. } in due {
            if builder.full() || builder.bytes > COMMIT_BYTES {
                break;
            }
            let job = &mut self.cluster.jobs[job_index];
            let end = match job.unsaved {
                UnsavedChange::End(e) => Some(e),
                _ => None,
            };
            let key = job_key(&job.spec.id);
            let Some(record) = JobRecord::of(job, end, self.limits.value_bytes) else {
                // Accepted under a larger limit: its progress has no room, its end will have.
                job.unsaved = UnsavedChange::Nothing;
                self.dirty.remove(&job_index);
                continue;
            };
            let Ok(value) = serde_json::to_value(&record) else { continue };
            builder.bytes += value.to_string().len() + 2 * key.len() + CHANGE_BYTES;
            if builder.bytes > COMMIT_BYTES && !builder.commit.writes.is_empty() {
                break;
            }
            builder.commit.conditions.push(wire::condition(&key, job.version));
            let write = JobWrite { job: job_index, change: job.unsaved, end_was_open: job.end_open, done: record.done };
            builder.writes(wire::put(&key, &value, None), PendingWrite::Job(write));
            job.saving = true;
            // From its sending on another node may read the end.
            job.end_open |= end.is_some();
            job.unsaved = UnsavedChange::Nothing;
            self.dirty.remove(&job_index);
        }
    }

    /// Adds the records of loans that are due, as far as there is room.
    fn add_loan_records(&mut self, builder: &mut CommitBuilder) {
        let left = builder.max_ops.saturating_sub(builder.commit.writes.len());
        if builder.bytes > COMMIT_BYTES / 2 {
            return;
        }
        let writes = self.next_loan_writes(left, self.wall_ms);
        if writes.is_empty() {
            return;
        }
        for (condition, change) in writes.iter().map(PartitionBorrowing::encode) {
            builder.bytes += change.to_string().len() + CHANGE_BYTES;
            builder.commit.conditions.push(condition);
            builder.commit.writes.push(change);
        }
        builder.saved.push(PendingWrite::Loans);
    }

    /// Adds the records of warm pools that are due, as far as there is room.
    fn add_pool_records(&mut self, builder: &mut CommitBuilder) {
        let left = builder.max_ops.saturating_sub(builder.commit.writes.len());
        if builder.bytes > COMMIT_BYTES / 2 {
            return;
        }
        let Some(changes) = self.next_pool_changes(left) else { return };
        for (condition, change) in PartitionWarmPools::encode(&changes) {
            builder.bytes += change.to_string().len() + CHANGE_BYTES;
            builder.commit.conditions.push(condition);
            builder.commit.writes.push(change);
        }
        builder.saved.push(PendingWrite::Pools);
    }

    /// Adds the records of machines that are new, or given to another partition.
    fn add_host_records(&mut self, builder: &mut CommitBuilder) {
        for host_index in self.new_hosts.clone() {
            if builder.full() {
                break;
            }
            self.new_hosts.remove(&host_index);
            let Some(h) = self.cluster.host(host_index) else { continue };
            let instance_type = h.instance_type.map_or(String::new(), |f| self.cluster.instance_types[f].name.clone());
            let partition = h.transferring_to.unwrap_or(self.id);
            let record = HostRecord { addr: h.addr, instance_type, zone: h.zone.clone(), spot: h.spot, partition };
            let Ok(value) = serde_json::to_value(record) else { continue };
            let saved = h
                .transferring_to
                .map_or(PendingWrite::Host(host_index), |to| PendingWrite::TransferredHost(host_index, to));
            builder.writes(wire::put(&host_key(&h.id), &value, None), saved);
        }
    }

    /// Adds deletions of keys that are of no more use.
    fn add_deletions(&mut self, builder: &mut CommitBuilder) {
        while !builder.full() {
            let Some(key) = self.obsolete_keys.pop_first() else { break };
            builder.writes(wire::delete(&key), PendingWrite::DeletedKey(key));
        }
    }
}
