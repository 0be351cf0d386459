//! The region's record in its state service: keys, values, and what a step changes.

use crate::clients::{RequestError, StateStore};
use crate::model::FencingToken;
use crate::wire::{self, Item};
use badgerdrift_fleet_config::{
    Acceptor, Batch, ConfigState, Confirmations, DocumentName, RecordedChange, RegionRecord, VersionedDocument,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::fmt::Write;
use std::sync::Arc;

/// Prefix of all keys of the configuration.
pub(super) const PREFIX: &str = "config/";
/// Key of the acceptor and the confirmations.
pub(super) const REGION_KEY: &str = "config/region";
const DOCUMENT_PREFIX: &str = "config/doc/";
const LOG_PREFIX: &str = "config/log/";
/// Key of the version that the region's leader has applied.
pub(super) const APPLIED_KEY: &str = "config/obeyed";
/// Versions of the log that stay stored for regions that were cut off.
const KEPT_VERSIONS: u64 = 10_000;

/// One version of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The version.
    pub version: u64,
    /// What it consists of.
    pub batch: Batch,
    /// Its changes with their outcomes.
    pub recorded: Vec<RecordedChange>,
}

/// What the region's leader has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedConfiguration {
    /// The version by which it starts tasks.
    pub version: u64,
    /// The version within whose limits all teams are: what was beyond them has ended.
    pub kept: u64,
    /// The leader's fencing token.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
}

/// The value of [`REGION_KEY`].
#[derive(Serialize, Deserialize)]
struct RegionValue {
    genesis: u64,
    acceptor: Acceptor,
    confirmations: Confirmations,
}

/// The region's record with the version of its key.
#[derive(Debug, Clone)]
pub(super) struct StoredRecord {
    pub(super) record: RegionRecord,
    pub(super) stamp: u64,
}

fn document_key(name: &DocumentName) -> String {
    let mut key = DOCUMENT_PREFIX.to_string();
    for byte in name.to_string().bytes() {
        if byte.is_ascii_alphanumeric() || b"-_/".contains(&byte) {
            key.push(byte as char);
        } else {
            let _ = write!(key, "%{byte:02x}");
        }
    }
    key
}

fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

/// Why the region's record can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadError {
    /// The state service has not answered.
    Unanswered,
    /// It belongs to other settings, or is not in a form that this version reads.
    Unreadable,
}

impl From<RequestError> for LoadError {
    fn from(_: RequestError) -> LoadError {
        LoadError::Unanswered
    }
}

/// Reads the region's record; `None` if there is none. `initial` is version 0.
pub(super) async fn load(
    state: &StateStore,
    initial: &ConfigState,
    genesis: u64,
) -> Result<Option<StoredRecord>, LoadError> {
    loop {
        let Some(item) = state.get(REGION_KEY).await?.0 else { return Ok(None) };
        let region = region_value(&item, genesis)?;
        let mut config = initial.clone();
        config.version = region.acceptor.applied;
        config.confirmations = region.confirmations;
        for item in state.list(DOCUMENT_PREFIX).await? {
            let versioned: VersionedDocument = serde_json::from_value(item.value).map_err(|_| LoadError::Unreadable)?;
            config.documents.insert(versioned.document.name(), versioned);
        }
        for item in state.list(LOG_PREFIX).await? {
            let entry: LogEntry = serde_json::from_value(item.value).map_err(|_| LoadError::Unreadable)?;
            entry.recorded.into_iter().for_each(|recorded| config.remember(recorded));
        }
        // Documents of another version may have been written meanwhile.
        let again = state.get(REGION_KEY).await?.0;
        if again.is_some_and(|again| again.version == item.version) {
            let record = RegionRecord { acceptor: region.acceptor, state: Arc::new(config) };
            return Ok(Some(StoredRecord { record, stamp: item.version }));
        }
    }
}

/// Brings a record up to what the state service has, by the log; `None` if the log does not hold all of it.
pub(super) async fn follow(
    state: &StateStore,
    known: &StoredRecord,
    genesis: u64,
) -> Result<Option<StoredRecord>, LoadError> {
    let Some(item) = state.get(REGION_KEY).await?.0 else { return Ok(None) };
    let region = region_value(&item, genesis)?;
    let mut config = known.record.state.clone();
    for version in config.version + 1..=region.acceptor.applied {
        let Some(entry) = log_entry(state, version).await? else { return Ok(None) };
        Arc::make_mut(&mut config).apply(&entry.batch);
    }
    let same = config.version == region.acceptor.applied && config.confirmations == region.confirmations;
    let record = RegionRecord { acceptor: region.acceptor, state: config };
    Ok(same.then_some(StoredRecord { record, stamp: item.version }))
}

fn region_value(item: &Item, genesis: u64) -> Result<RegionValue, LoadError> {
    let region: RegionValue = serde_json::from_value(item.value.clone()).map_err(|_| LoadError::Unreadable)?;
    if region.genesis == genesis { Ok(region) } else { Err(LoadError::Unreadable) }
}

/// One version of the log; `None` if it is not stored any more.
pub(super) async fn log_entry(state: &StateStore, version: u64) -> Result<Option<LogEntry>, LoadError> {
    let item = state.get(&log_key(version)).await?.0;
    item.map(|item| serde_json::from_value(item.value).map_err(|_| LoadError::Unreadable)).transpose()
}

/// What the region's leader has applied, as recorded.
pub(super) async fn load_applied(state: &StateStore) -> Result<AppliedConfiguration, LoadError> {
    let item = state.get(APPLIED_KEY).await?.0;
    Ok(item.and_then(|item| serde_json::from_value(item.value).ok()).unwrap_or_default())
}

/// The write that records what the region's leader has applied.
pub fn applied_configuration_change(applied_configuration: &AppliedConfiguration) -> wire::Write {
    wire::put(APPLIED_KEY, &json!(applied_configuration), None)
}

/// The changes from one record to the next one; `batch` is what was applied, if any was.
pub(super) fn changes(
    before: Option<&RegionRecord>,
    after: &RegionRecord,
    batch: Option<&Batch>,
    genesis: u64,
) -> Vec<wire::Write> {
    let value =
        RegionValue { genesis, acceptor: after.acceptor.clone(), confirmations: after.state.confirmations.clone() };
    let mut changes = vec![wire::put(REGION_KEY, &json!(value), None)];
    let version = after.state.version;
    if let Some(batch) = batch {
        let changed = after.state.documents.values().filter(|document| document.version == version);
        changes.extend(
            changed.map(|document| wire::put(&document_key(&document.document.name()), &json!(document), None)),
        );
        let recorded = after.state.recorded_since(before.map_or(0, |before| before.state.history_count));
        let entry = LogEntry { version, batch: batch.clone(), recorded };
        changes.push(wire::put(&log_key(version), &json!(entry), None));
        if version > KEPT_VERSIONS {
            changes.push(wire::delete(&log_key(version - KEPT_VERSIONS)));
        }
    }
    changes
}
