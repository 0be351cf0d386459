//! Records of jobs and machines in the state service.

use super::{Job, JobEnd, Place, Spec};
use crate::clients::write_limits::{RANGE_BYTES, json_bytes};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The record of a job in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What its user asked for.
    pub spec: Spec,
    /// Wall time at which it was accepted.
    pub accepted_ms: u64,
    /// How it ended; `None` while it is under way.
    pub end: Option<JobEnd>,
    /// Done tasks as ranges, first and one past the last.
    pub done: Vec<(u32, u32)>,
}

impl JobRecord {
    /// The record of `job` for a value of at most `most` bytes, with as many of the widest
    /// ranges of done tasks as fit. A range that is left out only makes its tasks run once
    /// more: their results are kept. `None` if the job's description alone is too large,
    /// having been accepted under a larger limit; a job that is over is then described by
    /// what is still of use.
    pub fn of(job: &Job, end: Option<JobEnd>, most: usize) -> Option<JobRecord> {
        let mut record = JobRecord { spec: job.spec.clone(), accepted_ms: job.accepted_ms, end, done: Vec::new() };
        if end.is_some() {
            if json_bytes(&record) > most {
                record.spec = record.spec.abridged();
            }
            return Some(record);
        }
        let left = most.checked_sub(json_bytes(&record))?;
        record.done = widest(ranges(job), (left / RANGE_BYTES).min((most / 2 / RANGE_BYTES).max(1)));
        Some(record)
    }

    /// The job of the record, with no task placed. `version` is that of the record; `now` is steady time
    /// in milliseconds.
    pub fn into_job(self, version: u64, now: u64) -> Job {
        let mut job = Job::new(self.spec, self.accepted_ms, now);
        job.version = version;
        job.end = self.end;
        for (first, end) in &self.done {
            for task in *first..(*end).min(job.spec.tasks) {
                job.tasks[task as usize].place = Place::Done;
                job.done += 1;
            }
        }
        job.recorded_done = self.done;
        if job.end.is_some() {
            job.retire();
        }
        job
    }
}

/// The record of a machine in the registry: it may hold tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Where its worker takes direct commands; `None` if not known.
    pub addr: Option<SocketAddr>,
    /// Name of its type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone in which it stands.
    pub zone: String,
    /// True if the cloud may take it back.
    pub spot: bool,
    /// The partition that it belongs to.
    #[serde(default, rename = "part")]
    pub partition: u32,
}

/// At most so many of the ranges, the widest ones, in order.
fn widest(mut ranges: Vec<(u32, u32)>, most: usize) -> Vec<(u32, u32)> {
    if ranges.len() > most {
        ranges.sort_unstable_by_key(|range| std::cmp::Reverse(range.1 - range.0));
        ranges.truncate(most);
        ranges.sort_unstable();
    }
    ranges
}

/// Numbers of done tasks as ranges, first and one past the last.
pub fn ranges(job: &Job) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for (number, task) in (0u32..).zip(&job.tasks) {
        if task.place == Place::Done {
            match out.last_mut() {
                Some(last) if last.1 == number => last.1 = number + 1,
                _ => out.push((number, number + 1)),
            }
        }
    }
    out
}
