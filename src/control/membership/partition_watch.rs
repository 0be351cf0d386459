//! Watches a partition's key in the state store.
//!
//! Both tasks live as long as the node: they end once the election actor has.

use super::messages::Message;
use super::records::{PartitionRecord, partition_key};
use crate::clients::StateStore;
use crate::runtime::task;
use crate::wire::{Change, Item};
use std::time::Duration;
use tokio::sync::mpsc;

/// Reports the partition's record to the election actor whenever it changes. Also probes the
/// state store, so that it is known whether the store is responsive.
pub(super) async fn watch_partition(
    state: StateStore,
    partition: u32,
    leader_lease_ttl_ms: u64,
    election: mpsc::Sender<Message>,
) {
    let key = partition_key(partition);
    task::spawn(probe(state.clone(), key.clone(), Duration::from_millis(leader_lease_ttl_ms / 4), election.clone()));
    let retry_delay = Duration::from_millis(leader_lease_ttl_ms / 5);
    let mut known_revision = None;
    loop {
        let from = match known_revision {
            Some(revision) => revision,
            None => {
                let Some(revision) = read_now(&state, &key, &election).await else {
                    tokio::time::sleep(retry_delay).await;
                    continue;
                };
                revision
            }
        };
        match state.changes(&key, from, leader_lease_ttl_ms * 4).await {
            Ok(changes) => {
                // The watch is by prefix: "part/1" is one of "part/10" too.
                for change in changes.events.into_iter().filter(|change| change.key() == key) {
                    if election.send(Message::RecordObserved(changed_record(change))).await.is_err() {
                        return;
                    }
                }
                known_revision = Some(changes.revision.max(from));
            }
            Err(_) => {
                known_revision = None;
                tokio::time::sleep(retry_delay).await;
            }
        }
    }
}

/// Reads the key periodically, also while the watch waits for a change.
async fn probe(state: StateStore, key: String, period: Duration, election: mpsc::Sender<Message>) {
    loop {
        tokio::time::sleep(period).await;
        if let Ok((item, _)) = state.get(&key).await
            && election.send(Message::RecordObserved(record_of(item))).await.is_err()
        {
            return;
        }
    }
}

/// Reports the record as it is now; returns the revision up to which that is known.
async fn read_now(state: &StateStore, key: &str, election: &mpsc::Sender<Message>) -> Option<u64> {
    let (item, revision) = state.get(key).await.ok()?;
    // If the actor has ended, the next report ends this task.
    let _ = election.send(Message::RecordObserved(record_of(item))).await;
    Some(revision)
}

fn changed_record(change: Change) -> Option<PartitionRecord> {
    if change.deleted() { None } else { change.value.and_then(|value| serde_json::from_value(value).ok()) }
}

fn record_of(item: Option<Item>) -> Option<PartitionRecord> {
    item.and_then(|item| serde_json::from_value(item.value).ok())
}
