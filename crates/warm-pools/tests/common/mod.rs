//! Settings, times and an in-memory store of records for the tests.

#![allow(dead_code, reason = "each test program uses only some of it")]

use badgerdrift_warm_pools::{
    ClockReading, KnownFleet, Pool, PoolEvent, PoolSettings, RecordChanges, RecordKey, SlotId, SlotPlace, StoredRecord,
    WarmPools,
};
use std::collections::BTreeMap;

/// Wall time of Wednesday, 2026-12-02 at 00:00 UTC, in milliseconds.
pub const MIDNIGHT_MS: u64 = 1_796_169_600_000;

pub fn known_fleet() -> KnownFleet {
    KnownFleet {
        zones: ["a", "b"].map(String::from).into(),
        machines: Some(["g8"].map(String::from).into()),
        team_limits: [("red", (64.0, 16.0)), ("blue", (64.0, 16.0))]
            .map(|(team, limit)| (team.to_string(), limit))
            .into(),
    }
}

/// Returns settings with one pool, of two replicas of model `notes`, that team `red` pays for.
pub fn settings() -> PoolSettings {
    serde_json::from_str(
        r#"{
        "bill_every_s": 300, "estimate_at_most_s": 900,
        "model": {"notes": {"version": 3, "image": "notes-3", "size_gb": 40, "names": ["notes"]}},
        "pool": {"counter": {"model": "notes", "payer": "red", "keep": "loaded", "count": 2,
                             "cores": 4, "cards": 1, "mem_gb": 16, "loads_at_a_time": 2}}}"#,
    )
    .unwrap()
}

pub fn pool(settings: &mut PoolSettings) -> &mut Pool {
    settings.pools.get_mut("counter").unwrap()
}

/// Returns the reading of both clocks this many milliseconds after midnight.
pub fn at(ms: u64) -> ClockReading {
    ClockReading { steady_ms: 1000 + ms, wall_ms: MIDNIGHT_MS + ms }
}

pub fn place(host: &str) -> SlotPlace {
    SlotPlace { host: host.into(), agent_epoch: 1, price_per_hour: 3_600_000, has_image: false }
}

/// In-memory stand-in for the state service, with a version for each record.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub records: BTreeMap<RecordKey, (StoredRecord, u64)>,
    pub revision: u64,
}

impl Store {
    /// Commits the changes and returns the revision, or returns `None` and changes nothing if a
    /// record does not have the expected version.
    pub fn commit(&mut self, changes: &RecordChanges) -> Option<u64> {
        let version = |key: &RecordKey| self.records.get(key).map_or(0, |item| item.1);
        if changes.writes.iter().any(|write| version(&write.key) != write.version) {
            return None;
        }
        self.revision += 1;
        for write in &changes.writes {
            match &write.value {
                Some(value) => _ = self.records.insert(write.key.clone(), (value.clone(), self.revision)),
                None => _ = self.records.remove(&write.key),
            }
        }
        Some(self.revision)
    }

    pub fn read(&self, keys: &[RecordKey]) -> Vec<(RecordKey, Option<(StoredRecord, u64)>)> {
        keys.iter().map(|key| (key.clone(), self.records.get(key).cloned())).collect()
    }

    pub fn all(&self) -> Vec<(RecordKey, StoredRecord, u64)> {
        self.records.iter().map(|(key, (record, version))| (key.clone(), record.clone(), *version)).collect()
    }
}

/// Commits changes until none are due, and returns the events. `write` is the last commit id used.
pub fn record_all(pools: &mut WarmPools, store: &mut Store, write: &mut u64) -> Vec<PoolEvent> {
    let mut events = Vec::new();
    loop {
        *write += 1;
        let Some(changes) = pools.next_changes(*write, 12) else { return events };
        let revision = store.commit(&changes).expect("the store has no other writer");
        events.extend(pools.written(revision));
    }
}

/// Creates a slot, records it, reports it as warm and records that.
pub fn warm_slot(pools: &mut WarmPools, store: &mut Store, write: &mut u64, id: SlotId, now: ClockReading) {
    pools.create_slot(id, "counter", place(&format!("h{id}")), now);
    record_all(pools, store, write);
    pools.mark_reported(id, true, now);
    record_all(pools, store, write);
}
