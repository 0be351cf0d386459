//! Warm pools of a partition. `badgerdrift_warm_pools` decides how many replicas are wanted, who may claim each
//! one and who pays for it; this module connects the pools to machines, attempts, orders and commits. It does
//! nothing unless pools are configured.

mod commits;
mod maintenance;
mod placement;
mod reservations;
mod slot_statuses;

use super::Partition;
use crate::model::Demand;
use badgerdrift_warm_pools::{Amounts, ClockReading, PoolSettings, PoolStatus, Slot, SlotState, WarmPools};

/// Warm pools of a partition.
pub(super) struct PartitionWarmPools {
    pools: WarmPools,
    /// Time of day of the last maintenance, in milliseconds.
    wall_ms: u64,
}

impl PartitionWarmPools {
    /// Returns the clock reading that consists of `now`, in milliseconds of the steady clock, and the time of
    /// day of the last maintenance.
    fn clock_reading(&self, now: u64) -> ClockReading {
        ClockReading { steady_ms: now, wall_ms: self.wall_ms }
    }
}

impl Partition {
    /// Enables the warm pools. The settings must have been validated.
    pub fn enable_pools(&mut self, settings: PoolSettings, now: u64, wall: u64) {
        let pools = WarmPools::new(settings, ClockReading { steady_ms: now, wall_ms: wall });
        self.warm_pools = Some(PartitionWarmPools { pools, wall_ms: wall });
    }

    /// Returns the status of each pool. Empty if no pools are configured.
    pub fn pool_status(&self) -> Vec<PoolStatus> {
        self.warm_pools.as_ref().map(|warm_pools| warm_pools.pools.status()).unwrap_or_default()
    }

    /// Logs and counts the state transitions of slots since the last call.
    pub(in crate::control::partition) fn report_slot_transitions(&mut self) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        for transition in warm_pools.pools.take_transitions() {
            let from = transition.from.as_ref().map_or("none", SlotState::label);
            let to = transition.to.label();
            let cause = match transition.to {
                SlotState::Draining(cause) | SlotState::Ended(cause) => cause.label(),
                _ => "",
            };
            tracing::info!(slot = transition.slot, pool = transition.pool, from, to, cause, "warm slot changed state");
            self.metrics.count("warm_slots", if cause.is_empty() { to } else { cause });
        }
    }

    /// Returns the slots of all pools.
    pub fn pool_slots(&self) -> impl Iterator<Item = &Slot> {
        self.warm_pools.iter().flat_map(|warm_pools| warm_pools.pools.slots())
    }
}

/// Converts the amounts of a replica to a demand as the scheduler counts it.
fn demand(amounts: &Amounts) -> Demand {
    Demand { cpus: amounts.cores, gpus: amounts.cards, mem: amounts.mem_gb }
}

/// Converts the capacity of a machine to amounts as the pools' prices count it.
fn amounts(demand: &Demand) -> Amounts {
    Amounts { cores: demand.cpus, cards: demand.gpus, mem_gb: demand.mem }
}
