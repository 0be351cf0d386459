//! Machines that were rented and have not reported yet: which of them are on their way,
//! which are late, and which will never come up.

use super::{CloudRequest, Provisioner};
use crate::control::partition::Partition;
use crate::model::FencingToken;
use crate::model::InstanceType;
use crate::provisioning::boot_times::MachineKind;
use crate::scheduling::PendingMachine;
use crate::wire::ListedInstance;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A rented machine that was not listed within this multiple of the list's lag is gone.
/// The list lags by up to twice its usual lag.
const UNLISTED_LAGS: u64 = 4;
/// A listed machine that a later list lacks is gone once it was listed for this multiple
/// of the list's lag: until then the later list may be an older one.
const RELISTED_LAGS: u64 = 2;
/// At least this share of the machines that are asked for or booting counts as capacity,
/// late or not. So what is on its way for a need never exceeds the need over this share,
/// also if all machines are late, and their replacements too.
const LEAST_COUNTED: f64 = 0.5;
/// A leader that made no round for this multiple of `react_ms` stood still, or has just
/// begun: reports of machines that came up meanwhile are still to be read.
const STALL_RATIO: u64 = 3;
/// The least lag that is reckoned with.
const LEAST_LAG_MS: u64 = 1000;

/// A machine that is listed or rented and has not reported yet.
#[derive(Debug, Clone)]
pub(super) struct BootingMachine {
    partition: u32,
    kind: PendingMachine,
    /// When it was rented, as far as is known.
    since_ms: u64,
    /// When it was first listed.
    listed_ms: Option<u64>,
    /// When it was first listed as up.
    running_ms: Option<u64>,
    /// It was seen before it was up, so that its boot time can be told.
    timed: bool,
    /// It takes longer than its kind usually does.
    late: bool,
}

impl BootingMachine {
    /// The answer to a rental request names it.
    pub(super) fn rented(partition: u32, kind: PendingMachine, now: u64) -> BootingMachine {
        BootingMachine { partition, kind, since_ms: now, listed_ms: None, running_ms: None, timed: true, late: false }
    }

    fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.since_ms)
    }

    /// Takes what a list says of it.
    fn listed(&mut self, entry: &ListedInstance, now: u64) {
        self.listed_ms.get_or_insert(now);
        let age_ms = (entry.age_s * 1000.0) as u64;
        self.since_ms = self.since_ms.min(now.saturating_sub(age_ms));
        if !entry.booting() {
            self.running_ms.get_or_insert(now);
        }
    }

    /// Must it be gone, as the list of now lacks it?
    fn is_gone(&self, lag_ms: u64, now: u64) -> bool {
        let lag_ms = lag_ms.max(LEAST_LAG_MS);
        match self.listed_ms {
            Some(first_ms) => now >= first_ms + RELISTED_LAGS * lag_ms,
            None => now >= self.since_ms + UNLISTED_LAGS * lag_ms,
        }
    }
}

impl MachineKind {
    pub(super) fn of(pending_machines: &PendingMachine) -> MachineKind {
        MachineKind {
            instance_type: pending_machines.instance_type,
            zone: pending_machines.zone.clone(),
            spot: pending_machines.spot,
        }
    }
}

/// The nominal boot time of a machine type.
pub(super) fn nominal_boot_ms(instance_type: &InstanceType) -> u64 {
    (instance_type.boot_s * 1000.0) as u64
}

impl Provisioner {
    /// Machines that are on their way to a partition and count as its capacity.
    pub fn pending_machines(
        &mut self,
        to: u32,
        partition: &Partition,
        now: u64,
        patience_ms: u64,
    ) -> Vec<PendingMachine> {
        self.note_round(partition, now, patience_ms);
        self.note_arrivals(partition, now, patience_ms);
        self.note_late(partition, now);
        self.moving.retain(|_, m| now < m.2);
        let mut pending_machines: Vec<PendingMachine> = Vec::new();
        for r in self.renting.values().filter(|r| r.partition == to).map(|r| &r.rental) {
            let one = PendingMachine { instance_type: r.instance_type, zone: r.zone.clone(), spot: r.spot };
            pending_machines.extend(std::iter::repeat_n(one, r.count));
        }
        pending_machines.extend(self.booting_capacity(to, pending_machines.len()));
        pending_machines.extend(self.moving.values().filter(|m| m.0 == to).map(|m| m.1.clone()));
        pending_machines
    }

