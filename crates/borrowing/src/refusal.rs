//! Why work of another team is not stopped.

use serde::{Deserialize, Serialize};

/// Why work of another team is not stopped for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The job's team is no borrower, or its work is not urgent enough for that.
    NotABorrower,
    /// The other team does not lend to this one, or not such urgent work.
    NotALender,
    /// The other team would be below its floor.
    LenderAtFloor,
    /// The other team lends as much as it may.
    LendsItsMost,
    /// No loan can be recorded: the state service does not answer.
    NotRecordable,
    /// After a failover, machines of the last leader are not accounted for yet.
    MachinesUnaccounted,
}

impl Refusal {
    /// Its name in logs and figures.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::NotABorrower => "not_a_borrower",
            Refusal::NotALender => "not_a_lender",
            Refusal::LenderAtFloor => "lender_at_floor",
            Refusal::LendsItsMost => "lends_its_most",
            Refusal::NotRecordable => "not_recordable",
            Refusal::MachinesUnaccounted => "machines_unaccounted",
        }
    }
}
