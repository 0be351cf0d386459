//! Dependencies as their records state them now, for where no leader can be asked.

use super::Api;
use crate::api::refusal::RefusalReason;
use crate::clients::job_reads::{LiveJob, READ_TIMEOUT, RecordedJob};
use crate::clients::request_budget::Purpose;
use crate::model::{Dependencies, JobEnd, JobPhase, Spec};
use crate::transport::http::Response;
use std::collections::HashSet;
use tokio::time::Instant;

/// A submission whose dependencies are all known.
pub(super) struct CheckedSubmission {
    /// What is to be recorded: without the dependencies that are done.
    pub(super) spec: Spec,
    /// Its phase once it is accepted: cancelled with a dependency, or pending.
    pub(super) phase: JobPhase,
}

impl Api {
    /// Checks by fresh reads that all dependencies of a new job were accepted and are no services;
    /// the error is the refusal, also where that can't be read now.
    pub(super) async fn check_dependencies(&self, spec: &Spec) -> Result<CheckedSubmission, Response> {
        let impossible = |why: String| Response::error(422, &format!("waits_on: {why}"));
        let mut checked = CheckedSubmission { spec: spec.clone(), phase: JobPhase::Pending };
        let deadline = Instant::now() + 2 * READ_TIMEOUT;
        let mut done = HashSet::new();
        for id in spec.dependencies.iter() {
            if id == spec.id {
                return Err(impossible(format!("{id} names itself")));
            }
            match self.recorded(id, Purpose::Change, deadline).await.map_err(RefusalReason::response)? {
                RecordedJob::Missing => return Err(impossible(format!("{id} was never accepted"))),
                RecordedJob::Live(LiveJob { is_service: true, .. }) | RecordedJob::Ended { is_service: true, .. } => {
                    return Err(impossible(format!("{id} is a service")));
                }
                RecordedJob::Ended { ended, .. } if ended.end == JobEnd::Done => _ = done.insert(id),
                RecordedJob::Ended { .. } => checked.phase = JobPhase::Cancelled,
                RecordedJob::Live(job) => {
                    let cancelled = self.any_cancelled(&job.dependencies, Purpose::Change, deadline).await;
                    if cancelled.map_err(RefusalReason::response)? {
                        checked.phase = JobPhase::Cancelled;
                    }
                }
            }
        }
        checked.spec.dependencies.retain(|id| !done.contains(id));
        Ok(checked)
    }

    /// Whether any of these jobs, or of their own dependencies, is recorded as cancelled. Each
    /// record is read after this call began, or states an end, which never changes.
    pub(super) async fn any_cancelled(
        &self,
        jobs: &Dependencies,
        purpose: Purpose,
        deadline: Instant,
    ) -> Result<bool, RefusalReason> {
        let mut seen: HashSet<String> = jobs.iter().map(String::from).collect();
        let mut open: Vec<String> = seen.iter().cloned().collect();
        while let Some(id) = open.pop() {
            match self.recorded(&id, purpose, deadline).await? {
                RecordedJob::Ended { ended, .. } if ended.end == JobEnd::Cancelled => return Ok(true),
                // All dependencies of a done job were done before it.
                RecordedJob::Ended { .. } => {}
                RecordedJob::Live(job) => {
                    let new = job.dependencies.iter().filter(|id| !seen.contains(*id)).map(String::from);
                    let new: Vec<String> = new.collect();
                    seen.extend(new.iter().cloned());
                    open.extend(new);
                }
                // It was accepted before the job that waits for it.
                RecordedJob::Missing => return Err(RefusalReason::DependencyIndeterminate),
            }
        }
        Ok(false)
    }

    /// A job's record as it is now; a remembered end needs no read. A job that is done was no
    /// service.
    async fn recorded(&self, id: &str, purpose: Purpose, deadline: Instant) -> Result<RecordedJob, RefusalReason> {
        match self.ended_jobs.get(id).filter(|ended| ended.end == JobEnd::Done) {
            Some(ended) => Ok(RecordedJob::Ended { ended, is_service: false }),
            None => self.job_reads.read(id, purpose, deadline).await,
        }
    }
}
