//! Failure detection: suspect and unreachable hosts, expiry of their leases, probes and termination.

use super::Partition;
use super::keys::host_key;
use crate::model::{ClusterState, Host, HostIndex, UNREACHABLE_AFTER_UNANSWERED};
use crate::runtime::clock::MAX_CLOCK_DRIFT;
use crate::scheduling::Policy;
use std::collections::{HashMap, HashSet};

/// Lower bound of the zone size used to decide whether a zone is partitioned, so that one suspect host
/// in a smaller zone never suffices.
const MIN_ZONE_HOSTS: usize = 3;
/// Minimum number of hosts with a known state from which this node may conclude that it is isolated.
const MIN_KNOWN_HOSTS: usize = 3;

/// Ages of the last heartbeat, in milliseconds, from which a host is suspect or unreachable.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatTimeouts {
    /// Age above which a host is suspect. Heartbeats of a healthy host are late by at most a quarter of
    /// the interval, plus transmission time.
    pub(super) suspect_after_ms: u64,
    /// Age above which a host that has also missed two probes is unreachable.
    pub(super) unreachable_after_ms: u64,
}

impl HeartbeatTimeouts {
    /// Returns the timeouts derived from the intervals of the policy.
    pub(super) fn of(policy: &Policy) -> HeartbeatTimeouts {
        let suspect_after_ms = policy.report_ms * 13 / 10;
        HeartbeatTimeouts { suspect_after_ms, unreachable_after_ms: suspect_after_ms + policy.react_ms * 3 / 2 }
    }
}

/// Actions that follow from the hosts that do not report.
#[derive(Debug, PartialEq, Eq)]
pub struct DetectedFailures {
    /// Ids of the hosts to be terminated.
    pub to_terminate: Vec<String>,
    /// Hosts to be probed with a direct command.
    pub to_probe: Vec<HostIndex>,
}

/// Number of hosts in a zone that may hold tasks, and of the suspect ones among them.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneHealth {
    /// Hosts of the zone that may hold tasks.
    all: usize,
    /// Suspect hosts among them.
    suspect: usize,
}

impl ZoneHealth {
    /// Returns whether more hosts are suspect at once than individual host failures explain.
    fn is_partitioned(self) -> bool {
        self.suspect * 3 > self.all.max(MIN_ZONE_HOSTS)
    }
}

/// Classification of all hosts by their heartbeats.
#[derive(Debug, Default)]
struct HostClassification {
    /// Hosts whose lease has certainly expired.
    expired: Vec<HostIndex>,
    /// Hosts to be terminated, unless their zone is partitioned.
    unreachable: Vec<HostIndex>,
    /// Hosts to be probed with a direct command.
    to_probe: Vec<HostIndex>,
    /// Zones that are probably partitioned from this node.
    partitioned_zones: HashSet<String>,
}

/// Failure detector based on the age of heartbeats. Time during which the detector did not run regularly
/// does not count.
#[derive(Debug, Default)]
pub(super) struct FailureDetector {
    /// Instant, in milliseconds of the monotonic clock, at which the detector last ran.
    last_run_ms: u64,
}

impl FailureDetector {
    /// Notes the start of the leadership.
    pub(super) fn begin(&mut self, now: u64) {
        self.last_run_ms = now;
    }

    /// Excludes a pause of this node itself from the age of the heartbeats. During such a pause the
    /// hosts were not silent: heartbeats that they sent meanwhile are still to be read.
    fn exclude_own_pause(&mut self, cluster: &mut ClusterState, react_ms: u64, now: u64) {
        let pause_ms = now.saturating_sub(self.last_run_ms);
        self.last_run_ms = now;
        if pause_ms <= 2 * react_ms {
            return;
        }
        for host in cluster.hosts.iter_mut().flatten() {
            host.last_heartbeat_ms = (host.last_heartbeat_ms + pause_ms).min(now);
            host.unanswered_commands = 0;
        }
    }
}

