//! How slots begin and end.

use super::{Moment, WarmPools};
use crate::money::{MicroUnits, micro};
use crate::settings::HoldKind;
use crate::slot::{EndCause, Slot, SlotId, SlotState, Transition};

/// How long a replica takes until it is warm, before that was seen.
const ASSUMED_LOAD_MS: u64 = 60_000;

/// Where a new slot is to be.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotPlace {
    /// Id of the machine.
    pub host: String,
    /// Session of its worker.
    pub agent_epoch: u64,
    /// What the replica's part of the machine costs in an hour.
    pub price_per_hour: MicroUnits,
    /// The machine has the image already, and room is all that is held.
    pub warm: bool,
}

impl WarmPools {
    /// Looks at the time, and drains what is too much. `boot_ms` is how long a machine takes to
    /// boot.
    pub fn refresh(&mut self, boot_ms: u64, now: Moment) {
        let load_ms = &self.load_ms;
        let warm_up_ms = |pool: &str| boot_ms + load_ms.get(pool).copied().unwrap_or(ASSUMED_LOAD_MS);
        self.targets.update(now.steady_ms, now.wall_ms, warm_up_ms);
        self.drain_replaced(now);
        let pools: Vec<String> = self.settings.pools.keys().cloned().collect();
        for pool in pools {
            self.drain_surplus(&pool, now);
        }
        self.charge_all(now);
    }

    /// How many replicas a pool lacks, whatever they cost.
    pub fn missing(&self, pool: &str) -> usize {
        let current = self.available(pool).filter(|slot| !self.is_replaced(slot)).count();
        self.targets.wanted(pool).saturating_sub(current)
    }

    /// How many more replicas a pool may begin with now, at this price each.
    pub fn startable_count(&self, pool: &str, price_per_hour: MicroUnits, now: Moment) -> usize {
        let Some(declared) = self.settings.pools.get(pool) else { return 0 };
        if self.budget_is_used_up(pool, now) {
            return 0;
        }
        let loading = self.available(pool).filter(|slot| slot.state == SlotState::Loading).count();
        let by_loads = declared.loads_at_a_time.saturating_sub(loading);
        let by_cost = declared.idle_cost_per_hour.map_or(usize::MAX, |ceiling| {
            let left = micro(ceiling).saturating_sub(self.idle_cost_per_hour(pool));
            left.checked_div(price_per_hour).map_or(usize::MAX, |count| count as usize)
        });
        self.missing(pool).min(by_loads).min(by_cost)
    }

    /// Begins with a replica of a pool. Nothing may be ordered for it before it is recorded.
    pub fn begin(&mut self, id: SlotId, pool: &str, place: SlotPlace, now: Moment) -> Option<&Slot> {
        let declared = self.settings.pools.get(pool)?;
        let model = self.settings.models.get(&declared.model)?;
        let warm = place.warm && declared.keep == HoldKind::Image;
        let slot = Slot {
            id,
            pool: pool.to_string(),
            identity: self.settings.identity_of(declared)?,
            image: model.image.clone(),
            size_gb: model.size_gb,
            keep: declared.keep,
            host: place.host,
            agent_epoch: place.agent_epoch,
            amounts: declared.amounts(),
            payer: declared.payer.clone(),
            price_per_hour: place.price_per_hour,
            state: if warm { SlotState::Idle } else { SlotState::Loading },
            reported_since_failover: true,
            since_ms: now.steady_ms,
            charged_until_ms: self.bill_ms(now),
            charges: Vec::new(),
            version: 0,
            changed: true,
        };
        self.transitions.push(Transition { slot: id, pool: slot.pool.clone(), from: None, to: slot.state.clone() });
        Some(self.slots.entry(id).or_insert(slot))
    }

    /// A slot was seen on its machine, warm or not yet.
    pub fn mark_reported(&mut self, id: SlotId, warm: bool, now: Moment) {
        let bill_ms = self.bill_ms(now);
        let Some(slot) = self.slots.get_mut(&id) else { return };
        // A late copy of a report changes nothing of a slot that is gone.
        if matches!(slot.state, SlotState::Ended(_)) {
            return;
        }
        if !slot.reported_since_failover {
            // Until now nobody had observed it since the failover.
            slot.charge_until(bill_ms);
            slot.reported_since_failover = true;
        }
        if warm && slot.state == SlotState::Loading {
            slot.enter(SlotState::Idle, &mut self.transitions);
            slot.changed = true;
            self.load_ms.insert(slot.pool.clone(), now.steady_ms.saturating_sub(slot.since_ms));
        }
    }

