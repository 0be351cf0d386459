//! Ends of jobs that this node has read or forwarded.
//!
//! An end never changes once it is recorded, so that a remembered one is answered without a
//! request to anybody. Nothing else is remembered: that a job is live or missing may change.

use crate::model::JobEnd;
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use crate::wire;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

/// How a job ended, and how many of its tasks were done by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedJob {
    /// Whether it was done or cancelled.
    pub end: JobEnd,
    /// Tasks that were done.
    pub done: u32,
}

impl EndedJob {
    /// The answer to users.
    pub fn response(self, id: &str) -> Response {
        Response::json(200, &wire::job_answer(id, self.end.phase(), self.done, 0))
    }
}

/// Ends by job id, first in, first out; cheap to clone.
#[derive(Clone)]
pub struct EndedJobs {
    most: usize,
    ends: Arc<Mutex<EndMap>>,
}

#[derive(Default)]
struct EndMap {
    by_id: HashMap<Arc<str>, EndedJob>,
    oldest_first: VecDeque<Arc<str>>,
}

impl EndedJobs {
    /// Remembers `most` ends at the most; a further one replaces the oldest.
    pub fn new(most: usize) -> EndedJobs {
        EndedJobs { most, ends: Arc::default() }
    }

    /// The end of a job, if it is remembered.
    pub fn get(&self, id: &str) -> Option<EndedJob> {
        lock(&self.ends).by_id.get(id).copied()
    }

    /// Remembers an end, unless one of the job is remembered already.
    pub fn insert(&self, id: &str, ended: EndedJob) {
        let mut ends = lock(&self.ends);
        if ends.by_id.contains_key(id) {
            return;
        }
        if ends.oldest_first.len() >= self.most
            && let Some(oldest) = ends.oldest_first.pop_front()
        {
            ends.by_id.remove(&oldest);
        }
        let id: Arc<str> = id.into();
        ends.oldest_first.push_back(id.clone());
        ends.by_id.insert(id, ended);
    }

    /// Remembers the end that a leader's answer about a job states, if it states one.
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
