//! Loans of accelerators between teams: which team may borrow from which, how much each team keeps,
//! what stopping work costs, which loans are open, and when they are returned. The crate does no I/O
//! and reads no clock: callers pass in time and state and carry out the decisions.
//!
//! A team's *floor* is the amount that other teams must leave it ([`TeamShare::floor`]). A *loan* is
//! capacity that one team's stopped tasks freed for another team ([`Loan`]). [`Loans`] keeps the loans
//! of one partition and returns the records that must be written before and after tasks are stopped.

mod amounts;
mod check;
mod floor;
mod loan;
mod loans;
mod loss;
mod refusal;
mod settings;

pub use amounts::Amounts;
pub use badgerdrift_common::{ClockReading, FieldError};
pub use check::KnownTeam;
pub use floor::{JobDemand, TeamShare};
pub use loan::{JobLoans, Loan, LoanEndCause, LoanId, LoanKind, LoanState};
pub use loans::{LendingJob, LoanEvent, LoanTransition, Loans, Proposal, RecordWrite};
pub use loss::PreemptibleWork;
pub use refusal::Refusal;
pub use settings::{Borrower, BorrowingSettings, Lender, Priority};

/// Prefix of the keys under which the state service stores loan records.
pub const LOAN_PREFIX: &str = "loan/";

/// Returns the key of the record with the loans of `lending_job`.
pub fn loan_key(lending_job: &str) -> String {
    format!("{LOAN_PREFIX}{lending_job}")
}
