//! Records of partitions and fencing tokens in the state service: keys and values.
//!
//! Key and field names are fixed, because controllers of an earlier version read and write the
//! same records.

use crate::model::FencingToken;
use crate::wire::KeyValue;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the global counter of fencing tokens.
pub const FENCING_TOKEN_KEY: &str = "term";

/// Returns the key of a partition. The key exists while the lease of the partition's leader is
/// valid. The commits of a leader are conditional on its version, so that none can be applied after
/// a failover.
pub fn partition_key(partition: u32) -> String {
    format!("part/{partition}")
}

/// Value of a partition's key: its current leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Name of the node that leads the partition.
    #[serde(rename = "holder")]
    pub leader: String,
    /// Highest fencing token of its leadership.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// Id of the lease that the key is attached to.
    #[serde(rename = "grant")]
    pub lease_id: u64,
}

/// Value of a key in the state service. A value that cannot be parsed is never taken for absent.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum StoredRecord<T> {
    /// The key does not exist.
    Absent,
    /// The key has this value.
    Found(T),
    /// The key has a value that this version cannot parse.
    Unreadable,
}

impl<T: DeserializeOwned> StoredRecord<T> {
    /// Parses the value of an item; logs an error if that is impossible.
    pub(super) fn parse(item: Option<KeyValue>) -> StoredRecord<T> {
        let Some(KeyValue { key, value, .. }) = item else { return StoredRecord::Absent };
        match serde_json::from_value(value) {
            Ok(record) => StoredRecord::Found(record),
            Err(error) => {
                tracing::error!(key, %error, "failed to decode the record of a leader");
                StoredRecord::Unreadable
            }
        }
    }
}

/// Value of [`FENCING_TOKEN_KEY`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FencingTokenRecord {
    /// Last fencing token that was issued.
    #[serde(rename = "n")]
    pub last_token: FencingToken,
    /// Wall-clock time of the first start of the deployment, in milliseconds. Bins of jobs are counted
    /// from it.
    pub start_ms: u64,
    /// Name of the last leader of each partition, by partition number.
    #[serde(default, rename = "holders")]
    pub leaders: BTreeMap<u32, String>,
}
