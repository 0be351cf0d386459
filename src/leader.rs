//! The leader's side of the cloud: which machines are coming, which requests
//! were refused, what to rent and return. Decisions come from `sched::plan`.

use crate::clients::RentResult;
use crate::model::*;
use crate::part::Part;
use crate::peer::{Machines, Needs};
use crate::sched::{self, ClassFlow, Coming, Rental};
use crate::wire::Listed;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the cloud is to be asked.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudOp {
    Rent {
        name: String,
        rental: Rental,
    },
    Release(Vec<String>),
    /// Have the machine's part give it to another one.
    Give {
        from: u32,
        host: String,
        to: u32,
    },
}

/// A machine that is listed or rented and has not reported yet.
#[derive(Debug, Clone)]
struct Expected {
    part: u32,
    coming: Coming,
    since_ms: u64,
    listed: bool,
}

#[derive(Debug, Default)]
pub struct Leader {
    renting: BTreeMap<String, (u32, Rental)>,
    /// What the other parts said last, and when.
    needs: BTreeMap<u32, (u64, Needs)>,
    /// Machines asked to move, until when that is remembered.
    moving: HashMap<String, (u32, Coming, u64)>,
    expected: HashMap<String, Expected>,
    refused: HashMap<(usize, String, bool), (u64, u64)>,
    releasing: HashSet<String>,
    gone: HashSet<String>,
    listed_once: bool,
    /// What kind of machine each listed one is.
    kinds: HashMap<String, Coming>,
    serial: u64,
    lag_ms: u64,
}

/// Most machines of one request, by the protocol.
const MOST_RENTED: usize = 50;
/// Most names of one release, by the protocol.
const MOST_RELEASED: usize = 100;
/// A machine that is not up after this many of its boot times never will be.
const BOOT_PATIENCE: f64 = 4.0;

impl Leader {
    pub fn new(list_lag_s: f64) -> Leader {
        Leader { lag_ms: (list_lag_s * 1000.0) as u64, ..Leader::default() }
    }

    /// Machines that are on their way to a part.
    pub fn coming(&mut self, to: u32, part: &Part, now: u64, patience_ms: u64) -> Vec<Coming> {
        let up = |id: &String| part.world.host_ix.contains_key(id) || part.elsewhere.contains_key(id);
        // One that is up for another part is still on its way there for a while.
        for (id, e) in self.expected.iter().filter(|(id, e)| up(id) && e.part != part.id) {
            self.moving.insert(id.clone(), (e.part, e.coming.clone(), now + patience_ms));
        }
        self.expected.retain(|id, _| !up(id));
        self.moving.retain(|_, m| now < m.2);
        let mut coming: Vec<Coming> =
            self.expected.values().filter(|e| e.part == to).map(|e| e.coming.clone()).collect();
        for (_, r) in self.renting.values().filter(|(p, _)| *p == to) {
            let one = Coming { flavor: r.flavor, zone: r.zone.clone(), spot: r.spot };
            coming.extend(std::iter::repeat_n(one, r.count));
        }
        coming.extend(self.moving.values().filter(|m| m.0 == to).map(|m| m.1.clone()));
        coming
    }

    /// What another part needs; answered with what is on its way there and
    /// what can't be had.
    pub fn needs(
        &mut self,
        mut needs: Needs,
        part: &Part,
        now: u64,
        patience_ms: u64,
    ) -> (Vec<Machines>, Vec<Machines>) {
        let to = needs.part;
        let coming = self.coming(to, part, now, patience_ms);
        // Asked before it knew of what was ordered for it meanwhile.
        if coming.len() > needs.assumed {
            needs.wanted.clear();
        }
        self.needs.insert(to, (now, needs));
        let named = |flavor: usize, zone: String, spot: bool| {
            Some(Machines { flavor: part.world.flavors.get(flavor)?.name.clone(), zone, spot, count: 1 })
        };
        let refused = self.refused.iter().filter(|(_, r)| now < r.0);
        (
            coming.into_iter().filter_map(|c| named(c.flavor, c.zone, c.spot)).collect(),
            refused.filter_map(|(k, _)| named(k.0, k.1.clone(), k.2)).collect(),
        )
    }

    /// What the leader said can't be had now.
    pub fn set_refused(&mut self, refused: &[Machines], part: &Part, until_ms: u64) {
        self.refused.clear();
        for m in refused {
            if let Some(f) = part.world.flavor(&m.flavor) {
                self.refused.insert((f, m.zone.clone(), m.spot), (until_ms, 0));
            }
        }
    }

