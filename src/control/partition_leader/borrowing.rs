//! Maintenance and status of the loans between teams.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use crate::borrowing::BorrowingResponse;
use crate::runtime::clock;

impl PartitionLeader {
    /// Maintains the loans, if borrowing is configured.
    pub(super) fn maintain_loans(&self, leadership: &mut Leadership, now: u64) {
        if self.borrowing.is_some() {
            leadership.partition.maintain_loans(now, clock::wall_ms());
        }
    }

    /// Returns the status of the loans.
    pub(super) fn loan_status(&self, leadership: &Leadership, now: u64) -> BorrowingResponse {
        leadership.partition.loan_status(now).map_or(BorrowingResponse::NoBorrowing, BorrowingResponse::Status)
    }
}
