//! The ways to the leaders of the partitions: the actors on this node, or the other
//! controllers.

use crate::api::refusal::RefusalReason;
use crate::borrowing::{BorrowingRequest, BorrowingResponse};
use crate::clients::StateStore;
use crate::configuration::ConfigurationHandle;
use crate::control::membership::{self, LeaderLease, LeaderStatus, PledgeRequest, PledgeStatus};
use crate::control::partition::UserAnswer;
use crate::control::partition_leader;
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::transport::frame_format::FrameFormat;
use crate::transport::http::Response;
use crate::transport::peer::{Peer, PeerRequest, PeerResponse, UserCall};
use crate::warm_pools::{WarmPoolsRequest, WarmPoolsResponse, read_bills};
use crate::wire;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for a leader that is polled or told to cancel. A user waits 2 s for a poll:
/// a fresh read of the record still fits in.
const MAX_POLL_WAIT: Duration = Duration::from_millis(1200);

/// Longest wait for the commit of a submission or a cancellation, for which a user waits 5 s.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(4000);

/// While a submission waits for a leader on another node, this node looks so many times in a
/// lease's life whether the leader is at work.
const OWNER_LOOKS: u64 = 10;

/// The partition whose leader keeps warm pools and loans: there is one alone with them.
const ONLY_PARTITION: u32 = 0;

/// What is answered about loans while the leader can't be asked.
const RETRY_LOANS: BorrowingResponse = BorrowingResponse::RetryLater(1);
/// What is answered about pools while their leader can't be asked.
const RETRY_POOLS: WarmPoolsResponse = WarmPoolsResponse::RetryLater(1);

/// A partition that there is not: what is released of it changes nothing.
const NO_PARTITION: u32 = u32::MAX;

/// A peer of this version is asked so many times less often for its format than others.
const FORMAT_ROUNDS: u32 = 4;

/// The way to one partition on this node.
#[derive(Clone)]
pub struct PartitionHandle {
    /// Who holds the partition, as far as this node knows.
    pub leader_status: watch::Receiver<LeaderStatus>,
    /// Whether this node may act for it now.
    pub leader_lease: LeaderLease,
    /// The pledges about it that bind this node, or others to it.
    pub pledge_status: PledgeStatus,
    /// Mailbox of the actor that does the partition's work while this node holds it.
    pub leader: mpsc::Sender<partition_leader::Message>,
    /// Mailbox of its membership actor.
    pub members: mpsc::Sender<membership::Message>,
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

/// The ways to all partitions; cheap to clone.
#[derive(Clone)]
pub struct Router {
    /// The partitions, by number.
    pub partitions: Arc<Vec<PartitionHandle>>,
    /// The other controllers.
    pub peers: Arc<Vec<Peer>>,
    /// Life of a leader's lease in milliseconds, from which the time limits derive.
    pub leader_lease_ttl_ms: u64,
    /// The shared configuration of a fleet, if the controller is told of one.
    pub configuration: Option<ConfigurationHandle>,
    /// The state service, where bills of warm pools are read; none without pools.
    pub bills: Option<StateStore>,
    /// When the leader of each partition was last heard to be at work.
    pub last_heartbeat_ms: Arc<Vec<AtomicU64>>,
}

impl Router {
    /// Does this node hold the partition?
    pub fn is_self(&self, partition: u32) -> bool {
        self.partitions.get(partition as usize).is_some_and(|d| d.leader_status.borrow().is_self)
    }

    /// The node that holds a partition, as far as is known here.
    pub fn leader(&self, partition: u32) -> Option<String> {
        self.partitions.get(partition as usize)?.leader_status.borrow().leader.clone()
    }

    /// Asks the leader of a partition, here or elsewhere.
    pub async fn request(&self, partition: u32, request: PeerRequest) -> Option<PeerResponse> {
        if self.is_self(partition) {
            return Some(self.answer(request, FrameFormat::CURRENT).await);
        }
        let name = self.leader(partition)?;
        let peer = self.peers.iter().find(|p| p.name == name)?;
        if matches!(request, PeerRequest::User { call: UserCall::Submit(_), .. }) {
            return peer.request_until(request, self.owner_is_gone(partition)).await;
        }
        let limit = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5);
        peer.request(request, limit.min(MAX_POLL_WAIT)).await
    }

    /// Waits until the leader of the partition is not heard to be at work, or a submission can
    /// wait no longer. It can be accepted without the leader, and need not wait for one that may
    /// be gone; but one that is only slow, as after a failover, is the one to accept it.
    async fn owner_is_gone(&self, partition: u32) {
        let begun = Instant::now();
        let look = Duration::from_millis(self.leader_lease_ttl_ms / OWNER_LOOKS).min(MAX_POLL_WAIT);
        loop {
            sleep(look).await;
            if !self.at_work(partition) || begun.elapsed() + look > MAX_COMMIT_WAIT {
                return;
            }
        }
    }

