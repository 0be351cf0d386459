//! Instants by both clocks.

/// An instant, by both clocks of the leader's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds on the steady clock, which is never set.
    pub steady_ms: u64,
    /// Time of day, in milliseconds since 1970 (UTC).
    pub wall_ms: u64,
}
