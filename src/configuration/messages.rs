//! Requests about the shared configuration and their responses.

use super::records::LogEntry;
use badgerdrift_fleet_config::{
    Change, ChangeId, ChangeOutcome, DocumentName, Entry, RecordedChange, RegionName, Reply, Request, VersionedDocument,
};
use serde::{Deserialize, Serialize};

/// Request about the shared configuration to a controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationRequest {
    /// Asks a controller of the same region whether it supports the shared configuration.
    Capable,
    /// Asks another region for the versions that it and its leader have applied.
    Digest,
    /// A message of the agreement protocol on one version.
    Agreement {
        /// Fingerprint of the sender's version 0; the receiver refuses any other than its own.
        genesis: u64,
        /// The protocol message.
        request: Request,
    },
    /// Asks for one version of the log.
    Log(u64),
    /// Submits a change of documents.
    Apply(Change),
    /// Asks the receiving region to propose an entry, on behalf of a controller of any region.
    Propose(Entry),
    /// Asks for the outcome of a change.
    Outcome(ChangeId),
    /// Asks for one document.
    Document(DocumentName),
    /// Asks for the names and versions of all documents.
    Documents,
    /// Asks for the latest changes.
    History,
    /// Asks for the versions and conditions of all regions.
    Status,
}

/// Response to a [`ConfigurationRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationResponse {
    /// The controller supports the shared configuration.
    Capable {
        /// Fingerprint of the controller's version 0.
        genesis: u64,
    },
    /// The versions that the region and its leader have applied.
    Digest(RegionDigest),
    /// Reply of the region's acceptor.
    Agreement(Reply),
    /// A version of the log; `None` if it is no longer stored.
    Log(Option<LogEntry>),
    /// Outcome of a change; `None` if it is not known.
    Outcome(Option<ChangeOutcome>),
    /// A document; `None` if it does not exist.
    Document(Option<VersionedDocument>),
    /// Names and versions of all documents.
    Documents(Vec<(DocumentName, u64)>),
    /// The latest changes, oldest first.
    History(Vec<RecordedChange>),
    /// Versions and conditions of all regions.
    Status(Vec<RegionStatus>),
    /// The request was not carried out.
    Unavailable(UnavailableReason),
}

/// Reason why a configuration request was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// The region does not take part in agreements yet, or not all regions have started.
    NotStarted,
    /// The settings of the regions differ: their version 0 is not the same.
    SettingsDiffer,
    /// The state service did not answer or did not store the change.
    StateService,
    /// No agreement was reached in the attempts made: the change may still be applied.
    #[serde(rename = "Unclear")]
    Indeterminate,
    /// The change does not fit into the records of the state service.
    TooLarge,
    /// The controller's queue is full.
    Busy,
}

/// The versions that a region and its leader have applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionDigest {
    /// Name of the region.
    pub region: RegionName,
    /// Fingerprint of the region's version 0.
    pub genesis: u64,
    /// Last version that the region has applied; `None` if it has no record.
    pub version: Option<u64>,
    /// Whether the region has taken part in no agreement.
    pub untouched: bool,
    /// Version that the region's leader has applied.
    #[serde(rename = "obeyed")]
    pub applied_configuration: u64,
}

/// Versions and condition of a region as the answering region knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionStatus {
    /// Name of the region.
    pub region: RegionName,
    /// Last version that the region is known to have applied; 0 if it never answered.
    pub version: u64,
    /// Last version that the region's leader is known to have applied; 0 if it never answered.
    #[serde(rename = "obeyed")]
    pub applied_configuration: u64,
    /// Condition relative to the last version known to the answering region.
    pub condition: RegionCondition,
}

/// The condition of a region relative to the last version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegionCondition {
    /// The region's leader has applied the last version.
    InForce,
    /// The region's leader has not applied the last version yet.
    Pending,
    /// The region has not answered recently.
    UnreachableSince {
        /// Seconds since the region's last answer; `None` if it never answered.
        seconds: Option<u64>,
    },
}
