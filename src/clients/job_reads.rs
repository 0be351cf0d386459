//! Fresh reads of job records, each shared by the requests that arrived before it was sent.
//!
//! A read may answer every request that arrived before it was sent, but none that arrived later, as
//! another node may have given a newer answer meanwhile. Any number of concurrent requests about one
//! job thus costs at most one read at a time.

use crate::api::ended_jobs::EndedJob;
use crate::api::refusal::RefusalReason;
use crate::clients::StateStore;
use crate::clients::request_budget::{RequestBudget, RequestPurpose};
use crate::control::partition::job_key;
use crate::model::{Dependencies, JobEnd, JobRecord, Shape};
use crate::runtime::task;
use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Timeout of a read. A request may wait for two reads: the one in flight and the next one.
pub const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Status of a job according to its own record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedJob {
    /// The job has no record.
    Missing,
    /// The record states no end of the job.
    Live(LiveJob),
    /// The record states the end of the job.
    Ended {
        /// End of the job, and its number of done tasks.
        ended: EndedJob,
        /// Whether the job is a service; no job may depend on a service.
        is_service: bool,
    },
}

/// A job whose own record states no end. The job is cancelled nevertheless if one of its
/// dependencies is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveJob {
    /// Number of tasks that the record states as done.
    pub done: u32,
    /// Whether the job is a service; no job may depend on a service.
    pub is_service: bool,
    /// Jobs that the job depends on.
    pub dependencies: Arc<Dependencies>,
}

impl RecordedJob {
    /// Returns the status that a record states.
    fn from_record(record: &JobRecord) -> RecordedJob {
        let done_tasks = record.done.iter().map(|range| range.1 - range.0).sum();
        let is_service = record.spec.shape == Shape::Service;
        let ended = |end, done| RecordedJob::Ended { ended: EndedJob { end, done }, is_service };
        match record.end {
            Some(JobEnd::Done) => ended(JobEnd::Done, record.spec.tasks),
            Some(end) => ended(end, done_tasks),
            None => {
                let dependencies = Arc::new(record.spec.dependencies.clone());
                RecordedJob::Live(LiveJob { done: done_tasks, is_service, dependencies })
            }
        }
    }
}

/// Result of a read, which every request that shares the read receives.
pub type ReadResult = Result<RecordedJob, RefusalReason>;

/// Requests that wait for a read that is not sent yet, by key. The map contains each key that is
/// being read, also if no request waits for its next read.
type WaitingRequests<T> = Arc<Mutex<HashMap<String, Vec<oneshot::Sender<T>>>>>;

/// Reads that are shared by concurrent requests; at most one read of a key is in flight. Clones share
/// the reads.
#[derive(Clone)]
pub struct SharedReads<T> {
    waiting: WaitingRequests<T>,
    /// Number of requests that shared a read which another request had caused.
    shared_count: Arc<AtomicU64>,
}

impl<T> Default for SharedReads<T> {
    fn default() -> SharedReads<T> {
        SharedReads { waiting: Arc::default(), shared_count: Arc::default() }
    }
}

impl<T: Clone + Send + 'static> SharedReads<T> {
    /// Adds a request to the next read of the key and returns the receiver of the result. `admit` is
    /// called only if no other request waits for that read; if it returns `false`, the request is not
    /// added and the result is `None`. `read` reads the key once. Only the `read` of the request that begins
    /// a series of reads is used, for all reads of that series.
    pub fn join_next_read<F, R>(&self, key: &str, admit: impl FnOnce() -> bool, read: F) -> Option<oneshot::Receiver<T>>
    where
        F: Fn() -> R + Send + 'static,
        R: Future<Output = T> + Send + 'static,
    {
        let (answer, receiver) = oneshot::channel();
        let mut waiting = self.waiting.lock().ok()?;
        if let Some(next) = waiting.get_mut(key) {
            if !next.is_empty() {
                self.shared_count.fetch_add(1, Ordering::Relaxed);
            } else if !admit() {
                return None;
            }
            next.push(answer);
            return Some(receiver);
        }
        if !admit() {
            return None;
        }
        waiting.insert(key.to_string(), vec![answer]);
        task::spawn(serve_waiting_requests(self.waiting.clone(), key.to_string(), read));
        Some(receiver)
    }
}

