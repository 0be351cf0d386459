//! Counters of this node's answers to users and workers, for `GET /metrics`.

use crate::api::refusal::RefusalReason;
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Counters of refusals and remembered polls; cheap to clone, and all clones share the counters.
#[derive(Clone, Default)]
pub struct AnswerMetrics {
    counters: Arc<Mutex<Counters>>,
}

/// Source of the answer to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PollSource {
    /// The leader of the job's partition, while its lease was valid.
    Leader,
    /// A fresh read of the job's record.
    Record,
    /// A remembered end of the job.
    RememberedEnd,
    /// None: the poll was refused.
    Refused,
}

impl PollSource {
    fn label(self) -> &'static str {
        match self {
            PollSource::Leader => "leader",
            PollSource::Record => "record",
            PollSource::RememberedEnd => "remembered_end",
            PollSource::Refused => "refused",
        }
    }
}

/// Values of the counters.
#[derive(Default, Clone)]
struct Counters {
    /// Number of polls by the source of their answer.
    polls: BTreeMap<PollSource, u64>,
    /// Number of polls that a leader refused, by reason; they are answered by a fresh read if possible.
    leader_refusals: BTreeMap<RefusalReason, u64>,
    /// Number of refusals by reason and status.
    refusals: BTreeMap<(RefusalReason, u16), u64>,
    /// Number of polls that were answered from a remembered end.
    polls_from_remembered_ends: u64,
}

impl Counters {
    /// Returns the reasons of the leaders' refusals since earlier values, each with its number.
    fn leader_refusals_since(&self, before: &Counters) -> String {
        let since = |(reason, count): (&RefusalReason, &u64)| {
            let count = count - before.leader_refusals.get(reason).unwrap_or(&0);
            (count > 0).then(|| format!("{}={count}", reason.label()))
        };
        self.leader_refusals.iter().filter_map(since).collect::<Vec<_>>().join(",")
    }
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

    /// Counts an answered or refused poll.
    pub fn count_poll(&self, source: PollSource) {
        *lock(&self.counters).polls.entry(source).or_default() += 1;
    }

    /// Counts a poll that the leader of a partition refused.
    pub fn count_leader_refusal(&self, reason: RefusalReason) {
        *lock(&self.counters).leader_refusals.entry(reason).or_default() += 1;
    }

    /// Logs the number of polls by source in each interval of this length in which there were any, for as long as this
    /// node runs.
    pub async fn log_summaries(self, interval: Duration) {
        let mut before = Counters::default();
        loop {
            sleep(interval).await;
            let counters = lock(&self.counters).clone();
            let polls = |source| counters.polls.get(&source).unwrap_or(&0) - before.polls.get(&source).unwrap_or(&0);
            if counters.polls != before.polls {
                tracing::info!(
                    leader = polls(PollSource::Leader),
                    record = polls(PollSource::Record),
                    remembered_end = polls(PollSource::RememberedEnd),
                    refused = polls(PollSource::Refused),
                    leader_refusals = counters.leader_refusals_since(&before),
                    "poll summary"
                );
            }
            before = counters;
        }
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
        for (source, count) in &counters.polls {
            let _ = writeln!(out, "badgerdrift_poll_answers_total{{of=\"{}\"}} {count}", source.label());
        }
        for (reason, count) in &counters.leader_refusals {
            let _ = writeln!(out, "badgerdrift_leader_refusals_total{{of=\"{}\"}} {count}", reason.label());
        }
        let _ = writeln!(out, "badgerdrift_polls_from_remembered_ends_total {}", counters.polls_from_remembered_ends);
        let _ = writeln!(out, "badgerdrift_shared_reads_total {shared_reads}");
        out
    }
}

#[cfg(test)]
mod tests;
