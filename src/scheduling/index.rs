//! The index of a scheduling cycle: capacity by machine, where each job's attempts are, which machines
//! have an image. Counted once for a cycle or capacity plan and kept up to date while it places, so that
//! a decision costs what it looks at, and not machines times running tasks.
//!
//! Invariant: after each decision the index equals one that is counted anew (the property tests check
//! it), except for machines that had an image when they were first asked for.

use super::task_requirements::ZoneCounts;
use super::usable;
use crate::model::{ClusterState, Demand, Host, HostIndex, JobIndex, Reservation, Spec};
use std::cell::OnceCell;
use std::collections::HashMap;

/// A machine as placement sees it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostInfo {
    /// Its type is known, and tasks may be placed on it now.
    pub usable: bool,
    /// Index of its type; 0 if that is not known.
    pub instance_type: usize,
    /// Index of its zone in [`Index`].
    pub zone: usize,
    /// True for a spot machine.
    pub spot: bool,
    /// Capacity that no attempt takes; reserved capacity counts as free.
    pub free: Demand,
    /// Capacity that is reserved for jobs.
    pub reserved: Demand,
    /// Number of reservations on it.
    pub reservations: usize,
}

/// Where an attempt is; ordered by job, then machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IndexedAttempt {
    job: JobIndex,
    host: HostIndex,
}

/// Capacity by machine, and where the attempts of each job are.
#[derive(Debug, Default)]
pub struct Index {
    /// The machines, by [`HostIndex`].
    pub hosts: Vec<HostInfo>,
    zones: Vec<String>,
    /// Each attempt that had not ended when the index was counted, sorted.
    attempts: Vec<IndexedAttempt>,
    /// The machines of attempts that were placed since.
    placed: HashMap<JobIndex, Vec<HostIndex>>,
    /// Number of reservations of each job.
    reservations: HashMap<JobIndex, usize>,
    /// What each team's attempts take, fetching ones included.
    pub usage: HashMap<String, Demand>,
    /// The same once all that is being stopped has ended.
    pub staying: HashMap<String, Demand>,
    /// Machines that had each image ready when first asked for.
    warm: OnceCell<HashMap<String, Vec<HostIndex>>>,
}

impl Index {
    /// Counts what is on all machines.
    pub fn new(cluster: &ClusterState, now: u64) -> Index {
        let mut index = Index { hosts: Vec::with_capacity(cluster.hosts.len()), ..Index::default() };
        for zone in cluster.instance_types.iter().flat_map(|instance_type| &instance_type.zones) {
            index.zone_or_insert(zone);
        }
        for (host_index, host) in cluster.hosts.iter().enumerate() {
            let count = |host| index.count_host(cluster, host_index, host, now);
            let host_info = host.as_ref().map_or_else(HostInfo::default, count);
            index.hosts.push(host_info);
        }
        for reservation in &cluster.warm_reservations {
            index.hosts[reservation.host].free.sub(&reservation.demand);
        }
        index.attempts.sort_unstable();
        index.count_teams(cluster);
        index
    }

    fn zone_or_insert(&mut self, name: &str) -> usize {
        self.zone(name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        })
    }

    /// Counts what is on one machine.
    fn count_host(&mut self, cluster: &ClusterState, host_index: HostIndex, host: &Host, now: u64) -> HostInfo {
        let mut host_info = HostInfo {
            usable: host.instance_type.is_some() && usable(host, now),
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
                sum(&mut self.staying, &cluster.jobs[job].spec.team, &attempt.demand.times(-1.0));
            }
        }
        for reservation in &host.reservations {
            host_info.reserved.add(&reservation.demand);
            *self.reservations.entry(reservation.job).or_default() += 1;
        }
        host_info
    }

    /// Counts what the attempts of each team's jobs take.
    fn count_teams(&mut self, cluster: &ClusterState) {
        for attempts in self.attempts.chunk_by(|a, b| a.job == b.job) {
            let spec = &cluster.jobs[attempts[0].job].spec;
            let all = spec.demand.times(attempts.len() as f64);
            sum(&mut self.usage, &spec.team, &all);
            sum(&mut self.staying, &spec.team, &all);
        }
    }

    /// The index of a zone.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: usize) -> &str {
        &self.zones[zone]
    }

    /// The indices of all zones.
    pub fn zones(&self) -> std::ops::Range<usize> {
        0..self.zones.len()
    }

    /// The machines of a job's attempts that have not ended, one entry an attempt.
    pub fn hosts_of(&self, job: JobIndex) -> impl Iterator<Item = HostIndex> + '_ {
        let first = self.attempts.partition_point(|attempt| attempt.job < job);
        let of_job = self.attempts[first..].iter().take_while(move |attempt| attempt.job == job);
        let before = of_job.map(|attempt| attempt.host);
        before.chain(self.placed.get(&job).into_iter().flatten().copied())
    }

    /// The job's tasks that are on machines, by zone.
    pub fn counts(&self, job: JobIndex) -> ZoneCounts {
        let mut counts = ZoneCounts::default();
        self.hosts_of(job).for_each(|host| counts.add(self.hosts[host].zone));
        counts
    }

    /// Number of the job's reservations.
    pub fn reservations_of(&self, job: JobIndex) -> usize {
        self.reservations.get(&job).copied().unwrap_or(0)
    }

    /// What a machine has free for a job, less what is reserved for others.
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

    /// Notes that a task was placed.
    pub fn start(&mut self, spec: &Spec, job: JobIndex, host_index: HostIndex) {
        self.hosts[host_index].free.sub(&spec.demand);
        self.placed.entry(job).or_default().push(host_index);
        sum(&mut self.usage, &spec.team, &spec.demand);
        sum(&mut self.staying, &spec.team, &spec.demand);
    }

    /// Notes that the stop of an attempt was ordered.
    pub fn stop(&mut self, spec: &Spec) {
        sum(&mut self.staying, &spec.team, &spec.demand.times(-1.0));
    }

    /// Notes that the reservations on a machine changed from `before`.
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

    /// Machines that had the image ready when first asked.
    pub fn warm(&self, cluster: &ClusterState, image: &str) -> &[HostIndex] {
        let warm = self.warm.get_or_init(|| {
            let mut warm: HashMap<String, Vec<HostIndex>> = HashMap::new();
            for (host_index, host) in cluster.each_host() {
                for image in host.images.iter().filter(|image| image.ready) {
                    match warm.get_mut(&image.name) {
                        Some(hosts) => hosts.push(host_index),
                        None => {
                            warm.insert(image.name.clone(), vec![host_index]);
                        }
                    }
                }
            }
            warm
        });
        warm.get(image).map_or(&[], Vec::as_slice)
    }
}

/// Adds to a team's sum.
fn sum(sums: &mut HashMap<String, Demand>, team: &str, demand: &Demand) {
    match sums.get_mut(team) {
        Some(total) => total.add(demand),
        None => {
            sums.insert(team.to_string(), *demand);
        }
    }
}
