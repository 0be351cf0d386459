//! Expected releases: capacity that becomes free soon as tasks end by themselves, so that no preemption is
//! needed for it.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Demand, Shape};

/// Tasks of one size that are expected to end before a stop would show its effect.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedReleases {
    demand: Demand,
    /// Expected number of tasks, less those whose capacity this cycle has already counted for pending work.
    count: f64,
}

impl SchedulingCycle<'_> {
    /// Returns how many of `tasks` tasks will find capacity of ending tasks at least as soon as stops would
    /// free it. Each release counts once in a scheduling cycle, and only while at least half of the
    /// guarantee's time is left (with borrowing and outside a guarantee, twice the time an order takes to
    /// show its effect), because more urgent work may take the capacity first.
    pub(super) fn tasks_covered_by_releases(&mut self, request: &PlacementRequest, tasks: usize) -> usize {
        let react_s = self.policy.react_ms as f64 / 1000.0;
        let enough_time = match (request.guarantee_left_s, self.policy.guarantee_s) {
            (Some(left_s), Some(within_s)) => left_s >= within_s / 2.0,
            _ => {
                let left_s = request.objective_left_s;
                self.cluster.borrowing.is_some() && left_s.is_some_and(|left_s| left_s >= 2.0 * react_s)
            }
        };
        if !enough_time {
            return 0;
        }
        let mut releases = self.expected_releases.take().unwrap_or_else(|| self.expected_releases_by_size());
        let mut covered = 0;
        for group in releases.iter_mut().filter(|group| request.requirements.demand.fits(&group.demand)) {
            let taken = (group.count as usize).min(tasks - covered);
            group.count -= taken as f64;
            covered += taken;
        }
        self.expected_releases = Some(releases);
        covered
    }

    /// Returns the array tasks, grouped by size, that are expected to end within the time an order takes to
    /// show its effect.
    fn expected_releases_by_size(&self) -> Vec<ExpectedReleases> {
        let react_s = self.policy.react_ms as f64 / 1000.0;
        let mut releases: Vec<ExpectedReleases> = Vec::new();
        for job_index in &self.cluster.runnable_jobs {
            let spec = &self.cluster.jobs[*job_index].spec;
            if spec.shape != Shape::Batch || spec.expected_s <= 0.0 {
                continue;
            }
            let running = self.index.hosts_of(*job_index).count() as f64;
            let count = running * (react_s / spec.expected_s).min(1.0);
            match releases.iter_mut().find(|group| group.demand == spec.demand) {
                Some(group) => group.count += count,
                None => releases.push(ExpectedReleases { demand: spec.demand, count }),
            }
        }
        releases
    }
}
