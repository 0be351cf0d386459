//! Selection of machines to drain, because their work costs less on other machines.

use super::Bin;
use crate::model::{ClusterState, Demand, Host, HostIndex, InstanceType, Shape, Spec, TaskAttempt, TaskKey};
use crate::scheduling::index::CapacityIndex;
use std::collections::HashMap;

/// A machine is drained only if its work would cost less than this share of its price on other machines.
const DRAIN_COST_SHARE: f64 = 0.75;

/// Number of machines for each one that is drained at a time. A replica is down briefly while it migrates.
const HOSTS_PER_DRAIN: usize = 64;

/// Lower bound on the price of a machine, which keeps its cost share finite.
const MIN_PRICE: f64 = 1e-6;

/// A machine to be drained: its replicas migrate, its batch tasks run to their end.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// Machine to be drained.
    pub host: HostIndex,
    /// Migrations of the replicas on the machine.
    pub migrations: Vec<Migration>,
}

/// A replica that migrates to another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// Task that migrates.
    pub key: TaskKey,
    /// Number of the attempt on the machine that is drained.
    pub attempt: u64,
    /// Target machine.
    pub to: HostIndex,
}

/// Utilization of a machine.
#[derive(Debug, Clone, Copy)]
struct Utilization {
    host: HostIndex,
    /// Cost of the work on machines that are full of such tasks, divided by the price of the machine.
    cost_share: f64,
}

/// Capacity of a bin that a planned migration takes.
struct PlannedCapacity {
    /// Position of the bin.
    bin: usize,
    demand: Demand,
}

/// Returns drains of the least used machines whose replicas all fit on better used machines that have their
/// images ready. `bins` holds the capacity that is left after all pending and expected work.
pub(super) fn consolidate(cluster: &ClusterState, index: &CapacityIndex, bins: &[Bin]) -> Vec<Drain> {
    let under_way = cluster.each_host().filter(|(_, host)| host.draining && !host.attempts.is_empty()).count();
    let max_drains = cluster.host_index.len().div_ceil(HOSTS_PER_DRAIN).saturating_sub(under_way);
    if max_drains == 0 {
        return Vec::new();
    }
    let utilizations = utilizations(cluster, bins);
    let cost_shares: HashMap<HostIndex, f64> =
        utilizations.iter().map(|entry| (entry.host, entry.cost_share)).collect();
    let mut drains = Vec::new();
    let mut planner = DrainPlanner { cluster, index, bins, planned: Vec::new() };
    let underused = |entry: &&Utilization| entry.cost_share > 0.0 && entry.cost_share < DRAIN_COST_SHARE;
    for Utilization { host, cost_share } in utilizations.iter().filter(underused) {
        let is_better_used = |to: HostIndex| cost_shares.get(&to).is_some_and(|other| other > cost_share);
        drains.extend(planner.plan(*host, &is_better_used));
        if drains.len() == max_drains {
            break;
        }
    }
    drains
}

/// Returns the utilization of each machine, the lowest first.
fn utilizations(cluster: &ClusterState, bins: &[Bin]) -> Vec<Utilization> {
    let mut min_costs: HashMap<&str, f64> = HashMap::new();
    let mut utilizations = Vec::new();
    for bin in bins {
        let Some((host_index, host)) = bin.host.and_then(|index| Some((index, cluster.host(index)?))) else {
            continue;
        };
        let min_cost_of = |attempt: &TaskAttempt| {
            let spec = &cluster.jobs[attempt.key.job].spec;
            *min_costs.entry(&spec.class).or_insert_with(|| min_cost(cluster, spec))
        };
        let total_cost: f64 = host.attempts.iter().map(min_cost_of).sum();
        let price = cluster.instance_types[bin.instance_type].price(host.spot).max(MIN_PRICE);
        utilizations.push(Utilization { host: host_index, cost_share: total_cost / price });
    }
    utilizations.sort_by(|left, right| left.cost_share.total_cmp(&right.cost_share));
    utilizations
}

