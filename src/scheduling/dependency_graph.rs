//! The dependency graph: the jobs that wait for other jobs.
//!
//! The graph holds open dependencies only: dependencies on jobs that are not known to be done. The cost
//! of a change is proportional to the number of jobs that it affects.

use crate::model::JobIndex;
use std::collections::{BTreeSet, HashMap};

/// Waiting jobs and their open dependencies. Dependencies are identified by job id, as they may belong to
/// another partition.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    dependencies: HashMap<JobIndex, BTreeSet<String>>,
    dependents: HashMap<String, BTreeSet<JobIndex>>,
}

impl DependencyGraph {
    /// Adds a job that waits for `dependencies`.
    pub fn add(&mut self, job: JobIndex, dependencies: impl IntoIterator<Item = String>) {
        let open = self.dependencies.entry(job).or_default();
        for dependency in dependencies {
            self.dependents.entry(dependency.clone()).or_default().insert(job);
            open.insert(dependency);
        }
    }

    /// Marks a dependency as done. Removes and returns the jobs that wait for no other dependency.
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

    /// Removes a job that no longer waits and returns its open dependencies.
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

    /// Returns the jobs that wait for `dependency`.
    pub fn dependents(&self, dependency: &str) -> impl Iterator<Item = JobIndex> + use<'_> {
        self.dependents.get(dependency).into_iter().flatten().copied()
    }

    /// Returns the open dependencies of a waiting job.
    pub fn dependencies(&self, job: JobIndex) -> impl Iterator<Item = &str> {
        self.dependencies.get(&job).into_iter().flatten().map(String::as_str)
    }

    /// Returns all waiting jobs in arbitrary order.
    pub fn waiting(&self) -> impl Iterator<Item = JobIndex> + use<'_> {
        self.dependencies.keys().copied()
    }

    /// Returns whether no job waits for another one.
    pub fn is_empty(&self) -> bool {
        self.dependencies.is_empty()
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.dependencies.len()
    }
}

#[cfg(test)]
mod tests;
