//! A loan, and the stored record of a job's loans.

use crate::amounts::Amounts;
use serde::{Deserialize, Serialize};

/// Number of a loan. Numbers are not reused.
pub type LoanId = u64;

/// Reason for which capacity was taken from the lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoanKind {
    /// The borrower uses the capacity beyond its guarantee and must return it.
    Borrowed,
    /// The capacity belongs to the borrower's guarantee: the job's tasks were stopped, but nothing is owed.
    Guaranteed,
}

/// Reason for which a loan ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoanEndCause {
    /// The lender's tasks run again after the borrower no longer needed the capacity, or after the
    /// lender reclaimed it.
    Returned,
    /// The lender's tasks run again on other capacity while the borrower still needs the loan.
    Replaced,
    /// The lender's job was done or cancelled.
    #[serde(rename = "lender_over")]
    LenderEnded,
    /// The loan was within the borrower's guarantee: nothing was owed from the start.
    WithinGuarantee,
    /// The loan could not be recorded, so no task was stopped.
    NotRecorded,
    /// The leader after a failover found that no task had been stopped.
    NotCarriedOut,
}

impl LoanEndCause {
    /// Returns the name that logs and metrics use.
    pub fn label(self) -> &'static str {
        match self {
            LoanEndCause::Returned => "returned",
            LoanEndCause::Replaced => "replaced",
            LoanEndCause::LenderEnded => "lender_over",
            LoanEndCause::WithinGuarantee => "within_guarantee",
            LoanEndCause::NotRecorded => "not_recorded",
            LoanEndCause::NotCarriedOut => "not_carried_out",
        }
    }
}

/// State of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoanState {
    /// The loan is decided, but not recorded. No task is stopped before its record is written.
    Proposed,
    /// The loan was read from its record after a failover. Which tasks were stopped is known once all
    /// machines are accounted for.
    Unsettled,
    /// The borrower has the capacity.
    Open,
    /// The borrower no longer needs the capacity: the lender's tasks are placed first.
    Returning,
    /// The loan has ended, for this cause.
    Ended(LoanEndCause),
}

impl LoanState {
    /// Returns the name that logs and metrics use; the same for every cause of an ended loan.
    pub fn label(self) -> &'static str {
        match self {
            LoanState::Proposed => "proposed",
            LoanState::Unsettled => "unsettled",
            LoanState::Open => "open",
            LoanState::Returning => "returning",
            LoanState::Ended(_) => "ended",
        }
    }
}

/// Capacity that a job's stopped tasks freed for another team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the loan.
    pub id: LoanId,
    /// Team that uses the capacity.
    pub borrower: String,
    /// Job for which the capacity was freed.
    pub borrowing_job: String,
    /// Type of the first machine on which a task was stopped.
    pub machine: String,
    /// Number of stopped tasks that do not run again yet.
    pub tasks: u32,
    /// Amounts that each of the stopped tasks takes.
    pub each: Amounts,
    /// Reason for which the capacity was taken.
    pub kind: LoanKind,
    /// Time of day at which the loan was decided, in milliseconds since 1970 (UTC).
    pub begun_ms: u64,
    /// State of the loan.
    pub state: LoanState,
}

impl Loan {
    /// Returns the amounts lent: those of all stopped tasks that do not run again yet.
    pub fn amounts(&self) -> Amounts {
        self.each.times(f64::from(self.tasks))
    }

    /// Returns whether the loan has not ended: the borrower has the capacity or is to get it.
    pub fn is_active(&self) -> bool {
        !matches!(self.state, LoanState::Ended(_))
    }

    /// Returns whether the borrower owes the capacity to the lender.
    pub fn is_owed(&self) -> bool {
        self.is_active() && self.kind == LoanKind::Borrowed
    }

    /// Returns whether tasks were stopped for the loan, as far as is known.
    pub fn took_effect(&self) -> bool {
        !matches!(
            self.state,
            LoanState::Proposed | LoanState::Ended(LoanEndCause::NotRecorded | LoanEndCause::NotCarriedOut)
        )
    }
}

/// Record of a job's loans in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobLoans {
    /// Team of the lending job.
    pub lender: String,
    /// Loans of the job, the oldest first. Ended loans are kept until the job's quiet time has ended.
    pub loans: Vec<Loan>,
}
