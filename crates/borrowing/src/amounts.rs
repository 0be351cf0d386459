//! Amounts of the resources that guarantees and loans are stated in.

use serde::{Deserialize, Serialize};

/// Difference below which two amounts count as equal: sums of decimal fractions carry rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Amounts of CPU cores and accelerators. Memory is neither guaranteed nor lent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// Number of CPU cores.
    pub cpus: f64,
    /// Number of accelerators.
    pub gpus: f64,
}

impl Amounts {
    /// Creates amounts of CPU cores and accelerators.
    pub fn new(cpus: f64, gpus: f64) -> Amounts {
        Amounts { cpus, gpus }
    }

    /// Returns the sum of both amounts, resource by resource.
    #[must_use]
    pub fn sum_with(self, other: Amounts) -> Amounts {
        Amounts::new(self.cpus + other.cpus, self.gpus + other.gpus)
    }

    /// Returns these amounts less `other`, resource by resource. A result may be negative.
    #[must_use]
    pub fn minus(self, other: Amounts) -> Amounts {
        Amounts::new(self.cpus - other.cpus, self.gpus - other.gpus)
    }

    /// Returns these amounts less `other`, with 0 in place of a negative result.
    #[must_use]
    pub fn saturating_sub(self, other: Amounts) -> Amounts {
        let left = self.minus(other);
        Amounts::new(left.cpus.max(0.0), left.gpus.max(0.0))
    }

    /// Returns the amounts multiplied by `factor`.
    #[must_use]
    pub fn times(self, factor: f64) -> Amounts {
        Amounts::new(self.cpus * factor, self.gpus * factor)
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Amounts) -> Amounts {
        Amounts::new(self.cpus.min(other.cpus), self.gpus.min(other.gpus))
    }

    /// Returns whether every amount is at least the one in `other`, apart from rounding.
    pub fn covers(self, other: Amounts) -> bool {
        covers(self.cpus, other.cpus) && covers(self.gpus, other.gpus)
    }

    /// Returns whether these amounts are at least `other` in the resource that decides for a task which
    /// takes `each`. For a task with accelerators only accelerators are compared, as its CPU cores come
    /// with them; for any other task only CPU cores.
    pub fn covers_task(self, other: Amounts, each: Amounts) -> bool {
        if exceeds_rounding(each.gpus) { covers(self.gpus, other.gpus) } else { covers(self.cpus, other.cpus) }
    }

    /// Returns whether both amounts are at most 0, apart from rounding.
    pub fn is_zero(self) -> bool {
        self.cpus <= ROUNDING_TOLERANCE && self.gpus <= ROUNDING_TOLERANCE
    }
}

/// Returns whether `amount` is at least `least`, apart from rounding.
pub(crate) fn covers(amount: f64, least: f64) -> bool {
    amount >= least - ROUNDING_TOLERANCE
}

/// Returns whether `amount` is above 0 by more than rounding.
pub(crate) fn exceeds_rounding(amount: f64) -> bool {
    amount > ROUNDING_TOLERANCE
}
