//! Changes of the configuration, and the batches that the regions agree on.

use crate::document::{Document, DocumentName, RegionName};
use serde::{Deserialize, Serialize};

/// Identifier of a change, under which its outcome can be queried. The author of the change chooses it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// Document that a change was based on, and the version of the configuration in which that document had
/// last changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadVersion {
    /// Name of the document.
    pub document: DocumentName,
    /// Version of the configuration in which the document was last changed; 0 if it did not exist or had never changed.
    pub version: u64,
}

/// A change of one or more documents, which is applied as a whole or not at all. It is applied only if
/// every document that it read still has the version that was read. As it must have read every document
/// that it writes, it is never applied twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier of the change.
    pub id: ChangeId,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Wall time at which the author made the change, in milliseconds since 1970 (UTC).
    pub at_ms: u64,
    /// Versions of the documents that the change was based on.
    pub reads: Vec<ReadVersion>,
    /// Documents that the change creates or replaces, with their new contents.
    pub writes: Vec<Document>,
}

/// Statement of a region that its leader, and any successor, applies the configuration of this version or a
/// later one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Name of the region.
    pub region: RegionName,
    /// Confirmed version.
    pub version: u64,
}

/// Entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A change of documents.
    Change(Change),
    /// A confirmation of a region.
    Confirmation(Confirmation),
}

/// Entries that together lead from one version of the configuration to the next.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Entries, in the order in which they are applied.
    pub entries: Vec<Entry>,
}
