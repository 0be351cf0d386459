//! Status of pools, as operators see it.

use super::WarmPools;
use crate::money::MicroUnits;
use crate::settings::{ModelIdentity, PoolName, TeamName};
use crate::slot::{Slot, SlotState};
use serde::{Deserialize, Serialize};

/// Status of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: PoolName,
    /// Team that pays for idle replicas.
    pub payer: TeamName,
    /// Model and version that the pool loads; `None` if its model is not declared.
    pub identity: Option<ModelIdentity>,
    /// Number of replicas wanted.
    pub wanted: usize,
    /// Number of replicas that are missing and for which no slot exists yet.
    pub renting: usize,
    /// Number of replicas that are being loaded, or whose machine does not have the image yet.
    pub loading: usize,
    /// Number of warm, unclaimed replicas.
    pub idle: usize,
    /// Number of claimed replicas, whether the claim is recorded or not.
    pub claimed: usize,
    /// Number of replicas that are being unloaded.
    pub draining: usize,
    /// Price per hour of all loading and idle replicas, in micro-units.
    pub idle_cost_per_hour: MicroUnits,
}

impl WarmPools {
    /// Returns the status of all pools, by name.
    pub fn status(&self) -> Vec<PoolStatus> {
        let status = |(name, pool): (&PoolName, &crate::settings::Pool)| {
            let count = |matches_state: fn(&SlotState) -> bool| {
                self.slots.values().filter(|slot: &&Slot| slot.pool == *name && matches_state(&slot.state)).count()
            };
            PoolStatus {
                pool: name.clone(),
                payer: pool.payer.clone(),
                identity: self.settings.identity_of(pool),
                wanted: self.targets.wanted(name),
                renting: self.missing_count(name),
                loading: count(|state| *state == SlotState::Loading),
                idle: count(|state| *state == SlotState::Idle),
                claimed: count(|state| matches!(state, SlotState::Claiming(_) | SlotState::Claimed(_))),
                draining: count(|state| matches!(state, SlotState::Draining(_))),
                idle_cost_per_hour: self.unclaimed_cost_per_hour(name),
            }
        };
        self.settings.pools.iter().map(status).collect()
    }
}
