//! Amounts of what guarantees count.

use serde::{Deserialize, Serialize};

/// Sums of decimal amounts may be off by rounding.
const ROUNDING: f64 = 1e-6;

/// Amounts of CPUs and accelerators. Memory is neither guaranteed nor lent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// CPU cores.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl Amounts {
    /// Amounts of CPUs and accelerators.
    pub fn new(cpus: f64, gpus: f64) -> Amounts {
        Amounts { cpus, gpus }
    }

    /// The sum.
    #[must_use]
    pub fn plus(self, other: Amounts) -> Amounts {
        Amounts::new(self.cpus + other.cpus, self.gpus + other.gpus)
    }

    /// What is left without `other`; may be negative.
    #[must_use]
    pub fn minus(self, other: Amounts) -> Amounts {
        Amounts::new(self.cpus - other.cpus, self.gpus - other.gpus)
    }

    /// The same, and nothing where less than nothing would be left.
    #[must_use]
    pub fn beyond(self, other: Amounts) -> Amounts {
        let left = self.minus(other);
        Amounts::new(left.cpus.max(0.0), left.gpus.max(0.0))
    }

    /// So many times the amounts.
    #[must_use]
    pub fn times(self, factor: f64) -> Amounts {
        Amounts::new(self.cpus * factor, self.gpus * factor)
    }

    /// The lesser of each amount.
    #[must_use]
    pub fn least(self, other: Amounts) -> Amounts {
        Amounts::new(self.cpus.min(other.cpus), self.gpus.min(other.gpus))
    }

    /// Is every amount as large as in `other`, apart from rounding?
    pub fn covers(self, other: Amounts) -> bool {
        covers(self.cpus, other.cpus) && covers(self.gpus, other.gpus)
    }

    /// Is there as much as in `other` of what a task like `each` is counted by? Accelerators alone count
    /// where it takes any: its CPUs come with them.
    pub fn covers_for(self, other: Amounts, each: Amounts) -> bool {
        if is_some(each.gpus) { covers(self.gpus, other.gpus) } else { covers(self.cpus, other.cpus) }
    }

    /// Is there nothing of anything, apart from rounding?
    pub fn is_nothing(self) -> bool {
        self.cpus <= ROUNDING && self.gpus <= ROUNDING
    }
}

/// Is `amount` as large as `least`, apart from rounding?
pub(crate) fn covers(amount: f64, least: f64) -> bool {
    amount >= least - ROUNDING
}

/// Is there anything of it, apart from rounding?
pub(crate) fn is_some(amount: f64) -> bool {
    amount > ROUNDING
}
