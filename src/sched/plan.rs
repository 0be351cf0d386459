//! What to rent, what to return and which machine to empty.

use super::Policy;
use super::index::{Counts, Index};
use crate::model::*;
use std::collections::{HashMap, HashSet};

/// Machines that were asked for and are not up yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Coming {
    pub flavor: usize,
    pub zone: String,
    pub spot: bool,
}

/// How a kind of machine can be had now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Supply {
    /// The cloud has refused it.
    Refused,
    /// At its price times this factor, which is above 1 for kinds that come up late or never.
    Available { cost_factor: f64 },
}

/// The supply of a machine type in a zone, as spot machines or as ordinary ones.
pub type SupplyOf<'a> = dyn Fn(usize, &str, bool) -> Supply + 'a;

/// A request for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct Rental {
    pub flavor: usize,
    pub zone: String,
    pub spot: bool,
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
    pub burst: f64,
}

#[derive(Debug, Default)]
pub struct Plan {
    pub rent: Vec<Rental>,
    /// Machines that nothing waiting or expected needs.
    pub spare: Vec<HostIx>,
    /// Machines whose work fits elsewhere, so that they can be returned.
    pub drain: Vec<Drain>,
}

/// A machine to be emptied: its replicas move, the rest runs out.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    pub host: HostIx,
    pub moves: Vec<(TaskKey, u64, HostIx)>,
}

struct Bin {
    free: Demand,
    flavor: usize,
    zone: usize,
    spot: bool,
    host: Option<HostIx>,
    used: bool,
}

