//! What users ask of a part: submissions, polls, cancellations.

use super::*;

impl Part {
    /// A submission. The answer comes at once or, through the waiter, after
    /// the commit.
    pub fn submit(&mut self, body: &[u8], now: u64, wall: u64, waiter: Waiter) {
        let (id, spec) = match wire::parse_submission(body) {
            Ok(spec) => (Some(spec.id.clone()), Ok(spec)),
            Err(e) => (e.id, Err(e.message)),
        };
        // A known id is answered before any judgement of the rest.
        if let Some(&ix) = id.as_ref().and_then(|id| self.world.job_ix.get(id)) {
            if self.world.jobs[ix].version == 0 {
                self.waiters.entry(ix).or_default().push(waiter);
            } else {
                let _ = waiter.send(self.accepted(ix, false));
            }
            return;
        }
        let answer = match spec {
            Err(message) => UserAnswer::Malformed(message),
            Ok(_) if self.world.flavors.is_empty() => UserAnswer::Later("the machine types are not known yet"),
            Ok(spec) => match sched::impossible(&spec, &self.policy, &self.world.flavors) {
                Some(message) => UserAnswer::Impossible(message),
                None if !fits(&spec, self.value_bytes) => {
                    UserAnswer::Malformed("bundle: the job's texts are too long".into())
                }
                None if self.backlog_s() * 4000.0 > self.policy.lease_ms as f64 => {
                    UserAnswer::Busy(self.backlog_s().ceil() as u64)
                }
                None => {
                    let mut job = Job::new(spec, wall, now);
                    job.unsaved = Unsaved::Creation;
                    job.fresh = true;
                    let ix = self.world.add_job(job);
                    self.dirty.insert(ix);
                    self.waiters.entry(ix).or_default().push(waiter);
                    return;
                }
            },
        };
        let _ = waiter.send(answer);
    }

    /// Seconds that it takes to record what was submitted before.
    fn backlog_s(&self) -> f64 {
        let new = self.dirty.iter().filter(|ix| self.world.jobs[**ix].unsaved == Unsaved::Creation).count();
        new as f64 / self.policy.writes_per_s
    }

    pub(super) fn accepted(&self, ix: JobIx, created: bool) -> UserAnswer {
        let job = &self.world.jobs[ix];
        UserAnswer::Accepted { created, id: job.spec.id.clone(), phase: job.phase(self.running(ix)) }
    }

    pub(super) fn running(&self, ix: JobIx) -> u32 {
        let runs = |n: usize, t: &Task| match t.place {
            Place::On(hix, attempt) => self.world.host(hix).is_some_and(|h| {
                h.copies
                    .iter()
                    .any(|c| c.key.job == ix && c.key.task as usize == n && c.attempt == attempt && c.running())
            }),
            _ => false,
        };
        self.world.jobs[ix].tasks.iter().enumerate().filter(|(n, t)| runs(*n, t)).count() as u32
    }

    pub fn status(&self, id: &str) -> UserAnswer {
        match self.world.job_ix.get(id) {
            Some(&ix) if self.world.jobs[ix].version > 0 => self.status_of(ix),
            Some(_) => UserAnswer::Later("the job is not accepted yet"),
            None => UserAnswer::Unknown,
        }
    }

    pub(super) fn status_of(&self, ix: JobIx) -> UserAnswer {
        let job = &self.world.jobs[ix];
        let running = if job.end.is_some() { 0 } else { self.running(ix) };
        // All tasks may be done before the record says so; the end is said later.
        let done = if job.end.is_some() { job.done } else { job.done.min(job.spec.tasks) };
        UserAnswer::Status { id: job.spec.id.clone(), phase: job.phase(running), done, running }
    }

    /// A cancellation; answered after its commit.
    pub fn cancel(&mut self, id: &str, waiter: Waiter) {
        let Some(&ix) = self.world.job_ix.get(id) else {
            let _ = waiter.send(UserAnswer::Unknown);
            return;
        };
        let job = &mut self.world.jobs[ix];
        if job.end.is_some() {
            let _ = waiter.send(self.status_of(ix));
            return;
        }
        if job.version == 0 {
            let _ = waiter.send(UserAnswer::Later("the job's record is being written"));
            return;
        }
        let waiters = self.waiters.entry(ix).or_default();
        waiters.retain(|w| !w.is_closed());
        waiters.push(waiter);
        if !std::mem::replace(&mut job.cancelling, true) {
            self.stop_all(ix);
            self.cancelling.insert(ix);
        }
    }

    /// Cancellations whose tasks are certainly gone are to be recorded, and said
    /// then. Said before, `cancel_s` would count while a machine that nobody can
    /// reach goes on with a task, kept alive by another controller.
    pub(super) fn settle_cancellations(&mut self) {
        let gone = |ix: &JobIx| {
            let job = &self.world.jobs[*ix];
            let clear = self.world.clear(job);
            let here = |h: &Host| h.copies.iter().any(|c| c.key.job == *ix && !c.ended());
            // A completion may be in a commit under way: it goes first.
            !job.saving
                && job.tasks.iter().all(|t| match t.place {
                    Place::On(..) => false,
                    Place::Idle => clear || t.located,
                    Place::Done => true,
                })
                && !self.world.each_host().any(|(_, h)| here(h))
        };
        let settled: Vec<JobIx> = self.cancelling.iter().copied().filter(gone).collect();
        for ix in settled {
            self.cancelling.remove(&ix);
            let job = &mut self.world.jobs[ix];
            if job.end.is_none() && !matches!(job.unsaved, Unsaved::End(_)) {
                job.unsaved = Unsaved::End(JobEnd::Cancelled);
                self.dirty.insert(ix);
            }
        }
    }
}
