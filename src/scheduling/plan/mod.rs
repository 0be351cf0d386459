//! The capacity plan: which machines to request, which are not needed and which to drain.

mod bin_packing;
mod drain;
mod headroom;

pub use bin_packing::strands_accelerators;
pub use drain::{Drain, Migration};
pub use headroom::reserves;

use super::index::Index;
use super::{Policy, joining};
use crate::model::{ClusterState, HostIndex, InstanceOffering, JobIndex, Spec};
use bin_packing::{Bin, BinPacker};
use drain::consolidate;
use headroom::headroom_tasks;
use std::collections::HashSet;

/// Whether machines of an offering can be had now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// The cloud has refused it.
    Refused,
    /// At its price times this factor, which is above 1 for offerings that come up late or never.
    Available {
        /// What to multiply the price by, at least 1.
        cost_factor: f64,
    },
}

/// The availability of an offering.
pub type AvailabilityOf<'a> = dyn Fn(&InstanceOffering) -> Availability + 'a;

/// A request for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOut {
    /// What is requested.
    pub offering: InstanceOffering,
    /// Number of machines.
    pub count: usize,
}

/// Arrivals of a class, as seen so far.
#[derive(Debug, Clone)]
pub struct ClassFlow {
    /// A recent job of the class, with nothing placed.
    pub spec: Spec,
    /// Tasks that arrive in a second.
    pub rate: f64,
    /// Mean of the squared job sizes over the mean size: how many tasks come at once.
    pub burst: f64,
}

/// Work that capacity is needed for.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedWork<'a> {
    /// Jobs with tasks for which no capacity was found.
    pub pending_jobs: &'a [JobIndex],
    /// Replicas of warm pools that lack a machine, and how many of each kind.
    pub pool_replicas: &'a [(Spec, usize)],
    /// Jobs that wait for others and may start before a machine that is requested now is up.
    pub upcoming: &'a [JobIndex],
    /// Arrivals of each class.
    pub flows: &'a [ClassFlow],
}

/// What is to be done about machines.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CapacityPlan {
    /// Machines to request.
    pub scale_out: Vec<ScaleOut>,
    /// Idle machines that nothing pending or expected needs.
    pub unneeded: Vec<HostIndex>,
    /// Machines whose work fits elsewhere, so that they can be returned.
    pub drains: Vec<Drain>,
}

/// Plans capacity: the pending tasks, then those of jobs that may start before a machine is up, then the
/// arrivals expected during a boot, then the replicas of warm pools are packed into free capacity,
/// pending machines, and new ones. `pending_machines` has one entry for each machine that was requested
/// and is not up; `now` is steady time in milliseconds.
pub fn plan_capacity(
    cluster: &ClusterState,
    policy: &Policy,
    now: u64,
    work: &ExpectedWork,
    pending_machines: &[InstanceOffering],
    availability: &AvailabilityOf,
) -> CapacityPlan {
    let index = Index::new(cluster, now);
    let mut bins = existing_machines(cluster, &index);
    bins.extend(coming_machines(cluster, &index, pending_machines));
    let mut packer = BinPacker::new(cluster, &index, availability, bins);
    pack_expected_work(&mut packer, cluster, policy, now, work);
    let (existing, new) = packer.into_bins();
    let unneeded = existing.iter().filter(|bin| !bin.used).filter_map(|bin| bin.host).collect();
    let drains = if work.pending_jobs.is_empty() && is_lull(cluster, now) {
        consolidate(cluster, &index, &existing)
    } else {
        Vec::new()
    };
    CapacityPlan { scale_out: by_offering(&index, &new), unneeded, drains }
}

/// Packs all work that capacity is needed for, the most certain first.
fn pack_expected_work(packer: &mut BinPacker, cluster: &ClusterState, policy: &Policy, now: u64, work: &ExpectedWork) {
    for job_index in work.pending_jobs.iter().chain(work.upcoming) {
        let job = &cluster.jobs[*job_index];
        let placeable = cluster.placeable_tasks(job);
        let tasks = job.tasks.iter().filter(|task| placeable.includes(task)).count();
        packer.pack(&job.spec, tasks, job.avoided_hosts(cluster, now));
    }
    for flow in work.flows {
        packer.pack(&flow.spec, headroom_tasks(cluster, policy, flow), &HashSet::new());
    }
    for (spec, replicas) in work.pool_replicas {
        packer.pack(spec, *replicas, &HashSet::new());
    }
}

/// The requests for these new machines, one an offering.
fn by_offering(index: &Index, new: &[Bin]) -> Vec<ScaleOut> {
    let mut requests: Vec<ScaleOut> = Vec::new();
    for bin in new {
        let zone = index.zone_name(bin.zone).to_string();
        let offering = InstanceOffering { instance_type: bin.instance_type, zone, spot: bin.spot };
        match requests.iter_mut().find(|request| request.offering == offering) {
            Some(request) => request.count += 1,
            None => requests.push(ScaleOut { offering, count: 1 }),
        }
    }
    requests
}

/// Has no job been pending for two boot times? A machine that is up is of more use than its price while
/// jobs are pending now and then: machines are drained only after that.
fn is_lull(cluster: &ClusterState, now: u64) -> bool {
    let boot_s = cluster.instance_types.iter().map(|instance_type| instance_type.boot_s).fold(0.0, f64::max);
    now.saturating_sub(cluster.last_pending_ms) as f64 > 2.0 * boot_s * 1000.0
}

/// The machines that tasks may be placed on.
fn existing_machines(cluster: &ClusterState, index: &Index) -> Vec<Bin> {
    let with_warm_reservations: HashSet<HostIndex> =
        cluster.warm_reservations.iter().map(|reservation| reservation.host).collect();
    let usable = cluster.each_host().filter(|(host_index, _)| index.hosts[*host_index].usable);
    usable
        .map(|(host_index, host)| {
            let host_info = &index.hosts[host_index];
            let used = !host.attempts.is_empty()
                || !host.reservations.is_empty()
                || with_warm_reservations.contains(&host_index);
            Bin {
                free: host_info.free,
                instance_type: host_info.instance_type,
                zone: host_info.zone,
                spot: host_info.spot,
                host: Some(host_index),
                used,
            }
        })
        .collect()
}

/// The machines that were requested, or are up and may not be used yet.
fn coming_machines(cluster: &ClusterState, index: &Index, pending_machines: &[InstanceOffering]) -> Vec<Bin> {
    let joining = cluster.each_host().filter(|(_, host)| joining(host));
    let joining = joining.filter_map(|(_, host)| Some((host.instance_type?, host.zone.as_str(), host.spot)));
    let pending = pending_machines.iter().map(|machine| (machine.instance_type, machine.zone.as_str(), machine.spot));
    pending
        .chain(joining)
        .filter_map(|(instance_type, zone, spot)| {
            let free = cluster.instance_types[instance_type].cap;
            Some(Bin { free, instance_type, zone: index.zone(zone)?, spot, host: None, used: true })
        })
        .collect()
}
