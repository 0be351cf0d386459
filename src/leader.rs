//! The leader's side of the cloud: which machines are coming, which requests
//! were refused, what to rent and return. Decisions come from `sched::plan`.

use crate::clients::RentResult;
use crate::model::*;
use crate::partition::Partition;
use crate::peer::{CapacityReport, Machines};
use crate::sched::{self, ClassFlow, PendingMachine, Rental};
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
    /// Have the machine's partition give it to another one.
    TransferHost {
        from: u32,
        host: String,
        to: u32,
    },
}

/// A machine that is listed or rented and has not reported yet.
#[derive(Debug, Clone)]
struct Expected {
    partition: u32,
    pending_machine: PendingMachine,
    since_ms: u64,
    listed: bool,
}

#[derive(Debug, Default)]
pub struct Leader {
    renting: BTreeMap<String, (u32, Rental)>,
    /// What the other partitions said last, and when.
    capacity_reports: BTreeMap<u32, (u64, CapacityReport)>,
    /// Machines asked to move, until when that is remembered.
    moving: HashMap<String, (u32, PendingMachine, u64)>,
    expected: HashMap<String, Expected>,
    refused: HashMap<(usize, String, bool), (u64, u64)>,
    releasing: HashSet<String>,
    gone: HashSet<String>,
    listed_once: bool,
    /// What kind of machine each listed one is.
    kinds: HashMap<String, PendingMachine>,
    serial: u64,
    lag_ms: u64,
}

/// Most machines of one request, by the protocol.
const MAX_RENTED: usize = 50;
/// Most names of one release, by the protocol.
const MAX_RELEASED: usize = 100;
/// A machine that is not up after this many of its boot times never will be.
const MAX_BOOT_TIMES: f64 = 4.0;

impl Leader {
    pub fn new(list_lag_s: f64) -> Leader {
        Leader { lag_ms: (list_lag_s * 1000.0) as u64, ..Leader::default() }
    }

    /// Machines that are on their way to a partition.
    pub fn pending_machines(
        &mut self,
        to: u32,
        partition: &Partition,
        now: u64,
        patience_ms: u64,
    ) -> Vec<PendingMachine> {
        let up = |id: &String| partition.cluster.host_index.contains_key(id) || partition.elsewhere.contains_key(id);
        // One that is up for another partition is still on its way there for a while.
        for (id, e) in self.expected.iter().filter(|(id, e)| up(id) && e.partition != partition.id) {
            self.moving.insert(id.clone(), (e.partition, e.pending_machine.clone(), now + patience_ms));
        }
        self.expected.retain(|id, _| !up(id));
        self.moving.retain(|_, m| now < m.2);
        let mut pending_machines: Vec<PendingMachine> =
            self.expected.values().filter(|e| e.partition == to).map(|e| e.pending_machine.clone()).collect();
        for (_, r) in self.renting.values().filter(|(p, _)| *p == to) {
            let one = PendingMachine { flavor: r.flavor, zone: r.zone.clone(), spot: r.spot };
            pending_machines.extend(std::iter::repeat_n(one, r.count));
        }
        pending_machines.extend(self.moving.values().filter(|m| m.0 == to).map(|m| m.1.clone()));
        pending_machines
    }

    /// What another partition needs; answered with what is on its way there and
    /// what can't be had.
    pub fn capacity_report(
        &mut self,
        mut capacity_report: CapacityReport,
        partition: &Partition,
        now: u64,
        patience_ms: u64,
    ) -> (Vec<Machines>, Vec<Machines>) {
        let to = capacity_report.partition;
        let pending_machines = self.pending_machines(to, partition, now, patience_ms);
        // Asked before it knew of what was ordered for it meanwhile.
        if pending_machines.len() > capacity_report.assumed {
            capacity_report.wanted.clear();
        }
        self.capacity_reports.insert(to, (now, capacity_report));
        let named = |flavor: usize, zone: String, spot: bool| {
            Some(Machines { flavor: partition.cluster.flavors.get(flavor)?.name.clone(), zone, spot, count: 1 })
        };
        let refused = self.refused.iter().filter(|(_, r)| now < r.0);
        (
            pending_machines.into_iter().filter_map(|c| named(c.flavor, c.zone, c.spot)).collect(),
            refused.filter_map(|(k, _)| named(k.0, k.1.clone(), k.2)).collect(),
        )
    }

