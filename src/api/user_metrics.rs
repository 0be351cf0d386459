//! Counters of what users and workers are told by this node, for `GET /metrics`.

use crate::api::refusal::RefusalReason;
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
        if let Ok(mut counters) = self.counters.lock() {
            *counters.refusals.entry((reason, answer.status)).or_default() += 1;
        }
    }

    /// Counts a poll that was answered from a remembered end.
    pub fn count_remembered_poll(&self) {
        if let Ok(mut counters) = self.counters.lock() {
            counters.remembered_polls += 1;
        }
    }

    /// The counters in the usual text format, with how many questions shared a read that
    /// another had asked for.
    pub fn text(&self, shared_reads: u64) -> String {
        let mut out = String::new();
        let Ok(counters) = self.counters.lock() else { return out };
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
