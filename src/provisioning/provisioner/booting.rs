//! Booting machines, which were requested and have not reported yet: which count as capacity, which are
//! late, and which boots have timed out.

use super::distribution::PendingTransfer;
use super::{CloudRequest, Provisioner};
use crate::control::partition::Partition;
use crate::model::FencingToken;
use crate::model::{InstanceOffering, InstanceType};
use crate::wire::ListedInstance;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Multiple of the list's usual lag after which a requested machine that was never listed is taken to be
/// gone. The list lags by up to twice its usual lag.
const UNLISTED_LAGS: u64 = 4;
/// Multiple of the list's usual lag, counted from the first list with a machine, after which a machine
/// that a list omits is taken to be gone. Before that, the list may show an older state.
const RELISTED_LAGS: u64 = 2;
/// Minimum share of the requested and booting machines that counts as capacity, even if they are late.
/// The number of outstanding machines therefore never exceeds the need divided by this share, even if all
/// machines and their replacements are late.
const MIN_COUNTED_SHARE: f64 = 0.5;
/// Multiple of `react_ms` without a round after which the leader is taken to have stalled or just begun.
/// Heartbeats of machines that came up in the meantime may then be unread.
const STALL_RATIO: u64 = 3;
/// Lower bound of the list's lag, in milliseconds, that is assumed.
const MIN_LAG_MS: u64 = 1000;

/// A machine that was requested or listed and has not reported yet.
#[derive(Debug, Clone)]
pub(super) struct BootingHost {
    /// Partition for which the machine was requested.
    partition: u32,
    offering: InstanceOffering,
    /// Time of its request; the earliest known time if the request itself is not known.
    since_ms: u64,
    /// Time at which it was first listed; `None` if it was not listed yet.
    listed_ms: Option<u64>,
    /// Time at which it was first listed as up; `None` if it was not.
    running_ms: Option<u64>,
    /// True if the machine became known before it was up, so that its boot time can be recorded.
    boot_time_known: bool,
    /// True if its boot takes clearly longer than usual for its offering.
    late: bool,
}

impl BootingHost {
    /// Creates the entry of a machine that became known at `now`.
    pub(super) fn requested(partition: u32, offering: InstanceOffering, now: u64) -> BootingHost {
        BootingHost {
            partition,
            offering,
            since_ms: now,
            listed_ms: None,
            running_ms: None,
            boot_time_known: true,
            late: false,
        }
    }

    fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.since_ms)
    }

    /// Updates the times from the machine's entry in a list.
    fn update_from_list(&mut self, entry: &ListedInstance, now: u64) {
        self.listed_ms.get_or_insert(now);
        let age_ms = (entry.age_s * 1000.0) as u64;
        self.since_ms = self.since_ms.min(now.saturating_sub(age_ms));
        if !entry.booting() {
            self.running_ms.get_or_insert(now);
        }
    }

    /// Returns whether the machine is certainly gone, given that the list read at `now` does not have it.
    fn is_gone(&self, list_lag_ms: u64, now: u64) -> bool {
        let lag_ms = list_lag_ms.max(MIN_LAG_MS);
        match self.listed_ms {
            Some(first_ms) => now >= first_ms + RELISTED_LAGS * lag_ms,
            None => now >= self.since_ms + UNLISTED_LAGS * lag_ms,
        }
    }
}

impl Provisioner {
    /// Returns the offerings of the machines that are requested, booting or being transferred for partition
    /// `to` and count as its capacity, one entry for each machine. A machine that has come up for another
    /// partition counts there for `report_ttl_ms`.
    pub fn pending_machines(
        &mut self,
        to: u32,
        partition: &Partition,
        now: u64,
        report_ttl_ms: u64,
    ) -> Vec<InstanceOffering> {
        self.record_round(partition, now, report_ttl_ms);
        self.record_reported_hosts(partition, now, report_ttl_ms);
        self.update_late_hosts(partition, now);
        self.transfers.retain(|_, transfer| now < transfer.until_ms);
        let mut pending: Vec<InstanceOffering> = Vec::new();
        for request in self.pending_scale_outs.values().filter(|request| request.partition == to) {
            let scale_out = &request.scale_out;
            pending.extend(std::iter::repeat_n(scale_out.offering.clone(), scale_out.count));
        }
        pending.extend(self.booting_capacity(to, pending.len()));
        let transfers = self.transfers.values().filter(|transfer| transfer.to == to);
        pending.extend(transfers.map(|transfer| transfer.offering.clone()));
        pending
    }

