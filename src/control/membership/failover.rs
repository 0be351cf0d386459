//! Taking a partition, and raising the fencing token of one that is held.

use super::messages::{AcquiredLeadership, Message};
use super::records::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, partition_key};
use crate::clients::StateStore;
use crate::control::partition::CommitOutcome;
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::wire;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;

/// The fencing token that a held partition was raised to, and the version of its key since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RaisedToken {
    /// The fencing token.
    pub fencing_token: FencingToken,
    /// The version of the partition's key.
    pub version: u64,
}

/// The partition that is to come under a new fencing token.
struct PartitionClaim<'a> {
    partition: u32,
    node: &'a str,
    /// The version that its key must have; 0 if it must not exist.
    version: u64,
    lease_id: u64,
}

/// The counter of fencing tokens as it was read.
struct LastToken {
    record: FencingTokenRecord,
    version: u64,
}

/// At the start: is this node bound by pledges that it does not remember?
pub(super) async fn read_previous_leader(
    state: StateStore,
    partition: u32,
    node: String,
    leader_lease_ttl_ms: u64,
    tx: mpsc::Sender<Message>,
) {
    let (mut record, fencing_token) =
        read_partition_and_token(&state, partition, Duration::from_millis(leader_lease_ttl_ms / 5)).await;
    let unbound = match (&record, fencing_token) {
        // Our own earlier life held it: that one is over.
        (Some(r), _) if r.leader == node => {
            tracing::info!(fencing_token = %r.fencing_token, "ending the grant of an earlier life");
            state.revoke_lease(r.lease_id).await.is_ok()
        }
        (None, Some(t)) => t.leaders.get(&partition).is_none_or(|h| *h == node),
        (None, None) => true,
        _ => false,
    };
    if unbound {
        record = None;
    }
    let _ = tx.send(Message::RecordRead { record, unbound }).await;
}

/// Reads the partition's key and the counter of fencing tokens, until that succeeds.
async fn read_partition_and_token(
    state: &StateStore,
    partition: u32,
    pause: Duration,
) -> (Option<PartitionRecord>, Option<FencingTokenRecord>) {
    let key = partition_key(partition);
    let (partition, fencing_token) = loop {
        match (state.get(&key).await, state.get(FENCING_TOKEN_KEY).await) {
            (Ok(partition), Ok(fencing_token)) => break (partition.0, fencing_token.0),
            _ => tokio::time::sleep(pause).await,
        }
    };
    let record = partition.and_then(|p| serde_json::from_value(p.value).ok());
    let fencing_token = fencing_token.and_then(|t| serde_json::from_value(t.value).ok());
    (record, fencing_token)
}

/// Takes a partition that nobody holds.
pub(super) async fn take(
    state: StateStore,
    partition: u32,
    node: String,
    leader_lease_ttl_ms: u64,
    tx: mpsc::Sender<Message>,
) {
    let sent = clock::now_ms();
    let result = try_acquire(&state, partition, &node, leader_lease_ttl_ms).await;
    let _ = tx.send(Message::AcquiredLeadership { sent, result }).await;
}

async fn try_acquire(
    state: &StateStore,
    partition: u32,
    node: &str,
    leader_lease_ttl_ms: u64,
) -> Option<AcquiredLeadership> {
    let (item, _) = state.get(FENCING_TOKEN_KEY).await.ok()?;
    let last = match item {
        Some(i) => LastToken { record: serde_json::from_value(i.value).ok()?, version: i.version },
        None => {
            let record =
                FencingTokenRecord { n: FencingToken::NONE, start_ms: clock::wall_ms(), leaders: BTreeMap::new() };
            LastToken { record, version: 0 }
        }
    };
    let lease_id = state.create_lease(leader_lease_ttl_ms).await.ok()?;
    match commit_next_token(state, &PartitionClaim { partition, node, version: 0, lease_id }, &last).await {
        Ok(taken) => Some(taken),
        Err(_) => {
            let _ = state.revoke_lease(lease_id).await;
            None
        }
    }
}

/// A fresh fencing token for a partition that is held: all workers will refuse older tokens.
pub async fn raise_fencing_token(
    state: &StateStore,
    partition: u32,
    node: &str,
    version: u64,
    lease_id: u64,
) -> Result<RaisedToken, CommitOutcome> {
    let Ok((Some(item), _)) = state.get(FENCING_TOKEN_KEY).await else { return Err(CommitOutcome::Refused) };
    let Ok(record) = serde_json::from_value(item.value) else { return Err(CommitOutcome::Refused) };
    let last = LastToken { record, version: item.version };
    let taken = commit_next_token(state, &PartitionClaim { partition, node, version, lease_id }, &last).await?;
    Ok(RaisedToken { fencing_token: taken.fencing_token, version: taken.version })
}

/// Commits the fencing token after `last` and puts the partition under it.
async fn commit_next_token(
    state: &StateStore,
    claim: &PartitionClaim<'_>,
    last: &LastToken,
) -> Result<AcquiredLeadership, CommitOutcome> {
    let (lease_id, start_ms) = (claim.lease_id, last.record.start_ms);
    let fencing_token = last.record.n.successor();
    let record = json!({ "holder": claim.node, "term": fencing_token, "grant": lease_id });
    let mut leaders = last.record.leaders.clone();
    leaders.insert(claim.partition, claim.node.to_string());
    let next = json!({ "n": fencing_token, "start_ms": start_ms, "holders": leaders });
    let key = partition_key(claim.partition);
    let conditions = [wire::condition(&key, claim.version), wire::condition(FENCING_TOKEN_KEY, last.version)];
    let apply = [wire::put(&key, &record, Some(lease_id)), wire::put(FENCING_TOKEN_KEY, &next, None)];
    let version = match state.commit(&conditions, &apply).await {
        CommitOutcome::Done { revision } => revision,
        // It may have been carried out: the key tells.
        CommitOutcome::Indeterminate => match state.get(&key).await {
            Ok((Some(i), _)) if i.value == record => i.version,
            _ => return Err(CommitOutcome::Indeterminate),
        },
        other => return Err(other),
    };
    Ok(AcquiredLeadership { lease_id, fencing_token, version, start_ms })
}
