//! Creation, loading, draining and end of slots.

use super::{ClockReading, WarmPools};
use crate::money::{MicroUnits, to_micro_units};
use crate::settings::HoldKind;
use crate::slot::{EndCause, Slot, SlotId, SlotState, Transition};

/// Assumed time, in milliseconds, from the creation of a slot on a running machine until its replica is
/// warm, for pools without a known load time.
const ASSUMED_LOAD_MS: u64 = 60_000;

/// Machine on which a new slot is created.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotPlace {
    /// Id of the machine.
    pub host: String,
    /// Agent epoch of the machine's worker.
    pub agent_epoch: u64,
    /// Price per hour of the replica's part of the machine.
    pub price_per_hour: MicroUnits,
    /// Whether the machine already has the image. With [`HoldKind::Image`] the slot is idle from the
    /// start in this case.
    pub has_image: bool,
}

impl WarmPools {
    /// Recomputes the targets, drains outdated and surplus slots, and charges the slots that are due.
    /// `boot_ms` is the time, in milliseconds, in which a machine boots.
    pub fn refresh(&mut self, boot_ms: u64, now: ClockReading) {
        let last_load_ms = &self.last_load_ms;
        let warm_up_ms = |pool: &str| boot_ms + last_load_ms.get(pool).copied().unwrap_or(ASSUMED_LOAD_MS);
        self.targets.update(now.steady_ms, now.wall_ms, warm_up_ms);
        self.drain_outdated(now);
        let pools: Vec<String> = self.settings.pools.keys().cloned().collect();
        for pool in pools {
            self.drain_surplus(&pool, now);
        }
        self.charge_due_slots(now);
    }

    /// Returns the number of replicas that a pool is below its target, regardless of cost limits.
    pub fn missing_count(&self, pool: &str) -> usize {
        let current = self.available_slots(pool).filter(|slot| !self.is_outdated(slot)).count();
        self.targets.wanted(pool).saturating_sub(current)
    }

    /// Returns the number of replicas at this price that a pool may start now, within its target, its
    /// limit of concurrent loads and its cost limits.
    pub fn startable_count(&self, pool: &str, price_per_hour: MicroUnits, now: ClockReading) -> usize {
        let Some(declared) = self.settings.pools.get(pool) else { return 0 };
        if self.daily_budget_exhausted(pool, now) {
            return 0;
        }
        let loading = self.available_slots(pool).filter(|slot| slot.state == SlotState::Loading).count();
        let load_limit = declared.loads_at_a_time.saturating_sub(loading);
        let cost_limit = declared.idle_cost_per_hour.map_or(usize::MAX, |ceiling| {
            let remaining = to_micro_units(ceiling).saturating_sub(self.unclaimed_cost_per_hour(pool));
            remaining.checked_div(price_per_hour).map_or(usize::MAX, |count| count as usize)
        });
        self.missing_count(pool).min(load_limit).min(cost_limit)
    }

    /// Creates a slot for a new replica of a pool. No order may be sent for it before it is recorded.
    /// If the id is in use, the slot that has it is returned unchanged. Returns `None` if the pool or its
    /// model is not declared.
    pub fn create_slot(&mut self, id: SlotId, pool: &str, place: SlotPlace, now: ClockReading) -> Option<&Slot> {
        let declared = self.settings.pools.get(pool)?;
        let model = self.settings.models.get(&declared.model)?;
        if self.slots.contains_key(&id) {
            return self.slots.get(&id);
        }
        let warm = place.has_image && declared.keep == HoldKind::Image;
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

    /// Handles a report that the slot is on its machine. `warm` states whether the replica is warm.
    pub fn mark_reported(&mut self, id: SlotId, warm: bool, now: ClockReading) {
        let bill_ms = self.bill_ms(now);
        let Some(slot) = self.slots.get_mut(&id) else { return };
        // A delayed or duplicate report must not change a slot that has ended.
        if matches!(slot.state, SlotState::Ended(_)) {
            return;
        }
        if !slot.reported_since_failover {
            // The time before this first report since the failover is charged as estimated.
            slot.charge_until(bill_ms);
            slot.reported_since_failover = true;
        }
        if warm && slot.state == SlotState::Loading {
            slot.set_state(SlotState::Idle, &mut self.transitions);
            slot.changed = true;
            self.last_load_ms.insert(slot.pool.clone(), now.steady_ms.saturating_sub(slot.since_ms));
        }
    }

    /// Begins to unload an unclaimed slot. A slot with [`HoldKind::Image`], which only reserves capacity,
    /// or one that is not recorded ends at once. A claimed, draining or ended slot is not changed.
    pub fn drain(&mut self, id: SlotId, cause: EndCause, now: ClockReading) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        if !slot.is_available() {
            return;
        }
        if slot.keep == HoldKind::Image || slot.version == 0 {
            self.end(id, cause, now);
            return;
        }
        slot.set_state(SlotState::Draining(cause), &mut self.transitions);
        slot.since_ms = now.steady_ms;
    }

