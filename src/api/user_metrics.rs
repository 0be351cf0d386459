//! Counters of the answers of this node to users and workers, for `GET /metrics`.

use crate::api::refusal::RefusalReason;
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};

/// Counters of answers; cheap to clone.
#[derive(Clone, Default)]
pub struct UserMetrics {
    counters: Arc<Mutex<Counters>>,
}

#[derive(Default)]
struct Counters {
    /// Refusals by reason and status.
    refusals: BTreeMap<(RefusalReason, u16), u64>,
    remembered_polls: u64,
}

impl UserMetrics {
    /// Counts an answer if it is a refusal.
    pub fn count_answer(&self, answer: &Response) {
        let Some(reason) = answer.refusal else { return };
        *lock(&self.counters).refusals.entry((reason, answer.status)).or_default() += 1;
    }

    /// Counts a poll that was answered from a remembered end.
    pub fn count_remembered_poll(&self) {
        lock(&self.counters).remembered_polls += 1;
    }

    /// The counters in the text format; `shared_reads` are the questions that shared the read of
    /// another one.
    pub fn text(&self, shared_reads: u64) -> String {
        let mut out = String::new();
        let counters = lock(&self.counters);
        // Writing to a String can't fail.
        for ((reason, status), count) in &counters.refusals {
            let reason = reason.label();
            let _ = writeln!(out, "badgerdrift_refusals_total{{reason=\"{reason}\",status=\"{status}\"}} {count}");
        }
        let _ = writeln!(out, "badgerdrift_polls_from_remembered_ends_total {}", counters.remembered_polls);
        let _ = writeln!(out, "badgerdrift_shared_reads_total {shared_reads}");
        out
    }
}

#[cfg(test)]
mod tests;
