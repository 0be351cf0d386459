//! Input about warm pools for a scheduling cycle, and application of the warm-pool decisions of a cycle.

use super::{PartitionWarmPools, demand};
use crate::control::partition::Partition;
use crate::model::{ClusterState, HostIndex, WarmReservation, WarmReservationClaim, WarmReservationOffer};
use crate::scheduling::CycleDecisions;
use badgerdrift_warm_pools::{Claim, EndCause, HoldKind, Slot, SlotState};
use std::sync::Arc;

impl Partition {
    /// Updates the scheduler's view of the capacity that warm slots reserve. While the state service is
    /// unavailable no claim could be recorded, so no slot is offered and jobs are placed as usual.
    pub(in crate::control::partition) fn reserve_warm_capacity(&mut self) {
        let Some(warm_pools) = &self.warm_pools else { return };
        let recordable = self.conditions.reservations_recordable;
        let cluster = &self.cluster;
        let holding = warm_pools.pools.slots().filter(|slot| slot.reserves_capacity());
        self.cluster.warm_reservations = holding
            .filter_map(|slot| {
                Some(warm_pools.warm_reservation(slot, *cluster.host_index.get(&slot.host)?, recordable))
            })
            .collect();
    }

    /// Applies the decisions of a scheduling cycle about warm slots: claims them for tasks, and drains those that
    /// yield their capacity.
    pub(in crate::control::partition) fn apply_warm_decisions(&mut self, outcome: &CycleDecisions, now: u64) {
        for claim in &outcome.warm_claims {
            self.claim_reservation(claim, now);
        }
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let clock_reading = warm_pools.clock_reading(now);
        for slot in &outcome.released_warm_reservations {
            warm_pools.pools.drain(*slot, EndCause::CapacityNeeded, clock_reading);
            if let Some(host) = warm_pools.pools.slot(*slot).and_then(|slot| self.cluster.host_index.get(&slot.host)) {
                self.dispatch_queue.insert(*host);
            }
        }
    }

    /// Claims the slot in which a task is placed. The claim is recorded before the task is ordered, so that no
    /// other leader gives a slot away that holds an attempt.
    fn claim_reservation(&mut self, placed: &WarmReservationClaim, now: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let spec = &self.cluster.jobs[placed.key.job].spec;
        let claim =
            Claim { job: spec.id.clone(), task: placed.key.task, attempt: placed.attempt, team: spec.team.clone() };
        let clock_reading = warm_pools.clock_reading(now);
        let claimed = warm_pools.pools.claim(placed.slot, &spec.image, claim, clock_reading);
        tracing::info!(
            slot = placed.slot,
            job = spec.id,
            team = spec.team,
            taken = claimed.is_ok(),
            "warm slot claim attempted"
        );
        let loaded = warm_pools.pools.slot(placed.slot).is_some_and(|slot| slot.keep == HoldKind::Loaded);
        let host = self.cluster.host_mut(placed.host);
        let Some(attempt) = host.and_then(|host| host.attempt_mut(placed.key, placed.attempt)) else { return };
        // If the claim failed, the task starts as usual in the capacity that the slot held.
        attempt.start_awaits_record = claimed.is_ok();
        attempt.slot = (claimed.is_ok() && loaded).then_some(placed.slot);
    }
}

impl PartitionWarmPools {
    /// Returns the scheduler's view of a slot. The slot is offered only if claims can be recorded.
    fn warm_reservation(&self, slot: &Slot, host: HostIndex, recordable: bool) -> WarmReservation {
        let offer = (recordable && slot.is_claimable()).then(|| self.offer(slot)).flatten();
        WarmReservation {
            slot: slot.id,
            host,
            demand: demand(&slot.amounts),
            offer,
            warm: slot.state == SlotState::Idle,
            releasable: slot.is_available(),
        }
    }

    /// Returns the images and teams that may claim a slot, or `None` if its pool or model is no longer configured
    /// or the model has another version.
    fn offer(&self, slot: &Slot) -> Option<Arc<WarmReservationOffer>> {
        let settings = self.pools.settings();
        let pool = settings.pools.get(&slot.pool)?;
        let model = settings.models.get(&slot.identity.model)?;
        let names = model.names.iter().chain([&model.image]);
        // The pools check the image again when the slot is claimed.
        let images = names.filter(|name| slot.keep == HoldKind::Loaded || **name == slot.image).cloned().collect();
        (model.version == slot.identity.version).then(|| {
            Arc::new(WarmReservationOffer { images, teams: pool.claimants.clone(), payer: slot.payer.clone() })
        })
    }
}

/// Returns the machine of each of the pool's slots that are available, one entry per slot.
pub(super) fn hosts_of<'a>(
    cluster: &'a ClusterState,
    warm_pools: &'a PartitionWarmPools,
    pool: &'a str,
) -> Vec<HostIndex> {
    let slots = warm_pools.pools.slots().filter(|slot| slot.pool == pool && slot.is_available());
    slots.filter_map(|slot| cluster.host_index.get(&slot.host).copied()).collect()
}
