//! Loans between teams, as a scheduling cycle sees them.

use super::{Demand, JobIndex};
use badgerdrift_borrowing::{Amounts, BorrowingSettings, Priority, Refusal};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// Loans between teams, as a scheduling cycle sees them; absent without borrowing.
#[derive(Debug, Clone)]
pub struct BorrowingState {
    /// Who lends to whom.
    pub settings: Arc<BorrowingSettings>,
    /// Why no loan is possible at all now, if so.
    pub closed: Option<Refusal>,
    /// What each team's jobs could use now.
    pub runnable: BTreeMap<String, Amounts>,
    /// What each team lends.
    pub lent: BTreeMap<String, Amounts>,
    /// What is owed, by lender and borrower.
    pub owed: BTreeMap<(String, String), Amounts>,
    /// Jobs that were preempted for a loan lately: others are preempted before them.
    pub quiet: HashSet<JobIndex>,
    /// Capacity is reserved for whole teams, so that one job may fit where a like one of another team
    /// does not.
    pub reserves_for_teams: bool,
    /// How many tasks of a job are placed first, as their capacity is being returned.
    pub returning: HashMap<JobIndex, u32>,
}

/// The part of a demand that guarantees count.
impl From<Demand> for Amounts {
    fn from(demand: Demand) -> Amounts {
        Amounts::new(demand.cpus, demand.gpus)
    }
}

/// An urgency as borrowing calls it.
impl From<super::Urgency> for Priority {
    fn from(urgency: super::Urgency) -> Priority {
        match urgency {
            super::Urgency::Low => Priority::BestEffort,
            super::Urgency::Normal => Priority::Standard,
            super::Urgency::High => Priority::Urgent,
            super::Urgency::Production => Priority::Production,
        }
    }
}
