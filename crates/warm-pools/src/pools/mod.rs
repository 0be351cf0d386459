//! All pools of one leader: their slots, and what follows from the time, from reports and claims.

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
use badgerdrift_common::Moment;
use jiff::civil::Date;
use std::collections::{BTreeMap, BTreeSet};
use writes::{BillVersion, InFlight};

/// The pools of one leader.
#[derive(Debug, Clone)]
pub struct WarmPools {
    settings: PoolSettings,
    targets: Targets,
    slots: BTreeMap<SlotId, Slot>,
    /// Bills as recorded, of the days that charges are about.
    bills: BTreeMap<(Date, TeamName), BillVersion>,
    /// When this leader began: charges are told by the steady clock from then on, so that a step
    /// of the time of day neither charges twice nor leaves a gap.
    began: Moment,
    /// How long replicas took until they were warm, lately, by pool.
    load_ms: BTreeMap<String, u64>,
    /// Changes of slots' states since they were last taken.
    transitions: Vec<Transition>,
    in_flight: Option<InFlight>,
    /// Commits without an answer that may be made yet.
    unresolved: Vec<InFlight>,
    /// Slots whose changes have to be in the next commit, so that none of these can be made later.
    retried: BTreeSet<SlotId>,
}

impl WarmPools {
    /// Pools without slots; the settings were checked.
    pub fn new(settings: PoolSettings, now: Moment) -> WarmPools {
        WarmPools {
            targets: Targets::new(&settings),
            settings,
            slots: BTreeMap::new(),
            bills: BTreeMap::new(),
            began: now,
            load_ms: BTreeMap::new(),
            transitions: Vec::new(),
            in_flight: None,
            unresolved: Vec::new(),
            retried: BTreeSet::new(),
        }
    }

    /// What was declared.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Changes of slots' states since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// All slots, those included that are ended and still recorded.
    pub fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values()
    }

    /// The slot of this number.
    pub fn slot(&self, id: SlotId) -> Option<&Slot> {
        self.slots.get(&id)
    }

    /// The recorded bill of a team for a day, as far as this leader knows it.
    pub fn bill(&self, day: Date, team: &str) -> Option<&BillRecord> {
        self.bills.get(&(day, team.to_string())).map(|bill| &bill.record)
    }
}
