//! Charges of slots to teams, and the daily bills that sum them.

use crate::money::{MicroUnits, cost};
use crate::settings::{PoolName, TeamName};
use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Use of a slot that a team is charged for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChargeKind {
    /// Idle replica, charged to the pool's payer.
    Idle,
    /// Claimed replica, charged to the claimant's team.
    Claimed,
}

/// Charge for one interval of a slot's lifetime within one UTC day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// Day in UTC.
    pub day: Date,
    /// Team that pays.
    pub team: TeamName,
    /// Use that is charged.
    pub kind: ChargeKind,
    /// Length of the interval in milliseconds.
    pub duration_ms: u64,
    /// Amount that is charged.
    pub amount: MicroUnits,
    /// Whether the charge is an estimate: no report confirms that the slot existed during the whole
    /// interval.
    pub estimated: bool,
}

/// Total of a team's charges for the replicas of one pool on one UTC day.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DayTotal {
    /// Total time of idle replicas in milliseconds.
    #[serde(default)]
    pub idle_ms: u64,
    /// Cost of idle replicas in micro-units.
    #[serde(default)]
    pub idle_amount: MicroUnits,
    /// Total time of claimed replicas in milliseconds.
    #[serde(default)]
    pub claimed_ms: u64,
    /// Cost of claimed replicas in micro-units.
    #[serde(default)]
    pub claimed_amount: MicroUnits,
    /// Part of both times, in milliseconds, that was estimated and not observed.
    #[serde(default)]
    pub estimated_ms: u64,
}

impl DayTotal {
    /// Adds a charge to the totals.
    pub fn add(&mut self, charge: &Charge) {
        match charge.kind {
            ChargeKind::Idle => {
                self.idle_ms += charge.duration_ms;
                self.idle_amount += charge.amount;
            }
            ChargeKind::Claimed => {
                self.claimed_ms += charge.duration_ms;
                self.claimed_amount += charge.amount;
            }
        }
        if charge.estimated {
            self.estimated_ms += charge.duration_ms;
        }
    }
}

/// Bill of one team for one UTC day.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// Id of the commit that wrote the record.
    pub write: u64,
    /// Totals by pool.
    pub pools: BTreeMap<PoolName, DayTotal>,
}

/// Splits an interval of wall time, in milliseconds, at midnight UTC. Returns each day with the
/// milliseconds of the interval that are in it.
pub(crate) fn split_by_day(mut from_ms: u64, to_ms: u64) -> Vec<(Date, u64)> {
    let mut parts = Vec::new();
    while from_ms < to_ms {
        let (day, end_ms) = day_of(from_ms);
        let until_ms = to_ms.min(end_ms);
        parts.push((day, until_ms - from_ms));
        from_ms = until_ms;
    }
    parts
}

/// Returns the UTC day of a wall time in milliseconds, and the first millisecond after that day.
pub(crate) fn day_of(wall_ms: u64) -> (Date, u64) {
    let day = Timestamp::from_millisecond(wall_ms as i64).unwrap_or_default().to_zoned(TimeZone::UTC).date();
    let next = day.tomorrow().and_then(|next| next.to_zoned(TimeZone::UTC));
    let end_ms = next.ok().and_then(|next| u64::try_from(next.timestamp().as_millisecond()).ok());
    (day, end_ms.unwrap_or(u64::MAX))
}

/// Returns whether the text is a date such as `2026-12-02`.
pub fn is_day(text: &str) -> bool {
    text.parse::<Date>().is_ok_and(|day| day.to_string() == text)
}

/// Returns the UTC day of a wall time in milliseconds, with the day before and the day after. The
/// bills of these days may be written soon.
pub fn days_around(wall_ms: u64) -> Vec<Date> {
    let (day, _) = day_of(wall_ms);
    [day.yesterday().ok(), Some(day), day.tomorrow().ok()].into_iter().flatten().collect()
}

/// Returns the charges for an interval, one for each UTC day.
pub(crate) fn charges(
    team: &TeamName,
    kind: ChargeKind,
    price_per_hour: MicroUnits,
    interval_ms: (u64, u64),
    estimated: bool,
) -> Vec<Charge> {
    let charge = |(day, duration_ms)| Charge {
        day,
        team: team.clone(),
        kind,
        duration_ms,
        amount: cost(price_per_hour, duration_ms),
        estimated,
    };
    split_by_day(interval_ms.0, interval_ms.1).into_iter().map(charge).collect()
}
