//! Readiness and metrics of this node.

use super::Api;
use crate::api::refusal::RefusalReason;
use crate::control::partition_leader;
use crate::runtime::clock;
use crate::runtime::metrics::{gauge_line, labelled_gauge_line};
use crate::transport::http::Response;
use tokio::sync::oneshot;

impl Api {
    /// Answers whether this node can serve requests: the state service has answered within the
    /// duration of a leader lease, and every partition has a leader.
    pub(super) fn ready(&self) -> Response {
        let now = clock::now_ms();
        let last_answer_ms = self.state.last_answer_ms();
        let state_ok = last_answer_ms > 0 && now.saturating_sub(last_answer_ms) < self.router.leader_lease_ttl_ms;
        let every_partition_has_leader = self.router.partitions.iter().all(|partition| {
            let leader_status = partition.leader_status.borrow();
            if leader_status.is_local { partition.leader_lease.holds(now) } else { leader_status.leader.is_some() }
        });
        if state_ok && every_partition_has_leader {
            Response::json(200, &serde_json::json!({ "ready": true }))
        } else {
            RefusalReason::NotReady.response()
        }
    }

    /// Answers with the metrics of this node and of the partitions that it leads, in the Prometheus
    /// text format.
    pub(super) async fn metrics_text(&self) -> Response {
        let mut text = self.answer_metrics.text(self.job_reads.shared_count());
        text.push_str(&self.node_metrics.text());
        text.push_str(&self.state.metrics().text());
        text.push_str(&self.connection_metrics.text());
        text.push_str(&gauge_line("silent_peers", self.router.unresponsive_peers()));
        if let Some(configuration) = &self.router.configuration {
            text.push_str(&configuration.metrics_text());
        }
        let versions = self.router.peer_versions();
        for (label, count) in [("current", versions.current), ("old", versions.old), ("unknown", versions.unknown)] {
            text.push_str(&labelled_gauge_line("peers", "version", label, count));
        }
        for handle in self.router.partitions.iter() {
            let (reply, metrics) = oneshot::channel();
            if handle.leader_mailbox.try_send(partition_leader::PartitionMessage::Metrics(reply)).is_ok() {
                text.push_str(&metrics.await.unwrap_or_default());
            }
        }
        Response {
            status: 200,
            body: text.into_bytes(),
            retry_after_s: None,
            allow: None,
            refusal: None,
            content_type: "text/plain; version=0.0.4",
        }
    }
}
