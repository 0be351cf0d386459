//! Periodic maintenance of warm pools: sizes, claims, slots on lost machines, prices and new slots.

use super::amounts;
use crate::control::partition::Partition;
use crate::model::HostIndex;
use badgerdrift_warm_pools::{EndCause, SlotId, SlotState, price_of};

/// Time, as a multiple of `react_ms`, after which a claim that is not recorded yet is abandoned. Its task is
/// then placed as usual.
const CLAIM_TIMEOUT_REACTIONS: u64 = 2;

impl Partition {
    /// Maintains the pools. `boot_ms` is the time that a machine takes to boot, `now` the steady clock and `wall` the
    /// time of day, all in milliseconds.
    pub fn maintain_pools(&mut self, boot_ms: u64, now: u64, wall: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        warm_pools.wall_ms = wall;
        let clock_reading = warm_pools.clock_reading(now);
        warm_pools.pools.refresh(boot_ms, clock_reading);
        self.abandon_unrecorded_claims(now);
        self.release_ended_claims(now);
        self.end_lost_slots(now);
        self.update_prices(now);
        self.reserve_warm_capacity();
        self.place_slots(now);
        self.dispatch_draining_slots();
        self.report_slot_transitions();
    }

    /// Abandons the claims that were not recorded in time. No order was sent for their tasks yet.
    fn abandon_unrecorded_claims(&mut self, now: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let before_ms = now.saturating_sub(CLAIM_TIMEOUT_REACTIONS * self.policy.react_ms);
        let unrecorded = warm_pools.pools.claims_unrecorded_since(before_ms);
        for (id, _) in &unrecorded {
            warm_pools.pools.abandon_claim(*id);
        }
        for (slot, claim) in unrecorded {
            tracing::info!(slot, job = claim.job, "warm slot claim not recorded in time, abandoned");
            self.metrics.count("warm_claims_given_up", &claim.team);
            self.remove_unordered_attempt(claim.attempt);
        }
    }

    /// Removes an attempt that was never ordered, and so is on no machine. Its task is placed again.
    fn remove_unordered_attempt(&mut self, attempt: u64) {
        let found = self.cluster.each_host().find_map(|(host_index, host)| {
            let candidate =
                host.attempts.iter().find(|candidate| candidate.attempt == attempt && candidate.start_awaits_record)?;
            Some((host_index, candidate.key))
        });
        if let Some((host_index, key)) = found {
            self.remove_attempt(host_index, key, attempt);
        }
    }

    /// Ends the claims whose attempts are gone. A claim that waits to be recorded has an attempt, too, and so is
    /// kept.
    pub(in crate::control::partition) fn release_ended_claims(&mut self, now: u64) {
        let Some(warm_pools) = &self.warm_pools else { return };
        let gone = |host: &str, attempt: u64| {
            let host = self.cluster.host_index.get(host).and_then(|index| self.cluster.host(*index));
            host.is_some_and(|host| {
                !host.attempts.iter().any(|candidate| candidate.attempt == attempt && !candidate.ended())
            })
        };
        let claims = warm_pools
            .pools
            .slots()
            .filter(|slot| slot.reported_since_failover)
            .filter_map(|slot| Some((slot, slot.claim()?)));
        let ended: Vec<SlotId> =
            claims.filter(|(slot, claim)| gone(&slot.host, claim.attempt)).map(|(slot, _)| slot.id).collect();
        let clock_reading = warm_pools.clock_reading(now);
        let Some(warm_pools) = &mut self.warm_pools else { return };
        ended.into_iter().for_each(|id| warm_pools.pools.claim_ended(id, clock_reading));
    }

    /// Ends the slots on machines that are gone, and drains those on machines that are faulty or about to be
    /// returned or taken back.
    fn end_lost_slots(&mut self, now: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let clock_reading = warm_pools.clock_reading(now);
        let hosts: Vec<(SlotId, String)> = warm_pools.pools.slots().map(|slot| (slot.id, slot.host.clone())).collect();
        for (id, host) in hosts {
            match self.cluster.host_index.get(&host).and_then(|index| self.cluster.host(*index)) {
                None => warm_pools.pools.host_lost(&host, EndCause::MachineLost, clock_reading),
                Some(host) if host.preemption_notice || host.terminating || host.draining || host.faulty() => {
                    warm_pools.pools.drain(id, EndCause::MachineLost, clock_reading);
                }
                Some(_) => {}
            }
        }
    }

    /// Updates the prices of slots to the current prices of their machines.
    fn update_prices(&mut self, now: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let clock_reading = warm_pools.clock_reading(now);
        let instance_type_of = |host: &str| {
            let host = self.cluster.host(*self.cluster.host_index.get(host)?)?;
            Some((&self.cluster.instance_types[host.instance_type?], host.spot))
        };
        let prices: Vec<(SlotId, u64)> = warm_pools
            .pools
            .slots()
            .filter_map(|slot| {
                let (instance_type, spot) = instance_type_of(&slot.host)?;
                Some((slot.id, price_of(&slot.amounts, &amounts(&instance_type.cap), instance_type.price(spot))))
            })
            .collect();
        prices.into_iter().for_each(|(id, price)| warm_pools.pools.set_price(id, price, clock_reading));
    }

    /// Queues the machines with draining slots for dispatch, so that they get the orders to unload them.
    fn dispatch_draining_slots(&mut self) {
        let draining = self.pool_slots().filter(|slot| matches!(slot.state, SlotState::Draining(_)));
        let hosts: Vec<HostIndex> =
            draining.filter_map(|slot| self.cluster.host_index.get(&slot.host).copied()).collect();
        self.dispatch_queue.extend(hosts);
    }
}
