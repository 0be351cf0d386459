//! Silent machines: expiry of their leases, probes, and their release.

use super::Partition;
use super::keys::host_key;
use crate::model::{Host, HostIndex, UNREACHABLE_AFTER_MISSES};
use crate::runtime::clock::DRIFT;
use std::collections::{HashMap, HashSet};

/// A zone is never taken for cut off for the silence of one machine in fewer than these.
const LEAST_ZONE: usize = 3;
/// Fewest machines by whose silence this node is taken for cut off.
const LEAST_KNOWN: usize = 3;

/// Machines of a zone that may hold tasks, and those of them that are quiet.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneHealth {
    all: usize,
    suspect: usize,
}

impl ZoneHealth {
    /// Are too many quiet at once for faults of the machines themselves?
    fn cut_off(self) -> bool {
        self.suspect * 3 > self.all.max(LEAST_ZONE)
    }
}

/// What a look at all machines found.
#[derive(Debug, Default)]
struct HeartbeatSurvey {
    /// Machines whose lease has surely expired.
    expired: Vec<HostIndex>,
    /// Machines to be released, unless their zone is cut off.
    silent: Vec<HostIndex>,
    /// Machines to be asked directly.
    probe: Vec<HostIndex>,
    cut_off_zones: HashSet<String>,
}

impl Partition {
    /// For how long a sound machine may be silent: reports come a quarter late at
    /// the most, and take a moment.
    pub(super) fn heartbeat_timeout_ms(&self) -> u64 {
        self.policy.report_ms * 13 / 10
    }

    /// Silent for so long, and without an answer to two probes: it is lost.
    pub(super) fn unreachable_timeout_ms(&self) -> u64 {
        self.heartbeat_timeout_ms() + self.policy.react_ms * 3 / 2
    }

    /// Looks after silent machines; returns those to be released, and those to
    /// be asked directly.
    ///
    /// `unbound_ms`: another controller may have kept leases alive until then.
    pub fn detect_failures(&mut self, now: u64, unbound_ms: u64) -> (Vec<String>, Vec<HostIndex>) {
        self.exclude_own_pause(now);
        self.refresh_running_counts();
        let survey = self.survey(now, unbound_ms);
        self.expire_leases(survey.expired);
        let release = self.terminate_unreachable(survey.silent, &survey.cut_off_zones);
        (release, survey.probe)
    }

    /// If we stood still the silence was ours, and what was said meanwhile is still to
    /// be read.
    fn exclude_own_pause(&mut self, now: u64) {
        let gap = now.saturating_sub(self.last_failure_detection_ms);
        self.last_failure_detection_ms = now;
        if gap <= 2 * self.policy.react_ms {
            return;
        }
        for h in self.cluster.hosts.iter_mut().flatten() {
            h.last_heartbeat_ms = (h.last_heartbeat_ms + gap).min(now);
            h.unanswered_probes = 0;
        }
    }

    /// Sorts out which machines are quiet, and for how long.
    fn survey(&self, now: u64, unbound_ms: u64) -> HeartbeatSurvey {
        let mut survey = HeartbeatSurvey::default();
        let mut zones: HashMap<&str, ZoneHealth> = HashMap::new();
        for (host_index, h) in self.cluster.each_host().filter(|(_, h)| !h.terminating) {
            let suspect = now.saturating_sub(h.last_heartbeat_ms) > self.heartbeat_timeout_ms();
            if h.confirmed() {
                if self.lease_expired(h, now, unbound_ms) {
                    survey.expired.push(host_index);
                }
                let zone = zones.entry(&h.zone).or_default();
                zone.all += 1;
                zone.suspect += usize::from(suspect || h.unanswered_probes >= UNREACHABLE_AFTER_MISSES);
            }
            if self.unreachable(h, now) {
                survey.silent.push(host_index);
            }
            // After a failover all are asked at once: most look for us elsewhere first.
            if suspect || h.unanswered_probes > 0 || !(h.token_confirmed() || self.confirms_soon(h, now)) {
                survey.probe.push(host_index);
            }
        }
        // Asked in vain before: the others go first where not all can be asked now.
        survey.probe.sort_by_key(|host_index| self.cluster.host(*host_index).map_or(0, |h| h.unanswered_probes));
        // Many machines of a zone that fall silent together: it is rather the zone
        // that is cut off, or we are. The first of them must not be released before
        // the rest shows it.
        let cut_off = zones.into_iter().filter(|(_, health)| health.cut_off());
        survey.cut_off_zones = cut_off.map(|(zone, _)| zone.into()).collect();
        survey
    }

