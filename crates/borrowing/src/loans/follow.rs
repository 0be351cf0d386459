//! Loans from day to day: the lender's work that runs again, and the borrower's need that is gone.

use super::{LendingJob, Loans, MS_PER_S, Moment};
use crate::amounts::Amounts;
use crate::loan::{EndCause, LoanKind, LoanState};
use std::collections::BTreeMap;

impl Loans {
    /// Follows what became of the lenders' jobs and of the borrowers' needs. `needs` is what each
    /// borrower could use beyond its guarantee, by its name.
    pub fn follow(&mut self, lending: impl Fn(&str) -> LendingJob, needs: &BTreeMap<String, Amounts>, now: Moment) {
        self.follow_lenders(lending);
        self.follow_needs(needs, now);
    }

    /// What of a job runs again is not lent any more: its oldest loans end first.
    fn follow_lenders(&mut self, lending: impl Fn(&str) -> LendingJob) {
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
                    self.end(&job, index, EndCause::LenderOver);
                }
                continue;
            }
            let lent: u32 = open.iter().map(|index| self.ledgers[&job].entries[*index].loan.tasks).sum();
            let mut run_again = lent.saturating_sub(missing);
            for index in open {
                run_again -= self.take_back(&job, index, run_again);
            }
        }
    }

    /// At most so many tasks of a loan run again; tells how many it had.
    fn take_back(&mut self, job: &str, index: usize, run_again: u32) -> u32 {
        let Some(ledger) = self.ledgers.get_mut(job) else { return 0 };
        let loan = &mut ledger.entries[index].loan;
        let taken = loan.tasks.min(run_again);
        if taken == 0 {
            return 0;
        }
        loan.tasks -= taken;
        ledger.dirty = true;
        if loan.tasks == 0 {
            let returned = loan.state == LoanState::Returning;
            self.end(job, index, if returned { EndCause::Returned } else { EndCause::Replaced });
        }
        taken
    }

    /// Loans beyond a borrower's need are returned once that has lasted: the oldest first.
    fn follow_needs(&mut self, needs: &BTreeMap<String, Amounts>, now: Moment) {
        let patience_ms = (self.settings.return_after_s * MS_PER_S) as u64;
        let mut outstanding = self.outstanding();
        for (job, index) in self.open_by_age() {
            let Some(ledger) = self.ledgers.get_mut(&job) else { continue };
            let entry = &mut ledger.entries[index];
            let need = needs.get(&entry.loan.borrower).copied().unwrap_or_default();
            let Some(sum) = outstanding.get_mut(&entry.loan.borrower) else { continue };
            let without = sum.minus(entry.loan.amounts());
            if !without.covers_for(need, entry.loan.each) {
                entry.unneeded_since_ms = None;
                continue;
            }
            *sum = without;
            let since_ms = *entry.unneeded_since_ms.get_or_insert(now.steady_ms);
            if now.steady_ms >= since_ms + patience_ms {
                self.change(&job, index, LoanState::Returning);
            }
        }
    }

    /// What each borrower has of loans that are not being returned.
    fn outstanding(&self) -> BTreeMap<String, Amounts> {
        let mut sums: BTreeMap<String, Amounts> = BTreeMap::new();
        for (_, _, loan) in self.loans().filter(|(_, _, loan)| loan.state == LoanState::Open) {
            let sum = sums.entry(loan.borrower.clone()).or_default();
            *sum = sum.plus(loan.amounts());
        }
        sums
    }

    /// Open loans, the oldest first.
    fn open_by_age(&self) -> Vec<(String, usize)> {
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
