//! Updates of loans as tasks of lenders run again and borrowers need less.

use super::{ClockReading, LendingJob, Loans, MS_PER_S};
use crate::amounts::Amounts;
use crate::loan::{LoanEndCause, LoanKind, LoanState};
use std::collections::BTreeMap;

impl Loans {
    /// Updates the loans to the present demand: the states of the lending jobs and the needs of the
    /// borrowers. `needs` has the amounts that each borrower could use beyond its guarantee, by its name.
    pub fn update_for_demand(
        &mut self,
        lending: impl Fn(&str) -> LendingJob,
        needs: &BTreeMap<String, Amounts>,
        now: ClockReading,
    ) {
        self.apply_lender_states(lending);
        self.return_unneeded_loans(needs, now);
    }

    /// Reduces the loans of each job by its tasks that run again, the oldest loans first, and ends all
    /// loans of a job that is done or cancelled.
    fn apply_lender_states(&mut self, lending: impl Fn(&str) -> LendingJob) {
        let jobs: Vec<String> = self.ledgers.keys().cloned().collect();
        for job in jobs {
            let is_lent = |state| matches!(state, LoanState::Open | LoanState::Returning);
            let entries = self.ledgers[&job].entries.iter().enumerate();
            let open: Vec<usize> =
                entries.filter(|(_, entry)| is_lent(entry.loan.state)).map(|(index, _)| index).collect();
            if open.is_empty() {
                continue;
            }
            let LendingJob { over, missing } = lending(&job);
            if over {
                for index in open {
                    self.end_loan(&job, index, LoanEndCause::LenderEnded);
                }
                continue;
            }
            let lent: u32 = open.iter().map(|index| self.ledgers[&job].entries[*index].loan.tasks).sum();
            let mut restarted = lent.saturating_sub(missing);
            for index in open {
                restarted -= self.reduce_loan(&job, index, restarted);
            }
        }
    }

    /// Reduces a loan by at most `restarted` tasks and ends it when none is left. Returns by how many
    /// tasks it was reduced.
    fn reduce_loan(&mut self, job: &str, index: usize, restarted: u32) -> u32 {
        let Some(ledger) = self.ledgers.get_mut(job) else { return 0 };
        let loan = &mut ledger.entries[index].loan;
        let taken = loan.tasks.min(restarted);
        if taken == 0 {
            return 0;
        }
        loan.tasks -= taken;
        ledger.dirty = true;
        if loan.tasks == 0 {
            let returned = loan.state == LoanState::Returning;
            self.end_loan(job, index, if returned { LoanEndCause::Returned } else { LoanEndCause::Replaced });
        }
        taken
    }

    /// Starts the return of loans that their borrower has not needed for `return_after_s`, the oldest
    /// first.
    fn return_unneeded_loans(&mut self, needs: &BTreeMap<String, Amounts>, now: ClockReading) {
        let return_after_ms = (self.settings.return_after_s * MS_PER_S) as u64;
        let mut open_by_borrower = self.open_by_borrower();
        for (job, index) in self.open_loans_by_age() {
            let Some(ledger) = self.ledgers.get_mut(&job) else { continue };
            let entry = &mut ledger.entries[index];
            let need = needs.get(&entry.loan.borrower).copied().unwrap_or_default();
            let Some(sum) = open_by_borrower.get_mut(&entry.loan.borrower) else { continue };
            let remaining = sum.minus(entry.loan.amounts());
            if !remaining.covers_task(need, entry.loan.each) {
                entry.unneeded_since_ms = None;
                continue;
            }
            *sum = remaining;
            let since_ms = *entry.unneeded_since_ms.get_or_insert(now.steady_ms);
            if now.steady_ms >= since_ms + return_after_ms {
                self.set_state(&job, index, LoanState::Returning);
            }
        }
    }

    /// Returns the amounts of open loans by borrower. Loans that are being returned do not count.
    fn open_by_borrower(&self) -> BTreeMap<String, Amounts> {
        let mut sums: BTreeMap<String, Amounts> = BTreeMap::new();
        for (_, _, loan) in self.loans().filter(|(_, _, loan)| loan.state == LoanState::Open) {
            let sum = sums.entry(loan.borrower.clone()).or_default();
            *sum = sum.sum_with(loan.amounts());
        }
        sums
    }

    /// Returns lending job and index of the open loans that are owed, the oldest first.
    fn open_loans_by_age(&self) -> Vec<(String, usize)> {
        let mut open = Vec::new();
        for (job, ledger) in &self.ledgers {
            for (index, entry) in ledger.entries.iter().enumerate() {
                if entry.loan.state == LoanState::Open && entry.loan.kind == LoanKind::Borrowed {
                    open.push((entry.loan.begun_ms, entry.loan.id, job.clone(), index));
                }
            }
        }
        open.sort_unstable();
        open.into_iter().map(|(_, _, job, index)| (job, index)).collect()
    }
}
