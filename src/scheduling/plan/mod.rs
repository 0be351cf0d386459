//! The capacity plan: the machines to request, the idle machines that are not needed and the machines to
//! drain.

mod bin_packing;
mod drain;
mod headroom;

pub use bin_packing::{MAX_NEW_MACHINES, strands_accelerators};
pub use drain::{Drain, Migration};
pub use headroom::expected_demands;

use super::index::CapacityIndex;
use super::{Policy, is_joining};
use crate::model::{ClusterState, HostIndex, InstanceOffering, JobIndex, Spec};
use bin_packing::{Bin, BinPacker};
use drain::consolidate;
use headroom::headroom_tasks;
use std::collections::HashSet;

/// Availability of machines of an offering.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// The cloud has refused the offering.
    Refused,
    /// The offering is available. Its cost factor is above 1 if its machines come up late or never.
    Available {
        /// Factor on the price for comparisons, at least 1.
        cost_factor: f64,
    },
}

/// Function that returns the availability of an offering.
pub type AvailabilityFn<'a> = dyn Fn(&InstanceOffering) -> Availability + 'a;

/// A request for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct ScaleOut {
    /// Offering that is requested.
    pub offering: InstanceOffering,
    /// Number of machines.
    pub count: usize,
}

/// Observed arrivals of a class.
#[derive(Debug, Clone)]
pub struct ClassArrivals {
    /// Description of a recent job of the class, used for the arrivals to come.
    pub spec: Spec,
    /// Number of tasks that arrive per second.
    pub rate: f64,
    /// Mean burst size: the mean of the squared job sizes divided by the mean job size, in tasks.
    pub mean_burst: f64,
}

/// Pending and expected work that needs capacity.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedWork<'a> {
    /// Jobs with tasks for which no capacity was found.
    pub pending_jobs: &'a [JobIndex],
    /// Replicas of warm pools without a machine, as a description and the number of such replicas.
    pub pool_replicas: &'a [(Spec, usize)],
    /// Jobs that wait for other jobs and may start before a machine requested now is up.
    pub upcoming_jobs: &'a [JobIndex],
    /// Arrivals of each class.
    pub arrivals: &'a [ClassArrivals],
}

/// Machines to request, to release and to drain.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct CapacityPlan {
    /// Machines to request.
    pub scale_out: Vec<ScaleOut>,
    /// Idle machines that no pending or expected work needs.
    pub unneeded: Vec<HostIndex>,
    /// Machines whose work fits on other machines, so that they can be released.
    pub drains: Vec<Drain>,
}

/// Returns the capacity plan. Work is packed into free capacity, pending machines and new machines in this
/// order: pending tasks, tasks of jobs that may start before a machine is up, arrivals expected during a
/// boot, replicas of warm pools.
///
/// `pending_machines` has one entry for each machine that was requested and is not up; `now` is in
/// milliseconds of the steady clock.
pub fn plan_capacity(
    cluster: &ClusterState,
    policy: &Policy,
    now: u64,
    work: &ExpectedWork,
    pending_machines: &[InstanceOffering],
    availability: &AvailabilityFn,
) -> CapacityPlan {
    let index = CapacityIndex::new(cluster, now);
    let mut bins = existing_bins(cluster, &index);
    bins.extend(pending_bins(cluster, &index, pending_machines));
    let mut packer = BinPacker::new(cluster, &index, availability, bins);
    pack_expected_work(&mut packer, cluster, policy, now, work);
    let (existing, new) = packer.into_bins();
    let unneeded = existing.iter().filter(|bin| !bin.used).filter_map(|bin| bin.host).collect();
    let drains = if work.pending_jobs.is_empty() && no_recent_pending_job(cluster, now) {
        consolidate(cluster, &index, &existing)
    } else {
        Vec::new()
    };
    CapacityPlan { scale_out: requests_by_offering(&index, &new), unneeded, drains }
}

/// Packs all work that needs capacity, the most certain first.
fn pack_expected_work(packer: &mut BinPacker, cluster: &ClusterState, policy: &Policy, now: u64, work: &ExpectedWork) {
    for job_index in work.pending_jobs.iter().chain(work.upcoming_jobs) {
        let job = &cluster.jobs[*job_index];
        let placeable = cluster.placeable_tasks(job);
        let tasks = job.tasks.count(|task| placeable.includes(task));
        packer.pack(&job.spec, tasks as usize, job.avoided_hosts(cluster, now));
    }
    for class_arrivals in work.arrivals {
        packer.pack(&class_arrivals.spec, headroom_tasks(cluster, policy, class_arrivals), &HashSet::new());
    }
    for (spec, replicas) in work.pool_replicas {
        packer.pack(spec, *replicas, &HashSet::new());
    }
}

/// Returns the requests for new machines, one per offering.
fn requests_by_offering(index: &CapacityIndex, new: &[Bin]) -> Vec<ScaleOut> {
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

/// Returns whether no job has been pending for two boot times. Machines are drained only then: while jobs
/// are pending now and then, a running machine is worth more than its price.
fn no_recent_pending_job(cluster: &ClusterState, now: u64) -> bool {
    let boot_s = cluster.instance_types.iter().map(|instance_type| instance_type.boot_s).fold(0.0, f64::max);
    now.saturating_sub(cluster.last_pending_ms) as f64 > 2.0 * boot_s * 1000.0
}

/// Returns a bin for each machine that tasks may be placed on.
fn existing_bins(cluster: &ClusterState, index: &CapacityIndex) -> Vec<Bin> {
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

/// Returns a bin for each machine that was requested, or that is up and not yet usable.
fn pending_bins(cluster: &ClusterState, index: &CapacityIndex, pending_machines: &[InstanceOffering]) -> Vec<Bin> {
    let joining = cluster.each_host().filter(|(_, host)| is_joining(host));
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