    /// Unloads a slot that nobody has claimed. Where only room is held it ends at once.
    pub fn drain(&mut self, id: SlotId, cause: EndCause, now: Moment) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        if !slot.is_available() {
            return;
        }
        if slot.keep == HoldKind::Image || slot.version == 0 {
            self.end(id, cause, now);
            return;
        }
        slot.enter(SlotState::Draining(cause), &mut self.transitions);
        slot.since_ms = now.steady_ms;
    }

    /// The worker has no such slot any more, or never had: what was drained is gone, and what was
    /// not is lost.
    pub fn mark_missing(&mut self, id: SlotId, now: Moment) {
        let cause = match self.slots.get(&id).map(|slot| &slot.state) {
            Some(SlotState::Draining(cause)) => *cause,
            Some(SlotState::Loading | SlotState::Idle) => EndCause::NotReported,
            _ => return,
        };
        self.end(id, cause, now);
    }

    /// All that was on a machine is gone.
    pub fn host_lost(&mut self, host: &str, cause: EndCause, now: Moment) {
        let there = |slot: &&Slot| slot.host == host && !matches!(slot.state, SlotState::Ended(_));
        let lost: Vec<SlotId> = self.slots.values().filter(there).map(|slot| slot.id).collect();
        for id in lost {
            self.end(id, cause, now);
        }
    }

    /// A slot ends; its last interval is charged, and its record is deleted with the next changes.
    pub(super) fn end(&mut self, id: SlotId, cause: EndCause, now: Moment) {
        let bill_ms = self.bill_ms(now);
        let unresolved = self.is_being_written(id);
        let Some(slot) = self.slots.get_mut(&id) else { return };
        slot.charge_until(bill_ms);
        slot.enter(SlotState::Ended(cause), &mut self.transitions);
        slot.changed = true;
        // Never recorded: nothing was ordered for it, and nobody knows of it.
        if slot.version == 0 && !unresolved {
            self.slots.remove(&id);
        }
    }

    fn available(&self, pool: &str) -> impl Iterator<Item = &Slot> {
        self.slots.values().filter(move |slot| slot.pool == pool && slot.is_available())
    }

    /// Does the slot's pool keep something else by now?
    fn is_replaced(&self, slot: &Slot) -> bool {
        let declared = self.settings.pools.get(&slot.pool);
        let current = declared.is_some_and(|pool| {
            pool.keep == slot.keep && self.settings.identity_of(pool).as_ref() == Some(&slot.identity)
        });
        !current
    }

    /// Drains slots of earlier versions, as far as as many of the present one are warm; those of
    /// pools that are not declared any more at once.
    fn drain_replaced(&mut self, now: Moment) {
        let mut replaced: Vec<SlotId> = Vec::new();
        for (pool, slots) in self.replaced_by_pool() {
            let warm = |slot: &&Slot| slot.state == SlotState::Idle && !self.is_replaced(slot);
            let warm = self.available(&pool).filter(warm).count();
            let kept = if self.settings.pools.contains_key(&pool) {
                self.targets.wanted(&pool).saturating_sub(warm)
            } else {
                0
            };
            replaced.extend(slots.into_iter().skip(kept));
        }
        for id in replaced {
            self.drain(id, EndCause::Replaced, now);
        }
    }

    fn replaced_by_pool(&self) -> std::collections::BTreeMap<String, Vec<SlotId>> {
        let mut replaced: std::collections::BTreeMap<String, Vec<SlotId>> = std::collections::BTreeMap::new();
        for slot in self.slots.values().filter(|slot| slot.is_available() && self.is_replaced(slot)) {
            replaced.entry(slot.pool.clone()).or_default().push(slot.id);
        }
        replaced
    }

    /// Drains what is beyond the target, and what idle replicas may not cost: first those that are
    /// not warm yet, then the youngest.
    fn drain_surplus(&mut self, pool: &str, now: Moment) {
        let mut current: Vec<(bool, SlotId, MicroUnits)> = self
            .available(pool)
            .filter(|slot| !self.is_replaced(slot))
            .map(|slot| (slot.state == SlotState::Idle, slot.id, slot.price_per_hour))
            .collect();
        current.sort_by_key(|(warm, id, _)| (!warm, *id));
        let wanted = if self.budget_is_used_up(pool, now) { 0 } else { self.targets.wanted(pool) };
        let ceiling = self.settings.pools.get(pool).and_then(|declared| declared.idle_cost_per_hour).map(micro);
        let mut cost = 0;
        for (position, (_, id, price)) in current.into_iter().enumerate() {
            cost += price;
            if position >= self.targets.wanted(pool) {
                self.drain(id, EndCause::FewerWanted, now);
            } else if position >= wanted || ceiling.is_some_and(|ceiling| cost > ceiling) {
                self.drain(id, EndCause::CostLimit, now);
            }
        }
    }
}
