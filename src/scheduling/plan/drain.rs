//! Machines that are worth emptying, as their work costs less elsewhere.

use super::Bin;
use crate::model::{ClusterState, Demand, HostIndex, InstanceType, Shape, Spec, TaskKey};
use crate::scheduling::index::Index;
use std::collections::HashMap;

/// A machine to be emptied: its replicas move, the rest runs out.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// The machine.
    pub host: HostIndex,
    /// Replicas that move: the task, its attempt on this machine, and the machine it goes to.
    pub moves: Vec<(TaskKey, u64, HostIndex)>,
}

/// A machine is worth emptying while its work would cost less than this share
/// of its price elsewhere.
const DRAIN_COST_SHARE: f64 = 0.75;

/// Machines are emptied one in so many at a time: what moves is down for a moment.
const HOSTS_PER_DRAIN: usize = 64;

/// The most wasteful machines whose replicas all fit, with their images ready,
/// on machines that are used better. `bins` holds what is free beyond all that
/// is waiting or expected.
pub(super) fn consolidate(cluster: &ClusterState, index: &Index, bins: &[Bin]) -> Vec<Drain> {
    let under_way = cluster.each_host().filter(|(_, h)| h.draining && !h.attempts.is_empty()).count();
    let most = cluster.host_index.len().div_ceil(HOSTS_PER_DRAIN).saturating_sub(under_way);
    if most == 0 {
        return Vec::new();
    }
    let mut costs: HashMap<&str, f64> = HashMap::new();
    let mut worth: Vec<(f64, HostIndex)> = Vec::new();
    for b in bins {
        let Some((host_index, h)) = b.host.and_then(|i| Some((i, cluster.host(i)?))) else { continue };
        let value: f64 = h
            .attempts
            .iter()
            .map(|c| {
                let spec = &cluster.jobs[c.key.job].spec;
                *costs.entry(&spec.class).or_insert_with(|| least_cost(cluster, spec))
            })
            .sum();
        worth.push((value / cluster.instance_types[b.instance_type].price(h.spot).max(1e-6), host_index));
    }
    worth.sort_by(|a, b| a.0.total_cmp(&b.0));
    let rank: HashMap<HostIndex, f64> = worth.iter().map(|w| (w.1, w.0)).collect();
    let mut drains = Vec::new();
    let mut taken = Vec::new();
    for (w, host_index) in worth.iter().filter(|w| w.0 > 0.0 && w.0 < DRAIN_COST_SHARE) {
        let better = |to: HostIndex| rank.get(&to).is_some_and(|r| r > w);
        drains.extend(drain_of(cluster, index, bins, *host_index, &better, &mut taken));
        if drains.len() == most {
            break;
        }
    }
    drains
}

/// How a machine could be emptied; `taken` is room that is promised already.
fn drain_of(
    cluster: &ClusterState,
    index: &Index,
    bins: &[Bin],
    host: HostIndex,
    better: &dyn Fn(HostIndex) -> bool,
    taken: &mut Vec<(usize, Demand)>,
) -> Option<Drain> {
    let h = cluster.host(host)?;
    // One that takes others in stays, or they would have to move again.
    let reserves_for_teams = cluster.warm_reservations.iter().any(|room| room.host == host);
    if !h.reservations.is_empty() || reserves_for_teams || taken.iter().any(|t| bins[t.0].host == Some(host)) {
        return None;
    }
    let promised = taken.len();
    let mut moves = Vec::new();
    for c in h.attempts.iter().filter(|c| !c.ended()) {
        let spec = &cluster.jobs[c.key.job].spec;
        let to = match spec.shape {
            _ if c.stop.is_some() || !c.running() => None,
            Shape::Gang => None,
            Shape::Batch => continue,
            Shape::Service => {
                let requirements = index.requirements(cluster, spec);
                let mut counts = index.counts(c.key.job);
                counts.sub(index.hosts[host].zone);
                bins.iter().enumerate().find(|(i, b)| {
                    let Some(o) = b.host.and_then(|o| cluster.host(o)) else { return false };
                    let mut room = b.free;
                    spec.demand.fits(&room)
                        && requirements.allows(b.instance_type, b.zone, b.spot, &counts)
                        && o.reservations.is_empty()
                        && b.host.is_some_and(better)
                        && o.images.iter().any(|im| im.ready && im.name == spec.image)
                        && {
                            taken.iter().filter(|t| t.0 == *i).for_each(|t| room.sub(&t.1));
                            spec.demand.fits(&room)
                        }
                })
            }
        };
        match to.and_then(|(i, b)| Some((i, b.host?))) {
            Some((i, to)) => {
                taken.push((i, spec.demand));
                moves.push((c.key, c.attempt, to));
            }
            None => {
                taken.truncate(promised);
                return None;
            }
        }
    }
    Some(Drain { host, moves })
}

/// Least cost of a task on machines that are full of its like.
fn least_cost(cluster: &ClusterState, spec: &Spec) -> f64 {
    let per_task = |f: &InstanceType| f.price / f.cap.slots(&spec.demand).max(1.0);
    cluster.instance_types.iter().filter(|f| spec.allows_instance_type(f)).map(per_task).fold(f64::INFINITY, f64::min)
}
