//! Stored form of a region's record: keys and values in the state service, and the writes of one step.

use crate::clients::{RequestError, StateStore};
use crate::model::FencingToken;
use crate::wire::{self, KeyValue};
use badgerdrift_fleet_config::{
    Acceptor, Batch, ConfigState, Confirmations, DocumentName, RecordedChange, RegionRecord, VersionedDocument,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fmt::Write;
use std::sync::Arc;

/// Prefix of all configuration keys.
pub(super) const KEY_PREFIX: &str = "config/";
/// Key of the acceptor's state and the confirmations.
pub(super) const REGION_KEY: &str = "config/region";
const DOCUMENT_PREFIX: &str = "config/doc/";
const LOG_PREFIX: &str = "config/log/";
/// Key of the version that the region's leader has applied.
pub(super) const APPLIED_KEY: &str = "config/obeyed";
/// Number of log versions that stay stored, for regions that were unreachable.
const RETAINED_LOG_VERSIONS: u64 = 10_000;

/// One version of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Number of the version.
    pub version: u64,
    /// Batch of entries that was agreed on.
    pub batch: Batch,
    /// Changes of the batch with their outcomes.
    pub recorded: Vec<RecordedChange>,
}

/// Versions that the region's leader has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedConfiguration {
    /// Version under which the leader starts tasks.
    pub version: u64,
    /// Version whose limits all teams keep to: tasks in excess of them have ended.
    #[serde(rename = "kept")]
    pub enforced_version: u64,
    /// Fencing token of the leader.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
}

/// Value stored under [`REGION_KEY`].
#[derive(Serialize, Deserialize)]
struct RegionValue {
    genesis: u64,
    acceptor: Acceptor,
    confirmations: Confirmations,
}

/// The region's record as stored, with the version of [`REGION_KEY`].
#[derive(Debug, Clone)]
pub(super) struct StoredRecord {
    pub(super) record: RegionRecord,
    /// Version of [`REGION_KEY`] in the state service, the condition of the next write.
    pub(super) key_version: u64,
}

/// Returns the key of a document; bytes that are not allowed in keys are percent-encoded.
fn document_key(name: &DocumentName) -> String {
    let mut key = DOCUMENT_PREFIX.to_string();
    for byte in name.to_string().bytes() {
        if byte.is_ascii_alphanumeric() || b"-_/".contains(&byte) {
            key.push(byte as char);
        } else {
            // Writing to a String cannot fail.
            let _ = write!(key, "%{byte:02x}");
        }
    }
    key
}

fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

/// Reason why the region's record cannot be read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordError {
    /// The state service did not answer, or the write limit is used up.
    Unanswered,
    /// The record belongs to other settings, or is in a format that this version does not read.
    Unreadable,
}

impl From<RequestError> for RecordError {
    fn from(_: RequestError) -> RecordError {
        RecordError::Unanswered
    }
}

/// Reads the region's whole record; `None` if there is none. `initial` is version 0.
///
/// # Errors
///
/// The state service does not answer, or a value is unreadable or of other settings.
pub(super) async fn load_record(
    state: &StateStore,
    initial: &ConfigState,
    genesis: u64,
) -> Result<Option<StoredRecord>, RecordError> {
    loop {
        let Some(item) = state.get(REGION_KEY).await?.0 else { return Ok(None) };
        let region = parse_region_value(&item, genesis)?;
        let mut config = initial.clone();
        config.version = region.acceptor.applied;
        config.confirmations = region.confirmations;
        for item in state.list(DOCUMENT_PREFIX).await? {
            let versioned: VersionedDocument =
                serde_json::from_value(item.value).map_err(|_| RecordError::Unreadable)?;
            config.documents.insert(versioned.document.name(), versioned);
        }
        for item in state.list(LOG_PREFIX).await? {
            let entry: LogEntry = serde_json::from_value(item.value).map_err(|_| RecordError::Unreadable)?;
            entry.recorded.into_iter().for_each(|recorded| config.push_history(recorded));
        }
        // Another version may have been written between the reads: they are repeated until the record's key
        // has not changed.
        let reread = state.get(REGION_KEY).await?.0;
        if reread.is_some_and(|reread| reread.version == item.version) {
            let record = RegionRecord { acceptor: region.acceptor, state: Arc::new(config) };
            return Ok(Some(StoredRecord { record, key_version: item.version }));
        }
    }
}

