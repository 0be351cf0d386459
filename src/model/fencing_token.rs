//! Fencing tokens, which order the leaderships of a partition.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Orders the leaderships of a partition, and the commands of one leader to a worker. Tokens come from a single counter
/// in the state service and increase strictly.
///
/// A worker refuses every command with a token lower than the highest that it has seen. A command of a
/// former leader therefore cannot take effect after a command of its successor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Value that stands for no token: of a worker before its first command, and of a node that knows no
    /// leader.
    pub const NONE: FencingToken = FencingToken(0);

    /// First token that the counter issues.
    pub const FIRST: FencingToken = FencingToken(1);

    /// Returns the next higher token.
    #[must_use]
    pub fn successor(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

/// Number of tokens that a leadership takes from the counter with one commit.
const TOKENS_PER_RANGE: u64 = 1024;

/// Fencing tokens of one leadership, both ends included.
///
/// The ranges of two leaderships never overlap, and a later one is higher as a whole. Within its range a leader raises
/// the token of each worker by itself, so that earlier commands to that worker are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencingTokenRange {
    /// Lowest token.
    pub first: FencingToken,
    /// Highest token. It stands in the records, so that a leader of any version continues above it.
    pub last: FencingToken,
}

impl FencingTokenRange {
    /// Range before the leader has a token.
    pub const NONE: FencingTokenRange = FencingTokenRange { first: FencingToken::NONE, last: FencingToken::NONE };

    /// Returns the range that follows the last token that was issued.
    pub fn following(last_issued: FencingToken) -> FencingTokenRange {
        FencingTokenRange { first: last_issued.successor(), last: FencingToken(last_issued.0 + TOKENS_PER_RANGE) }
    }

    /// Returns the range of a leadership of this version whose record names its last token.
    pub fn ending_at(last: FencingToken) -> FencingTokenRange {
        FencingTokenRange { first: FencingToken((last.0 + 1).saturating_sub(TOKENS_PER_RANGE).max(1)), last }
    }

    /// Returns the token after which the leader takes a new range, so that none of its workers uses this one up.
    pub fn renewal_threshold(self) -> FencingToken {
        FencingToken(self.last.0 - (self.last.0 - self.first.0) / 4)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
