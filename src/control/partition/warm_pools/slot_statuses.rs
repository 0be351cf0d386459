//! What heartbeats say of slots, and the orders that follow.

use crate::control::partition::Partition;
use crate::model::HostIndex;
use crate::wire::{Heartbeat, Order};
use badgerdrift_warm_pools::{EndCause, HoldKind, Slot, SlotId, SlotState};

/// What a heartbeat means for a slot.
enum SlotStatusChange {
    /// It is there, warm or not yet.
    Seen { warm: bool },
    /// It is not there.
    Missing,
    /// The reservation by the previous leader was never recorded, and can't be any more.
    ClaimNeverRecorded,
    /// The heartbeat does not show it.
    Nothing,
}

impl Partition {
    /// Applies what a current heartbeat says of the slots on its machine.
    pub(in crate::control::partition) fn apply_slot_statuses(
        &mut self,
        host_index: HostIndex,
        heartbeat: &Heartbeat,
        now: u64,
    ) {
        let Some(warm_pools) = &self.warm_pools else { return };
        let on_host: Vec<&Slot> = warm_pools.pools.slots().filter(|slot| slot.host == heartbeat.host).collect();
        let another_session = on_host.iter().any(|slot| slot.agent_epoch != heartbeat.agent_epoch);
        let changes: Vec<(SlotId, SlotStatusChange)> =
            on_host.iter().map(|slot| (slot.id, self.slot_status_change(slot, host_index, heartbeat))).collect();
        let moment = warm_pools.moment(now);
        let Some(warm_pools) = &mut self.warm_pools else { return };
        if another_session {
            warm_pools.pools.host_lost(&heartbeat.host, EndCause::SessionLost, moment);
            return;
        }
        for (id, change) in changes {
            match change {
                SlotStatusChange::Seen { warm } => warm_pools.pools.mark_reported(id, warm, moment),
                SlotStatusChange::Missing => warm_pools.pools.mark_missing(id, moment),
                SlotStatusChange::ClaimNeverRecorded => {
                    tracing::info!(slot = id, "reservation of the previous leader was never recorded");
                    warm_pools.pools.void_claim(id, moment);
                    warm_pools.pools.mark_reported(id, false, moment);
                    self.scheduling_triggers.request_cycle();
                }
                SlotStatusChange::Nothing => {}
            }
        }
    }

    fn slot_status_change(&self, slot: &Slot, host_index: HostIndex, heartbeat: &Heartbeat) -> SlotStatusChange {
        let Some(host) = self.cluster.host(host_index) else { return SlotStatusChange::Nothing };
        if let SlotState::Claimed(claim) = &slot.state {
            let there = host.attempts.iter().any(|attempt| attempt.attempt == claim.attempt);
            return match (there, slot.reported_since_failover) {
                (true, _) => SlotStatusChange::Seen { warm: true },
                // No order of the previous leader can come any more: the machine has seen this leader's token.
                (false, false) => SlotStatusChange::ClaimNeverRecorded,
                (false, true) => SlotStatusChange::Nothing,
            };
        }
        if slot.keep == HoldKind::Image {
            let warm = host.images.iter().any(|image| image.ready && image.name == slot.image);
            return SlotStatusChange::Seen { warm };
        }
        let reported =
            heartbeat.slots.as_ref().and_then(|slots| slots.iter().find(|reported| reported.slot == slot.id));
        match (reported, &slot.state) {
            (Some(reported), _) => SlotStatusChange::Seen { warm: reported.ready },
            // The order to load it may not have arrived yet.
            (None, SlotState::Loading) => SlotStatusChange::Nothing,
            (None, _) => SlotStatusChange::Missing,
        }
    }

    /// The orders for the slots of a machine: what its worker should have done and has not.
    pub(in crate::control::partition) fn slot_orders(&self, host_index: HostIndex) -> Vec<Order> {
        let Some(warm_pools) = &self.warm_pools else { return Vec::new() };
        let Some(host) = self.cluster.host(host_index).filter(|host| host.loads_models && host.reconciled) else {
            return Vec::new();
        };
        let loaded = warm_pools.pools.slots().filter(|slot| slot.host == host.id && slot.keep == HoldKind::Loaded);
        loaded
            .filter_map(|slot| match slot.state {
                SlotState::Loading if slot.is_recorded() => Some(load(slot)),
                SlotState::Draining(_) => Some(Order::Unload { slot: slot.id }),
                _ => None,
            })
            .collect()
    }

    /// Orders to unload what a worker has and no record knows, or not any more.
    pub(in crate::control::partition) fn unknown_slots(&self, heartbeat: &Heartbeat) -> Vec<Order> {
        let Some(warm_pools) = &self.warm_pools else { return Vec::new() };
        let known = |id: SlotId| {
            warm_pools
                .pools
                .slot(id)
                .is_some_and(|slot| slot.host == heartbeat.host && !matches!(slot.state, SlotState::Ended(_)))
        };
        let unknown = heartbeat.slots.iter().flatten().filter(|reported| !known(reported.slot));
        unknown.map(|reported| Order::Unload { slot: reported.slot }).collect()
    }
}

fn load(slot: &Slot) -> Order {
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
