//! The loans of a partition: decided, recorded and owed ones.

mod follow;
mod records;
mod restore;

use crate::amounts::Amounts;
use crate::loan::{JobLoans, Loan, LoanEndCause, LoanId, LoanKind, LoanState};
use crate::settings::BorrowingSettings;
use badgerdrift_common::ClockReading;
use std::collections::BTreeMap;

pub use records::{LoanEvent, RecordWrite};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Decision to stop tasks of one job for another team.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Number of the new loan.
    pub id: LoanId,
    /// Job whose tasks are to be stopped.
    pub lending_job: String,
    /// Team of the lending job.
    pub lender: String,
    /// Team that gets the capacity.
    pub borrower: String,
    /// Job for which the capacity is freed.
    pub borrowing_job: String,
    /// Type of the first machine on which a task is to be stopped.
    pub machine: String,
    /// Number of tasks to stop.
    pub tasks: u32,
    /// Amounts that each of these tasks takes.
    pub each: Amounts,
    /// Reason for which the capacity is taken.
    pub kind: LoanKind,
}

/// Present state of a lending job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LendingJob {
    /// Whether the job is done or cancelled.
    pub over: bool,
    /// Number of its tasks that neither run nor are done, including tasks that are being stopped.
    pub missing: u32,
}

/// A change of a loan's state, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanTransition {
    /// Job that lends.
    pub lending_job: String,
    /// Team of the lending job.
    pub lender: String,
    /// The loan after the change.
    pub loan: Loan,
}

/// A loan, with state that only this leader's memory holds.
#[derive(Debug, Clone)]
struct Entry {
    loan: Loan,
    /// Whether the commit in flight contains the loan.
    in_current_commit: bool,
    /// Whether a record that contains the loan may have been written.
    may_be_recorded: bool,
    /// Instant, in milliseconds of the steady clock, since which the borrower has not needed the loan;
    /// `None` while it does.
    unneeded_since_ms: Option<u64>,
}

/// The loans of one lending job and the state of their record.
#[derive(Debug, Clone)]
struct LoanLedger {
    lender: String,
    entries: Vec<Entry>,
    /// Version of the record in the state service; 0 if there is none.
    version: u64,
    /// Whether the record has changes that no write in flight contains.
    dirty: bool,
    /// Whether the commit in flight contains the record.
    in_flight: bool,
    /// Whether the record must be read before the next write, as a commit of it had no answer or failed
    /// its condition.
    indeterminate: bool,
}

/// The loans of a partition.
#[derive(Debug, Clone)]
pub struct Loans {
    settings: BorrowingSettings,
    /// Loans by id of the lending job.
    ledgers: BTreeMap<String, LoanLedger>,
    transitions: Vec<LoanTransition>,
}

impl Loans {
    /// Creates the state of a partition without loans.
    pub fn new(settings: BorrowingSettings) -> Loans {
        Loans { settings, ledgers: BTreeMap::new(), transitions: Vec::new() }
    }

    /// Returns the settings of lenders and borrowers.
    pub fn settings(&self) -> &BorrowingSettings {
        &self.settings
    }

    /// Adds a loan that was decided and marks its record for writing. No task may be stopped for the
    /// loan until the record is written.
    pub fn propose(&mut self, proposal: Proposal, now: ClockReading) {
        let loan = Loan {
            id: proposal.id,
            borrower: proposal.borrower,
            borrowing_job: proposal.borrowing_job,
            machine: proposal.machine,
            tasks: proposal.tasks,
            each: proposal.each,
            kind: proposal.kind,
            begun_ms: now.wall_ms,
            state: LoanState::Proposed,
        };
        let lender = proposal.lender;
        let ledger = self.ledgers.entry(proposal.lending_job.clone()).or_insert_with(|| LoanLedger {
            lender,
            entries: Vec::new(),
            version: 0,
            dirty: false,
            in_flight: false,
            indeterminate: false,
        });
        ledger.entries.push(Entry { loan, in_current_commit: false, may_be_recorded: false, unneeded_since_ms: None });
        ledger.dirty = true;
        let index = ledger.entries.len() - 1;
        self.push_transition(&proposal.lending_job, index);
    }

    /// Ends a loan that is not recorded yet, so that no task was stopped for it. Has no effect on other
    /// loans.
    pub fn abandon(&mut self, id: LoanId) {
        let Some((job, index)) = self.find_loan(id) else { return };
        let entry = &self.ledgers[&job].entries[index];
        if entry.loan.state == LoanState::Proposed {
            self.end_loan(&job, index, LoanEndCause::NotRecorded);
            self.remove_unrecorded(&job);
        }
    }

    /// Removes ended loans of a job that no record can contain.
    fn remove_unrecorded(&mut self, job: &str) {
        let Some(ledger) = self.ledgers.get_mut(job) else { return };
        ledger.entries.retain(|entry| entry.loan.is_active() || entry.may_be_recorded);
        if ledger.entries.is_empty() && ledger.version == 0 {
            self.ledgers.remove(job);
        }
    }

    /// Returns the loans whose record is not written and that were decided before `wall_ms`, a time of
    /// day in milliseconds.
    pub fn unrecorded_before(&self, wall_ms: u64) -> Vec<LoanId> {
        let loans = self.loans().filter(|(_, _, loan)| loan.state == LoanState::Proposed);
        loans.filter(|(_, _, loan)| loan.begun_ms < wall_ms).map(|(_, _, loan)| loan.id).collect()
    }

