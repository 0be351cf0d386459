//! What a region stores, and how it answers the requests of proposers.

use crate::acceptor::{Accepted, Acceptor, Rejection};
use crate::ballot::Ballot;
use crate::change::Batch;
use crate::state::ConfigState;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a region stores.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionRecord {
    /// Its part in the agreement.
    pub acceptor: Acceptor,
    /// The configuration that it has applied.
    pub state: Arc<ConfigState>,
}

/// A request to a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a promise.
    Prepare {
        /// The version that it is about.
        version: u64,
        /// The ballot.
        ballot: Ballot,
    },
    /// Asks to accept a batch.
    Accept {
        /// The version that it is about.
        version: u64,
        /// The ballot.
        ballot: Ballot,
        /// The batch.
        batch: Batch,
    },
    /// Tells a batch that is agreed on.
    Learn {
        /// The version that it is about.
        version: u64,
        /// The batch.
        batch: Batch,
    },
}

/// A region's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The promise, with what was accepted.
    Promised(Option<Accepted>),
    /// The batch is accepted.
    Accepted,
    /// The batch is applied, now or before.
    Learned,
    /// It takes no part; this is the last version that it has applied.
    Rejected {
        /// Why.
        rejection: Rejection,
        /// That version.
        applied: u64,
    },
}

impl RegionRecord {
    /// A region that has stored nothing yet.
    pub fn new(state: ConfigState) -> RegionRecord {
        RegionRecord { acceptor: Acceptor::default(), state: Arc::new(state) }
    }

    /// Answers a request. Where there is a new record the answer may be told only once that is
    /// stored, guarded by the present one.
    pub fn handle(&self, request: &Request) -> (Option<RegionRecord>, Reply) {
        match request {
            Request::Prepare { version, ballot } => match self.acceptor.prepare(*version, ballot) {
                Ok((acceptor, accepted)) => (Some(self.with(acceptor)), Reply::Promised(accepted)),
                Err(rejection) => (None, self.rejected(rejection)),
            },
            Request::Accept { version, ballot, batch } => match self.acceptor.accept(*version, ballot, batch) {
                Ok(acceptor) => (Some(self.with(acceptor)), Reply::Accepted),
                Err(rejection) => (None, self.rejected(rejection)),
            },
            Request::Learn { version, batch } => self.learn(*version, batch),
        }
    }

    fn learn(&self, version: u64, batch: &Batch) -> (Option<RegionRecord>, Reply) {
        if version <= self.acceptor.applied {
            return (None, Reply::Learned);
        }
        if version > self.acceptor.applied + 1 {
            return (None, self.rejected(Rejection::Behind));
        }
        let mut state = ConfigState::clone(&self.state);
        state.apply(batch);
        (Some(RegionRecord { acceptor: self.acceptor.advanced(), state: Arc::new(state) }), Reply::Learned)
    }

    fn with(&self, acceptor: Acceptor) -> RegionRecord {
        RegionRecord { acceptor, state: self.state.clone() }
    }

    fn rejected(&self, rejection: Rejection) -> Reply {
        Reply::Rejected { rejection, applied: self.acceptor.applied }
    }

    /// May the region's leader start tasks? Not while a confirmation that the region has forgotten
    /// may still be agreed on: it would apply an older version than it has confirmed.
    pub fn may_start_tasks(&self) -> bool {
        self.acceptor.applied + 1 >= self.acceptor.votes_from
    }

    /// The record of a region that has lost what it stored: it takes over the state of another
    /// one, and votes again only on versions on which it can't have voted before. `latest` is the
    /// last version that any of a majority of the others has applied. It may have voted on the
    /// version after the last that was agreed on, which one of that majority has at least
    /// accepted; so the second one after `latest` is the last that it may have voted on.
    pub fn rejoin(state: ConfigState, latest: u64) -> RegionRecord {
        let acceptor = Acceptor { applied: state.version, votes_from: latest + 3, promised: None, accepted: None };
        RegionRecord { acceptor, state: Arc::new(state) }
    }
}
