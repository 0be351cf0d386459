//! All pools of one leader: their slots, and the changes caused by time, reports and claims.

mod charging;
mod claims;
mod lifecycle;
mod restore;
mod status;
mod writes;

pub use claims::ClaimError;
pub use lifecycle::SlotPlace;
pub use status::PoolStatus;
pub use writes::PoolEvent;

use crate::bill::BillRecord;
use crate::settings::{PoolSettings, TeamName};
use crate::slot::{Slot, SlotId, Transition};
use crate::targets::Targets;
use badgerdrift_common::ClockReading;
use jiff::civil::Date;
use std::collections::{BTreeMap, BTreeSet};
use writes::{PoolCommit, VersionedBill};

/// Pools of one leader, with their slots and bills.
#[derive(Debug, Clone)]
pub struct WarmPools {
    settings: PoolSettings,
    targets: Targets,
    slots: BTreeMap<SlotId, Slot>,
    /// Recorded bills of the days for which there are charges.
    bills: BTreeMap<(Date, TeamName), VersionedBill>,
    /// Time at which this leader started. Billing time advances with the steady clock from then on,
    /// so that a step of the wall clock neither charges an interval twice nor leaves a gap.
    started_at: ClockReading,
    /// Time, in milliseconds, that the replica that became warm last in each pool took to load.
    last_load_ms: BTreeMap<String, u64>,
    /// State changes of slots since the last call of [`WarmPools::take_transitions`].
    transitions: Vec<Transition>,
    /// Commit whose outcome is awaited.
    in_flight: Option<PoolCommit>,
    /// Commits without an answer, which may still be carried out.
    unresolved: Vec<PoolCommit>,
    /// Slots that the next commit has to write, so that no unresolved commit can be carried out
    /// after it.
    must_rewrite: BTreeSet<SlotId>,
}

impl WarmPools {
    /// Creates pools without slots. The settings must have passed [`PoolSettings::check`].
    pub fn new(settings: PoolSettings, now: ClockReading) -> WarmPools {
        WarmPools {
            targets: Targets::new(&settings),
            settings,
            slots: BTreeMap::new(),
            bills: BTreeMap::new(),
            started_at: now,
            last_load_ms: BTreeMap::new(),
            transitions: Vec::new(),
            in_flight: None,
            unresolved: Vec::new(),
            must_rewrite: BTreeSet::new(),
        }
    }

    /// Returns the declared settings.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Takes the state changes of slots since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Returns all slots, including those that have ended and are still recorded.
    pub fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values()
    }

    /// Returns the slot with this number, or `None` if there is none.
    pub fn slot(&self, id: SlotId) -> Option<&Slot> {
        self.slots.get(&id)
    }

    /// Returns the recorded bill of a team for a UTC day, or `None` if this leader has neither read
    /// nor written one.
    pub fn bill(&self, day: Date, team: &str) -> Option<&BillRecord> {
        self.bills.get(&(day, team.to_string())).map(|bill| &bill.record)
    }
}
