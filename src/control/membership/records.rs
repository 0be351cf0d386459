//! What the state service keeps of partitions and fencing tokens: keys and values.

use crate::model::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the global counter of fencing tokens.
pub const FENCING_TOKEN_KEY: &str = "term";

/// Key of a partition.
pub fn partition_key(partition: u32) -> String {
    format!("part/{partition}")
}

/// Value of a partition's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Name of the node that holds the partition.
    #[serde(rename = "holder")]
    pub leader: String,
    /// The fencing token under which the node holds the partition.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// The lease that the key is attached to.
    #[serde(rename = "grant")]
    pub lease_id: u64,
}

/// Value of the counter's key. `start_ms` is the one instant that bins count from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FencingTokenRecord {
    /// The last fencing token that was given out.
    pub n: FencingToken,
    /// Wall time at which the system began.
    pub start_ms: u64,
    /// Who held each partition last.
    #[serde(default, rename = "holders")]
    pub leaders: BTreeMap<u32, String>,
}
