//! Slot statuses in heartbeats, and orders to load and unload slots.

use crate::control::partition::Partition;
use crate::control::partition::heartbeats::MAX_ORDERS_PER_REPLY;
use crate::model::HostIndex;
use crate::wire::{Heartbeat, Order};
use badgerdrift_warm_pools::{EndCause, HoldKind, Slot, SlotId, SlotState};

/// Consequence of a heartbeat for a slot.
enum SlotStatusChange {
    /// The slot is on the machine, `warm` if it is ready.
    Present { warm: bool },
    /// The slot is not on the machine.
    Missing,
    /// No attempt uses the slot that the previous leader claimed, and none can start any more.
    ClaimUnused,
    /// The heartbeat contains no information about the slot.
    Unknown,
}

impl Partition {
    /// Applies the slot statuses of a current heartbeat to the slots on its machine. A new agent epoch means that all
    /// of them are lost.
    pub(in crate::control::partition) fn apply_slot_statuses(
        &mut self,
        host_index: HostIndex,
        heartbeat: &Heartbeat,
        now: u64,
    ) {
        let Some(warm_pools) = &self.warm_pools else { return };
        let on_host: Vec<&Slot> = warm_pools.pools.slots().filter(|slot| slot.host == heartbeat.host).collect();
        let has_new_epoch = on_host.iter().any(|slot| slot.agent_epoch != heartbeat.agent_epoch);
        let changes: Vec<(SlotId, SlotStatusChange)> =
            on_host.iter().map(|slot| (slot.id, self.slot_status_change(slot, host_index, heartbeat))).collect();
        let clock_reading = warm_pools.clock_reading(now);
        let Some(warm_pools) = &mut self.warm_pools else { return };
        if has_new_epoch {
            warm_pools.pools.host_lost(&heartbeat.host, EndCause::SessionLost, clock_reading);
            return;
        }
        for (id, change) in changes {
            match change {
                SlotStatusChange::Present { warm } => warm_pools.pools.mark_reported(id, warm, clock_reading),
                SlotStatusChange::Missing => warm_pools.pools.handle_missing_report(id, clock_reading),
                SlotStatusChange::ClaimUnused => {
                    tracing::info!(slot = id, "warm slot claim of the previous leader was never used, voided");
                    warm_pools.pools.void_claim(id, clock_reading);
                    warm_pools.pools.mark_reported(id, false, clock_reading);
                    self.scheduling_triggers.request_cycle();
                }
                SlotStatusChange::Unknown => {}
            }
        }
    }

    /// Derives the consequence of a heartbeat for a slot.
    fn slot_status_change(&self, slot: &Slot, host_index: HostIndex, heartbeat: &Heartbeat) -> SlotStatusChange {
        let Some(host) = self.cluster.host(host_index) else { return SlotStatusChange::Unknown };
        if let SlotState::Claimed(claim) = &slot.state {
            let is_present = host.attempts.iter().any(|attempt| attempt.attempt == claim.attempt);
            return match (is_present, slot.reported_since_failover) {
                (true, _) => SlotStatusChange::Present { warm: true },
                // No order of the previous leader can take effect any more: the machine has seen this leader's token.
                (false, false) => SlotStatusChange::ClaimUnused,
                (false, true) => SlotStatusChange::Unknown,
            };
        }
        if slot.keep == HoldKind::Image {
            let warm = host.images.iter().any(|image| image.ready && image.name == slot.image);
            return SlotStatusChange::Present { warm };
        }
        let reported =
            heartbeat.slots.as_ref().and_then(|slots| slots.iter().find(|reported| reported.slot == slot.id));
        match (reported, &slot.state) {
            (Some(reported), _) => SlotStatusChange::Present { warm: reported.ready },
            // The order to load the slot may not have arrived yet.
            (None, SlotState::Loading) => SlotStatusChange::Unknown,
            (None, _) => SlotStatusChange::Missing,
        }
    }

    /// Returns the orders for slots that the machine's worker has not carried out yet: loading recorded slots and
    /// unloading draining ones. There are no more than one reply may have; the others follow with a later one.
    pub(in crate::control::partition) fn slot_orders(&self, host_index: HostIndex) -> Vec<Order> {
        let Some(warm_pools) = &self.warm_pools else { return Vec::new() };
        let Some(host) = self.cluster.host(host_index).filter(|host| host.can_load_models && host.reconciled) else {
            return Vec::new();
        };
        let loaded = warm_pools.pools.slots().filter(|slot| slot.host == host.id && slot.keep == HoldKind::Loaded);
        loaded
            .filter_map(|slot| match slot.state {
                SlotState::Loading if slot.is_recorded() => Some(load_order(slot)),
                SlotState::Draining(_) => Some(Order::Unload { slot: slot.id }),
                _ => None,
            })
            .take(MAX_ORDERS_PER_REPLY)
            .collect()
    }

    /// Returns orders to unload the reported slots that are unknown, on another machine's record, or ended.
    pub(in crate::control::partition) fn orders_for_unknown_slots(&self, heartbeat: &Heartbeat) -> Vec<Order> {
        let Some(warm_pools) = &self.warm_pools else { return Vec::new() };
        let is_known = |id: SlotId| {
            warm_pools
                .pools
                .slot(id)
                .is_some_and(|slot| slot.host == heartbeat.host && !matches!(slot.state, SlotState::Ended(_)))
        };
        let unknown = heartbeat.slots.iter().flatten().filter(|reported| !is_known(reported.slot));
        unknown.map(|reported| Order::Unload { slot: reported.slot }).collect()
    }
}

/// Returns the order to load a slot.
fn load_order(slot: &Slot) -> Order {
    Order::Load {
        slot: slot.id,
        model: slot.identity.model.clone(),
        version: slot.identity.version,
        image: slot.image.clone(),
        size_gb: slot.size_gb,
        cpus: slot.amounts.cores,
        gpus: slot.amounts.cards,
        mem_gb: slot.amounts.mem_gb,
    }
}