    /// How many of the other controllers are silent.
    pub fn silent_peers(&self) -> usize {
        self.peers.iter().filter(|p| p.health.is_silent()).count()
    }

    /// How many of the other controllers are of this version, of an earlier one, or not heard yet.
    pub fn peer_versions(&self) -> PeerVersions {
        let count = |holds: fn(&Peer) -> bool| self.peers.iter().filter(|peer| holds(peer)).count();
        PeerVersions {
            current: count(|peer| peer.format.is_current()),
            old: count(|peer| peer.format.is_old()),
            unknown: count(|peer| peer.format.get().is_none()),
        }
    }

    /// Has any of the other controllers said that it is of an earlier version?
    pub fn has_old_peer(&self) -> bool {
        self.peers.iter().any(|p| p.format.is_old())
    }

    /// Is the partition's leader certainly of this version?
    pub fn owner_is_current(&self, partition: u32) -> bool {
        let named = |name: String| self.peers.iter().find(|p| p.name == name);
        self.is_self(partition) || self.leader(partition).and_then(named).is_some_and(|p| p.format.is_current())
    }

    /// Learns the format that a peer speaks, for as long as this node runs: asks for something
    /// that every version answers and that has no effect.
    pub async fn watch_format(self, peer: Peer) {
        let limit = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5);
        loop {
            peer.request(
                PeerRequest::ReleasePledge { partition: NO_PARTITION, fencing_token: FencingToken::NONE },
                limit,
            )
            .await;
            let rounds = if peer.format.is_current() { FORMAT_ROUNDS } else { 1 };
            sleep(limit * rounds).await;
        }
    }

    /// Has the leader of the partition asked for a pledge just now? It does so five
    /// times in the life of one.
    pub fn at_work(&self, partition: u32) -> bool {
        let heard = self.last_heartbeat_ms.get(partition as usize).map_or(0, |h| h.load(Ordering::Relaxed));
        heard > 0 && clock::now_ms() < heard + self.leader_lease_ttl_ms / 4
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

    /// Answers another controller, or this one, from the actors on this node.
    pub async fn answer(&self, request: PeerRequest, format: FrameFormat) -> PeerResponse {
        match request {
            PeerRequest::Pledge { partition, leader, fencing_token, for_ms, state_ok } => {
                if let Some(peer) = self.peers.iter().find(|p| p.name == leader) {
                    peer.health.heard();
                    peer.format.heard(format);
                }
                let Some(handle) = self.partitions.get(partition as usize) else { return PeerResponse::Rejected };
                if let Some(h) = self.last_heartbeat_ms.get(partition as usize) {
                    h.store(clock::now_ms(), Ordering::Relaxed);
                }
                let (reply, rx) = oneshot::channel();
                let request = PledgeRequest { leader, fencing_token, for_ms, store_responsive: state_ok };
                let m = membership::Message::Pledge { request, reply };
                if handle.members.try_send(m).is_ok() && rx.await == Ok(true) {
                    PeerResponse::Accepted
                } else {
                    PeerResponse::Rejected
                }
            }
            PeerRequest::ReleasePledge { partition, fencing_token } => {
                if let Some(handle) = self.partitions.get(partition as usize) {
                    let _ = handle.members.try_send(membership::Message::ReleasePledge { fencing_token });
                }
                PeerResponse::Accepted
            }
            PeerRequest::User { partition, call } => {
                let r = self.local(partition, call).await;
                PeerResponse::User {
                    status: r.status,
                    body: r.body,
                    retry_after_s: r.retry_after_s,
                    refusal: r.refusal,
                }
            }
            PeerRequest::Configuration(request) => match &self.configuration {
                Some(configuration) => PeerResponse::Configuration(configuration.answer(request).await),
                None => PeerResponse::Rejected,
            },
            PeerRequest::Pools(request) => PeerResponse::Pools(self.pools(request).await),
            PeerRequest::Loans(request) => PeerResponse::Loans(self.loans(request).await),
            PeerRequest::CapacityReport(capacity_report) => {
                self.actor(0, |reply| partition_leader::Message::CapacityReport { capacity_report, reply }).await
            }
            PeerRequest::TransferHost { partition, host, to } => {
                self.actor(partition, |reply| partition_leader::Message::TransferHost { host, to, reply }).await
            }
        }
    }

    /// Answers a question about warm pools: bills from their records, the rest by the leader,
    /// wherever it is.
    async fn pools(&self, request: WarmPoolsRequest) -> WarmPoolsResponse {
        let Some(state) = &self.bills else { return WarmPoolsResponse::NoPools };
        match request {
            WarmPoolsRequest::Bill { from, to, team } => read_bills(state, &from, &to, team.as_deref()).await,
            WarmPoolsRequest::Status if self.is_self(ONLY_PARTITION) => {
                let (reply, answer) = oneshot::channel();
                let leader = self.partitions.get(ONLY_PARTITION as usize).map(|handle| &handle.leader);
                let asked =
                    leader.is_some_and(|leader| leader.try_send(partition_leader::Message::PoolStatus(reply)).is_ok());
                if asked { answer.await.unwrap_or(RETRY_POOLS) } else { RETRY_POOLS }
            }
            WarmPoolsRequest::Status => self.ask_owner_of_pools().await.unwrap_or(RETRY_POOLS),
        }
    }

    async fn ask_owner_of_pools(&self) -> Option<WarmPoolsResponse> {
        match self.ask_only_owner(PeerRequest::Pools(WarmPoolsRequest::Status)).await? {
            PeerResponse::Pools(response) => Some(response),
            _ => None,
        }
    }

    /// Answers a question about loans, by the leader wherever it is.
    async fn loans(&self, request: BorrowingRequest) -> BorrowingResponse {
        if !self.is_self(ONLY_PARTITION) {
            let answer = self.ask_only_owner(PeerRequest::Loans(request)).await;
            return match answer {
                Some(PeerResponse::Loans(response)) => response,
                _ => RETRY_LOANS,
            };
        }
        let (reply, answer) = oneshot::channel();
        let leader = self.partitions.get(ONLY_PARTITION as usize).map(|handle| &handle.leader);
        let asked = leader.is_some_and(|leader| leader.try_send(partition_leader::Message::LoanStatus(reply)).is_ok());
        if asked { answer.await.unwrap_or(RETRY_LOANS) } else { RETRY_LOANS }
    }

    /// Asks the leader of the one partition, which is another node.
    async fn ask_only_owner(&self, request: PeerRequest) -> Option<PeerResponse> {
        let name = self.leader(ONLY_PARTITION)?;
        let peer = self.peers.iter().find(|peer| peer.name == name)?;
        let limit = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5).min(MAX_POLL_WAIT);
        peer.request(request, limit).await
    }

    async fn actor(
        &self,
        partition: u32,
        m: impl FnOnce(oneshot::Sender<PeerResponse>) -> partition_leader::Message,
    ) -> PeerResponse {
        let Some(handle) = self.partitions.get(partition as usize) else { return PeerResponse::Rejected };
        let (reply, rx) = oneshot::channel();
        match handle.leader.try_send(m(reply)) {
            Ok(()) => rx.await.unwrap_or(PeerResponse::Rejected),
            Err(_) => PeerResponse::Rejected,
        }
    }

    async fn local(&self, partition: u32, call: UserCall) -> Response {
        let Some(handle) = self.partitions.get(partition as usize) else {
            return RefusalReason::NoSuchPartition.response();
        };
        let (tx, rx) = oneshot::channel();
        let submits = matches!(call, UserCall::Submit(_));
        let longest = if matches!(call, UserCall::Status(_)) { MAX_POLL_WAIT } else { MAX_COMMIT_WAIT };
        if handle.leader.try_send(partition_leader::Message::User { call, reply: tx }).is_err() {
            return RefusalReason::TooManyRequests.response();
        }
        // A commit that takes longer is answered by the retry.
        match timeout(Duration::from_millis(self.leader_lease_ttl_ms).min(longest), rx).await {
            Ok(Ok(a)) => to_response(a),
            _ if submits => RefusalReason::SubmissionSlow.response(),
            _ => RefusalReason::NoDecisionInTime.response(),
        }
    }
}

fn to_response(a: UserAnswer) -> Response {
    match a {
        UserAnswer::Accepted { created, id, phase } => {
            let status = if created { 201 } else { 200 };
            Response::json(status, &wire::job_answer(&id, phase, 0, 0))
        }
        UserAnswer::Status { id, phase, done, running } => {
            Response::json(200, &wire::job_answer(&id, phase, done, running))
        }
        UserAnswer::InvalidSubmission(m) => Response::error(400, &m),
        UserAnswer::Unschedulable(m) => Response::error(422, &m),
        UserAnswer::Unknown => Response::error(404, "no such job"),
        UserAnswer::RetryLater(reason) => reason.response(),
        UserAnswer::Busy(after_s) => RefusalReason::TooManySubmissions.response_after(after_s),
    }
}

#[cfg(test)]
mod tests;
