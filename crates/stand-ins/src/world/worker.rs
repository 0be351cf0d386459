//! Worker behaviour on replies and direct commands: leases, fencing tokens, starts and stops of tasks.

use super::job::Job;
use super::machine::{LoadedSlot, Machine, Phase, TaskAttempt};
use super::parameters::secs;

use super::{SimulationState, StartWait};
use rand::RngExt;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Seconds after which a task of a faulty job fails.
const FAULTY_JOB_RUN_S: f64 = 1.0;

impl SimulationState {
    /// Returns the next report of a machine.
    pub fn report(&mut self, id: &str) -> Value {
        let now = Instant::now();
        let machine = self.machines.get_mut(id).unwrap();
        machine.serial += 1;
        let shards: Vec<Value> = machine
            .copies
            .iter()
            .map(|((t, a), attempt)| {
                json!({"shard": t, "try_no": a, "phase": attempt.phase.name(), "exit_reason": attempt.why, "stored": attempt.stored})
            })
            .collect();
        let slots = self.parameters.loads_models.then(|| SimulationState::reported_slots(machine, now));
        let warning = machine.taken.map(|t| t.saturating_duration_since(now).as_secs_f64());
        json!({"host": machine.id, "addr": machine.addr, "flavor": machine.flavor.sku, "region": machine.zone, "preemptible": machine.spot,
            "tenure": machine.tenure, "serial": machine.serial, "fence": machine.fence, "warning_s": warning, "shards": shards, "slots": slots})
    }

    /// Returns the number of a machine's current session.
    pub fn tenure(&self, id: &str) -> u64 {
        self.machines[id].tenure
    }

    /// Applies the reply to a report that was sent at `sent` in the session `tenure`. Renews the lease unless
    /// the session is over or the fencing token is stale.
    pub fn reply(&mut self, id: &str, tenure: u64, sent: Instant, message: &Value) {
        self.expire_leases();
        self.check_term_of_orders(id, message);
        let Some(fence) = message["fence"].as_u64() else { return };
        let machine = self.machines.get_mut(id).unwrap();
        if fence < machine.fence {
            self.replies_dropped += 1;
            return;
        }
        if machine.tenure != tenure {
            return;
        }
        machine.lease_from = machine.lease_from.max(sent);
        self.see_fence(id, fence);
        self.execute(id, &message["orders"]);
    }

    /// Applies a direct command. Returns false if its fencing token or session does not match.
    pub fn direct(&mut self, id: &str, message: &Value) -> bool {
        self.expire_leases();
        self.check_term_of_orders(id, message);
        let (Some(fence), Some(tenure)) = (message["fence"].as_u64(), message["tenure"].as_u64()) else { return false };
        let machine = &self.machines[id];
        if fence < machine.fence || tenure != machine.tenure {
            return false;
        }
        self.see_fence(id, fence);
        self.execute(id, &message["orders"]);
        true
    }

    pub(super) fn see_fence(&mut self, id: &str, fence: u64) {
        let now = Instant::now();
        let lease_s = self.parameters.lease_s;
        if fence > self.machines[id].fence {
            self.check_token_was_issued(id, fence);
            let machine = self.machines.get_mut(id).unwrap();
            machine.fence = fence;
            if machine.reported_token_at + secs(lease_s / 2.0) <= now {
                machine.reported_token_at = now;
                machine.changed = true;
            }
        }
    }

