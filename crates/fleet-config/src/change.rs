//! Changes of the configuration, and what the regions agree on.

use crate::document::{Document, DocumentName, RegionName};
use serde::{Deserialize, Serialize};

/// Names a change, so that its outcome can be asked for again; chosen by whoever makes it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// The version of a document that a change was made from; 0 if there was none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadVersion {
    /// The document.
    pub document: DocumentName,
    /// The version in which it was last changed.
    pub version: u64,
}

/// A change of one or more documents, which is taken whole or not at all. It is taken only if
/// every document that it read is still in that version, and it must have read all that it
/// writes: so it is never taken twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its name.
    pub id: ChangeId,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in milliseconds of the time of day.
    pub at_ms: u64,
    /// What it was made from.
    pub reads: Vec<ReadVersion>,
    /// The new documents.
    pub writes: Vec<Document>,
}

/// A region tells that its leader, and any successor, has applied the configuration from this version on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The region.
    pub region: RegionName,
    /// The version.
    pub version: u64,
}

/// A part of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A change of documents.
    Change(Change),
    /// A confirmation.
    Confirmation(Confirmation),
}

/// What one version consists of.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Its parts, in order.
    pub entries: Vec<Entry>,
}
