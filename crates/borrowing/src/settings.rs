//! What the operators' file says of borrowing.

use crate::amounts::Amounts;
use crate::refusal::Refusal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Least first, so that the order of the values is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work for idle times.
    BestEffort,
    /// Ordinary work.
    Standard,
    /// Urgent work.
    Urgent,
    /// Work that serves users.
    Production,
}

/// Who lends to whom, and for how long.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BorrowingSettings {
    /// A job that gave way is passed over for so many seconds, while others can give.
    #[serde(default = "default_quiet_s")]
    pub quiet_s: f64,
    /// A borrower's need has to be gone for so many seconds before a loan is returned.
    #[serde(default = "default_return_after_s")]
    pub return_after_s: f64,
    /// The teams that lend, by name.
    #[serde(default, rename = "lender")]
    pub lenders: BTreeMap<String, Lender>,
    /// The teams that borrow, by name.
    #[serde(default, rename = "borrower")]
    pub borrowers: BTreeMap<String, Borrower>,
}

/// An hour.
fn default_quiet_s() -> f64 {
    3600.0
}

fn default_return_after_s() -> f64 {
    30.0
}

/// A team that lends what it uses beyond its floor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lender {
    /// The teams that it lends to.
    pub to: Vec<String>,
    /// Its work of this priority or less may give way.
    pub up_to: Priority,
    /// Most accelerators that it lends at a time.
    #[serde(default)]
    pub most_gpus: Option<f64>,
    /// The same as a part of its guarantee, from 0 to 1.
    #[serde(default)]
    pub most_share: Option<f64>,
}

/// A team that borrows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Borrower {
    /// It borrows for its work of this priority or more.
    pub from: Priority,
}

impl BorrowingSettings {
    /// Checks that the lender's work of one priority may be preempted for the borrower's work of another.
    ///
    /// # Errors
    ///
    /// Why no loan is possible between them.
    pub fn permits(&self, lender: &str, gives: Priority, borrower: &str, takes: Priority) -> Result<(), Refusal> {
        if self.borrowers.get(borrower).is_none_or(|team| takes < team.from) {
            return Err(Refusal::NotABorrower);
        }
        let lends = |team: &Lender| gives <= team.up_to && team.to.iter().any(|to| to == borrower);
        if self.lenders.get(lender).is_some_and(lends) { Ok(()) } else { Err(Refusal::NotALender) }
    }

    /// Most accelerators that a team with this guarantee lends; infinite where there is no bound.
    pub fn most_gpus(&self, lender: &str, guarantee: Amounts) -> f64 {
        let Some(team) = self.lenders.get(lender) else { return 0.0 };
        let by_share = team.most_share.map(|share| share * guarantee.gpus);
        [team.most_gpus, by_share].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }
}
