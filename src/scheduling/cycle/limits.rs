//! Checks of the limits and guarantees of teams.

use super::SchedulingCycle;
use super::planned_stops::{PlannedStops, demand_lost_by_stop};
use crate::model::{Demand, Job, JobIndex, Shape, Spec, Urgency};

/// Tolerance for rounding errors in sums of decimal amounts.
const ROUNDING: f64 = 1e-6;

impl SchedulingCycle<'_> {
    /// Returns whether the job's team stays within its limit with `tasks` more of these tasks; `false` for
    /// an unknown team.
    pub(super) fn within_limit(&self, spec: &Spec, tasks: f64) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        let mut total = self.index.usage.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand.times(tasks));
        // Unreconciled machines may run tasks of the team that have not been located.
        if let Some(unlocated) = self.unlocated_demand.get(&spec.team) {
            total.add(unlocated);
        }
        total.fits(&team.limit)
    }

    /// Returns whether there are too many attempts on all machines for another one of this work. The
    /// reports about an array of thousands of short tasks would use up the leader's CPU time and memory.
    pub(super) fn too_many_attempts(&self, job: &Job) -> bool {
        let attempts = self.attempts_before + self.decisions.starts.len();
        job.urgency == Urgency::Low && job.spec.shape == Shape::Batch && attempts >= self.policy.max_attempts
    }

    /// Returns whether the job's team stays within its guarantee with `tasks` more of these tasks; `false`
    /// for an unknown team.
    pub(super) fn within_guarantee(&self, spec: &Spec, tasks: u32) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        if !team.guarantees(&spec.demand) {
            return false;
        }
        let mut total = self.index.usage_after_stops.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand.times(f64::from(tasks)));
        total.gpus <= team.guarantee.gpus + ROUNDING
            && (team.guarantee.cpus <= 0.0 || total.cpus <= team.guarantee.cpus + ROUNDING)
    }

    /// Returns how many more tasks, at most `max_tasks`, the guarantee of the job's team covers in addition
    /// to usage and reservations. Without this bound, an array of hundreds of tasks of which one is within
    /// its guarantee would stop hundreds of tasks.
    pub(super) fn tasks_within_guarantee(&self, spec: &Spec, max_tasks: usize) -> usize {
        let Some(team) = self.policy.teams.get(&spec.team) else { return 0 };
        if !team.guarantees(&spec.demand) {
            return 0;
        }
        let mut taken = self.index.usage_after_stops.get(&spec.team).copied().unwrap_or_default();
        taken.add(&self.reserved_by_team(&spec.team));
        let tasks = |guaranteed: f64, taken: f64, each: f64| {
            let remaining = guaranteed + ROUNDING - taken;
            if remaining < 0.0 {
                0
            } else if each <= 0.0 {
                max_tasks
            } else {
                (remaining / each) as usize
            }
        };
        let by_gpus = tasks(team.guarantee.gpus, taken.gpus, spec.demand.gpus);
        let by_cpus = if team.guarantee.cpus > 0.0 {
            tasks(team.guarantee.cpus, taken.cpus, spec.demand.cpus)
        } else {
            max_tasks
        };
        max_tasks.min(by_gpus).min(by_cpus)
    }

    /// Returns the demand that is reserved for jobs of a team.
    pub(super) fn reserved_by_team(&self, team: &str) -> Demand {
        let mut reserved = Demand::default();
        for (host_index, host) in self.cluster.each_host() {
            if self.index.hosts[host_index].reservations == 0 {
                continue;
            }
            let of_team =
                host.reservations.iter().filter(|reservation| self.cluster.jobs[reservation.job].spec.team == team);
            of_team.for_each(|reservation| reserved.add(&reservation.demand));
        }
        reserved
    }

    /// Returns whether the victim's team stays at or above its guarantee without the victim. Otherwise the
    /// team could start the same work within its guarantee again, and two teams would take the same
    /// capacity from each other repeatedly. For this reason the check covers each amount that
    /// [`Self::within_guarantee`] covers, and counts a whole gang, as a gang stops as a whole.
    pub(super) fn beyond_guarantee(&self, victim_job: JobIndex, planned: &PlannedStops) -> bool {
        if planned.includes_whole_gang(self.cluster, victim_job) {
            return true;
        }
        let victim = &self.cluster.jobs[victim_job].spec;
        let Some(team) = self.policy.teams.get(&victim.team) else { return false };
        let mut kept = self.index.usage_after_stops.get(&victim.team).copied().unwrap_or_default();
        kept.sub(&planned.taken_from(self.cluster, &victim.team));
        kept.sub(&demand_lost_by_stop(self.cluster, victim_job));
        let guarantee = &team.guarantee;
        let covers_cpus = guarantee.cpus > 0.0;
        let counts_gpus = victim.demand.gpus > 0.0 || !covers_cpus;
        let beyond_gpus = counts_gpus && kept.gpus >= guarantee.gpus - ROUNDING;
        let beyond_cpus = covers_cpus && kept.cpus >= guarantee.cpus - ROUNDING;
        beyond_gpus || beyond_cpus
    }
}
