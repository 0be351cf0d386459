//! Gangs: their tasks start and complete together, and fail when a task is missing.

use super::SimulationState;
use super::job::Job;
use super::machine::Phase;
use super::parameters::secs;
use rand::RngExt;
use std::collections::BTreeMap;
use tokio::time::Instant;

pub(super) struct Gang {
    began: Instant,
    pub(super) stopped: Option<Instant>,
    fails: Option<Instant>,
    failed: bool,
}

/// Job and attempt number.
type GangAttempt = (String, u64);

/// A task of a gang on a machine.
struct Member {
    machine: String,
    key: (String, u64),
    phase: Phase,
    /// Whether the machine executes, that is, does not hang.
    executes: bool,
    due: Instant,
}

/// Reason for which all tasks of an attempt end, and whether their state was saved.
#[derive(Clone, Copy)]
struct Ending {
    why: &'static str,
    stored: bool,
}

impl SimulationState {
    pub(super) fn gangs_step(&mut self, now: Instant) {
        let members = self.gang_members(now);
        self.gangs.retain(|attempt, _| members.contains_key(attempt));
        for (attempt, all) in members {
            let job = self.jobs[&attempt.0].clone();
            if self.gangs.contains_key(&attempt) {
                self.running_gang_step(&attempt, &job, &all, now);
            } else {
                self.start_gang(&attempt, &job, &all, now);
            }
        }
    }

    /// Returns the tasks of each attempt that have their image and have not exited.
    fn gang_members(&self, now: Instant) -> BTreeMap<GangAttempt, Vec<Member>> {
        let mut members: BTreeMap<GangAttempt, Vec<Member>> = BTreeMap::new();
        for machine in self.machines.values().filter(|machine| machine.alive(now)) {
            for (key, copy) in machine.copies.iter().filter(|(_, copy)| copy.phase.on()) {
                if self.jobs[&copy.job].shape == "group" {
                    members.entry((copy.job.clone(), key.1)).or_default().push(Member {
                        machine: machine.id.clone(),
                        key: key.clone(),
                        phase: copy.phase,
                        executes: machine.hang <= now,
                        due: copy.due,
                    });
                }
            }
        }
        members
    }

    /// Starts the gang if all its tasks have gathered.
    fn start_gang(&mut self, attempt: &GangAttempt, job: &Job, all: &[Member], now: Instant) {
        let gathered = all.iter().filter(|member| member.executes && member.phase == Phase::Gathering).count();
        if gathered != job.shards as usize {
            return;
        }
        self.log(format!("gang of {} try {} runs", attempt.0, attempt.1));
        let gang = Gang { began: now, stopped: None, fails: None, failed: false };
        self.gangs.insert(attempt.clone(), gang);
        for member in all {
            let machine = self.machines.get_mut(&member.machine).unwrap();
            machine.copies.get_mut(&member.key).unwrap().phase = Phase::Running;
            machine.changed = true;
        }
    }

    fn running_gang_step(&mut self, attempt: &GangAttempt, job: &Job, all: &[Member], now: Instant) {
        let progress = job.saved_s.get(&0).copied().unwrap_or(0.0);
        let executing: Vec<&Member> = all.iter().filter(|member| member.executes).collect();
        let gang = &self.gangs[attempt];
        let ran = (gang.stopped.unwrap_or(now) - gang.began).as_secs_f64();
        let Some(ending) = self.gang_ending(attempt, job, &executing, progress + ran, now) else { return };
        self.end_gang(&attempt.0, job, &executing, ending, (progress, ran));
    }

    /// Returns how the gang ends now; `None` if it goes on.
    fn gang_ending(
        &mut self,
        attempt: &GangAttempt,
        job: &Job,
        executing: &[&Member],
        done_s: f64,
        now: Instant,
    ) -> Option<Ending> {
        let gang_peer_s = self.parameters.gang_peer_s;
        let size = job.shards as usize;
        let whole = executing.iter().filter(|member| member.phase != Phase::Gathering).count() == size;
        let flushing = executing.iter().filter(|member| member.phase == Phase::Flushing).count();
        let gang = self.gangs.get_mut(attempt)?;
        if !whole && !gang.failed {
            let after = secs(self.rng.random_range(0.2..gang_peer_s * 0.95));
            gang.failed = now >= *gang.fails.get_or_insert(now + after);
        } else if whole {
            gang.fails = None;
        }
        if gang.failed {
            Some(Ending { why: "mates_gone", stored: false })
        } else if flushing == size && executing.iter().all(|member| member.due <= now) {
            Some(Ending { why: "halted", stored: true })
        } else if gang.stopped.is_some_and(|stopped| stopped + secs(gang_peer_s) <= now) {
            gang.failed = true;
            Some(Ending { why: "mates_gone", stored: false })
        } else if gang.stopped.is_none() && whole && done_s >= job.run_s {
            let faulty = job.mistaken || executing.iter().any(|member| self.machines[&member.machine].faulty);
            Some(Ending { why: if faulty { "error" } else { "done" }, stored: false })
        } else {
            None
        }
    }

    /// Ends all tasks of the attempt and keeps what was saved of its `progress` and of the time it `ran`,
    /// both in seconds.
    fn end_gang(
        &mut self,
        id: &str,
        job: &Job,
        executing: &[&Member],
        Ending { why, stored }: Ending,
        (progress, ran): (f64, f64),
    ) {
        let ended = self.jobs.get_mut(id).unwrap();
        if why == "done" {
            ended.done = (0..job.shards).collect();
        }
        let kept = if stored {
            progress + ran
        } else if job.checkpoint_s > 0.0 {
            ((progress + ran) / job.checkpoint_s).floor() * job.checkpoint_s
        } else {
            0.0
        };
        ended.saved_s.insert(0, kept.max(progress));
        if why == "halted" || why == "mates_gone" {
            self.note_lost_work(id, progress + ran - kept.max(progress));
        }
        for member in executing {
            // On a faulty machine only that machine's task fails, and the others report a missing one; a faulty job
            // fails in all tasks.
            let fails = why == "error" && !job.mistaken && !self.machines[&member.machine].faulty;
            self.end(&member.machine, &member.key, if fails { "mates_gone" } else { why }, stored);
        }
    }
}
