//! What the answer to a commit means, and records that are read again.
//!
//! A write without an answer may be carried out at once or late, even after newer ones; it can't be
//! once the version that it is conditional on has changed.

use super::keys::JOB_PREFIX;
use super::waiting_clients::reply;
use super::{CommitOutcome, JobWrite, Partition, PendingWrite, Superseded};
use crate::model::{HostIndex, JobEnd, JobIndex, JobRecord, UnsavedChange};
use crate::wire::Item;
use badgerdrift_borrowing::LOAN_PREFIX;

/// Why a change counts as not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteFailure {
    /// It was certainly not carried out, and won't be.
    NotCarriedOut,
    /// It may have been carried out, or may still be.
    Indeterminate,
}

impl Partition {
    /// May a late write undo the transfer of a machine between partitions?
    pub(super) fn is_transfer_indeterminate(&self) -> bool {
        !self.teams.owns_all_teams() && self.commit_queue.is_host_write_indeterminate(self.epoch.partition_version())
    }

    /// Is a commit under way?
    pub fn is_committing(&self) -> bool {
        self.commit_queue.is_committing()
    }

    /// Takes the result of the commit under way; returns the keys of jobs
    /// whose records must be read again.
    ///
    /// # Errors
    ///
    /// [`Superseded`] if the partition's key is not as it was: another may lead it.
    pub fn committed(&mut self, result: CommitOutcome) -> Result<Vec<String>, Superseded> {
        let pending = self.commit_queue.take_in_flight();
        // After a conflict the records of pools and loans are read again, as after a commit without
        // an answer.
        let conflict = matches!(result, CommitOutcome::Conflict { .. });
        let indeterminate = matches!(result, CommitOutcome::Indeterminate);
        let failed = match result {
            CommitOutcome::Done { revision } => {
                self.commit_queue.raise_max_changes();
                pending.into_iter().for_each(|s| self.written(s, revision));
                return Ok(Vec::new());
            }
            CommitOutcome::Conflict { failed } => failed,
            CommitOutcome::NotTaken => {
                self.commit_not_taken(&pending);
                Vec::new()
            }
            CommitOutcome::Refused | CommitOutcome::Throttled | CommitOutcome::Indeterminate => Vec::new(),
        };
        for write in pending {
            let reread = conflict && matches!(write, PendingWrite::Pools | PendingWrite::Loans);
            let failure =
                if indeterminate || reread { WriteFailure::Indeterminate } else { WriteFailure::NotCarriedOut };
            self.not_written(write, failure);
        }
        if failed.iter().any(|key| key == self.epoch.partition_key()) {
            return Err(Superseded);
        }
        Ok(failed.into_iter().filter(|key| key.starts_with(JOB_PREFIX)).collect())
    }

    /// The service takes no such commit: the next ones are smaller, until one change alone is
    /// at fault. That one waits for a lease, so that it doesn't keep the others back.
    fn commit_not_taken(&mut self, pending: &[PendingWrite]) {
        self.metrics.count("limits_met", "commit_size");
        if !self.commit_queue.lower_max_changes(pending.len()) {
            return;
        }
        if let [PendingWrite::Job(write)] = pending {
            let job = &mut self.cluster.jobs[write.job];
            tracing::error!(job = job.spec.id, "the state service rejected the job's record");
            job.write_after_ms = self.commit_queue.last_commit_ms() + self.policy.lease_ms;
        }
    }

    /// Keys of pools and loans that must be read before their records are written again.
    pub fn indeterminate_keys(&self) -> Vec<String> {
        let mut keys = self.pool_keys_to_read();
        keys.extend(self.loan_keys_to_read());
        keys
    }

    /// Takes these keys as they are now.
    pub fn indeterminate_keys_read(&mut self, found: Vec<(String, Option<Item>)>) {
        let (loans, pools): (Vec<_>, Vec<_>) = found.into_iter().partition(|(key, _)| key.starts_with(LOAN_PREFIX));
        for (key, item) in &loans {
            self.loan_key_read(key, item.as_ref());
        }
        self.pool_keys_read(pools);
    }

