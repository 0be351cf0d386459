//! The state of a partition: its jobs, machines and machine types.

use super::{BorrowingState, Demand, Host, HostIndex, InstanceType, Job, JobIndex, Reservation, WarmReservation};
use std::collections::HashMap;

/// Capacity that a class is expected to need.
#[derive(Debug, Clone, PartialEq)]
pub struct Reserve {
    /// Name of the job class.
    pub class: String,
    /// Where it can run, by machine type.
    pub instance_types: Vec<bool>,
    /// What one task of the class takes.
    pub demand: Demand,
    /// Expected number of tasks.
    pub tasks: f64,
}

impl Reserve {
    /// Can it run on one instance type alone?
    pub fn single_instance_type(&self) -> bool {
        self.instance_types.iter().filter(|allowed| **allowed).count() == 1
    }
    /// May it run on this type? One that became known later counts from the next plan on.
    pub fn allows(&self, instance_type: usize) -> bool {
        self.instance_types.get(instance_type).is_some_and(|allowed| *allowed)
    }
    /// Does it lose a place when the free capacity of a machine of this type shrinks so?
    pub fn loses(&self, instance_type: usize, before: &Demand, after: &Demand) -> bool {
        self.allows(instance_type) && before.tasks_that_fit(&self.demand) > after.tasks_that_fit(&self.demand)
    }
}

/// What is known of unreconciled machines, one value for all that are alike. Unlike an
/// [`InstanceOffering`](super::InstanceOffering) its type may be unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceKind {
    /// The machine type, if it is known.
    pub instance_type: Option<usize>,
    /// Zone of the machines.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
}

/// The state of one partition, as its leader knows it.
///
/// Invariants: indices of jobs and machines are never used again; `live` and the two indices by id agree
/// with `jobs` and `hosts`.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// All jobs, by [`JobIndex`]; none is removed.
    pub jobs: Vec<Job>,
    /// Index of each job by its id.
    pub job_index: HashMap<String, JobIndex>,
    /// All machines, by [`HostIndex`]; `None` where one was removed.
    pub hosts: Vec<Option<Host>>,
    /// Index of each machine by its id; removed ones are left out.
    pub host_index: HashMap<String, HostIndex>,
    /// The machine types of the cloud.
    pub instance_types: Vec<InstanceType>,
    /// Jobs that are not over and wait for no others.
    pub live: Vec<JobIndex>,
    /// Reservations of warm pools; none without them.
    pub warm_reservations: Vec<WarmReservation>,
    /// Loans between teams; none without borrowing.
    pub borrowing: Option<BorrowingState>,
    /// Capacity that classes are expected to need.
    pub reserves: Vec<Reserve>,
    /// Machine types of which the cloud has none left.
    pub exhausted: Vec<usize>,
    /// In the last cycle no capacity was found for work with accelerators that may not wait long.
    pub accelerators_short: bool,
    /// Steady time of the last scheduling cycle that left a job pending.
    pub last_pending_ms: u64,
    /// What fits on unreconciled machines altogether.
    pub unreconciled: Demand,
    /// Their kinds, each one once.
    pub unreconciled_kinds: Vec<InstanceKind>,
    /// False until every machine of the last leader is reconciled.
    pub all_reconciled: bool,
}

impl ClusterState {
    /// Adds a job.
    pub fn add_job(&mut self, job: Job) -> JobIndex {
        let job_index = self.jobs.len();
        self.job_index.insert(job.spec.id.clone(), job_index);
        if job.end.is_none() && !job.waiting {
            self.live.push(job_index);
        }
        self.jobs.push(job);
        job_index
    }

    /// Adds a machine.
    pub fn add_host(&mut self, host: Host) -> HostIndex {
        let index = self.hosts.len();
        self.host_index.insert(host.id.clone(), index);
        self.hosts.push(Some(host));
        index
    }

    /// Removes a machine; its index is not used again.
    pub fn remove_host(&mut self, index: HostIndex) -> Option<Host> {
        let host = self.hosts[index].take()?;
        self.host_index.remove(&host.id);
        Some(host)
    }

    /// The machine, unless it was removed.
    pub fn host(&self, index: HostIndex) -> Option<&Host> {
        self.hosts.get(index)?.as_ref()
    }

    /// The machine to be changed, unless it was removed.
    pub fn host_mut(&mut self, index: HostIndex) -> Option<&mut Host> {
        self.hosts.get_mut(index)?.as_mut()
    }

    /// All machines, with their indices.
    pub fn each_host(&self) -> impl Iterator<Item = (HostIndex, &Host)> {
        self.hosts.iter().enumerate().filter_map(|(index, host)| Some((index, host.as_ref()?)))
    }

    /// Is the reservation for this job, or for its whole team?
    pub fn may_use(&self, reservation: &Reservation, job: JobIndex) -> bool {
        let same_team = || self.jobs[reservation.job].spec.team == self.jobs[job].spec.team;
        reservation.job == job || (reservation.for_team && same_team())
    }

    /// The index of a machine type.
    pub fn instance_type(&self, name: &str) -> Option<usize> {
        self.instance_types.iter().position(|instance_type| instance_type.name == name)
    }
}