    /// Plans for this part; what must be rented or fetched for it is returned
    /// as its needs. `coming` is on its way to it.
    pub fn plan(&mut self, part: &mut Part, coming: &[Coming], now: u64, wall: u64) -> (Needs, Vec<CloudOp>) {
        let flows = flows(part, wall);
        let gone = |f: usize, z: &String| self.refused.get(&(f, z.clone(), false)).is_some_and(|r| now < r.0);
        let flavors = part.world.flavors.iter().enumerate();
        let exhausted = flavors.filter(|(i, f)| f.zones.iter().all(|z| gone(*i, z))).map(|(i, _)| i).collect();
        part.world.exhausted = exhausted;
        part.world.reserves = sched::reserves(&part.world, &part.policy, &flows);
        let world = &part.world;
        let mut needs = Needs {
            part: part.id,
            lowest_bin: part.lowest_bin(wall),
            assumed: coming.len(),
            wanted: Vec::new(),
            spare: Vec::new(),
        };
        let mut ops = Vec::new();
        if world.flavors.is_empty() || !part.counted(now) {
            return (needs, ops);
        }
        let refused = &self.refused;
        let plan = sched::plan(world, &part.policy, now, &part.unplaced, &flows, coming, &|f, z, s| {
            refused.get(&(f, z.to_string(), s)).is_some_and(|r| now < r.0)
        });
        let machines = |r: Rental| {
            let flavor = world.flavors[r.flavor].name.clone();
            Machines { flavor, zone: r.zone, spot: r.spot, count: r.count }
        };
        needs.wanted = plan.rent.into_iter().map(machines).collect();
        let mut idle: Vec<String> = Vec::new();
        for hix in plan.spare {
            let Some(h) = world.host(hix) else { continue };
            let Some(boot_s) = h.flavor.map(|f| world.flavors[f].boot_s) else { continue };
            let keep = (part.policy.idle_keep * boot_s * 1000.0) as u64;
            if now > h.idle_since_ms + keep {
                idle.push(h.id.clone());
            } else {
                needs.spare.push(h.id.clone());
            }
        }
        for (_, h) in world.each_host() {
            if h.copies.is_empty() && (h.notice || h.draining || h.faulty()) {
                idle.push(h.id.clone());
            }
        }
        ops.extend(self.release(idle));
        for d in &plan.drain {
            part.drain(d, now);
        }
        (needs, ops)
    }

    /// The leader's round over the needs of all parts, the one with the lowest
    /// waiting bin first: free machines of other parts move to it, the rest is
    /// rented. Nothing is rented before the list was read once, for the last
    /// leader's machines may be on their way.
    pub fn lead(&mut self, own: Needs, part: &Part, now: u64, patience_ms: u64) -> Vec<CloudOp> {
        let world = &part.world;
        let mut ops = Vec::new();
        if !self.listed_once || world.flavors.is_empty() {
            return ops;
        }
        self.needs.retain(|_, n| now < n.0 + patience_ms);
        self.needs.insert(part.id, (now, own));
        let mut spare: Vec<(u32, String)> = Vec::new();
        for (p, (_, n)) in &self.needs {
            spare.extend(n.spare.iter().filter(|h| !self.moving.contains_key(*h)).map(|h| (*p, h.clone())));
        }
        let mut order: Vec<u32> = self.needs.keys().copied().collect();
        order.sort_by_key(|p| (self.needs[p].1.lowest_bin.unwrap_or(u64::MAX), *p));
        for p in order {
            let Some((_, n)) = self.needs.get_mut(&p) else { continue };
            // What is ordered now must not be ordered again before the part has seen it.
            for m in std::mem::take(&mut n.wanted) {
                let Some(flavor) = world.flavor(&m.flavor) else { continue };
                let like = Coming { flavor, zone: m.zone.clone(), spot: m.spot };
                let mut left = m.count;
                while left > 0 {
                    let fits = |(q, h): &(u32, String)| *q != p && self.kinds.get(h) == Some(&like);
                    let Some(i) = spare.iter().position(fits) else { break };
                    let (from, host) = spare.swap_remove(i);
                    self.moving.insert(host.clone(), (p, like.clone(), now + patience_ms));
                    ops.push(CloudOp::Give { from, host, to: p });
                    left -= 1;
                }
                let key = (flavor, m.zone.clone(), m.spot);
                if left == 0 || self.refused.get(&key).is_some_and(|r| now < r.0) {
                    continue;
                }
                let rental = Rental { flavor, zone: m.zone, spot: m.spot, count: left.min(MOST_RENTED) };
                self.serial += 1;
                let name = format!("r-{}-{}", part.term, self.serial);
                tracing::info!(
                    name,
                    flavor = m.flavor,
                    zone = rental.zone,
                    spot = rental.spot,
                    count = rental.count,
                    "renting"
                );
                self.renting.insert(name.clone(), (p, rental.clone()));
                ops.push(CloudOp::Rent { name, rental });
            }
        }
        ops
    }

    /// Asks for the return of machines that are not being returned yet.
    pub fn release(&mut self, ids: impl IntoIterator<Item = String>) -> Vec<CloudOp> {
        let new: Vec<String> = ids.into_iter().filter(|id| self.releasing.insert(id.clone())).collect();
        new.chunks(MOST_RELEASED).map(|c| CloudOp::Release(c.to_vec())).collect()
    }

