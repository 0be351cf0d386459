//! State of one partition: its jobs, machines and instance types.

use super::{BorrowingState, Demand, Host, HostIndex, InstanceType, Job, JobIndex, Reservation, WarmReservation};
use std::collections::{HashMap, HashSet};

/// Capacity that future jobs of a class are expected to need.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpectedDemand {
    /// Name of the job class.
    pub class: String,
    /// Whether the class can run on an instance type, by index in `ClusterState::instance_types`.
    pub instance_types: Vec<bool>,
    /// Resources that one task of the class uses.
    pub demand: Demand,
    /// Expected number of tasks.
    pub tasks: f64,
}

impl ExpectedDemand {
    /// Returns whether the class can run on exactly one instance type.
    pub fn single_instance_type(&self) -> bool {
        self.instance_types.iter().filter(|allowed| **allowed).count() == 1
    }
    /// Returns whether the class may run on this instance type. The result is false for a type that became
    /// known after this value was computed; the next plan includes it.
    pub fn allows(&self, instance_type: usize) -> bool {
        self.instance_types.get(instance_type).is_some_and(|allowed| *allowed)
    }
    /// Returns whether fewer tasks of the class fit on a machine of this type when its free capacity falls
    /// from `before` to `after`.
    pub fn loses(&self, instance_type: usize, before: &Demand, after: &Demand) -> bool {
        self.allows(instance_type) && before.tasks_that_fit(&self.demand) > after.tasks_that_fit(&self.demand)
    }
}

/// Instance type, zone and market of machines of the partition; machines with equal properties share one
/// value. Unlike in an [`InstanceOffering`](super::InstanceOffering), the type may be unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOffering {
    /// Index of the type in `ClusterState::instance_types`; `None` if the type is not known.
    pub instance_type: Option<usize>,
    /// Zone of the machines.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
}

/// State of one partition, as its leader knows it.
///
/// Invariants: indices of jobs and machines are never reused; `runnable_jobs`, `job_index` and `host_index` are
/// consistent with `jobs` and `hosts`.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// All jobs, by [`JobIndex`]; jobs are never removed.
    pub jobs: Vec<Job>,
    /// Index of each job by its id.
    pub job_index: HashMap<String, JobIndex>,
    /// All machines, by [`HostIndex`]; `None` in place of a removed machine.
    pub hosts: Vec<Option<Host>>,
    /// Index of each machine by its id, without removed machines.
    pub host_index: HashMap<String, HostIndex>,
    /// Instance types that the cloud offers.
    pub instance_types: Vec<InstanceType>,
    /// Jobs that have not ended and do not wait for other jobs.
    pub runnable_jobs: Vec<JobIndex>,
    /// Warm reservations of the pools; empty if no pools are configured.
    pub warm_reservations: Vec<WarmReservation>,
    /// Loans between teams; `None` if borrowing is disabled.
    pub borrowing: Option<BorrowingState>,
    /// Capacity that future jobs are expected to need, by class.
    pub expected_demands: Vec<ExpectedDemand>,
    /// Indices of the instance types of which the cloud has no machines left.
    pub exhausted_instance_types: Vec<usize>,
    /// True if the last cycle found no capacity for a job that uses accelerators and may not wait long.
    pub accelerators_insufficient: bool,
    /// Jobs for which cycles have planned preemption since all pending jobs last had their turn. It is empty unless a
    /// cycle was interrupted.
    pub preemption_turns: HashSet<JobIndex>,
    /// Steady time, in milliseconds, of the last scheduling cycle that left a job pending.
    pub last_pending_ms: u64,
    /// Total capacity of the unreconciled machines.
    pub unreconciled: Demand,
    /// Offerings of the unreconciled machines, without duplicates.
    pub unreconciled_offerings: Vec<HostOffering>,
    /// True while a machine is unreconciled whose offering is not known, so that it may hold any task.
    pub unknown_host_unreconciled: bool,
    /// True once every machine of the previous leader is reconciled.
    pub all_reconciled: bool,
}

impl ClusterState {
    /// Adds a job and returns its index.
    pub fn add_job(&mut self, job: Job) -> JobIndex {
        let job_index = self.jobs.len();
        self.job_index.insert(job.spec.id.clone(), job_index);
        if job.end.is_none() && !job.waiting {
            self.runnable_jobs.push(job_index);
        }
        self.jobs.push(job);
        job_index
    }

    /// Adds a machine and returns its index.
    pub fn add_host(&mut self, host: Host) -> HostIndex {
        let index = self.hosts.len();
        self.host_index.insert(host.id.clone(), index);
        self.hosts.push(Some(host));
        index
    }

    /// Removes a machine and returns it; `None` if it was removed before. Its index is not reused.
    pub fn remove_host(&mut self, index: HostIndex) -> Option<Host> {
        let host = self.hosts[index].take()?;
        self.host_index.remove(&host.id);
        Some(host)
    }

    /// Returns the machine with this index; `None` if it was removed.
    pub fn host(&self, index: HostIndex) -> Option<&Host> {
        self.hosts.get(index)?.as_ref()
    }

    /// Returns a mutable reference to the machine with this index; `None` if it was removed.
    pub fn host_mut(&mut self, index: HostIndex) -> Option<&mut Host> {
        self.hosts.get_mut(index)?.as_mut()
    }

    /// Returns an iterator over all machines that were not removed, with their indices.
    pub fn each_host(&self) -> impl Iterator<Item = (HostIndex, &Host)> {
        self.hosts.iter().enumerate().filter_map(|(index, host)| Some((index, host.as_ref()?)))
    }

    /// Returns whether the reservation is for this job or for the whole team of this job.
    pub fn may_use(&self, reservation: &Reservation, job: JobIndex) -> bool {
        let same_team = || self.jobs[reservation.job].spec.team == self.jobs[job].spec.team;
        reservation.job == job || (reservation.for_team && same_team())
    }

    /// Returns the index of the instance type with this name; `None` if there is none.
    pub fn instance_type(&self, name: &str) -> Option<usize> {
        self.instance_types.iter().position(|instance_type| instance_type.name == name)
    }
}
