//! Requests to the state service that acquire the leadership of a partition, or raise the fencing
//! token of a leader.

use super::messages::{AcquiredLeadership, EarlierPledges, ElectionMessage};
use super::records::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, StoredRecord, partition_key};
use crate::clients::{RequestError, StateStore};
use crate::control::partition::CommitOutcome;
use crate::model::{FencingToken, FencingTokenRange};
use crate::runtime::clock;
use crate::wire;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;

/// Parameters of the campaigns of this node for a partition.
#[derive(Debug, Clone)]
pub(super) struct CampaignParameters {
    /// Number of the partition.
    pub(super) partition: u32,
    /// Name of this node.
    pub(super) node: String,
    /// Duration of a leader lease in milliseconds.
    pub(super) leader_lease_ttl_ms: u64,
}

/// New fencing tokens that a leader has acquired, and the version of the partition's key after that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RaisedFencingToken {
    /// New fencing tokens.
    pub tokens: FencingTokenRange,
    /// Version of the partition's key.
    pub version: u64,
}

/// Update of a partition's key: the version that is expected, and the leader to be recorded.
pub struct PartitionKeyUpdate<'a> {
    /// Number of the partition.
    pub partition: u32,
    /// Name of the node to be recorded as the leader.
    pub node: &'a str,
    /// Version that the key must have; 0 if the key must not exist.
    pub version: u64,
    /// Id of the lease that the key is to be attached to.
    pub lease_id: u64,
}

