//! Loans after a failover: restored from their records, then reconciled with the reports of the machines.

use super::{Entry, LendingJob, LoanLedger, Loans};
use crate::loan::{JobLoans, LoanEndCause, LoanKind, LoanState};

impl Loans {
    /// Restores the loans from the records of an earlier leader, each as (lending job, record, version).
    pub fn restore(&mut self, records: impl IntoIterator<Item = (String, JobLoans, u64)>) {
        for (job, record, version) in records {
            let entries = record.loans.into_iter().map(|mut loan| {
                loan.state = match (loan.state, loan.kind) {
                    (LoanState::Open | LoanState::Proposed, LoanKind::Guaranteed) => {
                        LoanState::Ended(LoanEndCause::WithinGuarantee)
                    }
                    (LoanState::Open | LoanState::Proposed, LoanKind::Borrowed) => LoanState::Unsettled,
                    (state, _) => state,
                };
                Entry { loan, in_current_commit: false, may_be_recorded: true, unneeded_since_ms: None }
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

    /// Reconciles restored loans with the tasks that do not run. Must be called only once all machines
    /// are accounted for, when no order of an earlier leader can take effect any more. Tasks that were
    /// not stopped are not lent.
    pub fn reconcile_restored(&mut self, lending: impl Fn(&str) -> LendingJob) {
        let jobs: Vec<String> = self.ledgers.keys().cloned().collect();
        for job in jobs {
            let mut missing = lending(&job).missing;
            for index in 0..self.ledgers[&job].entries.len() {
                missing = missing.saturating_sub(self.reconcile_loan(&job, index, missing));
            }
        }
    }

    /// Reconciles one loan of a job. `missing` is the number of the job's missing tasks that its earlier
    /// loans do not account for. Returns how many of them this loan accounts for.
    fn reconcile_loan(&mut self, job: &str, index: usize, missing: u32) -> u32 {
        let Some(ledger) = self.ledgers.get_mut(job) else { return 0 };
        let loan = &mut ledger.entries[index].loan;
        if loan.state != LoanState::Unsettled {
            return if loan.is_active() { loan.tasks } else { 0 };
        }
        loan.tasks = loan.tasks.min(missing);
        let tasks = loan.tasks;
        let state = if tasks == 0 { LoanState::Ended(LoanEndCause::NotCarriedOut) } else { LoanState::Open };
        self.set_state(job, index, state);
        tasks
    }
}