    /// A change was carried out.
    fn written(&mut self, pending: PendingWrite, revision: u64) {
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
            PendingWrite::Pools => self.pools_written(revision),
            PendingWrite::Loans => self.loans_written(revision),
            PendingWrite::DeletedKey(_) => {}
        }
    }

    /// A change was not carried out, or maybe not.
    fn not_written(&mut self, pending: PendingWrite, failure: WriteFailure) {
        match pending {
            PendingWrite::Job(write) => self.job_not_written(&write, failure),
            PendingWrite::Host(host_index) | PendingWrite::TransferredHost { host: host_index, .. } => {
                self.host_not_written(host_index, failure);
            }
            PendingWrite::Pools => self.pools_not_written(failure),
            PendingWrite::Loans => self.loans_not_written(failure),
            PendingWrite::DeletedKey(key) => {
                self.commit_queue.mark_obsolete(key);
            }
        }
    }

    fn job_not_written(&mut self, write: &JobWrite, failure: WriteFailure) {
        let job = &mut self.cluster.jobs[write.job];
        let change = write.change;
        job.saving = false;
        // What was certainly refused is not indeterminate; an earlier write may be.
        job.end_indeterminate &= failure == WriteFailure::Indeterminate || write.end_was_indeterminate;
        // Found to exist meanwhile: it need not be created any more.
        if change == UnsavedChange::Creation && job.version > 0 {
            return;
        }
        // What came meanwhile weighs more, except against a creation or an end.
        if !matches!(job.unsaved, UnsavedChange::End(_)) || matches!(change, UnsavedChange::End(_)) {
            job.unsaved = change;
        }
        self.commit_queue.mark_job(write.job);
    }

    fn host_not_written(&mut self, host_index: HostIndex, failure: WriteFailure) {
        self.commit_queue.mark_host(host_index);
        if failure == WriteFailure::Indeterminate {
            self.commit_queue.set_indeterminate_host_write(self.epoch.partition_version());
        }
    }

    /// A job's record was written.
    pub(super) fn job_recorded(&mut self, job_index: JobIndex, change: UnsavedChange, version: u64) {
        let job = &mut self.cluster.jobs[job_index];
        job.saving = false;
        job.version = version;
        // Earlier writes are conditional on an older version: they can't be carried out any more.
        job.end_indeterminate = false;
        match change {
            UnsavedChange::End(end) => self.ended(job_index, end),
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

    /// The job's record says that it is over. An end never changes: the first one stays.
    pub(super) fn ended(&mut self, job_index: JobIndex, end: JobEnd) {
        let job = &mut self.cluster.jobs[job_index];
        job.unsaved = UnsavedChange::Nothing;
        self.commit_queue.unmark_job(job_index);
        // Known already, from the record of a job that it needs.
        if job.end.replace(end).is_some() {
            return;
        }
        let id = job.spec.id.clone();
        self.retire_job(job_index);
        self.dependency_ended(&id, end);
    }

    /// Nothing more is to be done for a job but to stop what is left of it.
    pub(super) fn retire_job(&mut self, job_index: JobIndex) {
        let job = &mut self.cluster.jobs[job_index];
        job.retire();
        self.cancelling.remove(&job_index);
        if !job.waiting {
            self.cluster.live.retain(|l| *l != job_index);
            self.stop_all(job_index);
        }
        let open = self.dependencies.remove_waiting(job_index);
        self.release_dependencies(&open);
        self.notify_job_end(job_index);
        self.scheduling_triggers.request_cycle();
    }

    /// The job's record is there: cancels it if it needs a cancelled one, and answers those who
    /// wait for it to be accepted; `created` by one of their submissions.
    fn creation_confirmed(&mut self, job_index: JobIndex, created: bool) {
        let submitters = self.waiting_clients.take_submitters(job_index);
        self.cancel_if_dependency_cancelled(job_index);
        let answer = self.accepted(job_index, created);
        for waiter in submitters {
            reply(waiter, answer.clone());
        }
    }

    /// Answers all who wait for the job with how it ended.
    fn notify_job_end(&mut self, job_index: JobIndex) {
        let answer = self.status_of(job_index);
        self.waiting_clients.answer_all(job_index, &answer);
    }

    /// A record as read again after a conflict: what it holds is true, what it
    /// lacks stays to be written.
    pub fn reread(&mut self, item: Item) {
        let Some(&job_index) = item.key.strip_prefix(JOB_PREFIX).and_then(|id| self.cluster.job_index.get(id)) else {
            return;
        };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        let job = &mut self.cluster.jobs[job_index];
        // Read before the last write that is known to have been carried out.
        if item.version < job.version {
            return;
        }
        let created = job.version == 0;
        job.end_indeterminate &= item.version == job.version;
        job.version = item.version;
        if let Some(end) = record.end {
            self.ended(job_index, end);
            return;
        }
        if created {
            self.replace_dependencies(job_index, record.spec.dependencies);
            let job = &mut self.cluster.jobs[job_index];
            if job.unsaved == UnsavedChange::Creation {
                job.unsaved = UnsavedChange::Nothing;
                self.commit_queue.unmark_job(job_index);
            }
            // Known already, maybe by a commit of this leader whose answer was lost.
            job.accepted_ms = record.accepted_ms;
            self.scheduling_triggers.request_cycle();
            self.creation_confirmed(job_index, false);
        }
    }
}
