//! Cache of the ends of jobs that this node has read or forwarded.
//!
//! An end never changes once it is recorded, so a remembered end is answered without a request to
//! the leader or to the state service. Nothing else is remembered, as a live job may end and a
//! missing job may be submitted.

use crate::model::JobEnd;
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use crate::wire;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

/// How a job ended, and how many of its tasks were done by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedJob {
    /// Whether the job is done or cancelled.
    pub end: JobEnd,
    /// Number of tasks that were done when the job ended.
    pub done: u32,
}

impl EndedJob {
    /// Returns the answer to users about the job with the given id.
    pub fn response(self, id: &str) -> Response {
        Response::json(200, &wire::job_answer(id, self.end.phase(), self.done, 0))
    }
}

/// Ends by job id; the oldest is evicted first. Cheap to clone, and all clones share the ends.
#[derive(Clone)]
pub struct EndedJobs {
    max_ends: usize,
    ends: Arc<Mutex<EndsById>>,
}

/// Ends by job id, and the ids in the order of insertion.
#[derive(Default)]
struct EndsById {
    by_id: HashMap<Arc<str>, EndedJob>,
    insertion_order: VecDeque<Arc<str>>,
}

impl EndedJobs {
    /// Returns an empty cache that remembers at most `max_ends` ends.
    pub fn new(max_ends: usize) -> EndedJobs {
        EndedJobs { max_ends, ends: Arc::default() }
    }

    /// Returns the end of a job; `None` if it is not remembered.
    pub fn get(&self, id: &str) -> Option<EndedJob> {
        lock(&self.ends).by_id.get(id).copied()
    }

    /// Remembers the end of a job, unless one is remembered already.
    pub fn insert(&self, id: &str, ended: EndedJob) {
        let mut ends = lock(&self.ends);
        if ends.by_id.contains_key(id) {
            return;
        }
        if ends.insertion_order.len() >= self.max_ends
            && let Some(oldest) = ends.insertion_order.pop_front()
        {
            ends.by_id.remove(&oldest);
        }
        let id: Arc<str> = id.into();
        ends.insertion_order.push_back(id.clone());
        ends.by_id.insert(id, ended);
    }

    /// Remembers the end that a leader's answer about a job states; an answer without an end has no
    /// effect.
    pub fn insert_stated(&self, id: &str, answer: &Response) {
        if answer.status != 200 {
            return;
        }
        if let Some((end, done)) = wire::stated_end(&answer.body) {
            self.insert(id, EndedJob { end, done });
        }
    }
}

#[cfg(test)]
mod tests;
