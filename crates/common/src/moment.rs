//! Instants, read on both clocks of a host.

/// An instant, as read on both clocks of the leader's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds of the steady clock, which is never set.
    pub steady_ms: u64,
    /// Time of day, in milliseconds since 1970 (UTC).
    pub wall_ms: u64,
}
