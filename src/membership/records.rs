//! What the state service keeps of parts and terms: keys and values.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the global counter of terms.
pub const TERM_KEY: &str = "term";

/// Key of a part.
pub fn part_key(part: u32) -> String {
    format!("part/{part}")
}

/// Value of a part's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    /// Name of the node that holds the part.
    pub holder: String,
    /// The term under which the node holds the part.
    pub term: u64,
    /// The grant that the key is attached to.
    pub grant: u64,
}

/// Value of the counter's key. `start_ms` is the one instant that bins count from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The last term that was given out.
    pub n: u64,
    /// Wall time at which the system began.
    pub start_ms: u64,
    /// Who held each part last.
    #[serde(default)]
    pub holders: BTreeMap<u32, String>,
}
