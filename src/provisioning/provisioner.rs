//! The provisioner's side of the cloud: which machines are coming, which requests
//! were refused, what to rent and return. Decisions come from `scheduling::plan`.

mod boots;
mod frame_sizes;
mod rentals;
#[cfg(test)]
mod tests;

use crate::control::partition::Partition;
use crate::model::*;
use crate::provisioning::boot_times::{BootTimes, MachineKind};
use crate::scheduling::{self, ClassFlow, ExpectedWork, PendingMachine, Rental, Supply};
use crate::transport::peer::{CapacityReport, Machines};
use boots::BootingMachine;
use rentals::RentalRequest;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the cloud is to be asked.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Rent machines.
    Rent {
        /// Name of the request, by which it can be repeated.
        name: String,
        /// The machines.
        rental: Rental,
        /// How long to wait before the request is sent.
        pause_ms: u64,
    },
    /// Return the machines with these ids.
    Release(Vec<String>),
    /// Have the machine's partition give it to another one.
    TransferHost {
        /// Partition that the machine belongs to.
        from: u32,
        /// Id of the machine.
        host: String,
        /// Partition that is to get it.
        to: u32,
    },
}

/// What the provisioner knows of rentals, of machines on their way and of the partitions' needs.
#[derive(Debug, Default)]
pub struct Provisioner {
    /// Rental requests without a known outcome, by name.
    renting: BTreeMap<String, RentalRequest>,
    /// What the other partitions said last, and when.
    capacity_reports: BTreeMap<u32, (u64, CapacityReport)>,
    /// Machines asked to move, until when that is remembered.
    moving: HashMap<String, (u32, PendingMachine, u64)>,
    booting: HashMap<String, BootingMachine>,
    boot_times: BootTimes,
    /// When machines on their way were last looked after.
    last_round_ms: u64,
    /// From when on machines may be called late or given up.
    judges_from_ms: u64,
    refused: HashMap<(usize, String, bool), (u64, u64)>,
    terminating: HashSet<String>,
    gone: HashSet<String>,
    /// When a list shows what the last leader rented, and whether one was read since.
    dependency_listed_ms: Option<u64>,
    dependency_known: bool,
    /// What kind of machine each listed one is.
    kinds: HashMap<String, PendingMachine>,
    sequence: u64,
    lag_ms: u64,
    react_ms: u64,
    /// Counters that are to be raised, by name and label.
    events: Vec<(&'static str, String)>,
}

/// Most machines of one request, by the protocol.
const MAX_RENTED: usize = 50;
/// Most names of one release, by the protocol.
const MAX_RELEASED: usize = 100;

impl Provisioner {
    /// A leader that knows nothing yet; the cloud's list lags by up to `list_lag_s`.
    pub fn new(list_lag_s: f64) -> Provisioner {
        Provisioner { lag_ms: (list_lag_s * 1000.0) as u64, ..Provisioner::default() }
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
        let named = |instance_type: usize, zone: String, spot: bool| {
            Some(Machines {
                instance_type: partition.cluster().instance_types.get(instance_type)?.name.clone(),
                zone,
                spot,
                count: 1,
            })
        };
        let refused = self.refused.iter().filter(|(_, r)| now < r.0);
        let pending = pending_machines.into_iter().filter_map(|c| named(c.instance_type, c.zone, c.spot)).collect();
        (frame_sizes::machines_for_frame(pending), refused.filter_map(|(k, _)| named(k.0, k.1.clone(), k.2)).collect())
    }

