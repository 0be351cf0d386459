//! The acceptor of one region: what it has promised and accepted for the next version.

use crate::ballot::Ballot;
use crate::change::Batch;
use serde::{Deserialize, Serialize};

/// A batch that an acceptor has accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Under which ballot.
    pub ballot: Ballot,
    /// The batch.
    pub batch: Batch,
}

/// The acceptor's record. Every change of it must be stored before its answer is told.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Acceptor {
    /// The last version that the region has applied.
    pub applied: u64,
    /// The region votes on no version before this one: it may have forgotten what it voted.
    pub votes_from: u64,
    /// The largest ballot for the next version that was promised.
    pub promised: Option<Ballot>,
    /// What was last accepted for the next version.
    pub accepted: Option<Accepted>,
}

/// Why an acceptor takes no part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The version is decided and applied here already.
    Decided,
    /// Versions before it are missing here.
    Behind,
    /// It has promised a larger ballot.
    Outbid(Ballot),
    /// It may have forgotten a vote on this version.
    NotVoting,
}

impl Acceptor {
    /// Promises to accept nothing under smaller ballots. The new record, and what was accepted.
    ///
    /// # Errors
    ///
    /// Rejected after a promise of a larger ballot, or if a vote on this version may have been forgotten.
    pub fn prepare(&self, version: u64, ballot: &Ballot) -> Result<(Acceptor, Option<Accepted>), Rejection> {
        self.may_vote(version, ballot)?;
        let promised = Acceptor { promised: Some(ballot.clone()), ..self.clone() };
        Ok((promised, self.accepted.clone()))
    }

    /// Accepts a batch. The new record.
    ///
    /// # Errors
    ///
    /// As for [`Acceptor::prepare`].
    pub fn accept(&self, version: u64, ballot: &Ballot, batch: &Batch) -> Result<Acceptor, Rejection> {
        self.may_vote(version, ballot)?;
        let accepted = Accepted { ballot: ballot.clone(), batch: batch.clone() };
        Ok(Acceptor { promised: Some(ballot.clone()), accepted: Some(accepted), ..self.clone() })
    }

    /// The record after the next version was applied.
    #[must_use]
    pub fn advanced(&self) -> Acceptor {
        Acceptor { applied: self.applied + 1, votes_from: self.votes_from, promised: None, accepted: None }
    }

    fn may_vote(&self, version: u64, ballot: &Ballot) -> Result<(), Rejection> {
        if version <= self.applied {
            return Err(Rejection::Decided);
        }
        if version > self.applied + 1 {
            return Err(Rejection::Behind);
        }
        if version < self.votes_from {
            return Err(Rejection::NotVoting);
        }
        match &self.promised {
            Some(promised) if promised > ballot => Err(Rejection::Outbid(promised.clone())),
            _ => Ok(()),
        }
    }
}
