//! What users ask of a part: submissions, polls, cancellations.

use super::keys::{TOO_LONG, fits};
use super::upkeep::DEAF;
use super::{Part, UserAnswer, Waiter};
use crate::model::{Host, Job, JobEnd, JobIx, JobPhase, Place, Spec, Task, Unsaved};
use crate::{sched, wire};

/// Submissions are refused once those before them take a quarter of a lease to record:
/// milliseconds of the lease for each second of the backlog.
const BACKLOG_MS_PER_S: f64 = 4000.0;

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
                self.submitters.entry(ix).or_default().push(waiter);
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
                None if !fits(&spec, self.value_bytes) => UserAnswer::Malformed(TOO_LONG.into()),
                None if self.backlog_s() * BACKLOG_MS_PER_S > self.policy.lease_ms as f64 => {
                    UserAnswer::Busy(self.backlog_s().ceil() as u64)
                }
                None => {
                    let ix = self.add_submitted(spec, now, wall);
                    self.submitters.entry(ix).or_default().push(waiter);
                    return;
                }
            },
        };
        let _ = waiter.send(answer);
    }

    /// Adds a job whose record is still to be created.
    fn add_submitted(&mut self, spec: Spec, now: u64, wall: u64) -> JobIx {
        let mut job = Job::new(spec, wall, now);
        job.unsaved = Unsaved::Creation;
        job.fresh = true;
        let ix = self.world.add_job(job);
        self.dirty.insert(ix);
        ix
    }

    /// Seconds that it takes to record what was submitted before.
    fn backlog_s(&self) -> f64 {
        let new = self.dirty.iter().filter(|ix| self.world.jobs[**ix].unsaved == Unsaved::Creation).count();
        new as f64 / self.policy.writes_per_s
    }

    /// The one place that decides whether a user may be told of a job from memory, and
    /// what: its phase and how many of its tasks run. While a write of its end may have
    /// been carried out, another node may have read the end and told it: nothing older
    /// may be said then, and the record must be read afresh.
    fn told(&self, ix: JobIx) -> Result<(JobPhase, u32), UserAnswer> {
        let job = &self.world.jobs[ix];
        if job.version == 0 {
            return Err(UserAnswer::Later("the job is not accepted yet"));
        }
        if job.end.is_none() && job.end_open {
            return Err(UserAnswer::Later("the job's end is being recorded"));
        }
        let running = if job.end.is_some() { 0 } else { self.running(ix) };
        Ok((job.phase(running), running))
    }

    /// What a user is told whose job is accepted.
    pub(super) fn accepted(&self, ix: JobIx, created: bool) -> UserAnswer {
        match self.told(ix) {
            Ok((phase, _)) => UserAnswer::Accepted { created, id: self.world.jobs[ix].spec.id.clone(), phase },
            Err(later) => later,
        }
    }

    /// How many of the job's tasks run.
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

    /// What a user is told who asks for a job.
    pub fn status(&self, id: &str) -> UserAnswer {
        match self.world.job_ix.get(id) {
            Some(&ix) => self.status_of(ix),
            None => UserAnswer::Unknown,
        }
    }

    /// The same for a job that is known.
    pub(super) fn status_of(&self, ix: JobIx) -> UserAnswer {
        let job = &self.world.jobs[ix];
        // All tasks may be done before the record says so; the end is said later.
        let done = job.done.min(job.spec.tasks);
        match self.told(ix) {
            Ok((phase, running)) => UserAnswer::Status { id: job.spec.id.clone(), phase, done, running },
            Err(later) => later,
        }
    }

    /// A cancellation; answered after its commit, or at once where that can't come
    /// soon. What can be reached is stopped in any case.
    pub fn cancel(&mut self, id: &str, now: u64, recordable: bool, waiter: Waiter) {
        let Some(&ix) = self.world.job_ix.get(id) else {
            let _ = waiter.send(UserAnswer::Unknown);
            return;
        };
        let job = &mut self.world.jobs[ix];
        if job.end.is_some() || job.version == 0 {
            let _ = waiter.send(self.status_of(ix));
            return;
        }
        if !std::mem::replace(&mut job.cancelling, true) {
            self.stop_all(ix);
            self.cancelling.insert(ix);
        }
        if !recordable {
            let _ = waiter.send(UserAnswer::Later("the state service gives no answer"));
        } else if self.out_of_reach(ix, now) {
            let _ = waiter.send(UserAnswer::Later("some of the job's machines can't be reached"));
        } else {
            let waiters = self.cancellers.entry(ix).or_default();
            waiters.retain(|w| !w.is_closed());
            waiters.push(waiter);
        }
    }

    /// May one of the job's tasks be on a machine that does not answer?
    fn out_of_reach(&self, ix: JobIx, now: u64) -> bool {
        let silent = |h: &Host| h.missed >= DEAF || now.saturating_sub(h.heard_ms) > self.lost_ms();
        let there = |h: &Host| h.copies.iter().any(|c| c.key.job == ix && !c.ended());
        self.world.each_host().any(|(_, h)| silent(h) && there(h))
    }

    /// Cancellations whose tasks are certainly gone are to be recorded, and said
    /// then. Said before, `cancel_s` would count while a machine that nobody can
    /// reach goes on with a task, kept alive by another controller.
    pub(super) fn settle_cancellations(&mut self) {
        if self.cancelling.is_empty() {
            return;
        }
        let on_machines = self.world.jobs_on_machines();
        // A completion may be in a commit under way: it goes first.
        let gone = |ix: &JobIx| !self.world.jobs[*ix].saving && self.world.gone(*ix, &on_machines);
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
