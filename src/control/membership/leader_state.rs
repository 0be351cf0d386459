//! State of a leader that decides how long it may act: its lease and the pledges of its peers.

use super::messages::AcquiredLeadership;
use crate::model::FencingToken;
use crate::runtime::clock::MAX_CLOCK_DRIFT;

/// Shortens a duration in milliseconds by the largest clock drift. This node may rely for the resulting
/// duration on a lease or pledge that is measured by the clock of another node.
pub(super) fn shortened_by_drift(ms: u64) -> u64 {
    (ms as f64 * (1.0 - MAX_CLOCK_DRIFT)) as u64
}

/// Lengthens a duration in milliseconds by the largest clock drift. This node keeps for the resulting
/// duration a pledge that another node relies on by its own clock.
pub(super) fn lengthened_by_drift(ms: u64) -> u64 {
    (ms as f64 * (1.0 + MAX_CLOCK_DRIFT)).ceil() as u64 + 1
}

/// Summary of the pledges of all peers, as the leader knows them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PeerPledges {
    /// Last known instant at which a peer may have been without a pledge.
    pub(super) last_gap_ms: u64,
    /// Instant until which all peers are pledged.
    pub(super) valid_until_ms: u64,
}

/// The state of a leader. Times are milliseconds of the steady clock.
///
/// The duration of the lease counts from the *sending* of its creation or last renewal, and is
/// shortened by clock drift. The state service counts from a later instant, so the lease cannot expire
/// there while it is still valid here. The duration of a pledge likewise counts from the sending of
/// its request.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) lease_id: u64,
    pub(super) fencing_token: FencingToken,
    leader_lease_ttl_ms: u64,
    /// Instant before which the lease in the state service cannot expire.
    store_lease_until_ms: u64,
    /// Instant until which each peer is pledged, by index of the peer.
    pledged_until_ms: Vec<u64>,
    /// Last known instant at which a peer may have been without a pledge.
    last_gap_ms: u64,
    /// Whether neither the lease nor the pledges were valid at some time. Another node may have led
    /// the partition since and ended; only the state service can show whether it has.
    lapsed: bool,
}

impl LeaderState {
    /// Creates the state of a leadership whose first request was sent at `sent_ms`.
    pub(super) fn new(
        acquired: &AcquiredLeadership,
        sent_ms: u64,
        leader_lease_ttl_ms: u64,
        peer_count: usize,
    ) -> LeaderState {
        LeaderState {
            lease_id: acquired.lease_id,
            fencing_token: acquired.tokens.last,
            leader_lease_ttl_ms,
            store_lease_until_ms: sent_ms + shortened_by_drift(leader_lease_ttl_ms),
            pledged_until_ms: vec![0; peer_count],
            last_gap_ms: 0,
            lapsed: false,
        }
    }

    /// Returns the instant until which this node may act: while the lease cannot expire in the state
    /// service, or while all peers are pledged. The leader thus continues during an outage of the
    /// state service, because the pledges prove that no other node leads. Pledges do not count once
    /// both have lapsed.
    pub(super) fn lease_valid_until(&self) -> u64 {
        if self.lapsed {
            return self.store_lease_until_ms;
        }
        // Without peers, no other node can lead.
        self.store_lease_until_ms.max(self.all_pledged_until_ms())
    }

    /// Returns the instant until which all peers are pledged; `u64::MAX` without peers.
    fn all_pledged_until_ms(&self) -> u64 {
        self.pledged_until_ms.iter().copied().min().unwrap_or(u64::MAX)
    }

    /// Returns the summary of the pledges of all peers.
    pub(super) fn peer_pledges(&self) -> PeerPledges {
        PeerPledges { last_gap_ms: self.last_gap_ms, valid_until_ms: self.all_pledged_until_ms() }
    }

    /// Returns whether there was a time in which neither the lease nor the pledges were valid, and the
    /// lease has not been renewed since.
    pub(super) fn has_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Records whether the right to act has lapsed by `now_ms`. Pledges prolong a right that is valid
    /// and do not restore one that has lapsed.
    pub(super) fn record_lapse(&mut self, now_ms: u64) {
        self.lapsed |= now_ms >= self.lease_valid_until();
    }

    /// Records that the lease was renewed by a request sent at `sent_ms`. A late answer does not
    /// shorten the lease, and the answer for another lease is ignored.
    pub(super) fn lease_renewed(&mut self, lease_id: u64, sent_ms: u64, now_ms: u64) {
        self.record_lapse(now_ms);
        if self.lease_id != lease_id {
            return;
        }
        let valid_until_ms = sent_ms + shortened_by_drift(self.leader_lease_ttl_ms);
        self.store_lease_until_ms = self.store_lease_until_ms.max(valid_until_ms);
        // The lease and thus the partition's key still exist: no other node has led since.
        self.lapsed &= now_ms >= valid_until_ms;
    }

    /// Records that a peer has given the pledge that was requested at `sent_ms`.
    pub(super) fn pledge_received(&mut self, peer: usize, sent_ms: u64, now_ms: u64) {
        self.record_lapse(now_ms);
        let valid_until_ms = sent_ms + shortened_by_drift(self.leader_lease_ttl_ms);
        let Some(pledged_until_ms) = self.pledged_until_ms.get_mut(peer) else { return };
        // There is no gap only if this answer came while the previous pledge was valid.
        if now_ms > *pledged_until_ms {
            self.last_gap_ms = self.last_gap_ms.max(now_ms);
        }
        *pledged_until_ms = (*pledged_until_ms).max(valid_until_ms);
    }
}
