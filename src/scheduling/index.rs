//! What decisions look up again and again: room by machine, where each job's
//! attempts are, which machines have an image. Counted once for a scheduling cycle or plan
//! and kept up to date while it places, so that a decision costs what it looks
//! at, and not machines times running tasks.

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
    /// Room that no attempt takes; reserved room counts as free.
    pub free: Demand,
    /// Room that is held for jobs.
    pub reserved: Demand,
    /// Number of claims on it.
    pub reservations: usize,
}

/// Tasks of a job by zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneCounts {
    by_zone: Vec<u32>,
    total: u32,
}

impl ZoneCounts {
    /// Counts one more task in a zone.
    pub fn add(&mut self, zone: usize) {
        if self.by_zone.len() <= zone {
            self.by_zone.resize(zone + 1, 0);
        }
        self.by_zone[zone] += 1;
        self.total += 1;
    }

    /// Counts one task less in a zone.
    pub fn sub(&mut self, zone: usize) {
        if let Some(n) = self.by_zone.get_mut(zone).filter(|n| **n > 0) {
            *n -= 1;
            self.total -= 1;
        }
    }

    /// How many tasks are in a zone.
    pub fn of(&self, zone: usize) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }
}

/// Where a job's tasks may be, with names resolved.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// By machine type; a type that is too small is not allowed.
    instance_types: Vec<bool>,
    /// What one task takes.
    pub demand: Demand,
    /// Spot machines are allowed.
    pub spot: bool,
    /// The only allowed zone; one without machines has no place.
    zone: Option<Option<usize>>,
    one_zone: bool,
    limit: u32,
}

impl TaskRequirements {
    /// May the tasks be on such a machine, as far as zone counts allow?
    pub fn allows(&self, instance_type: usize, zone: usize, spot: bool, counts: &ZoneCounts) -> bool {
        self.instance_types[instance_type]
            && (self.spot || !spot)
            && self.zone.is_none_or(|z| z == Some(zone))
            && counts.of(zone) < self.limit
            && (!self.one_zone || counts.total == 0 || counts.of(zone) > 0)
    }

    /// The same for a machine that is up.
    pub fn accepts(&self, host: &HostInfo, counts: &ZoneCounts) -> bool {
        host.usable && self.allows(host.instance_type, host.zone, host.spot, counts)
    }

    /// The same for any number of tasks that are already there.
    pub fn like(&self, other: &TaskRequirements) -> bool {
        self.instance_types == other.instance_types
            && self.demand == other.demand
            && self.spot == other.spot
            && self.zone == other.zone
    }
}

/// Room by machine, and where the attempts of each job are.
#[derive(Debug, Default)]
pub struct Index {
    /// The machines, by [`HostIndex`].
    pub hosts: Vec<HostInfo>,
    zones: Vec<String>,
    /// Job and machine of each attempt that has not ended, sorted.
    at: Vec<(JobIndex, HostIndex)>,
    /// The same for what was placed since.
    placed: HashMap<JobIndex, Vec<HostIndex>>,
    /// How many machines hold room for each job.
    reservations: HashMap<JobIndex, usize>,
    /// What each team's attempts take, fetching ones included.
    pub usage: HashMap<String, Demand>,
    /// The same once all that is being stopped is gone.
    pub staying: HashMap<String, Demand>,
    warm: OnceCell<HashMap<String, Vec<HostIndex>>>,
}

impl Index {
    /// Counts what is on all machines.
    pub fn new(cluster: &ClusterState, now: u64) -> Index {
        let mut index = Index { hosts: Vec::with_capacity(cluster.hosts.len()), ..Index::default() };
        for zone in cluster.instance_types.iter().flat_map(|f| &f.zones) {
            index.zone_or_insert(zone);
        }
        for (host_index, host) in cluster.hosts.iter().enumerate() {
            let slot = host.as_ref().map_or_else(HostInfo::default, |h| index.count_host(cluster, host_index, h, now));
            index.hosts.push(slot);
        }
        for room in &cluster.warm_reservations {
            index.hosts[room.host].free.sub(&room.demand);
        }
        index.at.sort_unstable();
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
    fn count_host(&mut self, cluster: &ClusterState, host_index: HostIndex, h: &Host, now: u64) -> HostInfo {
        let mut slot = HostInfo {
            usable: h.instance_type.is_some() && usable(h, now),
            instance_type: h.instance_type.unwrap_or(0),
            zone: self.zone_or_insert(&h.zone),
            spot: h.spot,
            free: h.instance_type.map_or(Demand::default(), |f| cluster.instance_types[f].cap),
            reserved: Demand::default(),
            reservations: h.reservations.len(),
        };
        for c in h.attempts.iter().filter(|c| !c.ended()) {
            slot.free.sub(&c.demand);
            self.at.push((c.key.job, host_index));
            if c.stop.is_some() {
                sum(&mut self.staying, &cluster.jobs[c.key.job].spec.team, &c.demand.times(-1.0));
            }
        }
        for c in &h.reservations {
            slot.reserved.add(&c.demand);
            *self.reservations.entry(c.job).or_default() += 1;
        }
        slot
    }

    /// Counts what the attempts of each team's jobs take.
    fn count_teams(&mut self, cluster: &ClusterState) {
        for attempts in self.at.chunk_by(|a, b| a.0 == b.0) {
            let spec = &cluster.jobs[attempts[0].0].spec;
            let all = spec.demand.times(attempts.len() as f64);
            sum(&mut self.usage, &spec.team, &all);
            sum(&mut self.staying, &spec.team, &all);
        }
    }

    /// The index of a zone.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|z| z == name)
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: usize) -> &str {
        &self.zones[zone]
    }

