//! What to rent, what to return and which machine to empty.

use super::index::{Index, ZoneCounts};
use super::{Policy, joining};
use crate::model::*;
use std::collections::{HashMap, HashSet};

/// Machines that were asked for and are not up yet.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingMachine {
    /// Index of its type.
    pub flavor: usize,
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
    pub flavor: usize,
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
    pub unplaced: &'a [JobIndex],
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

/// A machine to be emptied: its replicas move, the rest runs out.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// The machine.
    pub host: HostIndex,
    /// Replicas that move: the task, its attempt on this machine, and the machine it goes to.
    pub moves: Vec<(TaskKey, u64, HostIndex)>,
}

struct Bin {
    free: Demand,
    flavor: usize,
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
    for job_index in work.unplaced.iter().chain(work.upcoming) {
        let job = &cluster.jobs[*job_index];
        let placeable = cluster.placeable(job);
        let n = job.tasks.iter().filter(|t| placeable.open(t)).count();
        fit(cluster, &index, &mut bins, &job.spec, n, job.avoided_hosts(cluster, now), supply);
    }
    for flow in work.flows {
        let n = headroom(cluster, policy, flow);
        fit(cluster, &index, &mut bins, &flow.spec, n, &HashSet::new(), supply);
    }
    let mut rent: Vec<Rental> = Vec::new();
    for b in &bins[have..] {
        let zone = index.zone_name(b.zone);
        match rent.iter_mut().find(|r| r.flavor == b.flavor && r.zone == zone && r.spot == b.spot) {
            Some(r) => r.count += 1,
            None => rent.push(Rental { flavor: b.flavor, zone: zone.into(), spot: b.spot, count: 1 }),
        }
    }
    let spare = bins.iter().filter(|b| !b.used).filter_map(|b| b.host).collect();
    bins.truncate(have);
    // Warm room is worth more than its price while work waits now and then:
    // machines are emptied after a lull in which they could have been had twice.
    let boot_s = cluster.flavors.iter().map(|f| f.boot_s).fold(0.0, f64::max);
    let lull = now.saturating_sub(cluster.waited_ms) as f64 > 2.0 * boot_s * 1000.0;
    let drain = if work.unplaced.is_empty() && lull { consolidate(cluster, &index, &bins) } else { Vec::new() };
    Plan { rent, spare, drain }
}

/// The free room of the machines that are in use.
fn existing_room(cluster: &ClusterState, index: &Index) -> Vec<Bin> {
    let in_use = cluster.each_host().filter(|(host_index, _)| index.slots[*host_index].usable);
    in_use
        .map(|(host_index, h)| {
            let slot = &index.slots[host_index];
            let used = !h.attempts.is_empty() || !h.claims.is_empty();
            Bin { free: slot.free, flavor: slot.flavor, zone: slot.zone, spot: slot.spot, host: Some(host_index), used }
        })
        .collect()
}

/// The room of machines that were asked for, or are up and not in use yet.
fn room_on_its_way(cluster: &ClusterState, index: &Index, pending_machines: &[PendingMachine]) -> Vec<Bin> {
    let joining = cluster.each_host().filter(|(_, h)| joining(h));
    let joining = joining.filter_map(|(_, h)| Some((h.flavor?, h.zone.as_str(), h.spot)));
    let pending = pending_machines.iter().map(|m| (m.flavor, m.zone.as_str(), m.spot));
    pending
        .chain(joining)
        .filter_map(|(flavor, zone, spot)| {
            let free = cluster.flavors[flavor].cap;
            Some(Bin { free, flavor, zone: index.zone(zone)?, spot, host: None, used: true })
        })
        .collect()
}

/// Fits `n` tasks like `spec` into the bins; opens new ones where needed.
fn fit(
    cluster: &ClusterState,
    index: &Index,
    bins: &mut Vec<Bin>,
    spec: &Spec,
    n: usize,
    avoided_hosts: &HashSet<HostIndex>,
    supply: &SupplyOf,
) {
    let requirements = index.requirements(cluster, spec);
    let mut counts = ZoneCounts::default();
    // Work that may run on cheap machines leaves the others alone while it would be
    // given cheap ones.
    let only_spot = spec.spot && cheapest(cluster, index, spec, &counts, supply).is_some_and(|b| b.spot);
    // Machines in use first, so that idle ones are not called needed.
    let mut order: Vec<usize> = (0..bins.len()).filter(|i| bins[*i].used).collect();
    order.extend((0..bins.len()).filter(|i| !bins[*i].used));
    // Work without accelerators first takes what the work with them leaves
    // over; then machines of its own; last, what can be had.
    let mut without_accelerators = spec.demand.gpus <= 0.0;
    let mut at = 0;
    for _ in 0..n {
        loop {
            // What one task of them does not fit into, none does.
            while order.get(at).is_some_and(|i| {
                let b = &bins[*i];
                let allowed = requirements.allows(b.flavor, b.zone, b.spot, &counts)
                    && (b.spot || !only_spot)
                    && !b.host.is_some_and(|h| avoided_hosts.contains(&h));
                !allowed
                    || !spec.demand.fits(&b.free)
                    || (without_accelerators && strands_accelerators(cluster, spec, b.flavor, &b.free))
            }) {
                at += 1;
            }
            if at < order.len() {
                break;
            }
            if let Some(b) = cheapest(cluster, index, spec, &counts, supply) {
                bins.push(b);
                order.push(bins.len() - 1);
                // It is for this work, whatever else it could be used for.
                break;
            }
            if !std::mem::replace(&mut without_accelerators, false) {
                return;
            }
            at = 0;
        }
        let b = &mut bins[order[at]];
        b.free.sub(&spec.demand);
        b.used = true;
        counts.add(b.zone);
    }
}

