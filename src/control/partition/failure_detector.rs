//! Suspect and unreachable machines: expiry of their leases, probes, and their termination.

use super::Partition;
use super::keys::host_key;
use crate::model::{ClusterState, Host, HostIndex, UNREACHABLE_AFTER_MISSES};
use crate::runtime::clock::DRIFT;
use crate::scheduling::Policy;
use std::collections::{HashMap, HashSet};

/// A zone is never taken for partitioned off because of one suspect machine in fewer than these.
const MIN_ZONE_HOSTS: usize = 3;
/// Fewest suspect machines by which this node takes itself for isolated.
const MIN_KNOWN_HOSTS: usize = 3;

/// How long machines may stay without a heartbeat.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatTimeouts {
    /// A sound machine's heartbeats come a quarter late at the most, and take a moment: one that
    /// is later than this is suspect.
    pub(super) suspect_after_ms: u64,
    /// One that is later than this, and did not answer two probes, is unreachable.
    pub(super) unreachable_after_ms: u64,
}

impl HeartbeatTimeouts {
    /// The timeouts that follow from the policy's intervals.
    pub(super) fn of(policy: &Policy) -> HeartbeatTimeouts {
        let suspect_after_ms = policy.report_ms * 13 / 10;
        HeartbeatTimeouts { suspect_after_ms, unreachable_after_ms: suspect_after_ms + policy.react_ms * 3 / 2 }
    }
}

/// What is to be done about machines that do not report.
#[derive(Debug, PartialEq, Eq)]
pub struct DetectedFailures {
    /// Ids of machines that are to be terminated.
    pub to_terminate: Vec<String>,
    /// Machines that are to be asked directly.
    pub to_probe: Vec<HostIndex>,
}

/// Machines of a zone that may hold tasks, and those of them that are suspect.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneHealth {
    all: usize,
    suspect: usize,
}

impl ZoneHealth {
    /// Are too many suspect at once for faults of the machines themselves?
    fn is_partitioned(self) -> bool {
        self.suspect * 3 > self.all.max(MIN_ZONE_HOSTS)
    }
}

/// What a look at all machines found.
#[derive(Debug, Default)]
struct HeartbeatSurvey {
    /// Machines whose lease has surely expired.
    expired: Vec<HostIndex>,
    /// Machines to be terminated, unless their zone is partitioned off.
    unreachable: Vec<HostIndex>,
    /// Machines to be asked directly.
    to_probe: Vec<HostIndex>,
    partitioned_zones: HashSet<String>,
}

/// Judges machines by the age of their heartbeats. It judges only while it runs regularly itself.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    last_run_ms: u64,
}

impl FailureDetector {
    /// The leader begins.
    pub(super) fn begin(&mut self, now: u64) {
        self.last_run_ms = now;
    }

    /// If this node stood still the machines were not silent, and what they sent meanwhile is still
    /// to be read: their heartbeats age only while the detector runs.
    fn exclude_own_pause(&mut self, cluster: &mut ClusterState, react_ms: u64, now: u64) {
        let gap_ms = now.saturating_sub(self.last_run_ms);
        self.last_run_ms = now;
        if gap_ms <= 2 * react_ms {
            return;
        }
        for host in cluster.hosts.iter_mut().flatten() {
            host.last_heartbeat_ms = (host.last_heartbeat_ms + gap_ms).min(now);
            host.unanswered_probes = 0;
        }
    }
}

/// Sorts out which machines are suspect, and for how long.
fn survey(cluster: &ClusterState, policy: &Policy, now: u64, unbound_ms: u64) -> HeartbeatSurvey {
    let timeouts = HeartbeatTimeouts::of(policy);
    let mut survey = HeartbeatSurvey::default();
    let mut zones: HashMap<&str, ZoneHealth> = HashMap::new();
    for (host_index, host) in cluster.each_host().filter(|(_, host)| !host.terminating) {
        let suspect = now.saturating_sub(host.last_heartbeat_ms) > timeouts.suspect_after_ms;
        if host.confirmed() {
            if is_lease_expired(host, policy, now, unbound_ms) {
                survey.expired.push(host_index);
            }
            let zone = zones.entry(&host.zone).or_default();
            zone.all += 1;
            zone.suspect += usize::from(suspect || host.unanswered_probes >= UNREACHABLE_AFTER_MISSES);
        }
        if is_unreachable(host, policy, now) {
            survey.unreachable.push(host_index);
        }
        // After a failover all are asked at once: most look for this leader elsewhere first.
        let awaits_token = !host.token_confirmed() && !confirms_token_soon(host, policy, now);
        if suspect || host.unanswered_probes > 0 || awaits_token {
            survey.to_probe.push(host_index);
        }
    }
    // Asked in vain before: the others go first where not all can be asked now.
    survey.to_probe.sort_by_key(|host_index| cluster.host(*host_index).map_or(0, |host| host.unanswered_probes));
    // Many machines of a zone that are suspect together: it is rather the zone that is partitioned
    // off, or this node. The first of them must not be terminated before the rest shows it.
    let partitioned = zones.into_iter().filter(|(_, health)| health.is_partitioned());
    survey.partitioned_zones = partitioned.map(|(zone, _)| zone.into()).collect();
    survey
}

/// Was its worker shown this leader's token just now, so that its next heartbeat will confirm that?
fn confirms_token_soon(host: &Host, policy: &Policy, now: u64) -> bool {
    host.token_shown_ms > 0 && now < host.token_shown_ms + policy.react_ms
}

