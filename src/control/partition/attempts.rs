//! Handling of attempts that end or are lost, and the consequences for their tasks and jobs. The parameter
//! `now` is steady time in milliseconds.

use super::Partition;
use crate::model::{ClusterState, ExitReason, HostIndex, JobEnd, JobIndex, Place, Shape, TaskKey, UnsavedChange};
use std::ops::Range;

/// Number of failures from which a task is retried only after a pause.
const FAILURES_BEFORE_PAUSE: u16 = 2;
/// Number of failures up to which the pause doubles with each failure.
const MAX_PAUSE_FAILURES: u16 = 6;

impl Partition {
    /// Handles the end of an attempt with the given reason.
    pub(super) fn attempt_ended(
        &mut self,
        host_index: HostIndex,
        key: TaskKey,
        attempt: u64,
        reason: ExitReason,
        now: u64,
    ) {
        self.scheduling_triggers.request_cycle();
        let job = &self.cluster.jobs[key.job];
        tracing::debug!(job = job.spec.id, task = key.task, attempt, reason = ?reason, "task attempt ended");
        let shape = job.spec.shape;
        if reason == ExitReason::Done && shape != Shape::Service {
            self.attempt_completed(host_index, key, now);
            return;
        }
        if !self.clear_place(host_index, key, attempt) {
            return;
        }
        self.reserve_capacity_of_done(host_index, key.job, now);
        match reason {
            ExitReason::Error | ExitReason::NoSuch => self.task_failed(host_index, key, reason, now),
            ExitReason::NoRoom | ExitReason::InUse => {
                if let Some(host) = self.cluster.host_mut(host_index) {
                    host.blocked_until_ms = now + 2 * self.policy.react_ms;
                }
            }
            _ => {}
        }
        if shape == Shape::Gang {
            self.stop_all_attempts(key.job);
        }
    }

    /// Handles the success of an attempt: marks its task as done, or all tasks of a gang, because they
    /// complete together, and records the success for the host.
    fn attempt_completed(&mut self, host_index: HostIndex, key: TaskKey, now: u64) {
        let job = &self.cluster.jobs[key.job];
        let is_gang = job.spec.shape == Shape::Gang;
        let may_blame_others = is_gang || job.tasks.get(key.task).failures > 0;
        let done = if is_gang { 0..job.spec.tasks } else { key.task..key.task + 1 };
        self.tasks_done(key.job, done, now);
        self.record_task_success(host_index, key.job, may_blame_others);
    }

    /// Records the success of a task on a host, which then counts as healthy. If the task had failed, or
    /// its job is a gang (`may_blame_others`), other hosts to which a failure of the job is attributed count as
    /// faulty.
    fn record_task_success(&mut self, healthy_host: HostIndex, job_index: JobIndex, may_blame_others: bool) {
        if let Some(host) = self.cluster.host_mut(healthy_host) {
            host.failed_jobs.clear();
            host.succeeded_elsewhere = false;
        }
        let job = &self.cluster.jobs[job_index];
        for host_index in job.failed_on.iter().filter(|_| may_blame_others) {
            if let Some(host) =
                self.cluster.hosts[*host_index].as_mut().filter(|host| host.failed_jobs.contains(&job_index))
            {
                host.succeeded_elsewhere = true;
            }
        }
    }

    /// Sets the task to idle if this attempt holds its place. Returns `false` if it does not.
    fn clear_place(&mut self, host_index: HostIndex, key: TaskKey, attempt: u64) -> bool {
        let job = &mut self.cluster.jobs[key.job];
        if job.tasks.get(key.task).place != Place::OnHost(host_index, attempt) {
            return false;
        }
        job.tasks.update(key.task, |task| task.place = Place::Idle);
        // The ended attempt may belong to an urgent job, or urgent work may wait for the released
        // capacity.
        let has_reservations =
            self.cluster.hosts[host_index].as_ref().is_some_and(|host| !host.reservations.is_empty());
        if has_reservations {
            self.scheduling_triggers.request_urgent_cycle();
        }
        self.scheduling_triggers.request_cycle_for(job.urgency);
        true
    }

    /// Counts a failed attempt. A task that fails repeatedly is paused before its next attempt, and a
    /// failure with an error is attributed to the host or to the job.
    fn task_failed(&mut self, host_index: HostIndex, key: TaskKey, reason: ExitReason, now: u64) {
        let react_ms = self.policy.react_ms;
        self.cluster.jobs[key.job].tasks.update(key.task, |task| {
            task.failures = task.failures.saturating_add(1);
            if task.failures >= FAILURES_BEFORE_PAUSE {
                // The task may fail on every host: exponential pauses keep it from taking capacity again in
                // each cycle.
                task.retry_after_ms = now + react_ms * (1 << task.failures.min(MAX_PAUSE_FAILURES));
            }
        });
        if reason == ExitReason::Error {
            self.attribute_failure(host_index, key.job, now);
        }
    }

