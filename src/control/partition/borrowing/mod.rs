//! Loans between teams in a partition. `badgerdrift_borrowing` keeps the loans and their records; this module
//! connects them to scheduling cycles, attempts, orders and commits. Borrowing is disabled unless the settings
//! name lenders and borrowers.

mod commits;
mod decisions;
mod demand;
mod maintenance;
mod status;
mod team_reservations;

pub use status::{LoanStatus, LoansStatus, TeamStatus};

use super::Partition;
use crate::model::{HostIndex, JobIndex, TaskKey};
use badgerdrift_borrowing::{BorrowingSettings, LoanId, Loans, Refusal};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Stop of an attempt that is ordered once the record of its loan is written.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WaitingStop {
    host: HostIndex,
    key: TaskKey,
    attempt: u64,
}

/// Loans of a partition with their settings.
pub(super) struct PartitionBorrowing {
    loans: Loans,
    settings: Arc<BorrowingSettings>,
    /// Stops for loans that are not recorded yet, by loan.
    waiting_stops: BTreeMap<LoanId, Vec<WaitingStop>>,
    /// Whether the previous leader's loans are settled, which happens once all machines are reconciled.
    settled: bool,
    /// Reason last logged for refusing a loan, by waiting job.
    last_refusals: HashMap<JobIndex, Refusal>,
}

impl Partition {
    /// Enables borrowing. The settings must have been validated.
    pub fn enable_borrowing(&mut self, settings: Arc<BorrowingSettings>) {
        self.borrowing = Some(PartitionBorrowing {
            loans: Loans::new(settings.as_ref().clone()),
            settings,
            waiting_stops: BTreeMap::new(),
            settled: false,
            last_refusals: HashMap::new(),
        });
    }
}
