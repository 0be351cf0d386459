//! Amounts of money and prices of replicas.

use crate::settings::Amounts;

/// Amount of money in millionths of the cloud's currency unit.
pub type MicroUnits = u64;

/// Number of micro-units in one currency unit.
const MICRO_UNITS_PER_UNIT: f64 = 1e6;
/// Number of milliseconds in one hour.
const MS_PER_HOUR: f64 = 3_600_000.0;

/// Returns the price per hour of a replica: the larger of its shares of the machine's cores and
/// accelerators, at most 1, times the machine's price.
pub fn price_of(replica: &Amounts, machine: &Amounts, machine_price_per_hour: f64) -> MicroUnits {
    let share_of = |used: f64, total: f64| if total > 0.0 { used / total } else { 0.0 };
    let share = share_of(replica.cores, machine.cores).max(share_of(replica.cards, machine.cards)).min(1.0);
    (share * machine_price_per_hour * MICRO_UNITS_PER_UNIT).round() as MicroUnits
}

/// Returns the cost of a duration, in milliseconds, at a price per hour.
pub(crate) fn cost(price_per_hour: MicroUnits, duration_ms: u64) -> MicroUnits {
    (price_per_hour as f64 * duration_ms as f64 / MS_PER_HOUR).round() as MicroUnits
}

/// Converts an amount in currency units, as in the settings, to micro-units.
pub(crate) fn to_micro_units(amount: f64) -> MicroUnits {
    (amount * MICRO_UNITS_PER_UNIT).round() as MicroUnits
}
