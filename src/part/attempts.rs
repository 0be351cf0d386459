//! Attempts that end or are lost, and what follows for their tasks and jobs.

use super::Part;
use crate::model::{ExitReason, HostIx, JobEnd, JobIx, Place, Shape, TaskKey, Unsaved, Urgency};

/// From so many failures on, a task pauses before it is tried again.
const FAILS_BEFORE_PAUSE: u16 = 2;
/// The pause doubles with each failure up to this one.
const LONGEST_PAUSE_FAILS: u16 = 6;

impl Part {
    /// An attempt has ended, for this reason.
    pub(super) fn copy_ended(&mut self, hix: HostIx, key: TaskKey, attempt: u64, reason: ExitReason, now: u64) {
        self.stirred = true;
        let job = &self.world.jobs[key.job];
        tracing::debug!(job = job.spec.id, task = key.task, attempt, reason = ?reason, "task ended");
        let shape = job.spec.shape;
        if reason == ExitReason::Done && shape != Shape::Service {
            self.copy_completed(hix, key, now);
            return;
        }
        if !self.free_place(hix, key, attempt) {
            return;
        }
        match reason {
            ExitReason::Error | ExitReason::NoSuch => self.task_failed(hix, key, reason, now),
            ExitReason::NoRoom | ExitReason::InUse => {
                if let Some(h) = self.world.host_mut(hix) {
                    h.blocked_until_ms = now + 2 * self.policy.react_ms;
                }
            }
            _ => {}
        }
        if shape == Shape::Gang {
            self.stop_all(key.job);
        }
    }

    /// A task of an array is done, or a gang: its tasks complete together.
    fn copy_completed(&mut self, hix: HostIx, key: TaskKey, now: u64) {
        let spec = &self.world.jobs[key.job].spec;
        let done: Vec<u32> = if spec.shape == Shape::Gang { (0..spec.tasks).collect() } else { vec![key.task] };
        self.tasks_done(key.job, &done, now);
        self.note_success(hix, key);
    }

    /// A task is done on a machine: that one is sound, and where the task failed before, the
    /// machine was at fault.
    fn note_success(&mut self, sound: HostIx, key: TaskKey) {
        if let Some(h) = self.world.host_mut(sound) {
            h.failed_jobs.clear();
            h.succeeded_elsewhere = false;
        }
        let job = &self.world.jobs[key.job];
        let failed = job.spec.shape == Shape::Gang || job.tasks[key.task as usize].fails > 0;
        for host in job.failed_on.iter().filter(|_| failed) {
            if let Some(h) = self.world.hosts[*host].as_mut().filter(|h| h.failed_jobs.contains(&key.job)) {
                h.succeeded_elsewhere = true;
            }
        }
    }

    /// The task is idle again, if this attempt was its place; false if it was not.
    fn free_place(&mut self, hix: HostIx, key: TaskKey, attempt: u64) -> bool {
        let job = &mut self.world.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        if task.place != Place::On(hix, attempt) {
            return false;
        }
        task.place = Place::Idle;
        // Urgent work may be what ended, or what waits for the room.
        let waited_for = self.world.hosts[hix].as_ref().is_some_and(|h| !h.claims.is_empty());
        self.urgent |= waited_for || job.spec.urgency >= Urgency::High;
        true
    }

    /// An attempt has failed: pauses a task that fails wherever it runs, and notes the
    /// machine.
    fn task_failed(&mut self, hix: HostIx, key: TaskKey, reason: ExitReason, now: u64) {
        let task = &mut self.world.jobs[key.job].tasks[key.task as usize];
        task.fails = task.fails.saturating_add(1);
        if task.fails >= FAILS_BEFORE_PAUSE {
            // Fails wherever it runs: ever longer pauses, so that it
            // doesn't retake room in each pass.
            task.retry_ms = now + self.policy.react_ms * (1 << task.fails.min(LONGEST_PAUSE_FAILS));
        }
        if reason == ExitReason::Error {
            self.assign_blame(hix, key.job, now);
        }
    }

