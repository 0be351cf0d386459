//! Submissions: forwarded to the leader of the team's partition, or accepted by this node if the
//! leader gives no answer.

use super::Api;
use crate::api::refusal::RefusalReason::{self, ConfigurationBehind, ControllerOutdated, DependencyIndeterminate};
use crate::clients::request_budget::RequestPurpose;
use crate::control::partition::{CommitOutcome, inbox_key, job_key};
use crate::control::partition_leader;
use crate::model::{JobRecord, Spec};
use crate::runtime::clock;
use crate::runtime::sync::lock;
use crate::scheduling::{self, Policy};
use crate::transport::http::Response;
use crate::transport::peer::UserCall;
use crate::wire;
use std::sync::Arc;

/// Requests to the state service for an acceptance without the leader: the read of the instance
/// types, and the commit.
const REQUESTS_PER_ACCEPTANCE: usize = 2;

impl Api {
    /// Answers a submission. A known job is answered with its status, regardless of the rest
    /// of the body.
    pub(super) async fn submit(&self, body: Vec<u8>) -> Response {
        // A malformed submission is refused without asking the leader.
        let spec = match wire::parse_submission(&body) {
            Ok(spec) => spec,
            Err(malformed) => {
                let refusal = Response::error(400, &malformed.to_string());
                return match malformed.id {
                    Some(id) => self.known_job_or_refusal(&id, refusal).await,
                    None => refusal,
                };
            }
        };
        if let Some(ended) = self.ended_jobs.get(&spec.id) {
            return ended.response(&spec.id);
        }
        if !spec.dependencies.is_empty() && self.router.has_outdated_peer() {
            return self.known_job_or_refusal(&spec.id, RefusalReason::ControllerOutdated.response()).await;
        }
        let partition = self.partition_by_team.get(&spec.team).copied().unwrap_or(0);
        let leader_answer = self.submit_to_leader(partition, &spec, body).await;
        let answer = self.leader_answer_or_accept(partition, &spec, leader_answer).await;
        match answer.status {
            400 | 422 => return self.known_job_or_refusal(&spec.id, answer).await,
            200 | 201 => lock(&self.route_hints).remember_job(&spec.id, partition),
            _ => {}
        }
        answer
    }

    /// Forwards a submission to the partition's leader and returns its answer; `None` if the leader
    /// can't be asked or gives no answer.
    async fn submit_to_leader(&self, partition: u32, spec: &Spec, body: Vec<u8>) -> Option<Response> {
        // A leader that is not known to run this version might ignore the dependencies.
        if !spec.dependencies.is_empty() && !self.router.leader_is_current(partition) {
            return None;
        }
        self.router.forward_user_call(partition, UserCall::Submit(body)).await
    }

    /// Returns the leader's answer, or the answer of this node if the leader gave none or could not
    /// decide.
    async fn leader_answer_or_accept(&self, partition: u32, spec: &Spec, leader_answer: Option<Response>) -> Response {
        match leader_answer {
            Some(answer) if answer.status != 503 => answer,
            // These refusals stand, as their causes would not keep this node from accepting the job.
            Some(answer)
                if matches!(
                    answer.refusal,
                    Some(ConfigurationBehind | ControllerOutdated | DependencyIndeterminate)
                ) =>
            {
                answer
            }
            // The leader is active but overloaded; an attempt without it would only add to the load.
            None if self.router.leader_is_active(partition)
                && self.state.is_responsive(self.router.leader_lease_ttl_ms) =>
            {
                RefusalReason::SubmissionSlow.response()
            }
            // The partition has no leader, it can't be reached, or it can't decide now, for example
            // because the job's end is being recorded.
            other => {
                let retry_later = other.unwrap_or_else(|| RefusalReason::LeaderUnreachable.response());
                match self.answer_from_record(&spec.id, true, RequestPurpose::Change).await {
                    known if known.status == 200 => known,
                    over_budget if over_budget.status == 429 => over_budget,
                    unknown if unknown.status == 404 => self.accept(partition, spec).await.unwrap_or(retry_later),
                    _ => retry_later,
                }
            }
        }
    }

    /// Returns the status of the job if it is known, and the given refusal otherwise. A known job is
    /// answered even if the content of the request is refused.
    async fn known_job_or_refusal(&self, id: &str, refusal: Response) -> Response {
        if let Some(ended) = self.ended_jobs.get(id) {
            return ended.response(id);
        }
        match self.answer_from_record(id, true, RequestPurpose::Change).await {
            unknown if unknown.status == 404 => refusal,
            known => known,
        }
    }

    /// Returns the policy under the shared configuration, if there is one, and whether that is the
    /// latest known version.
    fn current_policy(&self) -> (Arc<Policy>, bool) {
        let Some(configuration) = &self.router.configuration else { return (self.policy.clone(), true) };
        match (configuration.policy(&self.policy), configuration.published()) {
            (Some(policy), Some(published)) => (Arc::new(policy), published.is_up_to_date()),
            _ => (self.policy.clone(), false),
        }
    }

    /// Accepts a job without its partition's leader, as the job record is authoritative. The record
    /// is created on the condition that its key does not exist, and 201 is answered only after that
    /// commit. The next leader reads the record; a present leader is notified by a key in its inbox.
    /// Returns `None` if the outcome is indeterminate or nothing was written.
    async fn accept(&self, partition: u32, spec: &Spec) -> Option<Response> {
        if !self.request_budget.try_admit_all(REQUESTS_PER_ACCEPTANCE, RequestPurpose::Change) {
            return Some(RefusalReason::TooManySubmissions.response());
        }
        let instance_types = partition_leader::stored_instance_types(&self.state)
            .await
            .filter(|instance_types| !instance_types.is_empty())?;
        let (policy, up_to_date) = self.current_policy();
        if let Some(why) = scheduling::unschedulable_reason(spec, &policy, &instance_types) {
            return Some(match why.is_temporary(up_to_date) {
                true => RefusalReason::ConfigurationBehind.response(),
                false => Response::error(422, &why.to_string()),
            });
        }
        let checked = match self.check_dependencies(spec).await {
            Ok(checked) => checked,
            Err(refusal) => return Some(refusal),
        };
        if let Some(why) = self.limits.job_refusal(&checked.spec) {
            return Some(Response::error(400, why));
        }
        let id = spec.id.clone();
        let record = JobRecord { spec: checked.spec, accepted_ms: clock::wall_ms(), end: None, done: Vec::new() };
        let value = serde_json::to_value(&record).ok()?;
        let writes = [
            wire::put(&job_key(&id), &value, None),
            wire::put(&inbox_key(partition, &id), &serde_json::json!({}), None),
        ];
        match self.state.commit(&[wire::condition(&job_key(&id), 0)], &writes).await {
            CommitOutcome::Done { .. } => Some(Response::json(201, &wire::job_answer(&id, checked.phase, 0, 0))),
            CommitOutcome::Conflict { .. } => Some(self.answer_from_record(&id, true, RequestPurpose::Change).await),
            _ => None,
        }
    }
}
