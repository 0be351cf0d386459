//! Pools of warm replicas: how many are wanted and when, the state of each, which job claims it,
//! and who pays. Pure: no I/O, no clock, no scheduler; times are passed in.
//!
//! An operator declares [`Model`]s and [`Pool`]s ([`PoolSettings`]). A [`Slot`] is one replica of
//! a pool on one machine: room that is held beside the model's image, or, on workers with the
//! extension for it, a model that is loaded. [`WarmPools`] keeps the slots, decides how many are
//! missing or too many, takes claims, and charges every moment of a slot's life to one team. What
//! it must remember is in records ([`SlotRecord`], [`BillRecord`]) that change together in one
//! [`RecordChanges`]: whoever runs the pools next begins with them.
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

pub use badgerdrift_common::{FieldError, Moment};
pub use bill::{BillRecord, Charge, DayTotal, Payment, days_around, is_day};
pub use calendar::{CalendarError, Schedule};
pub use check::KnownFleet;
pub use money::{MicroUnits, price_of};
pub use pools::{ClaimError, PoolEvent, PoolStatus, SlotPlace, WarmPools};
pub use records::{ClaimRecord, RecordChanges, RecordKey, RecordWrite, SlotRecord, StoredRecord, WriteId};
pub use settings::{
    Amounts, DateException, HoldKind, Model, ModelIdentity, ModelName, Pool, PoolName, PoolSettings, TeamName, Window,
};
pub use slot::{Claim, EndCause, Slot, SlotId, SlotState, Transition};
pub use wall_clock::AcceptedTime;
