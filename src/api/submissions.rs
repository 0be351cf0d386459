//! Submissions: passed on to the leader of the team's partition, or accepted without it.

use super::Api;
use crate::api::refusal::RefusalReason::{self, ConfigurationBehind, ControllerOutdated, DependencyIndeterminate};
use crate::clients::request_budget::Purpose;
use crate::control::partition::{CommitOutcome, inbox_key, job_key};
use crate::control::partition_leader;
use crate::model::{JobRecord, Spec};
use crate::runtime::clock;
use crate::scheduling::{self, Policy};
use crate::transport::http::Response;
use crate::transport::peer::UserCall;
use crate::wire;
use std::sync::Arc;

/// Requests of an acceptance without the leader: the machine types, and the commit.
const ACCEPTANCE_REQUESTS: usize = 2;

impl Api {
    /// Answers a submission.
    pub(super) async fn submit(&self, body: Vec<u8>) -> Response {
        // What is malformed needs no leader to say so.
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
        let waits = !spec.dependencies.is_empty();
        if waits && self.router.has_old_peer() {
            return self.unless_known(&spec.id, RefusalReason::ControllerOutdated.response()).await;
        }
        let partition = self.teams.get(&spec.team).copied().unwrap_or(0);
        // A leader that is not known to be of this version might not let the job wait.
        let asked = match waits && !self.router.leader_is_current(partition) {
            true => None,
            false => self.router.user(partition, UserCall::Submit(body)).await,
        };
        let answer = match asked {
            Some(r) if r.status != 503 => r,
            // What keeps the leader from accepting it would not keep this node from it.
            Some(r)
                if matches!(r.refusal, Some(ConfigurationBehind | ControllerOutdated | DependencyIndeterminate)) =>
            {
                r
            }
            // A second way in would only add to the work that the leader has.
            None if self.router.leader_is_active(partition)
                && self.state.is_responsive(self.router.leader_lease_ttl_ms) =>
            {
                RefusalReason::SubmissionSlow.response()
            }
            // Nobody holds the partition now, or can't be reached, or the job's end is
            // being recorded.
            other => {
                let later = other.unwrap_or_else(|| RefusalReason::LeaderUnreachable.response());
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

    /// Accepts a job without its partition's leader: the record is what counts. The
    /// next leader reads it; a present one is told by a key in its inbox.
    async fn accept(&self, partition: u32, spec: &Spec) -> Option<Response> {
        if !self.request_budget.admits_all(ACCEPTANCE_REQUESTS, Purpose::Change) {
            return Some(RefusalReason::TooManySubmissions.response());
        }
        let instance_types = partition_leader::stored_instance_types(&self.state)
            .await
            .filter(|instance_types| !instance_types.is_empty())?;
        let (policy, up_to_date) = self.current_policy();
        if let Some(why) = scheduling::unschedulable_reason(spec, &policy, &instance_types) {
            return Some(match why.is_for_now(up_to_date) {
                true => RefusalReason::ConfigurationBehind.response(),
                false => Response::error(422, &why.to_string()),
            });
        }
        let checked = match self.check_dependencies(spec).await {
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
        match self.state.commit(&[wire::condition(&job_key(&id), 0)], &apply).await {
            CommitOutcome::Done { .. } => Some(Response::json(201, &wire::job_answer(&id, checked.phase, 0, 0))),
            CommitOutcome::Conflict { .. } => Some(self.fresh(&id, true, Purpose::Change).await),
            _ => None,
        }
    }
}
