//! Polls and cancellations of jobs.

use super::Api;
use super::answer_metrics::PollSource;
use crate::api::ended_jobs::EndedJob;
use crate::api::refusal::RefusalReason;
use crate::clients::job_reads::{READ_TIMEOUT, RecordedJob};
use crate::clients::request_budget::RequestPurpose;
use crate::model::{JobEnd, JobPhase};
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use crate::transport::peer::UserCall;
use crate::wire;
use tokio::time::Instant;

/// The answer of the partition leaders about a job.
enum PartitionLeadersAnswer {
    /// The answer of the leader whose partition has the job.
    Known(Response),
    /// The refusal of a leader that may have the job, or the refusal for a leader that could not be
    /// asked.
    Indeterminate(Response),
    /// No leader knows the job.
    Unknown,
}

impl Api {
    /// Answers a poll or a cancellation of a job. The leader of the partition in which the job was
    /// last found is asked, or else the leaders of all partitions. If no leader knows the job, or if
    /// a poll gets no answer, the record is read.
    pub(super) async fn poll_or_cancel(&self, id: &str, call: UserCall) -> Response {
        if !wire::is_job_id(id) {
            return Response::error(404, "no such job");
        }
        let is_poll = matches!(call, UserCall::Status(_));
        if let Some(ended) = self.ended_jobs.get(id) {
            if is_poll {
                self.answer_metrics.count_poll_from_remembered_end();
                self.answer_metrics.count_poll(PollSource::RememberedEnd);
            }
            return ended.response(id);
        }
        match self.ask_partition_leaders(id, call).await {
            PartitionLeadersAnswer::Known(response) => {
                if is_poll {
                    self.answer_metrics.count_poll(PollSource::Leader);
                }
                response
            }
            PartitionLeadersAnswer::Indeterminate(response) if !is_poll => response,
            // Only a fresh read of the record can show that a job does not exist.
            PartitionLeadersAnswer::Unknown if !is_poll => {
                self.answer_from_record(id, is_poll, RequestPurpose::Change).await
            }
            PartitionLeadersAnswer::Indeterminate(refusal) => {
                refusal.refusal.into_iter().for_each(|reason| self.answer_metrics.count_leader_refusal(reason));
                self.answer_poll_from_record(id).await
            }
            PartitionLeadersAnswer::Unknown => self.answer_poll_from_record(id).await,
        }
    }

    /// Answers a poll from a fresh read of the job's record.
    async fn answer_poll_from_record(&self, id: &str) -> Response {
        let response = self.answer_from_record(id, true, RequestPurpose::Poll).await;
        let source = if response.refusal.is_some() { PollSource::Refused } else { PollSource::Record };
        self.answer_metrics.count_poll(source);
        response
    }

    /// Asks the leader of the partition in which the job was last found, or else the leaders of all
    /// partitions, until one knows the job.
    async fn ask_partition_leaders(&self, id: &str, call: UserCall) -> PartitionLeadersAnswer {
        let hint = lock(&self.route_hints).job(id);
        let all_partitions = 0..self.router.partitions.len() as u32;
        let order: Vec<u32> =
            hint.into_iter().chain(all_partitions.filter(|partition| Some(*partition) != hint)).collect();
        let mut answer = PartitionLeadersAnswer::Unknown;
        for partition in order {
            match self.router.forward_user_call(partition, call.clone()).await {
                Some(response) if response.status == 404 => {}
                Some(response) if response.status == 200 => {
                    lock(&self.route_hints).remember_job(id, partition);
                    self.ended_jobs.insert_stated(id, &response);
                    return PartitionLeadersAnswer::Known(response);
                }
                other => {
                    let refusal = other.unwrap_or_else(|| RefusalReason::LeaderUnreachable.response());
                    answer = PartitionLeadersAnswer::Indeterminate(refusal);
                }
            }
            if hint == Some(partition) {
                // A job never changes its partition.
                break;
            }
        }
        answer
    }

    /// Answers from a fresh read of the job's record. A job that has not ended can be polled
    /// (`is_poll`) without its leader, but not be cancelled.
    pub(super) async fn answer_from_record(&self, id: &str, is_poll: bool, purpose: RequestPurpose) -> Response {
        let deadline = Instant::now() + 2 * READ_TIMEOUT;
        match self.job_reads.read(id, purpose, deadline).await {
            Ok(RecordedJob::Missing) => Response::error(404, "no such job"),
            Ok(RecordedJob::Live(job)) => {
                match self.any_dependency_cancelled(&job.dependencies, purpose, deadline).await {
                    Ok(true) => self.remember_end(id, EndedJob { end: JobEnd::Cancelled, done: job.done }),
                    Ok(false) if is_poll => Response::json(200, &wire::job_answer(id, JobPhase::Pending, job.done, 0)),
                    Ok(false) => RefusalReason::LeaderUnreachable.response(),
                    Err(reason) => reason.response(),
                }
            }
            Ok(RecordedJob::Ended { ended, .. }) => self.remember_end(id, ended),
            Err(reason) => reason.response(),
        }
    }

    /// Remembers the end of a job and returns the answer with it.
    fn remember_end(&self, id: &str, ended: EndedJob) -> Response {
        self.ended_jobs.insert(id, ended);
        ended.response(id)
    }
}
