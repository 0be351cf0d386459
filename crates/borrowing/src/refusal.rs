//! Reasons for which no work of another team is stopped.

use serde::{Deserialize, Serialize};

/// Reason for which no work of another team is stopped for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The job's team does not borrow, or not for work of the job's priority.
    NotABorrower,
    /// The other team does not lend to the job's team, or its work has too high a priority to be stopped.
    NotALender,
    /// The stop would leave the other team below its floor.
    LenderAtFloor,
    /// The other team already lends as much as its settings allow.
    #[serde(rename = "lends_its_most")]
    LenderAtLimit,
    /// The loan cannot be recorded, as the state service does not answer.
    NotRecordable,
    /// Machines of the previous leader are not accounted for yet after a failover.
    MachinesUnaccounted,
}

impl Refusal {
    /// Returns the name that logs and metrics use.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::NotABorrower => "not_a_borrower",
            Refusal::NotALender => "not_a_lender",
            Refusal::LenderAtFloor => "lender_at_floor",
            Refusal::LenderAtLimit => "lends_its_most",
            Refusal::NotRecordable => "not_recordable",
            Refusal::MachinesUnaccounted => "machines_unaccounted",
        }
    }
}
