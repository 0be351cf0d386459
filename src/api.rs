//! What users, workers and health checks ask of this node.

pub mod ended_jobs;
pub mod refusal;
pub mod user_metrics;

use crate::api::ended_jobs::{EndedJob, EndedJobs};
use crate::api::refusal::RefusalReason;
use crate::api::user_metrics::UserMetrics;
use crate::clients::StateStore;
use crate::clients::job_reads::{JobReads, READ_LIMIT, RecordedJob};
use crate::clients::request_budget::{Purpose, RequestBudget};
use crate::clients::write_limits::WriteLimits;
use crate::control::partition_leader;
use crate::control::router::Router;
use crate::model::{JobEnd, JobPhase};
use crate::runtime::clock;
use crate::runtime::metrics::{SharedMetrics, gauge_line, labelled_gauge_line};
use crate::scheduling::Policy;
use crate::transport::http::{Request, Response};
use crate::transport::peer::UserCall;
use crate::wire;
use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

pub use route_hints::RouteHints;

/// Longest wait for the answer to a submission or a cancellation: users wait 5 s.
const MAX_USER_WAIT: Duration = Duration::from_millis(4500);

/// What answering needs; cheap to clone.
#[derive(Clone)]
pub struct Api {
    /// Client of the state service.
    pub state: StateStore,
    /// Fresh reads of job records.
    pub job_reads: JobReads,
    /// Requests to the state service that users of this node may cause.
    pub request_budget: RequestBudget,
    /// Ends of jobs that this node has read or passed on.
    pub ended_jobs: EndedJobs,
    /// Counters of what users and workers are told.
    pub metrics: UserMetrics,
    /// The ways to the leaders of the partitions.
    pub router: Router,
    /// Figures of this node, apart from those of its partitions.
    pub node_metrics: SharedMetrics,
    /// Part of each team.
    pub teams: Arc<HashMap<String, u32>>,
    /// Settings that decisions depend on.
    pub policy: Arc<Policy>,
    /// What the state service takes.
    pub limits: WriteLimits,
    /// In which partition jobs and machines were last found.
    pub route_hints: Arc<Mutex<RouteHints>>,
}

impl Api {
    /// Answers a request; refusals are told at `debug`.
    pub async fn handle(self, req: Request) -> Response {
        let what = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{} {}", req.method, req.path));
        let metrics = self.metrics.clone();
        let r = self.answer(req).await;
        metrics.count_answer(&r);
        if let Some(what) = what.filter(|_| r.status >= 400 && r.status != 404) {
            tracing::debug!(what, status = r.status, why = %String::from_utf8_lossy(&r.body), "refused");
        }
        r
    }

    async fn answer(self, req: Request) -> Response {
        let path = req.path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (req.method.as_str(), segments.as_slice()) {
            ("POST", ["agent", "beat"]) => self.heartbeat(&req.body).await,
            ("POST", ["v1", "jobs"]) => in_time(self.submit(req.body)).await,
            ("GET", ["v1", "jobs", id]) => self.job(id, UserCall::Status(id.to_string())).await,
            ("POST", ["v1", "jobs", id, "withdraw"]) => in_time(self.job(id, UserCall::Cancel(id.to_string()))).await,
            ("GET", ["ready"]) => self.ready(),
            ("GET", ["metrics"]) => self.metrics_text().await,
            (_, ["agent", "beat"] | ["v1", "jobs"] | ["v1", "jobs", _, "withdraw"]) => not_allowed("POST"),
            (_, ["v1", "jobs", _] | ["ready"] | ["metrics"]) => not_allowed("GET"),
            _ => Response::error(404, "no such path"),
        }
    }

    /// Ready means: requests can really be taken, for the state service answers
    /// and somebody holds the jobs.
    fn ready(&self) -> Response {
        let now = clock::now_ms();
        let last = self.state.last_answer_ms();
        let state_ok = last > 0 && now.saturating_sub(last) < self.router.leader_lease_ttl_ms;
        let held = self.router.partitions.iter().all(|d| {
            let leader_status = d.leader_status.borrow();
            if leader_status.is_self { d.leader_lease.holds(now) } else { leader_status.leader.is_some() }
        });
        if state_ok && held {
            Response::json(200, &serde_json::json!({ "ready": true }))
        } else {
            RefusalReason::NotReady.response()
        }
    }

