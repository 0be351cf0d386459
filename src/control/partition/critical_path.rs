//! One deadline over a pipeline: deadlines and urgency of jobs follow from their dependents.
//!
//! A job has to be done by the latest start of each job that needs it: that one's own deadline
//! less what it is expected to take. So the longest path decides, from the last job back. Its
//! priority is at least that of the jobs that need it. Both are kept up to date as jobs come
//! and go; a change costs as much as the jobs whose figures it changes, and their dependents.

use super::Partition;
use crate::model::{Job, JobIndex, Spec, Urgency};
use std::collections::{BTreeSet, HashMap};

/// Estimates are often wrong by half: durations are multiplied by this.
const ESTIMATE_MARGIN: f64 = 1.5;
/// Least rate of a fetch that its duration is computed with.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// Seconds that it takes to fetch an image.
pub(super) fn fetch_s(image_gb: f64, gb_per_s: f64) -> f64 {
    image_gb / gb_per_s.max(MIN_FETCH_GB_PER_S)
}

/// What a job's dependents need of it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct DependentNeeds {
    urgency: Urgency,
    needed_by_ms: Option<u64>,
}

impl DependentNeeds {
    fn of(job: &Job) -> DependentNeeds {
        DependentNeeds { urgency: job.urgency, needed_by_ms: job.needed_by_ms }
    }

    /// The needs of a job that has no dependents.
    fn to_nobody(job: &Job) -> DependentNeeds {
        DependentNeeds { urgency: job.spec.urgency, needed_by_ms: None }
    }

    /// Both obligations together.
    fn and(self, other: DependentNeeds) -> DependentNeeds {
        let deadlines = [self.needed_by_ms, other.needed_by_ms];
        DependentNeeds { urgency: self.urgency.max(other.urgency), needed_by_ms: deadlines.into_iter().flatten().min() }
    }
}

impl Partition {
    /// A job has come to wait for its dependencies: its dependencies get its deadline and urgency.
    pub(super) fn propagate_needs(&mut self, job_index: JobIndex) {
        let mut changed = vec![job_index];
        while let Some(dependent) = changed.pop() {
            let asked = self.needs_of(dependent);
            for dependency in self.internal_dependencies(dependent) {
                let job = &self.cluster.jobs[dependency];
                if self.set_needs(dependency, DependentNeeds::of(job).and(asked)) {
                    changed.push(dependency);
                }
            }
        }
    }

    /// A job that waited for these is over: it needs nothing of them any more.
    pub(super) fn release_dependencies(&mut self, ids: &BTreeSet<String>) {
        let mut open: Vec<JobIndex> = ids.iter().filter_map(|id| self.cluster.job_index.get(id).copied()).collect();
        while let Some(dependency) = open.pop() {
            if self.recompute_needs(dependency) {
                open.extend(self.internal_dependencies(dependency));
            }
        }
    }

    /// Computes a job's needs from all its dependents; true if they have changed.
    pub(super) fn recompute_needs(&mut self, job_index: JobIndex) -> bool {
        let job = &self.cluster.jobs[job_index];
        if job.end.is_some() {
            return false;
        }
        let asked = self.dependencies.graph().dependents(&job.spec.id).map(|dependent| self.needs_of(dependent));
        let needs = asked.fold(DependentNeeds::to_nobody(job), DependentNeeds::and);
        self.set_needs(job_index, needs)
    }

    fn internal_dependencies(&self, job_index: JobIndex) -> Vec<JobIndex> {
        let ids = self.dependencies.graph().dependencies(job_index);
        ids.filter_map(|id| self.cluster.job_index.get(id).copied()).collect()
    }

    /// What a waiting job needs of its dependencies.
    fn needs_of(&self, dependent: JobIndex) -> DependentNeeds {
        let job = &self.cluster.jobs[dependent];
        let margin_ms = (self.duration_ms(&job.spec) as f64 * ESTIMATE_MARGIN) as u64;
        DependentNeeds { urgency: job.urgency, needed_by_ms: job.due_ms().map(|due| due.saturating_sub(margin_ms)) }
    }

