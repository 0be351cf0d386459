//! Workers that keep models loaded, as the extension of the workers' protocol in `docs/warm-pools.md`
//! describes, with an independent account of how long each team used them.

use super::SimulationState;
use super::machine::{LoadedSlot, Machine, Phase, TaskAttempt};
use super::parameters::secs;
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// Seconds for which slots were idle and, by team, claimed, as observed by the workers.
#[derive(Debug, Clone, Default)]
pub struct SlotAccount {
    pub idle_s: f64,
    pub claimed_s: BTreeMap<&'static str, f64>,
    /// Number of slots that were loaded.
    pub loaded: usize,
    /// Number of tasks that took over a loaded model.
    pub attached: usize,
}

impl SimulationState {
    /// Returns the slots in a machine's report; reports leave them out where workers load no models.
    pub(super) fn reported_slots(machine: &Machine, now: Instant) -> Value {
        let slot = |(slot, loaded): (&u64, &LoadedSlot)| json!({"slot": slot, "ready": loaded.ready <= now});
        Value::Array(machine.slots.iter().map(slot).collect())
    }

    pub(super) fn order_load(&mut self, id: &str, order: &Value) {
        let now = Instant::now();
        let (fetch, load) = (self.parameters.fetch_s, self.parameters.load_s);
        let takes_s = self.between(fetch) + self.between(load);
        let amount = |name: &str| order[name].as_f64().unwrap_or(0.0);
        let slot = LoadedSlot {
            image: order["bundle"].as_str().unwrap_or_default().into(),
            cores: amount("cores"),
            cards: amount("cards"),
            mem_gb: amount("mem_gb"),
            ready: now + secs(takes_s),
            since: now,
        };
        let machine = self.machines.get_mut(id).unwrap();
        if let std::collections::btree_map::Entry::Vacant(entry) = machine.slots.entry(order["slot"].as_u64().unwrap())
        {
            entry.insert(slot);
            machine.changed = true;
            self.slot_account.loaded += 1;
        }
    }

    pub(super) fn order_unload(&mut self, id: &str, slot: u64) {
        let machine = self.machines.get_mut(id).unwrap();
        if let Some(unloaded) = machine.slots.remove(&slot) {
            machine.changed = true;
            self.slot_account.idle_s += unloaded.since.elapsed().as_secs_f64();
        }
    }

    /// Starts a task on a loaded model, or as any other task if the model is not ready.
    pub(super) fn order_attach(&mut self, id: &str, key: (String, u64), slot: u64) {
        let now = Instant::now();
        let machine = self.machines.get_mut(id).unwrap();
        if machine.copies.contains_key(&key) {
            return;
        }
        if machine.slots.get(&slot).is_none_or(|loaded| loaded.ready > now) {
            self.order_run(id, key);
            return;
        }
        let taken = machine.slots.remove(&slot).unwrap();
        self.slot_account.idle_s += taken.since.elapsed().as_secs_f64();
        self.order_run(id, key.clone());
        let machine = self.machines.get_mut(id).unwrap();
        if let Some(attempt) = machine.copies.get_mut(&key).filter(|attempt| attempt.phase == Phase::Fetching) {
            (attempt.due, attempt.answers_from, attempt.attached) = (now, Some(now), true);
            self.slot_account.attached += 1;
            self.begin(id, &key);
        }
    }

    /// Accounts for an attempt that has left its machine, if it had taken over a model.
    pub(super) fn account_for_detached(&mut self, attempt: &TaskAttempt) {
        if attempt.attached {
            let used_s = attempt.since.elapsed().as_secs_f64();
            *self.slot_account.claimed_s.entry(attempt.team).or_default() += used_s;
        }
    }

    /// Accounts for all tasks of a machine that is lost, and removes its slots.
    pub(super) fn remove_all_models(&mut self, id: &str) {
        let tasks: Vec<TaskAttempt> = self.machines[id].copies.values().filter(|a| a.phase.on()).cloned().collect();
        tasks.iter().for_each(|attempt| self.account_for_detached(attempt));
        let machine = self.machines.get_mut(id).unwrap();
        for lost in std::mem::take(&mut machine.slots).into_values() {
            self.slot_account.idle_s += lost.since.elapsed().as_secs_f64();
        }
    }

    /// Returns the account until now, including slots that are still idle or in use.
    pub fn slot_account(&self) -> SlotAccount {
        let mut account = self.slot_account.clone();
        for machine in self.machines.values().filter(|machine| machine.exists()) {
            account.idle_s += machine.slots.values().map(|slot| slot.since.elapsed().as_secs_f64()).sum::<f64>();
            for attempt in machine.copies.values().filter(|attempt| attempt.attached && attempt.phase.on()) {
                *account.claimed_s.entry(attempt.team).or_default() += attempt.since.elapsed().as_secs_f64();
            }
        }
        account
    }

    /// Number of slots whose model is ready.
    pub fn ready_slots(&self) -> usize {
        let now = Instant::now();
        self.machines.values().flat_map(|machine| machine.slots.values()).filter(|slot| slot.ready <= now).count()
    }

    /// Returns the addresses of the machines on which a replica with this image answers requests.
    pub fn answering(&self, image: u32) -> Vec<std::net::SocketAddr> {
        let now = Instant::now();
        let answers = |attempt: &TaskAttempt| {
            attempt.phase == Phase::Running
                && attempt.answers_from.is_some_and(|from| from <= now)
                && self.jobs[&attempt.job].bundle == image
        };
        let machines = self.machines.values().filter(|machine| machine.alive(now));
        machines.filter(|machine| machine.copies.values().any(answers)).map(|machine| machine.addr).collect()
    }

    fn between(&mut self, (least, most): (f64, f64)) -> f64 {
        if most > least { self.rng.random_range(least..most) } else { least }
    }

    /// Returns the instant from which a replica that starts now answers requests, after loading its model.
    pub(super) fn answers_from(&mut self) -> Instant {
        let load = self.parameters.load_s;
        Instant::now() + secs(self.between(load))
    }
}