/// Reads a key repeatedly for as long as requests wait for it.
async fn serve_waiting_requests<T, F, R>(waiting: WaitingRequests<T>, key: String, read: F)
where
    T: Clone,
    F: Fn() -> R,
    R: Future<Output = T>,
{
    while let Some(requests) = take_waiting_requests(&waiting, &key) {
        let result = read().await;
        for request in requests {
            // Sending fails if the request no longer waits; it then needs no result.
            let _ = request.send(result.clone());
        }
    }
}

/// Takes the requests of the next read of the key. If there are none, removes the key and returns
/// `None`.
fn take_waiting_requests<T>(waiting: &WaitingRequests<T>, key: &str) -> Option<Vec<oneshot::Sender<T>>> {
    let mut waiting = waiting.lock().ok()?;
    let next = waiting.get_mut(key)?;
    next.retain(|request| !request.is_closed());
    if next.is_empty() {
        waiting.remove(key);
        return None;
    }
    Some(std::mem::take(next))
}

/// Fresh reads of job records for users, within a budget; cheap to clone.
#[derive(Clone)]
pub struct JobReads {
    state: StateStore,
    budget: RequestBudget,
    leader_lease_ttl_ms: u64,
    reads: SharedReads<ReadResult>,
}

impl JobReads {
    /// Returns reads of this state service, limited by the budget. The state service counts as
    /// unresponsive after half of `leader_lease_ttl_ms`, in milliseconds, without an answer.
    pub fn new(state: StateStore, budget: RequestBudget, leader_lease_ttl_ms: u64) -> JobReads {
        JobReads { state, budget, leader_lease_ttl_ms, reads: SharedReads::default() }
    }

    /// Returns the number of requests so far that shared a read which another request had caused.
    pub fn shared_count(&self) -> u64 {
        self.reads.shared_count.load(Ordering::Relaxed)
    }

    /// Returns the status of a job by a read of its record that is sent after this call.
    ///
    /// # Errors
    ///
    /// The reason of the refusal: the state service is unresponsive, the budget for reads is used up, the
    /// read failed or gave no result before the deadline, or the record can't be parsed.
    pub async fn read(&self, id: &str, purpose: RequestPurpose, deadline: Instant) -> ReadResult {
        // The request is refused at once instead of after a timeout.
        if !self.state.is_responsive(self.leader_lease_ttl_ms) {
            return Err(RefusalReason::StateServiceSilent);
        }
        let key = job_key(id);
        let (state, read_key) = (self.state.clone(), key.clone());
        let read = move || read_record(state.clone(), read_key.clone());
        let admit = || self.budget.try_admit(purpose);
        let Some(answer) = self.reads.join_next_read(&key, admit, read) else {
            return Err(RefusalReason::TooManyReads);
        };
        match timeout_at(deadline, answer).await {
            Ok(Ok(result)) => result,
            _ => Err(RefusalReason::StateServiceSilent),
        }
    }
}

/// Reads and parses the job record under the key.
async fn read_record(state: StateStore, key: String) -> ReadResult {
    match state.get_with_timeout(&key, READ_TIMEOUT).await {
        Ok((Some(item), _)) => match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => Ok(RecordedJob::from_record(&record)),
            Err(_) => Err(RefusalReason::RecordUnreadable),
        },
        Ok((None, _)) => Ok(RecordedJob::Missing),
        Err(_) => Err(RefusalReason::StateServiceSilent),
    }
}

#[cfg(test)]
mod tests;
