//! The dependency graph: which jobs wait for which others.
//!
//! It holds open dependencies only, those on predecessors that are not known to be done. What a
//! change costs is in proportion to the jobs that it touches.

use crate::model::JobIndex;
use std::collections::{BTreeSet, HashMap};

/// Waiting jobs and their open predecessors. Predecessors are known by their ids, as they may
/// belong to another partition.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    predecessors: HashMap<JobIndex, BTreeSet<String>>,
    dependents: HashMap<String, BTreeSet<JobIndex>>,
}

impl DependencyGraph {
    /// Adds a job that waits for these others.
    pub fn add(&mut self, job: JobIndex, predecessors: impl IntoIterator<Item = String>) {
        let open = self.predecessors.entry(job).or_default();
        for predecessor in predecessors {
            self.dependents.entry(predecessor.clone()).or_default().insert(job);
            open.insert(predecessor);
        }
    }

    /// A predecessor is done: returns the jobs that wait for nothing else, which are removed.
    pub fn complete(&mut self, predecessor: &str) -> Vec<JobIndex> {
        let mut ready = Vec::new();
        for job in self.dependents.remove(predecessor).unwrap_or_default() {
            let Some(open) = self.predecessors.get_mut(&job) else { continue };
            open.remove(predecessor);
            if open.is_empty() {
                self.predecessors.remove(&job);
                ready.push(job);
            }
        }
        ready
    }

    /// Removes a job that waits no longer; returns what it waited for.
    pub fn remove(&mut self, job: JobIndex) -> BTreeSet<String> {
        let open = self.predecessors.remove(&job).unwrap_or_default();
        for predecessor in &open {
            if let Some(dependents) = self.dependents.get_mut(predecessor) {
                dependents.remove(&job);
                if dependents.is_empty() {
                    self.dependents.remove(predecessor);
                }
            }
        }
        open
    }

    /// The jobs that wait for this one.
    pub fn dependents(&self, predecessor: &str) -> impl Iterator<Item = JobIndex> + use<'_> {
        self.dependents.get(predecessor).into_iter().flatten().copied()
    }

    /// The open predecessors of a waiting job.
    pub fn predecessors(&self, job: JobIndex) -> impl Iterator<Item = &str> {
        self.predecessors.get(&job).into_iter().flatten().map(String::as_str)
    }

    /// All waiting jobs, in no order.
    pub fn waiting(&self) -> impl Iterator<Item = JobIndex> + use<'_> {
        self.predecessors.keys().copied()
    }

    /// Does no job wait for another?
    pub fn is_empty(&self) -> bool {
        self.predecessors.is_empty()
    }

    /// How many jobs wait for others.
    pub fn len(&self) -> usize {
        self.predecessors.len()
    }
}

#[cfg(test)]
mod tests;