    /// What the leader said can't be had now.
    pub fn set_refused(&mut self, refused: &[Machines], partition: &Partition, until_ms: u64) {
        self.refused.clear();
        for m in refused {
            if let Some(f) = partition.cluster.flavor(&m.flavor) {
                self.refused.insert((f, m.zone.clone(), m.spot), (until_ms, 0));
            }
        }
    }

    /// Plans for this partition; what must be rented or fetched for it is returned
    /// as its needs. `pending_machines` is on its way to it.
    pub fn plan(
        &mut self,
        partition: &mut Partition,
        pending_machines: &[PendingMachine],
        now: u64,
        wall: u64,
    ) -> (CapacityReport, Vec<CloudOp>) {
        let flows = flows(partition, wall);
        let gone = |f: usize, z: &String| self.refused.get(&(f, z.clone(), false)).is_some_and(|r| now < r.0);
        let flavors = partition.cluster.flavors.iter().enumerate();
        let exhausted = flavors.filter(|(i, f)| f.zones.iter().all(|z| gone(*i, z))).map(|(i, _)| i).collect();
        partition.cluster.exhausted = exhausted;
        partition.cluster.reserves = sched::reserves(&partition.cluster, &partition.policy, &flows);
        let cluster = &partition.cluster;
        let mut capacity_report = CapacityReport {
            partition: partition.id,
            lowest_bin: partition.lowest_bin(wall),
            assumed: pending_machines.len(),
            wanted: Vec::new(),
            spare: Vec::new(),
        };
        let mut ops = Vec::new();
        if cluster.flavors.is_empty() || !partition.counted(now) {
            return (capacity_report, ops);
        }
        let refused = &self.refused;
        let plan =
            sched::plan(cluster, &partition.policy, now, &partition.unplaced, &flows, pending_machines, &|f, z, s| {
                refused.get(&(f, z.to_string(), s)).is_some_and(|r| now < r.0)
            });
        let machines = |r: Rental| {
            let flavor = cluster.flavors[r.flavor].name.clone();
            Machines { flavor, zone: r.zone, spot: r.spot, count: r.count }
        };
        capacity_report.wanted = plan.rent.into_iter().map(machines).collect();
        let mut idle: Vec<String> = Vec::new();
        for host_index in plan.spare {
            let Some(h) = cluster.host(host_index) else { continue };
            let Some(boot_s) = h.flavor.map(|f| cluster.flavors[f].boot_s) else { continue };
            let keep = (partition.policy.idle_keep * boot_s * 1000.0) as u64;
            if now > h.idle_since_ms + keep {
                idle.push(h.id.clone());
            } else {
                capacity_report.spare.push(h.id.clone());
            }
        }
        for (_, h) in cluster.each_host() {
            if h.attempts.is_empty() && (h.notice || h.draining || h.faulty()) {
                idle.push(h.id.clone());
            }
        }
        ops.extend(self.release(idle));
        for d in &plan.drain {
            partition.drain(d, now);
        }
        (capacity_report, ops)
    }

