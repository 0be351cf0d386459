//! Stops that are planned together and not ordered yet: what they take from each team, and the capacity
//! that is earmarked in the meantime.

use crate::model::{ClusterState, Demand, HostIndex, JobIndex, Shape};

/// Stops that are planned for one start, on one machine or on several.
///
/// Each single stop may leave its team its guarantee while all of them together do not. A further stop is
/// therefore checked against what the team keeps after the planned ones.
#[derive(Debug, Clone, Default)]
pub(super) struct PlannedStops {
    stopped: Vec<PlannedStop>,
    earmarked: Vec<EarmarkedCapacity>,
}

/// Capacity that is planned for the start, or for a replica that migrates because of it.
#[derive(Debug, Clone, Copy)]
struct EarmarkedCapacity {
    host: HostIndex,
    demand: Demand,
}

/// Demand that one stop takes from the team of its job.
#[derive(Debug, Clone, Copy)]
struct PlannedStop {
    job: JobIndex,
    taken: Demand,
}

impl PlannedStops {
    /// Plans to stop a task of the job. A gang stops as a whole, so only its first task counts.
    pub(super) fn add(&mut self, cluster: &ClusterState, job: JobIndex) {
        if self.includes_whole_gang(cluster, job) {
            return;
        }
        let taken = demand_lost_by_stop(cluster, job);
        self.stopped.push(PlannedStop { job, taken });
    }

    /// Earmarks capacity on a machine.
    pub(super) fn earmark(&mut self, host: HostIndex, demand: Demand) {
        self.earmarked.push(EarmarkedCapacity { host, demand });
    }

    /// Returns the `free` capacity of a machine less what is earmarked there.
    pub(super) fn free_after_earmarks(&self, mut free: Demand, host: HostIndex) -> Demand {
        let there = self.earmarked.iter().filter(|earmarked| earmarked.host == host);
        there.for_each(|earmarked| free.sub(&earmarked.demand));
        free
    }

    /// Returns whether the job is a gang that is already planned to be stopped.
    pub(super) fn includes_whole_gang(&self, cluster: &ClusterState, job: JobIndex) -> bool {
        cluster.jobs[job].spec.shape == Shape::Gang && self.includes_job(job)
    }

    /// Returns whether a task of the job is planned to be stopped.
    pub(super) fn includes_job(&self, job: JobIndex) -> bool {
        self.stopped.iter().any(|stop| stop.job == job)
    }

    /// Returns the demand that the planned stops take from a team.
    pub(super) fn taken_from(&self, cluster: &ClusterState, team: &str) -> Demand {
        let mut taken = Demand::default();
        let of_team = self.stopped.iter().filter(|stop| cluster.jobs[stop.job].spec.team == team);
        of_team.for_each(|stop| taken.add(&stop.taken));
        taken
    }
}

/// Returns the demand that a job's team loses when a task of the job is stopped: that of one task, or of
/// the whole gang.
pub(super) fn demand_lost_by_stop(cluster: &ClusterState, job: JobIndex) -> Demand {
    let spec = &cluster.jobs[job].spec;
    let tasks = if spec.shape == Shape::Gang { spec.tasks } else { 1 };
    spec.demand.times(f64::from(tasks))
}
