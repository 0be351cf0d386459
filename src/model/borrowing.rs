//! Loans of capacity between teams: the input of a scheduling cycle.

use super::{Demand, JobIndex};
use badgerdrift_borrowing::{Amounts, BorrowingSettings, Priority, Refusal};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// State of the loans between teams, as a scheduling cycle reads it. It is absent if borrowing is disabled.
#[derive(Debug, Clone)]
pub struct BorrowingState {
    /// Settings of borrowing, among them which team may lend to which.
    pub settings: Arc<BorrowingSettings>,
    /// Reason why no loan can be made at present; `None` if loans can be made.
    pub refusal: Option<Refusal>,
    /// Amounts that the runnable jobs of each team could use now, by team.
    pub runnable: BTreeMap<String, Amounts>,
    /// Amounts that each team lends to others, by lender.
    pub lent_by_team: BTreeMap<String, Amounts>,
    /// Amounts of the outstanding loans, by lender and borrower.
    pub owed_by_pair: BTreeMap<(String, String), Amounts>,
    /// Jobs that were recently preempted for a loan; other jobs are preempted before them.
    pub recently_preempted: HashSet<JobIndex>,
    /// True if capacity is reserved for whole teams. A job may then fit where a job of another team with
    /// the same requirements does not.
    pub reserves_for_teams: bool,
    /// Number of tasks, by job, that are placed first because lent capacity is being returned to them.
    pub returning_tasks: HashMap<JobIndex, u32>,
}

/// Converts a demand into the amounts that team guarantees cover: CPU cores and accelerators.
impl From<Demand> for Amounts {
    fn from(demand: Demand) -> Amounts {
        Amounts::new(demand.cpus, demand.gpus)
    }
}

/// Converts an urgency into the corresponding priority of the borrowing crate.
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
