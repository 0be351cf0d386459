//! User requests to a partition: submissions, status requests and cancellations.

use super::failure_detector::HeartbeatTimeouts;
use super::waiting_clients::reply;
use super::{Partition, UserAnswer, Waiter};
use crate::api::refusal::RefusalReason;
use crate::model::{Host, Job, JobEnd, JobIndex, JobPhase, Spec, UNREACHABLE_AFTER_UNANSWERED, UnsavedChange, Urgency};
use crate::{scheduling, wire};

/// Milliseconds of the lease that are required per second of backlog. Submissions are refused once
/// recording the earlier ones takes more than a quarter of a lease.
const BACKLOG_MS_PER_S: f64 = 4000.0;

/// State of a job that may be answered from memory.
struct AnswerablePhase {
    phase: JobPhase,
    /// Number of running tasks.
    running: u32,
}

impl Partition {
    /// Handles a submission. It is answered immediately or, through the waiter, after the commit that
    /// creates the record, so that an accepted job is never lost.
    pub fn submit(&mut self, body: &[u8], now: u64, wall: u64, waiter: Waiter) {
        let (id, spec) = match wire::parse_submission(body) {
            Ok(spec) => (Some(spec.id.clone()), Ok(spec)),
            Err(malformed) => (malformed.id, Err(malformed.reason.to_string())),
        };
        // A known id is answered before the rest of the submission is checked, which makes it safe to
        // repeat a submission.
        if let Some(&job_index) = id.as_ref().and_then(|id| self.cluster.job_index.get(id)) {
            self.answer_resubmission(job_index, waiter);
            return;
        }
        let refusal = match spec {
            Ok(spec) if spec.dependencies.is_empty() => return self.accept(spec, now, wall, waiter),
            Ok(spec) if !self.conditions.has_outdated_peer => return self.submit_waiting(spec, now, wall, waiter),
            Ok(_) => UserAnswer::RetryLater(RefusalReason::ControllerOutdated),
            Err(message) => UserAnswer::InvalidSubmission(message),
        };
        reply(waiter, refusal);
    }

    /// Answers the repeated submission of a known job, immediately or once the job is accepted.
    pub(super) fn answer_resubmission(&mut self, job_index: JobIndex, waiter: Waiter) {
        if self.cluster.jobs[job_index].version == 0 {
            self.waiting_clients.await_acceptance(job_index, waiter);
        } else {
            reply(waiter, self.acceptance_answer(job_index, false));
        }
    }

    /// Accepts a new job once it is recorded, or answers with the reason why it cannot be accepted.
    pub(super) fn accept(&mut self, spec: Spec, now: u64, wall: u64, waiter: Waiter) {
        match self.refusal_of(&spec) {
            Some(refusal) => reply(waiter, refusal),
            None => {
                let job_index = self.add_submitted(spec, now, wall);
                self.waiting_clients.await_acceptance(job_index, waiter);
            }
        }
    }

    /// Returns the answer that refuses a new job, temporarily or permanently; `None` if it can be
    /// accepted.
    fn refusal_of(&self, spec: &Spec) -> Option<UserAnswer> {
        if self.cluster.instance_types.is_empty() {
            return Some(UserAnswer::RetryLater(RefusalReason::MachineTypesUnknown));
        }
        if let Some(reason) = scheduling::unschedulable_reason(spec, &self.policy, &self.cluster.instance_types) {
            return Some(match reason.is_temporary(self.conditions.configuration_up_to_date) {
                true => UserAnswer::RetryLater(RefusalReason::ConfigurationBehind),
                false => UserAnswer::Unschedulable(reason.to_string()),
            });
        }
        if let Some(message) = self.commit_queue.limits().job_refusal(spec) {
            return Some(UserAnswer::InvalidSubmission(message.into()));
        }
        let backlog_s = self.backlog_s(spec.urgency);
        let busy = backlog_s * BACKLOG_MS_PER_S > self.policy.lease_ms as f64;
        busy.then_some(UserAnswer::Busy(backlog_s.ceil() as u64))
    }

    /// Adds a job whose record is still to be created.
    fn add_submitted(&mut self, spec: Spec, now: u64, wall: u64) -> JobIndex {
        let mut job = Job::new(spec, wall, now);
        job.unsaved = UnsavedChange::Creation;
        job.unknown_to_earlier_leaders = true;
        let job_index = self.cluster.add_job(job);
        self.commit_queue.mark_job(job_index);
        self.register_job(job_index);
        job_index
    }

    /// Returns the seconds needed to record the earlier submissions of at least this urgency. A burst of
    /// less urgent jobs does not keep urgent ones out.
    fn backlog_s(&self, urgency: Urgency) -> f64 {
        self.commit_queue.creations_due(&self.cluster.jobs, urgency) as f64 / self.policy.writes_per_s
    }