/// Plans several drains that do not use the same capacity.
struct DrainPlanner<'a> {
    cluster: &'a ClusterState,
    index: &'a CapacityIndex,
    bins: &'a [Bin],
    /// Capacity taken by the migrations planned so far.
    planned: Vec<PlannedCapacity>,
}

impl DrainPlanner<'_> {
    /// Plans the drain of a machine, with its replicas on machines for which `is_better_used` is true; `None`
    /// if it cannot be drained.
    fn plan(&mut self, host_index: HostIndex, is_better_used: &dyn Fn(HostIndex) -> bool) -> Option<Drain> {
        let host = self.cluster.host(host_index)?;
        if self.expects_work(host_index, host) {
            return None;
        }
        let planned_before = self.planned.len();
        let mut migrations = Vec::new();
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended()) {
            let spec = &self.cluster.jobs[attempt.key.job].spec;
            let may_migrate = spec.shape == Shape::Service && attempt.stop.is_none() && attempt.running();
            if attempt.stop.is_none() && attempt.running() && spec.shape == Shape::Batch {
                // Batch tasks run to their end.
                continue;
            }
            let target = may_migrate.then(|| self.target(host_index, attempt, is_better_used)).flatten();
            let Some((bin, to)) = target else {
                self.planned.truncate(planned_before);
                return None;
            };
            self.planned.push(PlannedCapacity { bin, demand: spec.demand });
            migrations.push(Migration { key: attempt.key, attempt: attempt.attempt, to });
        }
        Some(Drain { host: host_index, migrations })
    }

    /// Returns whether work is expected to start on the machine. Such a machine is not drained, as that work
    /// would have to migrate again.
    fn expects_work(&self, host_index: HostIndex, host: &Host) -> bool {
        let has_warm_reservations =
            self.cluster.warm_reservations.iter().any(|reservation| reservation.host == host_index);
        let planned_here = |planned: &PlannedCapacity| self.bins[planned.bin].host == Some(host_index);
        !host.reservations.is_empty() || has_warm_reservations || self.planned.iter().any(planned_here)
    }

    /// Returns the first machine that a replica can migrate to, as the position of its bin and its index; `None`
    /// if there is none.
    fn target(
        &self,
        from: HostIndex,
        attempt: &TaskAttempt,
        is_better_used: &dyn Fn(HostIndex) -> bool,
    ) -> Option<(usize, HostIndex)> {
        let spec = &self.cluster.jobs[attempt.key.job].spec;
        let requirements = self.index.requirements(self.cluster, spec);
        let mut counts = self.index.tasks_by_zone(attempt.key.job);
        counts.sub(self.index.hosts[from].zone);
        self.bins.iter().enumerate().find_map(|(position, bin)| {
            let to = bin.host?;
            let host = self.cluster.host(to)?;
            let is_suitable = spec.demand.fits(&bin.free)
                && requirements.allows(bin.instance_type, bin.zone, bin.spot, &counts)
                && host.reservations.is_empty()
                && is_better_used(to)
                && host.images.iter().any(|image| image.ready && image.name == spec.image)
                && spec.demand.fits(&self.unplanned_capacity(position));
            is_suitable.then_some((position, to))
        })
    }

    /// Returns the free capacity of a bin without the capacity taken by planned migrations.
    fn unplanned_capacity(&self, bin: usize) -> Demand {
        let mut free = self.bins[bin].free;
        self.planned.iter().filter(|planned| planned.bin == bin).for_each(|planned| free.sub(&planned.demand));
        free
    }
}

/// Returns the lowest cost of a task on a machine that is filled with such tasks.
fn min_cost(cluster: &ClusterState, spec: &Spec) -> f64 {
    let per_task =
        |instance_type: &InstanceType| instance_type.price / instance_type.cap.tasks_that_fit(&spec.demand).max(1.0);
    let allowed = cluster.instance_types.iter().filter(|kind| spec.allows_instance_type(kind));
    allowed.map(per_task).fold(f64::INFINITY, f64::min)
}