    /// The leader's round over the needs of all partitions, the one with the lowest
    /// waiting bin first: free machines of other partitions move to it, the rest is
    /// rented. Nothing is rented before the list was read once, for the last
    /// leader's machines may be on their way.
    pub fn lead(&mut self, own: CapacityReport, partition: &Partition, now: u64, patience_ms: u64) -> Vec<CloudOp> {
        let cluster = &partition.cluster;
        let mut ops = Vec::new();
        if !self.listed_once || cluster.flavors.is_empty() {
            return ops;
        }
        self.capacity_reports.retain(|_, n| now < n.0 + patience_ms);
        self.capacity_reports.insert(partition.id, (now, own));
        let mut spare: Vec<(u32, String)> = Vec::new();
        for (p, (_, n)) in &self.capacity_reports {
            spare.extend(n.spare.iter().filter(|h| !self.moving.contains_key(*h)).map(|h| (*p, h.clone())));
        }
        let mut order: Vec<u32> = self.capacity_reports.keys().copied().collect();
        order.sort_by_key(|p| (self.capacity_reports[p].1.lowest_bin.unwrap_or(u64::MAX), *p));
        for p in order {
            let Some((_, n)) = self.capacity_reports.get_mut(&p) else { continue };
            // What is ordered now must not be ordered again before the partition has seen it.
            for m in std::mem::take(&mut n.wanted) {
                let Some(flavor) = cluster.flavor(&m.flavor) else { continue };
                let like = PendingMachine { flavor, zone: m.zone.clone(), spot: m.spot };
                let mut left = m.count;
                while left > 0 {
                    let fits = |(q, h): &(u32, String)| *q != p && self.kinds.get(h) == Some(&like);
                    let Some(i) = spare.iter().position(fits) else { break };
                    let (from, host) = spare.swap_remove(i);
                    self.moving.insert(host.clone(), (p, like.clone(), now + patience_ms));
                    ops.push(CloudOp::TransferHost { from, host, to: p });
                    left -= 1;
                }
                let key = (flavor, m.zone.clone(), m.spot);
                if left == 0 || self.refused.get(&key).is_some_and(|r| now < r.0) {
                    continue;
                }
                let rental = Rental { flavor, zone: m.zone, spot: m.spot, count: left.min(MAX_RENTED) };
                self.serial += 1;
                let name = format!("r-{}-{}", partition.term, self.serial);
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
        new.chunks(MAX_RELEASED).map(|c| CloudOp::Release(c.to_vec())).collect()
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
        let (partition, rental) = self.renting.get(name)?.clone();
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
                    let pending_machine =
                        PendingMachine { flavor: rental.flavor, zone: rental.zone.clone(), spot: rental.spot };
                    self.kinds.insert(id.clone(), pending_machine.clone());
                    self.expected.entry(id).or_insert(Expected {
                        partition,
                        pending_machine,
                        since_ms: now,
                        listed: false,
                    });
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

    /// Which partition each machine on its way is for, where that is not the leader's.
    pub fn destined(&self, leader: u32) -> HashMap<String, u32> {
        self.expected.iter().filter(|(_, e)| e.partition != leader).map(|(id, e)| (id.clone(), e.partition)).collect()
    }

    /// Takes a list of machines; returns those to be released: failed ones,
    /// and those that never come up.
    pub fn listed(&mut self, list: &[Listed], partition: &Partition, now: u64) -> Vec<CloudOp> {
        self.listed_once = true;
        let cluster = &partition.cluster;
        let mut drop = Vec::new();
        for l in list {
            if self.gone.contains(&l.id) || self.releasing.contains(&l.id) {
                continue;
            }
            if l.failed() {
                drop.push(l.id.clone());
                continue;
            }
            let Some(flavor) = cluster.flavor(&l.flavor) else { continue };
            let kind = PendingMachine { flavor, zone: l.zone.clone(), spot: l.spot };
            self.kinds.insert(l.id.clone(), kind);
            if cluster.host_index.contains_key(&l.id) || partition.elsewhere.contains_key(&l.id) {
                continue;
            }
            let age_ms = (l.age_s * 1000.0) as u64;
            let pending_machine = PendingMachine { flavor, zone: l.zone.clone(), spot: l.spot };
            let e = self.expected.entry(l.id.clone()).or_insert(Expected {
                partition: partition.id,
                pending_machine,
                since_ms: now.saturating_sub(age_ms),
                listed: false,
            });
            e.listed = true;
            let patience = if l.booting() {
                (cluster.flavors[flavor].boot_s * MAX_BOOT_TIMES * 1000.0) as u64
            } else {
                // Up by the list, and never heard of.
                (cluster.flavors[flavor].boot_s * MAX_BOOT_TIMES * 500.0) as u64
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
fn flows(partition: &Partition, wall: u64) -> Vec<ClassFlow> {
    let boot_s = partition.cluster.flavors.iter().map(|f| f.boot_s).fold(1.0, f64::max);
    let window_s = 3.0 * boot_s;
    let since = wall.saturating_sub((window_s * 1000.0) as u64).max(partition.policy.start_ms);
    let span_s = (wall.saturating_sub(since) as f64 / 1000.0).max(boot_s);
    let mut sums: BTreeMap<&str, (&Spec, f64, f64)> = BTreeMap::new();
    for job in partition.cluster.jobs.iter().filter(|j| j.accepted_ms >= since) {
        let n = f64::from(job.spec.tasks);
        let s = sums.entry(&job.spec.class).or_insert((&job.spec, 0.0, 0.0));
        *s = (&job.spec, s.1 + n, s.2 + n * n);
    }
    sums.into_values()
        .map(|(spec, n, squares)| ClassFlow { spec: spec.clone(), rate: n / span_s, burst: squares / n })
        .collect()
}
