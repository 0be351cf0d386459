//! Counters of the requests to the state service, for `GET /metrics`.

use super::RequestError;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateRequestKind {
    /// Read of one key.
    Read,
    /// Read of one page of a list of keys.
    Page,
    /// Compare-and-swap commit.
    Commit,
    /// Creation, renewal or revocation of a lease.
    Lease,
    /// Watch for changes.
    Watch,
}

/// Labels of the kinds, in the order of [`StateRequestKind`].
const KINDS: [&str; 5] = ["read", "page", "commit", "lease", "watch"];
/// Labels of the outcomes, in the order of [`outcome_index`].
const OUTCOMES: [&str; 4] = ["answered", "throttled", "refused", "unanswered"];

/// Numbers of requests by kind and outcome; cheap to clone, and all clones share the numbers.
#[derive(Debug, Clone, Default)]
pub struct StateRequestMetrics(Arc<[[AtomicU64; OUTCOMES.len()]; KINDS.len()]>);

impl StateRequestMetrics {
    /// Counts a request; `error` is the reason why it had no usable answer.
    pub fn count(&self, kind: StateRequestKind, error: Option<RequestError>) {
        self.0[kind as usize][outcome_index(error)].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counters that are not zero, in the text format of `GET /metrics`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (kind, outcomes) in KINDS.iter().zip(self.0.iter()) {
            for (outcome, count) in OUTCOMES.iter().zip(outcomes) {
                let count = count.load(Ordering::Relaxed);
                if count > 0 {
                    // Writing to a `String` cannot fail.
                    let _ = writeln!(
                        text,
                        "badgerdrift_state_requests_total{{kind=\"{kind}\",outcome=\"{outcome}\"}} {count}"
                    );
                }
            }
        }
        text
    }
}

/// Returns the index of the outcome in [`OUTCOMES`]. An answer that the caller cannot use is an answer.
fn outcome_index(error: Option<RequestError>) -> usize {
    match error {
        None | Some(RequestError::NotFound) => 0,
        Some(RequestError::Throttled) => 1,
        Some(RequestError::Refused) => 2,
        Some(RequestError::Indeterminate) => 3,
    }
}
