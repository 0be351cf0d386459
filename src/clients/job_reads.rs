//! Fresh reads of job records, shared by the questions that came before them.
//!
//! A read may answer every question that arrived before it was sent, and none that
//! arrived later: another node may have told something newer meanwhile. So a storm of
//! questions about one job costs one read at a time.

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

/// Longest that one read may take. A poll may wait for two of them, the one under way
/// and the next.
pub const READ_LIMIT: Duration = Duration::from_millis(500);

/// What a job's record says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedJob {
    /// There is no record.
    Missing,
    /// Its own record tells no end.
    Live(LiveJob),
    /// The job has ended.
    Ended {
        /// How it ended.
        ended: EndedJob,
        /// True for a service, which no job may wait for.
        is_service: bool,
    },
}

/// A job whose own record tells no end. It is cancelled all the same if one that it needs is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveJob {
    /// Tasks that are recorded as done.
    pub done: u32,
    /// True for a service, which no job may wait for.
    pub is_service: bool,
    /// The jobs that it waits for.
    pub dependencies: Arc<Dependencies>,
}

impl RecordedJob {
    fn of(record: &JobRecord) -> RecordedJob {
        let recorded = record.done.iter().map(|range| range.1 - range.0).sum();
        let is_service = record.spec.shape == Shape::Service;
        let ended = |end, done| RecordedJob::Ended { ended: EndedJob { end, done }, is_service };
        match record.end {
            Some(JobEnd::Done) => ended(JobEnd::Done, record.spec.tasks),
            Some(end) => ended(end, recorded),
            None => {
                let dependencies = Arc::new(record.spec.dependencies.clone());
                RecordedJob::Live(LiveJob { done: recorded, is_service, dependencies })
            }
        }
    }
}

/// The result of a read, as all its questions get it.
pub type ReadResult = Result<RecordedJob, RefusalReason>;

/// Questions by key that wait for a read which is not sent yet. A key is listed for as
/// long as it is being read.
type Waiting<T> = Arc<Mutex<HashMap<String, Vec<oneshot::Sender<T>>>>>;

/// At most one read of a key at a time.
#[derive(Clone)]
pub struct SharedReads<T> {
    waiting: Waiting<T>,
    /// Questions that needed no read of their own.
    shared: Arc<AtomicU64>,
}

impl<T> Default for SharedReads<T> {
    fn default() -> SharedReads<T> {
        SharedReads { waiting: Arc::default(), shared: Arc::default() }
    }
}

impl<T: Clone + Send + 'static> SharedReads<T> {
    /// Enters a question for the next read of the key. `admit` is asked only where the
    /// question needs a read that no other has asked for; none if it refuses.
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

/// Reads a key for as long as questions wait for it.
async fn read_in_turn<T, F, R>(waiting: Waiting<T>, key: String, read: F)
where
    T: Clone,
    F: Fn() -> R,
    R: Future<Output = T>,
{
    while let Some(questions) = take_questions(&waiting, &key) {
        let result = read().await;
        for question in questions {
            let _ = question.send(result.clone());
        }
    }
}

/// The questions of the next read; none, and the key is forgotten, if there are none.
fn take_questions<T>(waiting: &Waiting<T>, key: &str) -> Option<Vec<oneshot::Sender<T>>> {
    let mut waiting = waiting.lock().ok()?;
    let next = waiting.get_mut(key)?;
    next.retain(|question| !question.is_closed());
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
    /// Reads of this state service, as many as the budget admits. It counts as silent without an
    /// answer for half of `leader_lease_ttl_ms`, in milliseconds.
    pub fn new(state: StateStore, budget: RequestBudget, leader_lease_ttl_ms: u64) -> JobReads {
        JobReads { state, budget, leader_lease_ttl_ms, shared: SharedReads::default() }
    }

    /// Questions so far that shared a read which another had asked for.
    pub fn shared_count(&self) -> u64 {
        self.shared.shared.load(Ordering::Relaxed)
    }

    /// What the job's record says in a read that is sent after this call.
    pub async fn read(&self, id: &str, purpose: Purpose, deadline: Instant) -> ReadResult {
        // Known to be silent: refused at once, not after a time-out.
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
