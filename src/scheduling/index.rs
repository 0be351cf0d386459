//! The index of a scheduling cycle: the capacity of each machine, the locations of the attempts of each
//! job, and the machines that have an image.
//!
//! The index is computed once for a cycle or capacity plan and updated with each placement, so that the
//! cost of a decision is proportional to the entries that it reads, and not to machines times running tasks.
//!
//! Invariant: after each decision the index equals a newly computed one (the property tests check this),
//! except for the machines with an image, which are computed on first use and not updated.

use super::is_usable;
use super::task_requirements::ZoneCounts;
use crate::model::{ClusterState, Demand, Host, HostIndex, JobIndex, Reservation, Spec};
use std::cell::OnceCell;
use std::collections::HashMap;

/// Properties and capacity of a machine that placement depends on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostInfo {
    /// True if the instance type is known and tasks may be placed on the machine now.
    pub usable: bool,
    /// Index of the instance type; 0 if the type is not known.
    pub instance_type: usize,
    /// Index of the zone in [`CapacityIndex`].
    pub zone: usize,
    /// True for a spot machine.
    pub spot: bool,
    /// Capacity that no attempt takes. Capacity reserved for jobs counts as free; capacity reserved by warm
    /// pools does not.
    pub free: Demand,
    /// Capacity that is reserved for jobs.
    pub reserved: Demand,
    /// Number of reservations for jobs on the machine.
    pub reservations: usize,
}

/// Location of an attempt; ordered by job, then by machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IndexedAttempt {
    job: JobIndex,
    host: HostIndex,
}

/// Capacity of each machine and locations of the attempts of each job.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    /// Machines, by [`HostIndex`].
    pub hosts: Vec<HostInfo>,
    zones: Vec<String>,
    /// Attempts that had not ended when the index was computed, sorted.
    attempts: Vec<IndexedAttempt>,
    /// Machines of the attempts that were placed since the index was computed.
    placed: HashMap<JobIndex, Vec<HostIndex>>,
    /// Number of reservations of each job.
    reservations: HashMap<JobIndex, usize>,
    /// Capacity taken by the attempts of each team, including attempts that still fetch their image.
    pub usage: HashMap<String, Demand>,
    /// Capacity taken by the attempts of each team, without the attempts that are being stopped.
    pub usage_after_stops: HashMap<String, Demand>,
    /// Machines that have each image ready, as of the first call of `hosts_with_image`.
    hosts_with_image: OnceCell<HashMap<String, Vec<HostIndex>>>,
}

impl CapacityIndex {
    /// Computes the index of the cluster state at `now`, in milliseconds of the steady clock.
    pub fn new(cluster: &ClusterState, now: u64) -> CapacityIndex {
        let mut index = CapacityIndex { hosts: Vec::with_capacity(cluster.hosts.len()), ..CapacityIndex::default() };
        for zone in cluster.instance_types.iter().flat_map(|instance_type| &instance_type.zones) {
            index.zone_or_insert(zone);
        }
        for (host_index, host) in cluster.hosts.iter().enumerate() {
            let count_host = |host| index.count_host(cluster, host_index, host, now);
            let host_info = host.as_ref().map_or_else(HostInfo::default, count_host);
            index.hosts.push(host_info);
        }
        for reservation in &cluster.warm_reservations {
            index.hosts[reservation.host].free.sub(&reservation.demand);
        }
        index.attempts.sort_unstable();
        index.count_teams(cluster);
        index
    }

