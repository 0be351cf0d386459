//! Jobs that wait for other jobs: whether their dependencies are known, when they may start, and how
//! cancellations propagate.
//!
//! The job records are authoritative. A job may start once the record of each of its dependencies says
//! `done`. A job is cancelled if its own record says so, or the record of any direct or transitive
//! dependency. Its own record is then written later, at low priority.

use super::Partition;
use super::external_dependencies::ExternalDependencies;
use crate::api::refusal::RefusalReason;
use crate::model::{Dependencies, JobEnd, JobIndex, JobRecord, Shape, UnsavedChange};
use crate::scheduling::dependency_graph::DependencyGraph;
use crate::wire::KeyValue;
use std::collections::{BTreeSet, HashSet};

/// Known state of a dependency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DependencyState {
    /// The dependency is recorded as done.
    Done,
    /// The dependency is recorded as cancelled, or one of its own dependencies is.
    Cancelled,
    /// The dependency is not known to have ended.
    Open,
}

/// The graph of waiting jobs, and the known state of jobs of other partitions.
#[derive(Default)]
pub(super) struct DependencyTracker {
    /// Waiting jobs and their open dependencies.
    graph: DependencyGraph,
    /// Known state of the dependencies that belong to other partitions.
    external: ExternalDependencies,
    /// Jobs whose last dependency was completed since the last scheduling cycle.
    ready: Vec<JobIndex>,
}

impl DependencyTracker {
    /// Returns the graph of waiting jobs and their open dependencies.
    pub(super) fn graph(&self) -> &DependencyGraph {
        &self.graph
    }

    /// Removes a job that waits no longer and returns its open dependencies.
    pub(super) fn remove_waiting(&mut self, job: JobIndex) -> BTreeSet<String> {
        self.graph.remove(job)
    }
}

impl Partition {
    // ---- known state of dependencies ----

    /// Returns whether the job is known to be accepted.
    pub(super) fn dependency_is_known(&self, id: &str) -> bool {
        match self.cluster.job_index.get(id) {
            Some(job) => self.cluster.jobs[*job].version > 0,
            None => self.dependencies.external.is_known(id),
        }
    }

    /// Returns whether the job is known to be a service. A service is never done.
    pub(super) fn is_service(&self, id: &str) -> bool {
        match self.cluster.job_index.get(id) {
            Some(job) => self.cluster.jobs[*job].spec.shape == Shape::Service,
            None => self.dependencies.external.is_service(id),
        }
    }

    /// Returns the known state of a dependency.
    pub(super) fn dependency_state(&self, id: &str) -> DependencyState {
        let end = match self.cluster.job_index.get(id) {
            Some(job) => self.cluster.jobs[*job].end,
            None => self.dependencies.external.end_of(id),
        };
        match end {
            Some(JobEnd::Done) => DependencyState::Done,
            Some(JobEnd::Cancelled) => DependencyState::Cancelled,
            None => DependencyState::Open,
        }
    }