    /// The indices of all zones.
    pub fn zones(&self) -> std::ops::Range<usize> {
        0..self.zones.len()
    }

    /// Where the tasks of a job may be.
    pub fn requirements(&self, cluster: &ClusterState, spec: &Spec) -> TaskRequirements {
        TaskRequirements {
            instance_types: cluster.instance_types.iter().map(|f| spec.allows_instance_type(f)).collect(),
            demand: spec.demand,
            spot: spec.spot,
            zone: spec.zone.as_deref().map(|z| self.zone(z)),
            one_zone: spec.one_zone,
            limit: spec.zone_limit(),
        }
    }

    /// The machines of a job's attempts that have not ended, one entry an attempt.
    pub fn hosts_of(&self, job: JobIndex) -> impl Iterator<Item = HostIndex> + '_ {
        let first = self.at.partition_point(|a| a.0 < job);
        let before = self.at[first..].iter().take_while(move |a| a.0 == job).map(|a| a.1);
        before.chain(self.placed.get(&job).into_iter().flatten().copied())
    }

    /// Copies of the job by zone.
    pub fn counts(&self, job: JobIndex) -> ZoneCounts {
        let mut counts = ZoneCounts::default();
        self.hosts_of(job).for_each(|h| counts.add(self.hosts[h].zone));
        counts
    }

    /// How many machines hold room for the job.
    pub fn reservations_of(&self, job: JobIndex) -> usize {
        self.reservations.get(&job).copied().unwrap_or(0)
    }

    /// What a machine has free for a job, less what is held for others.
    pub fn free_for(&self, cluster: &ClusterState, host_index: HostIndex, job: JobIndex) -> Demand {
        let slot = &self.hosts[host_index];
        let mut free = slot.free;
        if slot.reservations > 0 {
            let reservations = cluster.host(host_index).map_or(&[][..], |h| &h.reservations);
            reservations.iter().filter(|c| !cluster.may_use(c, job)).for_each(|c| free.sub(&c.demand));
        }
        free
    }

    /// A task was placed.
    pub fn start(&mut self, spec: &Spec, job: JobIndex, host_index: HostIndex) {
        self.hosts[host_index].free.sub(&spec.demand);
        self.placed.entry(job).or_default().push(host_index);
        sum(&mut self.usage, &spec.team, &spec.demand);
        sum(&mut self.staying, &spec.team, &spec.demand);
    }

    /// An attempt is being stopped.
    pub fn stop(&mut self, spec: &Spec) {
        sum(&mut self.staying, &spec.team, &spec.demand.times(-1.0));
    }

    /// The claims on a machine changed from `before`.
    pub fn update_reservations(&mut self, before: &[Reservation], after: &[Reservation], host_index: HostIndex) {
        for c in before {
            if let Some(n) = self.reservations.get_mut(&c.job) {
                *n = n.saturating_sub(1);
            }
        }
        let slot = &mut self.hosts[host_index];
        slot.reservations = after.len();
        slot.reserved = Demand::default();
        for c in after {
            slot.reserved.add(&c.demand);
            *self.reservations.entry(c.job).or_default() += 1;
        }
    }

    /// Where it differs from another count, for tests.
    #[cfg(test)]
    pub fn differs(&self, other: &Index, jobs: usize) -> Option<String> {
        let near =
            |a: &Demand, b: &Demand| (a.cpus - b.cpus).abs() + (a.gpus - b.gpus).abs() + (a.mem - b.mem).abs() < 1e-6;
        for (i, (a, b)) in self.hosts.iter().zip(&other.hosts).enumerate() {
            if !near(&a.free, &b.free) || !near(&a.reserved, &b.reserved) || a.reservations != b.reservations {
                return Some(format!("machine {i}: {a:?}, counted {b:?}"));
            }
        }
        for (name, a, b) in [("usage", &self.usage, &other.usage), ("staying", &self.staying, &other.staying)] {
            for team in a.keys().chain(b.keys()) {
                let of = |m: &HashMap<String, Demand>| m.get(team).copied().unwrap_or_default();
                if !near(&of(a), &of(b)) {
                    return Some(format!("{name} of {team}: {:?}, counted {:?}", of(a), of(b)));
                }
            }
        }
        let mut jobs = 0..jobs;
        jobs.find(|j| self.counts(*j) != other.counts(*j) || self.reservations_of(*j) != other.reservations_of(*j))
            .map(|j| format!("job {j}: {:?}, counted {:?}", self.counts(j), other.counts(j)))
    }

    /// Machines that had the image ready when first asked.
    pub fn warm(&self, cluster: &ClusterState, image: &str) -> &[HostIndex] {
        let warm = self.warm.get_or_init(|| {
            let mut warm: HashMap<String, Vec<HostIndex>> = HashMap::new();
            for (host_index, h) in cluster.each_host() {
                for i in h.images.iter().filter(|i| i.ready) {
                    match warm.get_mut(&i.name) {
                        Some(hosts) => hosts.push(host_index),
                        None => {
                            warm.insert(i.name.clone(), vec![host_index]);
                        }
                    }
                }
            }
            warm
        });
        warm.get(image).map_or(&[], Vec::as_slice)
    }
}

fn sum(sums: &mut HashMap<String, Demand>, team: &str, d: &Demand) {
    match sums.get_mut(team) {
        Some(u) => u.add(d),
        None => {
            sums.insert(team.to_string(), *d);
        }
    }
}
