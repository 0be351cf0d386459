//! Watches a partition's key in the state service.
//!
//! Both tasks run until the election actor has ended, and thus as long as the node.

use super::messages::ElectionMessage;
use super::records::{StoredRecord, partition_key};
use crate::clients::StateStore;
use crate::runtime::task;
use crate::wire::{Change, KeyValue};
use std::time::Duration;
use tokio::sync::mpsc;

/// Reports the partition's record to the election actor whenever it changes. Also starts periodic
/// reads of the key, which show whether the state service is responsive.
pub(super) async fn watch_partition(
    state: StateStore,
    partition: u32,
    leader_lease_ttl_ms: u64,
    election: mpsc::Sender<ElectionMessage>,
) {
    let key = partition_key(partition);
    task::spawn(probe(state.clone(), key.clone(), Duration::from_millis(leader_lease_ttl_ms / 4), election.clone()));
    let retry_delay = Duration::from_millis(leader_lease_ttl_ms / 5);
    let mut known_revision = None;
    loop {
        let from = match known_revision {
            Some(revision) => revision,
            None => {
                let Some(revision) = report_current_record(&state, &key, &election).await else {
                    tokio::time::sleep(retry_delay).await;
                    continue;
                };
                revision
            }
        };
        match state.changes(&key, from, leader_lease_ttl_ms * 4).await {
            Ok(changes) => {
                // The watch is by prefix: a watch of "part/1" also reports changes of "part/10".
                for change in changes.events.into_iter().filter(|change| change.key() == key) {
                    if election.send(observation(item_after_change(change))).await.is_err() {
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

/// Reads the key periodically, also while the watch waits for a change, and reports the record.
async fn probe(state: StateStore, key: String, period: Duration, election: mpsc::Sender<ElectionMessage>) {
    loop {
        tokio::time::sleep(period).await;
        if let Ok((item, _)) = state.get(&key).await
            && election.send(observation(item)).await.is_err()
        {
            return;
        }
    }
}

/// Reads the key, reports the record, and returns the revision of the read; `None` if the read failed.
async fn report_current_record(state: &StateStore, key: &str, election: &mpsc::Sender<ElectionMessage>) -> Option<u64> {
    let (item, revision) = state.get(key).await.ok()?;
    // If the actor has ended, the next report ends this task.
    let _ = election.send(observation(item)).await;
    Some(revision)
}

/// Returns the item after a change; `None` if it was deleted.
fn item_after_change(change: Change) -> Option<KeyValue> {
    if change.is_deletion() {
        return None;
    }
    let (key, version) = (change.key().to_string(), change.version);
    Some(KeyValue { key, value: change.value.unwrap_or_default(), version })
}

/// Returns the message about a read of the partition's record. A record that cannot be parsed does not mean that
/// no node leads.
fn observation(item: Option<KeyValue>) -> ElectionMessage {
    match StoredRecord::parse(item) {
        StoredRecord::Found(record) => ElectionMessage::RecordObserved(Some(record)),
        StoredRecord::Absent => ElectionMessage::RecordObserved(None),
        StoredRecord::Unreadable => ElectionMessage::RecordUnreadable,
    }
}
