//! Dependencies that belong to other partitions.

use crate::model::{JobEnd, Shape};
use std::collections::BTreeMap;

/// Known state of a job of another partition.
#[derive(Debug, Clone, Copy, Default)]
struct ExternalJob {
    /// Recorded end of the job; `None` if it is not known to have ended.
    end: Option<JobEnd>,
    /// Whether the job is a service, which is never done.
    is_service: bool,
}

/// Jobs of other partitions that jobs of this partition wait for, by id.
#[derive(Debug, Default)]
pub(super) struct ExternalDependencies {
    jobs: BTreeMap<String, ExternalJob>,
}

impl ExternalDependencies {
    /// Adds a job that a job of this partition waits for. Nothing need be known of it yet.
    pub(super) fn insert(&mut self, id: String) {
        self.jobs.entry(id).or_default();
    }

    /// Removes a job that turned out to belong to this partition.
    pub(super) fn remove(&mut self, id: &str) {
        self.jobs.remove(id);
    }

    /// Applies the job's record and returns its end if that was not known before.
    pub(super) fn update(&mut self, id: &str, shape: Shape, end: Option<JobEnd>) -> Option<JobEnd> {
        let job = self.jobs.entry(id.to_string()).or_default();
        job.is_service = shape == Shape::Service;
        end.filter(|end| job.end.replace(*end).is_none())
    }

    /// Returns whether a job of this partition waits for the job, or its record was read.
    pub(super) fn is_known(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns whether the job is known to be a service.
    pub(super) fn is_service(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_service)
    }

    /// Returns the end of the job; `None` if it is not known to have ended.
    pub(super) fn end_of(&self, id: &str) -> Option<JobEnd> {
        self.jobs.get(id).and_then(|job| job.end)
    }

    /// Returns the jobs without a known end. Their records are to be watched.
    pub(super) fn open(&self) -> Vec<String> {
        self.jobs.iter().filter(|(_, job)| job.end.is_none()).map(|(id, _)| id.clone()).collect()
    }
}