    pub fn released(&mut self, ids: &[String]) {
        for id in ids {
            self.kinds.remove(id);
            self.releasing.remove(id);
            self.expected.remove(id);
            self.gone.insert(id.clone());
        }
    }

    pub fn rented(&mut self, name: &str, result: RentResult, now: u64) -> Option<CloudOp> {
        let (part, rental) = self.renting.get(name)?.clone();
        let refuse = |me: &mut Leader| {
            let key = (rental.flavor, rental.zone.clone(), rental.spot);
            // Ever longer pauses, up to some lags of the list.
            let pause = me.refused.get(&key).map_or(me.lag_ms.max(1000), |r| r.1 * 2).min(me.lag_ms.max(1000) * 8);
            me.refused.insert(key, (now + pause, pause));
        };
        match result {
            RentResult::Rented(ids) => {
                if ids.len() < rental.count {
                    refuse(self);
                } else {
                    self.refused.remove(&(rental.flavor, rental.zone.clone(), rental.spot));
                }
                for id in ids {
                    let coming = Coming { flavor: rental.flavor, zone: rental.zone.clone(), spot: rental.spot };
                    self.kinds.insert(id.clone(), coming.clone());
                    self.expected.entry(id).or_insert(Expected { part, coming, since_ms: now, listed: false });
                }
                self.renting.remove(name);
            }
            RentResult::NoCapacity | RentResult::Malformed => {
                refuse(self);
                self.renting.remove(name);
            }
            // The outcome is not known: the same name again.
            RentResult::Again => {
                return Some(CloudOp::Rent { name: name.to_string(), rental });
            }
        }
        None
    }

    /// Which part each machine on its way is for, where that is not the leader's.
    pub fn destined(&self, leader: u32) -> HashMap<String, u32> {
        self.expected.iter().filter(|(_, e)| e.part != leader).map(|(id, e)| (id.clone(), e.part)).collect()
    }

    /// Takes a list of machines; returns those to be released: failed ones,
    /// and those that never come up.
    pub fn listed(&mut self, list: &[Listed], part: &Part, now: u64) -> Vec<CloudOp> {
        self.listed_once = true;
        let world = &part.world;
        let mut drop = Vec::new();
        for l in list {
            if self.gone.contains(&l.id) || self.releasing.contains(&l.id) {
                continue;
            }
            if l.failed() {
                drop.push(l.id.clone());
                continue;
            }
            let Some(flavor) = world.flavor(&l.flavor) else { continue };
            let kind = Coming { flavor, zone: l.zone.clone(), spot: l.spot };
            self.kinds.insert(l.id.clone(), kind);
            if world.host_ix.contains_key(&l.id) || part.elsewhere.contains_key(&l.id) {
                continue;
            }
            let age_ms = (l.age_s * 1000.0) as u64;
            let coming = Coming { flavor, zone: l.zone.clone(), spot: l.spot };
            let e = self.expected.entry(l.id.clone()).or_insert(Expected {
                part: part.id,
                coming,
                since_ms: now.saturating_sub(age_ms),
                listed: false,
            });
            e.listed = true;
            let patience = if l.booting() {
                (world.flavors[flavor].boot_s * BOOT_PATIENCE * 1000.0) as u64
            } else {
                // Up by the list, and never heard of.
                (world.flavors[flavor].boot_s * BOOT_PATIENCE * 500.0) as u64
            };
            if now.saturating_sub(e.since_ms) > patience {
                tracing::info!(host = l.id, "machine does not come up, releasing it");
                drop.push(l.id.clone());
            }
        }
        // Rented, and still not listed long after the list must know it: gone.
        let lag = self.lag_ms;
        let names: HashSet<&str> = list.iter().map(|l| l.id.as_str()).collect();
        self.expected
            .retain(|id, e| names.contains(id.as_str()) || (!e.listed && now < e.since_ms + 4 * lag.max(1000)));
        self.release(drop)
    }
}

/// Arrivals of each class within the longest boot, from what was accepted.
fn flows(part: &Part, wall: u64) -> Vec<ClassFlow> {
    let boot_s = part.world.flavors.iter().map(|f| f.boot_s).fold(1.0, f64::max);
    let window_s = 3.0 * boot_s;
    let since = wall.saturating_sub((window_s * 1000.0) as u64).max(part.policy.start_ms);
    let span_s = (wall.saturating_sub(since) as f64 / 1000.0).max(boot_s);
    let mut sums: BTreeMap<&str, (&Spec, f64, f64)> = BTreeMap::new();
    for job in part.world.jobs.iter().filter(|j| j.accepted_ms >= since) {
        let n = f64::from(job.spec.tasks);
        let s = sums.entry(&job.spec.class).or_insert((&job.spec, 0.0, 0.0));
        *s = (&job.spec, s.1 + n, s.2 + n * n);
    }
    sums.into_values()
        .map(|(spec, n, squares)| ClassFlow { spec: spec.clone(), rate: n / span_s, burst: squares / n })
        .collect()
}