    /// Returns all loans that are kept, each as (lending job, lending team, loan).
    pub fn loans(&self) -> impl Iterator<Item = (&str, &str, &Loan)> {
        self.ledgers.iter().flat_map(|(job, ledger)| {
            ledger.entries.iter().map(move |entry| (job.as_str(), ledger.lender.as_str(), &entry.loan))
        })
    }

    /// Returns the amounts that are owed to each lending team, by its name.
    pub fn lent_by_team(&self) -> BTreeMap<String, Amounts> {
        self.sum_owed_by(|lender, _| lender.to_string())
    }

    /// Returns the amounts that each borrowing team owes, by its name.
    pub fn borrowed_by_team(&self) -> BTreeMap<String, Amounts> {
        self.sum_owed_by(|_, loan| loan.borrower.clone())
    }

    /// Returns the amounts of a team's open loans, which it need not return yet.
    pub fn open_amounts_of(&self, borrower: &str) -> Amounts {
        let open = |loan: &Loan| loan.state == LoanState::Open && loan.borrower == borrower;
        let loans = self.loans().filter(|(_, _, loan)| open(loan));
        loans.fold(Amounts::default(), |sum, (_, _, loan)| sum.sum_with(loan.amounts()))
    }

    /// Returns the amounts owed, by (lender, borrower).
    pub fn owed_by_pair(&self) -> BTreeMap<(String, String), Amounts> {
        self.sum_owed_by(|lender, loan| (lender.to_string(), loan.borrower.clone()))
    }

    /// Returns the sums of the amounts owed, grouped by a key made from lender and loan.
    fn sum_owed_by<K: Ord>(&self, key: impl Fn(&str, &Loan) -> K) -> BTreeMap<K, Amounts> {
        let mut sums: BTreeMap<K, Amounts> = BTreeMap::new();
        for (_, lender, loan) in self.loans().filter(|(_, _, loan)| loan.is_owed()) {
            let sum = sums.entry(key(lender, loan)).or_default();
            *sum = sum.sum_with(loan.amounts());
        }
        sums
    }

    /// Returns the jobs whose tasks were stopped less than `quiet_s` ago; they are spared as long as
    /// other jobs can be stopped.
    pub fn recently_preempted_jobs(&self, wall_ms: u64) -> impl Iterator<Item = &str> {
        let quiet = move |entry: &&Entry| entry.loan.took_effect() && self.within_quiet_time(&entry.loan, wall_ms);
        let ledgers = self.ledgers.iter().filter(move |(_, ledger)| ledger.entries.iter().any(|entry| quiet(&entry)));
        ledgers.map(|(job, _)| job.as_str())
    }

    /// Returns the lending jobs with the number of tasks to place first, one entry for each loan that is
    /// being returned.
    pub fn returning_tasks(&self) -> impl Iterator<Item = (&str, u32)> {
        let loans = self.loans().filter(|(_, _, loan)| loan.state == LoanState::Returning);
        loans.map(|(job, _, loan)| (job, loan.tasks))
    }

    /// Removes and returns the changes of loans since the last call.
    pub fn take_transitions(&mut self) -> Vec<LoanTransition> {
        std::mem::take(&mut self.transitions)
    }

    /// Returns whether the quiet time after the loan's decision lasts at `wall_ms`.
    fn within_quiet_time(&self, loan: &Loan, wall_ms: u64) -> bool {
        wall_ms < loan.begun_ms.saturating_add((self.settings.quiet_s * MS_PER_S) as u64)
    }

    /// Returns the lending job of a loan and the loan's index among its entries; `None` if it is not kept.
    fn find_loan(&self, id: LoanId) -> Option<(String, usize)> {
        self.ledgers.iter().find_map(|(job, ledger)| {
            let index = ledger.entries.iter().position(|entry| entry.loan.id == id)?;
            Some((job.clone(), index))
        })
    }

    fn end_loan(&mut self, job: &str, index: usize, cause: LoanEndCause) {
        self.set_state(job, index, LoanState::Ended(cause));
    }

    /// Changes the state of a loan and marks its record for writing.
    fn set_state(&mut self, job: &str, index: usize, state: LoanState) {
        let Some(ledger) = self.ledgers.get_mut(job) else { return };
        ledger.entries[index].loan.state = state;
        ledger.dirty = true;
        self.push_transition(job, index);
    }

    /// Adds the present state of a loan to the transitions for logs and metrics.
    fn push_transition(&mut self, job: &str, index: usize) {
        let ledger = &self.ledgers[job];
        let loan = ledger.entries[index].loan.clone();
        let transition = LoanTransition { lending_job: job.to_string(), lender: ledger.lender.clone(), loan };
        self.transitions.push(transition);
    }

    /// Returns the record to write for a job's loans.
    fn build_record(ledger: &LoanLedger) -> JobLoans {
        let loans = ledger.entries.iter().map(|entry| {
            // A proposed loan is open as soon as the record is written.
            let state = match entry.loan.state {
                LoanState::Proposed => LoanState::Open,
                state => state,
            };
            Loan { state, ..entry.loan.clone() }
        });
        JobLoans { lender: ledger.lender.clone(), loans: loans.collect() }
    }
}
