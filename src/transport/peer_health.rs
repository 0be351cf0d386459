//! Failure detection for other controllers, by their unanswered requests. Users' requests to an
//! unresponsive controller fail at once instead of waiting for a timeout.

use crate::runtime::clock;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of consecutive unanswered requests after which a peer is considered unresponsive.
const MAX_UNANSWERED: u32 = 2;

/// Timeouts of the failure detection, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// Time since the last message received from a peer within which it is considered slow, not
    /// unresponsive.
    pub receive_timeout_ms: u64,
    /// Interval between the user requests that are sent to an unresponsive peer as probes.
    pub probe_interval_ms: u64,
}

impl HealthLimits {
    /// Returns the limits for leader leases of `leader_lease_ttl_ms` milliseconds. A leader requests
    /// pledges five times per lease; the receive timeout spans two of these requests. The probe
    /// interval is half a lease.
    pub fn for_leader_lease(leader_lease_ttl_ms: u64) -> HealthLimits {
        HealthLimits { receive_timeout_ms: leader_lease_ttl_ms * 2 / 5, probe_interval_ms: leader_lease_ttl_ms / 2 }
    }
}

/// Effect of an event on the health of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The peer has become unresponsive.
    BecameUnresponsive,
    /// The peer was unresponsive and has responded.
    Recovered,
    /// The health of the peer is the same as before.
    Unchanged,
}

/// Health of one peer.
#[derive(Debug)]
pub struct PeerHealth {
    limits: HealthLimits,
    /// Number of unanswered requests since a message was last received from the peer.
    unanswered: u32,
    /// Instant, in milliseconds of the steady clock, at which a response or a request was last received
    /// from the peer; `None` if none was.
    last_received_ms: Option<u64>,
    /// Instant, in milliseconds of the steady clock, at which the peer became unresponsive or was last
    /// probed; `None` while it is responsive.
    last_probe_ms: Option<u64>,
    /// Whether a message was received from the peer since the last request to it that failed.
    reachable: bool,
}

impl PeerHealth {
    /// Creates the health of a peer that is considered responsive.
    pub fn new(limits: HealthLimits) -> PeerHealth {
        PeerHealth { limits, unanswered: 0, last_received_ms: None, last_probe_ms: None, reachable: false }
    }

    /// Records at `now_ms` that a response or a request was received from the peer.
    pub fn record_received(&mut self, now_ms: u64) -> HealthChange {
        self.unanswered = 0;
        self.reachable = true;
        self.last_received_ms = Some(now_ms);
        match self.last_probe_ms.take() {
            Some(_) => HealthChange::Recovered,
            None => HealthChange::Unchanged,
        }
    }

    /// Records at `now_ms` that a request sent at `sent_ms` was abandoned without a response. It is not
    /// counted if a message was received from the peer since it was sent.
    pub fn record_unanswered(&mut self, sent_ms: u64, now_ms: u64) -> HealthChange {
        if self.last_received_ms.is_some_and(|received_ms| received_ms >= sent_ms) {
            return HealthChange::Unchanged;
        }
        self.reachable = false;
        self.unanswered = self.unanswered.saturating_add(1);
        let is_overdue =
            self.last_received_ms.is_none_or(|received_ms| now_ms >= received_ms + self.limits.receive_timeout_ms);
        if self.is_unresponsive() || self.unanswered < MAX_UNANSWERED || !is_overdue {
            return HealthChange::Unchanged;
        }
        self.last_probe_ms = Some(now_ms);
        HealthChange::BecameUnresponsive
    }

    /// Records that a request could not be sent, as the peer refused the connection or closed it.
    pub fn record_not_sent(&mut self) {
        self.reachable = false;
    }

    /// Returns whether the peer could be reached when a message was last exchanged with it.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns whether a user's request may be sent at `now_ms`. For an unresponsive peer this allows one
    /// request, the probe, per probe interval.
    pub fn may_send_user_request(&mut self, now_ms: u64) -> bool {
        let Some(last_probe_ms) = self.last_probe_ms else { return true };
        let is_due = now_ms >= last_probe_ms + self.limits.probe_interval_ms;
        if is_due {
            self.last_probe_ms = Some(now_ms);
        }
        is_due
    }

    /// Returns whether the peer is considered unresponsive.
    pub fn is_unresponsive(&self) -> bool {
        self.last_probe_ms.is_some()
    }
}

/// Health of a named peer, shared by all tasks that send it requests; cheap to clone. Each change is
/// logged.
#[derive(Debug, Clone)]
pub struct SharedPeerHealth {
    name: Arc<str>,
    health: Arc<Mutex<PeerHealth>>,
}

impl SharedPeerHealth {
    /// Creates the health of the peer `name`, which is considered responsive.
    pub fn new(name: &str, limits: HealthLimits) -> SharedPeerHealth {
        SharedPeerHealth { name: name.into(), health: Arc::new(Mutex::new(PeerHealth::new(limits))) }
    }

    /// Records that a response or a request was received from the peer now; see
    /// [`PeerHealth::record_received`].
    pub fn record_received(&self) {
        let change = self.lock().record_received(clock::now_ms());
        self.log(change);
    }

    /// Records that a request sent at `sent_ms` is abandoned now; see [`PeerHealth::record_unanswered`].
    pub fn record_unanswered(&self, sent_ms: u64) {
        let change = self.lock().record_unanswered(sent_ms, clock::now_ms());
        self.log(change);
    }

    /// Records that a request could not be sent; see [`PeerHealth::record_not_sent`].
    pub fn record_not_sent(&self) {
        self.lock().record_not_sent();
    }

    /// Returns whether the peer could be reached when a message was last exchanged with it.
    pub fn is_reachable(&self) -> bool {
        self.lock().is_reachable()
    }

    /// Returns whether a user's request may be sent now; see [`PeerHealth::may_send_user_request`].
    pub fn may_send_user_request(&self) -> bool {
        self.lock().may_send_user_request(clock::now_ms())
    }

    /// Returns whether the peer is considered unresponsive.
    pub fn is_unresponsive(&self) -> bool {
        self.lock().is_unresponsive()
    }

    fn lock(&self) -> MutexGuard<'_, PeerHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self, change: HealthChange) {
        match change {
            HealthChange::BecameUnresponsive => tracing::info!(peer = %self.name, "controller became unresponsive"),
            HealthChange::Recovered => tracing::info!(peer = %self.name, "controller is responsive again"),
            HealthChange::Unchanged => {}
        }
    }
}

#[cfg(test)]
mod tests;