    /// Returns the offerings of the booting machines that count as capacity of partition `to`. `requested` is
    /// the number of further machines whose request has no known outcome. A late machine does not count, so
    /// that another is requested in its place. If too many are late, the most recently requested of them count
    /// nevertheless; see `MIN_COUNTED_SHARE`.
    fn booting_capacity(&self, to: u32, requested: usize) -> Vec<InstanceOffering> {
        let booting = self.booting.values().filter(|host| host.partition == to);
        let (mut late, mut counted): (Vec<_>, Vec<_>) = booting.partition(|host| host.late);
        let outstanding = requested + late.len() + counted.len();
        let min_counted = (outstanding as f64 * MIN_COUNTED_SHARE).floor() as usize;
        let missing = min_counted.saturating_sub(requested + counted.len());
        late.sort_by_key(|host| Reverse(host.since_ms));
        counted.extend(late.into_iter().take(missing));
        counted.into_iter().map(|host| host.offering.clone()).collect()
    }

    /// Recomputes which booting machines are late.
    fn update_late_hosts(&mut self, partition: &Partition, now: u64) {
        if now < self.boot_checks_from_ms {
            return;
        }
        for (id, host) in &mut self.booting {
            let offering = &host.offering;
            let age_ms = host.age_ms(now);
            let late = self.boot_times.is_late(offering, nominal_boot_ms(partition, offering), age_ms, now);
            if late && !host.late {
                tracing::info!(host = id, zone = offering.zone, spot = offering.spot, age_ms, "machine boot is late");
                self.pending_counts.push(("boots_late", offering_label(partition, offering)));
            }
            host.late = late;
        }
    }

    /// Returns the number of late machines by offering.
    pub(super) fn late_by_offering(&self) -> HashMap<InstanceOffering, usize> {
        let mut late: HashMap<InstanceOffering, usize> = HashMap::new();
        for host in self.booting.values().filter(|host| host.late) {
            *late.entry(host.offering.clone()).or_default() += 1;
        }
        late
    }

    /// Sets, at the first call, the time from which a list shows what the previous leader requested: one lag
    /// after this leader began, or at once for the first leader, which has no predecessor.
    fn set_predecessor_listed_time(&mut self, partition: &Partition, now: u64) {
        let lag_ms = if partition.fencing_token() > FencingToken::FIRST { self.list_lag_ms } else { 0 };
        self.predecessor_listed_ms.get_or_insert(now + lag_ms);
    }

    /// Records a round. If rounds were missed, no boot is considered late or timed out for
    /// `report_ttl_ms`.
    fn record_round(&mut self, partition: &Partition, now: u64, report_ttl_ms: u64) {
        self.set_predecessor_listed_time(partition, now);
        self.react_ms = partition.policy().react_ms;
        if now > self.last_round_ms + STALL_RATIO * partition.policy().react_ms {
            self.boot_checks_from_ms = now + report_ttl_ms;
        }
        self.last_round_ms = now;
    }

    /// Removes the machines that have reported from the booting ones and records their boot times.
    fn record_reported_hosts(&mut self, partition: &Partition, now: u64, report_ttl_ms: u64) {
        let up: Vec<String> = self.booting.keys().filter(|id| has_reported(partition, id)).cloned().collect();
        for id in up {
            let Some(host) = self.booting.remove(&id) else { continue };
            if host.boot_time_known {
                self.boot_times.record_boot(&host.offering, host.age_ms(now), now);
            }
            // A machine that came up for another partition counts there as pending for a while.
            if host.partition != partition.id() {
                let until_ms = now + report_ttl_ms;
                let transfer = PendingTransfer { to: host.partition, offering: host.offering, until_ms };
                self.transfers.insert(id, transfer);
            }
        }
    }

    /// Returns the partition of each booting machine that is not for partition `provisioner`, by machine id.
    pub fn pending_transfers(&self, provisioner: u32) -> HashMap<String, u32> {
        let for_others = self.booting.iter().filter(|(_, host)| host.partition != provisioner);
        for_others.map(|(id, host)| (id.clone(), host.partition)).collect()
    }

