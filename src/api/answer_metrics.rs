//! Counters of this node's answers to users and workers, for `GET /metrics`.

use crate::api::refusal::RefusalReason;
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};

/// Counters of refusals and remembered polls; cheap to clone, and all clones share the counters.
#[derive(Clone, Default)]
pub struct AnswerMetrics {
    counters: Arc<Mutex<Counters>>,
}

/// Values of the counters.
#[derive(Default)]
struct Counters {
    /// Number of refusals by reason and status.
    refusals: BTreeMap<(RefusalReason, u16), u64>,
    /// Number of polls that were answered from a remembered end.
    polls_from_remembered_ends: u64,
}

impl AnswerMetrics {
    /// Counts the answer if it is a refusal.
    pub fn count_answer(&self, answer: &Response) {
        let Some(reason) = answer.refusal else { return };
        *lock(&self.counters).refusals.entry((reason, answer.status)).or_default() += 1;
    }

    /// Counts a poll that was answered from a remembered end of its job.
    pub fn count_poll_from_remembered_end(&self) {
        lock(&self.counters).polls_from_remembered_ends += 1;
    }

    /// Returns the counters in the Prometheus text format. `shared_reads` is the number of requests
    /// that shared the read of another request.
    pub fn text(&self, shared_reads: u64) -> String {
        let mut out = String::new();
        let counters = lock(&self.counters);
        // Writing to a `String` never fails.
        for ((reason, status), count) in &counters.refusals {
            let reason = reason.label();
            let _ = writeln!(out, "badgerdrift_refusals_total{{reason=\"{reason}\",status=\"{status}\"}} {count}");
        }
        let _ = writeln!(out, "badgerdrift_polls_from_remembered_ends_total {}", counters.polls_from_remembered_ends);
        let _ = writeln!(out, "badgerdrift_shared_reads_total {shared_reads}");
        out
    }
}

#[cfg(test)]
mod tests;