/// Brings a known record up to date by applying the stored log; `None` if there is no
/// stored record or the log does not lead to it.
///
/// # Errors
///
/// As for [`load_record`].
pub(super) async fn catch_up_from_log(
    state: &StateStore,
    known: &StoredRecord,
    genesis: u64,
) -> Result<Option<StoredRecord>, RecordError> {
    let Some(item) = state.get(REGION_KEY).await?.0 else { return Ok(None) };
    let region = parse_region_value(&item, genesis)?;
    let mut config = known.record.state.clone();
    for version in config.version + 1..=region.acceptor.applied {
        let Some(entry) = load_log_entry(state, version).await? else { return Ok(None) };
        Arc::make_mut(&mut config).apply(&entry.batch);
    }
    let reaches_stored = config.version == region.acceptor.applied && config.confirmations == region.confirmations;
    let record = RegionRecord { acceptor: region.acceptor, state: config };
    Ok(reaches_stored.then_some(StoredRecord { record, key_version: item.version }))
}

/// Decodes the value of [`REGION_KEY`].
///
/// # Errors
///
/// [`RecordError::Unreadable`] if the format is unknown or version 0 is of other settings.
fn parse_region_value(item: &KeyValue, genesis: u64) -> Result<RegionValue, RecordError> {
    let region: RegionValue = serde_json::from_value(item.value.clone()).map_err(|_| RecordError::Unreadable)?;
    if region.genesis == genesis { Ok(region) } else { Err(RecordError::Unreadable) }
}

/// Reads one version of the log; `None` if it is no longer stored.
///
/// # Errors
///
/// As for [`load_record`].
pub(super) async fn load_log_entry(state: &StateStore, version: u64) -> Result<Option<LogEntry>, RecordError> {
    let item = state.get(&log_key(version)).await?.0;
    item.map(|item| serde_json::from_value(item.value).map_err(|_| RecordError::Unreadable)).transpose()
}

/// Reads the versions that the region's leader has recorded as applied; the default value if they are
/// missing or unreadable.
///
/// # Errors
///
/// The state service does not answer.
pub(super) async fn load_applied(state: &StateStore) -> Result<AppliedConfiguration, RecordError> {
    let item = state.get(APPLIED_KEY).await?.0;
    Ok(item.and_then(|item| serde_json::from_value(item.value).ok()).unwrap_or_default())
}

/// Returns the write that records the versions that the region's leader has applied.
pub fn applied_configuration_change(applied_configuration: &AppliedConfiguration) -> wire::Write {
    wire::put(APPLIED_KEY, &json!(applied_configuration), None)
}

/// Returns the writes that store the step from `before` to `after`. `batch` is the batch that the step
/// applied, if it applied one.
pub(super) fn record_writes(
    before: Option<&RegionRecord>,
    after: &RegionRecord,
    batch: Option<&Batch>,
    genesis: u64,
) -> Vec<wire::Write> {
    let value =
        RegionValue { genesis, acceptor: after.acceptor.clone(), confirmations: after.state.confirmations.clone() };
    let mut writes = vec![wire::put(REGION_KEY, &json!(value), None)];
    let version = after.state.version;
    if let Some(batch) = batch {
        let changed = after.state.documents.values().filter(|document| document.version == version);
        writes.extend(
            changed.map(|document| wire::put(&document_key(&document.document.name()), &json!(document), None)),
        );
        let recorded = after.state.recorded_since(before.map_or(0, |before| before.state.history_count));
        let entry = LogEntry { version, batch: batch.clone(), recorded };
        writes.push(wire::put(&log_key(version), &json!(entry), None));
        if version > RETAINED_LOG_VERSIONS {
            writes.push(wire::delete(&log_key(version - RETAINED_LOG_VERSIONS)));
        }
    }
    writes
}