    /// Booting machines that count as capacity of a partition; `requested` more are asked for.
    /// A late machine does not count, so that another is rented in its place. But if too
    /// many are late, the youngest of them count all the same: see `LEAST_COUNTED`.
    fn booting_capacity(&self, to: u32, requested: usize) -> Vec<PendingMachine> {
        let booting = self.booting.values().filter(|b| b.partition == to);
        let (mut late, mut counted): (Vec<_>, Vec<_>) = booting.partition(|b| b.late);
        let outstanding = requested + late.len() + counted.len();
        let least = (outstanding as f64 * LEAST_COUNTED).floor() as usize;
        let missing = least.saturating_sub(requested + counted.len());
        late.sort_by_key(|b| Reverse(b.since_ms));
        counted.extend(late.into_iter().take(missing));
        counted.into_iter().map(|b| b.kind.clone()).collect()
    }

    /// Judges anew which machines are late.
    fn note_late(&mut self, partition: &Partition, now: u64) {
        if now < self.judges_from_ms {
            return;
        }
        for (id, machine) in &mut self.booting {
            let kind = MachineKind::of(&machine.kind);
            let nominal_ms = nominal_boot_ms(&partition.cluster().instance_types[kind.instance_type]);
            let age_ms = machine.age_ms(now);
            let late = self.boot_times.is_late(&kind, nominal_ms, age_ms, now);
            if late && !machine.late {
                tracing::info!(host = id, zone = kind.zone, spot = kind.spot, age_ms, "machine is late");
                self.events.push(("boots_late", kind_label(partition, &kind)));
            }
            machine.late = late;
        }
    }

    /// How many machines of each kind are late.
    pub(super) fn late_by_kind(&self) -> HashMap<MachineKind, usize> {
        let mut late: HashMap<MachineKind, usize> = HashMap::new();
        for machine in self.booting.values().filter(|b| b.late) {
            *late.entry(MachineKind::of(&machine.kind)).or_default() += 1;
        }
        late
    }

    /// Notes when this leader began: what its dependency rented just before is listed a
    /// lag later. The very first leader has none.
    fn note_begin(&mut self, partition: &Partition, now: u64) {
        let lag_ms = if partition.fencing_token() > FencingToken::FIRST { self.lag_ms } else { 0 };
        self.dependency_listed_ms.get_or_insert(now + lag_ms);
    }

    /// Judges no machine for a while after rounds were missed.
    fn note_round(&mut self, partition: &Partition, now: u64, patience_ms: u64) {
        self.note_begin(partition, now);
        self.react_ms = partition.policy().react_ms;
        if now > self.last_round_ms + STALL_RATIO * partition.policy().react_ms {
            self.judges_from_ms = now + patience_ms;
        }
        self.last_round_ms = now;
    }

    /// Takes machines that reported from the books, and their boot times.
    fn note_arrivals(&mut self, partition: &Partition, now: u64, patience_ms: u64) {
        let up: Vec<String> = self.booting.keys().filter(|id| is_up(partition, id)).cloned().collect();
        for id in up {
            let Some(machine) = self.booting.remove(&id) else { continue };
            if machine.timed {
                self.boot_times.came_up(&MachineKind::of(&machine.kind), machine.age_ms(now), now);
            }
            // One that is up for another partition is still on its way there for a while.
            if machine.partition != partition.id() {
                self.moving.insert(id, (machine.partition, machine.kind, now + patience_ms));
            }
        }
    }

    /// Which partition each machine on its way is for, where that is not the provisioner's.
    pub fn pending_transfers(&self, provisioner: u32) -> HashMap<String, u32> {
        self.booting
            .iter()
            .filter(|(_, b)| b.partition != provisioner)
            .map(|(id, b)| (id.clone(), b.partition))
            .collect()
    }

