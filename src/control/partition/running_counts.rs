//! How many tasks of a job run, as users are told.
//!
//! Counted at each question for small jobs. For large ones that would cost the leader more than
//! all else when users ask many times a second about an array of thousands of tasks, so these
//! are counted together, from one look at all attempts, with each upkeep. The protocol allows
//! the number to lag.

use super::Partition;
use crate::model::{HostIndex, JobIndex, Place, Task, TaskAttempt};
use std::collections::HashMap;

/// Jobs of at most so many tasks are counted at each question.
const SMALL_JOB_TASKS: u32 = 64;

/// Running tasks of the large jobs, as of the last count.
pub(super) type RunningCounts = HashMap<JobIndex, u32>;

impl Partition {
    /// How many of the job's tasks run.
    pub(super) fn running(&self, job_index: JobIndex) -> u32 {
        if self.cluster.jobs[job_index].spec.tasks > SMALL_JOB_TASKS {
            return self.running_counts.get(&job_index).copied().unwrap_or(0);
        }
        self.count_running(job_index)
    }

    /// Counts the running tasks of one job.
    pub(super) fn count_running(&self, job_index: JobIndex) -> u32 {
        let runs = |task_number: usize, task: &Task| match task.place {
            Place::On(host_index, attempt) => self.cluster.host(host_index).is_some_and(|h| {
                h.attempts.iter().any(|a| {
                    let same_task = a.key.job == job_index && a.key.task as usize == task_number;
                    same_task && a.attempt == attempt && a.running()
                })
            }),
            _ => false,
        };
        let tasks = self.cluster.jobs[job_index].tasks.iter().enumerate();
        tasks.filter(|(number, task)| runs(*number, task)).count() as u32
    }

    /// Counts the running tasks of all large jobs.
    pub(super) fn refresh_running_counts(&mut self) {
        let mut counts = RunningCounts::new();
        for (host_index, host) in self.cluster.each_host() {
            for attempt in host.attempts.iter().filter(|a| self.counts_for_large_job(host_index, a)) {
                *counts.entry(attempt.key.job).or_default() += 1;
            }
        }
        self.running_counts = counts;
    }

    fn counts_for_large_job(&self, host_index: HostIndex, attempt: &TaskAttempt) -> bool {
        let job = &self.cluster.jobs[attempt.key.job];
        job.spec.tasks > SMALL_JOB_TASKS
            && attempt.running()
            && job.tasks[attempt.key.task as usize].place == Place::On(host_index, attempt.attempt)
    }
}