/// Would a task without accelerators cost work with them a place here?
pub fn strands_accelerators(cluster: &ClusterState, spec: &Spec, flavor: usize, free: &Demand) -> bool {
    if spec.demand.gpus > 0.0 || cluster.flavors[flavor].cap.gpus <= 0.0 {
        return false;
    }
    let mut after = *free;
    after.sub(&spec.demand);
    cluster.reserves.iter().any(|r| r.demand.gpus > 0.0 && r.loses(flavor, free, &after))
}

/// The machine to rent on which a task like `spec` costs least, counting those that must
/// be rented to have one in time.
fn cheapest(cluster: &ClusterState, index: &Index, spec: &Spec, counts: &ZoneCounts, supply: &SupplyOf) -> Option<Bin> {
    let mut best: Option<(f64, u32, Bin)> = None;
    for (i, f) in cluster.flavors.iter().enumerate().filter(|(_, f)| spec.allows_flavor(f)) {
        let per = f.cap.slots(&spec.demand).max(1.0);
        for name in f.zones.iter().filter(|z| spec.allows_zone(z)) {
            let Some(zone) = index.zone(name) else { continue };
            let there = counts.of(zone);
            if there >= spec.zone_limit() {
                continue;
            }
            for spot in [false, true] {
                if spot && !spec.spot {
                    continue;
                }
                let Supply::Available { cost_factor } = supply(i, name, spot) else { continue };
                let price = f.price(spot) * cost_factor / per;
                if best.as_ref().is_none_or(|(p, t, _)| (price, there) < (*p, *t)) {
                    let bin = Bin { free: f.cap, flavor: i, zone, spot, host: None, used: true };
                    best = Some((price, there, bin));
                }
            }
        }
    }
    best.map(|b| b.2)
}

/// Least cost of a task on machines that are full of its like.
fn least_cost(cluster: &ClusterState, spec: &Spec) -> f64 {
    let per_task = |f: &Flavor| f.price / f.cap.slots(&spec.demand).max(1.0);
    cluster.flavors.iter().filter(|f| spec.allows_flavor(f)).map(per_task).fold(f64::INFINITY, f64::min)
}

/// A machine is worth emptying while its work would cost less than this share
/// of its price elsewhere.
const DRAIN_COST_SHARE: f64 = 0.75;

/// Machines are emptied one in so many at a time: what moves is down for a moment.
const HOSTS_PER_DRAIN: usize = 64;

/// The most wasteful machines whose replicas all fit, with their images ready,
/// on machines that are used better. `bins` holds what is free beyond all that
/// is waiting or expected.
fn consolidate(cluster: &ClusterState, index: &Index, bins: &[Bin]) -> Vec<Drain> {
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
        worth.push((value / cluster.flavors[b.flavor].price(h.spot).max(1e-6), host_index));
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
    if !h.claims.is_empty() || taken.iter().any(|t| bins[t.0].host == Some(host)) {
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
                counts.sub(index.slots[host].zone);
                bins.iter().enumerate().find(|(i, b)| {
                    let Some(o) = b.host.and_then(|o| cluster.host(o)) else { return false };
                    let mut room = b.free;
                    spec.demand.fits(&room)
                        && requirements.allows(b.flavor, b.zone, b.spot, &counts)
                        && o.claims.is_empty()
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

/// The reserves that follow from the arrivals seen.
pub fn reserves(cluster: &ClusterState, policy: &Policy, flows: &[ClassFlow]) -> Vec<Reserve> {
    let reserve = |f: &ClassFlow| Reserve {
        class: f.spec.class.clone(),
        flavors: cluster.flavors.iter().map(|l| f.spec.allows_flavor(l)).collect(),
        demand: f.spec.demand,
        tasks: headroom(cluster, policy, f) as f64,
    };
    flows.iter().map(reserve).collect()
}

/// Tasks of a class for which room is kept: arrivals and departures during a
/// boot both vary; as much as the class's objective asks for.
fn headroom(cluster: &ClusterState, policy: &Policy, flow: &ClassFlow) -> usize {
    let allowed = cluster.flavors.iter().filter(|f| flow.spec.allows_flavor(f));
    let boot_s = allowed.map(|f| f.boot_s).reduce(f64::min).unwrap_or(0.0);
    let share = policy.waits.get(&flow.spec.class).map_or(0.9, |w| w.1);
    // Work that may wait needs room ahead only as far as a boot is longer.
    let patience_s = flow.spec.due_s.map_or(0.0, |d| d - flow.spec.expected_s);
    let mean = flow.rate * (boot_s - patience_s).max(0.0);
    let spread = (2.0 * mean * flow.burst).sqrt();
    (policy.headroom * z_score(share) * spread).ceil() as usize
}

/// Standard deviations that leave `1 - share` above them (a plain fit of the
/// normal quantile, good to 0.005 for shares from 0.5 to 0.999).
fn z_score(share: f64) -> f64 {
    let t = (-2.0 * (1.0 - share.clamp(0.5, 0.999)).ln()).sqrt();
    t - (2.30753 + 0.27061 * t) / (1.0 + 0.99229 * t + 0.04481 * t * t)
}
