//! The configuration in one version, and the application of batches to it.

use crate::allowance::{Allowance, Confirmations, TeamAllowance};
use crate::change::{Batch, Change, ChangeId, Entry};
use crate::document::{Document, DocumentError, DocumentName, RegionName, TeamDocument};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A document with the version in which it was last changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Version of the last change.
    pub version: u64,
    /// Content of the document.
    pub document: Document,
    /// Allocations of the regions at the last change; unused for the operators' settings.
    pub allowance: TeamAllowance,
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change was applied.
    Taken {
        /// Version in which it was applied.
        version: u64,
    },
    /// A document that the change read has another version now.
    Conflict {
        /// Name of the document.
        document: DocumentName,
        /// Present version of the document.
        found: u64,
    },
    /// The change writes this document without having read it.
    NotRead(DocumentName),
    /// A document that the change writes is not valid.
    Invalid {
        /// Name of the document.
        document: DocumentName,
        /// Invalid field and reason.
        error: DocumentError,
    },
}

/// A change with its outcome, as kept in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The recorded change.
    pub change: Change,
    /// Outcome of the change.
    pub outcome: ChangeOutcome,
    /// Documents before the change, with which it can be rolled back.
    pub before: Vec<Document>,
}

/// The configuration in one version. The same batches lead to the same state in every region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Last version applied.
    pub version: u64,
    /// Names of the regions of the fleet.
    pub regions: Vec<RegionName>,
    /// Documents by name.
    pub documents: BTreeMap<DocumentName, VersionedDocument>,
    /// Version that each region has confirmed.
    pub confirmations: Confirmations,
    /// Last changes, at most `HISTORY_LENGTH`, the oldest first.
    pub history: VecDeque<RecordedChange>,
    /// Number of changes ever recorded, including those that the history no longer has.
    pub history_count: u64,
}

/// Number of changes that are kept with their outcomes.
pub const HISTORY_LENGTH: usize = 200;

impl ConfigState {
    /// Creates version 0, in which every region has already applied the shares of the teams.
    pub fn initial(regions: Vec<RegionName>, documents: Vec<Document>) -> ConfigState {
        let versioned = documents.into_iter().map(|document| {
            let allowance = match &document {
                Document::Team(team) => TeamAllowance::initial(team),
                Document::Operator(_) => TeamAllowance::default(),
            };
            (document.name(), VersionedDocument { version: 0, document, allowance })
        });
        ConfigState {
            version: 0,
            documents: versioned.collect(),
            confirmations: regions.iter().map(|region| (region.clone(), 0)).collect(),
            regions,
            history: VecDeque::new(),
            history_count: 0,
        }
    }

    /// Applies the batch of the next version.
    pub fn apply(&mut self, batch: &Batch) {
        self.version += 1;
        for entry in &batch.entries {
            match entry {
                Entry::Change(change) => self.apply_change(change),
                Entry::Confirmation(confirmation) => {
                    // Only an earlier version can be confirmed, as every region that applies this batch has those.
                    let version = confirmation.version.min(self.version - 1);
                    if let Some(confirmed) = self.confirmations.get_mut(&confirmation.region) {
                        *confirmed = version.max(*confirmed);
                    }
                }
            }
        }
    }

    /// Applies a change, unless it was applied before, and adds it to the history with its outcome.
    fn apply_change(&mut self, change: &Change) {
        if self.outcome(&change.id).is_some_and(|outcome| matches!(outcome, ChangeOutcome::Taken { .. })) {
            return;
        }
        let before = change.writes.iter().filter_map(|document| self.documents.get(&document.name()));
        let before = before.map(|versioned| versioned.document.clone()).collect();
        let outcome = if let Some(refusal) = self.refusal(change) {
            refusal
        } else {
            for document in &change.writes {
                self.write(document.clone());
            }
            ChangeOutcome::Taken { version: self.version }
        };
        self.push_history(RecordedChange { change: change.clone(), outcome, before });
    }

    /// Adds a change with its outcome to the history.
    pub fn push_history(&mut self, recorded: RecordedChange) {
        self.history.push_back(recorded);
        self.history_count += 1;
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// Returns the changes recorded after the first `count`, as far as the history still has them.
    pub fn recorded_since(&self, count: u64) -> Vec<RecordedChange> {
        let new_count = (self.history_count.saturating_sub(count) as usize).min(self.history.len());
        self.history.iter().skip(self.history.len() - new_count).cloned().collect()
    }

    /// Returns the reason for which a change must not be applied; `None` if it can be.
    fn refusal(&self, change: &Change) -> Option<ChangeOutcome> {
        for read in &change.reads {
            let found = self.document_version(&read.document);
            if found != read.version {
                return Some(ChangeOutcome::Conflict { document: read.document.clone(), found });
            }
        }
        for document in &change.writes {
            let name = document.name();
            if !change.reads.iter().any(|read| read.document == name) {
                return Some(ChangeOutcome::NotRead(name));
            }
            if let Err(error) = document.check(&self.regions) {
                return Some(ChangeOutcome::Invalid { document: name, error });
            }
        }
        None
    }

    fn write(&mut self, document: Document) {
        let name = document.name();
        let allowance = match (&document, self.team_allowance(&name)) {
            (Document::Team(next), Some((team, allowance))) => {
                allowance.after_change(team, next, &self.confirmations, self.version)
            }
            // No region may let a new team use anything yet.
            _ => TeamAllowance { changed_at: self.version, ..TeamAllowance::default() },
        };
        self.documents.insert(name, VersionedDocument { version: self.version, document, allowance });
    }

    /// Returns the version in which a document was last changed; 0 if it does not exist or was never
    /// changed since version 0.
    pub fn document_version(&self, name: &DocumentName) -> u64 {
        self.documents.get(name).map_or(0, |versioned| versioned.version)
    }

    /// Returns the last outcome of a change; `None` if the history does not have the change.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.history.iter().rev().find(|recorded| recorded.change.id == *id).map(|recorded| &recorded.outcome)
    }

    /// Returns the amounts that a region may let a team use; `None` for an unknown team.
    pub fn allowance(&self, team: &str, region: &str) -> Option<Allowance> {
        let (team, allowance) = self.team_allowance(&DocumentName::Team(team.into()))?;
        Some(allowance.for_region(team, &self.confirmations, region))
    }

    /// Returns whether a region has yet to confirm a reduction: for some team more is reserved for it than it
    /// may use, so that other regions wait for its confirmation.
    pub fn has_unconfirmed_reduction(&self, region: &str) -> bool {
        let teams = self.documents.keys().filter_map(|name| self.team_allowance(name));
        let mut has_excess =
            teams.map(|(team, allowance)| allowance.has_excess_reservation(team, &self.confirmations, region));
        has_excess.any(|excess| excess)
    }

    /// Returns a team's document and allowance; `None` for an unknown team and for the operators' document.
    fn team_allowance(&self, name: &DocumentName) -> Option<(&TeamDocument, &TeamAllowance)> {
        let versioned = self.documents.get(name)?;
        match &versioned.document {
            Document::Team(team) => Some((team, &versioned.allowance)),
            Document::Operator(_) => None,
        }
    }
}
