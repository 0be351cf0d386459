//! Critical path of pipelines: deadlines and urgency of jobs, derived from their dependents.
//!
//! A job must be done by the latest start of each dependent, which is the dependent's own deadline less
//! its expected duration. The deadline of a job is therefore set by the longest path to the end of its
//! pipeline. Its urgency is at least that of its dependents. Both are updated when jobs are added or
//! end. The cost of an update is proportional to the number of jobs whose values change and their
//! dependents.

use super::Partition;
use crate::model::{Job, JobIndex, Spec, Urgency};
use std::collections::{BTreeSet, HashMap};

/// Safety factor for expected durations. Estimates are often wrong by half.
const ESTIMATE_MARGIN: f64 = 1.5;
/// Lower bound of the fetch rate used to compute durations.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// Returns the seconds that it takes to fetch an image.
pub(super) fn fetch_s(image_gb: f64, gb_per_s: f64) -> f64 {
    image_gb / gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// Urgency and deadline that a job must meet for its dependents.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DependentRequirements {
    urgency: Urgency,
    /// Latest completion, in milliseconds of the time of day; `None` without a deadline.
    needed_by_ms: Option<u64>,
}

impl DependentRequirements {
    /// Returns the requirements that the job has at present.
    fn of(job: &Job) -> DependentRequirements {
        DependentRequirements { urgency: job.urgency, needed_by_ms: job.needed_by_ms }
    }

    /// Returns the requirements for a job without dependents.
    fn without_dependents(job: &Job) -> DependentRequirements {
        DependentRequirements { urgency: job.spec.urgency, needed_by_ms: None }
    }

    /// Combines both requirements: the higher urgency and the earlier deadline.
    fn and(self, other: DependentRequirements) -> DependentRequirements {
        let deadlines = [self.needed_by_ms, other.needed_by_ms];
        DependentRequirements {
            urgency: self.urgency.max(other.urgency),
            needed_by_ms: deadlines.into_iter().flatten().min(),
        }
    }
}

impl Partition {
    /// Propagates the deadline and urgency of a job that waits for dependencies to its dependencies,
    /// directly and transitively.
    pub(super) fn propagate_requirements(&mut self, job_index: JobIndex) {
        let mut changed = vec![job_index];
        while let Some(dependent) = changed.pop() {
            let requirements = self.requirements_for_dependencies(dependent);
            for dependency in self.internal_dependencies(dependent) {
                let job = &self.cluster.jobs[dependency];
                if self.set_requirements(dependency, DependentRequirements::of(job).and(requirements)) {
                    changed.push(dependency);
                }
            }
        }
    }

    /// Recomputes the requirements of these dependencies, and transitively of theirs, after a job that
    /// waited for them has ended.
    pub(super) fn release_dependencies(&mut self, ids: &BTreeSet<String>) {
        let mut open: Vec<JobIndex> = ids.iter().filter_map(|id| self.cluster.job_index.get(id).copied()).collect();
        while let Some(dependency) = open.pop() {
            if self.recompute_requirements(dependency) {
                open.extend(self.internal_dependencies(dependency));
            }
        }
    }

    /// Recomputes a job's requirements from all its dependents. Returns whether they have changed.
    pub(super) fn recompute_requirements(&mut self, job_index: JobIndex) -> bool {
        let job = &self.cluster.jobs[job_index];
        if job.end.is_some() {
            return false;
        }
        let from_dependents = self
            .dependencies
            .graph()
            .dependents(&job.spec.id)
            .map(|dependent| self.requirements_for_dependencies(dependent));
        let requirements =
            from_dependents.fold(DependentRequirements::without_dependents(job), DependentRequirements::and);
        self.set_requirements(job_index, requirements)
    }

    /// Returns the open dependencies of a job that belong to this partition.
    fn internal_dependencies(&self, job_index: JobIndex) -> Vec<JobIndex> {
        let ids = self.dependencies.graph().dependencies(job_index);
        ids.filter_map(|id| self.cluster.job_index.get(id).copied()).collect()
    }

    /// Returns the requirements of a waiting job for its dependencies.
    fn requirements_for_dependencies(&self, dependent: JobIndex) -> DependentRequirements {
        let job = &self.cluster.jobs[dependent];
        let margin_ms = (self.duration_ms(&job.spec) as f64 * ESTIMATE_MARGIN) as u64;
        DependentRequirements {
            urgency: job.urgency,
            needed_by_ms: job.due_ms().map(|due| due.saturating_sub(margin_ms)),
        }
    }