    /// What the provisioner said can't be had now.
    pub fn set_refused(&mut self, refused: &[Machines], partition: &Partition, until_ms: u64) {
        self.refused.clear();
        for m in refused {
            if let Some(f) = partition.cluster().instance_type(&m.instance_type) {
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
    ) -> (CapacityReport, Vec<CloudRequest>) {
        for (name, label) in self.events.drain(..) {
            partition.metrics_mut().count(name, &label);
        }
        let flows = flows(partition, wall);
        let gone = |f: usize, z: &String| self.refused.get(&(f, z.clone(), false)).is_some_and(|r| now < r.0);
        let instance_types = partition.cluster().instance_types.iter().enumerate();
        let exhausted = instance_types.filter(|(i, f)| f.zones.iter().all(|z| gone(*i, z))).map(|(i, _)| i).collect();
        partition.set_exhausted(exhausted);
        partition.reserve_for_flows(&flows);
        let cluster = partition.cluster();
        let mut capacity_report = CapacityReport {
            partition: partition.id(),
            lowest_bin: partition.lowest_bin(wall),
            assumed: pending_machines.len(),
            wanted: Vec::new(),
            spare: Vec::new(),
        };
        let mut ops = Vec::new();
        if cluster.instance_types.is_empty() || !partition.is_inventory_known(now) {
            return (capacity_report, ops);
        }
        let upcoming = partition.upcoming(longest_boot_ms(cluster), now);
        let pool_replicas = partition.pool_replicas_without_machine(now);
        let plan = {
            let supply = self.supply(partition, now);
            let work = ExpectedWork {
                pending_jobs: partition.pending_jobs(),
                pool_replicas: &pool_replicas,
                upcoming: &upcoming,
                flows: &flows,
            };
            scheduling::plan(cluster, partition.policy(), now, &work, pending_machines, &supply)
        };
        let machines = |r: Rental| {
            let instance_type = cluster.instance_types[r.instance_type].name.clone();
            Machines { instance_type, zone: r.zone, spot: r.spot, count: r.count }
        };
        capacity_report.wanted = plan.rent.into_iter().map(machines).collect();
        let mut idle: Vec<String> = Vec::new();
        for host_index in plan.spare {
            let Some(h) = cluster.host(host_index) else { continue };
            let Some(boot_s) = h.instance_type.map(|f| cluster.instance_types[f].boot_s) else { continue };
            let keep = (partition.policy().idle_keep * boot_s * 1000.0) as u64;
            if now > h.idle_since_ms + keep {
                idle.push(h.id.clone());
            } else {
                capacity_report.spare.push(h.id.clone());
            }
        }
        for (_, h) in cluster.each_host() {
            if h.attempts.is_empty() && (h.preemption_notice || h.draining || h.faulty()) {
                idle.push(h.id.clone());
            }
        }
        capacity_report.spare = frame_sizes::names_for_frame(capacity_report.spare);
        ops.extend(self.release(idle));
        for d in &plan.drain {
            partition.drain(d, now);
        }
        (capacity_report, ops)
    }

    /// How each kind of machine can be had now, by what was refused and how boots went.
    fn supply<'a>(&'a self, partition: &'a Partition, now: u64) -> impl Fn(usize, &str, bool) -> Supply + 'a {
        let late = self.late_by_kind();
        move |instance_type, zone, spot| {
            if self.refused.get(&(instance_type, zone.to_string(), spot)).is_some_and(|r| now < r.0) {
                return Supply::Refused;
            }
            let kind = MachineKind { instance_type, zone: zone.to_string(), spot };
            let nominal_ms = boots::nominal_boot_ms(&partition.cluster().instance_types[instance_type]);
            let late = late.get(&kind).copied().unwrap_or(0);
            Supply::Available { cost_factor: self.boot_times.cost_factor(&kind, nominal_ms, late, now) }
        }
    }

    /// The provisioner's round over the needs of all partitions, the one with the lowest
    /// waiting bin first: free machines of other partitions move to it, the rest is
    /// rented. Nothing is rented before a list was read that shows what the last leader
    /// rented, for its machines may be on their way.
    pub fn lead(
        &mut self,
        own: CapacityReport,
        partition: &Partition,
        now: u64,
        patience_ms: u64,
    ) -> Vec<CloudRequest> {
        let cluster = partition.cluster();
        let mut ops = Vec::new();
        if !self.dependency_known || cluster.instance_types.is_empty() {
            return ops;
        }
        self.capacity_reports.retain(|_, n| now < n.0 + patience_ms);
        self.capacity_reports.insert(partition.id(), (now, own));
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
                let Some(instance_type) = cluster.instance_type(&m.instance_type) else { continue };
                let like = PendingMachine { instance_type, zone: m.zone.clone(), spot: m.spot };
                let mut left = m.count;
                while left > 0 {
                    let fits = |(q, h): &(u32, String)| *q != p && self.kinds.get(h) == Some(&like);
                    let Some(i) = spare.iter().position(fits) else { break };
                    let (from, host) = spare.swap_remove(i);
                    self.moving.insert(host.clone(), (p, like.clone(), now + patience_ms));
                    ops.push(CloudRequest::TransferHost { from, host, to: p });
                    left -= 1;
                }
                let key = (instance_type, m.zone.clone(), m.spot);
                if left == 0 || self.refused.get(&key).is_some_and(|r| now < r.0) {
                    continue;
                }
                let rental = Rental { instance_type, zone: m.zone, spot: m.spot, count: left.min(MAX_RENTED) };
                self.sequence += 1;
                let name = format!("r-{}-{}", partition.fencing_token(), self.sequence);
                tracing::info!(
                    name,
                    instance_type = m.instance_type,
                    zone = rental.zone,
                    spot = rental.spot,
                    count = rental.count,
                    "renting"
                );
                self.renting.insert(name.clone(), RentalRequest::new(p, rental.clone()));
                ops.push(CloudRequest::Rent { name, rental, pause_ms: 0 });
            }
        }
        ops
    }

    /// Asks for the return of machines that are not being returned yet.
    pub fn release(&mut self, ids: impl IntoIterator<Item = String>) -> Vec<CloudRequest> {
        let new: Vec<String> = ids.into_iter().filter(|id| self.terminating.insert(id.clone())).collect();
        new.chunks(MAX_RELEASED).map(|c| CloudRequest::Release(c.to_vec())).collect()
    }

    /// Notes that the cloud has confirmed the return of these machines.
    pub fn released(&mut self, ids: &[String]) {
        for id in ids {
            self.kinds.remove(id);
            self.terminating.remove(id);
            self.booting.remove(id);
            self.gone.insert(id.clone());
        }
    }
}

fn longest_boot_ms(cluster: &ClusterState) -> u64 {
    (cluster.instance_types.iter().map(|f| f.boot_s).fold(0.0, f64::max) * 1000.0) as u64
}

/// Arrivals of each class within the longest boot, from what was accepted.
fn flows(partition: &Partition, wall: u64) -> Vec<ClassFlow> {
    let boot_s = partition.cluster().instance_types.iter().map(|f| f.boot_s).fold(1.0, f64::max);
    let window_s = 3.0 * boot_s;
    let since = wall.saturating_sub((window_s * 1000.0) as u64).max(partition.policy().start_ms);
    let span_s = (wall.saturating_sub(since) as f64 / 1000.0).max(boot_s);
    let mut sums: BTreeMap<&str, (&Spec, f64, f64)> = BTreeMap::new();
    for job in partition.cluster().jobs.iter().filter(|j| j.accepted_ms >= since) {
        let n = f64::from(job.spec.tasks);
        let s = sums.entry(&job.spec.class).or_insert((&job.spec, 0.0, 0.0));
        *s = (&job.spec, s.1 + n, s.2 + n * n);
    }
    sums.into_values()
        .map(|(spec, n, squares)| ClassFlow { spec: spec.clone(), rate: n / span_s, burst: squares / n })
        .collect()
}
