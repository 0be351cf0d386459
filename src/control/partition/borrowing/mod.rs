//! Loans between teams in the partition: the thin part around `badgerdrift_borrowing`, which keeps
//! the loans and their records. Here they meet scheduling cycles, attempts, orders and commits. All of it is
//! off unless the settings say who lends to whom.

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

/// An attempt that is stopped once the loan's record is written.
#[derive(Debug, Clone, Copy, PartialEq)]
struct WaitingStop {
    host: HostIndex,
    key: TaskKey,
    attempt: u64,
}

/// The loans of a partition.
pub(super) struct PartitionBorrowing {
    loans: Loans,
    settings: Arc<BorrowingSettings>,
    /// What is to be stopped for loans that are not recorded yet.
    waiting_stops: BTreeMap<LoanId, Vec<WaitingStop>>,
    /// The loans of the last leader are settled: all machines were reconciled since.
    settled: bool,
    /// Why no loan was made for a job that waits, as last logged.
    refused: HashMap<JobIndex, Refusal>,
}

impl Partition {
    /// Switches borrowing on; the settings were checked.
    pub fn enable_borrowing(&mut self, settings: Arc<BorrowingSettings>) {
        self.borrowing = Some(PartitionBorrowing {
            loans: Loans::new(settings.as_ref().clone()),
            settings,
            waiting_stops: BTreeMap::new(),
            settled: false,
            refused: HashMap::new(),
        });
    }
}
