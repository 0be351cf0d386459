//! The loans of a partition: what was decided, what is recorded, what is owed.

mod follow;
mod records;
mod restore;

use crate::amounts::Amounts;
use crate::loan::{EndCause, JobLoans, Loan, LoanId, LoanKind, LoanState};
use crate::settings::BorrowingSettings;
use badgerdrift_common::Moment;
use std::collections::BTreeMap;

pub use records::{LoanEvent, RecordWrite};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Tasks of one job that are to be stopped for another team.
#[derive(Debug, Clone, PartialEq)]
pub struct Proposal {
    /// Number of the new loan.
    pub id: LoanId,
    /// The job whose tasks are to be stopped.
    pub lending_job: String,
    /// Its team.
    pub lender: String,
    /// The team that gets the room.
    pub borrower: String,
    /// The job that the room is made for.
    pub borrowing_job: String,
    /// Type of the first machine on which a task is to be stopped.
    pub machine: String,
    /// How many tasks are to be stopped.
    pub tasks: u32,
    /// What each of them takes.
    pub each: Amounts,
    /// Why the room is taken.
    pub kind: LoanKind,
}

/// How a job that lends is now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LendingJob {
    /// It is done or cancelled.
    pub over: bool,
    /// Its tasks that neither run nor are done, those that are being stopped included.
    pub missing: u32,
}

/// A change of a loan's state, for logs and figures.
#[derive(Debug, Clone, PartialEq)]
pub struct LoanTransition {
    /// The job that lends.
    pub lending_job: String,
    /// Its team.
    pub lender: String,
    /// The loan as it is now.
    pub loan: Loan,
}

/// A loan with what is known of it in this leader's memory alone.
#[derive(Debug, Clone)]
struct Entry {
    loan: Loan,
    /// It is in the commit under way, as it was then.
    sent: bool,
    /// A record that tells of it may have been written.
    told: bool,
    /// Since when it is more than the borrower needs, by the steady clock.
    unneeded_since_ms: Option<u64>,
}

/// The loans of one job, with their record.
#[derive(Debug, Clone)]
struct LoanLedger {
    lender: String,
    entries: Vec<Entry>,
    /// Version of the record; 0 if there is none.
    version: u64,
    /// The record is not as it should be.
    dirty: bool,
    /// It is in the commit under way.
    in_flight: bool,
    /// A commit of it had no answer, or failed on its condition: it has to be read.
    indeterminate: bool,
}

/// The loans of a partition.
#[derive(Debug, Clone)]
pub struct Loans {
    settings: BorrowingSettings,
    /// By the id of the job that lends.
    ledgers: BTreeMap<String, LoanLedger>,
    transitions: Vec<LoanTransition>,
}

impl Loans {
    /// No loans.
    pub fn new(settings: BorrowingSettings) -> Loans {
        Loans { settings, ledgers: BTreeMap::new(), transitions: Vec::new() }
    }

    /// Who lends to whom.
    pub fn settings(&self) -> &BorrowingSettings {
        &self.settings
    }

    /// Takes in a loan that was decided. Its record is due; until that is written nothing may be
    /// stopped for it.
    pub fn propose(&mut self, proposal: Proposal, now: Moment) {
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
        ledger.entries.push(Entry { loan, sent: false, told: false, unneeded_since_ms: None });
        ledger.dirty = true;
        let index = ledger.entries.len() - 1;
        self.note(&proposal.lending_job, index);
    }

    /// Gives up a loan that was not recorded. Nothing was stopped for it.
    pub fn abandon(&mut self, id: LoanId) {
        let Some((job, index)) = self.find(id) else { return };
        let entry = &self.ledgers[&job].entries[index];
        if entry.loan.state == LoanState::Proposed {
            self.end(&job, index, EndCause::NotRecorded);
            self.forget_untold(&job);
        }
    }

    /// Drops the loans of a job that ended before any record told of them.
    fn forget_untold(&mut self, job: &str) {
        let Some(ledger) = self.ledgers.get_mut(job) else { return };
        ledger.entries.retain(|entry| entry.loan.is_active() || entry.told);
        if ledger.entries.is_empty() && ledger.version == 0 {
            self.ledgers.remove(job);
        }
    }

    /// Loans whose records are not written, decided before this wall time.
    pub fn unrecorded_before(&self, wall_ms: u64) -> Vec<LoanId> {
        let loans = self.loans().filter(|(_, _, loan)| loan.state == LoanState::Proposed);
        loans.filter(|(_, _, loan)| loan.begun_ms < wall_ms).map(|(_, _, loan)| loan.id).collect()
    }

