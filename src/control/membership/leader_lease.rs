//! What the rest of the node reads of the election without a message.

use super::election::Election;
use crate::model::FencingToken;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Until when this node may act for a partition, in milliseconds of the steady clock; shared.
///
/// The lease ends by itself: no message is needed for it. Every answer, order and confirmation
/// of a leader is given only while it holds.
#[derive(Debug, Clone, Default)]
pub struct LeaderLease(Arc<AtomicU64>);

impl LeaderLease {
    /// True while this node may act for the partition.
    pub fn holds(&self, now_ms: u64) -> bool {
        now_ms < self.0.load(Ordering::Relaxed)
    }

    /// This node may act until then, and no longer.
    pub fn set_valid_until(&self, valid_until_ms: u64) {
        self.0.store(valid_until_ms, Ordering::Relaxed);
    }
}

/// Whether the leases of workers may be kept alive by a node that does not lead; times are
/// milliseconds of the steady clock; shared.
///
/// A controller that is bound by no pledge may keep the tasks of workers alive that reach no
/// leader (`api`). A leader therefore counts on the expiry of a worker's lease only for the time
/// in which all other controllers were pledged to it.
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
    /// Until when this node must leave the leases of workers to a leader.
    pub fn pledged_until_ms(&self) -> u64 {
        self.0.pledged_until_ms.load(Ordering::Relaxed)
    }

    /// As a leader: the last instant at which another controller may have been without a pledge.
    pub fn last_gap_ms(&self, now_ms: u64) -> u64 {
        let last_gap_ms = self.0.last_gap_ms.load(Ordering::Relaxed);
        let all_pledged_until_ms = self.0.all_pledged_until_ms.load(Ordering::Relaxed);
        if now_ms <= all_pledged_until_ms { last_gap_ms } else { now_ms }
    }

    /// The highest fencing token of the partition that this node knows of.
    pub fn fencing_token(&self) -> FencingToken {
        FencingToken(self.0.latest_token.load(Ordering::Relaxed))
    }

    /// Publishes the state of the election.
    pub(super) fn publish(&self, election: &Election) {
        let peer_pledges = election.peer_pledges();
        self.0.pledged_until_ms.store(election.pledged_until_ms(), Ordering::Relaxed);
        self.0.last_gap_ms.store(peer_pledges.last_gap_ms, Ordering::Relaxed);
        self.0.all_pledged_until_ms.store(peer_pledges.valid_until_ms, Ordering::Relaxed);
        self.0.latest_token.store(election.latest_token.0, Ordering::Relaxed);
    }
}
