//! Maintenance and status of warm pools.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use crate::model::InstanceType;
use crate::runtime::clock;
use crate::warm_pools::WarmPoolsResponse;

impl PartitionLeader {
    /// Maintains the pools, if pools are configured.
    pub(super) fn maintain_pools(&self, leadership: &mut Leadership, now: u64) {
        if self.pools.is_none() {
            return;
        }
        let boot_ms = leadership.provisioner.expected_boot_ms(&leadership.partition, now);
        leadership.partition.maintain_pools(boot_ms, now, clock::wall_ms());
    }

    /// Logs an error for each machine type of a pool that the cloud does not offer. The check at the
    /// start is not enough: it needs an answer of the cloud, and the cloud may have withdrawn a
    /// machine type since.
    pub(super) fn check_pool_machines(&self, instance_types: &[InstanceType]) {
        let pools = self.pools.iter().flat_map(|settings| &settings.pools);
        for (pool, machine) in pools.flat_map(|(name, pool)| pool.machines.iter().map(move |machine| (name, machine))) {
            if !instance_types.iter().any(|instance_type| instance_type.name == *machine) {
                tracing::error!(pool, machine, "warm pool uses a machine type that the cloud does not offer");
            }
        }
    }

    /// Returns the status of the pools.
    pub(super) fn pool_status(&self, leadership: &Leadership) -> WarmPoolsResponse {
        match &self.pools {
            Some(_) => WarmPoolsResponse::Status(leadership.partition.pool_status()),
            None => WarmPoolsResponse::NoPools,
        }
    }
}
