//! Checks of dependencies by fresh reads of their records, for requests that are answered without a
//! leader.

use super::Api;
use crate::api::refusal::RefusalReason;
use crate::clients::job_reads::{LiveJob, READ_TIMEOUT, RecordedJob};
use crate::clients::request_budget::RequestPurpose;
use crate::model::{Dependencies, JobEnd, JobPhase, Spec};
use crate::transport::http::Response;
use std::collections::HashSet;
use tokio::time::Instant;

/// A submission whose dependencies were all found to be accepted.
pub(super) struct CheckedSubmission {
    /// The job to record, without the dependencies that are done.
    pub(super) spec: Spec,
    /// Phase of the job once it is accepted: cancelled if a dependency is cancelled, otherwise
    /// pending.
    pub(super) phase: JobPhase,
}

impl Api {
    /// Checks by fresh reads that all dependencies of a new job were accepted and are not services.
    ///
    /// # Errors
    ///
    /// The refusal of the job: 422 for a dependency that it can't have, or the refusal of a read.
    pub(super) async fn check_dependencies(&self, spec: &Spec) -> Result<CheckedSubmission, Response> {
        let refuse = |why: String| Response::error(422, &format!("waits_on: {why}"));
        let mut checked = CheckedSubmission { spec: spec.clone(), phase: JobPhase::Pending };
        let deadline = Instant::now() + 2 * READ_TIMEOUT;
        let mut done_ids = HashSet::new();
        for id in spec.dependencies.iter() {
            if id == spec.id {
                return Err(refuse(format!("{id} names itself")));
            }
            match self.read_job(id, RequestPurpose::Change, deadline).await.map_err(RefusalReason::response)? {
                RecordedJob::Missing => return Err(refuse(format!("{id} was never accepted"))),
                RecordedJob::Live(LiveJob { is_service: true, .. }) | RecordedJob::Ended { is_service: true, .. } => {
                    return Err(refuse(format!("{id} is a service")));
                }
                RecordedJob::Ended { ended, .. } if ended.end == JobEnd::Done => _ = done_ids.insert(id),
                RecordedJob::Ended { .. } => checked.phase = JobPhase::Cancelled,
                RecordedJob::Live(job) => {
                    let cancelled =
                        self.any_dependency_cancelled(&job.dependencies, RequestPurpose::Change, deadline).await;
                    if cancelled.map_err(RefusalReason::response)? {
                        checked.phase = JobPhase::Cancelled;
                    }
                }
            }
        }
        checked.spec.dependencies.retain(|id| !done_ids.contains(id));
        Ok(checked)
    }

    /// Returns whether any of these jobs, or any of their direct and indirect dependencies, is
    /// recorded as cancelled. Each record is read after the call began, or is remembered with an end,
    /// which never changes.
    ///
    /// # Errors
    ///
    /// The reason for which a record can't be read, or `DependencyIndeterminate` if a record is
    /// missing.
    pub(super) async fn any_dependency_cancelled(
        &self,
        jobs: &Dependencies,
        purpose: RequestPurpose,
        deadline: Instant,
    ) -> Result<bool, RefusalReason> {
        let mut seen: HashSet<String> = jobs.iter().map(String::from).collect();
        let mut unread: Vec<String> = seen.iter().cloned().collect();
        while let Some(id) = unread.pop() {
            match self.read_job(&id, purpose, deadline).await? {
                RecordedJob::Ended { ended, .. } if ended.end == JobEnd::Cancelled => return Ok(true),
                // A job ends as done only after all its dependencies are done.
                RecordedJob::Ended { .. } => {}
                RecordedJob::Live(job) => {
                    let new = job.dependencies.iter().filter(|id| !seen.contains(*id)).map(String::from);
                    let new: Vec<String> = new.collect();
                    seen.extend(new.iter().cloned());
                    unread.extend(new);
                }
                // A dependency is accepted before its dependents, so its record must exist.
                RecordedJob::Missing => return Err(RefusalReason::DependencyIndeterminate),
            }
        }
        Ok(false)
    }

    /// Returns the status of a job by a fresh read of its record. A job that is remembered as done
    /// is not read; it is not a service, as services never end as done.
    ///
    /// # Errors
    ///
    /// The reason for which the record can't be read.
    async fn read_job(
        &self,
        id: &str,
        purpose: RequestPurpose,
        deadline: Instant,
    ) -> Result<RecordedJob, RefusalReason> {
        match self.ended_jobs.get(id).filter(|ended| ended.end == JobEnd::Done) {
            Some(ended) => Ok(RecordedJob::Ended { ended, is_service: false }),
            None => self.job_reads.read(id, purpose, deadline).await,
        }
    }
}