    /// Returns the phase of a job and the number of its running tasks if they may be answered to a
    /// user from memory. This is the only place that decides this. The records are authoritative: while a
    /// write of the job's end may have been carried out, another node may have read the end and answered
    /// with it. In that case nothing older may be answered, and the record must be read again.
    ///
    /// # Errors
    ///
    /// The [`UserAnswer::RetryLater`] that is to be sent instead.
    fn answerable_phase(&self, job_index: JobIndex) -> Result<AnswerablePhase, UserAnswer> {
        let job = &self.cluster.jobs[job_index];
        if job.version == 0 {
            return Err(UserAnswer::RetryLater(RefusalReason::JobNotAccepted));
        }
        if job.end.is_none() && job.end_indeterminate {
            return Err(UserAnswer::RetryLater(RefusalReason::EndBeingRecorded));
        }
        if job.end.is_none()
            && job.waiting
            && let Some(reason) = self.waiting_indeterminate_reason(job_index)
        {
            return Err(UserAnswer::RetryLater(reason));
        }
        let running = if job.end.is_some() { 0 } else { self.running_counts.of(&self.cluster, job_index) };
        Ok(AnswerablePhase { phase: job.phase(running), running })
    }

    /// Returns the answer to the submission of an accepted job.
    pub(super) fn acceptance_answer(&self, job_index: JobIndex, created: bool) -> UserAnswer {
        match self.answerable_phase(job_index) {
            Ok(AnswerablePhase { phase, .. }) => {
                UserAnswer::Accepted { created, id: self.cluster.jobs[job_index].spec.id.clone(), phase }
            }
            Err(refusal) => refusal,
        }
    }

    /// Returns the answer to a request for the status of a job.
    pub fn status(&self, id: &str) -> UserAnswer {
        match self.cluster.job_index.get(id) {
            Some(&job_index) => self.status_answer(job_index),
            None => UserAnswer::Unknown,
        }
    }

    /// Returns the status answer for a known job.
    pub(super) fn status_answer(&self, job_index: JobIndex) -> UserAnswer {
        let job = &self.cluster.jobs[job_index];
        // All tasks may be done before the record states it. The end itself is answered only after its
        // commit.
        let done = job.done.min(job.spec.tasks);
        match self.answerable_phase(job_index) {
            Ok(AnswerablePhase { phase, running }) => {
                UserAnswer::Status { id: job.spec.id.clone(), phase, done, running }
            }
            Err(refusal) => refusal,
        }
    }

    /// Handles a cancellation. It is answered after its commit, or immediately if a commit is not
    /// possible soon (`recordable` is `false` while the state service does not answer). Reachable
    /// attempts are stopped in any case.
    pub fn cancel(&mut self, id: &str, now: u64, recordable: bool, waiter: Waiter) {
        let Some(&job_index) = self.cluster.job_index.get(id) else {
            reply(waiter, UserAnswer::Unknown);
            return;
        };
        let job = &mut self.cluster.jobs[job_index];
        if job.end.is_some() || job.version == 0 {
            reply(waiter, self.status_answer(job_index));
            return;
        }
        if !std::mem::replace(&mut job.cancelling, true) {
            self.reserve_capacity_of_cancelled(job_index, now);
            self.stop_all_attempts(job_index);
            self.cancelling.insert(job_index);
        }
        if !recordable {
            reply(waiter, UserAnswer::RetryLater(RefusalReason::StateServiceSilent));
        } else if self.may_be_unreachable(job_index, now) {
            reply(waiter, UserAnswer::RetryLater(RefusalReason::MachineUnreachable));
        } else {
            self.waiting_clients.await_end(job_index, waiter);
        }
    }

    /// Returns whether one of the job's tasks may be on a host that does not answer.
    fn may_be_unreachable(&self, job_index: JobIndex, now: u64) -> bool {
        let timeout_ms = HeartbeatTimeouts::of(&self.policy).unreachable_after_ms;
        let is_unreachable = |host: &Host| {
            host.unanswered_commands >= UNREACHABLE_AFTER_UNANSWERED
                || now.saturating_sub(host.last_heartbeat_ms) > timeout_ms
        };
        let has_tasks =
            |host: &Host| host.attempts.iter().any(|attempt| attempt.key.job == job_index && !attempt.ended());
        self.cluster.each_host().any(|(_, host)| is_unreachable(host) && has_tasks(host))
    }

    /// Queues the record of cancellations whose tasks can certainly no longer run; they are answered
    /// after that. If they were answered earlier, `cancel_s` would elapse while an unreachable host,
    /// whose lease another controller renews, still runs a task.
    pub(super) fn record_completed_cancellations(&mut self) {
        if self.cancelling.is_empty() {
            return;
        }
        let on_machines = self.cluster.jobs_on_machines();
        // A completion may be in the commit in flight and takes precedence.
        let cannot_run = |job_index: &JobIndex| {
            !self.cluster.jobs[*job_index].saving && self.cluster.no_task_can_run(*job_index, &on_machines)
        };
        let completed: Vec<JobIndex> = self.cancelling.iter().copied().filter(cannot_run).collect();
        for job_index in completed {
            self.cancelling.remove(&job_index);
            let job = &mut self.cluster.jobs[job_index];
            if job.end.is_none() && !matches!(job.unsaved, UnsavedChange::End(_)) {
                job.unsaved = UnsavedChange::End(JobEnd::Cancelled);
                self.commit_queue.mark_job(job_index);
            }
        }
    }
}
