//! Messages between the service and the state service: keys, changes, commits and leases.

use serde::Deserialize;
use serde_json::{Value, json};

/// A key of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision at which it was written last.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a list of keys.
#[derive(Deserialize)]
pub struct Page {
    /// The keys of the page.
    pub items: Vec<Item>,
    /// True if further pages follow.
    #[serde(default)]
    pub more: bool,
    /// The revision of the list.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One change that a watch reports: the key, and its value unless deleted.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    delete: Option<String>,
    /// The new value, unless the key is gone.
    #[serde(default, rename = "data")]
    pub value: Option<Value>,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Change {
    /// The key that changed.
    pub fn key(&self) -> &str {
        self.put.as_deref().or(self.delete.as_deref()).unwrap_or("")
    }

    /// True if the key is gone.
    pub fn deleted(&self) -> bool {
        self.put.is_none()
    }
}

/// The changes that a watch reports, and the revision up to which they go.
#[derive(Deserialize)]
pub struct Changes {
    /// The revision up to which the changes go.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes.
    #[serde(default, rename = "log")]
    pub events: Vec<Change>,
}

/// The answer to a commit, or about a key that does not exist.
#[derive(Deserialize)]
pub struct Revision {
    /// The revision of the commit, or of the read.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The answer to a request for a lease.
#[derive(Deserialize)]
pub struct StateLease {
    /// Id of the lease.
    #[serde(rename = "grant")]
    pub id: u64,
}

/// A condition of a commit: the version that a key must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its version; 0 if it must not exist.
    pub version: u64,
}

/// A write of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// Its value.
        value: Value,
        /// The lease that the key ends with, if any.
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A condition of a commit: the version that a key must have; 0 if it must not exist.
pub fn condition(key: &str, version: u64) -> Condition {
    Condition { key: key.into(), version }
}

/// A write of a commit; with a lease, the key ends with it.
pub fn put(key: &str, value: &Value, lease: Option<u64>) -> Write {
    Write::Put { key: key.into(), value: value.clone(), lease }
}

/// A deletion of a commit.
pub fn delete(key: &str) -> Write {
    Write::Delete { key: key.into() }
}

impl Condition {
    /// The condition as it is sent.
    pub fn to_json(&self) -> Value {
        json!({ "path": self.key, "stamp": self.version })
    }
}

impl Write {
    /// The write as it is sent.
    pub fn to_json(&self) -> Value {
        match self {
            Write::Put { key, value, lease: Some(lease) } => json!({ "put": key, "data": value, "grant": lease }),
            Write::Put { key, value, lease: None } => json!({ "put": key, "data": value }),
            Write::Delete { key } => json!({ "delete": key }),
        }
    }
}

/// The text of the write as it is sent.
impl std::fmt::Display for Write {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.to_json().fmt(formatter)
    }
}

/// The body of a commit.
pub fn commit_body(conditions: &[Condition], writes: &[Write]) -> Vec<u8> {
    let conditions: Vec<Value> = conditions.iter().map(Condition::to_json).collect();
    let writes: Vec<Value> = writes.iter().map(Write::to_json).collect();
    serde_json::to_vec(&json!({ "guards": conditions, "apply": writes })).unwrap_or_default()
}

/// The body of a request for a lease of so many milliseconds, or for its extension.
pub fn grant_body(leader_lease_ttl_ms: u64) -> Vec<u8> {
    serde_json::to_vec(&json!({ "life_ms": leader_lease_ttl_ms })).unwrap_or_default()
}

/// Paths of the state service.
pub mod store {
    /// Commits are posted here.
    pub const COMMIT: &str = "/commit";
    /// New leases are asked for here.
    pub const GRANTS: &str = "/grants";

    /// One key.
    pub fn key(key: &str) -> String {
        format!("/store/{key}")
    }

    /// A page of the keys with a prefix.
    pub fn page(prefix: &str, after: &str, most: usize) -> String {
        if after.is_empty() {
            format!("/store?under={prefix}&most={most}")
        } else {
            format!("/store?under={prefix}&from={after}&most={most}")
        }
    }

    /// The changes under a prefix after a revision.
    pub fn changes(prefix: &str, after: u64, wait_ms: u64) -> String {
        format!("/changes?under={prefix}&from={after}&hold_ms={wait_ms}")
    }

    /// The extension of a lease.
    pub fn extend(grant: u64) -> String {
        format!("/grants/{grant}/extend")
    }

    /// One lease.
    pub fn grant(grant: u64) -> String {
        format!("/grants/{grant}")
    }
}
