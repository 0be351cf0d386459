//! Selection of the due records that go into the next commit.

use super::borrowing::PartitionBorrowing;
use super::commit_builder::CommitBuilder;
use super::commit_queue::{DueRecord, WritePriority};
use super::keys::{host_key, job_key};
use super::warm_pools::PartitionWarmPools;
use super::{Commit, JobWrite, Partition, PendingWrite};
use crate::model::{HostRecord, JobRecord, UnsavedChange};
use crate::wire;

impl Partition {
    /// Returns the next commit, or `None` if none is due. Ends and creations come first, then loans and
    /// warm pools, then hosts, then progress that was held back. The commit holds at most `max_changes`
    /// changes.
    pub fn next_commit(&mut self, now: u64, max_changes: usize) -> Option<Commit> {
        if self.commit_queue.is_committing() || self.epoch.partition_version() == 0 {
            return None;
        }
        self.record_completed_cancellations();
        self.commit_queue.begin_commit(now);
        let due = self.commit_queue.due_records(&self.cluster.jobs, self.policy.report_ms, now);
        let (urgent, rest) =
            due.split_at(due.partition_point(|record| record.priority < WritePriority::PropagatedCancellation));
        let max_changes = max_changes.min(self.commit_queue.max_changes());
        let mut builder = CommitBuilder::new(self.epoch.condition(), max_changes);
        self.add_job_records(urgent, &mut builder);
        self.add_loan_records(&mut builder);
        self.add_pool_records(&mut builder);
        self.add_host_records(&mut builder);
        self.add_job_records(rest, &mut builder);
        self.add_deletions(&mut builder);
        let (commit, pending) = builder.build()?;
        self.commit_queue.commit_sent(pending);
        Some(commit)
    }

    /// Adds job records while the commit has capacity for them.
    fn add_job_records(&mut self, due: &[DueRecord], builder: &mut CommitBuilder) {
        for &DueRecord { job: job_index, .. } in due {
            if builder.is_full() || builder.is_over_size() {
                break;
            }
            let job = &mut self.cluster.jobs[job_index];
            let end = match job.unsaved {
                UnsavedChange::End(end) => Some(end),
                _ => None,
            };
            let key = job_key(&job.spec.id);
            let Some(record) = JobRecord::from_job(job, end, self.commit_queue.limits().value_bytes) else {
                // The job was accepted under a larger size limit: its progress no longer fits, but its
                // end will.
                job.unsaved = UnsavedChange::Nothing;
                self.commit_queue.unmark_job(job_index);
                continue;
            };
            let Ok(value) = serde_json::to_value(&record) else { continue };
            if !builder.reserve_job_record(&key, value.to_string().len()) {
                break;
            }
            let write = JobWrite {
                job: job_index,
                change: job.unsaved,
                end_was_indeterminate: job.end_indeterminate,
                done: record.done,
            };
            // The version is 0 for a creation, so a job that already exists is never created again.
            let condition = wire::condition(&key, job.version);
            builder.add_conditional(condition, wire::put(&key, &value, None), PendingWrite::Job(write));
            job.saving = true;
            // Once the commit is sent, another node may read the end.
            job.end_indeterminate |= end.is_some();
            job.unsaved = UnsavedChange::Nothing;
            self.commit_queue.unmark_job(job_index);
        }
    }

    /// Adds the due records of loans, as far as they fit.
    fn add_loan_records(&mut self, builder: &mut CommitBuilder) {
        let Some(left) = builder.changes_left_for_reservations() else { return };
        let writes = self.next_loan_writes(left, self.wall_ms);
        if !writes.is_empty() {
            builder.add_group(writes.iter().map(PartitionBorrowing::encode).collect(), PendingWrite::Loans);
        }
    }

    /// Adds the due records of warm pools, as far as they fit.
    fn add_pool_records(&mut self, builder: &mut CommitBuilder) {
        let Some(left) = builder.changes_left_for_reservations() else { return };
        if let Some(changes) = self.next_pool_changes(left) {
            builder.add_group(PartitionWarmPools::encode(&changes), PendingWrite::Pools);
        }
    }

    /// Adds the records of hosts that are new or being transferred to another partition.
    fn add_host_records(&mut self, builder: &mut CommitBuilder) {
        for host_index in self.commit_queue.dirty_hosts() {
            if builder.is_full() {
                break;
            }
            self.commit_queue.unmark_host(host_index);
            let Some(host) = self.cluster.host(host_index) else { continue };
            let instance_type =
                host.instance_type.map_or(String::new(), |index| self.cluster.instance_types[index].name.clone());
            let partition = host.transferring_to.unwrap_or(self.teams.partition());
            let (addr, zone) = (host.addr, host.zone.clone());
            let record = HostRecord { addr, instance_type, zone, spot: host.spot, partition };
            let Ok(value) = serde_json::to_value(record) else { continue };
            let pending = match host.transferring_to {
                Some(to) => PendingWrite::TransferredHost { host: host_index, to },
                None => PendingWrite::Host(host_index),
            };
            builder.add(wire::put(&host_key(&host.id), &value, None), pending);
        }
    }

    /// Adds deletions of keys that are no longer needed.
    fn add_deletions(&mut self, builder: &mut CommitBuilder) {
        while !builder.is_full() {
            let Some(key) = self.commit_queue.pop_obsolete_key() else { break };
            builder.add(wire::delete(&key), PendingWrite::DeletedKey(key));
        }
    }
}
