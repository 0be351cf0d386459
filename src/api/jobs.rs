//! Polls and cancellations of jobs.

use super::Api;
use crate::api::ended_jobs::EndedJob;
use crate::api::refusal::RefusalReason;
use crate::clients::job_reads::{READ_TIMEOUT, RecordedJob};
use crate::clients::request_budget::Purpose;
use crate::model::{JobEnd, JobPhase};
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use crate::transport::peer::UserCall;
use crate::wire;
use tokio::time::Instant;

/// What the partition leaders answer about a job.
enum LeadersAnswer {
    /// The answer of the leader that has the job.
    Known(Response),
    /// A leader that may have the job refused, or could not be asked; the refusal.
    Indeterminate(Response),
    /// No leader has the job.
    Unknown,
}

impl Api {
    /// Answers a poll or a cancellation of a job. Its partition leader is asked, in the partition in
    /// which the job was last found or else in all; without an answer the record is read.
    pub(super) async fn job(&self, id: &str, call: UserCall) -> Response {
        if !wire::is_job_id(id) {
            return Response::error(404, "no such job");
        }
        let is_poll = matches!(call, UserCall::Status(_));
        if let Some(ended) = self.ended_jobs.get(id) {
            if is_poll {
                self.metrics.count_remembered_poll();
            }
            return ended.response(id);
        }
        match self.ask_leaders(id, call).await {
            LeadersAnswer::Known(response) => response,
            LeadersAnswer::Indeterminate(response) if !is_poll => response,
            // Only a fresh read can show that a job does not exist.
            LeadersAnswer::Indeterminate(_) | LeadersAnswer::Unknown => {
                let purpose = if is_poll { Purpose::Poll } else { Purpose::Change };
                self.fresh(id, is_poll, purpose).await
            }
        }
    }

    async fn ask_leaders(&self, id: &str, call: UserCall) -> LeadersAnswer {
        let hint = lock(&self.route_hints).job(id);
        let all = 0..self.router.partitions.len() as u32;
        let order: Vec<u32> = hint.into_iter().chain(all.filter(|partition| Some(*partition) != hint)).collect();
        let mut answer = LeadersAnswer::Unknown;
        for partition in order {
            match self.router.user(partition, call.clone()).await {
                Some(response) if response.status == 404 => {}
                Some(response) if response.status == 200 => {
                    lock(&self.route_hints).remember_job(id, partition);
                    self.ended_jobs.insert_stated(id, &response);
                    return LeadersAnswer::Known(response);
                }
                other => {
                    let refusal = other.unwrap_or_else(|| RefusalReason::LeaderUnreachable.response());
                    answer = LeadersAnswer::Indeterminate(refusal);
                }
            }
            if hint == Some(partition) {
                // It was there, and a job stays in its partition.
                break;
            }
        }
        answer
    }

    /// Answers from the job's record, read now. Without the leader a job that has not ended can be
    /// polled (`is_poll`), and not be cancelled.
    pub(super) async fn fresh(&self, id: &str, is_poll: bool, purpose: Purpose) -> Response {
        let deadline = Instant::now() + 2 * READ_TIMEOUT;
        match self.job_reads.read(id, purpose, deadline).await {
            Ok(RecordedJob::Missing) => Response::error(404, "no such job"),
            Ok(RecordedJob::Live(job)) => match self.any_cancelled(&job.dependencies, purpose, deadline).await {
                Ok(true) => self.ended(id, EndedJob { end: JobEnd::Cancelled, done: job.done }),
                Ok(false) if is_poll => Response::json(200, &wire::job_answer(id, JobPhase::Pending, job.done, 0)),
                Ok(false) => RefusalReason::LeaderUnreachable.response(),
                Err(reason) => reason.response(),
            },
            Ok(RecordedJob::Ended { ended, .. }) => self.ended(id, ended),
            Err(reason) => reason.response(),
        }
    }

    /// Remembers an end, and answers with it.
    fn ended(&self, id: &str, ended: EndedJob) -> Response {
        self.ended_jobs.insert(id, ended);
        ended.response(id)
    }
}
