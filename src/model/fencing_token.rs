//! Fencing tokens.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one leadership of one partition. Tokens come from a single counter in the state
/// store and only ever increase.
///
/// A worker refuses every command that carries a lower token than the highest one that it has
/// seen, so that a command of a former leader cannot take effect after one of its successor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// No token: what a worker has seen before its first command, and a node that knows no leader.
    pub const NONE: FencingToken = FencingToken(0);

    /// The first token that the counter gives out.
    pub const FIRST: FencingToken = FencingToken(1);

    /// The token after this one.
    #[must_use]
    pub fn successor(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
