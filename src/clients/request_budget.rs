//! Budget of the requests that this node may make to the state service on behalf of users.
//!
//! All controllers share the rate limit of the state service, also for their lease renewals,
//! heartbeats and commits. The requests that users cause are therefore limited to a share of that
//! rate for all controllers together. Submissions and cancellations have a share of their own, so
//! that many polls do not delay them.

use crate::clients::TokenBucket;
use crate::runtime::clock;
use std::sync::{Arc, Mutex};

/// Share of the state service's rate limit for polls at all controllers together.
const POLL_SHARE: f64 = 0.3;
/// Share of the state service's rate limit for submissions and cancellations at all controllers
/// together.
const CHANGE_SHARE: f64 = 0.4;
/// Largest burst, as the number of seconds whose requests may be made at once.
const BURST_S: f64 = 1.0;
/// Lower bound of the largest burst, in requests: the acceptance of a submission without the leader
/// takes three.
const MIN_BURST: f64 = 3.0;

/// Purpose of a request that a user causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPurpose {
    /// Reading the status of a job.
    Poll,
    /// Submitting or cancelling a job.
    Change,
}

/// Budget of the requests that users of this node may cause; cheap to clone, and all clones share the
/// budget.
#[derive(Clone)]
pub struct RequestBudget {
    polls: Arc<Mutex<TokenBucket>>,
    changes: Arc<Mutex<TokenBucket>>,
}

impl RequestBudget {
    /// Returns the budget of one controller, where `controllers` controllers share a state service that
    /// allows `requests_per_s` requests per second.
    pub fn new(requests_per_s: f64, controllers: usize) -> RequestBudget {
        let own_rate = requests_per_s / controllers.max(1) as f64;
        let bucket = |share: f64| {
            let rate = own_rate * share;
            let burst_s = BURST_S.max(MIN_BURST / rate);
            Arc::new(Mutex::new(TokenBucket::new(rate, burst_s, clock::now_ms())))
        };
        RequestBudget { polls: bucket(POLL_SHARE), changes: bucket(CHANGE_SHARE) }
    }

    /// Counts a request if it may be made now, and returns whether it may.
    pub fn try_admit(&self, purpose: RequestPurpose) -> bool {
        self.try_admit_all(1, purpose)
    }

    /// Counts this number of requests if all of them may be made now, and returns whether they may.
    pub fn try_admit_all(&self, requests: usize, purpose: RequestPurpose) -> bool {
        let bucket = match purpose {
            RequestPurpose::Poll => &self.polls,
            RequestPurpose::Change => &self.changes,
        };
        let Ok(mut bucket) = bucket.lock() else { return false };
        let admitted = bucket.available_tokens(clock::now_ms()) >= requests;
        if admitted {
            bucket.spend(requests);
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