    /// Blames the machine for a failure, or the job once it has failed on several.
    fn assign_blame(&mut self, hix: HostIx, ix: JobIx, now: u64) {
        let hosts = self.world.hosts.len();
        // Long enough for another machine to boot.
        let boot_s = self.world.flavors.iter().map(|f| f.boot_s).fold(0.0, f64::max);
        let job = &mut self.world.jobs[ix];
        job.failed_on.insert(hix);
        job.shuns_until_ms = now + 2 * self.policy.lease_ms + (boot_s * 1000.0) as u64;
        let blames_job = job.failed_on.len() > 1 || hosts == 1;
        if blames_job {
            for h in self.world.hosts.iter_mut().flatten() {
                h.failed_jobs.remove(&ix);
            }
        } else if let Some(h) = self.world.host_mut(hix) {
            h.failed_jobs.insert(ix);
        }
    }

    /// Notes that tasks are done, which is to be recorded.
    pub(super) fn tasks_done(&mut self, ix: JobIx, tasks: &[u32], now: u64) {
        let job = &mut self.world.jobs[ix];
        let mut new = 0;
        for t in tasks {
            let task = &mut job.tasks[*t as usize];
            if task.place != Place::Done {
                task.place = Place::Done;
                new += 1;
            }
        }
        if new == 0 || job.end.is_some() {
            return;
        }
        job.done += new;
        if job.done >= job.spec.tasks {
            // A cancellation that is on its way goes first; else the job is done.
            if !matches!(job.unsaved, Unsaved::End(_)) {
                job.unsaved = Unsaved::End(JobEnd::Done);
            }
        } else if job.unsaved == Unsaved::Nothing {
            job.unsaved = Unsaved::Progress;
            job.unsaved_since_ms = now;
        }
        self.dirty.insert(ix);
        // Another copy of a task that is done has nothing left to do.
        if job.spec.shape == Shape::Batch {
            for h in self.world.hosts.iter_mut().flatten() {
                for c in h.copies.iter_mut().filter(|c| c.key.job == ix && tasks.contains(&c.key.task)) {
                    if !c.ended() && c.stop.is_none() {
                        c.stop = Some(0.0);
                    }
                }
            }
        }
    }

    /// Stops all copies of a job at once: it is over, or a gang that lost a
    /// task, whose rest must go before the next attempt.
    pub(super) fn stop_all(&mut self, ix: JobIx) {
        for (hix, h) in self.world.hosts.iter_mut().enumerate() {
            let Some(h) = h else { continue };
            for c in h.copies.iter_mut().filter(|c| c.key.job == ix && !c.ended()) {
                if c.stop.is_none_or(|g| g > 0.0) {
                    c.stop = Some(0.0);
                    self.kick.insert(hix);
                }
            }
        }
    }

    /// The copy is certainly not on the machine any more.
    pub(super) fn lose(&mut self, hix: HostIx, key: TaskKey, attempt: u64) {
        let Some(h) = self.world.host_mut(hix) else { return };
        let ended = h.copy_mut(key, attempt).is_some_and(|c| c.ended());
        h.copies.retain(|c| c.key != key || c.attempt != attempt);
        self.stirred = true;
        self.copy_lost(hix, key, attempt, ended);
    }

    /// A copy was lost: its task is idle again, if that was its place.
    pub(super) fn copy_lost(&mut self, hix: HostIx, key: TaskKey, attempt: u64, ended: bool) {
        let job = &mut self.world.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        if task.place == Place::On(hix, attempt) {
            task.place = Place::Idle;
            self.urgent |= job.spec.urgency >= Urgency::High;
            self.metrics.count("tasks_lost", &job.spec.class);
            if !ended && job.spec.shape == Shape::Gang {
                self.stop_all(key.job);
            }
        }
    }

    /// All copies are gone: the machine, or its lease, ended.
    pub(super) fn lose_all(&mut self, hix: HostIx) {
        let Some(h) = self.world.host_mut(hix) else { return };
        let copies = std::mem::take(&mut h.copies);
        h.strays = false;
        for c in copies {
            self.copy_lost(hix, c.key, c.attempt, c.ended());
        }
        self.stirred = true;
    }
}