    /// Sets the requirements of a job. Returns whether they have changed.
    fn set_requirements(&mut self, job_index: JobIndex, requirements: DependentRequirements) -> bool {
        let job = &mut self.cluster.jobs[job_index];
        if job.end.is_some() || DependentRequirements::of(job) == requirements {
            return false;
        }
        (job.urgency, job.needed_by_ms) = (requirements.urgency, requirements.needed_by_ms);
        self.scheduling_triggers.request_cycle();
        if !job.waiting {
            self.scheduling_triggers.request_cycle_for(job.urgency);
        }
        true
    }

    /// Returns the expected time, in milliseconds, from the time at which a job may start until it is
    /// done: image fetch, start and run.
    fn duration_ms(&self, spec: &Spec) -> u64 {
        let allowed =
            self.cluster.instance_types.iter().filter(|instance_type| spec.allows_instance_type(instance_type));
        let slowest = allowed.map(|instance_type| instance_type.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        let fetch_s = fetch_s(spec.image_gb, slowest);
        ((spec.expected_s + fetch_s) * 1000.0) as u64 + self.policy.react_ms
    }

    /// Returns the waiting jobs that may start within `horizon_ms`, for which capacity may be needed by
    /// then.
    pub fn jobs_starting_within(&self, horizon_ms: u64, now: u64) -> Vec<JobIndex> {
        if self.dependencies.graph().is_empty() {
            return Vec::new();
        }
        let mut forecast = CompletionForecast {
            partition: self,
            first_order_ms: self.first_order_ms(),
            now,
            until_done_ms: HashMap::new(),
        };
        let waiting = self.dependencies.graph().waiting().filter(|job| {
            let job = &self.cluster.jobs[*job];
            job.version > 0 && job.end.is_none() && !job.cancelling
        });
        let mut upcoming: Vec<JobIndex> =
            waiting.filter(|job| forecast.until_start_ms(*job).is_some_and(|ms| ms <= horizon_ms)).collect();
        upcoming.sort_unstable();
        upcoming
    }

    /// Returns, for each job, the instant at which the first of its current attempts was ordered.
    fn first_order_ms(&self) -> HashMap<JobIndex, u64> {
        let mut began = HashMap::new();
        for attempt in self.cluster.each_host().flat_map(|(_, host)| host.attempts.iter()) {
            let first = began.entry(attempt.key.job).or_insert(attempt.since_ms);
            *first = attempt.since_ms.min(*first);
        }
        began
    }
}

/// Forecast of the completion times of jobs.
struct CompletionForecast<'a> {
    partition: &'a Partition,
    first_order_ms: HashMap<JobIndex, u64>,
    now: u64,
    /// Milliseconds until each job is done; `None` if unknown.
    until_done_ms: HashMap<JobIndex, Option<u64>>,
}

impl CompletionForecast<'_> {
    /// Returns the milliseconds until the last dependency of a waiting job is done; `None` if unknown.
    fn until_start_ms(&mut self, job_index: JobIndex) -> Option<u64> {
        let ids: Vec<&str> = self.partition.dependencies.graph().dependencies(job_index).collect();
        let mut last_ms = 0;
        for id in ids {
            let dependency = *self.partition.cluster.job_index.get(id)?;
            last_ms = last_ms.max(self.time_until_done_ms(dependency)?);
        }
        Some(last_ms)
    }

    /// Returns the milliseconds until a job is done; `None` if unknown.
    fn time_until_done_ms(&mut self, job_index: JobIndex) -> Option<u64> {
        if let Some(known) = self.until_done_ms.get(&job_index) {
            return *known;
        }
        // Users can only name accepted jobs as dependencies, so the graph has no cycles. If it
        // nevertheless has one, this entry ends the recursion.
        self.until_done_ms.insert(job_index, None);
        let job = &self.partition.cluster.jobs[job_index];
        let duration_ms = self.partition.duration_ms(&job.spec);
        let time_until_done = if job.cancelling {
            None
        } else if job.waiting {
            self.until_start_ms(job_index).map(|ms| ms + duration_ms)
        } else {
            let ran_ms = self.first_order_ms.get(&job_index).map_or(0, |began| self.now.saturating_sub(*began));
            Some(duration_ms.saturating_sub(ran_ms))
        };
        self.until_done_ms.insert(job_index, time_until_done);
        time_until_done
    }
}
