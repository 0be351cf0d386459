//! The dependency graph: which jobs wait for which others.
//!
//! It holds open dependencies only, those on dependencies that are not known to be done. What a
//! change costs is in proportion to the jobs that it touches.

use crate::model::JobIndex;
use std::collections::{BTreeSet, HashMap};

/// Waiting jobs and their open dependencies. Dependencies are known by their ids, as they may
/// belong to another partition.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    dependencies: HashMap<JobIndex, BTreeSet<String>>,
    dependents: HashMap<String, BTreeSet<JobIndex>>,
}

impl DependencyGraph {
    /// Adds a job that waits for these others.
    pub fn add(&mut self, job: JobIndex, dependencies: impl IntoIterator<Item = String>) {
        let open = self.dependencies.entry(job).or_default();
        for dependency in dependencies {
            self.dependents.entry(dependency.clone()).or_default().insert(job);
            open.insert(dependency);
        }
    }

    /// A dependency is done: returns the jobs that wait for nothing else, which are removed.
    pub fn complete(&mut self, dependency: &str) -> Vec<JobIndex> {
        let mut ready = Vec::new();
        for job in self.dependents.remove(dependency).unwrap_or_default() {
            let Some(open) = self.dependencies.get_mut(&job) else { continue };
            open.remove(dependency);
            if open.is_empty() {
                self.dependencies.remove(&job);
                ready.push(job);
            }
        }
        ready
    }

    /// Removes a job that waits no longer; returns what it waited for.
    pub fn remove(&mut self, job: JobIndex) -> BTreeSet<String> {
        let open = self.dependencies.remove(&job).unwrap_or_default();
        for dependency in &open {
            if let Some(dependents) = self.dependents.get_mut(dependency) {
                dependents.remove(&job);
                if dependents.is_empty() {
                    self.dependents.remove(dependency);
                }
            }
        }
        open
    }

    /// The jobs that wait for this one.
    pub fn dependents(&self, dependency: &str) -> impl Iterator<Item = JobIndex> + use<'_> {
        self.dependents.get(dependency).into_iter().flatten().copied()
    }

    /// The open dependencies of a waiting job.
    pub fn dependencies(&self, job: JobIndex) -> impl Iterator<Item = &str> {
        self.dependencies.get(&job).into_iter().flatten().map(String::as_str)
    }

    /// All waiting jobs, in no order.
    pub fn waiting(&self) -> impl Iterator<Item = JobIndex> + use<'_> {
        self.dependencies.keys().copied()
    }

    /// Does no job wait for another?
    pub fn is_empty(&self) -> bool {
        self.dependencies.is_empty()
    }

    /// How many jobs wait for others.
    pub fn len(&self) -> usize {
        self.dependencies.len()
    }
}

#[cfg(test)]
mod tests;
