//! Requests about loans, through any controller.

use crate::control::partition::LoansStatus;
use serde::{Deserialize, Serialize};

/// A request about loans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BorrowingRequest {
    /// The state of the loans and the teams.
    Status,
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BorrowingResponse {
    /// The loans that are not over, and all teams.
    Status(LoansStatus),
    /// The controller has no borrowing.
    NoBorrowing,
    /// No answer is possible now; again in so many seconds.
    RetryLater(u64),
}
