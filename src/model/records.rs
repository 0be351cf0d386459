//! Stored records of jobs and machines in the state service.

use super::{Job, JobEnd, Spec};
use crate::clients::write_limits::{MAX_RANGE_BYTES, json_bytes};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Record of a job in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Description of the job, as its user submitted it.
    pub spec: Spec,
    /// Wall time, in milliseconds, at which the job was accepted.
    pub accepted_ms: u64,
    /// Way in which the job ended; `None` if it has not ended.
    pub end: Option<JobEnd>,
    /// Done tasks, as ranges of the first number and one past the last.
    pub done: Vec<(u32, u32)>,
}

impl JobRecord {
    /// Creates the record of `job` for a stored value of at most `max_bytes` bytes, with as many of the
    /// widest ranges of done tasks as fit. The tasks of an omitted range may run once more, but their results
    /// are kept.
    ///
    /// Returns `None` if the description of a job that has not ended is too large by itself, because it was
    /// accepted under a larger limit. A too large description of a job that has ended is abridged.
    pub fn from_job(job: &Job, end: Option<JobEnd>, max_bytes: usize) -> Option<JobRecord> {
        let mut record = JobRecord { spec: job.spec.clone(), accepted_ms: job.accepted_ms, end, done: Vec::new() };
        if end.is_some() {
            if json_bytes(&record) > max_bytes {
                record.spec = record.spec.abridged();
            }
            return Some(record);
        }
        let left_bytes = max_bytes.checked_sub(json_bytes(&record))?;
        record.done = widest_ranges(
            job.tasks.done_ranges(),
            (left_bytes / MAX_RANGE_BYTES).min((max_bytes / 2 / MAX_RANGE_BYTES).max(1)),
        );
        Some(record)
    }

    /// Creates the job that the record describes, with no task placed. `version` is the version of the
    /// record; `now` is steady time in milliseconds.
    pub fn into_job(self, version: u64, now: u64) -> Job {
        let mut job = Job::new(self.spec, self.accepted_ms, now);
        job.version = version;
        job.end = self.end;
        for (first, end) in &self.done {
            job.done += job.tasks.complete(*first, *end);
        }
        job.recorded_done = self.done;
        if job.end.is_some() {
            job.retire();
        }
        job
    }
}

/// Record of a machine in the registry. A machine with a record may hold tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address at which the worker accepts direct commands; `None` if it is not known.
    pub addr: Option<SocketAddr>,
    /// Name of the instance type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot machine, which the cloud may take back.
    pub spot: bool,
    /// Partition to which the machine belongs.
    #[serde(default, rename = "part")]
    pub partition: u32,
}

/// Returns the widest ranges, at most `max_ranges` of them, in ascending order.
fn widest_ranges(mut ranges: Vec<(u32, u32)>, max_ranges: usize) -> Vec<(u32, u32)> {
    if ranges.len() > max_ranges {
        ranges.sort_unstable_by_key(|range| std::cmp::Reverse(range.1 - range.0));
        ranges.truncate(max_ranges);
        ranges.sort_unstable();
    }
    ranges
}
