//! Requests about loans, which any controller answers, and their responses.

use crate::control::partition::LoansStatus;
use serde::{Deserialize, Serialize};

/// Request about loans.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BorrowingRequest {
    /// Asks for the state of the loans and the teams.
    Status,
}

/// Response to a [`BorrowingRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum BorrowingResponse {
    /// Loans that have not ended, and all teams.
    Status(LoansStatus),
    /// Borrowing is switched off on the controller.
    NoBorrowing,
    /// The controller cannot answer at present; the request may be repeated after this number of seconds.
    RetryLater(u64),
}
