//! Loans after a failover: read from their records, then settled by what the machines report.

use super::{Entry, LendingJob, LoanLedger, Loans};
use crate::loan::{EndCause, JobLoans, LoanKind, LoanState};

impl Loans {
    /// Begins with the records of an earlier leader, each with the job that lends and its version.
    pub fn restore(&mut self, records: impl IntoIterator<Item = (String, JobLoans, u64)>) {
        for (job, record, version) in records {
            let entries = record.loans.into_iter().map(|mut loan| {
                loan.state = match (loan.state, loan.kind) {
                    (LoanState::Open | LoanState::Proposed, LoanKind::Guaranteed) => {
                        LoanState::Ended(EndCause::WithinGuarantee)
                    }
                    (LoanState::Open | LoanState::Proposed, LoanKind::Borrowed) => LoanState::Unsettled,
                    (state, _) => state,
                };
                Entry { loan, sent: false, told: true, unneeded_since_ms: None }
            });
            let ledger = LoanLedger {
                lender: record.lender,
                entries: entries.collect(),
                version,
                dirty: false,
                in_flight: false,
                indeterminate: false,
            };
            self.ledgers.insert(job, ledger);
        }
    }

    /// Settles what an earlier leader left, once all machines are accounted for: no order of its can
    /// take effect any more. What it had not stopped is not lent.
    pub fn settle(&mut self, lending: impl Fn(&str) -> LendingJob) {
        let jobs: Vec<String> = self.ledgers.keys().cloned().collect();
        for job in jobs {
            let mut missing = lending(&job).missing;
            for index in 0..self.ledgers[&job].entries.len() {
                missing = missing.saturating_sub(self.settle_loan(&job, index, missing));
            }
        }
    }

    /// Settles one loan of a job that misses so many tasks beside those of its other loans; tells
    /// how many of them it accounts for.
    fn settle_loan(&mut self, job: &str, index: usize, missing: u32) -> u32 {
        let Some(ledger) = self.ledgers.get_mut(job) else { return 0 };
        let loan = &mut ledger.entries[index].loan;
        if loan.state != LoanState::Unsettled {
            return if loan.is_active() { loan.tasks } else { 0 };
        }
        loan.tasks = loan.tasks.min(missing);
        let tasks = loan.tasks;
        let state = if tasks == 0 { LoanState::Ended(EndCause::NotCarriedOut) } else { LoanState::Open };
        self.change(job, index, state);
        tasks
    }
}
