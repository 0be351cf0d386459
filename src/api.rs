//! What users, workers and health checks ask of this node.

use crate::clients::State;
use crate::clock;
use crate::ended_jobs::{EndedJob, EndedJobs};
use crate::http::{Request, Response};
use crate::job_reads::{JobReads, READ_LIMIT, RecordedJob};
use crate::metrics::{SharedMetrics, gauge_line, labelled_gauge_line};
use crate::model::{JobEnd, JobPhase, JobRecord, Spec};
use crate::owner;
use crate::partition::{CommitResult, inbox_key, job_key};
use crate::peer::UserCall;
use crate::refusal::RefusalReason::{self, ConfigurationBehind, ControllerOutdated, PredecessorUnclear};
use crate::request_budget::{Purpose, RequestBudget};
use crate::router::Router;
use crate::sched::{self, Policy};
use crate::user_metrics::UserMetrics;
use crate::wire;
use crate::write_limits::WriteLimits;
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
    pub state: State,
    /// Fresh reads of job records.
    pub job_reads: JobReads,
    /// Requests to the state service that users of this node may cause.
    pub request_budget: RequestBudget,
    /// Ends of jobs that this node has read or passed on.
    pub ended_jobs: EndedJobs,
    /// Counters of what users and workers are told.
    pub metrics: UserMetrics,
    /// The ways to the owners of the partitions.
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

