//! A wall time that ignores short-lived steps of the wall clock.

/// Change of the offset between the wall clock and the steady clock, in milliseconds, above which it
/// counts as a step.
const STEP_THRESHOLD_MS: u64 = 5_000;
/// Time, in milliseconds, for which a step has to last before it is accepted.
const STEP_ACCEPTANCE_MS: u64 = 15 * 60 * 1000;

/// Filter of the wall clock, whose result determines the targets of pools. It follows changes of the
/// offset up to `STEP_THRESHOLD_MS` at once, and a larger step only after the step has lasted for
/// `STEP_ACCEPTANCE_MS`. A step that is corrected earlier therefore drains no pool.
#[derive(Debug, Clone, Default)]
pub struct WallClockFilter {
    /// Accepted offset of the wall time from the steady time, in milliseconds; `None` before the first reading.
    offset_ms: Option<i64>,
    /// Offset after a step that is not accepted yet, and the steady time at which it was first
    /// observed, both in milliseconds; `None` if there is no such step.
    pending_step: Option<(i64, u64)>,
}

impl WallClockFilter {
    /// Records these readings of both clocks and returns the accepted wall time, all in milliseconds.
    pub fn accept_reading(&mut self, steady_ms: u64, wall_ms: u64) -> u64 {
        let observed = wall_ms as i64 - steady_ms as i64;
        let accepted = *self.offset_ms.get_or_insert(observed);
        if observed.abs_diff(accepted) <= STEP_THRESHOLD_MS {
            self.pending_step = None;
            self.offset_ms = Some(observed);
            return wall_ms;
        }
        let since_ms = match self.pending_step {
            Some((offset, since_ms)) if offset.abs_diff(observed) <= STEP_THRESHOLD_MS => since_ms,
            _ => steady_ms,
        };
        self.pending_step = Some((observed, since_ms));
        if steady_ms >= since_ms + STEP_ACCEPTANCE_MS {
            self.offset_ms = Some(observed);
            self.pending_step = None;
            return wall_ms;
        }
        u64::try_from(steady_ms as i64 + accepted).unwrap_or(0)
    }
}
