//! Loans of accelerators between teams: who may take room from whom, what each team keeps, whom to
//! stop, which loans are open, and when they are returned. Pure: time and state come in, decisions
//! go out.
//!
//! A team's *floor* is what other teams must leave it ([`TeamShare::floor`]). A *loan* is room that
//! one team's stopped work left to another team ([`Loan`]). [`Loans`] keeps the loans of one
//! partition and says which records have to be written before and after stops.

mod amounts;
mod check;
mod floor;
mod loan;
mod loans;
mod loss;
mod refusal;
mod settings;

pub use amounts::Amounts;
pub use badgerdrift_common::{FieldError, Moment};
pub use check::KnownTeam;
pub use floor::{JobDemand, TeamShare};
pub use loan::{EndCause, JobLoans, Loan, LoanId, LoanKind, LoanState};
pub use loans::{LendingJob, LoanEvent, LoanTransition, Loans, Proposal, RecordWrite};
pub use loss::StoppedWork;
pub use refusal::Refusal;
pub use settings::{Borrower, BorrowingSettings, Lender, Priority};

/// Prefix of the keys of loans' records in the state service.
pub const LOAN_PREFIX: &str = "loan/";

/// Key of the record of a job's loans.
pub fn loan_key(lending_job: &str) -> String {
    format!("{LOAN_PREFIX}{lending_job}")
}
