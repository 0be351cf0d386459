//! What the rest of the node reads of the rules' state, without a message.

use super::rules::MembershipRules;
use crate::model::FencingToken;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Until when this node may act for a partition, on the steady clock.
#[derive(Debug, Clone, Default)]
pub struct LeaderLease(Arc<AtomicU64>);

impl LeaderLease {
    /// True while this node may act for the partition.
    pub fn holds(&self, now: u64) -> bool {
        now < self.0.load(Ordering::Relaxed)
    }

    /// This node may act until then, and no longer.
    pub fn set(&self, until: u64) {
        self.0.store(until, Ordering::Relaxed);
    }
}

/// Whether leases may live on without the leader's doing, on the steady clock.
///
/// A controller that is bound by no pledge may keep the tasks of workers alive
/// that find nobody else (`api`). A leader counts on the end of a lease only for
/// the time in which all other controllers were bound to it.
#[derive(Debug, Clone, Default)]
pub struct PledgeStatus(Arc<PledgeState>);

#[derive(Debug, Default)]
struct PledgeState {
    pledged_until_ms: AtomicU64,
    gap_ms: AtomicU64,
    all_bound_until: AtomicU64,
    fencing_token: AtomicU64,
}

impl PledgeStatus {
    /// Until when this node is bound to leave leases to a leader.
    pub fn pledged_until_ms(&self) -> u64 {
        self.0.pledged_until_ms.load(Ordering::Relaxed)
    }

    /// As a leader: the last instant at which another controller may have been unbound.
    pub fn unbound_ms(&self, now: u64) -> u64 {
        let gap = self.0.gap_ms.load(Ordering::Relaxed);
        let until = self.0.all_bound_until.load(Ordering::Relaxed);
        if now <= until { gap } else { now }
    }

    /// The last fencing token of the partition that this node knows of; 0 if none.
    pub fn fencing_token(&self) -> FencingToken {
        FencingToken(self.0.fencing_token.load(Ordering::Relaxed))
    }

    /// Publishes what the rules say now.
    pub(super) fn set(&self, rules: &MembershipRules) {
        let (gap_ms, all_bound_until) = rules.bound_to_us();
        self.0.pledged_until_ms.store(rules.pledged_until_ms(), Ordering::Relaxed);
        self.0.gap_ms.store(gap_ms, Ordering::Relaxed);
        self.0.all_bound_until.store(all_bound_until, Ordering::Relaxed);
        self.0.fencing_token.store(rules.last_token.0, Ordering::Relaxed);
    }
}