    /// Processes a list of the cloud's machines. Returns the requests that return machines whose boot failed
    /// or timed out.
    pub fn process_list(&mut self, list: &[ListedInstance], partition: &Partition, now: u64) -> Vec<CloudRequest> {
        self.set_predecessor_listed_time(partition, now);
        self.predecessor_requests_listed |= self.predecessor_listed_ms.is_some_and(|listed_ms| now >= listed_ms);
        self.remove_listed_abandoned(now);
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

    /// Processes one entry of a list and returns the state of the machine's boot.
    fn process_entry(&mut self, entry: &ListedInstance, partition: &Partition, now: u64) -> BootState {
        if self.terminated.contains(&entry.id) || self.terminating.contains(&entry.id) {
            return BootState::NotBooting;
        }
        if entry.failed() {
            self.record_failed_boot(&entry.id, partition, now);
            return BootState::Failed;
        }
        let Some(instance_type) = partition.cluster().instance_type(&entry.instance_type) else {
            return BootState::NotBooting;
        };
        let offering = InstanceOffering { instance_type, zone: entry.zone.clone(), spot: entry.spot };
        self.offering_by_host.insert(entry.id.clone(), offering.clone());
        if has_reported(partition, &entry.id) {
            return BootState::NotBooting;
        }
        let host = self.booting.entry(entry.id.clone()).or_insert_with(|| BootingHost {
            boot_time_known: entry.booting(),
            ..BootingHost::requested(partition.id(), offering, now)
        });
        host.update_from_list(entry, now);
        if now < self.boot_checks_from_ms || !self.has_boot_timed_out(&entry.id, partition, now) {
            return BootState::Booting;
        }
        tracing::info!(host = entry.id, "machine did not come up, returning it to the cloud");
        self.record_failed_boot(&entry.id, partition, now);
        BootState::Failed
    }

    /// Returns the longest expected boot time over all offerings, in milliseconds, computed from the recent
    /// boots and the nominal times; 0 if there are no offerings.
    pub fn expected_boot_ms(&self, partition: &Partition, now: u64) -> u64 {
        let instance_types = partition.cluster().instance_types.iter().enumerate();
        let offerings = instance_types.flat_map(|(index, instance_type)| offerings(index, instance_type));
        let expected_ms = |offering: InstanceOffering| {
            self.boot_times.expected_ms(&offering, nominal_boot_ms(partition, &offering), now)
        };
        offerings.map(expected_ms).max().unwrap_or(0)
    }

    /// Records a failed boot, unless the machine had come up before.
    fn record_failed_boot(&mut self, id: &str, partition: &Partition, now: u64) {
        if let Some(host) = self.booting.remove(id) {
            self.boot_times.record_failure(&host.offering, now);
            self.pending_counts.push(("boots_failed", offering_label(partition, &host.offering)));
        }
    }

    /// Returns whether the boot of the machine has timed out. A machine that is listed as up but does not report
    /// may be unreachable: its boot times out after the longer of a worker's lease and its expected boot time.
    fn has_boot_timed_out(&self, id: &str, partition: &Partition, now: u64) -> bool {
        let Some(host) = self.booting.get(id) else { return false };
        let nominal_ms = nominal_boot_ms(partition, &host.offering);
        match host.running_ms {
            Some(running_ms) => {
                let expected_ms = self.boot_times.expected_ms(&host.offering, nominal_ms, now);
                now.saturating_sub(running_ms) > expected_ms.max(partition.policy().lease_ms)
            }
            None => self.boot_times.has_timed_out(&host.offering, nominal_ms, host.age_ms(now), now),
        }
    }
}

/// State of a machine's boot according to its entry in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BootState {
    /// The machine has reported or is being returned, or its type is not known.
    NotBooting,
    Booting,
    /// The boot failed or timed out; the machine is to be returned.
    Failed,
}

/// Returns all offerings of an instance type: spot and on demand in each of its zones.
fn offerings(index: usize, instance_type: &InstanceType) -> impl Iterator<Item = InstanceOffering> {
    let of_zone = move |zone: &String| {
        [false, true].map(|spot| InstanceOffering { instance_type: index, zone: zone.clone(), spot })
    };
    instance_type.zones.iter().flat_map(of_zone)
}

fn nominal_boot_ms(partition: &Partition, offering: &InstanceOffering) -> u64 {
    partition.cluster().instance_types[offering.instance_type].boot_ms()
}

/// Returns the metric label for machines of this type and zone.
fn offering_label(partition: &Partition, offering: &InstanceOffering) -> String {
    format!("{}/{}", partition.cluster().instance_types[offering.instance_type].name, offering.zone)
}

/// Returns whether the machine has reported, to any partition.
fn has_reported(partition: &Partition, id: &str) -> bool {
    partition.knows_host(id)
}
