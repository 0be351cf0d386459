//! Amounts of money.

use crate::settings::Amounts;

/// Millionths of the currency in which the cloud charges.
pub type MicroUnits = u64;

/// Micro-units in a unit.
const MICRO: f64 = 1e6;
/// Milliseconds in an hour.
const HOUR_MS: f64 = 3_600_000.0;

/// What a replica costs in an hour: the larger of its shares of the machine's cores and
/// accelerators, times the machine's price.
pub fn price_of(replica: &Amounts, machine: &Amounts, machine_price_per_hour: f64) -> MicroUnits {
    let share = |taken: f64, of: f64| if of > 0.0 { taken / of } else { 0.0 };
    let share = share(replica.cores, machine.cores).max(share(replica.cards, machine.cards)).min(1.0);
    (share * machine_price_per_hour * MICRO).round() as MicroUnits
}

/// What so many milliseconds cost at a price an hour.
pub(crate) fn cost(price_per_hour: MicroUnits, duration_ms: u64) -> MicroUnits {
    (price_per_hour as f64 * duration_ms as f64 / HOUR_MS).round() as MicroUnits
}

/// An operator's amount in micro-units.
pub(crate) fn micro(amount: f64) -> MicroUnits {
    (amount * MICRO).round() as MicroUnits
}
