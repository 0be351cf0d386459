//! Requests to the state store that acquire the leadership of a partition, or raise the fencing
//! token of a leader.

use super::messages::{AcquiredLeadership, EarlierPledges, Message};
use super::records::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, partition_key};
use crate::clients::{RequestError, StateStore};
use crate::control::partition::CommitOutcome;
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::wire;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// The partition of an election and this node, as campaigns need them.
#[derive(Debug, Clone)]
pub(super) struct Candidacy {
    pub(super) partition: u32,
    /// Name of this node.
    pub(super) node: String,
    /// Duration of a leader lease in milliseconds.
    pub(super) leader_lease_ttl_ms: u64,
}

/// The fencing token that a leader was raised to, and the version of the partition's key since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RaisedToken {
    /// The fencing token.
    pub fencing_token: FencingToken,
    /// The version of the partition's key.
    pub version: u64,
}

/// The partition's key as a commit finds it and is to leave it.
pub struct PartitionKeyUpdate<'a> {
    /// Number of the partition.
    pub partition: u32,
    /// Name of the node that is to lead it.
    pub node: &'a str,
    /// The version that the key must have; 0 if it must not exist.
    pub version: u64,
    /// The lease that the key is to be attached to.
    pub lease_id: u64,
}

/// Why the next fencing token was not acquired.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// The counter of fencing tokens could not be read.
    #[error("reading the counter of fencing tokens: {0}")]
    ReadCounter(#[source] RequestError),
    /// The counter does not exist, though the partition has a leader.
    #[error("the counter of fencing tokens does not exist")]
    NoCounter,
    /// The counter has a value that this version can't read.
    #[error("the counter of fencing tokens is unreadable: {0}")]
    UnreadableCounter(#[source] serde_json::Error),
    /// The lease could not be created.
    #[error("creating the lease: {0}")]
    CreateLease(#[source] RequestError),
    /// A record could not be written as JSON.
    #[error("writing a record as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// The commit has failed, or is indeterminate.
    #[error("committing the next fencing token: {0:?}")]
    Commit(CommitOutcome),
}

/// The counter of fencing tokens as it was read.
struct TokenCounter {
    record: FencingTokenRecord,
    version: u64,
}

/// After a start: reports whether this node may be bound by pledges from before a restart.
pub(super) async fn read_previous_leader(state: StateStore, candidacy: Candidacy, election: mpsc::Sender<Message>) {
    let Candidacy { partition, node, leader_lease_ttl_ms } = candidacy;
    let retry_delay = Duration::from_millis(leader_lease_ttl_ms / 5);
    let (record, counter) = read_partition_and_counter(&state, partition, retry_delay).await;
    let none_binding = match (&record, counter) {
        // This node led before its restart: it has stopped acting, and nobody relied on its pledges.
        (Some(record), _) if record.leader == node => {
            tracing::info!(fencing_token = %record.fencing_token, "revoking the lease from before the restart");
            state.revoke_lease(record.lease_id).await.is_ok()
        }
        (None, Some(counter)) => counter.leaders.get(&partition).is_none_or(|leader| *leader == node),
        (None, None) => true,
        (Some(_), _) => false,
    };
    let earlier_pledges = if none_binding { EarlierPledges::NoneBinding } else { EarlierPledges::MayBind { record } };
    // The actor ends only with the node.
    let _ = election.send(Message::StartupRead(earlier_pledges)).await;
}

/// Reads the partition's record and the counter of fencing tokens, until that succeeds. What
/// can't be parsed counts as absent.
async fn read_partition_and_counter(
    state: &StateStore,
    partition: u32,
    retry_delay: Duration,
) -> (Option<PartitionRecord>, Option<FencingTokenRecord>) {
    let key = partition_key(partition);
    let (partition, counter) = loop {
        match (state.get(&key).await, state.get(FENCING_TOKEN_KEY).await) {
            (Ok((partition, _)), Ok((counter, _))) => break (partition, counter),
            _ => tokio::time::sleep(retry_delay).await,
        }
    };
    let record = partition.and_then(|item| serde_json::from_value(item.value).ok());
    let counter = counter.and_then(|item| serde_json::from_value(item.value).ok());
    (record, counter)
}

/// Tries to acquire a partition that has no leader, and reports the outcome.
pub(super) async fn campaign(state: StateStore, candidacy: Candidacy, election: mpsc::Sender<Message>) {
    let sent_ms = clock::now_ms();
    let acquired = acquire_leadership(&state, &candidacy)
        .await
        .inspect_err(|error| tracing::debug!(partition = candidacy.partition, %error, "campaign failed"))
        .ok();
    // The actor ends only with the node.
    let _ = election.send(Message::CampaignEnded { sent_ms, acquired }).await;
}

async fn acquire_leadership(state: &StateStore, candidacy: &Candidacy) -> Result<AcquiredLeadership, AcquireError> {
    let counter = read_counter(state).await?.unwrap_or_else(|| TokenCounter {
        record: FencingTokenRecord {
            last_token: FencingToken::NONE,
            start_ms: clock::wall_ms(),
            leaders: BTreeMap::new(),
        },
        version: 0,
    });
    let lease_id = state.create_lease(candidacy.leader_lease_ttl_ms).await.map_err(AcquireError::CreateLease)?;
    let update = PartitionKeyUpdate { partition: candidacy.partition, node: &candidacy.node, version: 0, lease_id };
    let acquired = commit_next_token(state, &update, counter).await;
    if acquired.is_err() {
        // Also where the commit is indeterminate: applied late, it fails with its lease. One that
        // can't be revoked ends by itself.
        let _ = state.revoke_lease(lease_id).await;
    }
    acquired
}

/// Acquires a fresh fencing token for a partition that this node leads: all workers will refuse
/// lower ones.
///
/// # Errors
///
/// The outcome of the commit that was not made, or is indeterminate.
pub async fn raise_fencing_token(
    state: &StateStore,
    update: &PartitionKeyUpdate<'_>,
) -> Result<RaisedToken, AcquireError> {
    let counter = read_counter(state).await?.ok_or(AcquireError::NoCounter)?;
    let acquired = commit_next_token(state, update, counter).await?;
    Ok(RaisedToken { fencing_token: acquired.fencing_token, version: acquired.version })
}

/// The counter of fencing tokens; `None` if it does not exist yet.
async fn read_counter(state: &StateStore) -> Result<Option<TokenCounter>, AcquireError> {
    let (item, _) = state.get(FENCING_TOKEN_KEY).await.map_err(AcquireError::ReadCounter)?;
    let Some(item) = item else { return Ok(None) };
    let record = serde_json::from_value(item.value).map_err(AcquireError::UnreadableCounter)?;
    Ok(Some(TokenCounter { record, version: item.version }))
}

/// Commits the next fencing token and puts the partition under it: both keys change or none, on
/// the condition that neither was changed since it was read. So no token is given out twice.
async fn commit_next_token(
    state: &StateStore,
    update: &PartitionKeyUpdate<'_>,
    counter: TokenCounter,
) -> Result<AcquiredLeadership, AcquireError> {
    let (lease_id, start_ms) = (update.lease_id, counter.record.start_ms);
    let fencing_token = counter.record.last_token.successor();
    let record = PartitionRecord { leader: update.node.to_string(), fencing_token, lease_id };
    let mut leaders = counter.record.leaders;
    leaders.insert(update.partition, update.node.to_string());
    let next = FencingTokenRecord { last_token: fencing_token, start_ms, leaders };
    let (record, next) = (to_json(&record)?, to_json(&next)?);
    let key = partition_key(update.partition);
    let conditions = [wire::condition(&key, update.version), wire::condition(FENCING_TOKEN_KEY, counter.version)];
    let writes = [wire::put(&key, &record, Some(lease_id)), wire::put(FENCING_TOKEN_KEY, &next, None)];
    let version = match state.commit(&conditions, &writes).await {
        CommitOutcome::Done { revision } => revision,
        // It may have been applied: the partition's key shows whether it was.
        CommitOutcome::Indeterminate => match state.get(&key).await {
            Ok((Some(item), _)) if item.value == record => item.version,
            _ => return Err(AcquireError::Commit(CommitOutcome::Indeterminate)),
        },
        other => return Err(AcquireError::Commit(other)),
    };
    Ok(AcquiredLeadership { lease_id, fencing_token, version, start_ms })
}

fn to_json(record: &impl serde::Serialize) -> Result<Value, AcquireError> {
    serde_json::to_value(record).map_err(AcquireError::Encode)
}
