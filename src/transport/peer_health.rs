//! Judges from unanswered requests whether another controller is unresponsive, so that users are
//! not kept waiting for it.

use crate::runtime::clock;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Requests in a row that a peer leaves unanswered before it counts as unresponsive.
const MAX_UNANSWERED: u32 = 2;

/// Limits of the judgement, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// A peer from which anything was received within this time is only slow.
    pub receive_timeout_ms: u64,
    /// Interval of the user requests that probe an unresponsive peer.
    pub probe_interval_ms: u64,
}

impl HealthLimits {
    /// The limits for a duration of leader leases. A leader asks for pledges five times in it: two of
    /// them are missing. Probes are half of it apart.
    pub fn for_leader_lease(leader_lease_ttl_ms: u64) -> HealthLimits {
        HealthLimits { receive_timeout_ms: leader_lease_ttl_ms * 2 / 5, probe_interval_ms: leader_lease_ttl_ms / 2 }
    }
}

/// What an event changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The peer counts as unresponsive from now on.
    BecameUnresponsive,
    /// The peer answers again.
    Recovered,
    /// It is judged as before.
    Unchanged,
}

/// What is known of one peer.
#[derive(Debug)]
pub struct PeerHealth {
    limits: HealthLimits,
    /// Requests without an answer since anything was received from the peer.
    unanswered: u32,
    /// When a response or a request last came from the peer, in milliseconds of the steady clock.
    last_received_ms: Option<u64>,
    /// While it is unresponsive: when it was found to be, or was last probed.
    last_probe_ms: Option<u64>,
}

impl PeerHealth {
    /// A peer that is taken to be healthy.
    pub fn new(limits: HealthLimits) -> PeerHealth {
        PeerHealth { limits, unanswered: 0, last_received_ms: None, last_probe_ms: None }
    }

    /// A response or a request has come from the peer.
    pub fn received(&mut self, now_ms: u64) -> HealthChange {
        self.unanswered = 0;
        self.last_received_ms = Some(now_ms);
        match self.last_probe_ms.take() {
            Some(_) => HealthChange::Recovered,
            None => HealthChange::Unchanged,
        }
    }

    /// A request that was sent at `sent_ms` is given up without an answer.
    pub fn unanswered(&mut self, sent_ms: u64, now_ms: u64) -> HealthChange {
        if self.last_received_ms.is_some_and(|received_ms| received_ms >= sent_ms) {
            return HealthChange::Unchanged;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        let is_overdue =
            self.last_received_ms.is_none_or(|received_ms| now_ms >= received_ms + self.limits.receive_timeout_ms);
        if self.is_unresponsive() || self.unanswered < MAX_UNANSWERED || !is_overdue {
            return HealthChange::Unchanged;
        }
        self.last_probe_ms = Some(now_ms);
        HealthChange::BecameUnresponsive
    }

    /// Whether a user's request may be sent now. To an unresponsive peer one is sent in each interval.
    pub fn may_send_user_request(&mut self, now_ms: u64) -> bool {
        let Some(last_probe_ms) = self.last_probe_ms else { return true };
        let is_due = now_ms >= last_probe_ms + self.limits.probe_interval_ms;
        if is_due {
            self.last_probe_ms = Some(now_ms);
        }
        is_due
    }

    /// True while the peer counts as unresponsive.
    pub fn is_unresponsive(&self) -> bool {
        self.last_probe_ms.is_some()
    }
}

/// The health of a named peer, shared by all tasks that send it requests; cheap to clone. Logs the
/// changes.
#[derive(Debug, Clone)]
pub struct SharedPeerHealth {
    name: Arc<str>,
    health: Arc<Mutex<PeerHealth>>,
}

impl SharedPeerHealth {
    /// A peer that is taken to be healthy.
    pub fn new(name: &str, limits: HealthLimits) -> SharedPeerHealth {
        SharedPeerHealth { name: name.into(), health: Arc::new(Mutex::new(PeerHealth::new(limits))) }
    }

    /// See [`PeerHealth::received`].
    pub fn received(&self) {
        let change = self.lock().received(clock::now_ms());
        self.log(change);
    }

    /// See [`PeerHealth::unanswered`].
    pub fn unanswered(&self, sent_ms: u64) {
        let change = self.lock().unanswered(sent_ms, clock::now_ms());
        self.log(change);
    }

    /// See [`PeerHealth::may_send_user_request`].
    pub fn may_send_user_request(&self) -> bool {
        self.lock().may_send_user_request(clock::now_ms())
    }

    /// See [`PeerHealth::is_unresponsive`].
    pub fn is_unresponsive(&self) -> bool {
        self.lock().is_unresponsive()
    }

    fn lock(&self) -> MutexGuard<'_, PeerHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log(&self, change: HealthChange) {
        match change {
            HealthChange::BecameUnresponsive => tracing::info!(peer = %self.name, "controller is unresponsive"),
            HealthChange::Recovered => tracing::info!(peer = %self.name, "controller answers again"),
            HealthChange::Unchanged => {}
        }
    }
}

#[cfg(test)]
mod tests;
