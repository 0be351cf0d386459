//! Warm pools: their maintenance, and their status.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use crate::model::InstanceType;
use crate::runtime::clock;
use crate::warm_pools::WarmPoolsResponse;

impl PartitionLeader {
    /// Maintains the pools, if there are any.
    pub(super) fn maintain_pools(&self, leadership: &mut Leadership, now: u64) {
        if self.pools.is_none() {
            return;
        }
        let boot_ms = leadership.provisioner.expected_boot_ms(&leadership.partition, now);
        leadership.partition.maintain_pools(boot_ms, now, clock::wall_ms());
    }

    /// Logs the pools whose machine type the cloud does not have. The check at the start needs an
    /// answer of the cloud, which may also have dropped a type since.
    pub(super) fn check_pool_machines(&self, instance_types: &[InstanceType]) {
        let pools = self.pools.iter().flat_map(|settings| &settings.pools);
        for (pool, machine) in pools.flat_map(|(name, pool)| pool.machines.iter().map(move |machine| (name, machine))) {
            if !instance_types.iter().any(|instance_type| instance_type.name == *machine) {
                tracing::error!(pool, machine, "the cloud has no such machine type");
            }
        }
    }

    /// The status of the pools.
    pub(super) fn pool_status(&self, leadership: &Leadership) -> WarmPoolsResponse {
        match &self.pools {
            Some(_) => WarmPoolsResponse::Status(leadership.partition.pool_status()),
            None => WarmPoolsResponse::NoPools,
        }
    }
}
