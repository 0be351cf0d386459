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
    /// Adds `d`.
    pub fn add(&mut self, d: &Demand) {
        self.cpus += d.cpus;
        self.gpus += d.gpus;
        self.mem += d.mem;
    }
    /// Subtracts `d`.
    pub fn sub(&mut self, d: &Demand) {
        self.cpus -= d.cpus;
        self.gpus -= d.gpus;
        self.mem -= d.mem;
    }
    /// The amounts of `n` tasks.
    pub fn times(&self, n: f64) -> Demand {
        Demand { cpus: self.cpus * n, gpus: self.gpus * n, mem: self.mem * n }
    }
    /// The shares of `cap` that are left in `self`, for resources `cap` has.
    pub fn shares<'a>(&'a self, cap: &'a Demand) -> impl Iterator<Item = f64> + 'a {
        [(self.cpus, cap.cpus), (self.gpus, cap.gpus), (self.mem, cap.mem)]
            .into_iter()
            .filter(|(_, c)| *c > 0.0)
            .map(|(f, c)| f / c)
    }
    /// How many tasks like `d` fit in.
    pub fn slots(&self, d: &Demand) -> f64 {
        self.shares(d).fold(f64::INFINITY, f64::min).max(0.0).floor()
    }
}
