//! Amounts of resources.

use serde::{Deserialize, Serialize};

/// Amounts that a task takes, or that a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Demand {
    /// CPU cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem: f64,
}

/// Amounts are decimal; sums of them may be off by rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Demand {
    /// Does it fit into `free`?
    pub fn fits(&self, free: &Demand) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.mem <= free.mem + ROUNDING_TOLERANCE
    }
    /// Adds `other`.
    pub fn add(&mut self, other: &Demand) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }
    /// Subtracts `other`; amounts may become negative.
    pub fn sub(&mut self, other: &Demand) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }
    /// The amounts of so many tasks.
    #[must_use]
    pub fn times(&self, tasks: f64) -> Demand {
        Demand { cpus: self.cpus * tasks, gpus: self.gpus * tasks, mem: self.mem * tasks }
    }
    /// The shares of `cap` that are left in `self`, for resources `cap` has.
    pub fn shares<'a>(&'a self, cap: &'a Demand) -> impl Iterator<Item = f64> + 'a {
        [(self.cpus, cap.cpus), (self.gpus, cap.gpus), (self.mem, cap.mem)]
            .into_iter()
            .filter(|(_, cap)| *cap > 0.0)
            .map(|(free, cap)| free / cap)
    }
    /// How many tasks of this demand fit in, as a whole number; infinite for one that takes nothing.
    pub fn tasks_that_fit(&self, demand: &Demand) -> f64 {
        self.shares(demand).fold(f64::INFINITY, f64::min).max(0.0).floor()
    }
}
