//! Following a part's key in the state service.

use super::messages::Msg;
use super::records::{PartRecord, part_key};
use crate::clients::State;
use crate::task;
use crate::wire::Item;
use std::time::Duration;
use tokio::sync::mpsc;

/// Follows the part's key and keeps the health of the state service known.
pub(super) async fn look_out(state: State, part: u32, life_ms: u64, tx: mpsc::Sender<Msg>) {
    let key = part_key(part);
    task::spawn(probe(state.clone(), key.clone(), Duration::from_millis(life_ms / 4), tx.clone()));
    let pause = Duration::from_millis(life_ms / 5);
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
        match state.changes(&key, from, life_ms * 4).await {
            Ok(c) => {
                for e in c.events.into_iter().filter(|e| e.key() == key) {
                    let record = if e.deleted() { None } else { e.value.and_then(|v| serde_json::from_value(v).ok()) };
                    if tx.send(Msg::Seen(record)).await.is_err() {
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
async fn probe(state: State, key: String, period: Duration, tx: mpsc::Sender<Msg>) {
    loop {
        tokio::time::sleep(period).await;
        if let Ok((item, _)) = state.get(&key).await
            && tx.send(Msg::Seen(part_record(item))).await.is_err()
        {
            return;
        }
    }
}

/// Tells the actor what the key is now; the revision up to which that is known.
async fn read_now(state: &State, key: &str, tx: &mpsc::Sender<Msg>) -> Option<u64> {
    let (item, revision) = state.get(key).await.ok()?;
    let _ = tx.send(Msg::Seen(part_record(item))).await;
    Some(revision)
}

fn part_record(item: Option<Item>) -> Option<PartRecord> {
    item.and_then(|i| serde_json::from_value(i.value).ok())
}
