//! Stops that are planned together and not ordered yet: what they take from each team, and the
//! capacity that is earmarked meanwhile.

use crate::model::{ClusterState, Demand, HostIndex, JobIndex, Shape};

/// Stops that are planned for one start, whether on one machine or on several.
///
/// Each of them alone may leave its team what it is guaranteed while all together do not. So a
/// further stop is judged by what the team keeps after those that are planned already.
#[derive(Debug, Clone, Default)]
pub(super) struct PlannedStops {
    stopped: Vec<PlannedStop>,
    earmarked: Vec<EarmarkedCapacity>,
}

/// Capacity that is planned for the start, or for a replica that migrates for it.
#[derive(Debug, Clone, Copy)]
struct EarmarkedCapacity {
    host: HostIndex,
    demand: Demand,
}

/// What one stop takes from the team of its job.
#[derive(Debug, Clone, Copy)]
struct PlannedStop {
    job: JobIndex,
    taken: Demand,
}

impl PlannedStops {
    /// Plans to stop a task of the job; a gang stops whole, with its first task.
    pub(super) fn add(&mut self, cluster: &ClusterState, job: JobIndex) {
        if self.stops_whole(cluster, job) {
            return;
        }
        let taken = stopped_together(cluster, job);
        self.stopped.push(PlannedStop { job, taken });
    }

    /// Earmarks capacity on a machine.
    pub(super) fn earmark(&mut self, host: HostIndex, demand: Demand) {
        self.earmarked.push(EarmarkedCapacity { host, demand });
    }

    /// What is left of the `free` capacity of a machine beside what is earmarked there.
    pub(super) fn left_of(&self, mut free: Demand, host: HostIndex) -> Demand {
        let there = self.earmarked.iter().filter(|earmarked| earmarked.host == host);
        there.for_each(|earmarked| free.sub(&earmarked.demand));
        free
    }

    /// Is the job a gang that is to be stopped already?
    pub(super) fn stops_whole(&self, cluster: &ClusterState, job: JobIndex) -> bool {
        cluster.jobs[job].spec.shape == Shape::Gang && self.includes(job)
    }

    /// Is a task of the job to be stopped?
    pub(super) fn includes(&self, job: JobIndex) -> bool {
        self.stopped.iter().any(|stop| stop.job == job)
    }

    /// What the planned stops take from a team.
    pub(super) fn taken_from(&self, cluster: &ClusterState, team: &str) -> Demand {
        let mut taken = Demand::default();
        let of_team = self.stopped.iter().filter(|stop| cluster.jobs[stop.job].spec.team == team);
        of_team.for_each(|stop| taken.add(&stop.taken));
        taken
    }
}

/// What a job's team has less once a task of it is stopped.
pub(super) fn stopped_together(cluster: &ClusterState, job: JobIndex) -> Demand {
    let spec = &cluster.jobs[job].spec;
    let tasks = if spec.shape == Shape::Gang { spec.tasks } else { 1 };
    spec.demand.times(f64::from(tasks))
}