    /// All loans that are kept, with the job and the team that lend.
    pub fn loans(&self) -> impl Iterator<Item = (&str, &str, &Loan)> {
        self.ledgers.iter().flat_map(|(job, ledger)| {
            ledger.entries.iter().map(move |entry| (job.as_str(), ledger.lender.as_str(), &entry.loan))
        })
    }

    /// What each team lends, by its name.
    pub fn lent(&self) -> BTreeMap<String, Amounts> {
        self.sums(|lender, _| lender.to_string())
    }

    /// What each team has borrowed, by its name.
    pub fn borrowed(&self) -> BTreeMap<String, Amounts> {
        self.sums(|_, loan| loan.borrower.clone())
    }

    /// What a team has borrowed and need not return yet.
    pub fn open_to(&self, borrower: &str) -> Amounts {
        let open = |loan: &Loan| loan.state == LoanState::Open && loan.borrower == borrower;
        let loans = self.loans().filter(|(_, _, loan)| open(loan));
        loans.fold(Amounts::default(), |sum, (_, _, loan)| sum.plus(loan.amounts()))
    }

    /// What is owed, by lender and borrower.
    pub fn owed(&self) -> BTreeMap<(String, String), Amounts> {
        self.sums(|lender, loan| (lender.to_string(), loan.borrower.clone()))
    }

    fn sums<K: Ord>(&self, key: impl Fn(&str, &Loan) -> K) -> BTreeMap<K, Amounts> {
        let mut sums: BTreeMap<K, Amounts> = BTreeMap::new();
        for (_, lender, loan) in self.loans().filter(|(_, _, loan)| loan.is_owed()) {
            let sum = sums.entry(key(lender, loan)).or_default();
            *sum = sum.plus(loan.amounts());
        }
        sums
    }

    /// Jobs that gave way less than the quiet time ago: they are passed over while others can give.
    pub fn quiet_jobs(&self, wall_ms: u64) -> impl Iterator<Item = &str> {
        let quiet = move |entry: &&Entry| entry.loan.took_effect() && self.is_quiet(&entry.loan, wall_ms);
        let ledgers = self.ledgers.iter().filter(move |(_, ledger)| ledger.entries.iter().any(|entry| quiet(&entry)));
        ledgers.map(|(job, _)| job.as_str())
    }

    /// How many tasks of each job are to be placed first, as their room is being returned.
    pub fn returning(&self) -> impl Iterator<Item = (&str, u32)> {
        let loans = self.loans().filter(|(_, _, loan)| loan.state == LoanState::Returning);
        loans.map(|(job, _, loan)| (job, loan.tasks))
    }

    /// The changes of loans since the last call.
    pub fn take_transitions(&mut self) -> Vec<LoanTransition> {
        std::mem::take(&mut self.transitions)
    }

    fn is_quiet(&self, loan: &Loan, wall_ms: u64) -> bool {
        wall_ms < loan.begun_ms.saturating_add((self.settings.quiet_s * MS_PER_S) as u64)
    }

    fn find(&self, id: LoanId) -> Option<(String, usize)> {
        self.ledgers.iter().find_map(|(job, ledger)| {
            let index = ledger.entries.iter().position(|entry| entry.loan.id == id)?;
            Some((job.clone(), index))
        })
    }

    fn end(&mut self, job: &str, index: usize, cause: EndCause) {
        self.change(job, index, LoanState::Ended(cause));
    }

    /// Changes the state of a loan, which is to be recorded.
    fn change(&mut self, job: &str, index: usize, state: LoanState) {
        let Some(ledger) = self.ledgers.get_mut(job) else { return };
        ledger.entries[index].loan.state = state;
        ledger.dirty = true;
        self.note(job, index);
    }

    fn note(&mut self, job: &str, index: usize) {
        let ledger = &self.ledgers[job];
        let loan = ledger.entries[index].loan.clone();
        let transition = LoanTransition { lending_job: job.to_string(), lender: ledger.lender.clone(), loan };
        self.transitions.push(transition);
    }

    /// The record of a job's loans as it should be.
    fn record(ledger: &LoanLedger) -> JobLoans {
        let loans = ledger.entries.iter().map(|entry| {
            // Once the record is written the loan is open.
            let state = match entry.loan.state {
                LoanState::Proposed => LoanState::Open,
                state => state,
            };
            Loan { state, ..entry.loan.clone() }
        });
        JobLoans { lender: ledger.lender.clone(), loans: loans.collect() }
    }
}