/// Has its lease surely expired, with something to be given up?
///
/// Tasks are freed without the cloud's confirmation only here: after the full lease by the slowest
/// clock, counted from the last moment at which any controller may have renewed it.
fn is_lease_expired(host: &Host, policy: &Policy, now: u64, unbound_ms: u64) -> bool {
    let expired_after_ms = (policy.lease_ms as f64 * (1.0 + DRIFT)) as u64 + policy.react_ms;
    let holds = !host.attempts.is_empty() || !host.reconciled;
    holds && now > host.lease_renewed_ms.max(unbound_ms) + expired_after_ms
}

/// Is it of no use, as no order reaches it? One that sends heartbeats may be so, too.
fn is_unreachable(host: &Host, policy: &Policy, now: u64) -> bool {
    let silent_ms = now.saturating_sub(host.last_heartbeat_ms);
    let unanswered_ms = u64::from(host.unanswered_probes) * policy.react_ms;
    let timeout_ms = HeartbeatTimeouts::of(policy).unreachable_after_ms;
    let unresponsive = host.unanswered_probes >= UNREACHABLE_AFTER_MISSES
        && (silent_ms > timeout_ms || unanswered_ms > policy.lease_ms);
    unresponsive || (host.addr.is_none() && silent_ms > policy.lease_ms)
}

impl Partition {
    /// Looks for machines that do not report: gives up what was on those whose lease has expired.
    ///
    /// `unbound_ms`: another controller may have kept leases alive until then.
    pub fn detect_failures(&mut self, now: u64, unbound_ms: u64) -> DetectedFailures {
        self.failure_detector.exclude_own_pause(&mut self.cluster, self.policy.react_ms, now);
        self.running_counts.refresh(&self.cluster);
        let survey = survey(&self.cluster, &self.policy, now, unbound_ms);
        self.expire_leases(survey.expired);
        let to_terminate = self.terminate_unreachable(survey.unreachable, &survey.partitioned_zones);
        DetectedFailures { to_terminate, to_probe: survey.to_probe }
    }

    /// What was on these machines is gone: their leases have expired.
    fn expire_leases(&mut self, expired: Vec<HostIndex>) {
        for host_index in expired {
            self.remove_all_attempts(host_index);
            if let Some(host) = self.cluster.host_mut(host_index) {
                tracing::info!(host = host.id, "worker lease expired");
                host.reconciled = true;
            }
            self.reconciliation.request_count();
        }
        self.refresh_unreconciled();
    }

    /// Marks unreachable machines for termination, except in zones that are partitioned off; returns
    /// their names.
    fn terminate_unreachable(&mut self, unreachable: Vec<HostIndex>, partitioned: &HashSet<String>) -> Vec<String> {
        let mut to_terminate = Vec::new();
        for host_index in unreachable {
            let is_alone = |host: &&mut Host| !host.confirmed() || !partitioned.contains(&host.zone);
            let Some(host) = self.cluster.host_mut(host_index).filter(is_alone) else { continue };
            host.terminating = true;
            tracing::info!(host = host.id, "host unreachable, terminating it");
            to_terminate.push(host.id.clone());
        }
        to_terminate
    }

    /// May machines be rented and returned? Those that are up are known, or as many as
    /// will be for now.
    pub fn is_inventory_known(&self, now: u64) -> bool {
        let timeout_ms = HeartbeatTimeouts::of(&self.policy).unreachable_after_ms;
        self.cluster.all_reconciled || now > self.epoch.begun_ms() + timeout_ms
    }

    /// True if most machines that reported before, or were asked twice in vain, are silent at once:
    /// then it is this node that is isolated from them, and another may not be.
    pub fn is_isolated(&self, now: u64) -> bool {
        let suspect_after_ms = HeartbeatTimeouts::of(&self.policy).suspect_after_ms;
        let (mut all, mut known, mut silent) = (0, 0, 0);
        for (_, host) in self.cluster.each_host().filter(|(_, host)| !host.terminating && host.confirmed()) {
            all += 1;
            // After a failover those that were not asked yet may be on their way here.
            let has_reported = host.agent_epoch > 0;
            if has_reported || host.unanswered_probes >= UNREACHABLE_AFTER_MISSES {
                known += 1;
                let patience_ms = if has_reported { self.policy.react_ms } else { 0 };
                let silent_ms = now.saturating_sub(host.last_heartbeat_ms);
                silent += usize::from(silent_ms > suspect_after_ms + patience_ms);
            }
        }
        known >= MIN_KNOWN_HOSTS && known * 2 >= all && silent * 3 >= known * 2
    }

    /// Marks a machine for termination; true if it was not marked yet.
    pub fn mark_terminating(&mut self, id: &str) -> bool {
        let Some(&host_index) = self.cluster.host_index.get(id) else { return true };
        self.cluster.host_mut(host_index).is_some_and(|host| !std::mem::replace(&mut host.terminating, true))
    }

    /// The cloud has confirmed: the machine and all on it are gone.
    pub fn host_terminated(&mut self, id: &str) {
        self.host_directory.mark_terminated(id);
        let Some(&host_index) = self.cluster.host_index.get(id) else { return };
        self.remove_all_attempts(host_index);
        self.commit_queue.unmark_host(host_index);
        if self.cluster.remove_host(host_index).is_some_and(|host| host.registered) {
            self.commit_queue.mark_obsolete(host_key(id));
        }
        self.count_unreconciled();
    }
}
