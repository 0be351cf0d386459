//! Pools of warm replicas: how many are wanted and when, the state of each, which job claims it,
//! and which team pays. The crate does no I/O, reads no clock and does no scheduling; times are
//! passed in.
//!
//! An operator declares [`Model`]s and [`Pool`]s in [`PoolSettings`]. A [`Slot`] is one replica of
//! a pool on one machine: either capacity that is reserved on a machine for the model's image, or,
//! on workers with the model-loading extension, a loaded model. [`WarmPools`] keeps the slots,
//! determines how many are missing or surplus, accepts claims, and charges each interval of a
//! slot's lifetime to exactly one team. The state that has to survive a failover is in records
//! ([`SlotRecord`], [`BillRecord`]) that change together in one [`RecordChanges`]. The next leader
//! restores the pools from these records.
#![warn(missing_docs)]

mod bill;
mod calendar;
mod check;
mod money;
mod pools;
mod records;
mod settings;
mod slot;
mod targets;
mod wall_clock;

pub use badgerdrift_common::{ClockReading, FieldError};
pub use bill::{BillRecord, Charge, ChargeKind, DayTotal, days_around, is_day};
pub use calendar::{CalendarError, Schedule};
pub use check::KnownFleet;
pub use money::{MicroUnits, price_of};
pub use pools::{ClaimError, PoolEvent, PoolStatus, SlotPlace, WarmPools};
pub use records::{ClaimRecord, RecordChanges, RecordKey, RecordWrite, SlotRecord, StoredRecord, WriteId};
pub use settings::{
    Amounts, DateException, HoldKind, Model, ModelIdentity, ModelName, Pool, PoolName, PoolSettings, TeamName, Window,
};
pub use slot::{Claim, EndCause, Slot, SlotId, SlotState, Transition};
pub use wall_clock::WallClockFilter;
