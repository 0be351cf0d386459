//! What a leader knows of its own right to act: its lease and the pledges of its peers.

use super::messages::AcquiredLeadership;
use crate::model::FencingToken;
use crate::runtime::clock::DRIFT;

/// A duration as it passes on the slowest clock: how long a lease or a pledge may be counted on
/// that another node's clock measures.
pub(super) fn shortened_by_drift(ms: u64) -> u64 {
    (ms as f64 * (1.0 - DRIFT)) as u64
}

/// A duration as it passes on the fastest clock: how long this node keeps to what another node
/// counts on by a clock of its own.
pub(super) fn lengthened_by_drift(ms: u64) -> u64 {
    (ms as f64 * (1.0 + DRIFT)).ceil() as u64 + 1
}

/// The pledges of all peers, as their leader knows them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PeerPledges {
    /// The last known instant at which a peer may have been without a pledge.
    pub(super) last_gap_ms: u64,
    /// Until then all peers are pledged.
    pub(super) valid_until_ms: u64,
}

/// The state of a leader. Times are milliseconds of the steady clock.
///
/// The lease counts from the *sending* of its creation or last renewal, less clock drift: the
/// state store counts from later, so the lease can't end there while it still holds here. The
/// pledges count alike from the sending of their requests.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) lease_id: u64,
    pub(super) fencing_token: FencingToken,
    leader_lease_ttl_ms: u64,
    /// Until then the lease in the state store can't end.
    store_lease_until_ms: u64,
    /// Until when each peer is pledged.
    pledged_until_ms: Vec<u64>,
    /// The last known instant at which a peer may have been without a pledge.
    last_gap_ms: u64,
    /// There was a time in which neither the lease nor the pledges held. Another node may have
    /// led the partition since, and ended: only the state store can show.
    lapsed: bool,
}

impl LeaderState {
    /// Leadership that was acquired by requests of which the first was sent at `sent_ms`.
    pub(super) fn new(
        acquired: &AcquiredLeadership,
        sent_ms: u64,
        leader_lease_ttl_ms: u64,
        peer_count: usize,
    ) -> LeaderState {
        LeaderState {
            lease_id: acquired.lease_id,
            fencing_token: acquired.fencing_token,
            leader_lease_ttl_ms,
            store_lease_until_ms: sent_ms + shortened_by_drift(leader_lease_ttl_ms),
            pledged_until_ms: vec![0; peer_count],
            last_gap_ms: 0,
            lapsed: false,
        }
    }

    /// Until when this node may act: as long as the lease can't end in the state store, or as all
    /// peers are pledged. So work goes on in an outage of the state store, as the pledges prove
    /// that no other node leads. Pledges don't count once both have lapsed.
    pub(super) fn lease_valid_until(&self) -> u64 {
        if self.lapsed {
            return self.store_lease_until_ms;
        }
        // Without peers nobody else can lead.
        self.store_lease_until_ms.max(self.all_pledged_until_ms())
    }

    /// Until when all peers are pledged; without end if there are none.
    fn all_pledged_until_ms(&self) -> u64 {
        self.pledged_until_ms.iter().copied().min().unwrap_or(u64::MAX)
    }

    /// The pledges of all peers.
    pub(super) fn peer_pledges(&self) -> PeerPledges {
        PeerPledges { last_gap_ms: self.last_gap_ms, valid_until_ms: self.all_pledged_until_ms() }
    }

    /// True if neither the lease nor the pledges have held without a break.
    pub(super) fn has_lapsed(&self) -> bool {
        self.lapsed
    }

    /// Notes if the right to act has lapsed by now: pledges prolong one that holds and don't
    /// restore one that has lapsed.
    pub(super) fn note_lapse(&mut self, now_ms: u64) {
        self.lapsed |= now_ms >= self.lease_valid_until();
    }

    /// The lease was renewed by a request that was sent at `sent_ms`. An answer that comes late
    /// takes nothing back, and that of another lease counts for nothing.
    pub(super) fn lease_renewed(&mut self, lease_id: u64, sent_ms: u64, now_ms: u64) {
        self.note_lapse(now_ms);
        if self.lease_id != lease_id {
            return;
        }
        let valid_until_ms = sent_ms + shortened_by_drift(self.leader_lease_ttl_ms);
        self.store_lease_until_ms = self.store_lease_until_ms.max(valid_until_ms);
        // The lease lives, and the partition's key with it: no other node has led since.
        self.lapsed &= now_ms >= valid_until_ms;
    }

    /// A peer has given the pledge that was asked for at `sent_ms`.
    pub(super) fn pledge_received(&mut self, peer: usize, sent_ms: u64, now_ms: u64) {
        self.note_lapse(now_ms);
        let valid_until_ms = sent_ms + shortened_by_drift(self.leader_lease_ttl_ms);
        let Some(pledged_until_ms) = self.pledged_until_ms.get_mut(peer) else { return };
        // Without a gap only if this answer came while the last pledge held.
        if now_ms > *pledged_until_ms {
            self.last_gap_ms = self.last_gap_ms.max(now_ms);
        }
        *pledged_until_ms = (*pledged_until_ms).max(valid_until_ms);
    }
}