/// Classifies all hosts by the age of their heartbeats, their leases and their unanswered probes.
fn classify_hosts(
    cluster: &ClusterState,
    policy: &Policy,
    now: u64,
    leases_renewable_until_ms: u64,
) -> HostClassification {
    let timeouts = HeartbeatTimeouts::of(policy);
    let mut classification = HostClassification::default();
    let mut zones: HashMap<&str, ZoneHealth> = HashMap::new();
    for (host_index, host) in cluster.each_host().filter(|(_, host)| !host.terminating) {
        let suspect = now.saturating_sub(host.last_heartbeat_ms) > timeouts.suspect_after_ms;
        if host.certainly_exists() {
            if is_lease_expired(host, policy, now, leases_renewable_until_ms) {
                classification.expired.push(host_index);
            }
            let zone = zones.entry(&host.zone).or_default();
            zone.all += 1;
            zone.suspect += usize::from(suspect || host.unanswered_commands >= UNREACHABLE_AFTER_UNANSWERED);
        }
        if is_unreachable(host, policy, now) {
            classification.unreachable.push(host_index);
        }
        // After a failover most workers look for this leader at other addresses first, so all hosts that
        // have not confirmed its token are probed at once.
        let awaits_token = !host.token_confirmed() && !confirms_token_soon(host, policy, now);
        if suspect || host.unanswered_commands > 0 || awaits_token {
            classification.to_probe.push(host_index);
        }
    }
    // Hosts with unanswered probes come last, because not all hosts may be probed at once.
    classification
        .to_probe
        .sort_by_key(|host_index| cluster.host(*host_index).map_or(0, |host| host.unanswered_commands));
    // If many hosts of a zone are suspect together, the zone or this node is probably partitioned. The
    // first of these hosts must not be terminated before the others show this.
    let partitioned = zones.into_iter().filter(|(_, health)| health.is_partitioned());
    classification.partitioned_zones = partitioned.map(|(zone, _)| zone.into()).collect();
    classification
}

/// Returns whether the worker was sent this leader's token so recently that its next heartbeat will
/// confirm it.
fn confirms_token_soon(host: &Host, policy: &Policy, now: u64) -> bool {
    host.token_shown_ms > 0 && now < host.token_shown_ms + policy.react_ms
}

/// Returns whether the host's lease has certainly expired while it still holds attempts or is
/// unreconciled.
///
/// Only here are tasks released without confirmation by the cloud: after the full lease by the slowest
/// clock, counted from the last instant at which any controller may have renewed it.
fn is_lease_expired(host: &Host, policy: &Policy, now: u64, leases_renewable_until_ms: u64) -> bool {
    let may_hold_tasks = !host.attempts.is_empty() || !host.reconciled;
    may_hold_tasks && now > host.lease_renewed_ms.max(leases_renewable_until_ms) + lease_expiry_ms(policy)
}

/// Returns the time, in milliseconds, after which a worker's lease has expired by the slowest clock.
fn lease_expiry_ms(policy: &Policy) -> u64 {
    (policy.lease_ms as f64 * (1.0 + MAX_CLOCK_DRIFT)) as u64 + policy.react_ms
}

/// Returns whether orders no longer reach the host, or its agent may carry out outdated ones. This can also hold for a
/// host that sends heartbeats.
fn is_unreachable(host: &Host, policy: &Policy, now: u64) -> bool {
    let silent_ms = now.saturating_sub(host.last_heartbeat_ms);
    let unanswered_ms = u64::from(host.unanswered_commands) * policy.react_ms;
    let timeout_ms = HeartbeatTimeouts::of(policy).unreachable_after_ms;
    let unresponsive = host.unanswered_commands >= UNREACHABLE_AFTER_UNANSWERED
        && (silent_ms > timeout_ms || unanswered_ms > policy.lease_ms);
    host.lost_memory || unresponsive || (host.addr.is_none() && silent_ms > policy.lease_ms)
}

