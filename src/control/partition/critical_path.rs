//! One deadline over a pipeline: what the jobs that need a job ask of it.
//!
//! A job has to be done by the latest start of each job that needs it: that one's own deadline
//! less what it is expected to take. So the longest path decides, from the last job back. Its
//! priority is at least that of the jobs that need it. Both are kept up to date as jobs come
//! and go; a change costs as much as the jobs whose figures it changes, and their dependents.

use super::Partition;
use crate::model::{Job, JobIndex, Spec, Urgency};
use std::collections::{BTreeSet, HashMap};

/// Estimates are often wrong by half: so many times as long is reckoned with.
const ESTIMATE_MARGIN: f64 = 1.5;
/// Least rate of a fetch that its duration is computed with.
const LEAST_FETCH_GB_PER_S: f64 = 1e-3;

/// What a job owes to those that need it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Obligation {
    urgency: Urgency,
    needed_by_ms: Option<u64>,
}

impl Obligation {
    fn of(job: &Job) -> Obligation {
        Obligation { urgency: job.urgency, needed_by_ms: job.needed_by_ms }
    }

    /// What remains of a job's obligation if nobody needs it.
    fn to_nobody(job: &Job) -> Obligation {
        Obligation { urgency: job.spec.urgency, needed_by_ms: None }
    }

    /// Both obligations together.
    fn and(self, other: Obligation) -> Obligation {
        let deadlines = [self.needed_by_ms, other.needed_by_ms];
        Obligation { urgency: self.urgency.max(other.urgency), needed_by_ms: deadlines.into_iter().flatten().min() }
    }
}

impl Partition {
    /// A job has come to wait for its dependencies: scheduling cycles on what it asks of them.
    pub(super) fn oblige_dependencies(&mut self, job_index: JobIndex) {
        let mut changed = vec![job_index];
        while let Some(dependent) = changed.pop() {
            let asked = self.asked_by(dependent);
            for dependency in self.internal_dependencies(dependent) {
                let job = &self.cluster.jobs[dependency];
                if self.set_obligation(dependency, Obligation::of(job).and(asked)) {
                    changed.push(dependency);
                }
            }
        }
    }

    /// A job that waited for these is over: they owe it nothing any more.
    pub(super) fn release_dependencies(&mut self, ids: &BTreeSet<String>) {
        let mut open: Vec<JobIndex> = ids.iter().filter_map(|id| self.cluster.job_index.get(id).copied()).collect();
        while let Some(dependency) = open.pop() {
            if self.recompute_obligation(dependency) {
                open.extend(self.internal_dependencies(dependency));
            }
        }
    }

    /// Reckons a job's obligation from all that need it; true if it has changed.
    pub(super) fn recompute_obligation(&mut self, job_index: JobIndex) -> bool {
        let job = &self.cluster.jobs[job_index];
        if job.end.is_some() {
            return false;
        }
        let asked = self.dependencies.graph().dependents(&job.spec.id).map(|dependent| self.asked_by(dependent));
        let obligation = asked.fold(Obligation::to_nobody(job), Obligation::and);
        self.set_obligation(job_index, obligation)
    }

    fn internal_dependencies(&self, job_index: JobIndex) -> Vec<JobIndex> {
        let ids = self.dependencies.graph().dependencies(job_index);
        ids.filter_map(|id| self.cluster.job_index.get(id).copied()).collect()
    }

    /// What a waiting job asks of those that it waits for.
    fn asked_by(&self, dependent: JobIndex) -> Obligation {
        let job = &self.cluster.jobs[dependent];
        let margin_ms = (self.duration_ms(&job.spec) as f64 * ESTIMATE_MARGIN) as u64;
        Obligation { urgency: job.urgency, needed_by_ms: job.due_ms().map(|due| due.saturating_sub(margin_ms)) }
    }

    fn set_obligation(&mut self, job_index: JobIndex, obligation: Obligation) -> bool {
        let job = &mut self.cluster.jobs[job_index];
        if job.end.is_some() || Obligation::of(job) == obligation {
            return false;
        }
        (job.urgency, job.needed_by_ms) = (obligation.urgency, obligation.needed_by_ms);
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
        let fetch_s = spec.image_gb / slowest.max(LEAST_FETCH_GB_PER_S);
        ((spec.expected_s + fetch_s) * 1000.0) as u64 + self.policy.react_ms
    }

    /// Waiting jobs that may start within this time, for which room may be needed by then.
    pub fn upcoming(&self, horizon_ms: u64, now: u64) -> Vec<JobIndex> {
        if self.dependencies.graph().is_empty() {
            return Vec::new();
        }
        let mut forecast = Forecast { partition: self, began_ms: self.began_ms(), now, until_done_ms: HashMap::new() };
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
struct Forecast<'a> {
    partition: &'a Partition,
    began_ms: HashMap<JobIndex, u64>,
    now: u64,
    /// Time until each job is done; `None` if that can't be told.
    until_done_ms: HashMap<JobIndex, Option<u64>>,
}

impl Forecast<'_> {
    /// Time until the last job that a waiting one needs is done; `None` if that can't be told.
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
