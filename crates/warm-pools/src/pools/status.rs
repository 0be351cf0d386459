//! What operators are told of a pool.

use super::WarmPools;
use crate::money::MicroUnits;
use crate::settings::{ModelIdentity, PoolName, TeamName};
use crate::slot::{Slot, SlotState};
use serde::{Deserialize, Serialize};

/// How a pool is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The team that pays.
    pub payer: TeamName,
    /// What it loads now.
    pub identity: Option<ModelIdentity>,
    /// Replicas wanted now.
    pub wanted: usize,
    /// Replicas for which a machine is still to be found.
    pub renting: usize,
    /// Replicas that are loaded, or whose room waits for the image.
    pub loading: usize,
    /// Warm replicas that nobody has claimed.
    pub idle: usize,
    /// Replicas that are claimed.
    pub claimed: usize,
    /// Replicas that are being unloaded.
    pub draining: usize,
    /// What replicas that nobody has claimed cost in an hour, in micro-units.
    pub idle_cost_per_hour: MicroUnits,
}

impl WarmPools {
    /// How all pools are.
    pub fn status(&self) -> Vec<PoolStatus> {
        let status = |(name, pool): (&PoolName, &crate::settings::Pool)| {
            let count = |holds: fn(&SlotState) -> bool| {
                self.slots.values().filter(|slot: &&Slot| slot.pool == *name && holds(&slot.state)).count()
            };
            PoolStatus {
                pool: name.clone(),
                payer: pool.payer.clone(),
                identity: self.settings.identity_of(pool),
                wanted: self.targets.wanted(name),
                renting: self.missing(name),
                loading: count(|state| *state == SlotState::Loading),
                idle: count(|state| *state == SlotState::Idle),
                claimed: count(|state| matches!(state, SlotState::Claiming(_) | SlotState::Claimed(_))),
                draining: count(|state| matches!(state, SlotState::Draining(_))),
                idle_cost_per_hour: self.idle_cost_per_hour(name),
            }
        };
        self.settings.pools.iter().map(status).collect()
    }
}
