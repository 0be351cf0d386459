//! Machines that were rented and have not reported yet: which of them are on their way,
//! which are late, and which will never come up.

use super::{CloudOp, Leader};
use crate::boot_times::MachineKind;
use crate::model::Flavor;
use crate::part::Part;
use crate::sched::Coming;
use crate::wire::Listed;
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
/// The term of a holder before which nobody held a part.
const FIRST_TERM: u64 = 1;
/// The least lag that is reckoned with.
const LEAST_LAG_MS: u64 = 1000;

/// A machine that is listed or rented and has not reported yet.
#[derive(Debug, Clone)]
pub(super) struct BootingMachine {
    part: u32,
    kind: Coming,
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
    pub(super) fn rented(part: u32, kind: Coming, now: u64) -> BootingMachine {
        BootingMachine { part, kind, since_ms: now, listed_ms: None, running_ms: None, timed: true, late: false }
    }

    fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.since_ms)
    }

    /// Takes what a list says of it.
    fn listed(&mut self, entry: &Listed, now: u64) {
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
    pub(super) fn of(coming: &Coming) -> MachineKind {
        MachineKind { flavor: coming.flavor, zone: coming.zone.clone(), spot: coming.spot }
    }
}

/// The nominal boot time of a machine type.
pub(super) fn nominal_boot_ms(flavor: &Flavor) -> u64 {
    (flavor.boot_s * 1000.0) as u64
}

impl Leader {
    /// Machines that are on their way to a part and count as its capacity.
    pub fn coming(&mut self, to: u32, part: &Part, now: u64, patience_ms: u64) -> Vec<Coming> {
        self.note_round(part, now, patience_ms);
        self.note_arrivals(part, now, patience_ms);
        self.note_late(part, now);
        self.moving.retain(|_, m| now < m.2);
        let mut coming: Vec<Coming> = Vec::new();
        for r in self.renting.values().filter(|r| r.part == to).map(|r| &r.rental) {
            let one = Coming { flavor: r.flavor, zone: r.zone.clone(), spot: r.spot };
            coming.extend(std::iter::repeat_n(one, r.count));
        }
        coming.extend(self.booting_capacity(to, coming.len()));
        coming.extend(self.moving.values().filter(|m| m.0 == to).map(|m| m.1.clone()));
        coming
    }

    /// Booting machines that count as capacity of a part; `requested` more are asked for.
    /// A late machine does not count, so that another is rented in its place. But if too
    /// many are late, the youngest of them count all the same: see `LEAST_COUNTED`.
    fn booting_capacity(&self, to: u32, requested: usize) -> Vec<Coming> {
        let booting = self.booting.values().filter(|b| b.part == to);
        let (mut late, mut counted): (Vec<_>, Vec<_>) = booting.partition(|b| b.late);
        let outstanding = requested + late.len() + counted.len();
        let least = (outstanding as f64 * LEAST_COUNTED).floor() as usize;
        let missing = least.saturating_sub(requested + counted.len());
        late.sort_by_key(|b| Reverse(b.since_ms));
        counted.extend(late.into_iter().take(missing));
        counted.into_iter().map(|b| b.kind.clone()).collect()
    }

