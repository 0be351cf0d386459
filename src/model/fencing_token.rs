//! Fencing tokens, which order the leaderships of a partition.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one leadership of one partition. Tokens come from a single counter in the state
/// service and increase strictly.
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

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