    /// Takes a list of machines; returns those to be released: failed ones,
    /// and those that never come up.
    pub fn listed(&mut self, list: &[ListedInstance], partition: &Partition, now: u64) -> Vec<CloudRequest> {
        self.note_begin(partition, now);
        self.dependency_known |= self.dependency_listed_ms.is_some_and(|t| now >= t);
        self.forget_abandoned(now);
        let mut drop = Vec::new();
        for entry in list {
            if self.gone.contains(&entry.id) || self.terminating.contains(&entry.id) {
                continue;
            }
            if entry.failed() {
                self.boot_failed(&entry.id, partition, now);
                drop.push(entry.id.clone());
                continue;
            }
            let Some(instance_type) = partition.cluster().instance_type(&entry.instance_type) else { continue };
            let kind = PendingMachine { instance_type, zone: entry.zone.clone(), spot: entry.spot };
            self.kinds.insert(entry.id.clone(), kind.clone());
            if is_up(partition, &entry.id) {
                continue;
            }
            let machine = self.booting.entry(entry.id.clone()).or_insert_with(|| BootingMachine {
                timed: entry.booting(),
                ..BootingMachine::rented(partition.id(), kind, now)
            });
            machine.listed(entry, now);
            if now >= self.judges_from_ms && self.never_comes_up(&entry.id, partition, now) {
                tracing::info!(host = entry.id, "machine does not come up, releasing it");
                self.boot_failed(&entry.id, partition, now);
                drop.push(entry.id.clone());
            }
        }
        let lag_ms = self.lag_ms;
        let names: HashSet<&str> = list.iter().map(|l| l.id.as_str()).collect();
        self.booting.retain(|id, b| names.contains(id.as_str()) || !b.is_gone(lag_ms, now));
        self.release(drop)
    }

    /// How long a machine is expected to take until it is up, whatever its kind: by the boots that
    /// were seen lately, or by the nominal time.
    pub fn expected_boot_ms(&self, partition: &Partition, now: u64) -> u64 {
        let kinds = partition.cluster().instance_types.iter().enumerate().flat_map(|(instance_type, f)| {
            let nominal_ms = nominal_boot_ms(f);
            let of_zone = move |zone: &String| {
                [false, true].map(|spot| (MachineKind { instance_type, zone: zone.clone(), spot }, nominal_ms))
            };
            f.zones.iter().flat_map(of_zone)
        });
        kinds.map(|(kind, nominal_ms)| self.boot_times.expected_ms(&kind, nominal_ms, now)).max().unwrap_or(0)
    }

    /// Notes a failed boot, unless the machine was up before.
    fn boot_failed(&mut self, id: &str, partition: &Partition, now: u64) {
        if let Some(machine) = self.booting.remove(id) {
            let kind = MachineKind::of(&machine.kind);
            self.boot_times.failed(&kind, now);
            self.events.push(("boots_failed", kind_label(partition, &kind)));
        }
    }

    /// Is the machine given up? One that is up by the list may be out of our reach: it is
    /// given a lease, and the time that its boot was expected to take.
    fn never_comes_up(&self, id: &str, partition: &Partition, now: u64) -> bool {
        let Some(machine) = self.booting.get(id) else { return false };
        let kind = MachineKind::of(&machine.kind);
        let nominal_ms = nominal_boot_ms(&partition.cluster().instance_types[kind.instance_type]);
        match machine.running_ms {
            Some(running_ms) => {
                let expected_ms = self.boot_times.expected_ms(&kind, nominal_ms, now);
                now.saturating_sub(running_ms) > expected_ms.max(partition.policy().lease_ms)
            }
            None => self.boot_times.is_lost(&kind, nominal_ms, machine.age_ms(now), now),
        }
    }
}

/// The label of counters for machines of one type in one zone.
fn kind_label(partition: &Partition, kind: &MachineKind) -> String {
    format!("{}/{}", partition.cluster().instance_types[kind.instance_type].name, kind.zone)
}

/// Has the machine reported, to any partition?
fn is_up(partition: &Partition, id: &str) -> bool {
    partition.knows_host(id)
}