    /// Judges anew which machines are late.
    fn note_late(&mut self, part: &Part, now: u64) {
        if now < self.judges_from_ms {
            return;
        }
        for (id, machine) in &mut self.booting {
            let kind = MachineKind::of(&machine.kind);
            let nominal_ms = nominal_boot_ms(&part.world.flavors[kind.flavor]);
            let age_ms = machine.age_ms(now);
            let late = self.boot_times.is_late(&kind, nominal_ms, age_ms, now);
            if late && !machine.late {
                tracing::info!(host = id, zone = kind.zone, spot = kind.spot, age_ms, "machine is late");
                self.events.push(("boots_late", kind_label(part, &kind)));
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

    /// Notes when this leader began: what its predecessor rented just before is listed a
    /// lag later. The very first leader has none.
    fn note_begin(&mut self, part: &Part, now: u64) {
        let lag_ms = if part.term > FIRST_TERM { self.lag_ms } else { 0 };
        self.predecessor_listed_ms.get_or_insert(now + lag_ms);
    }

    /// Judges no machine for a while after rounds were missed.
    fn note_round(&mut self, part: &Part, now: u64, patience_ms: u64) {
        self.note_begin(part, now);
        self.react_ms = part.policy.react_ms;
        if now > self.last_round_ms + STALL_RATIO * part.policy.react_ms {
            self.judges_from_ms = now + patience_ms;
        }
        self.last_round_ms = now;
    }

    /// Takes machines that reported from the books, and their boot times.
    fn note_arrivals(&mut self, part: &Part, now: u64, patience_ms: u64) {
        let up: Vec<String> = self.booting.keys().filter(|id| is_up(part, id)).cloned().collect();
        for id in up {
            let Some(machine) = self.booting.remove(&id) else { continue };
            if machine.timed {
                self.boot_times.came_up(&MachineKind::of(&machine.kind), machine.age_ms(now), now);
            }
            // One that is up for another part is still on its way there for a while.
            if machine.part != part.id {
                self.moving.insert(id, (machine.part, machine.kind, now + patience_ms));
            }
        }
    }

    /// Which part each machine on its way is for, where that is not the leader's.
    pub fn destined(&self, leader: u32) -> HashMap<String, u32> {
        self.booting.iter().filter(|(_, b)| b.part != leader).map(|(id, b)| (id.clone(), b.part)).collect()
    }

    /// Takes a list of machines; returns those to be released: failed ones,
    /// and those that never come up.
    pub fn listed(&mut self, list: &[Listed], part: &Part, now: u64) -> Vec<CloudOp> {
        self.note_begin(part, now);
        self.predecessor_known |= self.predecessor_listed_ms.is_some_and(|t| now >= t);
        self.forget_abandoned(now);
        let mut drop = Vec::new();
        for entry in list {
            if self.gone.contains(&entry.id) || self.releasing.contains(&entry.id) {
                continue;
            }
            if entry.failed() {
                self.boot_failed(&entry.id, part, now);
                drop.push(entry.id.clone());
                continue;
            }
            let Some(flavor) = part.world.flavor(&entry.flavor) else { continue };
            let kind = Coming { flavor, zone: entry.zone.clone(), spot: entry.spot };
            self.kinds.insert(entry.id.clone(), kind.clone());
            if is_up(part, &entry.id) {
                continue;
            }
            let machine = self.booting.entry(entry.id.clone()).or_insert_with(|| BootingMachine {
                timed: entry.booting(),
                ..BootingMachine::rented(part.id, kind, now)
            });
            machine.listed(entry, now);
            if now >= self.judges_from_ms && self.never_comes_up(&entry.id, part, now) {
                tracing::info!(host = entry.id, "machine does not come up, releasing it");
                self.boot_failed(&entry.id, part, now);
                drop.push(entry.id.clone());
            }
        }
        let lag_ms = self.lag_ms;
        let names: HashSet<&str> = list.iter().map(|l| l.id.as_str()).collect();
        self.booting.retain(|id, b| names.contains(id.as_str()) || !b.is_gone(lag_ms, now));
        self.release(drop)
    }

    /// Notes a failed boot, unless the machine was up before.
    fn boot_failed(&mut self, id: &str, part: &Part, now: u64) {
        if let Some(machine) = self.booting.remove(id) {
            let kind = MachineKind::of(&machine.kind);
            self.boot_times.failed(&kind, now);
            self.events.push(("boots_failed", kind_label(part, &kind)));
        }
    }

    /// Is the machine given up? One that is up by the list may be out of our reach: it is
    /// given a lease, and the time that its boot was expected to take.
    fn never_comes_up(&self, id: &str, part: &Part, now: u64) -> bool {
        let Some(machine) = self.booting.get(id) else { return false };
        let kind = MachineKind::of(&machine.kind);
        let nominal_ms = nominal_boot_ms(&part.world.flavors[kind.flavor]);
        match machine.running_ms {
            Some(running_ms) => {
                let expected_ms = self.boot_times.expected_ms(&kind, nominal_ms, now);
                now.saturating_sub(running_ms) > expected_ms.max(part.policy.lease_ms)
            }
            None => self.boot_times.is_lost(&kind, nominal_ms, machine.age_ms(now), now),
        }
    }
}

/// The label of counters for machines of one type in one zone.
fn kind_label(part: &Part, kind: &MachineKind) -> String {
    format!("{}/{}", part.world.flavors[kind.flavor].name, kind.zone)
}

/// Has the machine reported, to any part?
fn is_up(part: &Part, id: &str) -> bool {
    part.world.host_ix.contains_key(id) || part.elsewhere.contains_key(id)
}