    /// Handles a report that the worker does not have the slot. A draining slot ends with the cause
    /// for which it was drained; a loading or idle one ends with [`EndCause::NotReported`].
    pub fn handle_missing_report(&mut self, id: SlotId, now: ClockReading) {
        let cause = match self.slots.get(&id).map(|slot| &slot.state) {
            Some(SlotState::Draining(cause)) => *cause,
            Some(SlotState::Loading | SlotState::Idle) => EndCause::NotReported,
            _ => return,
        };
        self.end(id, cause, now);
    }

    /// Ends all slots of a machine.
    pub fn host_lost(&mut self, host: &str, cause: EndCause, now: ClockReading) {
        let is_affected = |slot: &&Slot| slot.host == host && !matches!(slot.state, SlotState::Ended(_));
        let lost: Vec<SlotId> = self.slots.values().filter(is_affected).map(|slot| slot.id).collect();
        for id in lost {
            self.end(id, cause, now);
        }
    }

    /// Ends a slot: charges its last interval and marks its record for deletion by one of the next
    /// commits.
    pub(super) fn end(&mut self, id: SlotId, cause: EndCause, now: ClockReading) {
        let bill_ms = self.bill_ms(now);
        let unresolved = self.is_being_written(id);
        let Some(slot) = self.slots.get_mut(&id) else { return };
        slot.charge_until(bill_ms);
        slot.set_state(SlotState::Ended(cause), &mut self.transitions);
        slot.changed = true;
        // A slot that was never recorded has no orders and no record, so it is dropped.
        if slot.version == 0 && !unresolved {
            self.slots.remove(&id);
        }
    }

    /// Returns the loading and idle slots of a pool.
    fn available_slots(&self, pool: &str) -> impl Iterator<Item = &Slot> {
        self.slots.values().filter(move |slot| slot.pool == pool && slot.is_available())
    }

    /// Returns whether the slot is outdated: its pool is no longer declared, or is now declared with
    /// another model, version or method of keeping replicas warm.
    fn is_outdated(&self, slot: &Slot) -> bool {
        let declared = self.settings.pools.get(&slot.pool);
        let current = declared.is_some_and(|pool| {
            pool.keep == slot.keep && self.settings.identity_of(pool).as_ref() == Some(&slot.identity)
        });
        !current
    }

    /// Drains outdated slots. A pool keeps as many of them as it lacks warm replicas of the current
    /// version; pools that are no longer declared keep none.
    fn drain_outdated(&mut self, now: ClockReading) {
        let mut outdated: Vec<SlotId> = Vec::new();
        for (pool, slots) in self.outdated_by_pool() {
            let is_warm = |slot: &&Slot| slot.state == SlotState::Idle && !self.is_outdated(slot);
            let warm_count = self.available_slots(&pool).filter(is_warm).count();
            let kept_count = if self.settings.pools.contains_key(&pool) {
                self.targets.wanted(&pool).saturating_sub(warm_count)
            } else {
                0
            };
            outdated.extend(slots.into_iter().skip(kept_count));
        }
        for id in outdated {
            self.drain(id, EndCause::Replaced, now);
        }
    }

    /// Returns the loading and idle slots that are outdated, by pool.
    fn outdated_by_pool(&self) -> std::collections::BTreeMap<String, Vec<SlotId>> {
        let mut outdated: std::collections::BTreeMap<String, Vec<SlotId>> = std::collections::BTreeMap::new();
        for slot in self.slots.values().filter(|slot| slot.is_available() && self.is_outdated(slot)) {
            outdated.entry(slot.pool.clone()).or_default().push(slot.id);
        }
        outdated
    }

    /// Drains slots beyond the target or beyond the cost limits of idle replicas: first those that
    /// are not warm yet, then the newest.
    fn drain_surplus(&mut self, pool: &str, now: ClockReading) {
        let mut current: Vec<(bool, SlotId, MicroUnits)> = self
            .available_slots(pool)
            .filter(|slot| !self.is_outdated(slot))
            .map(|slot| (slot.state == SlotState::Idle, slot.id, slot.price_per_hour))
            .collect();
        current.sort_by_key(|(warm, id, _)| (!warm, *id));
        let wanted = if self.daily_budget_exhausted(pool, now) { 0 } else { self.targets.wanted(pool) };
        let ceiling =
            self.settings.pools.get(pool).and_then(|declared| declared.idle_cost_per_hour).map(to_micro_units);
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