    /// Attributes a failure to the host, or to the job if it has failed on at least two hosts or only one
    /// host is known. For a period after that, the job avoids the hosts on which it failed.
    fn attribute_failure(&mut self, host_index: HostIndex, job_index: JobIndex, now: u64) {
        let host_count = self.cluster.hosts.len();
        // The period is long enough for another host to boot.
        let boot_s = self.cluster.instance_types.iter().map(|instance_type| instance_type.boot_s).fold(0.0, f64::max);
        let job = &mut self.cluster.jobs[job_index];
        job.failed_on.insert(host_index);
        job.avoid_hosts_until_ms = now + 2 * self.policy.lease_ms + (boot_s * 1000.0) as u64;
        let job_at_fault = job.failed_on.len() > 1 || host_count == 1;
        if job_at_fault {
            for host in self.cluster.hosts.iter_mut().flatten() {
                host.failed_jobs.remove(&job_index);
            }
        } else if let Some(host) = self.cluster.host_mut(host_index) {
            host.failed_jobs.insert(job_index);
        }
    }

    /// Marks tasks as done and schedules the write of the job's record.
    pub(super) fn tasks_done(&mut self, job_index: JobIndex, tasks: Range<u32>, now: u64) {
        let job = &mut self.cluster.jobs[job_index];
        let newly_done = job.tasks.complete(tasks.start, tasks.end);
        if newly_done == 0 || job.end.is_some() {
            return;
        }
        job.done += newly_done;
        let job_is_batch = job.spec.shape == Shape::Batch;
        if job.done >= job.spec.tasks {
            // A cancellation whose write is pending takes precedence; otherwise the job is done.
            if !matches!(job.unsaved, UnsavedChange::End(_)) {
                job.unsaved = UnsavedChange::End(JobEnd::Done);
            }
        } else if job.unsaved == UnsavedChange::Nothing {
            job.unsaved = UnsavedChange::Progress;
            job.unsaved_since_ms = now;
        }
        self.commit_queue.mark_job(job_index);
        if job_is_batch {
            self.scheduling_triggers.mark_array_task_done();
        }
    }

    /// Stops the remaining attempts of tasks of batch jobs that are already done. Runs once per scheduling
    /// cycle, because it iterates over all attempts.
    pub(super) fn stop_attempts_of_done_tasks(&mut self) {
        if !self.scheduling_triggers.take_array_tasks_done() {
            return;
        }
        let ClusterState { jobs, hosts, .. } = &mut self.cluster;
        for attempt in hosts.iter_mut().flatten().flat_map(|host| host.attempts.iter_mut()) {
            let job = &jobs[attempt.key.job];
            let done = job.spec.shape == Shape::Batch && job.tasks.get(attempt.key.task).place == Place::Done;
            if done && !attempt.ended() && attempt.stop.is_none() {
                attempt.stop = Some(0.0);
            }
        }
    }

    /// Stops all attempts of a job without a grace period: the job has ended, or it is a gang that lost a
    /// task and whose other tasks must stop before the next attempt.
    pub(super) fn stop_all_attempts(&mut self, job_index: JobIndex) {
        for (host_index, host) in self.cluster.hosts.iter_mut().enumerate() {
            let Some(host) = host else { continue };
            for attempt in host.attempts.iter_mut().filter(|attempt| attempt.key.job == job_index && !attempt.ended()) {
                if attempt.stop_due().is_none_or(|grace_s| grace_s > 0.0) {
                    (attempt.stop, attempt.stop_awaits_record) = (Some(0.0), false);
                    self.dispatch_queue.insert(host_index);
                }
            }
        }
    }

    /// Removes an attempt that is certainly no longer on the host.
    pub(super) fn remove_attempt(&mut self, host_index: HostIndex, key: TaskKey, attempt: u64) {
        let Some(host) = self.cluster.host_mut(host_index) else { return };
        let ended = host.attempt_mut(key, attempt).is_some_and(|stored| stored.ended());
        host.attempts.retain(|stored| stored.key != key || stored.attempt != attempt);
        self.scheduling_triggers.request_cycle();
        self.attempt_lost(host_index, key, attempt, ended);
    }

    /// Handles the loss of an attempt. If it held the place of its task, sets the task to idle and stops the
    /// other attempts of a gang, unless the lost one had already ended (`ended`).
    pub(super) fn attempt_lost(&mut self, host_index: HostIndex, key: TaskKey, attempt: u64, ended: bool) {
        let job = &mut self.cluster.jobs[key.job];
        if job.tasks.get(key.task).place == Place::OnHost(host_index, attempt) {
            job.tasks.update(key.task, |task| task.place = Place::Idle);
            self.scheduling_triggers.request_cycle_for(job.urgency);
            self.metrics.count("tasks_lost", &job.spec.class);
            if !ended && job.spec.shape == Shape::Gang {
                self.stop_all_attempts(key.job);
            }
        }
    }

    /// Removes all attempts of a host that is gone or whose lease has ended.
    pub(super) fn remove_all_attempts(&mut self, host_index: HostIndex) {
        let Some(host) = self.cluster.host_mut(host_index) else { return };
        let attempts = std::mem::take(&mut host.attempts);
        host.has_unknown_tasks = false;
        for attempt in attempts {
            self.attempt_lost(host_index, attempt.key, attempt.attempt, attempt.ended());
        }
        self.scheduling_triggers.request_cycle();
    }
}
