//! The interface for users, workers and health checks.
//!
//! Job records are the truth: 201, `cancelled` and `done` are answered only after the commit of
//! what they state. A known id gets 200, and 404 is answered only after a fresh read of the
//! record. Answers that may change later come from the partition leader, while its lease is
//! valid and no end of the job is being recorded, or from a fresh read; where neither is
//! possible the answer is 503.
//!
//! What can't be served is answered at once, with `Retry-After`: a request is never held back
//! to keep its sender from trying again.

pub mod ended_jobs;
pub mod refusal;
pub mod user_metrics;

use crate::api::ended_jobs::EndedJobs;
use crate::api::refusal::RefusalReason;
use crate::api::user_metrics::UserMetrics;
use crate::clients::StateStore;
use crate::clients::job_reads::JobReads;
use crate::clients::request_budget::RequestBudget;
use crate::clients::write_limits::WriteLimits;
use crate::control::router::Router;
use crate::runtime::metrics::SharedMetrics;
use crate::scheduling::Policy;
use crate::transport::http::{Request, Response};
use crate::transport::peer::UserCall;
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

pub use route_hints::RouteHints;

/// Longest time until the answer to a submission or a cancellation: users wait for 5 s.
const MAX_USER_WAIT: Duration = Duration::from_millis(4500);

/// What answers are made from; cheap to clone.
#[derive(Clone)]
pub struct Api {
    /// Client of the state service.
    pub state: StateStore,
    /// Fresh reads of job records.
    pub job_reads: JobReads,
    /// Requests to the state service that users of this node may cause.
    pub request_budget: RequestBudget,
    /// Ends of jobs that this node has read or forwarded.
    pub ended_jobs: EndedJobs,
    /// Counters of the answers to users and workers.
    pub metrics: UserMetrics,
    /// Forwards requests to the leaders of the partitions.
    pub router: Router,
    /// Metrics of this node, apart from those of its partitions.
    pub node_metrics: SharedMetrics,
    /// Partition of each team, by its name.
    pub teams: Arc<HashMap<String, u32>>,
    /// Settings that decisions depend on.
    pub policy: Arc<Policy>,
    /// Limits of the state service.
    pub limits: WriteLimits,
    /// In which partition jobs and machines were last found.
    pub route_hints: Arc<Mutex<RouteHints>>,
}

impl Api {
    /// Answers a request; refusals are logged at `debug`.
    pub async fn handle(self, request: Request) -> Response {
        let what = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{} {}", request.method, request.path));
        let metrics = self.metrics.clone();
        let response = self.answer(request).await;
        metrics.count_answer(&response);
        if let Some(what) = what.filter(|_| response.status >= 400 && response.status != 404) {
            tracing::debug!(what, status = response.status, why = %String::from_utf8_lossy(&response.body), "refused");
        }
        response
    }

    async fn answer(self, request: Request) -> Response {
        let path = request.path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("POST", ["agent", "beat"]) => self.heartbeat(&request.body).await,
            ("POST", ["v1", "jobs"]) => in_time(self.submit(request.body)).await,
            ("GET", ["v1", "jobs", id]) => self.job(id, UserCall::Status(id.to_string())).await,
            ("POST", ["v1", "jobs", id, "withdraw"]) => in_time(self.job(id, UserCall::Cancel(id.to_string()))).await,
            ("GET", ["ready"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics_text().await,
            (_, ["agent", "beat"] | ["v1", "jobs"] | ["v1", "jobs", _, "withdraw"]) => not_allowed("POST"),
            (_, ["v1", "jobs", _] | ["ready"] | ["metrics"]) => not_allowed("GET"),
            _ => Response::error(404, "no such path"),
        }
    }
}

/// An answer that comes before its user has given up; the retry learns whether the request was
/// carried out.
async fn in_time(answer: impl Future<Output = Response>) -> Response {
    timeout(MAX_USER_WAIT, answer).await.unwrap_or_else(|_| RefusalReason::NoDecisionInTime.response())
}

fn not_allowed(allow: &'static str) -> Response {
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
