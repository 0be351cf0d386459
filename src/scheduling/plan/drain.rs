//! Machines to drain, as their work costs less elsewhere.

use super::Bin;
use crate::model::{ClusterState, Demand, Host, HostIndex, InstanceType, Shape, Spec, TaskAttempt, TaskKey};
use crate::scheduling::index::Index;
use std::collections::HashMap;

/// A machine is drained only while its work would cost less than this share of its price elsewhere.
const DRAIN_COST_SHARE: f64 = 0.75;

/// One in so many machines is drained at a time: what migrates is down for a moment.
const HOSTS_PER_DRAIN: usize = 64;

/// The least price that a machine counts with.
const LEAST_PRICE: f64 = 1e-6;

/// A machine to be drained: its replicas migrate, the rest runs out.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// The machine.
    pub host: HostIndex,
    /// Its replicas.
    pub migrations: Vec<Migration>,
}

/// A replica that migrates to another machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Migration {
    /// The task.
    pub key: TaskKey,
    /// Number of its attempt on the machine that is drained.
    pub attempt: u64,
    /// The machine that it goes to.
    pub to: HostIndex,
}

/// How well a machine is used.
#[derive(Debug, Clone, Copy)]
struct Utilization {
    host: HostIndex,
    /// What its work would cost on machines full of its like, over the price of the machine.
    cost_share: f64,
}

/// Capacity of a bin that is planned for a migration.
struct PlannedCapacity {
    /// Position of the bin.
    bin: usize,
    demand: Demand,
}

/// The least used machines whose replicas all fit, with their images ready, on machines that are used
/// better. `bins` holds what is free beyond all that is pending or expected.
pub(super) fn consolidate(cluster: &ClusterState, index: &Index, bins: &[Bin]) -> Vec<Drain> {
    let under_way = cluster.each_host().filter(|(_, host)| host.draining && !host.attempts.is_empty()).count();
    let most = cluster.host_index.len().div_ceil(HOSTS_PER_DRAIN).saturating_sub(under_way);
    if most == 0 {
        return Vec::new();
    }
    let utilizations = utilizations(cluster, bins);
    let cost_shares: HashMap<HostIndex, f64> = utilizations.iter().map(|one| (one.host, one.cost_share)).collect();
    let mut drains = Vec::new();
    let mut planner = DrainPlanner { cluster, index, bins, planned: Vec::new() };
    let wasteful = |one: &&Utilization| one.cost_share > 0.0 && one.cost_share < DRAIN_COST_SHARE;
    for Utilization { host, cost_share } in utilizations.iter().filter(wasteful) {
        let better_used = |to: HostIndex| cost_shares.get(&to).is_some_and(|other| other > cost_share);
        drains.extend(planner.plan(*host, &better_used));
        if drains.len() == most {
            break;
        }
    }
    drains
}

/// How well each machine is used, the worst first.
fn utilizations(cluster: &ClusterState, bins: &[Bin]) -> Vec<Utilization> {
    let mut least_costs: HashMap<&str, f64> = HashMap::new();
    let mut utilizations = Vec::new();
    for bin in bins {
        let Some((host_index, host)) = bin.host.and_then(|index| Some((index, cluster.host(index)?))) else {
            continue;
        };
        let least_cost_of = |attempt: &TaskAttempt| {
            let spec = &cluster.jobs[attempt.key.job].spec;
            *least_costs.entry(&spec.class).or_insert_with(|| least_cost(cluster, spec))
        };
        let least_cost: f64 = host.attempts.iter().map(least_cost_of).sum();
        let price = cluster.instance_types[bin.instance_type].price(host.spot).max(LEAST_PRICE);
        utilizations.push(Utilization { host: host_index, cost_share: least_cost / price });
    }
    utilizations.sort_by(|a, b| a.cost_share.total_cmp(&b.cost_share));
    utilizations
}

/// Plans drains beside each other.
struct DrainPlanner<'a> {
    cluster: &'a ClusterState,
    index: &'a Index,
    bins: &'a [Bin],
    /// Capacity that is planned for the migrations so far.
    planned: Vec<PlannedCapacity>,
}

impl DrainPlanner<'_> {
    /// How a machine could be drained, with its replicas on machines that are `better_used`; `None` if
    /// it can't be.
    fn plan(&mut self, host_index: HostIndex, better_used: &dyn Fn(HostIndex) -> bool) -> Option<Drain> {
        let host = self.cluster.host(host_index)?;
        if self.takes_others_in(host_index, host) {
            return None;
        }
        let planned_before = self.planned.len();
        let mut migrations = Vec::new();
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended()) {
            let spec = &self.cluster.jobs[attempt.key.job].spec;
            let may_migrate = spec.shape == Shape::Service && attempt.stop.is_none() && attempt.running();
            if attempt.stop.is_none() && attempt.running() && spec.shape == Shape::Batch {
                // It runs out.
                continue;
            }
            let target = may_migrate.then(|| self.target(host_index, attempt, better_used)).flatten();
            let Some((bin, to)) = target else {
                self.planned.truncate(planned_before);
                return None;
            };
            self.planned.push(PlannedCapacity { bin, demand: spec.demand });
            migrations.push(Migration { key: attempt.key, attempt: attempt.attempt, to });
        }
        Some(Drain { host: host_index, migrations })
    }

    /// Is work expected to start on the machine? Then it stays, or that would have to migrate again.
    fn takes_others_in(&self, host_index: HostIndex, host: &Host) -> bool {
        let has_warm_reservations = self.cluster.warm_reservations.iter().any(|one| one.host == host_index);
        let planned_here = |planned: &PlannedCapacity| self.bins[planned.bin].host == Some(host_index);
        !host.reservations.is_empty() || has_warm_reservations || self.planned.iter().any(planned_here)
    }

    /// The first machine that a replica can migrate to: position of its bin, and the machine.
    fn target(
        &self,
        from: HostIndex,
        attempt: &TaskAttempt,
        better_used: &dyn Fn(HostIndex) -> bool,
    ) -> Option<(usize, HostIndex)> {
        let spec = &self.cluster.jobs[attempt.key.job].spec;
        let requirements = self.index.requirements(self.cluster, spec);
        let mut counts = self.index.counts(attempt.key.job);
        counts.sub(self.index.hosts[from].zone);
        self.bins.iter().enumerate().find_map(|(position, bin)| {
            let to = bin.host?;
            let host = self.cluster.host(to)?;
            let suits = spec.demand.fits(&bin.free)
                && requirements.allows(bin.instance_type, bin.zone, bin.spot, &counts)
                && host.reservations.is_empty()
                && better_used(to)
                && host.images.iter().any(|image| image.ready && image.name == spec.image)
                && spec.demand.fits(&self.left_in(position));
            suits.then_some((position, to))
        })
    }

    /// What is free in a bin beside what is planned there.
    fn left_in(&self, bin: usize) -> Demand {
        let mut free = self.bins[bin].free;
        self.planned.iter().filter(|planned| planned.bin == bin).for_each(|planned| free.sub(&planned.demand));
        free
    }
}

/// Least cost of a task on machines that are full of its like.
fn least_cost(cluster: &ClusterState, spec: &Spec) -> f64 {
    let per_task =
        |instance_type: &InstanceType| instance_type.price / instance_type.cap.tasks_that_fit(&spec.demand).max(1.0);
    let allowed = cluster.instance_types.iter().filter(|one| spec.allows_instance_type(one));
    allowed.map(per_task).fold(f64::INFINITY, f64::min)
}
