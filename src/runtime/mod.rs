//! Runtime facilities shared by all modules of a controller: clocks, tasks, locks and metrics.

pub mod clock;
pub mod metrics;
pub mod sync;
pub mod task;