    /// Was its worker shown our token just now, so that its next report will confirm that?
    fn confirms_soon(&self, h: &Host, now: u64) -> bool {
        h.token_shown_ms > 0 && now < h.token_shown_ms + self.policy.react_ms
    }

    /// Has its lease surely expired, with something to be given up?
    fn lease_expired(&self, h: &Host, now: u64, unbound_ms: u64) -> bool {
        let outlived = (self.policy.lease_ms as f64 * (1.0 + DRIFT)) as u64 + self.policy.react_ms;
        let holds = !h.attempts.is_empty() || !h.reconciled;
        holds && now > h.lease_renewed_ms.max(unbound_ms) + outlived
    }

    /// Is it of no use, as it can't be told anything? One that is heard may be so, too.
    fn unreachable(&self, h: &Host, now: u64) -> bool {
        let suspect = now.saturating_sub(h.last_heartbeat_ms);
        let lease = self.policy.lease_ms;
        let unanswered_ms = u64::from(h.unanswered_probes) * self.policy.react_ms;
        let unresponsive = h.unanswered_probes >= UNREACHABLE_AFTER_MISSES
            && (suspect > self.unreachable_timeout_ms() || unanswered_ms > lease);
        unresponsive || (h.addr.is_none() && suspect > lease)
    }

    /// What was on these machines is gone: their leases have expired.
    fn expire_leases(&mut self, expired: Vec<HostIndex>) {
        for host_index in expired {
            self.lose_all(host_index);
            if let Some(h) = self.cluster.host_mut(host_index) {
                tracing::info!(host = h.id, "lease surely outlived");
                h.reconciled = true;
            }
            self.reconciliation_due = true;
        }
        self.refresh_unreconciled();
    }

    /// Marks silent machines for release, except in zones that are cut off; returns
    /// their names.
    fn terminate_unreachable(&mut self, silent: Vec<HostIndex>, cut_off_zones: &HashSet<String>) -> Vec<String> {
        let mut release = Vec::new();
        for host_index in silent {
            let lone = |h: &&mut Host| !h.confirmed() || !cut_off_zones.contains(&h.zone);
            let Some(h) = self.cluster.host_mut(host_index).filter(lone) else { continue };
            h.terminating = true;
            tracing::info!(host = h.id, "machine is silent, releasing it");
            release.push(h.id.clone());
        }
        release
    }

    /// May machines be rented and returned? What is up is known, or as much as
    /// will be for now.
    pub fn counted(&self, now: u64) -> bool {
        self.cluster.all_reconciled || now > self.begun_ms + self.unreachable_timeout_ms()
    }

    /// True if most machines that were heard before, or asked twice in vain, are
    /// silent at once: then it is this node that is cut off from them, and another
    /// may not be.
    pub fn cut_off(&self, now: u64) -> bool {
        let (mut all, mut known, mut silent) = (0, 0, 0);
        for (_, h) in self.cluster.each_host().filter(|(_, h)| !h.terminating && h.confirmed()) {
            all += 1;
            // After a failover those that were not asked yet may be on their way here.
            let heard = h.agent_epoch > 0;
            if heard || h.unanswered_probes >= UNREACHABLE_AFTER_MISSES {
                known += 1;
                let patience = if heard { self.policy.react_ms } else { 0 };
                silent += usize::from(now.saturating_sub(h.last_heartbeat_ms) > self.heartbeat_timeout_ms() + patience);
            }
        }
        known >= LEAST_KNOWN && known * 2 >= all && silent * 3 >= known * 2
    }

    /// Marks a machine for release; true if it was not marked yet.
    pub fn mark_terminating(&mut self, id: &str) -> bool {
        let Some(&host_index) = self.cluster.host_index.get(id) else { return true };
        self.cluster.host_mut(host_index).is_some_and(|h| !std::mem::replace(&mut h.terminating, true))
    }

    /// The cloud has confirmed: the machine and all on it are gone.
    pub fn host_terminated(&mut self, id: &str) {
        self.terminated_hosts.insert(id.to_string());
        let Some(&host_index) = self.cluster.host_index.get(id) else { return };
        self.lose_all(host_index);
        self.new_hosts.remove(&host_index);
        if self.cluster.remove_host(host_index).is_some_and(|h| h.registered) {
            self.obsolete_keys.insert(host_key(id));
        }
        self.refresh_reconciliation();
    }
}
