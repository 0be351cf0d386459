//! Readings of both clocks of a host.

/// Reading of both clocks of the leader's host at one instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Milliseconds of the steady clock, which is never set.
    pub steady_ms: u64,
    /// Time of day, in milliseconds since 1970 (UTC).
    pub wall_ms: u64,
}
