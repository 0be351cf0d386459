//! HTTP interface for users, workers and health checks.
//!
//! Job records are authoritative: 201, `cancelled` and `done` are answered only after the commit
//! that records them. The submission of a known id gets 200, and 404 is answered only after a fresh
//! read of the record. Answers that may change later come from the partition leader, while its
//! lease is valid and no end of the job is being recorded, or from a fresh read; where neither is
//! possible the answer is 503.
//!
//! A request whose refusal is already certain is refused at once, with `Retry-After`; no request is
//! delayed in order to slow its sender down. A submission or cancellation waits for its decision at
//! most for `USER_ANSWER_TIMEOUT`.

pub mod answer_metrics;
pub mod ended_jobs;
pub mod refusal;

use crate::api::answer_metrics::AnswerMetrics;
use crate::api::ended_jobs::EndedJobs;
use crate::api::refusal::RefusalReason;
use crate::clients::StateStore;
use crate::clients::job_reads::JobReads;
use crate::clients::request_budget::RequestBudget;
use crate::clients::write_limits::WriteLimits;
use crate::control::router::Router;
use crate::runtime::metrics::SharedMetrics;
use crate::scheduling::Policy;
use crate::transport::http::{ConnectionMetrics, Request, Response};
use crate::transport::peer::UserCall;
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

pub use route_hints::RouteHints;

/// Time limit for the answer to a submission or a cancellation. It is below the 5 s for which
/// users wait at most.
const USER_ANSWER_TIMEOUT: Duration = Duration::from_millis(4500);

/// State and clients that requests are answered with; cheap to clone.
#[derive(Clone)]
pub struct Api {
    /// Client of the state service.
    pub state: StateStore,
    /// Fresh reads of job records.
    pub job_reads: JobReads,
    /// Budget of the requests to the state service that users of this node may cause.
    pub request_budget: RequestBudget,
    /// Ends of jobs that this node has read or forwarded.
    pub ended_jobs: EndedJobs,
    /// Counters of the refusals to users and workers, and of polls answered from `ended_jobs`.
    pub answer_metrics: AnswerMetrics,
    /// Counters of the connections that this node turned away.
    pub connection_metrics: ConnectionMetrics,
    /// Forwards requests to the leaders of the partitions.
    pub router: Router,
    /// Metrics of this node, apart from those of its partitions.
    pub node_metrics: SharedMetrics,
    /// Number of the partition of each team, by the name of the team.
    pub partition_by_team: Arc<HashMap<String, u32>>,
    /// Scheduling policy from the settings of this node. Where there is a shared configuration, it is
    /// applied to the policy when a submission is checked.
    pub policy: Arc<Policy>,
    /// Limits of writes to the state service.
    pub limits: WriteLimits,
    /// Partitions in which jobs and machines were last found.
    pub route_hints: Arc<Mutex<RouteHints>>,
}

impl Api {
    /// Answers a request, and counts the answer if it is a refusal with a [`RefusalReason`]. Answers with a
    /// status of 400 or more, other than 404, are logged at `debug`, whether they have such a reason or not.
    pub async fn handle(self, request: Request) -> Response {
        let what = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{} {}", request.method, request.path));
        let answer_metrics = self.answer_metrics.clone();
        let response = self.answer(request).await;
        answer_metrics.count_answer(&response);
        if let Some(what) = what.filter(|_| response.status >= 400 && response.status != 404) {
            tracing::debug!(
                what,
                status = response.status,
                why = %String::from_utf8_lossy(&response.body),
                "request answered with an error status"
            );
        }
        response
    }

    /// Answers a request by its method and path.
    async fn answer(self, request: Request) -> Response {
        let path = request.path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["agent", "beat"]) => self.answer_heartbeat(&request.body).await,
            ("POST", ["v1", "jobs"]) => answer_within_timeout(self.submit(request.body)).await,
            ("GET", ["v1", "jobs", id]) => self.poll_or_cancel(id, UserCall::Status(id.to_string())).await,
            ("POST", ["v1", "jobs", id, "withdraw"]) => {
                answer_within_timeout(self.poll_or_cancel(id, UserCall::Cancel(id.to_string()))).await
            }
            ("GET", ["ready"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics_text().await,
            (_, ["agent", "beat"] | ["v1", "jobs"] | ["v1", "jobs", _, "withdraw"]) => method_not_allowed("POST"),
            (_, ["v1", "jobs", _] | ["ready"] | ["metrics"]) => method_not_allowed("GET"),
            _ => Response::error(404, "no such path"),
        }
    }
}

/// Awaits the answer for at most [`USER_ANSWER_TIMEOUT`] and returns a refusal after that. The
/// request may nevertheless have been carried out; a retry shows whether it was.
async fn answer_within_timeout(answer: impl Future<Output = Response>) -> Response {
    timeout(USER_ANSWER_TIMEOUT, answer).await.unwrap_or_else(|_| RefusalReason::NoDecisionInTime.response())
}

/// Returns the answer 405, with the method that the path allows.
fn method_not_allowed(allow: &'static str) -> Response {
    Response { allow: Some(allow), ..Response::error(405, "method not allowed") }
}

mod dependencies;
mod heartbeats;
mod jobs;
mod node_status;
mod route_hints;
mod submissions;
#[cfg(test)]
mod tests;
