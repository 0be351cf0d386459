//! The partition's warm pools: the thin part around `badgerdrift_warm_pools`, which decides how
//! many replicas are wanted, whose each one is and who pays. Here they meet machines, attempts,
//! orders and commits. All of it is off unless pools are configured.

mod commits;
mod maintenance;
mod placement;
mod reservations;
mod slot_statuses;

use super::Partition;
use crate::model::Demand;
use badgerdrift_warm_pools::{Amounts, Moment, PoolSettings, PoolStatus, Slot, SlotState, WarmPools};

/// The pools of a partition.
pub(super) struct PartitionWarmPools {
    pools: WarmPools,
    /// The time of day of the last maintenance, in milliseconds.
    wall_ms: u64,
}

impl PartitionWarmPools {
    /// A moment by the leader's clocks.
    fn moment(&self, now: u64) -> Moment {
        Moment { steady_ms: now, wall_ms: self.wall_ms }
    }
}

impl Partition {
    /// Switches the pools on; the settings were checked.
    pub fn enable_pools(&mut self, settings: PoolSettings, now: u64, wall: u64) {
        let pools = WarmPools::new(settings, Moment { steady_ms: now, wall_ms: wall });
        self.warm_pools = Some(PartitionWarmPools { pools, wall_ms: wall });
    }

    /// How the pools are; none if there are none.
    pub fn pool_status(&self) -> Vec<PoolStatus> {
        self.warm_pools.as_ref().map(|warm_pools| warm_pools.pools.status()).unwrap_or_default()
    }

    /// Logs and counts the state changes of slots since the last call.
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

    /// The slots of the pools.
    pub fn pool_slots(&self) -> impl Iterator<Item = &Slot> {
        self.warm_pools.iter().flat_map(|warm_pools| warm_pools.pools.slots())
    }
}

/// What a replica takes, as the scheduler counts it.
fn demand(amounts: &Amounts) -> Demand {
    Demand { cpus: amounts.cores, gpus: amounts.cards, mem: amounts.mem_gb }
}

/// What a machine has, as prices count it.
fn amounts(demand: &Demand) -> Amounts {
    Amounts { cores: demand.cpus, cards: demand.gpus, mem_gb: demand.mem }
}
