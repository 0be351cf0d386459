//! The records of loans: what is due to be written, and what became of it.
//!
//! Each record guards on its own version. A commit without an answer may be carried out later: its
//! record is read again, and written anew under the version found, so that one of both fails. Until
//! then nothing is stopped for the loans in it.

use super::{Entry, LoanLedger, Loans};
use crate::loan::{EndCause, JobLoans, Loan, LoanId, LoanKind, LoanState};
use crate::loan_key;

/// A record that is to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// The job whose loans it tells.
    pub lending_job: String,
    /// Its key in the state service.
    pub key: String,
    /// The version that it must have; 0 if it must not exist.
    pub version: u64,
    /// The new value; `None` deletes it.
    pub value: Option<JobLoans>,
}

/// Are both loans of a job to the same team, open or over in the same way?
fn joins(earlier: &Loan, later: &Loan) -> bool {
    let ended = |loan: &Loan| matches!(loan.state, LoanState::Ended(_)) && loan.took_effect();
    let alike = earlier.state == LoanState::Open && later.state == LoanState::Open || ended(earlier) && ended(later);
    alike && earlier.borrower == later.borrower && earlier.kind == later.kind
}

/// What follows from a record that was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanEvent {
    /// The stops for this loan may be ordered now.
    Recorded(LoanId),
}

impl Loans {
    /// The records that go into the next commit, at most so many; those of new loans first.
    pub fn next_writes(&mut self, most: usize, wall_ms: u64) -> Vec<RecordWrite> {
        self.forget_old_loans(wall_ms);
        let due = |ledger: &LoanLedger| ledger.dirty && !ledger.in_flight && !ledger.indeterminate;
        let is_new = |ledger: &LoanLedger| ledger.entries.iter().any(|entry| entry.loan.state == LoanState::Proposed);
        let mut jobs: Vec<(bool, String)> = self
            .ledgers
            .iter()
            .filter(|(_, ledger)| due(ledger))
            .map(|(job, ledger)| (!is_new(ledger), job.clone()))
            .collect();
        jobs.sort_unstable();
        jobs.truncate(most);
        jobs.into_iter().filter_map(|(_, job)| self.begin_write(&job)).collect()
    }

    fn begin_write(&mut self, job: &str) -> Option<RecordWrite> {
        let ledger = self.ledgers.get_mut(job)?;
        (ledger.dirty, ledger.in_flight) = (false, true);
        for entry in &mut ledger.entries {
            (entry.sent, entry.told) = (true, true);
        }
        let value = (!ledger.entries.is_empty()).then(|| Loans::record(ledger));
        Some(RecordWrite { lending_job: job.to_string(), key: loan_key(job), version: ledger.version, value })
    }

    /// The commit under way was made.
    pub fn written(&mut self, revision: u64) -> Vec<LoanEvent> {
        let mut events = Vec::new();
        let jobs: Vec<String> = self.in_flight();
        for job in jobs {
            let Some(ledger) = self.ledgers.get_mut(&job) else { continue };
            ledger.in_flight = false;
            if ledger.entries.is_empty() {
                self.ledgers.remove(&job);
                continue;
            }
            ledger.version = revision;
            for index in 0..ledger.entries.len() {
                events.extend(self.entry_written(&job, index));
            }
            self.join_loans(&job);
        }
        events
    }

    fn entry_written(&mut self, job: &str, index: usize) -> Option<LoanEvent> {
        let entry = self.ledgers.get_mut(job)?.entries.get_mut(index)?;
        if !std::mem::take(&mut entry.sent) || entry.loan.state != LoanState::Proposed {
            return None;
        }
        let id = entry.loan.id;
        entry.loan.state = match entry.loan.kind {
            LoanKind::Borrowed => LoanState::Open,
            LoanKind::Guaranteed => LoanState::Ended(EndCause::WithinGuarantee),
        };
        self.note(job, index);
        Some(LoanEvent::Recorded(id))
    }

    /// Joins open loans of the job to the same borrower, so that a record stays small however many
    /// bursts there were; of ended ones that took effect the last is kept for each borrower.
    fn join_loans(&mut self, job: &str) {
        let Some(ledger) = self.ledgers.get_mut(job) else { return };
        let mut joined: Vec<Entry> = Vec::new();
        for entry in std::mem::take(&mut ledger.entries) {
            let like = |other: &&mut Entry| joins(&other.loan, &entry.loan);
            match joined.iter_mut().find(like) {
                Some(earlier) => {
                    earlier.loan.tasks += entry.loan.tasks;
                    earlier.loan.begun_ms = earlier.loan.begun_ms.max(entry.loan.begun_ms);
                    earlier.unneeded_since_ms = None;
                    ledger.dirty = true;
                }
                None => joined.push(entry),
            }
        }
        ledger.entries = joined;
    }

    /// The commit under way was certainly not made.
    pub fn not_written(&mut self) {
        self.give_up_writes(false);
    }

    /// The commit under way had no answer, or a condition did not hold: its records have to be read
    /// before they are written again.
    pub fn indeterminate(&mut self) {
        self.give_up_writes(true);
    }

    fn give_up_writes(&mut self, indeterminate: bool) {
        for job in self.in_flight() {
            let Some(ledger) = self.ledgers.get_mut(&job) else { continue };
            (ledger.in_flight, ledger.dirty) = (false, true);
            ledger.indeterminate |= indeterminate;
            ledger.entries.iter_mut().for_each(|entry| entry.sent = false);
        }
    }

    fn in_flight(&self) -> Vec<String> {
        self.ledgers.iter().filter(|(_, ledger)| ledger.in_flight).map(|(job, _)| job.clone()).collect()
    }

    /// Keys of records that must be read before they are written again.
    pub fn keys_to_read(&self) -> Vec<String> {
        self.ledgers.iter().filter(|(_, ledger)| ledger.indeterminate).map(|(job, _)| loan_key(job)).collect()
    }

    /// Takes the version under which a record was found; 0 if there is none.
    pub fn reread(&mut self, key: &str, version: u64) {
        let ledger = self.ledgers.iter_mut().find(|(job, _)| loan_key(job) == key);
        if let Some((_, ledger)) = ledger.filter(|(_, ledger)| ledger.indeterminate) {
            (ledger.indeterminate, ledger.version) = (false, version);
        }
    }

    /// Drops ended loans that are of no more use, once a record tells their end: after the quiet
    /// time, or at once where nothing was stopped.
    fn forget_old_loans(&mut self, wall_ms: u64) {
        let jobs: Vec<String> = self.ledgers.keys().cloned().collect();
        for job in jobs {
            let ledger = &self.ledgers[&job];
            if ledger.dirty || ledger.in_flight || ledger.indeterminate {
                continue;
            }
            let is_of_use = |entry: &Entry| {
                entry.loan.is_active() || (entry.loan.took_effect() && self.is_quiet(&entry.loan, wall_ms))
            };
            let kept: Vec<Entry> = ledger.entries.iter().filter(|entry| is_of_use(entry)).cloned().collect();
            if kept.len() < ledger.entries.len()
                && let Some(ledger) = self.ledgers.get_mut(&job)
            {
                (ledger.entries, ledger.dirty) = (kept, true);
            }
        }
    }
}
