//! Steady clock and wall clock. Leases and timeouts use only the steady clock; the wall clock is for deadlines of
//! jobs, which outlive a controller.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Bound on the drift between two steady clocks, as a fraction of the elapsed time.
pub const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Origin of the steady clock: the first reading in this process.
static FIRST_READING: OnceLock<std::time::Instant> = OnceLock::new();

/// Returns the time of the steady clock, in milliseconds since its first reading in this process.
pub fn now_ms() -> u64 {
    let first_reading = *FIRST_READING.get_or_init(std::time::Instant::now);
    Instant::now().into_std().saturating_duration_since(first_reading).as_millis() as u64
}

thread_local! {
    /// Simulated wall clock of the thread: its time in milliseconds, and the instant of the steady clock from which
    /// it advances, or `None` if it does not advance. `None` outside simulations.
    static SIMULATED_WALL_CLOCK: Cell<Option<(u64, Option<Instant>)>> = const { Cell::new(None) };
}

/// Sets the wall clock of this thread, in milliseconds since the Unix epoch, for a simulation. It advances with the
/// steady clock if `advances` is true, and does not advance otherwise.
pub fn simulate_wall(now_ms: u64, advances: bool) {
    SIMULATED_WALL_CLOCK.set(Some((now_ms, advances.then(Instant::now))));
}

/// Returns the time of the wall clock, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    if let Some((start_ms, start)) = SIMULATED_WALL_CLOCK.get() {
        return start_ms + start.map_or(0, |start| start.elapsed().as_millis() as u64);
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
