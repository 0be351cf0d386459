//! Ballots, which number the attempts to reach agreement on one version.

use serde::{Deserialize, Serialize};

/// Identity of a proposer. A restarted controller is another proposer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposerId {
    /// Region and name of the controller.
    pub node: String,
    /// Random number of the controller's process.
    pub incarnation: u64,
}

/// Ballot of an attempt to reach agreement. No two attempts have the same ballot, and a later attempt uses a
/// larger one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the round, which increases with each attempt.
    pub round: u64,
    /// Proposer that makes the attempt.
    pub proposer: ProposerId,
}

impl Ballot {
    /// Returns a ballot of `proposer` that is larger than `other`.
    pub fn after(other: &Ballot, proposer: ProposerId) -> Ballot {
        Ballot { round: other.round + 1, proposer }
    }
}
