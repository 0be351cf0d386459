//! Handling of commit outcomes, and of records that are read again.
//!
//! A write without an answer may be carried out immediately or later, even after newer writes. It can no
//! longer be carried out once the version in its condition has changed.

use super::keys::JOB_PREFIX;
use super::waiting_clients::reply;
use super::{CommitOutcome, JobWrite, Partition, PendingWrite, Superseded};
use crate::model::{HostIndex, JobEnd, JobIndex, JobRecord, UnsavedChange};
use crate::wire::KeyValue;
use badgerdrift_borrowing::LOAN_PREFIX;

/// Reason why a change counts as not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFailure {
    /// The change was not carried out and cannot be carried out later.
    NotCarriedOut,
    /// The change may have been carried out, or may still be.
    Indeterminate,
}

impl Partition {
    /// Returns whether a late write may undo the transfer of a host between partitions.
    pub(super) fn is_transfer_indeterminate(&self) -> bool {
        !self.teams.owns_all_teams() && self.commit_queue.is_host_write_indeterminate(self.epoch.partition_version())
    }

    /// Returns whether a commit is in flight.
    pub fn is_committing(&self) -> bool {
        self.commit_queue.is_committing()
    }

    /// Applies the outcome of the commit in flight and returns the keys of the jobs whose records must
    /// be read again.
    ///
    /// # Errors
    ///
    /// [`Superseded`] if the version of the partition's key has changed, so that another node may lead
    /// the partition.
    pub fn apply_commit_outcome(&mut self, result: CommitOutcome) -> Result<Vec<String>, Superseded> {
        let pending = self.commit_queue.take_in_flight();
        // After a conflict, the records of pools and loans are read again, as after a commit without an
        // answer.
        let conflict = matches!(result, CommitOutcome::Conflict { .. });
        let indeterminate = matches!(result, CommitOutcome::Indeterminate);
        let failed = match result {
            CommitOutcome::Done { revision } => {
                self.commit_queue.raise_max_changes();
                pending.into_iter().for_each(|write| self.write_succeeded(write, revision));
                return Ok(Vec::new());
            }
            CommitOutcome::Conflict { failed } => failed,
            CommitOutcome::Rejected => {
                self.handle_rejected_commit(&pending);
                Vec::new()
            }
            CommitOutcome::Refused | CommitOutcome::Throttled | CommitOutcome::Indeterminate => Vec::new(),
        };
        for write in pending {
            let reread = conflict && matches!(write, PendingWrite::Pools | PendingWrite::Loans);
            let failure =
                if indeterminate || reread { WriteFailure::Indeterminate } else { WriteFailure::NotCarriedOut };
            self.write_failed(write, failure);
        }
        if failed.iter().any(|key| key == self.epoch.partition_key()) {
            return Err(Superseded);
        }
        Ok(failed.into_iter().filter(|key| key.starts_with(JOB_PREFIX)).collect())
    }

    /// Reduces the size of the next commits after the state service rejected one. If the rejected commit
    /// held a single job record, that record is retried after one lease so that it does not block other
    /// writes.
    fn handle_rejected_commit(&mut self, pending: &[PendingWrite]) {
        self.metrics.count("limits_met", "commit_size");
        if !self.commit_queue.lower_max_changes(pending.len()) {
            return;
        }
        if let [PendingWrite::Job(write)] = pending {
            let job = &mut self.cluster.jobs[write.job];
            tracing::error!(job = job.spec.id, "job record rejected by the state service, retrying after one lease");
            job.write_after_ms = self.commit_queue.last_commit_ms() + self.policy.lease_ms;
        }
    }

    /// Returns the keys of pools and loans that must be read before their records are written again.
    pub fn reservation_keys_to_read(&self) -> Vec<String> {
        let mut keys = self.pool_keys_to_read();
        keys.extend(self.loan_keys_to_read());
        keys
    }

    /// Applies the current values of these keys of pools and loans.
    pub fn apply_reservation_records(&mut self, found: Vec<(String, Option<KeyValue>)>) {
        let (loans, pools): (Vec<_>, Vec<_>) = found.into_iter().partition(|(key, _)| key.starts_with(LOAN_PREFIX));
        for (key, item) in &loans {
            self.apply_loan_record(key, item.as_ref());
        }
        self.apply_pool_records(pools);
    }

    /// Applies a change that was carried out.
    fn write_succeeded(&mut self, pending: PendingWrite, revision: u64) {
        match pending {
            PendingWrite::Job(write) => {
                self.cluster.jobs[write.job].recorded_done = write.done;
                self.job_recorded(write.job, write.change, revision);
            }
            PendingWrite::Host(host_index) => {
                if let Some(host) = self.cluster.host_mut(host_index) {
                    host.registered = true;
                    self.scheduling_triggers.request_cycle();
                }
            }
            PendingWrite::TransferredHost { host: host_index, to } => {
                if let Some(host) = self.cluster.remove_host(host_index) {
                    tracing::info!(host = host.id, to, "host transferred to another partition");
                    self.host_directory.assign(host.id, to);
                }
            }
            PendingWrite::Pools => self.pools_write_succeeded(revision),
            PendingWrite::Loans => self.loans_write_succeeded(revision),
            PendingWrite::DeletedKey(_) => {}
        }
    }

    /// Queues a change again that was not, or possibly not, carried out.
    fn write_failed(&mut self, pending: PendingWrite, failure: WriteFailure) {
        match pending {
            PendingWrite::Job(write) => self.job_write_failed(&write, failure),
            PendingWrite::Host(host_index) | PendingWrite::TransferredHost { host: host_index, .. } => {
                self.host_write_failed(host_index, failure);
            }
            PendingWrite::Pools => self.pools_write_failed(failure),
            PendingWrite::Loans => self.loans_write_failed(failure),
            PendingWrite::DeletedKey(key) => {
                self.commit_queue.mark_obsolete(key);
            }
        }
    }

