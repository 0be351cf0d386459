//! The leader's side of the cloud: which machines are coming, which requests
//! were refused, what to rent and return. Decisions come from `sched::plan`.

use crate::clients::RentResult;
use crate::model::*;
use crate::part::Part;
use crate::sched::{self, ClassFlow, Coming, Rental};
use crate::wire::Listed;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the cloud is to be asked.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudOp {
    Rent { name: String, rental: Rental },
    Release(Vec<String>),
}

/// A machine that is listed or rented and has not reported yet.
#[derive(Debug, Clone)]
struct Expected {
    coming: Coming,
    since_ms: u64,
    listed: bool,
}

#[derive(Debug, Default)]
pub struct Leader {
    renting: BTreeMap<String, Rental>,
    expected: HashMap<String, Expected>,
    refused: HashMap<(usize, String, bool), (u64, u64)>,
    releasing: HashSet<String>,
    gone: HashSet<String>,
    listed_once: bool,
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

    /// Plans rentals and returns. Nothing is rented before the list was read
    /// once: the last leader's machines may be on their way.
    pub fn plan(&mut self, part: &mut Part, now: u64, wall: u64) -> Vec<CloudOp> {
        let flows = flows(part, wall);
        part.world.reserves = sched::reserves(&part.world, &part.policy, &flows);
        let world = &part.world;
        let mut ops = Vec::new();
        if !self.listed_once || world.flavors.is_empty() || !world.all_accounted {
            return ops;
        }
        self.expected.retain(|id, _| !world.host_ix.contains_key(id));
        let mut coming: Vec<Coming> = self.expected.values().map(|e| e.coming.clone()).collect();
        for r in self.renting.values() {
            let one = Coming { flavor: r.flavor, zone: r.zone.clone(), spot: r.spot };
            coming.extend(std::iter::repeat_n(one, r.count));
        }
        let refused = &self.refused;
        let plan = sched::plan(world, &part.policy, now, &part.unplaced, &flows, &coming, &|f, z, s| {
            refused.get(&(f, z.to_string(), s)).is_some_and(|r| now < r.0)
        });
        for mut rental in plan.rent {
            rental.count = rental.count.min(MOST_RENTED);
            self.serial += 1;
            let name = format!("r-{}-{}", part.term, self.serial);
            let flavor = &world.flavors[rental.flavor].name;
            tracing::info!(name, flavor, zone = rental.zone, spot = rental.spot, count = rental.count, "renting");
            self.renting.insert(name.clone(), rental.clone());
            ops.push(CloudOp::Rent { name, rental });
        }
        let mut idle: Vec<String> = plan
            .spare
            .into_iter()
            .filter_map(|hix| {
                let h = world.host(hix)?;
                let boot_s = world.flavors.get(h.flavor?)?.boot_s;
                let keep = (part.policy.idle_keep * boot_s * 1000.0) as u64;
                (now > h.idle_since_ms + keep).then(|| h.id.clone())
            })
            .collect();
        for (_, h) in world.each_host() {
            if h.copies.is_empty() && (h.notice || h.draining || h.failed_jobs.len() >= sched::SHUNNED) {
                idle.push(h.id.clone());
            }
        }
        ops.extend(self.release(idle));
        if let Some(d) = &plan.drain {
            part.drain(d, now);
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
            self.releasing.remove(id);
            self.expected.remove(id);
            self.gone.insert(id.clone());
        }
    }

    pub fn rented(&mut self, name: &str, result: RentResult, now: u64) -> Option<CloudOp> {
        let rental = self.renting.get(name)?.clone();
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
                    self.expected.entry(id).or_insert(Expected { coming, since_ms: now, listed: false });
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
            if world.host_ix.contains_key(&l.id) {
                continue;
            }
            let Some(flavor) = world.flavor(&l.flavor) else { continue };
            let age_ms = (l.age_s * 1000.0) as u64;
            let coming = Coming { flavor, zone: l.zone.clone(), spot: l.spot };
            let e = self.expected.entry(l.id.clone()).or_insert(Expected {
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
