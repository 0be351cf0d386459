//! The documents in one version, and what applying a batch does to them.

use crate::allowance::{Allowance, Confirmations, TeamAllowance};
use crate::change::{Batch, Change, ChangeId, Entry};
use crate::document::{Document, DocumentError, DocumentName, RegionName, TeamDocument};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A document with the version in which it was last changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// That version.
    pub version: u64,
    /// The document.
    pub document: Document,
    /// What regions held of the limit; unused for the operators' figures.
    pub allowance: TeamAllowance,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// It was taken, in this version.
    Taken {
        /// The version.
        version: u64,
    },
    /// A document that it read has changed since.
    Conflict {
        /// The document.
        document: DocumentName,
        /// The version in which it is now.
        found: u64,
    },
    /// It writes a document that it has not read.
    NotRead(DocumentName),
    /// A document is not sound.
    Invalid {
        /// The document.
        document: DocumentName,
        /// What is wrong with it.
        error: DocumentError,
    },
}

/// A change with its outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The change.
    pub change: Change,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// The documents before it, to roll it back.
    pub before: Vec<Document>,
}

/// The configuration in one version. The same batches lead to the same state everywhere.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The version.
    pub version: u64,
    /// The regions of the fleet.
    pub regions: Vec<RegionName>,
    /// The documents.
    pub documents: BTreeMap<DocumentName, VersionedDocument>,
    /// What each region has confirmed.
    pub confirmations: Confirmations,
    /// The last changes, the oldest first.
    pub history: VecDeque<RecordedChange>,
    /// Changes that were ever recorded here.
    pub history_count: u64,
}

/// Changes that are remembered with their outcomes.
pub const HISTORY_LENGTH: usize = 200;

impl ConfigState {
    /// Version 0: each region already has applied the shares of these teams.
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

    /// Applies the next version.
    pub fn apply(&mut self, batch: &Batch) {
        self.version += 1;
        for entry in &batch.entries {
            match entry {
                Entry::Change(change) => self.apply_change(change),
                Entry::Confirmation(confirmation) => {
                    // What is confirmed must be known to all by then.
                    let version = confirmation.version.min(self.version - 1);
                    if let Some(confirmed) = self.confirmations.get_mut(&confirmation.region) {
                        *confirmed = version.max(*confirmed);
                    }
                }
            }
        }
    }

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
        self.remember(RecordedChange { change: change.clone(), outcome, before });
    }

    /// Adds a change with its outcome to the history.
    pub fn remember(&mut self, recorded: RecordedChange) {
        self.history.push_back(recorded);
        self.history_count += 1;
        if self.history.len() > HISTORY_LENGTH {
            self.history.pop_front();
        }
    }

    /// What was recorded since so many changes had been.
    pub fn recorded_since(&self, count: u64) -> Vec<RecordedChange> {
        let new = (self.history_count.saturating_sub(count) as usize).min(self.history.len());
        self.history.iter().skip(self.history.len() - new).cloned().collect()
    }

    /// Why a change is not taken, if so.
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
                allowance.changed(team, next, &self.confirmations, self.version)
            }
            // A new team: nobody lets it use anything yet.
            _ => TeamAllowance { changed_at: self.version, ..TeamAllowance::default() },
        };
        self.documents.insert(name, VersionedDocument { version: self.version, document, allowance });
    }

    /// The version in which a document was last changed; 0 if there is none or it is the first.
    pub fn document_version(&self, name: &DocumentName) -> u64 {
        self.documents.get(name).map_or(0, |versioned| versioned.version)
    }

    /// What became of a change, as far as that is remembered.
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        self.history.iter().rev().find(|recorded| recorded.change.id == *id).map(|recorded| &recorded.outcome)
    }

    /// What a region may let a team use; nothing for a team that is not known.
    pub fn allowance(&self, team: &str, region: &str) -> Option<Allowance> {
        let (team, allowance) = self.team_allowance(&DocumentName::Team(team.into()))?;
        Some(allowance.of(team, &self.confirmations, region))
    }

    /// Does a region hold what others wait for, until it confirms?
    pub fn waits_for(&self, region: &str) -> bool {
        let teams = self.documents.keys().filter_map(|name| self.team_allowance(name));
        let mut waits = teams.map(|(team, allowance)| allowance.waits_for(team, &self.confirmations, region));
        waits.any(|waits| waits)
    }

    fn team_allowance(&self, name: &DocumentName) -> Option<(&TeamDocument, &TeamAllowance)> {
        let versioned = self.documents.get(name)?;
        match &versioned.document {
            Document::Team(team) => Some((team, &versioned.allowance)),
            Document::Operator(_) => None,
        }
    }
}
