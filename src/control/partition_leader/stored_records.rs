//! Records that a leader reads from the state service, and the storage of machine types.

use super::leadership::KnownExternalDependencies;
use crate::clients::write_limits::json_bytes;
use crate::clients::{RequestError, StateStore};
use crate::configuration::ConfigurationHandle;
use crate::control::partition::{HOST_PREFIX, JOB_PREFIX};
use crate::model::InstanceType;
use crate::runtime::clock;
use crate::wire::{self, KeyValue};
use badgerdrift_borrowing::LOAN_PREFIX;
use badgerdrift_warm_pools::RecordKey;
use serde_json::json;

/// Key under which the machine types are stored, for a restart during an outage of the cloud.
pub const INSTANCE_TYPES_KEY: &str = "flavors";

/// Returns the writes that store the machine types, split into values of at most `value_bytes` bytes
/// where possible. An earlier version stored all machine types under the key of the first value.
pub(super) fn instance_type_writes(instance_types: &[InstanceType], value_bytes: usize) -> Vec<wire::Write> {
    let mut values: Vec<Vec<&InstanceType>> = vec![Vec::new()];
    for instance_type in instance_types {
        let Some(last) = values.last_mut() else { break };
        last.push(instance_type);
        if last.len() > 1 && json_bytes(last) > value_bytes {
            last.pop();
            values.push(vec![instance_type]);
        }
    }
    let key = |index: usize| match index {
        0 => INSTANCE_TYPES_KEY.to_string(),
        _ => format!("{INSTANCE_TYPES_KEY}/{index}"),
    };
    let write =
        |(index, instance_types): (usize, &Vec<&InstanceType>)| wire::put(&key(index), &json!(instance_types), None);
    values.iter().enumerate().map(write).collect()
}

/// Reads the stored machine types, without duplicates. Returns `None` if they could not be read.
pub async fn stored_instance_types(state: &StateStore) -> Option<Vec<InstanceType>> {
    read_instance_types(state).await.ok()
}

/// Reads the stored machine types, without duplicates.
async fn read_instance_types(state: &StateStore) -> Result<Vec<InstanceType>, RequestError> {
    let mut instance_types: Vec<InstanceType> = Vec::new();
    for item in state.list(INSTANCE_TYPES_KEY).await? {
        let more: Vec<InstanceType> = serde_json::from_value(item.value).unwrap_or_default();
        for instance_type in more {
            if instance_types.iter().all(|known| known.name != instance_type.name) {
                instance_types.push(instance_type);
            }
        }
    }
    Ok(instance_types)
}

/// Stored records at the start of a leadership.
pub struct StoredRecords {
    pub(super) jobs: Vec<KeyValue>,
    pub(super) hosts: Vec<KeyValue>,
    pub(super) instance_types: Vec<InstanceType>,
    /// Records of warm pools; empty without pools.
    pub(super) pool_records: Vec<KeyValue>,
    /// Records of loans; empty without borrowing.
    pub(super) loan_records: Vec<KeyValue>,
}

/// Reason why the records could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The shared configuration could not be read.
    #[error("the shared configuration could not be read")]
    Configuration,
    /// The records of this kind could not be read.
    #[error("{kind}: {source}")]
    Records {
        /// Kind of the records.
        kind: &'static str,
        /// Error of the request.
        source: RequestError,
    },
}

/// Selection of the records that are read in addition to those of jobs and machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct OptionalRecords {
    /// Whether to read the records of warm pools.
    pub(super) pools: bool,
    /// Whether to read the records of loans.
    pub(super) loans: bool,
}

impl StoredRecords {
    /// Reads the records, and reloads the configuration, so that it has the version that the
    /// last leader applied or a later one.
    ///
    /// # Errors
    ///
    /// A read failed.
    pub(super) async fn read(
        state: &StateStore,
        configuration: Option<&ConfigurationHandle>,
        optional: OptionalRecords,
    ) -> Result<StoredRecords, LoadError> {
        if let Some(configuration) = configuration
            && !configuration.reload_record().await
        {
            return Err(LoadError::Configuration);
        }
        let failed = |kind| move |source| LoadError::Records { kind, source };
        let jobs = state.list(JOB_PREFIX).await.map_err(failed("jobs"))?;
        let hosts = state.list(HOST_PREFIX).await.map_err(failed("hosts"))?;
        let instance_types = read_instance_types(state).await.map_err(failed("instance types"))?;
        let pool_records = match optional.pools {
            true => read_pool_records(state, clock::wall_ms()).await.map_err(failed("warm pools"))?,
            false => Vec::new(),
        };
        let loan_records = match optional.loans {
            true => state.list(LOAN_PREFIX).await.map_err(failed("loans"))?,
            false => Vec::new(),
        };
        Ok(StoredRecords { jobs, hosts, instance_types, pool_records, loan_records })
    }
}

/// Result of a read of jobs that belong to other partitions.
pub struct ExternalDependencyRecords {
    /// Records of the jobs, each as of some instant since the last read.
    pub(super) records: Vec<KeyValue>,
    /// Jobs that were read and the revision up to which their changes are known; `None` if the read
    /// failed and has to start over.
    pub(super) known: Option<KnownExternalDependencies>,
}

/// Reads all records of slots, and the bills of the days around `wall_ms`, a wall-clock time in
/// milliseconds.
async fn read_pool_records(state: &StateStore, wall_ms: u64) -> Result<Vec<KeyValue>, RequestError> {
    let mut items = state.list(RecordKey::SLOT_PREFIX).await?;
    for day in badgerdrift_warm_pools::days_around(wall_ms) {
        items.extend(state.list(&format!("{}{day}/", RecordKey::BILL_PREFIX)).await?);
    }
    Ok(items)
}

/// Reads the items of these keys; returns `None` if one could not be read.
pub(super) async fn read_keys(state: &StateStore, keys: &[String]) -> Option<Vec<(String, Option<KeyValue>)>> {
    let mut found = Vec::new();
    for key in keys {
        let (item, _) = state.get(key).await.ok()?;
        found.push((key.clone(), item));
    }
    Some(found)
}