/// Error of an attempt to acquire the next fencing token.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// The counter of fencing tokens could not be read.
    #[error("failed to read the fencing token counter (key {FENCING_TOKEN_KEY:?}): {0}")]
    ReadCounter(#[source] RequestError),
    /// The counter does not exist, though the partition has a leader.
    #[error(
        "the fencing token counter (key {FENCING_TOKEN_KEY:?}) does not exist, although the partition has a leader"
    )]
    NoCounter,
    /// The counter has a value that this version cannot parse.
    #[error("failed to parse the fencing token counter (key {FENCING_TOKEN_KEY:?}): {0}")]
    UnreadableCounter(#[source] serde_json::Error),
    /// The lease could not be created.
    #[error("failed to create the leader lease: {0}")]
    CreateLease(#[source] RequestError),
    /// A record could not be serialized as JSON.
    #[error("failed to serialize a partition or counter record as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// The commit has failed, or its outcome is unknown.
    #[error("the commit of the next fencing token was not confirmed: {0:?}")]
    Commit(CommitOutcome),
}

/// Counter of fencing tokens as read from the state service, with the version of its key.
struct TokenCounter {
    record: FencingTokenRecord,
    version: u64,
}

/// Reads after a start which node led the partition, and reports whether pledges from before the restart
/// may still bind this node. If this node led the partition, its old lease is revoked first. A pledge is
/// the promise of a controller not to campaign for a limited time.
pub(super) async fn check_earlier_pledges(
    state: StateStore,
    parameters: CampaignParameters,
    election: mpsc::Sender<ElectionMessage>,
) {
    let CampaignParameters { partition, node, leader_lease_ttl_ms } = parameters;
    let retry_delay = Duration::from_millis(leader_lease_ttl_ms / 5);
    let (record, counter) = read_partition_and_counter(&state, partition, retry_delay).await;
    let none_binding = match (&record, &counter) {
        // This node led before its restart: it has stopped acting, and no leader relied on its pledges.
        (StoredRecord::Found(record), _) if record.leader == node => {
            tracing::info!(fencing_token = %record.fencing_token, "revoking the lease from before the restart");
            state.revoke_lease(record.lease_id).await.is_ok()
        }
        (StoredRecord::Absent, StoredRecord::Found(counter)) => {
            counter.leaders.get(&partition).is_none_or(|leader| *leader == node)
        }
        (StoredRecord::Absent, StoredRecord::Absent) => true,
        (StoredRecord::Found(_) | StoredRecord::Unreadable, _) | (_, StoredRecord::Unreadable) => false,
    };
    if record == StoredRecord::Unreadable || counter == StoredRecord::Unreadable {
        // Sending fails only while the node stops.
        let _ = election.send(ElectionMessage::RecordUnreadable).await;
    }
    let earlier_pledges = match record {
        _ if none_binding => EarlierPledges::NoneBinding,
        StoredRecord::Found(record) => EarlierPledges::MayBind { record: Some(record) },
        StoredRecord::Absent | StoredRecord::Unreadable => EarlierPledges::MayBind { record: None },
    };
    // Sending fails only while the node stops.
    let _ = election.send(ElectionMessage::StartupRead(earlier_pledges)).await;
}

/// Reads the partition's record and the counter of fencing tokens, and retries until both reads
/// succeed.
async fn read_partition_and_counter(
    state: &StateStore,
    partition: u32,
    retry_delay: Duration,
) -> (StoredRecord<PartitionRecord>, StoredRecord<FencingTokenRecord>) {
    let key = partition_key(partition);
    loop {
        match (state.get(&key).await, state.get(FENCING_TOKEN_KEY).await) {
            (Ok((partition, _)), Ok((counter, _))) => {
                return (StoredRecord::parse(partition), StoredRecord::parse(counter));
            }
            _ => tokio::time::sleep(retry_delay).await,
        }
    }
}

/// Tries to acquire the leadership of a partition that has no leader, and reports the outcome.
pub(super) async fn campaign(
    state: StateStore,
    parameters: CampaignParameters,
    election: mpsc::Sender<ElectionMessage>,
) {
    let sent_ms = clock::now_ms();
    let acquired = acquire_leadership(&state, &parameters)
        .await
        .inspect_err(|error| tracing::debug!(partition = parameters.partition, %error, "campaign failed"))
        .ok();
    // Sending fails only while the node stops.
    let _ = election.send(ElectionMessage::CampaignEnded { sent_ms, acquired }).await;
}

/// Creates a lease and commits the next fencing token and this node as the leader.
async fn acquire_leadership(
    state: &StateStore,
    parameters: &CampaignParameters,
) -> Result<AcquiredLeadership, AcquireError> {
    let counter = read_counter(state).await?.unwrap_or_else(|| TokenCounter {
        record: FencingTokenRecord {
            last_token: FencingToken::NONE,
            start_ms: clock::wall_ms(),
            leaders: BTreeMap::new(),
        },
        version: 0,
    });
    let lease_id = state.create_lease(parameters.leader_lease_ttl_ms).await.map_err(AcquireError::CreateLease)?;
    let update = PartitionKeyUpdate { partition: parameters.partition, node: &parameters.node, version: 0, lease_id };
    let acquired = commit_next_tokens(state, &update, counter).await;
    if acquired.is_err() {
        // Also if the outcome of the commit is unknown: if it is applied later, it fails because its
        // lease no longer exists. A lease that cannot be revoked expires.
        let _ = state.revoke_lease(lease_id).await;
    }
    acquired
}

/// Acquires new fencing tokens for a partition that this node leads. Workers refuse lower tokens
/// once they have seen it.
///
/// # Errors
///
/// Returns an error if the counter cannot be read or does not exist, or if the commit fails or its
/// outcome is unknown.
pub async fn raise_fencing_token(
    state: &StateStore,
    update: &PartitionKeyUpdate<'_>,
) -> Result<RaisedFencingToken, AcquireError> {
    let counter = read_counter(state).await?.ok_or(AcquireError::NoCounter)?;
    let acquired = commit_next_tokens(state, update, counter).await?;
    Ok(RaisedFencingToken { tokens: acquired.tokens, version: acquired.version })
}

/// Reads the counter of fencing tokens; `None` if it does not exist yet.
async fn read_counter(state: &StateStore) -> Result<Option<TokenCounter>, AcquireError> {
    let (item, _) = state.get(FENCING_TOKEN_KEY).await.map_err(AcquireError::ReadCounter)?;
    let Some(item) = item else { return Ok(None) };
    let record = serde_json::from_value(item.value).map_err(AcquireError::UnreadableCounter)?;
    Ok(Some(TokenCounter { record, version: item.version }))
}

/// Commits the next range of fencing tokens and records the leader of the partition with its last token. Both
/// keys change in one commit, on the condition that neither has changed since it was read, so that no token
/// is issued twice.
async fn commit_next_tokens(
    state: &StateStore,
    update: &PartitionKeyUpdate<'_>,
    counter: TokenCounter,
) -> Result<AcquiredLeadership, AcquireError> {
    let (lease_id, start_ms) = (update.lease_id, counter.record.start_ms);
    let tokens = FencingTokenRange::following(counter.record.last_token);
    let record = PartitionRecord { leader: update.node.to_string(), fencing_token: tokens.last, lease_id };
    let mut leaders = counter.record.leaders;
    leaders.insert(update.partition, update.node.to_string());
    let next_counter = FencingTokenRecord { last_token: tokens.last, start_ms, leaders };
    let (record, next_counter) = (to_json(&record)?, to_json(&next_counter)?);
    let key = partition_key(update.partition);
    let conditions = [wire::condition(&key, update.version), wire::condition(FENCING_TOKEN_KEY, counter.version)];
    let writes = [wire::put(&key, &record, Some(lease_id)), wire::put(FENCING_TOKEN_KEY, &next_counter, None)];
    let version = match state.commit(&conditions, &writes).await {
        CommitOutcome::Done { revision } => revision,
        // The commit may have been applied: the partition's key shows whether it was.
        CommitOutcome::Indeterminate => match state.get(&key).await {
            Ok((Some(item), _)) if item.value == record => item.version,
            _ => return Err(AcquireError::Commit(CommitOutcome::Indeterminate)),
        },
        other => return Err(AcquireError::Commit(other)),
    };
    Ok(AcquiredLeadership { lease_id, tokens, version, start_ms })
}

fn to_json(record: &impl serde::Serialize) -> Result<Value, AcquireError> {
    serde_json::to_value(record).map_err(AcquireError::Encode)
}
