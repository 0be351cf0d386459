//! Booting machines: which of those that were requested and have not reported yet are coming, which are
//! late, and which will never come up.

use super::distribution::PendingTransfer;
use super::{CloudRequest, Provisioner};
use crate::control::partition::Partition;
use crate::model::FencingToken;
use crate::model::{InstanceOffering, InstanceType};
use crate::wire::ListedInstance;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A requested machine that was not listed within this multiple of the list's lag is gone. The list lags
/// by up to twice its usual lag.
const UNLISTED_LAGS: u64 = 4;
/// A listed machine that a later list lacks is gone once it was listed for this multiple of the list's
/// lag: until then the later list may be an older one.
const RELISTED_LAGS: u64 = 2;
/// At least this share of the machines that are requested or booting counts as capacity, late or not. So
/// what is coming for a need never exceeds the need over this share, also if all machines are late, and
/// their replacements too.
const LEAST_COUNTED: f64 = 0.5;
/// A leader that made no round for this multiple of `react_ms` stalled, or has just begun: heartbeats of
/// machines that came up meanwhile are still to be read.
const STALL_RATIO: u64 = 3;
/// The least lag of the list that is reckoned with.
const LEAST_LAG_MS: u64 = 1000;

/// A machine that is listed or requested and has not reported yet.
#[derive(Debug, Clone)]
pub(super) struct BootingHost {
    /// The partition that it is for.
    partition: u32,
    offering: InstanceOffering,
    /// When it was requested, as far as is known.
    since_ms: u64,
    /// When it was first listed.
    listed_ms: Option<u64>,
    /// When it was first listed as up.
    running_ms: Option<u64>,
    /// It was seen before it was up, so that its boot time is known.
    timed: bool,
    /// It takes longer than machines of its offering usually do.
    late: bool,
}

impl BootingHost {
    /// The answer to a request names it.
    pub(super) fn requested(partition: u32, offering: InstanceOffering, now: u64) -> BootingHost {
        BootingHost { partition, offering, since_ms: now, listed_ms: None, running_ms: None, timed: true, late: false }
    }

    fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.since_ms)
    }

    /// Takes in its entry in a list.
    fn note_listed(&mut self, entry: &ListedInstance, now: u64) {
        self.listed_ms.get_or_insert(now);
        let age_ms = (entry.age_s * 1000.0) as u64;
        self.since_ms = self.since_ms.min(now.saturating_sub(age_ms));
        if !entry.booting() {
            self.running_ms.get_or_insert(now);
        }
    }

    /// Must it be gone, as the list of now lacks it?
    fn is_gone(&self, list_lag_ms: u64, now: u64) -> bool {
        let lag_ms = list_lag_ms.max(LEAST_LAG_MS);
        match self.listed_ms {
            Some(first_ms) => now >= first_ms + RELISTED_LAGS * lag_ms,
            None => now >= self.since_ms + UNLISTED_LAGS * lag_ms,
        }
    }
}

impl Provisioner {
    /// Machines that are coming to a partition and count as its capacity, one entry each. A machine that
    /// is up for another partition counts there for `report_ttl_ms`.
    pub fn pending_machines(
        &mut self,
        to: u32,
        partition: &Partition,
        now: u64,
        report_ttl_ms: u64,
    ) -> Vec<InstanceOffering> {
        self.note_round(partition, now, report_ttl_ms);
        self.note_arrivals(partition, now, report_ttl_ms);
        self.note_late(partition, now);
        self.transfers.retain(|_, transfer| now < transfer.until_ms);
        let mut pending: Vec<InstanceOffering> = Vec::new();
        for request in self.scale_outs.values().filter(|request| request.partition == to) {
            let scale_out = &request.scale_out;
            pending.extend(std::iter::repeat_n(scale_out.offering.clone(), scale_out.count));
        }
        pending.extend(self.booting_capacity(to, pending.len()));
        let transfers = self.transfers.values().filter(|transfer| transfer.to == to);
        pending.extend(transfers.map(|transfer| transfer.offering.clone()));
        pending
    }

