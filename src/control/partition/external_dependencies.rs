//! Dependencies that another partition holds.

use crate::model::{JobEnd, Shape};
use std::collections::BTreeMap;

/// A job that another partition holds, as far as its record was read.
#[derive(Debug, Clone, Copy, Default)]
struct ExternalJob {
    end: Option<JobEnd>,
    is_service: bool,
}

/// The jobs of other partitions that jobs here wait for, by id.
#[derive(Debug, Default)]
pub(super) struct ExternalDependencies {
    jobs: BTreeMap<String, ExternalJob>,
}

impl ExternalDependencies {
    /// A job here waits for this one, of which nothing may be known yet.
    pub(super) fn insert(&mut self, id: String) {
        self.jobs.entry(id).or_default();
    }

    /// The job is this partition's after all.
    pub(super) fn remove(&mut self, id: &str) {
        self.jobs.remove(id);
    }

    /// Applies the job's record; returns its end if that was not known before.
    pub(super) fn update(&mut self, id: &str, shape: Shape, end: Option<JobEnd>) -> Option<JobEnd> {
        let job = self.jobs.entry(id.to_string()).or_default();
        job.is_service = shape == Shape::Service;
        end.filter(|end| job.end.replace(*end).is_none())
    }

    /// Is the job one that a job here waits for, or whose record was read?
    pub(super) fn is_known(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Is the job known to be a service?
    pub(super) fn is_service(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| job.is_service)
    }

    /// How the job has ended, if that is known.
    pub(super) fn end_of(&self, id: &str) -> Option<JobEnd> {
        self.jobs.get(id).and_then(|job| job.end)
    }

    /// Jobs without a known end: their records are to be watched.
    pub(super) fn open(&self) -> Vec<String> {
        self.jobs.iter().filter(|(_, job)| job.end.is_none()).map(|(id, _)| id.clone()).collect()
    }
}
