//! Warm pools: reading their records, and what is asked about them.

use super::active_term::ActiveTerm;
use super::actor::PartitionOwner;
use super::messages::SessionEvent;
use crate::clients::State;
use crate::clock;
use crate::model::Flavor;
use crate::task;
use crate::warm_pools::PoolsResponse;
use crate::wire::Item;
use badgerdrift_warm_pools::RecordKey;
use tokio::time::sleep;

/// All records of slots, and the bills of the days around now.
pub(super) async fn read_pool_records(state: &State, wall_ms: u64) -> Option<Vec<Item>> {
    let mut items = state.list(RecordKey::SLOT_PREFIX).await.ok()?;
    for day in badgerdrift_warm_pools::days_around(wall_ms) {
        items.extend(state.list(&format!("{}{day}/", RecordKey::BILL_PREFIX)).await.ok()?);
    }
    Some(items)
}

impl PartitionOwner {
    /// Looks after the pools, if there are any.
    pub(super) fn maintain_pools(&self, h: &mut ActiveTerm, now: u64) {
        if self.pools.is_none() {
            return;
        }
        let boot_ms = h.leader.expected_boot_ms(&h.partition, now);
        h.partition.claims_recordable = self.state.answers(self.settings.grant_ttl_ms());
        h.partition.maintain_pools(boot_ms, now, clock::wall_ms());
    }

    /// Machine types are told by the cloud: where it gave no answer as this controller started, a
    /// pool's could not be checked then, and the cloud may have dropped one since.
    pub(super) fn check_pool_machines(&self, flavors: &[Flavor]) {
        let pools = self.pools.iter().flat_map(|settings| &settings.pools);
        for (pool, machine) in pools.flat_map(|(name, pool)| pool.machines.iter().map(move |machine| (name, machine))) {
            if !flavors.iter().any(|flavor| flavor.name == *machine) {
                tracing::error!(pool, machine, "the cloud has no such machine type");
            }
        }
    }

    /// Reads the pools' records that are unclear, until all are read.
    pub(super) fn read_unclear_pool_records(&self, h: &mut ActiveTerm) {
        let keys = h.partition.pool_keys_to_read();
        if h.reading_pools || keys.is_empty() {
            return;
        }
        h.reading_pools = true;
        let (state, sender) = (self.state.clone(), self.sender(h.n));
        task::spawn(async move {
            while sender.is_current() {
                if let Some(found) = read_keys(&state, &keys).await {
                    sender.send(SessionEvent::PoolKeysRead(found)).await;
                    return;
                }
                sleep(state.pause()).await;
            }
        });
    }

    /// Takes these records as they are.
    pub(super) fn pool_keys_read(&self, h: &mut ActiveTerm, found: Vec<(String, Option<Item>)>) {
        h.reading_pools = false;
        h.partition.pool_keys_read(found);
    }

    /// How the pools are.
    pub(super) fn pool_status(&self, h: &ActiveTerm) -> PoolsResponse {
        match &self.pools {
            Some(_) => PoolsResponse::Status(h.partition.pool_status()),
            None => PoolsResponse::NoPools,
        }
    }
}

async fn read_keys(state: &State, keys: &[String]) -> Option<Vec<(String, Option<Item>)>> {
    let mut found = Vec::new();
    for key in keys {
        let (item, _) = state.get(key).await.ok()?;
        found.push((key.clone(), item));
    }
    Some(found)
}