    async fn metrics_text(&self) -> Response {
        let mut text = self.metrics.text(self.job_reads.shared_count());
        text.push_str(&self.node_metrics.text());
        text.push_str(&gauge_line("silent_peers", self.router.unresponsive_peers()));
        if let Some(configuration) = &self.router.configuration {
            text.push_str(&configuration.metrics_text());
        }
        let versions = self.router.peer_versions();
        for (label, count) in [("current", versions.current), ("old", versions.old), ("unknown", versions.unknown)] {
            text.push_str(&labelled_gauge_line("peers", "version", label, count));
        }
        for handle in self.router.partitions.iter() {
            let (tx, rx) = oneshot::channel();
            if handle.leader.try_send(partition_leader::Message::Metrics(tx)).is_ok() {
                text.push_str(&rx.await.unwrap_or_default());
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

    async fn job(&self, id: &str, call: UserCall) -> Response {
        if !wire::is_job_id(id) {
            return Response::error(404, "no such job");
        }
        let status = matches!(call, UserCall::Status(_));
        if let Some(ended) = self.ended_jobs.get(id) {
            if status {
                self.metrics.count_remembered_poll();
            }
            return ended.response(id);
        }
        let hint = self.route_hints.lock().ok().and_then(|hints| hints.job(id));
        let all = 0..self.router.partitions.len() as u32;
        let order: Vec<u32> = hint.into_iter().chain(all.filter(|p| Some(*p) != hint)).collect();
        let mut indeterminate = None;
        for partition in order {
            match self.router.user(partition, call.clone()).await {
                Some(r) if r.status == 404 => {}
                Some(r) if r.status == 200 => {
                    if let Ok(mut p) = self.route_hints.lock() {
                        p.remember_job(id, partition);
                    }
                    self.ended_jobs.insert_told(id, &r);
                    return r;
                }
                other => indeterminate = Some(other.unwrap_or_else(|| RefusalReason::LeaderUnreachable.response())),
            }
            if hint == Some(partition) {
                // It was there, and a job stays in its partition.
                break;
            }
        }
        match indeterminate {
            Some(r) if !status => r,
            // Only a fresh read can say that a job is not there.
            _ => {
                let purpose = if status { Purpose::Poll } else { Purpose::Change };
                self.fresh(id, status, purpose).await
            }
        }
    }

    /// Answers from the job's record, read now.
    async fn fresh(&self, id: &str, status: bool, purpose: Purpose) -> Response {
        let deadline = Instant::now() + 2 * READ_LIMIT;
        match self.job_reads.read(id, purpose, deadline).await {
            Ok(RecordedJob::Missing) => Response::error(404, "no such job"),
            Ok(RecordedJob::Live(job)) => match self.needs_cancelled(&job.dependencies, purpose, deadline).await {
                Ok(true) => self.ended(id, EndedJob { end: JobEnd::Cancelled, done: job.done }),
                Ok(false) if status => Response::json(200, &wire::job_answer(id, JobPhase::Pending, job.done, 0)),
                Ok(false) => RefusalReason::LeaderUnreachable.response(),
                Err(reason) => reason.response(),
            },
            Ok(RecordedJob::Ended { ended, .. }) => self.ended(id, ended),
            Err(reason) => reason.response(),
        }
    }

    /// Tells and remembers an end.
    fn ended(&self, id: &str, ended: EndedJob) -> Response {
        self.ended_jobs.insert(id, ended);
        ended.response(id)
    }
}

/// An answer that comes before its user has given up; whether the request was carried out
/// is told to the retry.
async fn in_time(answer: impl Future<Output = Response>) -> Response {
    timeout(MAX_USER_WAIT, answer).await.unwrap_or_else(|_| RefusalReason::NoDecisionInTime.response())
}

fn not_allowed(allow: &'static str) -> Response {
    Response { allow: Some(allow), ..Response::error(405, "method not allowed") }
}

mod dependencies;
mod route_hints;
mod submissions;
#[cfg(test)]
mod tests;
mod workers;