    /// Booting machines that count as capacity of a partition; `requested` more are requested. A late
    /// machine does not count, so that another is requested in its place. But if too many are late, the
    /// youngest of them count all the same: see `LEAST_COUNTED`.
    fn booting_capacity(&self, to: u32, requested: usize) -> Vec<InstanceOffering> {
        let booting = self.booting.values().filter(|host| host.partition == to);
        let (mut late, mut counted): (Vec<_>, Vec<_>) = booting.partition(|host| host.late);
        let outstanding = requested + late.len() + counted.len();
        let least = (outstanding as f64 * LEAST_COUNTED).floor() as usize;
        let missing = least.saturating_sub(requested + counted.len());
        late.sort_by_key(|host| Reverse(host.since_ms));
        counted.extend(late.into_iter().take(missing));
        counted.into_iter().map(|host| host.offering.clone()).collect()
    }

    /// Judges anew which machines are late.
    fn note_late(&mut self, partition: &Partition, now: u64) {
        if now < self.judges_from_ms {
            return;
        }
        for (id, host) in &mut self.booting {
            let offering = &host.offering;
            let age_ms = host.age_ms(now);
            let late = self.boot_times.is_late(offering, nominal_boot_ms(partition, offering), age_ms, now);
            if late && !host.late {
                tracing::info!(host = id, zone = offering.zone, spot = offering.spot, age_ms, "machine is late");
                self.counts.push(("boots_late", offering_label(partition, offering)));
            }
            host.late = late;
        }
    }

    /// How many machines of each offering are late.
    pub(super) fn late_by_offering(&self) -> HashMap<InstanceOffering, usize> {
        let mut late: HashMap<InstanceOffering, usize> = HashMap::new();
        for host in self.booting.values().filter(|host| host.late) {
            *late.entry(host.offering.clone()).or_default() += 1;
        }
        late
    }

    /// Notes when this leader began: what its predecessor requested just before is listed a lag later.
    /// The very first leader has none.
    fn note_begin(&mut self, partition: &Partition, now: u64) {
        let lag_ms = if partition.fencing_token() > FencingToken::FIRST { self.list_lag_ms } else { 0 };
        self.predecessor_listed_ms.get_or_insert(now + lag_ms);
    }

    /// Judges no machine for a while after rounds were missed.
    fn note_round(&mut self, partition: &Partition, now: u64, report_ttl_ms: u64) {
        self.note_begin(partition, now);
        self.react_ms = partition.policy().react_ms;
        if now > self.last_round_ms + STALL_RATIO * partition.policy().react_ms {
            self.judges_from_ms = now + report_ttl_ms;
        }
        self.last_round_ms = now;
    }

    /// Notes which machines reported, and their boot times.
    fn note_arrivals(&mut self, partition: &Partition, now: u64, report_ttl_ms: u64) {
        let up: Vec<String> = self.booting.keys().filter(|id| is_up(partition, id)).cloned().collect();
        for id in up {
            let Some(host) = self.booting.remove(&id) else { continue };
            if host.timed {
                self.boot_times.came_up(&host.offering, host.age_ms(now), now);
            }
            // One that is up for another partition is still coming there for a while.
            if host.partition != partition.id() {
                let until_ms = now + report_ttl_ms;
                let transfer = PendingTransfer { to: host.partition, offering: host.offering, until_ms };
                self.transfers.insert(id, transfer);
            }
        }
    }

    /// Which partition each booting machine is for, where that is not the provisioner's.
    pub fn pending_transfers(&self, provisioner: u32) -> HashMap<String, u32> {
        let for_others = self.booting.iter().filter(|(_, host)| host.partition != provisioner);
        for_others.map(|(id, host)| (id.clone(), host.partition)).collect()
    }

    /// Takes in a list of machines; returns those to be returned: failed ones, and those that never come
    /// up.
    pub fn process_list(&mut self, list: &[ListedInstance], partition: &Partition, now: u64) -> Vec<CloudRequest> {
        self.note_begin(partition, now);
        self.predecessor_known |= self.predecessor_listed_ms.is_some_and(|listed_ms| now >= listed_ms);
        self.forget_abandoned(now);
        let mut failed = Vec::new();
        for entry in list {
            if self.process_entry(entry, partition, now) == BootState::Failed {
                failed.push(entry.id.clone());
            }
        }
        let list_lag_ms = self.list_lag_ms;
        let listed: HashSet<&str> = list.iter().map(|entry| entry.id.as_str()).collect();
        self.booting.retain(|id, host| listed.contains(id.as_str()) || !host.is_gone(list_lag_ms, now));
        self.terminate(failed)
    }

