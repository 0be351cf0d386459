//! Ballots: attempts to reach agreement on one version.

use serde::{Deserialize, Serialize};

/// Who proposes; a controller that begins anew is another proposer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposerId {
    /// The controller, by its region and name.
    pub node: String,
    /// A random number of its process.
    pub incarnation: u64,
}

/// An attempt to reach agreement; a later one has a larger ballot. No two attempts share one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts up with each attempt.
    pub round: u64,
    /// Who makes the attempt.
    pub proposer: ProposerId,
}

impl Ballot {
    /// A ballot of a proposer that is larger than another one.
    pub fn after(other: &Ballot, proposer: ProposerId) -> Ballot {
        Ballot { round: other.round + 1, proposer }
    }
}
