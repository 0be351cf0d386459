//! The stored state of a region, and its answers to the requests of proposers.

use crate::acceptor::{Accepted, Acceptor, Rejection};
use crate::ballot::Ballot;
use crate::change::Batch;
use crate::state::ConfigState;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Stored state of a region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionRecord {
    /// State of the region's acceptor.
    pub acceptor: Acceptor,
    /// Configuration that the region has applied.
    pub state: Arc<ConfigState>,
}

/// Request of a proposer to a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a promise.
    Prepare {
        /// Version to agree on.
        version: u64,
        /// Ballot of the attempt.
        ballot: Ballot,
    },
    /// Asks to accept a batch.
    Accept {
        /// Version to agree on.
        version: u64,
        /// Ballot of the attempt.
        ballot: Ballot,
        /// Batch to accept.
        batch: Batch,
    },
    /// Announces a batch that was agreed on.
    Learn {
        /// Version of the batch.
        version: u64,
        /// Batch to apply.
        batch: Batch,
    },
}

/// Answer of a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The region promises, and returns the batch that it had accepted before.
    Promised(Option<Accepted>),
    /// The region has accepted the batch.
    Accepted,
    /// The region has applied the batch, now or earlier.
    Learned,
    /// The region rejects the request.
    Rejected {
        /// Reason for the rejection.
        rejection: Rejection,
        /// Last version that the region has applied.
        applied: u64,
    },
}

impl RegionRecord {
    /// Creates the state of a region that has stored nothing yet.
    pub fn new(state: ConfigState) -> RegionRecord {
        RegionRecord { acceptor: Acceptor::default(), state: Arc::new(state) }
    }

    /// Answers a request. If a new record is returned, it must be stored before the answer is sent, by a
    /// write that is conditional on the present record.
    pub fn handle(&self, request: &Request) -> (Option<RegionRecord>, Reply) {
        match request {
            Request::Prepare { version, ballot } => match self.acceptor.prepare(*version, ballot) {
                Ok((acceptor, accepted)) => (Some(self.with_acceptor(acceptor)), Reply::Promised(accepted)),
                Err(rejection) => (None, self.rejection_reply(rejection)),
            },
            Request::Accept { version, ballot, batch } => match self.acceptor.accept(*version, ballot, batch) {
                Ok(acceptor) => (Some(self.with_acceptor(acceptor)), Reply::Accepted),
                Err(rejection) => (None, self.rejection_reply(rejection)),
            },
            Request::Learn { version, batch } => self.learn(*version, batch),
        }
    }

    fn learn(&self, version: u64, batch: &Batch) -> (Option<RegionRecord>, Reply) {
        if version <= self.acceptor.applied {
            return (None, Reply::Learned);
        }
        if version > self.acceptor.applied + 1 {
            return (None, self.rejection_reply(Rejection::Behind));
        }
        let mut state = ConfigState::clone(&self.state);
        state.apply(batch);
        (Some(RegionRecord { acceptor: self.acceptor.advanced(), state: Arc::new(state) }), Reply::Learned)
    }

    fn with_acceptor(&self, acceptor: Acceptor) -> RegionRecord {
        RegionRecord { acceptor, state: self.state.clone() }
    }

    fn rejection_reply(&self, rejection: Rejection) -> Reply {
        Reply::Rejected { rejection, applied: self.acceptor.applied }
    }

    /// Returns whether the region's leader may start tasks. It may not while the regions may still agree on
    /// a confirmation that the region has lost: the leader would apply an older version than the
    /// confirmed one.
    pub fn may_start_tasks(&self) -> bool {
        self.acceptor.applied + 1 >= self.acceptor.votes_from
    }

    /// Creates the record of a region that has lost its stored state. It takes over `state` from another
    /// region and votes only on versions on which it cannot have voted before. `latest` is the last
    /// version that any of a majority of the other regions has applied. The last version agreed on is at
    /// most the one after `latest`, as one region of that majority has at least accepted it. The lost
    /// votes are at most for the version after that one, which is the second after `latest`.
    pub fn recover(state: ConfigState, latest: u64) -> RegionRecord {
        let acceptor = Acceptor { applied: state.version, votes_from: latest + 3, promised: None, accepted: None };
        RegionRecord { acceptor, state: Arc::new(state) }
    }
}