    /// Takes in one entry of a list.
    fn process_entry(&mut self, entry: &ListedInstance, partition: &Partition, now: u64) -> BootState {
        if self.terminated.contains(&entry.id) || self.terminating.contains(&entry.id) {
            return BootState::Settled;
        }
        if entry.failed() {
            self.boot_failed(&entry.id, partition, now);
            return BootState::Failed;
        }
        let Some(instance_type) = partition.cluster().instance_type(&entry.instance_type) else {
            return BootState::Settled;
        };
        let offering = InstanceOffering { instance_type, zone: entry.zone.clone(), spot: entry.spot };
        self.offerings.insert(entry.id.clone(), offering.clone());
        if is_up(partition, &entry.id) {
            return BootState::Settled;
        }
        let host = self.booting.entry(entry.id.clone()).or_insert_with(|| BootingHost {
            timed: entry.booting(),
            ..BootingHost::requested(partition.id(), offering, now)
        });
        host.note_listed(entry, now);
        if now < self.judges_from_ms || !self.never_comes_up(&entry.id, partition, now) {
            return BootState::Booting;
        }
        tracing::info!(host = entry.id, "machine does not come up, releasing it");
        self.boot_failed(&entry.id, partition, now);
        BootState::Failed
    }

    /// How long a machine is expected to take until it is up, whatever its offering: by the boots that
    /// were seen lately, or by the nominal time.
    pub fn expected_boot_ms(&self, partition: &Partition, now: u64) -> u64 {
        let instance_types = partition.cluster().instance_types.iter().enumerate();
        let offerings = instance_types.flat_map(|(index, instance_type)| offerings(index, instance_type));
        let expected_ms = |offering: InstanceOffering| {
            self.boot_times.expected_ms(&offering, nominal_boot_ms(partition, &offering), now)
        };
        offerings.map(expected_ms).max().unwrap_or(0)
    }

    /// Notes a failed boot, unless the machine was up before.
    fn boot_failed(&mut self, id: &str, partition: &Partition, now: u64) {
        if let Some(host) = self.booting.remove(id) {
            self.boot_times.failed(&host.offering, now);
            self.counts.push(("boots_failed", offering_label(partition, &host.offering)));
        }
    }

    /// Is the machine given up? One that is up by the list may be unreachable: it is given the time of a
    /// worker's lease, and the time that its boot was expected to take.
    fn never_comes_up(&self, id: &str, partition: &Partition, now: u64) -> bool {
        let Some(host) = self.booting.get(id) else { return false };
        let nominal_ms = nominal_boot_ms(partition, &host.offering);
        match host.running_ms {
            Some(running_ms) => {
                let expected_ms = self.boot_times.expected_ms(&host.offering, nominal_ms, now);
                now.saturating_sub(running_ms) > expected_ms.max(partition.policy().lease_ms)
            }
            None => self.boot_times.is_lost(&host.offering, nominal_ms, host.age_ms(now), now),
        }
    }
}

/// What an entry of a list shows of a boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BootState {
    /// The machine is up or being returned, or nothing can be told of it.
    Settled,
    Booting,
    /// It failed or never comes up: it is to be returned.
    Failed,
}

/// All offerings of an instance type.
fn offerings(index: usize, instance_type: &InstanceType) -> impl Iterator<Item = InstanceOffering> {
    let of_zone = move |zone: &String| {
        [false, true].map(|spot| InstanceOffering { instance_type: index, zone: zone.clone(), spot })
    };
    instance_type.zones.iter().flat_map(of_zone)
}

fn nominal_boot_ms(partition: &Partition, offering: &InstanceOffering) -> u64 {
    partition.cluster().instance_types[offering.instance_type].boot_ms()
}

/// The label of counters for machines of one type in one zone.
fn offering_label(partition: &Partition, offering: &InstanceOffering) -> String {
    format!("{}/{}", partition.cluster().instance_types[offering.instance_type].name, offering.zone)
}

/// Has the machine reported, to any partition?
fn is_up(partition: &Partition, id: &str) -> bool {
    partition.knows_host(id)
}
