//! Fresh reads of job records, shared by the requests that came before them.
//!
//! A read may answer every request that arrived before it was sent, and none that arrived later:
//! another node may have answered something newer meanwhile. So a storm of requests about one job
//! costs one read at a time.

use crate::api::ended_jobs::EndedJob;
use crate::api::refusal::RefusalReason;
use crate::clients::StateStore;
use crate::clients::request_budget::{Purpose, RequestBudget};
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

/// Timeout of a read. A poll may wait for two of them, the one under way and the next.
pub const READ_LIMIT: Duration = Duration::from_millis(500);

/// The status of a job by its own record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedJob {
    /// There is no record.
    Missing,
    /// The job has not ended by its own record.
    Live(LiveJob),
    /// The job has ended.
    Ended {
        /// How it ended.
        ended: EndedJob,
        /// True for a service, which no job may depend on.
        is_service: bool,
    },
}

/// A job that has not ended by its own record. It is cancelled all the same if one of its
/// dependencies is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveJob {
    /// Number of tasks that are recorded as done.
    pub done: u32,
    /// True for a service, which no job may depend on.
    pub is_service: bool,
    /// The jobs that it depends on.
    pub dependencies: Arc<Dependencies>,
}

impl RecordedJob {
    fn of(record: &JobRecord) -> RecordedJob {
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

/// The result of a read, as all its requests get it.
pub type ReadResult = Result<RecordedJob, RefusalReason>;

/// Requests by key that wait for a read which is not sent yet. A key is listed for as long as it
/// is being read.
type Waiting<T> = Arc<Mutex<HashMap<String, Vec<oneshot::Sender<T>>>>>;

/// At most one read of a key at a time.
#[derive(Clone)]
pub struct SharedReads<T> {
    waiting: Waiting<T>,
    /// Number of requests that needed no read of their own.
    shared: Arc<AtomicU64>,
}

impl<T> Default for SharedReads<T> {
    fn default() -> SharedReads<T> {
        SharedReads { waiting: Arc::default(), shared: Arc::default() }
    }
}

impl<T: Clone + Send + 'static> SharedReads<T> {
    /// Enters a request for the next read of the key. `admit` is called only if the request needs a
    /// read that no other has asked for; `None` if it refuses.
    pub fn enter<F, R>(&self, key: &str, admit: impl FnOnce() -> bool, read: F) -> Option<oneshot::Receiver<T>>
    where
        F: Fn() -> R + Send + 'static,
        R: Future<Output = T> + Send + 'static,
    {
        let (answer, receiver) = oneshot::channel();
        let mut waiting = self.waiting.lock().ok()?;
        if let Some(next) = waiting.get_mut(key) {
            if !next.is_empty() {
                self.shared.fetch_add(1, Ordering::Relaxed);
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
        task::spawn(read_in_turn(self.waiting.clone(), key.to_string(), read));
        Some(receiver)
    }
}

/// Reads a key for as long as requests wait for it.
async fn read_in_turn<T, F, R>(waiting: Waiting<T>, key: String, read: F)
where
    T: Clone,
    F: Fn() -> R,
    R: Future<Output = T>,
{
    while let Some(requests) = take_requests(&waiting, &key) {
        let result = read().await;
        for request in requests {
            // An asker that waits no longer needs no result.
            let _ = request.send(result.clone());
        }
    }
}

/// The requests of the next read; `None`, and the key is removed, if there are none.
fn take_requests<T>(waiting: &Waiting<T>, key: &str) -> Option<Vec<oneshot::Sender<T>>> {
    let mut waiting = waiting.lock().ok()?;
    let next = waiting.get_mut(key)?;
    next.retain(|request| !request.is_closed());
    if next.is_empty() {
        waiting.remove(key);
        return None;
    }
    Some(std::mem::take(next))
}

/// Reads job records afresh for users; cheap to clone.
#[derive(Clone)]
pub struct JobReads {
    state: StateStore,
    budget: RequestBudget,
    leader_lease_ttl_ms: u64,
    shared: SharedReads<ReadResult>,
}

impl JobReads {
    /// Reads of this state store, as many as the budget admits. It counts as unresponsive without an
    /// answer for half of `leader_lease_ttl_ms`, in milliseconds.
    pub fn new(state: StateStore, budget: RequestBudget, leader_lease_ttl_ms: u64) -> JobReads {
        JobReads { state, budget, leader_lease_ttl_ms, shared: SharedReads::default() }
    }

    /// Number of requests so far that shared a read which another had asked for.
    pub fn shared_count(&self) -> u64 {
        self.shared.shared.load(Ordering::Relaxed)
    }

    /// The job by its record, in a read that is sent after this call.
    ///
    /// # Errors
    ///
    /// Why the user has to ask again: the budget for reads is used up, or the state store gave no answer.
    pub async fn read(&self, id: &str, purpose: Purpose, deadline: Instant) -> ReadResult {
        // An unresponsive store: refused at once, not after a timeout.
        if !self.state.is_responsive(self.leader_lease_ttl_ms) {
            return Err(RefusalReason::StateServiceSilent);
        }
        let key = job_key(id);
        let (state, read_key) = (self.state.clone(), key.clone());
        let read = move || read_record(state.clone(), read_key.clone());
        let admit = || self.budget.admits(purpose);
        let Some(answer) = self.shared.enter(&key, admit, read) else {
            return Err(RefusalReason::TooManyReads);
        };
        match timeout_at(deadline, answer).await {
            Ok(Ok(result)) => result,
            _ => Err(RefusalReason::StateServiceSilent),
        }
    }
}

async fn read_record(state: StateStore, key: String) -> ReadResult {
    match state.get_with_timeout(&key, READ_LIMIT).await {
        Ok((Some(item), _)) => match serde_json::from_value::<JobRecord>(item.value) {
            Ok(record) => Ok(RecordedJob::of(&record)),
            Err(_) => Err(RefusalReason::RecordUnreadable),
        },
        Ok((None, _)) => Ok(RecordedJob::Missing),
        Err(_) => Err(RefusalReason::StateServiceSilent),
    }
}

#[cfg(test)]
mod tests;