/// Requests of an acceptance without the owner: the machine types, and the commit.
const ACCEPTANCE_REQUESTS: usize = 2;

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
        let last = self.state.last_ok_ms();
        let state_ok = last > 0 && now.saturating_sub(last) < self.router.grant_ttl_ms;
        let held = self.router.partitions.iter().all(|d| {
            let ownership = d.ownership.borrow();
            if ownership.mine { d.entitled.holds(now) } else { ownership.owner.is_some() }
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
        text.push_str(&gauge_line("silent_peers", self.router.silent_peers()));
        if let Some(configuration) = &self.router.configuration {
            text.push_str(&configuration.metrics_text());
        }
        let versions = self.router.peer_versions();
        for (label, count) in [("current", versions.current), ("old", versions.old), ("unknown", versions.unknown)] {
            text.push_str(&labelled_gauge_line("peers", "version", label, count));
        }
        for handle in self.router.partitions.iter() {
            let (tx, rx) = oneshot::channel();
            if handle.owner.try_send(owner::Message::Metrics(tx)).is_ok() {
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

    async fn submit(&self, body: Vec<u8>) -> Response {
        // What is malformed needs no owner to say so.
        let spec = match wire::parse_submission(&body) {
            Ok(spec) => spec,
            Err(e) => {
                let refusal = Response::error(400, &e.message);
                return match e.id {
                    Some(id) => self.unless_known(&id, refusal).await,
                    None => refusal,
                };
            }
        };
        if let Some(ended) = self.ended_jobs.get(&spec.id) {
            return ended.response(&spec.id);
        }
        let waits = !spec.waits_on.is_empty();
        if waits && self.router.has_old_peer() {
            return self.unless_known(&spec.id, RefusalReason::ControllerOutdated.response()).await;
        }
        let partition = self.teams.get(&spec.team).copied().unwrap_or(0);
        // An owner that is not known to be of this version might not let the job wait.
        let asked = match waits && !self.router.owner_is_current(partition) {
            true => None,
            false => self.router.user(partition, UserCall::Submit(body)).await,
        };
        let answer = match asked {
            Some(r) if r.status != 503 => r,
            // What keeps the owner from accepting it would not keep this node from it.
            Some(r) if matches!(r.refusal, Some(ConfigurationBehind | ControllerOutdated | PredecessorUnclear)) => r,
            // A second way in would only add to the work that the owner has.
            None if self.router.at_work(partition) && self.state.answers(self.router.grant_ttl_ms) => {
                RefusalReason::SubmissionSlow.response()
            }
            // Nobody holds the partition now, or can't be reached, or the job's end is
            // being recorded.
            other => {
                let later = other.unwrap_or_else(|| RefusalReason::OwnerUnreachable.response());
                match self.fresh(&spec.id, true, Purpose::Change).await {
                    known if known.status == 200 => known,
                    excess if excess.status == 429 => excess,
                    unknown if unknown.status == 404 => self.accept(partition, &spec).await.unwrap_or(later),
                    _ => later,
                }
            }
        };
        match answer.status {
            400 | 422 => return self.unless_known(&spec.id, answer).await,
            200 | 201 => {
                if let Ok(mut p) = self.route_hints.lock() {
                    p.remember_job(&spec.id, partition);
                }
            }
            _ => {}
        }
        answer
    }

    /// A known job is answered as such even where its content is refused now.
    async fn unless_known(&self, id: &str, refusal: Response) -> Response {
        if let Some(ended) = self.ended_jobs.get(id) {
            return ended.response(id);
        }
        match self.fresh(id, true, Purpose::Change).await {
            unknown if unknown.status == 404 => refusal,
            known => known,
        }
    }

    /// The policy under the shared configuration, if there is one, and whether nothing newer is known.
    fn current_policy(&self) -> (Arc<Policy>, bool) {
        let Some(configuration) = &self.router.configuration else { return (self.policy.clone(), true) };
        match (configuration.policy(&self.policy), configuration.published()) {
            (Some(policy), Some(published)) => (Arc::new(policy), published.is_up_to_date()),
            _ => (self.policy.clone(), false),
        }
    }

    /// Accepts a job without its partition's owner: the record is what counts. The
    /// next owner reads it; a present one is told by a key in its inbox.
    async fn accept(&self, partition: u32, spec: &Spec) -> Option<Response> {
        if !self.request_budget.admits_all(ACCEPTANCE_REQUESTS, Purpose::Change) {
            return Some(RefusalReason::TooManySubmissions.response());
        }
        let flavors = owner::kept_flavors(&self.state).await.filter(|flavors| !flavors.is_empty())?;
        let (policy, up_to_date) = self.current_policy();
        if let Some(why) = sched::impossible(spec, &policy, &flavors) {
            return Some(match why.is_for_now(up_to_date) {
                true => RefusalReason::ConfigurationBehind.response(),
                false => Response::error(422, &why.to_string()),
            });
        }
        let checked = match self.check_predecessors(spec).await {
            Ok(checked) => checked,
            Err(refusal) => return Some(refusal),
        };
        if let Some(why) = self.limits.refuses(&checked.spec) {
            return Some(Response::error(400, why));
        }
        let id = spec.id.clone();
        let record = JobRecord { spec: checked.spec, accepted_ms: clock::wall_ms(), end: None, done: Vec::new() };
        let value = serde_json::to_value(&record).ok()?;
        let apply = [
            wire::put(&job_key(&id), &value, None),
            wire::put(&inbox_key(partition, &id), &serde_json::json!({}), None),
        ];
        match self.state.commit(&[wire::guard(&job_key(&id), 0)], &apply).await {
            CommitResult::Done { .. } => Some(Response::json(201, &wire::job_answer(&id, checked.phase, 0, 0))),
            CommitResult::Conflict { .. } => Some(self.fresh(&id, true, Purpose::Change).await),
            _ => None,
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
        let mut unclear = None;
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
                other => unclear = Some(other.unwrap_or_else(|| RefusalReason::OwnerUnreachable.response())),
            }
            if hint == Some(partition) {
                // It was there, and a job stays in its partition.
                break;
            }
        }
        match unclear {
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
            Ok(RecordedJob::Live(job)) => match self.needs_cancelled(&job.waits_on, purpose, deadline).await {
                Ok(true) => self.ended(id, EndedJob { end: JobEnd::Cancelled, done: job.done }),
                Ok(false) if status => Response::json(200, &wire::job_answer(id, JobPhase::Pending, job.done, 0)),
                Ok(false) => RefusalReason::OwnerUnreachable.response(),
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

mod predecessors;
mod route_hints;
#[cfg(test)]
mod tests;
mod workers;
