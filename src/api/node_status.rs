//! Readiness and metrics of this node.

use super::Api;
use crate::api::refusal::RefusalReason;
use crate::control::partition_leader;
use crate::runtime::clock;
use crate::runtime::metrics::{gauge_line, labelled_gauge_line};
use crate::transport::http::Response;
use tokio::sync::oneshot;

impl Api {
    /// Answers whether this node can take requests: unless it is isolated.
    ///
    /// What every controller lacks, as the state service in an outage or a leader during a failover, does not make a
    /// node unready. The load balancer would skip all controllers, and go on to skip them for up to a minute
    /// afterwards; until then each request is refused with its reason.
    pub(super) fn ready(&self) -> Response {
        if self.is_isolated(clock::now_ms()) {
            return RefusalReason::NotReady.response();
        }
        Response::json(200, &serde_json::json!({ "ready": true }))
    }

    /// Returns whether this node can neither act itself nor reach what other controllers rely on: it may not act
    /// for any partition, the state service has not answered it within the duration of a leader lease, and it reaches
    /// no other controller.
    fn is_isolated(&self, now_ms: u64) -> bool {
        let last_answer_ms = self.state.last_answer_ms();
        let state_answers =
            last_answer_ms > 0 && now_ms.saturating_sub(last_answer_ms) < self.router.leader_lease_ttl_ms;
        !state_answers && !self.router.holds_any_lease(now_ms) && !self.router.reaches_any_peer()
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
