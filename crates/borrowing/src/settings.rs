//! Settings of the operators' borrowing file.

use crate::amounts::Amounts;
use crate::refusal::Refusal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Priority of work. The variants stand in ascending order, which the derived comparison relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that runs on capacity that is otherwise idle.
    BestEffort,
    /// Ordinary work.
    Standard,
    /// Urgent work.
    Urgent,
    /// Work that serves users.
    Production,
}

/// Teams that lend and borrow, and the times that apply to loans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BorrowingSettings {
    /// Seconds for which a job whose tasks were stopped is spared, as long as other jobs can be stopped.
    #[serde(default = "default_quiet_s")]
    pub quiet_s: f64,
    /// Seconds for which a borrower must have no need of a loan before the loan is returned.
    #[serde(default = "default_return_after_s")]
    pub return_after_s: f64,
    /// Teams that lend, by name.
    #[serde(default, rename = "lender")]
    pub lenders: BTreeMap<String, Lender>,
    /// Teams that borrow, by name.
    #[serde(default, rename = "borrower")]
    pub borrowers: BTreeMap<String, Borrower>,
}

/// Returns the default of `quiet_s`: one hour.
fn default_quiet_s() -> f64 {
    3600.0
}

/// Returns the default of `return_after_s`, in seconds.
fn default_return_after_s() -> f64 {
    30.0
}

/// Settings of a team that lends the capacity it uses beyond its floor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lender {
    /// Teams that it lends to.
    pub to: Vec<String>,
    /// Highest priority of its work that may be stopped.
    pub up_to: Priority,
    /// Largest number of accelerators that it lends at a time; `None` for no bound.
    #[serde(default)]
    pub most_gpus: Option<f64>,
    /// Largest part of its guaranteed accelerators that it lends at a time, from 0 to 1; `None` for no
    /// bound.
    #[serde(default)]
    pub most_share: Option<f64>,
}

/// Settings of a team that borrows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Borrower {
    /// Lowest priority of its work for which it borrows.
    pub from: Priority,
}

impl BorrowingSettings {
    /// Checks that the lender's work of `lender_priority` may be stopped for the borrower's work of
    /// `borrower_priority`.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NotABorrower`] or [`Refusal::NotALender`] if the settings allow no such loan.
    pub fn check_permitted(
        &self,
        lender: &str,
        lender_priority: Priority,
        borrower: &str,
        borrower_priority: Priority,
    ) -> Result<(), Refusal> {
        if self.borrowers.get(borrower).is_none_or(|team| borrower_priority < team.from) {
            return Err(Refusal::NotABorrower);
        }
        let lends = |team: &Lender| lender_priority <= team.up_to && team.to.iter().any(|to| to == borrower);
        if self.lenders.get(lender).is_some_and(lends) { Ok(()) } else { Err(Refusal::NotALender) }
    }

    /// Returns the largest number of accelerators that a team with this guarantee lends: 0 if the team
    /// does not lend, infinity if it has no bound.
    pub fn most_gpus(&self, lender: &str, guarantee: Amounts) -> f64 {
        let Some(team) = self.lenders.get(lender) else { return 0.0 };
        let by_share = team.most_share.map(|share| share * guarantee.gpus);
        [team.most_gpus, by_share].into_iter().flatten().fold(f64::INFINITY, f64::min)
    }
}
