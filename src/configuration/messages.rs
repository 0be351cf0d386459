//! What controllers and operators ask of the configuration, and what is answered.

use super::records::LogEntry;
use badgerdrift_fleet_config::{
    Change, ChangeId, ChangeOutcome, DocumentName, Entry, RecordedChange, RegionName, Reply, Request, VersionedDocument,
};
use serde::{Deserialize, Serialize};

/// A request to a controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationRequest {
    /// From the same region: does the controller know the shared configuration?
    Capable,
    /// From another region: which versions have this one and its leader applied?
    Digest,
    /// A part of the agreement on a version.
    Agreement {
        /// What version 0 of the asker is made of; only the same takes part.
        genesis: u64,
        /// The request.
        request: Request,
    },
    /// One version of the log.
    Log(u64),
    /// Take a change.
    Apply(Change),
    /// From a controller of any region: propose this here.
    Propose(Entry),
    /// What became of a change?
    Outcome(ChangeId),
    /// One document.
    Document(DocumentName),
    /// All documents with their versions.
    Documents,
    /// The last changes.
    History,
    /// Versions and states of all regions.
    Status,
}

/// The answer of a controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationResponse {
    /// It knows the shared configuration.
    Capable {
        /// What its version 0 is made of.
        genesis: u64,
    },
    /// The versions that the region and its leader have applied.
    Digest(RegionDigest),
    /// The acceptor's answer.
    Agreement(Reply),
    /// A version of the log; `None` if it is not stored any more.
    Log(Option<LogEntry>),
    /// What became of a change; `None` if that is not known.
    Outcome(Option<ChangeOutcome>),
    /// A document; `None` if there is none.
    Document(Option<VersionedDocument>),
    /// The documents with their versions.
    Documents(Vec<(DocumentName, u64)>),
    /// The last changes, the oldest first.
    History(Vec<RecordedChange>),
    /// The regions.
    Status(Vec<RegionStatus>),
    /// Nothing was done.
    Unavailable(UnavailableReason),
}

/// Why nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// The region has not begun to take part.
    NotStarted,
    /// The regions' settings differ: their first versions are not the same.
    SettingsDiffer,
    /// The state service has not answered.
    StateService,
    /// No majority of regions has answered: the change may still be taken.
    #[serde(rename = "Unclear")]
    Indeterminate,
    /// The change does not fit into the records of the state service.
    TooLarge,
    /// The controller can't do more now.
    Busy,
}

/// The versions that a region and its leader have applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionDigest {
    /// The region.
    pub region: RegionName,
    /// What its version 0 is made of.
    pub genesis: u64,
    /// The last version that it has applied; `None` if it has no record.
    pub version: Option<u64>,
    /// It has taken no part in any agreement.
    pub untouched: bool,
    /// The version that its leader has applied.
    #[serde(rename = "obeyed")]
    pub applied_configuration: u64,
}

/// What one region knows of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// The region.
    pub region: RegionName,
    /// The last version that it is known to have applied.
    pub version: u64,
    /// The last version that its leader is known to have applied.
    #[serde(rename = "obeyed")]
    pub applied_configuration: u64,
    /// Its condition relative to the last version known here.
    pub condition: RegionCondition,
}

/// The condition of a region relative to the last version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegionCondition {
    /// Its leader has applied it.
    InForce,
    /// Its leader has not applied it yet.
    Pending,
    /// It has not answered for so many seconds.
    UnreachableSince {
        /// The seconds; `None` if it never answered.
        seconds: Option<u64>,
    },
}
