//! A time of day that a step of the clock does not move.

/// A time of day that runs further from a steady clock than this has stepped.
const STEP_MS: u64 = 5_000;
/// A step counts once the clock has stayed there for so long.
const SETTLE_MS: u64 = 15 * 60 * 1000;

/// The time of day that targets are chosen by. It follows the steady clock; a step of the wall
/// clock counts only once it has lasted, so that one that is soon put right empties no pool.
#[derive(Debug, Clone, Default)]
pub struct AcceptedTime {
    /// Wall time less steady time, as it is reckoned with.
    offset_ms: Option<i64>,
    /// An offset that differs, and the steady time since which it has.
    stepped: Option<(i64, u64)>,
}

impl AcceptedTime {
    /// The time of day to reckon with.
    pub fn at(&mut self, steady_ms: u64, wall_ms: u64) -> u64 {
        let seen = wall_ms as i64 - steady_ms as i64;
        let accepted = *self.offset_ms.get_or_insert(seen);
        if seen.abs_diff(accepted) <= STEP_MS {
            self.stepped = None;
            self.offset_ms = Some(seen);
            return wall_ms;
        }
        let since_ms = match self.stepped {
            Some((offset, since_ms)) if offset.abs_diff(seen) <= STEP_MS => since_ms,
            _ => steady_ms,
        };
        self.stepped = Some((seen, since_ms));
        if steady_ms >= since_ms + SETTLE_MS {
            self.offset_ms = Some(seen);
            self.stepped = None;
            return wall_ms;
        }
        u64::try_from(steady_ms as i64 + accepted).unwrap_or(0)
    }
}
