//! State of an election that the rest of the node reads without sending a message.

use super::election::Election;
use crate::model::FencingToken;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Instant, in milliseconds of the steady clock, until which this node may act for a partition.
/// Clones share the value.
///
/// The lease expires by the clock alone; no message is needed. A leader gives answers, orders and
/// confirmations only while it is valid.
#[derive(Debug, Clone, Default)]
pub struct LeaderLease(Arc<AtomicU64>);

impl LeaderLease {
    /// Returns whether this node may act for the partition at `now_ms`.
    pub fn holds(&self, now_ms: u64) -> bool {
        now_ms < self.0.load(Ordering::Relaxed)
    }

    /// Returns for how many milliseconds from `now_ms` on this node may still act; 0 if it may not.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.0.load(Ordering::Relaxed).saturating_sub(now_ms)
    }

    /// Sets the instant until which this node may act; 0 revokes the right to act.
    pub fn set_valid_until(&self, valid_until_ms: u64) {
        self.0.store(valid_until_ms, Ordering::Relaxed);
    }
}

/// Pledges that this node has given and received, which decide whether a node that does not lead
/// may prolong the leases of workers. Times are milliseconds of the steady clock. Clones share the
/// values.
///
/// A controller that is not bound by a pledge may prolong the leases of workers that reach no
/// leader, so that their tasks keep running (see `api`). A leader therefore relies on the expiry of
/// a worker's lease only for the time in which all other controllers were pledged to it.
#[derive(Debug, Clone, Default)]
pub struct PledgeStatus(Arc<PublishedPledges>);

#[derive(Debug, Default)]
struct PublishedPledges {
    pledged_until_ms: AtomicU64,
    last_gap_ms: AtomicU64,
    all_pledged_until_ms: AtomicU64,
    latest_token: AtomicU64,
}

impl PledgeStatus {
    /// Returns the instant until which only the leader, and not this node, may prolong the leases of
    /// workers.
    pub fn pledged_until_ms(&self) -> u64 {
        self.0.pledged_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the last instant at which another controller may have been without a pledge to this
    /// leader. It is `now_ms` if the pledges are not valid now.
    pub fn last_gap_ms(&self, now_ms: u64) -> u64 {
        let last_gap_ms = self.0.last_gap_ms.load(Ordering::Relaxed);
        let all_pledged_until_ms = self.0.all_pledged_until_ms.load(Ordering::Relaxed);
        if now_ms <= all_pledged_until_ms { last_gap_ms } else { now_ms }
    }

    /// Returns the highest fencing token of the partition that this node knows.
    pub fn fencing_token(&self) -> FencingToken {
        FencingToken(self.0.latest_token.load(Ordering::Relaxed))
    }

    /// Publishes the pledges and the fencing token of the election.
    pub(super) fn publish(&self, election: &Election) {
        let peer_pledges = election.peer_pledges();
        self.0.pledged_until_ms.store(election.pledged_until_ms(), Ordering::Relaxed);
        self.0.last_gap_ms.store(peer_pledges.last_gap_ms, Ordering::Relaxed);
        self.0.all_pledged_until_ms.store(peer_pledges.valid_until_ms, Ordering::Relaxed);
        self.0.latest_token.store(election.latest_token.0, Ordering::Relaxed);
    }
}
