//! Routing of requests to the leaders of the partitions: to the actors on this node, or to the other
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

/// Longest wait for a leader's answer to a poll or a cancellation. A user waits 2 s for the answer to
/// a poll; a new read of the job's record still fits into the rest of that time.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1200);

/// Longest wait for the commit of a submission or a cancellation. A user waits 5 s for the answer.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(4000);

/// Number of checks within the duration of a leader lease whether the leader is active, while a
/// submission waits for a leader on another node.
const LEADER_CHECKS_PER_LEASE: u64 = 10;

/// Number of a partition that does not exist, so that a release of its pledge has no effect.
const NONEXISTENT_PARTITION: u32 = u32::MAX;

/// Factor by which a peer of this version is asked for its frame format less often than others.
const CURRENT_PEER_INTERVALS: u32 = 4;

/// Shared state of one partition on this node, and the mailboxes of its actors.
#[derive(Clone)]
pub struct PartitionHandle {
    /// Leader of the partition, as far as this node knows.
    pub leader_status: watch::Receiver<LeaderStatus>,
    /// Lease that decides whether this node may act for the partition now.
    pub leader_lease: LeaderLease,
    /// Pledges for the partition that this node has given or received.
    pub pledge_status: PledgeStatus,
    /// Mailbox of the partition's actor, which does the partition's work while this node leads it.
    pub leader_mailbox: mpsc::Sender<partition_leader::PartitionMessage>,
    /// Mailbox of the partition's election actor.
    pub election_mailbox: mpsc::Sender<membership::ElectionMessage>,
}

/// Numbers of the other controllers, by their version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerVersions {
    /// Controllers of this version or a later one.
    pub current: usize,
    /// Controllers of an earlier version.
    pub old: usize,
    /// Controllers that nothing has been received from yet.
    pub unknown: usize,
}

/// Routes requests to the leaders of all partitions. Cloning is cheap.
#[derive(Clone)]
pub struct Router {
    /// Handles of the partitions, by number.
    pub partitions: Arc<Vec<PartitionHandle>>,
    /// Clients of the other controllers.
    pub peers: Arc<Vec<Peer>>,
    /// Duration of a leader lease in milliseconds; the timeouts derive from it.
    pub leader_lease_ttl_ms: u64,
    /// Shared configuration of the fleet; `None` if the controller is not part of one.
    pub configuration: Option<ConfigurationHandle>,
    /// Client of the state service, for reads of the bills of warm pools; `None` without pools.
    pub bill_store: Option<StateStore>,
    /// Instant, in milliseconds of the steady clock, of the last request for a pledge from the leader
    /// of each partition; 0 if there was none.
    pub last_pledge_request_ms: Arc<Vec<AtomicU64>>,
}

impl Router {
    /// Returns whether this node leads the partition.
    pub fn leads_locally(&self, partition: u32) -> bool {
        self.partitions.get(partition as usize).is_some_and(|handle| handle.leader_status.borrow().is_local)
    }

    /// Returns the name of the node that leads the partition; `None` if it is not known here.
    pub fn leader(&self, partition: u32) -> Option<String> {
        self.partitions.get(partition as usize)?.leader_status.borrow().leader.clone()
    }

    /// Sends a request to the leader of a partition, on this node or another. Returns `None` if the
    /// leader is unknown or does not answer in time.
    pub async fn request(&self, partition: u32, request: PeerRequest) -> Option<PeerResponse> {
        if self.leads_locally(partition) {
            return Some(self.answer(request, FrameFormat::CURRENT).await);
        }
        let name = self.leader(partition)?;
        let peer = self.peers.iter().find(|peer| peer.name == name)?;
        if matches!(request, PeerRequest::User { call: UserCall::Submit(_), .. }) {
            return peer.request_until(request, self.wait_until_leader_inactive(partition)).await;
        }
        let request_timeout = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5);
        peer.request(request, request_timeout.min(MAX_POLL_WAIT)).await
    }

    /// Waits until the leader of the partition is inactive, or until [`MAX_COMMIT_WAIT`] is nearly over.
    /// A submission can be accepted without the leader, so it does not wait for one that may have
    /// failed. A leader that is only slow, as after a failover, should accept it itself.
    async fn wait_until_leader_inactive(&self, partition: u32) {
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

    /// Returns whether this node may act for a partition that it leads.
    pub fn holds_any_lease(&self, now_ms: u64) -> bool {
        self.partitions.iter().any(|partition| partition.leader_lease.holds(now_ms))
    }

    /// Returns whether any of the other controllers can be reached.
    pub fn reaches_any_peer(&self) -> bool {
        self.peers.iter().any(|peer| peer.health.is_reachable())
    }

    /// Returns the number of other controllers that are unresponsive.
    pub fn unresponsive_peers(&self) -> usize {
        self.peers.iter().filter(|peer| peer.health.is_unresponsive()).count()
    }

    /// Returns the numbers of other controllers of this version, of an earlier one, and of an unknown one.
    pub fn peer_versions(&self) -> PeerVersions {
        let count = |predicate: fn(&Peer) -> bool| self.peers.iter().filter(|peer| predicate(peer)).count();
        PeerVersions {
            current: count(|peer| peer.format.is_current()),
            old: count(|peer| peer.format.is_earlier_version()),
            unknown: count(|peer| peer.format.get().is_none()),
        }
    }

    /// Returns whether any of the other controllers is known to be of an earlier version.
    pub fn has_outdated_peer(&self) -> bool {
        self.peers.iter().any(|peer| peer.format.is_earlier_version())
    }

    /// Returns whether the partition's leader is known to be of this version.
    pub fn leader_is_current(&self, partition: u32) -> bool {
        let peer_named = |name: String| self.peers.iter().find(|peer| peer.name == name);
        self.leads_locally(partition)
            || self.leader(partition).and_then(peer_named).is_some_and(|peer| peer.format.is_current())
    }

    /// Detects the frame format that a peer speaks, for as long as this node runs. It periodically sends
    /// a request that every version answers and that has no effect.
    pub async fn watch_format(self, peer: Peer) {
        let request_timeout = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5);
        loop {
            // The answer is ignored; the peer's client records its format.
            peer.request(
                PeerRequest::ReleasePledge { partition: NONEXISTENT_PARTITION, fencing_token: FencingToken::NONE },
                request_timeout,
            )
            .await;
            let intervals = if peer.format.is_current() { CURRENT_PEER_INTERVALS } else { 1 };
            sleep(request_timeout * intervals).await;
        }
    }

    /// Returns whether the leader of the partition has requested a pledge within a quarter of the
    /// duration of a lease. An active leader requests one five times within that duration.
    pub fn leader_is_active(&self, partition: u32) -> bool {
        let last = self.last_pledge_request_ms.get(partition as usize);
        let last_ms = last.map_or(0, |last_ms| last_ms.load(Ordering::Relaxed));
        last_ms > 0 && clock::now_ms() < last_ms + self.leader_lease_ttl_ms / 4
    }

    /// Sends a user's request to the leader of a partition. Returns `None` if there is no answer.
    pub async fn forward_user_call(&self, partition: u32, call: UserCall) -> Option<Response> {
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
