//! Rate at which attempts are listed in heartbeats, which determines the cost of tracking them.

use crate::settings::bounds::{AttemptBounds, MAX_ENTRIES_PER_S};

/// Number of heartbeat intervals over which a rate is measured.
const RATE_WINDOW_HEARTBEATS: u64 = 3;
const MS_PER_S: f64 = 1000.0;

/// Counter of the entries that heartbeats list for attempts.
#[derive(Debug)]
pub(super) struct HeartbeatLoad {
    /// Interval between heartbeats, in milliseconds.
    heartbeat_interval_ms: u64,
    /// Instant, in milliseconds of the monotonic clock, at which the current window started.
    window_start_ms: u64,
    /// Entries listed since the start of the window.
    entries: u64,
    /// Entries per attempt and second in the last window.
    entries_per_attempt_s: f64,
}

impl HeartbeatLoad {
    /// Returns a counter without measurements for workers that send a heartbeat every
    /// `heartbeat_interval_ms`.
    pub(super) fn new(heartbeat_interval_ms: u64) -> HeartbeatLoad {
        HeartbeatLoad {
            heartbeat_interval_ms: heartbeat_interval_ms.max(1),
            window_start_ms: 0,
            entries: 0,
            entries_per_attempt_s: MAX_ENTRIES_PER_S,
        }
    }

    /// Counts a heartbeat that lists this many attempts.
    pub(super) fn record(&mut self, entries: usize) {
        self.entries += entries as u64;
    }

    /// Returns the maximum number of attempts that the leader can track. `attempts` is the current
    /// number, `now` is in milliseconds.
    pub(super) fn max_attempts(&mut self, bounds: &AttemptBounds, attempts: usize, now: u64) -> usize {
        let window_ms = now.saturating_sub(self.window_start_ms);
        if window_ms >= RATE_WINDOW_HEARTBEATS * self.heartbeat_interval_ms {
            self.measure(attempts, window_ms);
            self.window_start_ms = now;
            self.entries = 0;
        }
        bounds.max_attempts(self.entries_per_attempt_s)
    }

    /// Updates the rate from the entries of the last window. Each attempt is listed at least once per
    /// heartbeat interval, so the rate does not fall below that even if no heartbeat came.
    fn measure(&mut self, attempts: usize, window_ms: u64) {
        let min_rate = MS_PER_S / self.heartbeat_interval_ms as f64;
        let entries_per_s = self.entries as f64 * MS_PER_S / window_ms as f64;
        let rate = entries_per_s / attempts.max(1) as f64;
        self.entries_per_attempt_s = rate.max(min_rate).min(MAX_ENTRIES_PER_S);
    }
}
