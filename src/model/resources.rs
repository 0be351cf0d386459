//! Amounts of the resources that tasks use and machines have.

use serde::{Deserialize, Serialize};

/// Amounts of resources that a task uses, or that a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Demand {
    /// Number of CPU cores.
    pub cpus: f64,
    /// Number of accelerators.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem: f64,
}

/// Tolerance of comparisons: amounts are decimal fractions, so that their sums have rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Demand {
    /// Returns whether each amount is at most that of `free`, within the rounding tolerance.
    pub fn fits(&self, free: &Demand) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.mem <= free.mem + ROUNDING_TOLERANCE
    }
    /// Adds the amounts of `other` to these.
    pub fn add(&mut self, other: &Demand) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }
    /// Subtracts the amounts of `other` from these. The result may be negative.
    pub fn sub(&mut self, other: &Demand) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }
    /// Returns the amounts of `tasks` tasks of this demand.
    #[must_use]
    pub fn times(&self, tasks: f64) -> Demand {
        Demand { cpus: self.cpus * tasks, gpus: self.gpus * tasks, mem: self.mem * tasks }
    }
    /// Returns the ratio of each amount to that of `cap`, for the resources of which `cap` has more than 0.
    pub fn shares<'a>(&'a self, cap: &'a Demand) -> impl Iterator<Item = f64> + 'a {
        [(self.cpus, cap.cpus), (self.gpus, cap.gpus), (self.mem, cap.mem)]
            .into_iter()
            .filter(|(_, cap)| *cap > 0.0)
            .map(|(free, cap)| free / cap)
    }
    /// Returns the number of tasks of `demand` that fit into these amounts, rounded down; infinity if `demand`
    /// is zero.
    pub fn tasks_that_fit(&self, demand: &Demand) -> f64 {
        self.shares(demand).fold(f64::INFINITY, f64::min).max(0.0).floor()
    }
}
