//! Number of running tasks of a job, as reported to users.
//!
//! Small jobs are counted on each request. For arrays of thousands of tasks that are polled many times a
//! second, this would cost the leader more than all other work. Large jobs are therefore counted
//! together, in one iteration over all attempts, whenever failures are detected. The protocol allows the
//! number to lag.

use crate::model::{ClusterState, HostIndex, JobIndex, Place, PlacedTask, TaskAttempt};
use std::collections::HashMap;

/// Maximum number of tasks of a job that is counted on each request.
const SMALL_JOB_TASKS: u32 = 64;

/// Running tasks of the large jobs, as of the last count.
#[derive(Debug, Default)]
pub(super) struct RunningCounts {
    large_jobs: HashMap<JobIndex, u32>,
}

impl RunningCounts {
    /// Returns the number of running tasks of the job.
    pub(super) fn of(&self, cluster: &ClusterState, job_index: JobIndex) -> u32 {
        if cluster.jobs[job_index].spec.tasks > SMALL_JOB_TASKS {
            return self.large_jobs.get(&job_index).copied().unwrap_or(0);
        }
        count_running(cluster, job_index)
    }

    /// Counts the running tasks of all large jobs.
    pub(super) fn refresh(&mut self, cluster: &ClusterState) {
        self.large_jobs.clear();
        for (host_index, host) in cluster.each_host() {
            for attempt in host.attempts.iter().filter(|attempt| is_of_large_job(cluster, host_index, attempt)) {
                *self.large_jobs.entry(attempt.key.job).or_default() += 1;
            }
        }
    }
}

/// Counts the running tasks of one job.
pub(super) fn count_running(cluster: &ClusterState, job_index: JobIndex) -> u32 {
    let runs = |task: &PlacedTask| task.attempt_in(cluster, job_index).is_some_and(TaskAttempt::running);
    cluster.jobs[job_index].tasks.on_hosts().filter(runs).count() as u32
}

/// Returns whether the attempt runs, holds the place of its task and belongs to a large job.
fn is_of_large_job(cluster: &ClusterState, host_index: HostIndex, attempt: &TaskAttempt) -> bool {
    let job = &cluster.jobs[attempt.key.job];
    job.spec.tasks > SMALL_JOB_TASKS
        && attempt.running()
        && job.tasks.get(attempt.key.task).place == Place::OnHost(host_index, attempt.attempt)
}
