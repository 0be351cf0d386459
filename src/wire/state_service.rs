//! Messages between controllers and the state service: keys, changes, commits and leases.

use serde::Deserialize;
use serde_json::{Value, json};

/// A key of the state service, with its value.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value of the key.
    #[serde(rename = "data")]
    pub value: Value,
    /// Revision at which the key was last written.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a list of keys.
#[derive(Deserialize)]
pub struct Page {
    /// The keys on the page.
    pub items: Vec<KeyValue>,
    /// Whether further pages follow.
    #[serde(default)]
    pub more: bool,
    /// Revision of the state service at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change of a key that a watch reports, with the new value unless the key was deleted.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    /// The key, if it was written.
    #[serde(default)]
    put: Option<String>,
    /// The key, if it was deleted.
    #[serde(default)]
    delete: Option<String>,
    /// The new value; `None` if the key was deleted.
    #[serde(default, rename = "data")]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Change {
    /// Returns the key that changed.
    pub fn key(&self) -> &str {
        self.put.as_deref().or(self.delete.as_deref()).unwrap_or("")
    }

    /// Returns whether the change is the deletion of the key.
    pub fn is_deletion(&self) -> bool {
        self.put.is_none()
    }
}

/// The changes that a watch reports, and the revision up to which they are complete.
#[derive(Deserialize)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The reported changes.
    #[serde(default, rename = "log")]
    pub events: Vec<Change>,
}

/// The answer to a commit, or about a key that does not exist.
#[derive(Deserialize)]
pub struct RevisionReply {
    /// Revision of the commit, or of the read.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The answer to a request for a lease.
#[derive(Deserialize)]
pub struct LeaseReply {
    /// Id of the lease.
    #[serde(rename = "grant")]
    pub id: u64,
}

/// A condition of a commit, which requires a version of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The version that the key must have; 0 if the key must not exist.
    pub version: u64,
}

/// A write of a commit.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Sets the value of a key.
    Put {
        /// The key.
        key: String,
        /// The new value.
        value: Value,
        /// Id of the lease with whose end the key is deleted; `None` for a key without a lease.
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// Returns the condition that a key has the given version; 0 if the key must not exist.
pub fn condition(key: &str, version: u64) -> Condition {
    Condition { key: key.into(), version }
}

/// Returns a write that sets a key. With the id of a lease, the key is deleted when the lease ends.
pub fn put(key: &str, value: &Value, lease: Option<u64>) -> Write {
    Write::Put { key: key.into(), value: value.clone(), lease }
}

/// Returns a write that deletes a key.
pub fn delete(key: &str) -> Write {
    Write::Delete { key: key.into() }
}

impl Condition {
    /// Returns the condition as it is sent.
    pub fn to_json(&self) -> Value {
        json!({ "path": self.key, "stamp": self.version })
    }
}

impl Write {
    /// Returns the write as it is sent.
    pub fn to_json(&self) -> Value {
        match self {
            Write::Put { key, value, lease: Some(lease) } => json!({ "put": key, "data": value, "grant": lease }),
            Write::Put { key, value, lease: None } => json!({ "put": key, "data": value }),
            Write::Delete { key } => json!({ "delete": key }),
        }
    }
}

/// Displays the write as the JSON that is sent.
impl std::fmt::Display for Write {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.to_json().fmt(formatter)
    }
}

/// Returns the body of a commit.
pub fn commit_body(conditions: &[Condition], writes: &[Write]) -> Vec<u8> {
    let conditions: Vec<Value> = conditions.iter().map(Condition::to_json).collect();
    let writes: Vec<Value> = writes.iter().map(Write::to_json).collect();
    serde_json::to_vec(&json!({ "guards": conditions, "apply": writes })).unwrap_or_default()
}

/// Returns the body of a request to create or renew a lease with a duration of `ttl_ms` milliseconds.
pub fn lease_body(ttl_ms: u64) -> Vec<u8> {
    serde_json::to_vec(&json!({ "life_ms": ttl_ms })).unwrap_or_default()
}

/// Paths of requests to the state service.
pub mod store {
    /// Path to which commits are posted.
    pub const COMMIT: &str = "/commit";
    /// Path to which requests for new leases are posted.
    pub const LEASES: &str = "/grants";

    /// Returns the path of a key.
    pub fn key(key: &str) -> String {
        format!("/store/{key}")
    }

    /// Returns the path of a page with at most `most` of the keys with the prefix, after the key
    /// `after`; of the first page if that is empty.
    pub fn page(prefix: &str, after: &str, most: usize) -> String {
        if after.is_empty() {
            format!("/store?under={prefix}&most={most}")
        } else {
            format!("/store?under={prefix}&from={after}&most={most}")
        }
    }

    /// Returns the path of the changes under the prefix after a revision; the state service waits up to
    /// `wait_ms` milliseconds for the first one.
    pub fn changes(prefix: &str, after: u64, wait_ms: u64) -> String {
        format!("/changes?under={prefix}&from={after}&hold_ms={wait_ms}")
    }

    /// Returns the path for the renewal of the lease with the id `grant`.
    pub fn lease_renewal(grant: u64) -> String {
        format!("/grants/{grant}/extend")
    }

    /// Returns the path of the lease with the id `grant`.
    pub fn lease(grant: u64) -> String {
        format!("/grants/{grant}")
    }
}
