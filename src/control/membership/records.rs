//! Records of partitions and fencing tokens in the state store: keys and values.
//!
//! Their spelling is fixed: controllers of an earlier version read and write them too.

use crate::model::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the global counter of fencing tokens.
pub const FENCING_TOKEN_KEY: &str = "term";

/// Key of a partition: it exists while the lease of the partition's leader lives. A leader's
/// commits have its version as a condition, so that none can be applied after a failover.
pub fn partition_key(partition: u32) -> String {
    format!("part/{partition}")
}

/// Value of a partition's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionRecord {
    /// Name of the node that leads the partition.
    #[serde(rename = "holder")]
    pub leader: String,
    /// The fencing token under which it leads.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// The lease that the key is attached to.
    #[serde(rename = "grant")]
    pub lease_id: u64,
}

/// Value of the counter's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FencingTokenRecord {
    /// The last fencing token that was given out.
    #[serde(rename = "n")]
    pub last_token: FencingToken,
    /// Time of day at which the system began, in milliseconds: bins of jobs count from it.
    pub start_ms: u64,
    /// The last leader of each partition.
    #[serde(default, rename = "holders")]
    pub leaders: BTreeMap<u32, String>,
}
