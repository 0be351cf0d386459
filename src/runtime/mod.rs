//! What every part of a controller runs on: clocks, tasks and metrics.

pub mod clock;
pub mod metrics;
pub mod task;
