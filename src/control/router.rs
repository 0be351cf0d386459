//! Routes requests to the leaders of the partitions: to the actors on this node, or to the other
//! controllers.

mod answers;

use crate::clients::StateStore;
use crate::configuration::ConfigurationHandle;
use crate::control::membership::{self, LeaderLease, LeaderStatus, PledgeStatus};
use crate::control::partition_leader;
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::transport::frame_format::FrameFormat;
use crate::transport::http::Response;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, UserCall};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// Longest wait for a leader that answers a poll or a cancellation. A user waits 2 s for a poll: a
/// fresh read of the record still fits in.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1200);

/// Longest wait for the commit of a submission or a cancellation, for which a user waits 5 s.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(4000);

/// While a submission waits for a leader on another node, this node checks so many times in the
/// duration of a lease whether the leader is active.
const LEADER_CHECKS_PER_LEASE: u64 = 10;

/// A partition that does not exist: a release of its pledge has no effect.
const NONEXISTENT_PARTITION: u32 = u32::MAX;

/// A peer of this version is asked for its format so many times less often than others.
const CURRENT_PEER_INTERVALS: u32 = 4;

/// What the node shares of one partition, and the mailboxes of its actors.
#[derive(Clone)]
pub struct PartitionHandle {
    /// Who leads the partition, as far as this node knows.
    pub leader_status: watch::Receiver<LeaderStatus>,
    /// Whether this node may act for it now.
    pub leader_lease: LeaderLease,
    /// The pledges about it that this node has given or received.
    pub pledge_status: PledgeStatus,
    /// Mailbox of the actor that does the partition's work while this node leads it.
    pub leader: mpsc::Sender<partition_leader::Message>,
    /// Mailbox of its election actor.
    pub election: mpsc::Sender<membership::Message>,
}

/// Numbers of other controllers by what is known of their version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerVersions {
    /// Of this version, or a later one.
    pub current: usize,
    /// Of an earlier version.
    pub old: usize,
    /// Nothing has come from them yet.
    pub unknown: usize,
}

/// Routes requests to the leaders of all partitions; cheap to clone.
#[derive(Clone)]
pub struct Router {
    /// The partitions, by number.
    pub partitions: Arc<Vec<PartitionHandle>>,
    /// The other controllers.
    pub peers: Arc<Vec<Peer>>,
    /// Duration of a leader lease in milliseconds, from which the timeouts derive.
    pub leader_lease_ttl_ms: u64,
    /// The shared configuration of a fleet, if the controller is part of one.
    pub configuration: Option<ConfigurationHandle>,
    /// The state store, where bills of warm pools are read; none without pools.
    pub bills: Option<StateStore>,
    /// When the leader of each partition last asked this node for a pledge, in milliseconds of the
    /// steady clock; 0 if it never did.
    pub last_pledge_request_ms: Arc<Vec<AtomicU64>>,
}

impl Router {
    /// Whether this node leads the partition.
    pub fn is_self(&self, partition: u32) -> bool {
        self.partitions.get(partition as usize).is_some_and(|handle| handle.leader_status.borrow().is_self)
    }

    /// The node that leads a partition, as far as is known here.
    pub fn leader(&self, partition: u32) -> Option<String> {
        self.partitions.get(partition as usize)?.leader_status.borrow().leader.clone()
    }

    /// Asks the leader of a partition, here or elsewhere.
    pub async fn request(&self, partition: u32, request: PeerRequest) -> Option<PeerResponse> {
        if self.is_self(partition) {
            return Some(self.answer(request, FrameFormat::CURRENT).await);
        }
        let name = self.leader(partition)?;
        let peer = self.peers.iter().find(|peer| peer.name == name)?;
        if matches!(request, PeerRequest::User { call: UserCall::Submit(_), .. }) {
            return peer.request_until(request, self.leader_inactive(partition)).await;
        }
        let limit = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5);
        peer.request(request, limit.min(MAX_POLL_WAIT)).await
    }

    /// Waits until the leader of the partition is not active, or a submission can wait no longer.
    /// A submission can be accepted without the leader, and need not wait for one that may be lost;
    /// but one that is only slow, as after a failover, is the one to accept it.
    async fn leader_inactive(&self, partition: u32) {
        let start = Instant::now();
        let check_interval =
            Duration::from_millis(self.leader_lease_ttl_ms / LEADER_CHECKS_PER_LEASE).min(MAX_POLL_WAIT);
        loop {
            sleep(check_interval).await;
            if !self.leader_is_active(partition) || start.elapsed() + check_interval > MAX_COMMIT_WAIT {
                return;
            }
        }
    }

    /// How many of the other controllers are unresponsive.
    pub fn unresponsive_peers(&self) -> usize {
        self.peers.iter().filter(|peer| peer.health.is_unresponsive()).count()
    }

    /// How many of the other controllers are of this version, of an earlier one, or unknown yet.
    pub fn peer_versions(&self) -> PeerVersions {
        let count = |holds: fn(&Peer) -> bool| self.peers.iter().filter(|peer| holds(peer)).count();
        PeerVersions {
            current: count(|peer| peer.format.is_current()),
            old: count(|peer| peer.format.is_old()),
            unknown: count(|peer| peer.format.get().is_none()),
        }
    }

    /// Whether any of the other controllers is known to be of an earlier version.
    pub fn has_old_peer(&self) -> bool {
        self.peers.iter().any(|peer| peer.format.is_old())
    }

    /// Whether the partition's leader is known to be of this version.
    pub fn leader_is_current(&self, partition: u32) -> bool {
        let named = |name: String| self.peers.iter().find(|peer| peer.name == name);
        self.is_self(partition) || self.leader(partition).and_then(named).is_some_and(|peer| peer.format.is_current())
    }

    /// Learns the format that a peer speaks, for as long as this node runs: sends it a request
    /// that every version answers and that has no effect.
    pub async fn watch_format(self, peer: Peer) {
        let limit = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5);
        loop {
            // Only the format of the answer matters.
            peer.request(
                PeerRequest::ReleasePledge { partition: NONEXISTENT_PARTITION, fencing_token: FencingToken::NONE },
                limit,
            )
            .await;
            let intervals = if peer.format.is_current() { CURRENT_PEER_INTERVALS } else { 1 };
            sleep(limit * intervals).await;
        }
    }

    /// Whether the leader of the partition has asked for a pledge within a quarter of a lease. It
    /// does so five times in the duration of one.
    pub fn leader_is_active(&self, partition: u32) -> bool {
        let last = self.last_pledge_request_ms.get(partition as usize);
        let last_ms = last.map_or(0, |last_ms| last_ms.load(Ordering::Relaxed));
        last_ms > 0 && clock::now_ms() < last_ms + self.leader_lease_ttl_ms / 4
    }

    /// Asks the leader of a partition on behalf of a user.
    pub async fn user(&self, partition: u32, call: UserCall) -> Option<Response> {
        match self.request(partition, PeerRequest::User { partition, call }).await? {
            PeerResponse::User { status, body, retry_after_s, refusal } => {
                Some(Response { status, body, retry_after_s, allow: None, refusal, content_type: "application/json" })
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
