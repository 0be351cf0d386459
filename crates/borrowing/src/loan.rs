//! One loan, and the record of a job's loans.

use crate::amounts::Amounts;
use serde::{Deserialize, Serialize};

/// Number of a loan, which is not used again.
pub type LoanId = u64;

/// Why room was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoanKind {
    /// The borrower uses it beyond its guarantee and has to give it back.
    Borrowed,
    /// The borrower is due it under its guarantee: nothing is owed, but the job gave way.
    Guaranteed,
}

/// Why a loan ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The lender's work runs again after the borrower's need was gone, or the lender took it back.
    Returned,
    /// The lender's work runs again in other room while the borrower still needs this.
    Replaced,
    /// The lender's job is over.
    LenderOver,
    /// Nothing was owed from the start.
    WithinGuarantee,
    /// It could not be recorded, so that nothing was stopped.
    NotRecorded,
    /// A failover found that nothing had been stopped.
    NotCarriedOut,
}

impl EndCause {
    /// Its name in logs and figures.
    pub fn label(self) -> &'static str {
        match self {
            EndCause::Returned => "returned",
            EndCause::Replaced => "replaced",
            EndCause::LenderOver => "lender_over",
            EndCause::WithinGuarantee => "within_guarantee",
            EndCause::NotRecorded => "not_recorded",
            EndCause::NotCarriedOut => "not_carried_out",
        }
    }
}

/// How far a loan is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoanState {
    /// It was decided; nothing is stopped before its record is written.
    Proposed,
    /// A failover found its record; what was stopped is known once all machines are accounted for.
    Unsettled,
    /// The borrower has the room.
    Open,
    /// The borrower's need is gone: the lender's work is first to be placed.
    Returning,
    /// It is over.
    Ended(EndCause),
}

impl LoanState {
    /// Its name in logs and figures.
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

/// Room that a job's stopped tasks left to another team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Its number.
    pub id: LoanId,
    /// The team that has the room.
    pub borrower: String,
    /// The job that the room was made for.
    pub borrowing_job: String,
    /// Type of the first machine on which a task was stopped.
    pub machine: String,
    /// Stopped tasks that do not run again yet.
    pub tasks: u32,
    /// What each of them takes.
    pub each: Amounts,
    /// Why the room was taken.
    pub kind: LoanKind,
    /// Wall time at which it was decided.
    pub begun_ms: u64,
    /// How far it is.
    pub state: LoanState,
}

impl Loan {
    /// What it is of.
    pub fn amounts(&self) -> Amounts {
        self.each.times(f64::from(self.tasks))
    }

    /// Has the borrower the room, or will it have it?
    pub fn is_active(&self) -> bool {
        !matches!(self.state, LoanState::Ended(_))
    }

    /// Is the room owed to the lender?
    pub fn is_owed(&self) -> bool {
        self.is_active() && self.kind == LoanKind::Borrowed
    }

    /// Was anything stopped for it, as far as is known?
    pub fn took_effect(&self) -> bool {
        !matches!(self.state, LoanState::Proposed | LoanState::Ended(EndCause::NotRecorded | EndCause::NotCarriedOut))
    }
}

/// The record of a job's loans, in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobLoans {
    /// The job's team.
    pub lender: String,
    /// Its loans, the oldest first. Ended ones are kept while the job is to be passed over.
    pub loans: Vec<Loan>,
}
