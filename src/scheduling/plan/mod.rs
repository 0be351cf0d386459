//! What to rent, what to return and which machine to empty.

mod drain;
mod fit;
mod headroom;

pub use drain::Drain;
pub use fit::strands_accelerators;
pub use headroom::reserves;

use super::index::Index;
use super::{Policy, joining};
use crate::model::{ClusterState, Demand, HostIndex, JobIndex, Spec};
use drain::consolidate;
use fit::fit;
use headroom::headroom;
use std::collections::HashSet;

/// Machines that were asked for and are not up yet.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMachine {
    /// Index of its type.
    pub instance_type: usize,
    /// Zone that it was asked for in.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
}

/// How a kind of machine can be had now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Supply {
    /// The cloud has refused it.
    Refused,
    /// At its price times this factor, which is above 1 for kinds that come up late or never.
    Available {
        /// What to multiply the price by, at least 1.
        cost_factor: f64,
    },
}

/// The supply of a machine type in a zone, as spot machines or as ordinary ones.
pub type SupplyOf<'a> = dyn Fn(usize, &str, bool) -> Supply + 'a;

/// A request for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct Rental {
    /// Index of the machine type.
    pub instance_type: usize,
    /// Zone in which the machines are to be.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: usize,
}

/// Arrivals of a class, as seen so far.
#[derive(Debug, Clone)]
pub struct ClassFlow {
    /// A recent job of the class, with nothing placed.
    pub spec: Spec,
    /// Tasks that arrive in a second, and the mean of the squared job sizes
    /// over the mean size.
    pub rate: f64,
    /// Mean of the squared job sizes over the mean size: how many tasks come at once.
    pub burst: f64,
}

/// Work that room is needed for.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedWork<'a> {
    /// Jobs with tasks that found no room.
    pub pending_jobs: &'a [JobIndex],
    /// Replicas of warm pools that lack a machine, and how many of each kind.
    pub pool_replicas: &'a [(Spec, usize)],
    /// Jobs that wait for others and may start before a machine that is asked for now is up.
    pub upcoming: &'a [JobIndex],
    /// Arrivals of each class.
    pub flows: &'a [ClassFlow],
}

/// What a partition should rent, could return and should empty.
#[derive(Debug, Default)]
pub struct Plan {
    /// Machines that are lacking, grouped by kind.
    pub rent: Vec<Rental>,
    /// Machines that nothing waiting or expected needs.
    pub spare: Vec<HostIndex>,
    /// Machines whose work fits elsewhere, so that they can be returned.
    pub drain: Vec<Drain>,
}

struct Bin {
    free: Demand,
    instance_type: usize,
    zone: usize,
    spot: bool,
    host: Option<HostIndex>,
    used: bool,
}

/// What to rent and what could be returned: the waiting tasks, then those of jobs that may
/// start before a machine is up, then the arrivals expected during a boot, are fitted into free room, machines that
/// are coming, and new ones.
pub fn plan(
    cluster: &ClusterState,
    policy: &Policy,
    now: u64,
    work: &ExpectedWork,
    pending_machines: &[PendingMachine],
    supply: &SupplyOf,
) -> Plan {
    let index = Index::new(cluster, now);
    let mut bins = existing_room(cluster, &index);
    bins.extend(room_on_its_way(cluster, &index, pending_machines));
    let have = bins.len();
    for job_index in work.pending_jobs.iter().chain(work.upcoming) {
        let job = &cluster.jobs[*job_index];
        let placeable = cluster.placeable_tasks(job);
        let n = job.tasks.iter().filter(|t| placeable.includes(t)).count();
        fit(cluster, &index, &mut bins, &job.spec, n, job.avoided_hosts(cluster, now), supply);
    }
    for flow in work.flows {
        let n = headroom(cluster, policy, flow);
        fit(cluster, &index, &mut bins, &flow.spec, n, &HashSet::new(), supply);
    }
    for (spec, n) in work.pool_replicas {
        fit(cluster, &index, &mut bins, spec, *n, &HashSet::new(), supply);
    }
    let mut rent: Vec<Rental> = Vec::new();
    for b in &bins[have..] {
        let zone = index.zone_name(b.zone);
        match rent.iter_mut().find(|r| r.instance_type == b.instance_type && r.zone == zone && r.spot == b.spot) {
            Some(r) => r.count += 1,
            None => rent.push(Rental { instance_type: b.instance_type, zone: zone.into(), spot: b.spot, count: 1 }),
        }
    }
    let spare = bins.iter().filter(|b| !b.used).filter_map(|b| b.host).collect();
    bins.truncate(have);
    // Warm room is worth more than its price while work waits now and then:
    // machines are emptied after a lull in which they could have been had twice.
    let boot_s = cluster.instance_types.iter().map(|f| f.boot_s).fold(0.0, f64::max);
    let lull = now.saturating_sub(cluster.last_pending_ms) as f64 > 2.0 * boot_s * 1000.0;
    let drain = if work.pending_jobs.is_empty() && lull { consolidate(cluster, &index, &bins) } else { Vec::new() };
    Plan { rent, spare, drain }
}

/// The free room of the machines that are in use.
fn existing_room(cluster: &ClusterState, index: &Index) -> Vec<Bin> {
    let held: HashSet<HostIndex> = cluster.warm_reservations.iter().map(|room| room.host).collect();
    let in_use = cluster.each_host().filter(|(host_index, _)| index.hosts[*host_index].usable);
    in_use
        .map(|(host_index, h)| {
            let slot = &index.hosts[host_index];
            let used = !h.attempts.is_empty() || !h.reservations.is_empty() || held.contains(&host_index);
            Bin {
                free: slot.free,
                instance_type: slot.instance_type,
                zone: slot.zone,
                spot: slot.spot,
                host: Some(host_index),
                used,
            }
        })
        .collect()
}

/// The room of machines that were asked for, or are up and not in use yet.
fn room_on_its_way(cluster: &ClusterState, index: &Index, pending_machines: &[PendingMachine]) -> Vec<Bin> {
    let joining = cluster.each_host().filter(|(_, h)| joining(h));
    let joining = joining.filter_map(|(_, h)| Some((h.instance_type?, h.zone.as_str(), h.spot)));
    let pending = pending_machines.iter().map(|m| (m.instance_type, m.zone.as_str(), m.spot));
    pending
        .chain(joining)
        .filter_map(|(instance_type, zone, spot)| {
            let free = cluster.instance_types[instance_type].cap;
            Some(Bin { free, instance_type, zone: index.zone(zone)?, spot, host: None, used: true })
        })
        .collect()
}