    /// Adds the record of a dependency that this partition did not know: one of its own jobs that
    /// another node accepted, or a job of another partition.
    pub fn add_dependency_record(&mut self, id: &str, item: KeyValue, now: u64) {
        if self.cluster.job_index.contains_key(id) {
            return;
        }
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value.clone()) else {
            tracing::error!(key = item.key, "failed to decode job record");
            return;
        };
        if self.teams.owns_team(&record.spec.team) {
            self.add_job_accepted_elsewhere(item, now);
            return;
        }
        if let Some(end) = self.dependencies.external.update(id, record.spec.shape, record.end) {
            self.dependency_ended(id, end);
        }
    }

    /// Returns the dependencies of other partitions without a known end. Their records are to be
    /// watched.
    pub fn external_dependency_ids(&self) -> Vec<String> {
        self.dependencies.external.open()
    }

    // ---- waiting jobs ----

    /// Returns the number of jobs that wait for other jobs.
    pub fn waiting_jobs(&self) -> usize {
        self.dependencies.graph.len()
    }

    /// Registers an added job in both roles: as a dependency of other jobs and as a dependent.
    pub(super) fn register_job(&mut self, job_index: JobIndex) {
        let job = &self.cluster.jobs[job_index];
        let (id, end) = (job.spec.id.clone(), job.end);
        self.dependencies.external.remove(&id);
        match end {
            Some(end) => self.dependency_ended(&id, end),
            None => {
                self.recompute_requirements(job_index);
                self.register_dependencies(job_index);
            }
        }
    }

    /// Adds a job to the dependency graph, or marks it as ready if it has no open dependencies.
    pub(super) fn register_dependencies(&mut self, job_index: JobIndex) {
        let job = &self.cluster.jobs[job_index];
        if job.end.is_some() || !job.waiting {
            return;
        }
        let mut open = Vec::new();
        let ids: Vec<String> = job.spec.dependencies.iter().map(String::from).collect();
        for id in ids {
            if self.dependency_state(&id) != DependencyState::Done {
                if !self.cluster.job_index.contains_key(&id) {
                    self.dependencies.external.insert(id.clone());
                }
                open.push(id);
            }
        }
        if open.is_empty() {
            self.become_ready(job_index);
            return;
        }
        self.dependencies.graph.add(job_index, open);
        self.propagate_requirements(job_index);
        self.cancel_if_dependency_cancelled(job_index);
    }

    /// Marks a job as ready once the last of its dependencies is recorded as done. From then on it takes
    /// part in scheduling cycles.
    fn become_ready(&mut self, job_index: JobIndex) {
        let job = &mut self.cluster.jobs[job_index];
        if job.end.is_some() || !std::mem::replace(&mut job.waiting, false) {
            return;
        }
        self.cluster.runnable_jobs.push(job_index);
        self.dependencies.ready.push(job_index);
        self.scheduling_triggers.request_cycle();
        self.scheduling_triggers.request_cycle_for(job.urgency);
    }

    /// Sets the ready time of the jobs that became ready since the last scheduling cycle.
    pub(super) fn set_ready_times(&mut self, wall: u64) {
        for job_index in std::mem::take(&mut self.dependencies.ready) {
            let job = &mut self.cluster.jobs[job_index];
            job.ready_ms = wall.max(job.accepted_ms);
        }
    }

    /// Replaces the dependencies of a job whose stored record names others than the submission whose
    /// creation failed.
    pub(super) fn replace_dependencies(&mut self, job_index: JobIndex, recorded: Dependencies) {
        if self.cluster.jobs[job_index].spec.dependencies == recorded {
            return;
        }
        let open = self.dependencies.remove_waiting(job_index);
        self.release_dependencies(&open);
        self.cluster.runnable_jobs.retain(|runnable| *runnable != job_index);
        let job = &mut self.cluster.jobs[job_index];
        job.spec.dependencies = recorded;
        job.waiting = true;
        self.register_dependencies(job_index);
    }

    /// Applies the recorded end of a job to the jobs that wait for it.
    pub(super) fn dependency_ended(&mut self, id: &str, end: JobEnd) {
        match end {
            JobEnd::Done => {
                for job_index in self.dependencies.graph.complete(id) {
                    self.become_ready(job_index);
                }
            }
            JobEnd::Cancelled => self.cancel_dependents(id),
        }
    }

    // ---- cancellation ----

    /// Cancels the job if one of its dependencies is recorded as cancelled.
    pub(super) fn cancel_if_dependency_cancelled(&mut self, job_index: JobIndex) {
        let is_cancelled = |id: &str| self.dependency_state(id) == DependencyState::Cancelled;
        let has_cancelled_dependency = self.dependencies.graph.dependencies(job_index).any(is_cancelled);
        if has_cancelled_dependency && self.cluster.jobs[job_index].version > 0 {
            self.cancel_dependent(job_index);
            let id = self.cluster.jobs[job_index].spec.id.clone();
            self.cancel_dependents(&id);
        }
    }

    /// Cancels all direct and transitive dependents of a job. Dependents whose creation is not recorded
    /// yet are cancelled once it is.
    fn cancel_dependents(&mut self, id: &str) {
        let mut cancelled = vec![id.to_string()];
        while let Some(id) = cancelled.pop() {
            let dependents: Vec<JobIndex> = self.dependencies.graph.dependents(&id).collect();
            for job_index in dependents {
                if self.cluster.jobs[job_index].version > 0 {
                    self.cancel_dependent(job_index);
                    cancelled.push(self.cluster.jobs[job_index].spec.id.clone());
                }
            }
        }
    }

    /// Cancels a job because one of its dependencies is recorded as cancelled. Its own record is still
    /// to be written. None of its tasks was ever started.
    fn cancel_dependent(&mut self, job_index: JobIndex) {
        let job = &mut self.cluster.jobs[job_index];
        if job.end.is_some() {
            return;
        }
        tracing::info!(job = job.spec.id, "job cancelled because a dependency was cancelled");
        job.end = Some(JobEnd::Cancelled);
        job.unsaved = UnsavedChange::End(JobEnd::Cancelled);
        self.commit_queue.mark_job(job_index);
        self.metrics.count("cancellations_followed", &self.cluster.jobs[job_index].spec.class);
        self.retire_job(job_index);
    }

    // ---- answers ----

    /// Returns why the state of a waiting job cannot be answered from memory, or `None` if it can. It
    /// cannot while the cancellation of a dependency is being recorded, or if a dependency belongs to
    /// another partition, whose record may state a cancellation.
    pub(super) fn waiting_indeterminate_reason(&self, job_index: JobIndex) -> Option<RefusalReason> {
        let mut seen = HashSet::from([job_index]);
        let mut jobs = vec![job_index];
        while let Some(next) = jobs.pop() {
            for id in self.dependencies.graph.dependencies(next) {
                let Some(&dependency) = self.cluster.job_index.get(id) else {
                    return Some(RefusalReason::DependencyElsewhere);
                };
                let job = &self.cluster.jobs[dependency];
                if job.end.is_none() && job.end_indeterminate && job.cancelling {
                    return Some(RefusalReason::EndBeingRecorded);
                }
                if seen.insert(dependency) {
                    jobs.push(dependency);
                }
            }
        }
        None
    }
}
