//! Clocks. Leases and timeouts are measured on the steady clock alone; the time of day serves for
//! deadlines of jobs, which outlive a controller.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Bound on the drift of two steady clocks against each other, as a share of the time between.
pub const DRIFT: f64 = 0.001;

static PROCESS_START: OnceLock<std::time::Instant> = OnceLock::new();

/// Milliseconds on the steady clock since the process began.
pub fn now_ms() -> u64 {
    let process_start = *PROCESS_START.get_or_init(std::time::Instant::now);
    Instant::now().into_std().saturating_duration_since(process_start).as_millis() as u64
}

thread_local! {
    /// In a simulation: the time of day in milliseconds, and the instant of the steady clock from
    /// which it advances with that; `None` while it stands still.
    static SIMULATED_WALL_CLOCK: Cell<Option<(u64, Option<Instant>)>> = const { Cell::new(None) };
}

/// For simulations: sets the time of day of this thread, in milliseconds; it advances with the
/// steady clock or stands still.
pub fn simulate_wall(now_ms: u64, advances: bool) {
    SIMULATED_WALL_CLOCK.set(Some((now_ms, advances.then(Instant::now))));
}

/// Milliseconds of the time of day.
pub fn wall_ms() -> u64 {
    if let Some((start_ms, start)) = SIMULATED_WALL_CLOCK.get() {
        return start_ms + start.map_or(0, |start| start.elapsed().as_millis() as u64);
    }
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