    /// Queues a job's change again that was not, or possibly not, recorded.
    fn job_write_failed(&mut self, write: &JobWrite, failure: WriteFailure) {
        let job = &mut self.cluster.jobs[write.job];
        let change = write.change;
        job.saving = false;
        // A write that was certainly refused leaves nothing indeterminate, but an earlier write may.
        job.end_indeterminate &= failure == WriteFailure::Indeterminate || write.end_was_indeterminate;
        // The job was found to exist in the meantime and need not be created.
        if change == UnsavedChange::Creation && job.version > 0 {
            return;
        }
        // A newer unsaved change takes precedence, unless this one is a creation or an end.
        if !matches!(job.unsaved, UnsavedChange::End(_)) || matches!(change, UnsavedChange::End(_)) {
            job.unsaved = change;
        }
        self.commit_queue.mark_job(write.job);
    }

    /// Queues a host record again and notes an indeterminate write.
    fn host_write_failed(&mut self, host_index: HostIndex, failure: WriteFailure) {
        self.commit_queue.mark_host(host_index);
        if failure == WriteFailure::Indeterminate {
            self.commit_queue.set_indeterminate_host_write(self.epoch.partition_version());
        }
    }

    /// Applies a successful write of a job's record.
    pub(super) fn job_recorded(&mut self, job_index: JobIndex, change: UnsavedChange, version: u64) {
        let job = &mut self.cluster.jobs[job_index];
        job.saving = false;
        job.version = version;
        // Earlier writes are conditional on an older version and can no longer be carried out.
        job.end_indeterminate = false;
        match change {
            UnsavedChange::End(end) => self.apply_job_end(job_index, end),
            UnsavedChange::Creation => {
                self.scheduling_triggers.request_cycle();
                self.scheduling_triggers.request_cycle_for(job.urgency);
                let spec = &job.spec;
                tracing::debug!(
                    job = spec.id,
                    class = spec.class,
                    team = spec.team,
                    tasks = spec.tasks,
                    expected_s = spec.expected_s,
                    due_s = spec.due_s.unwrap_or(0.0),
                    dependencies = spec.dependencies.iter().count(),
                    "accepted"
                );
                self.creation_confirmed(job_index, true);
            }
            _ => {}
        }
    }

    /// Applies the end of a job as stated by its record. An end never changes: the first one is kept.
    pub(super) fn apply_job_end(&mut self, job_index: JobIndex, end: JobEnd) {
        let job = &mut self.cluster.jobs[job_index];
        job.unsaved = UnsavedChange::Nothing;
        self.commit_queue.unmark_job(job_index);
        // The end is already known from the record of a dependency of the job.
        if job.end.replace(end).is_some() {
            return;
        }
        let id = job.spec.id.clone();
        self.retire_job(job_index);
        self.dependency_ended(&id, end);
    }

    /// Stops the remaining attempts of a job that has ended and removes it from all queues.
    pub(super) fn retire_job(&mut self, job_index: JobIndex) {
        let job = &mut self.cluster.jobs[job_index];
        job.retire();
        self.cancelling.remove(&job_index);
        if !job.waiting {
            self.cluster.runnable_jobs.retain(|runnable| *runnable != job_index);
            self.stop_all_attempts(job_index);
        }
        let open = self.dependencies.remove_waiting(job_index);
        self.release_dependencies(&open);
        self.notify_job_end(job_index);
        self.scheduling_triggers.request_cycle();
    }

    /// Handles a confirmed job record: cancels the job if one of its dependencies is cancelled, and
    /// answers the clients that wait for its acceptance. `created` states whether one of their
    /// submissions created the job.
    fn creation_confirmed(&mut self, job_index: JobIndex, created: bool) {
        let submitters = self.waiting_clients.take_submitters(job_index);
        self.cancel_if_dependency_cancelled(job_index);
        let answer = self.acceptance_answer(job_index, created);
        for waiter in submitters {
            reply(waiter, answer.clone());
        }
    }

    /// Answers all clients that wait for the job with its end.
    fn notify_job_end(&mut self, job_index: JobIndex) {
        let answer = self.status_answer(job_index);
        self.waiting_clients.answer_all(job_index, &answer);
    }

    /// Applies a job's record that was read again after a conflict. Its contents are authoritative;
    /// unsaved changes that it lacks remain to be written.
    pub fn apply_reread_record(&mut self, item: KeyValue) {
        let Some(&job_index) = item.key.strip_prefix(JOB_PREFIX).and_then(|id| self.cluster.job_index.get(id)) else {
            return;
        };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        let job = &mut self.cluster.jobs[job_index];
        // This read precedes the last write that is known to have been carried out.
        if item.version < job.version {
            return;
        }
        let created = job.version == 0;
        job.end_indeterminate &= item.version == job.version;
        job.version = item.version;
        if let Some(end) = record.end {
            self.apply_job_end(job_index, end);
            return;
        }
        if created {
            self.replace_dependencies(job_index, record.spec.dependencies);
            let job = &mut self.cluster.jobs[job_index];
            if job.unsaved == UnsavedChange::Creation {
                job.unsaved = UnsavedChange::Nothing;
                self.commit_queue.unmark_job(job_index);
            }
            // The record existed already, possibly through a commit of this leader whose answer was
            // lost.
            job.accepted_ms = record.accepted_ms;
            self.scheduling_triggers.request_cycle();
            self.creation_confirmed(job_index, false);
        }
    }
}
