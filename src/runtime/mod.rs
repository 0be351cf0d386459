//! What every part of a controller runs on: clocks, tasks, locks and metrics.

pub mod clock;
pub mod metrics;
pub mod sync;
pub mod task;
