//! Following a partition's key in the state service.

use super::messages::Message;
use super::records::{PartitionRecord, partition_key};
use crate::clients::StateStore;
use crate::runtime::task;
use crate::wire::Item;
use std::time::Duration;
use tokio::sync::mpsc;

/// Follows the partition's key and keeps the health of the state service known.
pub(super) async fn watch_partition(
    state: StateStore,
    partition: u32,
    leader_lease_ttl_ms: u64,
    tx: mpsc::Sender<Message>,
) {
    let key = partition_key(partition);
    task::spawn(probe(state.clone(), key.clone(), Duration::from_millis(leader_lease_ttl_ms / 4), tx.clone()));
    let pause = Duration::from_millis(leader_lease_ttl_ms / 5);
    let mut after = None;
    loop {
        let from = match after {
            Some(revision) => revision,
            None => {
                let Some(revision) = read_now(&state, &key, &tx).await else {
                    tokio::time::sleep(pause).await;
                    continue;
                };
                revision
            }
        };
        match state.changes(&key, from, leader_lease_ttl_ms * 4).await {
            Ok(c) => {
                for e in c.events.into_iter().filter(|e| e.key() == key) {
                    let record = if e.deleted() { None } else { e.value.and_then(|v| serde_json::from_value(v).ok()) };
                    if tx.send(Message::Seen(record)).await.is_err() {
                        return;
                    }
                }
                after = Some(c.revision.max(from));
            }
            Err(_) => {
                after = None;
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Reads the key again and again, also while the watch waits.
async fn probe(state: StateStore, key: String, period: Duration, tx: mpsc::Sender<Message>) {
    loop {
        tokio::time::sleep(period).await;
        if let Ok((item, _)) = state.get(&key).await
            && tx.send(Message::Seen(partition_record(item))).await.is_err()
        {
            return;
        }
    }
}

/// Tells the actor what the key is now; the revision up to which that is known.
async fn read_now(state: &StateStore, key: &str, tx: &mpsc::Sender<Message>) -> Option<u64> {
    let (item, revision) = state.get(key).await.ok()?;
    let _ = tx.send(Message::Seen(partition_record(item))).await;
    Some(revision)
}

fn partition_record(item: Option<Item>) -> Option<PartitionRecord> {
    item.and_then(|i| serde_json::from_value(i.value).ok())
}
