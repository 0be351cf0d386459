//! Warm-pool records: restored at a failover, and written in the same commits as the partition's other records.

use super::PartitionWarmPools;
use crate::control::partition::Partition;
use crate::control::partition::commit_builder::ConditionalWrite;
use crate::control::partition::commit_results::WriteFailure;
use crate::model::{CachedImage, HostIndex};
use crate::wire::{self, KeyValue};
use badgerdrift_warm_pools::{HoldKind, PoolEvent, RecordChanges, RecordKey, StoredRecord};

/// Decodes a warm-pool record. Returns its key, the record and the version of the key, or `None` if the key is
/// not of a warm-pool record or, after logging an error, if the record can't be decoded.
fn record(item: KeyValue) -> Option<(RecordKey, StoredRecord, u64)> {
    let key = RecordKey::parse(&item.key)?;
    match serde_json::from_value(item.value) {
        Ok(record) => Some((key, record, item.version)),
        Err(error) => {
            tracing::error!(key = item.key, %error, "warm pool record can't be decoded");
            None
        }
    }
}

impl Partition {
    /// Restores the pools from the stored records of the previous leader. They are the only source for the images
    /// that slots hold on workers which do not load models.
    pub fn restore_pools(&mut self, items: Vec<KeyValue>, now: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let clock_reading = warm_pools.clock_reading(now);
        warm_pools.pools.restore(items.into_iter().filter_map(record), clock_reading);
        for slot in warm_pools.pools.slots().filter(|slot| slot.keep == HoldKind::Image && slot.is_claimable()) {
            let host = self.cluster.host_index.get(&slot.host).copied();
            if let Some(host) = host.and_then(|index: HostIndex| self.cluster.host_mut(index))
                && host.images.iter().all(|image| image.name != slot.image)
            {
                let ready = slot.state == badgerdrift_warm_pools::SlotState::Idle;
                host.images.push(CachedImage { name: slot.image.clone(), size_gb: slot.size_gb, used_ms: now, ready });
            }
        }
    }

    /// Returns the changes of warm-pool records that go into the next commit, at most `max_changes` of them, or `None`
    /// if there are none that fit.
    pub(in crate::control::partition) fn next_pool_changes(&mut self, max_changes: usize) -> Option<RecordChanges> {
        let warm_pools = self.warm_pools.as_mut()?;
        let changes = warm_pools.pools.next_changes(self.epoch.peek_next_number(), max_changes)?;
        // Consumes the number, so that no attempt gets the number of this commit.
        self.epoch.next_number();
        Some(changes)
    }

    /// Handles a commit that wrote the pending warm-pool records at `revision`.
    pub(in crate::control::partition) fn pools_write_succeeded(&mut self, revision: u64) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let events = warm_pools.pools.written(revision);
        self.handle_pool_events(events);
    }

    /// Handles a commit with warm-pool records that failed or whose result is unknown.
    pub(in crate::control::partition) fn pools_write_failed(&mut self, failure: WriteFailure) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        match failure {
            WriteFailure::Indeterminate => warm_pools.pools.indeterminate(),
            WriteFailure::NotCarriedOut => warm_pools.pools.not_written(),
        }
    }

    /// Returns the keys of warm-pool records that must be read before they are written again.
    pub fn pool_keys_to_read(&self) -> Vec<String> {
        let keys = self.warm_pools.iter().flat_map(|warm_pools| warm_pools.pools.keys_to_read());
        keys.map(|key| key.path()).collect()
    }

    /// Applies fresh reads of warm-pool records' keys. An item is `None` if its key does not exist.
    pub fn apply_pool_records(&mut self, found: Vec<(String, Option<KeyValue>)>) {
        let Some(warm_pools) = &mut self.warm_pools else { return };
        let found = found.into_iter().filter_map(|(key, item)| {
            let item = item.and_then(record).map(|(_, record, version)| (record, version));
            Some((RecordKey::parse(&key)?, item))
        });
        let events = warm_pools.pools.reread(found.collect());
        self.handle_pool_events(events);
    }

    /// Dispatches orders and requests scheduling cycles for recorded slots, recorded claims and free slots.
    fn handle_pool_events(&mut self, events: Vec<PoolEvent>) {
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

    /// Queues the machine of a slot for dispatch, and requests a scheduling cycle.
    fn dispatch_slot(&mut self, slot: u64) {
        let slot = self.warm_pools.as_ref().and_then(|warm_pools| warm_pools.pools.slot(slot));
        if let Some(host) = slot.and_then(|slot| self.cluster.host_index.get(&slot.host)) {
            self.dispatch_queue.insert(*host);
        }
        self.scheduling_triggers.request_cycle();
    }

    /// Allows the order to run this attempt's task, whose claim is now recorded.
    fn claim_recorded(&mut self, attempt: u64) {
        let attempts = self.cluster.hosts.iter_mut().flatten().flat_map(|host| host.attempts.iter_mut());
        for candidate in attempts.filter(|candidate| candidate.attempt == attempt) {
            candidate.start_awaits_record = false;
        }
    }
}

impl PartitionWarmPools {
    /// Encodes the writes of warm-pool records together with their conditions.
    pub(in crate::control::partition) fn encode(changes: &RecordChanges) -> Vec<ConditionalWrite> {
        let encode_write = |record: &badgerdrift_warm_pools::RecordWrite| {
            let path = record.key.path();
            let write = match &record.value {
                Some(value) => wire::put(&path, &serde_json::to_value(value).unwrap_or_default(), None),
                None => wire::delete(&path),
            };
            ConditionalWrite { condition: wire::condition(&path, record.version), write }
        };
        changes.writes.iter().map(encode_write).collect()
    }
}
