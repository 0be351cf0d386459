//! How many requests this node may make to the state store on behalf of users.
//!
//! The store's rate is shared by all controllers, whose renewals, heartbeats and commits
//! draw on it too. What users may cause is therefore a share of it for all controllers
//! together, and submissions and cancellations don't wait behind a storm of polls.

use crate::clients::TokenBucket;
use crate::runtime::clock;
use std::sync::{Arc, Mutex};

/// Share of the store's rate that the polls at all controllers may take.
const POLL_SHARE: f64 = 0.3;
/// Share of the store's rate that submissions and cancellations at all controllers may take.
const CHANGE_SHARE: f64 = 0.4;
/// Requests of so many seconds may be made at once.
const BURST_S: f64 = 1.0;
/// Requests that may be made at once in any case: a submission that is accepted without
/// the leader takes so many.
const MIN_BURST: f64 = 3.0;

/// What a user's request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To read the status of a job.
    Poll,
    /// To submit a job or to cancel it.
    Change,
}

/// The requests that users of this node may cause; cheap to clone.
#[derive(Clone)]
pub struct RequestBudget {
    polls: Arc<Mutex<TokenBucket>>,
    changes: Arc<Mutex<TokenBucket>>,
}

impl RequestBudget {
    /// The budget of one of so many controllers that share a state store of this rate.
    pub fn new(requests_per_s: f64, controllers: usize) -> RequestBudget {
        let own_rate = requests_per_s / controllers.max(1) as f64;
        let bucket = |share: f64| {
            let rate = own_rate * share;
            let burst_s = BURST_S.max(MIN_BURST / rate);
            Arc::new(Mutex::new(TokenBucket::new(rate, burst_s, clock::now_ms())))
        };
        RequestBudget { polls: bucket(POLL_SHARE), changes: bucket(CHANGE_SHARE) }
    }

    /// True if a request may be made now, which is then counted.
    pub fn admits(&self, purpose: Purpose) -> bool {
        self.admits_all(1, purpose)
    }

    /// True if so many requests may be made now, which are then counted.
    pub fn admits_all(&self, requests: usize, purpose: Purpose) -> bool {
        let bucket = match purpose {
            Purpose::Poll => &self.polls,
            Purpose::Change => &self.changes,
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