    fn set_needs(&mut self, job_index: JobIndex, needs: DependentNeeds) -> bool {
        let job = &mut self.cluster.jobs[job_index];
        if job.end.is_some() || DependentNeeds::of(job) == needs {
            return false;
        }
        (job.urgency, job.needed_by_ms) = (needs.urgency, needs.needed_by_ms);
        self.scheduling_triggers.request_cycle();
        if !job.waiting {
            self.scheduling_triggers.request_cycle_for(job.urgency);
        }
        true
    }

    /// How long a job is expected to take once it may start: its image, the start and the run.
    fn duration_ms(&self, spec: &Spec) -> u64 {
        let allowed =
            self.cluster.instance_types.iter().filter(|instance_type| spec.allows_instance_type(instance_type));
        let slowest = allowed.map(|instance_type| instance_type.fetch_gb_per_s).fold(f64::INFINITY, f64::min);
        let fetch_s = fetch_s(spec.image_gb, slowest);
        ((spec.expected_s + fetch_s) * 1000.0) as u64 + self.policy.react_ms
    }

    /// Waiting jobs that may start within this time, for which capacity may be needed by then.
    pub fn upcoming(&self, horizon_ms: u64, now: u64) -> Vec<JobIndex> {
        if self.dependencies.graph().is_empty() {
            return Vec::new();
        }
        let mut forecast =
            CompletionForecast { partition: self, began_ms: self.began_ms(), now, until_done_ms: HashMap::new() };
        let waiting = self.dependencies.graph().waiting().filter(|job| {
            let job = &self.cluster.jobs[*job];
            job.version > 0 && job.end.is_none() && !job.cancelling
        });
        let mut upcoming: Vec<JobIndex> =
            waiting.filter(|job| forecast.until_start_ms(*job).is_some_and(|ms| ms <= horizon_ms)).collect();
        upcoming.sort_unstable();
        upcoming
    }

    /// When the first of the attempts that are on machines now was ordered, by job.
    fn began_ms(&self) -> HashMap<JobIndex, u64> {
        let mut began = HashMap::new();
        for attempt in self.cluster.each_host().flat_map(|(_, host)| host.attempts.iter()) {
            let first = began.entry(attempt.key.job).or_insert(attempt.since_ms);
            *first = attempt.since_ms.min(*first);
        }
        began
    }
}

/// When jobs are expected to be done.
struct CompletionForecast<'a> {
    partition: &'a Partition,
    began_ms: HashMap<JobIndex, u64>,
    now: u64,
    /// Time until each job is done; `None` if that is not known.
    until_done_ms: HashMap<JobIndex, Option<u64>>,
}

impl CompletionForecast<'_> {
    /// Time until the last job that a waiting one needs is done; `None` if that is not known.
    fn until_start_ms(&mut self, job_index: JobIndex) -> Option<u64> {
        let ids: Vec<&str> = self.partition.dependencies.graph().dependencies(job_index).collect();
        let mut last = 0;
        for id in ids {
            let dependency = *self.partition.cluster.job_index.get(id)?;
            last = last.max(self.until_done(dependency)?);
        }
        Some(last)
    }

    fn until_done(&mut self, job_index: JobIndex) -> Option<u64> {
        if let Some(known) = self.until_done_ms.get(&job_index) {
            return *known;
        }
        // Users name accepted jobs only, so that no job needs itself; were it otherwise, this
        // ends the search.
        self.until_done_ms.insert(job_index, None);
        let job = &self.partition.cluster.jobs[job_index];
        let duration_ms = self.partition.duration_ms(&job.spec);
        let until_done = if job.cancelling {
            None
        } else if job.waiting {
            self.until_start_ms(job_index).map(|ms| ms + duration_ms)
        } else {
            let ran_ms = self.began_ms.get(&job_index).map_or(0, |began| self.now.saturating_sub(*began));
            Some(duration_ms.saturating_sub(ran_ms))
        };
        self.until_done_ms.insert(job_index, until_done);
        until_done
    }
}
