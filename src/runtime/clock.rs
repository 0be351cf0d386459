//! Clocks. Safety counts on the steady clock only; the time of day serves for
//! deadlines, which outlive a controller.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Bound on the drift of a steady clock, twice over: ours and the other's.
pub const DRIFT: f64 = 0.001;

static BASE: OnceLock<std::time::Instant> = OnceLock::new();

/// Milliseconds on the steady clock since the process began.
pub fn now_ms() -> u64 {
    let base = *BASE.get_or_init(std::time::Instant::now);
    Instant::now().into_std().saturating_duration_since(base).as_millis() as u64
}

thread_local! {
    /// The time of day, and the instant of the steady clock from which it goes on with that,
    /// in a simulation.
    static SIMULATED: Cell<Option<(u64, Option<Instant>)>> = const { Cell::new(None) };
}

/// For simulations: on this thread the time of day is now so many milliseconds, and goes
/// on with the steady clock or stands still.
pub fn simulate_wall(now_ms: u64, goes_on: bool) {
    SIMULATED.set(Some((now_ms, goes_on.then(Instant::now))));
}

/// Milliseconds of the time of day.
pub fn wall_ms() -> u64 {
    if let Some((start_ms, start)) = SIMULATED.get() {
        return start_ms + start.map_or(0, |start| start.elapsed().as_millis() as u64);
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