impl Partition {
    /// Detects hosts that do not report, and releases the attempts on hosts whose lease has expired.
    ///
    /// `leases_renewable_until_ms` is the instant until which another controller may have renewed
    /// leases.
    pub fn detect_failures(&mut self, now: u64, leases_renewable_until_ms: u64) -> DetectedFailures {
        self.failure_detector.exclude_own_pause(&mut self.cluster, self.policy.react_ms, now);
        self.running_counts.refresh(&self.cluster);
        let classification = classify_hosts(&self.cluster, &self.policy, now, leases_renewable_until_ms);
        if now > self.epoch.begun_ms().max(leases_renewable_until_ms) + lease_expiry_ms(&self.policy) {
            self.reconciliation.expire_unreadable_hosts();
        }
        self.expire_leases(classification.expired);
        let to_terminate = self.terminate_unreachable(classification.unreachable, &classification.partitioned_zones);
        DetectedFailures { to_terminate, to_probe: classification.to_probe }
    }

    /// Releases all attempts on hosts whose leases have expired.
    fn expire_leases(&mut self, expired: Vec<HostIndex>) {
        for host_index in expired {
            self.remove_all_attempts(host_index);
            if let Some(host) = self.cluster.host_mut(host_index) {
                tracing::info!(host = host.id, "worker lease expired, attempts removed");
                host.reconciled = true;
            }
            self.reconciliation.request_count();
        }
        self.recount_unreconciled();
    }

    /// Marks unreachable hosts for termination, except in partitioned zones. Returns their ids.
    fn terminate_unreachable(&mut self, unreachable: Vec<HostIndex>, partitioned: &HashSet<String>) -> Vec<String> {
        let mut to_terminate = Vec::new();
        for host_index in unreachable {
            let may_terminate = |host: &&mut Host| !host.certainly_exists() || !partitioned.contains(&host.zone);
            let Some(host) = self.cluster.host_mut(host_index).filter(may_terminate) else { continue };
            host.terminating = true;
            tracing::info!(host = host.id, "terminating unreachable host");
            to_terminate.push(host.id.clone());
        }
        to_terminate
    }

    /// Returns whether hosts may be rented and returned. This requires that all hosts of the previous
    /// leader are reconciled, or have had enough time to report.
    pub fn is_inventory_known(&self, now: u64) -> bool {
        let timeout_ms = HeartbeatTimeouts::of(&self.policy).unreachable_after_ms;
        self.cluster.all_reconciled || now > self.epoch.begun_ms() + timeout_ms
    }

    /// Returns whether most of the hosts that have reported before, or missed two probes, are silent at
    /// once. In that case this node is isolated from them, while another node may not be.
    pub fn is_isolated(&self, now: u64) -> bool {
        let suspect_after_ms = HeartbeatTimeouts::of(&self.policy).suspect_after_ms;
        let (mut all, mut known, mut silent) = (0, 0, 0);
        for (_, host) in self.cluster.each_host().filter(|(_, host)| !host.terminating && host.certainly_exists()) {
            all += 1;
            // After a failover, hosts that were not probed yet may still be on the way to this leader.
            let has_reported = host.agent_epoch > 0;
            if has_reported || host.unanswered_commands >= UNREACHABLE_AFTER_UNANSWERED {
                known += 1;
                let tolerance_ms = if has_reported { self.policy.react_ms } else { 0 };
                let silent_ms = now.saturating_sub(host.last_heartbeat_ms);
                silent += usize::from(silent_ms > suspect_after_ms + tolerance_ms);
            }
        }
        known >= MIN_KNOWN_HOSTS && known * 2 >= all && silent * 3 >= known * 2
    }

    /// Marks a host for termination. Returns `true` if it was not marked before or is unknown.
    pub fn mark_terminating(&mut self, id: &str) -> bool {
        let Some(&host_index) = self.cluster.host_index.get(id) else { return true };
        self.cluster.host_mut(host_index).is_some_and(|host| !std::mem::replace(&mut host.terminating, true))
    }

    /// Removes a host, and all attempts on it, whose termination the cloud has confirmed.
    pub fn host_terminated(&mut self, id: &str) {
        self.host_directory.mark_terminated(id);
        self.reconciliation.host_terminated(id);
        let Some(&host_index) = self.cluster.host_index.get(id) else {
            self.recount_unreconciled();
            return;
        };
        self.remove_all_attempts(host_index);
        self.commit_queue.unmark_host(host_index);
        if self.cluster.remove_host(host_index).is_some_and(|host| host.registered) {
            self.commit_queue.mark_obsolete(host_key(id));
        }
        self.count_unreconciled();
    }
}
