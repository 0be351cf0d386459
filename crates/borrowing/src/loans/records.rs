//! The records of loans: which are to be written, and the outcomes of the commits.
//!
//! Each write is conditional on the version of its record. A commit without an answer may still be
//! applied later. Its records are therefore read, and written again under the version found, so that
//! only one of the two writes can succeed. Until then no task is stopped for the loans in them.

use super::{Entry, LoanLedger, Loans};
use crate::loan::{JobLoans, Loan, LoanEndCause, LoanId, LoanKind, LoanState};
use crate::loan_key;

/// Conditional write of a record.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordWrite {
    /// Job whose loans the record contains.
    pub lending_job: String,
    /// Key of the record in the state service.
    pub key: String,
    /// Version that the stored record must have; 0 if it must not exist.
    pub version: u64,
    /// New value; `None` deletes the record.
    pub value: Option<JobLoans>,
}

/// Returns whether two loans of a job can be kept as one: both to the same team, of the same kind, and
/// either both open or both ended after tasks were stopped.
fn can_merge(earlier: &Loan, later: &Loan) -> bool {
    let ended = |loan: &Loan| matches!(loan.state, LoanState::Ended(_)) && loan.took_effect();
    let same_state =
        earlier.state == LoanState::Open && later.state == LoanState::Open || ended(earlier) && ended(later);
    same_state && earlier.borrower == later.borrower && earlier.kind == later.kind
}

/// Consequence of a written record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanEvent {
    /// This loan is recorded: its tasks may be stopped now.
    Recorded(LoanId),
}

impl Loans {
    /// Returns the writes for the next commit, at most `most` of them, and marks them as in flight.
    /// Records with new loans come first.
    pub fn next_writes(&mut self, most: usize, wall_ms: u64) -> Vec<RecordWrite> {
        self.remove_obsolete_loans(wall_ms);
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

    /// Returns the write of a job's record and marks it as in flight.
    fn begin_write(&mut self, job: &str) -> Option<RecordWrite> {
        let ledger = self.ledgers.get_mut(job)?;
        (ledger.dirty, ledger.in_flight) = (false, true);
        for entry in &mut ledger.entries {
            (entry.in_current_commit, entry.may_be_recorded) = (true, true);
        }
        let value = (!ledger.entries.is_empty()).then(|| Loans::build_record(ledger));
        Some(RecordWrite { lending_job: job.to_string(), key: loan_key(job), version: ledger.version, value })
    }

    /// Updates the loans after the commit in flight was applied under `revision`, which becomes the
    /// version of its records. Returns the loans whose tasks may be stopped now.
    pub fn commit_succeeded(&mut self, revision: u64) -> Vec<LoanEvent> {
        let mut events = Vec::new();
        let jobs: Vec<String> = self.jobs_in_flight();
        for job in jobs {
            let Some(ledger) = self.ledgers.get_mut(&job) else { continue };
            ledger.in_flight = false;
            if ledger.entries.is_empty() {
                self.ledgers.remove(&job);
                continue;
            }
            ledger.version = revision;
            for index in 0..ledger.entries.len() {
                events.extend(self.mark_entry_written(&job, index));
            }
            self.merge_loans(&job);
        }
        events
    }

    /// Advances the state of a proposed loan whose record is written; `None` for every other loan.
    fn mark_entry_written(&mut self, job: &str, index: usize) -> Option<LoanEvent> {
        let entry = self.ledgers.get_mut(job)?.entries.get_mut(index)?;
        if !std::mem::take(&mut entry.in_current_commit) || entry.loan.state != LoanState::Proposed {
            return None;
        }
        let id = entry.loan.id;
        entry.loan.state = match entry.loan.kind {
            LoanKind::Borrowed => LoanState::Open,
            LoanKind::Guaranteed => LoanState::Ended(LoanEndCause::WithinGuarantee),
        };
        self.push_transition(job, index);
        Some(LoanEvent::Recorded(id))
    }

    /// Merges open loans of the job to the same borrower, and ended loans for which tasks were stopped
    /// likewise, so that the size of the record does not grow with the number of bursts.
    fn merge_loans(&mut self, job: &str) {
        let Some(ledger) = self.ledgers.get_mut(job) else { return };
        let mut merged: Vec<Entry> = Vec::new();
        for entry in std::mem::take(&mut ledger.entries) {
            let mergeable = |other: &&mut Entry| can_merge(&other.loan, &entry.loan);
            match merged.iter_mut().find(mergeable) {
                Some(earlier) => {
                    earlier.loan.tasks += entry.loan.tasks;
                    earlier.loan.begun_ms = earlier.loan.begun_ms.max(entry.loan.begun_ms);
                    earlier.unneeded_since_ms = None;
                    ledger.dirty = true;
                }
                None => merged.push(entry),
            }
        }
        ledger.entries = merged;
    }

    /// Marks the records of the commit in flight for another write; the commit certainly was not applied.
    pub fn commit_failed(&mut self) {
        self.fail_writes(false);
    }

    /// Marks the records of the commit in flight for a read before their next write, as the commit had
    /// no answer or a condition did not hold.
    pub fn commit_indeterminate(&mut self) {
        self.fail_writes(true);
    }

    /// Takes the records of the commit in flight back for another write, if `indeterminate` after a read.
    fn fail_writes(&mut self, indeterminate: bool) {
        for job in self.jobs_in_flight() {
            let Some(ledger) = self.ledgers.get_mut(&job) else { continue };
            (ledger.in_flight, ledger.dirty) = (false, true);
            ledger.indeterminate |= indeterminate;
            ledger.entries.iter_mut().for_each(|entry| entry.in_current_commit = false);
        }
    }

    /// Returns the lending jobs whose records are in the commit in flight.
    fn jobs_in_flight(&self) -> Vec<String> {
        self.ledgers.iter().filter(|(_, ledger)| ledger.in_flight).map(|(job, _)| job.clone()).collect()
    }

    /// Returns the keys of the records that must be read before they are written again.
    pub fn keys_to_read(&self) -> Vec<String> {
        self.ledgers.iter().filter(|(_, ledger)| ledger.indeterminate).map(|(job, _)| loan_key(job)).collect()
    }

    /// Sets the version under which a record was read; 0 if there is none. The record may then be written
    /// again.
    pub fn set_read_version(&mut self, key: &str, version: u64) {
        let ledger = self.ledgers.iter_mut().find(|(job, _)| loan_key(job) == key);
        if let Some((_, ledger)) = ledger.filter(|(_, ledger)| ledger.indeterminate) {
            (ledger.indeterminate, ledger.version) = (false, version);
        }
    }

    /// Removes ended loans once their end is recorded: after the quiet time, or at once if no task was
    /// stopped for them.
    fn remove_obsolete_loans(&mut self, wall_ms: u64) {
        let jobs: Vec<String> = self.ledgers.keys().cloned().collect();
        for job in jobs {
            let ledger = &self.ledgers[&job];
            if ledger.dirty || ledger.in_flight || ledger.indeterminate {
                continue;
            }
            let is_needed = |entry: &Entry| {
                entry.loan.is_active() || (entry.loan.took_effect() && self.within_quiet_time(&entry.loan, wall_ms))
            };
            let kept: Vec<Entry> = ledger.entries.iter().filter(|entry| is_needed(entry)).cloned().collect();
            if kept.len() < ledger.entries.len()
                && let Some(ledger) = self.ledgers.get_mut(&job)
            {
                (ledger.entries, ledger.dirty) = (kept, true);
            }
        }
    }
}
