//! Loan records: restored at a failover, and written in the same commits as the partition's other records.

use super::PartitionBorrowing;
use crate::control::partition::Partition;
use crate::control::partition::commit_builder::ConditionalWrite;
use crate::control::partition::commit_results::WriteFailure;
use crate::wire::{self, KeyValue};
use badgerdrift_borrowing::{JobLoans, LOAN_PREFIX, LoanEvent, LoanId, RecordWrite};

/// Decodes a loan record. Returns the id of the lending job, the record and the version of its key, or
/// `None`, after logging an error, if the record can't be decoded.
fn record(item: KeyValue) -> Option<(String, JobLoans, u64)> {
    let job = item.key.strip_prefix(LOAN_PREFIX)?.to_string();
    match serde_json::from_value(item.value) {
        Ok(record) => Some((job, record, item.version)),
        Err(error) => {
            tracing::error!(key = item.key, %error, "loan record can't be decoded");
            None
        }
    }
}

impl Partition {
    /// Restores the loans from the records of the previous leader.
    pub fn restore_loans(&mut self, items: Vec<KeyValue>) {
        if let Some(borrowing) = &mut self.borrowing {
            borrowing.loans.restore(items.into_iter().filter_map(record));
        }
    }

    /// Returns the writes of loan records that go into the next commit, at most `max_writes` of them.
    pub(in crate::control::partition) fn next_loan_writes(&mut self, max_writes: usize, wall: u64) -> Vec<RecordWrite> {
        self.borrowing.as_mut().map(|borrowing| borrowing.loans.next_writes(max_writes, wall)).unwrap_or_default()
    }

    /// Handles a commit that wrote the pending loan records at `revision`: the stops that wait for these
    /// records may now be ordered.
    pub(in crate::control::partition) fn loans_write_succeeded(&mut self, revision: u64) {
        let Some(borrowing) = &mut self.borrowing else { return };
        for LoanEvent::Recorded(id) in borrowing.loans.commit_succeeded(revision) {
            self.order_waiting_stops(id);
        }
        self.report_loan_transitions();
    }

    /// Handles a commit with loan records that failed or whose result is unknown.
    pub(in crate::control::partition) fn loans_write_failed(&mut self, failure: WriteFailure) {
        let Some(borrowing) = &mut self.borrowing else { return };
        match failure {
            WriteFailure::Indeterminate => borrowing.loans.commit_indeterminate(),
            WriteFailure::NotCarriedOut => borrowing.loans.commit_failed(),
        }
    }

    /// Returns the keys of loan records that must be read before they are written again.
    pub(in crate::control::partition) fn loan_keys_to_read(&self) -> Vec<String> {
        self.borrowing.iter().flat_map(|borrowing| borrowing.loans.keys_to_read()).collect()
    }

    /// Applies a fresh read of a loan record's key. `item` is `None` if the key does not exist.
    pub(in crate::control::partition) fn apply_loan_record(&mut self, key: &str, item: Option<&KeyValue>) {
        if let Some(borrowing) = &mut self.borrowing {
            borrowing.loans.set_read_version(key, item.map_or(0, |item| item.version));
        }
    }

    /// Makes the stops for a loan due. Called once the loan's record is written.
    fn order_waiting_stops(&mut self, id: LoanId) {
        let Some(borrowing) = &mut self.borrowing else { return };
        for stop in borrowing.waiting_stops.remove(&id).unwrap_or_default() {
            let host = self.cluster.host_mut(stop.host);
            if let Some(attempt) = host.and_then(|host| host.attempt_mut(stop.key, stop.attempt)) {
                attempt.stop_awaits_record = false;
                self.dispatch_queue.insert(stop.host);
            }
        }
    }
}

impl PartitionBorrowing {
    /// Encodes the write of a loan record together with its condition.
    pub(in crate::control::partition) fn encode(record: &RecordWrite) -> ConditionalWrite {
        let write = match &record.value {
            Some(value) => wire::put(&record.key, &serde_json::to_value(value).unwrap_or_default(), None),
            None => wire::delete(&record.key),
        };
        ConditionalWrite { condition: wire::condition(&record.key, record.version), write }
    }
}