/// What to rent and what could be returned: the waiting tasks, then the
/// arrivals expected during a boot, are fitted into free room, machines that
/// are coming, and new ones.
pub fn plan(
    world: &World,
    policy: &Policy,
    now: u64,
    unplaced: &[JobIx],
    flows: &[ClassFlow],
    coming: &[Coming],
    supply: &SupplyOf,
) -> Plan {
    let index = Index::new(world, now);
    let mut bins: Vec<Bin> = Vec::new();
    for (hix, h) in world.each_host() {
        let s = &index.slots[hix];
        if s.usable {
            let used = !h.copies.is_empty() || !h.claims.is_empty();
            bins.push(Bin { free: s.free, flavor: s.flavor, zone: s.zone, spot: s.spot, host: Some(hix), used });
        }
    }
    for c in coming {
        let Some(zone) = index.zone(&c.zone) else { continue };
        let free = world.flavors[c.flavor].cap;
        bins.push(Bin { free, flavor: c.flavor, zone, spot: c.spot, host: None, used: true });
    }
    let have = bins.len();
    for ix in unplaced {
        let job = &world.jobs[*ix];
        let placeable = world.placeable(job);
        let n = job.tasks.iter().filter(|t| placeable.open(t)).count();
        fit(world, &index, &mut bins, &job.spec, n, job.shuns(world, now), supply);
    }
    for flow in flows {
        let n = headroom(world, policy, flow);
        fit(world, &index, &mut bins, &flow.spec, n, &HashSet::new(), supply);
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
    let boot_s = world.flavors.iter().map(|f| f.boot_s).fold(0.0, f64::max);
    let lull = now.saturating_sub(world.waited_ms) as f64 > 2.0 * boot_s * 1000.0;
    let drain = if unplaced.is_empty() && lull { consolidate(world, &index, &bins) } else { Vec::new() };
    Plan { rent, spare, drain }
}

/// Fits `n` tasks like `spec` into the bins; opens new ones where needed.
fn fit(
    world: &World,
    index: &Index,
    bins: &mut Vec<Bin>,
    spec: &Spec,
    n: usize,
    shuns: &HashSet<HostIx>,
    supply: &SupplyOf,
) {
    let want = index.want(world, spec);
    let mut counts = Counts::default();
    // Work that may run on cheap machines leaves the others alone while it would be
    // given cheap ones.
    let only_spot = spec.spot && cheapest(world, index, spec, &counts, supply).is_some_and(|b| b.spot);
    // Machines in use first, so that idle ones are not called needed.
    let mut order: Vec<usize> = (0..bins.len()).filter(|i| bins[*i].used).collect();
    order.extend((0..bins.len()).filter(|i| !bins[*i].used));
    // Work without accelerators first takes what the work with them leaves
    // over; then machines of its own; last, what can be had.
    let mut modest = spec.demand.gpus <= 0.0;
    let mut at = 0;
    for _ in 0..n {
        loop {
            // What one task of them does not fit into, none does.
            while order.get(at).is_some_and(|i| {
                let b = &bins[*i];
                let allowed = want.allows(b.flavor, b.zone, b.spot, &counts)
                    && (b.spot || !only_spot)
                    && !b.host.is_some_and(|h| shuns.contains(&h));
                !allowed || !spec.demand.fits(&b.free) || (modest && strands(world, spec, b.flavor, &b.free))
            }) {
                at += 1;
            }
            if at < order.len() {
                break;
            }
            if let Some(b) = cheapest(world, index, spec, &counts, supply) {
                bins.push(b);
                order.push(bins.len() - 1);
                // It is for this work, whatever else it could be used for.
                break;
            }
            if !std::mem::replace(&mut modest, false) {
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
pub fn strands(world: &World, spec: &Spec, flavor: usize, free: &Demand) -> bool {
    if spec.demand.gpus > 0.0 || world.flavors[flavor].cap.gpus <= 0.0 {
        return false;
    }
    let mut after = *free;
    after.sub(&spec.demand);
    world.reserves.iter().any(|r| r.demand.gpus > 0.0 && r.loses(flavor, free, &after))
}

/// The machine to rent on which a task like `spec` costs least, counting those that must
/// be rented to have one in time.
fn cheapest(world: &World, index: &Index, spec: &Spec, counts: &Counts, supply: &SupplyOf) -> Option<Bin> {
    let mut best: Option<(f64, u32, Bin)> = None;
    for (i, f) in world.flavors.iter().enumerate().filter(|(_, f)| spec.allows_flavor(f)) {
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
fn least_cost(world: &World, spec: &Spec) -> f64 {
    let per_task = |f: &Flavor| f.price / f.cap.slots(&spec.demand).max(1.0);
    world.flavors.iter().filter(|f| spec.allows_flavor(f)).map(per_task).fold(f64::INFINITY, f64::min)
}

/// A machine is worth emptying while its work would cost less than this share
/// of its price elsewhere.
const WASTEFUL: f64 = 0.75;

/// Machines are emptied one in so many at a time: what moves is down for a moment.
const EMPTIED: usize = 64;

/// The most wasteful machines whose replicas all fit, with their images ready,
/// on machines that are used better. `bins` holds what is free beyond all that
/// is waiting or expected.
fn consolidate(world: &World, index: &Index, bins: &[Bin]) -> Vec<Drain> {
    let under_way = world.each_host().filter(|(_, h)| h.draining && !h.copies.is_empty()).count();
    let most = world.host_ix.len().div_ceil(EMPTIED).saturating_sub(under_way);
    if most == 0 {
        return Vec::new();
    }
    let mut costs: HashMap<&str, f64> = HashMap::new();
    let mut worth: Vec<(f64, HostIx)> = Vec::new();
    for b in bins {
        let Some((hix, h)) = b.host.and_then(|i| Some((i, world.host(i)?))) else { continue };
        let value: f64 = h
            .copies
            .iter()
            .map(|c| {
                let spec = &world.jobs[c.key.job].spec;
                *costs.entry(&spec.class).or_insert_with(|| least_cost(world, spec))
            })
            .sum();
        worth.push((value / world.flavors[b.flavor].price(h.spot).max(1e-6), hix));
    }
    worth.sort_by(|a, b| a.0.total_cmp(&b.0));
    let rank: HashMap<HostIx, f64> = worth.iter().map(|w| (w.1, w.0)).collect();
    let mut drains = Vec::new();
    let mut taken = Vec::new();
    for (w, hix) in worth.iter().filter(|w| w.0 > 0.0 && w.0 < WASTEFUL) {
        let better = |to: HostIx| rank.get(&to).is_some_and(|r| r > w);
        drains.extend(drain_of(world, index, bins, *hix, &better, &mut taken));
        if drains.len() == most {
            break;
        }
    }
    drains
}

/// How a machine could be emptied; `taken` is room that is promised already.
fn drain_of(
    world: &World,
    index: &Index,
    bins: &[Bin],
    host: HostIx,
    better: &dyn Fn(HostIx) -> bool,
    taken: &mut Vec<(usize, Demand)>,
) -> Option<Drain> {
    let h = world.host(host)?;
    // One that takes others in stays, or they would have to move again.
    if !h.claims.is_empty() || taken.iter().any(|t| bins[t.0].host == Some(host)) {
        return None;
    }
    let promised = taken.len();
    let mut moves = Vec::new();
    for c in h.copies.iter().filter(|c| !c.ended()) {
        let spec = &world.jobs[c.key.job].spec;
        let to = match spec.shape {
            _ if c.stop.is_some() || !c.running() => None,
            Shape::Gang => None,
            Shape::Batch => continue,
            Shape::Service => {
                let want = index.want(world, spec);
                let mut counts = index.counts(c.key.job);
                counts.sub(index.slots[host].zone);
                bins.iter().enumerate().find(|(i, b)| {
                    let Some(o) = b.host.and_then(|o| world.host(o)) else { return false };
                    let mut room = b.free;
                    spec.demand.fits(&room)
                        && want.allows(b.flavor, b.zone, b.spot, &counts)
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
pub fn reserves(world: &World, policy: &Policy, flows: &[ClassFlow]) -> Vec<Reserve> {
    let reserve = |f: &ClassFlow| Reserve {
        class: f.spec.class.clone(),
        flavors: world.flavors.iter().map(|l| f.spec.allows_flavor(l)).collect(),
        demand: f.spec.demand,
        tasks: headroom(world, policy, f) as f64,
    };
    flows.iter().map(reserve).collect()
}

/// Tasks of a class for which room is kept: arrivals and departures during a
/// boot both vary; as much as the class's objective asks for.
fn headroom(world: &World, policy: &Policy, flow: &ClassFlow) -> usize {
    let allowed = world.flavors.iter().filter(|f| flow.spec.allows_flavor(f));
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
