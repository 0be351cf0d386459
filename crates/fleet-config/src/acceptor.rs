//! The acceptor of one region: its promise and its accepted batch for the next version.

use crate::ballot::Ballot;
use crate::change::Batch;
use serde::{Deserialize, Serialize};

/// A batch that an acceptor has accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Ballot under which the batch was accepted.
    pub ballot: Ballot,
    /// Accepted batch.
    pub batch: Batch,
}

/// State of an acceptor. Every change must be stored before the answer is sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Acceptor {
    /// Last version that the region has applied.
    pub applied: u64,
    /// First version on which the region votes. It may have lost its votes on earlier ones.
    pub votes_from: u64,
    /// Largest ballot promised for the next version; `None` without a promise.
    pub promised: Option<Ballot>,
    /// Batch last accepted for the next version; `None` if none was.
    pub accepted: Option<Accepted>,
}

/// Reason for which an acceptor rejects a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The region has already applied the version.
    Decided,
    /// The region lacks versions before the requested one.
    Behind,
    /// The acceptor has promised this larger ballot.
    #[serde(rename = "Outbid")]
    BallotTooLow(Ballot),
    /// The region may have lost a vote on this version.
    NotVoting,
}

impl Acceptor {
    /// Promises to accept no batch under a smaller ballot. Returns the new state and the batch accepted
    /// before, if any.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the version is not the next one, a vote on it may have been lost, or a
    /// larger ballot was promised.
    pub fn prepare(&self, version: u64, ballot: &Ballot) -> Result<(Acceptor, Option<Accepted>), Rejection> {
        self.check_may_vote(version, ballot)?;
        let promised = Acceptor { promised: Some(ballot.clone()), ..self.clone() };
        Ok((promised, self.accepted.clone()))
    }

    /// Accepts a batch and returns the new state.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] in the same cases as [`Acceptor::prepare`].
    pub fn accept(&self, version: u64, ballot: &Ballot, batch: &Batch) -> Result<Acceptor, Rejection> {
        self.check_may_vote(version, ballot)?;
        let accepted = Accepted { ballot: ballot.clone(), batch: batch.clone() };
        Ok(Acceptor { promised: Some(ballot.clone()), accepted: Some(accepted), ..self.clone() })
    }

    /// Returns the state after the next version is applied.
    #[must_use]
    pub fn advanced(&self) -> Acceptor {
        Acceptor { applied: self.applied + 1, votes_from: self.votes_from, promised: None, accepted: None }
    }

    /// Checks that the acceptor may vote on `version` under `ballot`.
    fn check_may_vote(&self, version: u64, ballot: &Ballot) -> Result<(), Rejection> {
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
            Some(promised) if promised > ballot => Err(Rejection::BallotTooLow(promised.clone())),
            _ => Ok(()),
        }
    }
}