    /// Returns the index of a zone and adds the zone if it is not known.
    fn zone_or_insert(&mut self, name: &str) -> usize {
        self.zone(name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        })
    }

    /// Adds the attempts and reservations of a machine to the index and returns its capacity.
    fn count_host(&mut self, cluster: &ClusterState, host_index: HostIndex, host: &Host, now: u64) -> HostInfo {
        let mut host_info = HostInfo {
            usable: host.instance_type.is_some() && is_usable(host, now),
            instance_type: host.instance_type.unwrap_or(0),
            zone: self.zone_or_insert(&host.zone),
            spot: host.spot,
            free: host.instance_type.map_or(Demand::default(), |index| cluster.instance_types[index].cap),
            reserved: Demand::default(),
            reservations: host.reservations.len(),
        };
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended()) {
            let job = attempt.key.job;
            host_info.free.sub(&attempt.demand);
            self.attempts.push(IndexedAttempt { job, host: host_index });
            if attempt.stop.is_some() {
                add_to_team(&mut self.usage_after_stops, &cluster.jobs[job].spec.team, &attempt.demand.times(-1.0));
            }
        }
        for reservation in &host.reservations {
            host_info.reserved.add(&reservation.demand);
            *self.reservations.entry(reservation.job).or_default() += 1;
        }
        host_info
    }

    /// Adds up the capacity taken by the attempts of each team.
    fn count_teams(&mut self, cluster: &ClusterState) {
        for attempts in self.attempts.chunk_by(|left, right| left.job == right.job) {
            let spec = &cluster.jobs[attempts[0].job].spec;
            let job_usage = spec.demand.times(attempts.len() as f64);
            add_to_team(&mut self.usage, &spec.team, &job_usage);
            add_to_team(&mut self.usage_after_stops, &spec.team, &job_usage);
        }
    }

    /// Returns the index of a zone; `None` if the zone is not known.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// Returns the name of a zone.
    pub fn zone_name(&self, zone: usize) -> &str {
        &self.zones[zone]
    }

    /// Returns the indices of all zones.
    pub fn zones(&self) -> std::ops::Range<usize> {
        0..self.zones.len()
    }

    /// Returns the machines of the attempts of a job that have not ended, one entry per attempt.
    pub fn hosts_of(&self, job: JobIndex) -> impl Iterator<Item = HostIndex> + '_ {
        let first = self.attempts.partition_point(|attempt| attempt.job < job);
        let attempts_of_job = self.attempts[first..].iter().take_while(move |attempt| attempt.job == job);
        let indexed_hosts = attempts_of_job.map(|attempt| attempt.host);
        indexed_hosts.chain(self.placed.get(&job).into_iter().flatten().copied())
    }

    /// Returns the number of tasks of the job on machines, by zone.
    pub fn tasks_by_zone(&self, job: JobIndex) -> ZoneCounts {
        let mut counts = ZoneCounts::default();
        self.hosts_of(job).for_each(|host| counts.add(self.hosts[host].zone));
        counts
    }

    /// Returns the number of reservations of the job.
    pub fn reservations_of(&self, job: JobIndex) -> usize {
        self.reservations.get(&job).copied().unwrap_or(0)
    }

    /// Returns the free capacity of a machine that a job may use: all but capacity reserved for others.
    pub fn free_for(&self, cluster: &ClusterState, host_index: HostIndex, job: JobIndex) -> Demand {
        let host_info = &self.hosts[host_index];
        let mut free = host_info.free;
        if host_info.reservations > 0 {
            let reservations = cluster.host(host_index).map_or(&[][..], |host| &host.reservations);
            let for_others = reservations.iter().filter(|reservation| !cluster.may_use(reservation, job));
            for_others.for_each(|reservation| free.sub(&reservation.demand));
        }
        free
    }

    /// Records the placement of a task.
    pub fn record_start(&mut self, spec: &Spec, job: JobIndex, host_index: HostIndex) {
        self.hosts[host_index].free.sub(&spec.demand);
        self.placed.entry(job).or_default().push(host_index);
        add_to_team(&mut self.usage, &spec.team, &spec.demand);
        add_to_team(&mut self.usage_after_stops, &spec.team, &spec.demand);
    }

    /// Records that the stop of an attempt with this description was ordered.
    pub fn record_stop(&mut self, spec: &Spec) {
        add_to_team(&mut self.usage_after_stops, &spec.team, &spec.demand.times(-1.0));
    }

    /// Records that the reservations on a machine changed from `before` to `after`.
    pub fn update_reservations(&mut self, before: &[Reservation], after: &[Reservation], host_index: HostIndex) {
        for reservation in before {
            if let Some(count) = self.reservations.get_mut(&reservation.job) {
                *count = count.saturating_sub(1);
            }
        }
        let host_info = &mut self.hosts[host_index];
        host_info.reservations = after.len();
        host_info.reserved = Demand::default();
        for reservation in after {
            host_info.reserved.add(&reservation.demand);
            *self.reservations.entry(reservation.job).or_default() += 1;
        }
    }

    /// Returns the machines that have the image ready, as of the first call for any image.
    pub fn hosts_with_image(&self, cluster: &ClusterState, image: &str) -> &[HostIndex] {
        let hosts_with_image = self.hosts_with_image.get_or_init(|| {
            let mut hosts_with_image: HashMap<String, Vec<HostIndex>> = HashMap::new();
            for (host_index, host) in cluster.each_host() {
                for image in host.images.iter().filter(|image| image.ready) {
                    match hosts_with_image.get_mut(&image.name) {
                        Some(hosts) => hosts.push(host_index),
                        None => {
                            hosts_with_image.insert(image.name.clone(), vec![host_index]);
                        }
                    }
                }
            }
            hosts_with_image
        });
        hosts_with_image.get(image).map_or(&[], Vec::as_slice)
    }
}

/// Adds a demand to the total of a team.
fn add_to_team(totals: &mut HashMap<String, Demand>, team: &str, demand: &Demand) {
    match totals.get_mut(team) {
        Some(total) => total.add(demand),
        None => {
            totals.insert(team.to_string(), *demand);
        }
    }
}
