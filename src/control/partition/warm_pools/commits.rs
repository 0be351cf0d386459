//! The records of the pools: read at a failover, written with the partition's others.

use super::PartitionWarmPools;
use crate::control::partition::Partition;
use crate::control::partition::commit_builder::ConditionalWrite;
use crate::control::partition::commit_results::WriteFailure;
use crate::model::{CachedImage, HostIndex};
use crate::wire::{self, Item};
use badgerdrift_warm_pools::{HoldKind, PoolEvent, RecordChanges, RecordKey, StoredRecord};

/// A record with the version of its key.
fn record(item: Item) -> Option<(RecordKey, StoredRecord, u64)> {
    let key = RecordKey::parse(&item.key)?;
    match serde_json::from_value(item.value) {
        Ok(record) => Some((key, record, item.version)),
        Err(error) => {
            tracing::error!(key = item.key, %error, "unreadable record of a warm pool");
            None
        }
    }
}

impl Partition {
    /// Begins with the pools' records. What is warm on ordinary machines is known from them alone.
    pub fn begin_pools(&mut self, items: Vec<Item>, now: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let moment = warm_pools.moment(now);
        warm_pools.pools.restore(items.into_iter().filter_map(record), moment);
        for slot in warm_pools.pools.slots().filter(|slot| slot.keep == HoldKind::Image && slot.is_claimable()) {
            let host = self.cluster.host_index.get(&slot.host).copied();
            if let Some(host) = host.and_then(|index: HostIndex| self.cluster.host_mut(index))
                && host.images.iter().all(|image| image.name != slot.image)
            {
                let ready = slot.state == badgerdrift_warm_pools::SlotState::Idle;
                host.images.push(CachedImage { name: slot.image.clone(), gb: slot.size_gb, used_ms: now, ready });
            }
        }
    }

    /// The changes of the pools' records that go into the next commit, if any fit.
    pub(in crate::control::partition) fn next_pool_changes(&mut self, most: usize) -> Option<RecordChanges> {
        let warm_pools = self.warm_pools.as_mut()?;
        let changes = warm_pools.pools.next_changes(self.epoch.upcoming_number(), most)?;
        // The number is a commit's now, and no attempt's.
        self.epoch.next_number();
        Some(changes)
    }

    /// The pools' part of a commit was made.
    pub(in crate::control::partition) fn pools_written(&mut self, revision: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let events = warm_pools.pools.written(revision);
        self.follow_pool_events(events);
    }

    /// The pools' part of a commit was not made, or maybe not.
    pub(in crate::control::partition) fn pools_not_written(&mut self, failure: WriteFailure) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        match failure {
            WriteFailure::Indeterminate => warm_pools.pools.indeterminate(),
            WriteFailure::NotCarriedOut => warm_pools.pools.not_written(),
        }
    }

    /// Keys of the pools that must be read before their records are written again.
    pub fn pool_keys_to_read(&self) -> Vec<String> {
        let keys = self.warm_pools.iter().flat_map(|warm_pools| warm_pools.pools.keys_to_read());
        keys.map(|key| key.path()).collect()
    }

    /// Takes these keys as they are now.
    pub fn pool_keys_read(&mut self, found: Vec<(String, Option<Item>)>) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let found = found.into_iter().filter_map(|(key, item)| {
            let item = item.and_then(record).map(|(_, record, version)| (record, version));
            Some((RecordKey::parse(&key)?, item))
        });
        let events = warm_pools.pools.reread(found.collect());
        self.follow_pool_events(events);
    }

    fn follow_pool_events(&mut self, events: Vec<PoolEvent>) {
        for event in events {
            match event {
                PoolEvent::SlotRecorded(slot) => self.dispatch_slot(slot),
                PoolEvent::ClaimRecorded(slot, claim) => {
                    self.claim_recorded(claim.attempt);
                    self.dispatch_slot(slot);
                }
                PoolEvent::SlotFree(_) => self.scheduling_triggers.request_cycle(),
            }
        }
    }

    /// The machine of a slot has orders to get.
    fn dispatch_slot(&mut self, slot: u64) {
        let slot = self.warm_pools.as_ref().and_then(|warm_pools| warm_pools.pools.slot(slot));
        if let Some(host) = slot.and_then(|slot| self.cluster.host_index.get(&slot.host)) {
            self.dispatch_queue.insert(*host);
        }
        self.scheduling_triggers.request_cycle();
    }

    /// The task of this attempt may be ordered.
    fn claim_recorded(&mut self, attempt: u64) {
        let attempts = self.cluster.hosts.iter_mut().flatten().flat_map(|host| host.attempts.iter_mut());
        for own in attempts.filter(|own| own.attempt == attempt) {
            own.awaits_record = false;
        }
    }
}

impl PartitionWarmPools {
    /// The writes of the records, and their conditions.
    pub(in crate::control::partition) fn encode(changes: &RecordChanges) -> Vec<ConditionalWrite> {
        let encode = |record: &badgerdrift_warm_pools::RecordWrite| {
            let path = record.key.path();
            let write = match &record.value {
                Some(value) => wire::put(&path, &serde_json::to_value(value).unwrap_or_default(), None),
                None => wire::delete(&path),
            };
            ConditionalWrite { condition: wire::condition(&path, record.version), write }
        };
        changes.writes.iter().map(encode).collect()
    }
}
