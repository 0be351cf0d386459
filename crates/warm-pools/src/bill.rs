//! Who pays for which part of a slot's life.

use crate::money::{MicroUnits, cost};
use crate::settings::{PoolName, TeamName};
use jiff::Timestamp;
use jiff::civil::Date;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a team pays for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Payment {
    /// A replica of its pool that nobody uses.
    Idle,
    /// A replica that its task has claimed.
    Claimed,
}

/// A closed interval of a slot's life, of one day.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Charge {
    /// The day (UTC).
    pub day: Date,
    /// The team that pays.
    pub team: TeamName,
    /// What for.
    pub payment: Payment,
    /// How long it is, in milliseconds.
    pub duration_ms: u64,
    /// What it costs.
    pub amount: MicroUnits,
    /// Nobody has observed that the slot was there all the time.
    pub estimated: bool,
}

/// What a team pays for the replicas of one pool on one day.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DayTotal {
    /// Milliseconds of idle replicas.
    #[serde(default)]
    pub idle_ms: u64,
    /// What they cost, in micro-units.
    #[serde(default)]
    pub idle_amount: MicroUnits,
    /// Milliseconds of claimed replicas.
    #[serde(default)]
    pub claimed_ms: u64,
    /// What they cost, in micro-units.
    #[serde(default)]
    pub claimed_amount: MicroUnits,
    /// The part of both durations that was not observed.
    #[serde(default)]
    pub estimated_ms: u64,
}

impl DayTotal {
    /// Adds a charge.
    pub fn add(&mut self, charge: &Charge) {
        match charge.payment {
            Payment::Idle => {
                self.idle_ms += charge.duration_ms;
                self.idle_amount += charge.amount;
            }
            Payment::Claimed => {
                self.claimed_ms += charge.duration_ms;
                self.claimed_amount += charge.amount;
            }
        }
        if charge.estimated {
            self.estimated_ms += charge.duration_ms;
        }
    }
}

/// What a team pays on one day, by pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// The write that made it so.
    pub write: u64,
    /// Totals by pool.
    pub pools: BTreeMap<PoolName, DayTotal>,
}

/// The parts of an interval, in wall time, by day.
pub(crate) fn parts_by_day(mut from_ms: u64, to_ms: u64) -> Vec<(Date, u64)> {
    let mut parts = Vec::new();
    while from_ms < to_ms {
        let (day, end_ms) = day_of(from_ms);
        let until_ms = to_ms.min(end_ms);
        parts.push((day, until_ms - from_ms));
        from_ms = until_ms;
    }
    parts
}

/// The day of a wall time, and the first millisecond after it.
pub(crate) fn day_of(wall_ms: u64) -> (Date, u64) {
    let day = Timestamp::from_millisecond(wall_ms as i64).unwrap_or_default().to_zoned(TimeZone::UTC).date();
    let next = day.tomorrow().and_then(|next| next.to_zoned(TimeZone::UTC));
    let end_ms = next.ok().and_then(|next| u64::try_from(next.timestamp().as_millisecond()).ok());
    (day, end_ms.unwrap_or(u64::MAX))
}

/// Is it a day, as `2026-12-02`?
pub fn is_day(text: &str) -> bool {
    text.parse::<Date>().is_ok_and(|day| day.to_string() == text)
}

/// The day before a wall time, its own and the next one: bills of these may be written soon.
pub fn days_around(wall_ms: u64) -> Vec<Date> {
    let (day, _) = day_of(wall_ms);
    [day.yesterday().ok(), Some(day), day.tomorrow().ok()].into_iter().flatten().collect()
}

/// The charges of an interval, one for each day.
pub(crate) fn charges(
    team: &TeamName,
    payment: Payment,
    price_per_hour: MicroUnits,
    interval_ms: (u64, u64),
    estimated: bool,
) -> Vec<Charge> {
    let charge = |(day, duration_ms)| Charge {
        day,
        team: team.clone(),
        payment,
        duration_ms,
        amount: cost(price_per_hour, duration_ms),
        estimated,
    };
    parts_by_day(interval_ms.0, interval_ms.1).into_iter().map(charge).collect()
}