    pub(super) fn execute(&mut self, id: &str, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            self.log(format!("{id} receives order {order}"));
            let verb = order["verb"].as_str().unwrap();
            match verb {
                "load" if self.parameters.loads_models => {
                    self.order_load(id, order);
                    continue;
                }
                "unload" if self.parameters.loads_models => {
                    self.order_unload(id, order["slot"].as_u64().unwrap());
                    continue;
                }
                _ => {}
            }
            let task = order["shard"].as_str().unwrap_or_default().to_string();
            let key = (task, order["try_no"].as_u64().unwrap_or_default());
            match verb {
                "attach" if self.parameters.loads_models => self.order_attach(id, key, order["slot"].as_u64().unwrap()),
                "run" => self.order_run(id, key),
                "stop" => self.order_stop(id, key, order["drain_s"].as_f64().unwrap()),
                "reap" => {
                    let machine = self.machines.get_mut(id).unwrap();
                    if machine.copies.get(&key).is_some_and(|attempt| attempt.phase == Phase::Ended) {
                        machine.copies.remove(&key);
                        machine.changed = true;
                        self.discarded.insert((id.to_string(), key));
                    }
                }
                other => self.fail(format!(
                    "order with unknown verb {other:?}; expected run, stop, reap, load, unload or attach"
                )),
            }
        }
    }

    pub(super) fn order_run(&mut self, id: &str, key: (String, u64)) {
        let now = Instant::now();
        if self.machines[id].copies.contains_key(&key) {
            return;
        }
        if self.discarded.contains(&(id.to_string(), key.clone())) {
            self.fail(format!("started_again: {} try {} is started on {id}, which had discarded it", key.0, key.1));
        }
        let (job_id, n) = key.0.rsplit_once('/').unwrap();
        let n: u32 = n.parse().unwrap();
        let job = self.jobs.get(job_id).filter(|job| job.submitted && n < job.shards);
        let machine = &self.machines[id];
        let busy = |field: fn(&Job) -> f64| -> f64 {
            let here = machine.copies.values().filter(|attempt| attempt.phase != Phase::Ended);
            here.filter_map(|attempt| self.jobs.get(&attempt.job)).map(field).sum()
        };
        let held = |amount: fn(&LoadedSlot) -> f64| machine.slots.values().map(amount).sum::<f64>();
        let refused = match job {
            None => Some("no_such"),
            Some(_) if machine.copies.iter().any(|(k, attempt)| k.0 == key.0 && attempt.phase != Phase::Ended) => {
                Some("in_use")
            }
            Some(job)
                if busy(|job| job.cores) + held(|s| s.cores) + job.cores > machine.flavor.cores
                    || busy(|job| job.cards) + held(|s| s.cards) + job.cards > machine.flavor.cards
                    || busy(|job| job.mem_gb) + held(|s| s.mem_gb) + job.mem_gb > machine.flavor.mem_gb =>
            {
                Some("no_room")
            }
            _ => None,
        };
        let (least, most) = self.parameters.fetch_s;
        let fetch = secs(self.rng.random_range(least..most));
        let phase = if refused.is_some() { Phase::Ended } else { Phase::Fetching };
        let attempt = TaskAttempt {
            job: job_id.into(),
            team: job.map_or("", |job| job.team),
            n,
            phase,
            why: refused,
            stored: false,
            due: now + fetch,
            since: now,
            answers_from: None,
            attached: false,
        };
        if let Some(why) = refused {
            self.log(format!("{id} refuses {} try {}: {why}", key.0, key.1));
        }
        let machine = self.machines.get_mut(id).unwrap();
        machine.copies.insert(key, attempt);
        machine.changed = true;
    }

    pub(super) fn order_stop(&mut self, id: &str, key: (String, u64), drain_s: f64) {
        let now = Instant::now();
        let Some(attempt) = self.machines[id].copies.get(&key) else { return };
        let job = self.jobs[&attempt.job].clone();
        let saves = job.checkpoint_s > 0.0 && drain_s >= job.flush_s;
        match attempt.phase {
            Phase::Ended => {}
            Phase::Running if saves => {
                let machine = self.machines.get_mut(id).unwrap();
                let attempt = machine.copies.get_mut(&key).unwrap();
                attempt.phase = Phase::Flushing;
                attempt.due = now + secs(job.flush_s);
                machine.changed = true;
                if let Some(gang) = self.gangs.get_mut(&(job.id.clone(), key.1)) {
                    gang.stopped.get_or_insert(now);
                }
                let ran = (now - self.machines[id].copies[&key].since).as_secs_f64();
                if job.shape == "batch" {
                    let attempt = self.machines.get_mut(id).unwrap().copies.get_mut(&key).unwrap();
                    attempt.since = now - secs(ran);
                }
            }
            Phase::Flushing if drain_s > 0.0 => {}
            _ => self.end(id, &key, "halted", false),
        }
    }

    pub(super) fn end(&mut self, id: &str, key: &(String, u64), why: &'static str, stored: bool) {
        self.log(format!("{id} ends {} try {}: {why} stored={stored}", key.0, key.1));
        let job = &self.jobs[key.0.rsplit_once('/').unwrap().0];
        if matches!(why, "halted" | "incomplete") && job.shape != "service" && !job.cancel_asked {
            self.stopped.push(format!("{} try {} on {id}", key.0, key.1));
        }
        let ended = self.machines[id].copies[key].clone();
        let stopped_while_running = matches!(ended.phase, Phase::Running | Phase::Flushing) && why == "halted";
        if stopped_while_running && job.shape == "batch" && !job.cancel_asked {
            self.batch_task_stopped(&ended, stored);
        }
        if ended.phase.on() {
            self.account_for_detached(&ended);
        }
        let machine = self.machines.get_mut(id).unwrap();
        let attempt = machine.copies.get_mut(key).unwrap();
        (attempt.phase, attempt.why, attempt.stored) = (Phase::Ended, Some(why), stored);
        machine.changed = true;
    }

    /// Accounts for a running task of an array that was stopped: progress that it saved at checkpoints, or
    /// at the stop, is kept.
    fn batch_task_stopped(&mut self, ended: &TaskAttempt, stored: bool) {
        let job = self.jobs.get_mut(&ended.job).unwrap();
        let ran_s = (Instant::now() - ended.since).as_secs_f64();
        let mut lost_s = 0.0;
        if !stored {
            let checkpoints = if job.checkpoint_s > 0.0 { (ran_s / job.checkpoint_s).floor() } else { 0.0 };
            let kept_s = checkpoints * job.checkpoint_s;
            *job.saved_s.entry(ended.n).or_default() += kept_s;
            lost_s = ran_s - kept_s;
        }
        self.note_lost_work(&ended.job, lost_s);
    }

    /// Ends the sessions whose lease has expired. Leases expire exactly on time, also on machines that hang,
    /// which therefore never resume their tasks afterwards.
    pub(super) fn expire_leases(&mut self) {
        let now = Instant::now();
        let lease_s = self.parameters.lease_s;
        let over = |machine: &&Machine| machine.alive(now) && machine.lease_from + secs(lease_s) < now;
        let expired: Vec<String> = self.machines.values().filter(over).map(|machine| machine.id.clone()).collect();
        let mut told = Vec::new();
        for id in expired {
            self.remove_all_models(&id);
            let machine = self.machines.get_mut(&id).unwrap();
            let killed: Vec<_> = std::mem::take(&mut machine.copies).into_keys().collect();
            machine.tenure += 1;
            machine.lease_from = now;
            machine.changed = true;
            told.push(format!("{} begins session {}: kills {killed:?}", machine.id, machine.tenure));
        }
        told.into_iter().for_each(|t| self.log(t));
    }

    /// Starts a task whose image was fetched.
    pub(super) fn begin(&mut self, id: &str, key: &(String, u64)) {
        self.expire_leases();
        let now = Instant::now();
        let Some(attempt) = self.machines[id].copies.get(key).cloned() else { return };
        let job = self.jobs[&attempt.job].clone();
        self.log(format!("{id} starts {} try {}", key.0, key.1));
        self.starts += 1;
        let started = self.jobs.get_mut(&job.id).unwrap();
        let submitted = started.first_submitted;
        if self.started_tasks.insert(key.0.clone())
            && let Some(submitted) = submitted
        {
            self.start_waits.push(StartWait {
                urgency: job.urgency,
                shape: job.shape,
                submitted,
                wait: now - submitted,
            });
        }
        started.began.get_or_insert(now);
        started.starts += 1;
        self.check_start(id, key, &job);
        let answers_from = attempt.answers_from.or_else(|| Some(self.answers_from()));
        let gang_wait_s = self.parameters.gang_wait_s;
        let left = job.run_s - job.saved_s.get(&attempt.n).copied().unwrap_or(0.0);
        let machine = self.machines.get_mut(id).unwrap();
        let attempt = machine.copies.get_mut(key).unwrap();
        attempt.since = now;
        attempt.answers_from = answers_from;
        machine.changed = true;
        if job.done.contains(&attempt.n) {
            self.end(id, key, "done", false);
        } else if job.shape == "group" {
            (attempt.phase, attempt.due) = (Phase::Gathering, now + secs(gang_wait_s));
        } else {
            let run_s = if job.mistaken { FAULTY_JOB_RUN_S } else { left.max(0.1) };
            (attempt.phase, attempt.due) = (Phase::Running, now + secs(run_s));
        }
    }
}
