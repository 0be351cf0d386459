//! Answers to requests of the other controllers, or of this one, by the actors on this node.
//!
//! If the mailbox of an actor is full, a request to it is refused at once and not queued elsewhere.

use super::{MAX_COMMIT_WAIT, MAX_POLL_WAIT, PartitionHandle, Router};
use crate::api::refusal::RefusalReason;
use crate::borrowing::{BorrowingRequest, BorrowingResponse};
use crate::control::membership::{self, PledgeRequest};
use crate::control::partition::UserAnswer;
use crate::control::partition_leader;
use crate::runtime::clock;
use crate::transport::frame_format::FrameFormat;
use crate::transport::http::Response;
use crate::transport::peer::{PeerRequest, PeerResponse, UserCall};
use crate::warm_pools::{WarmPoolsRequest, WarmPoolsResponse, read_bills};
use crate::wire;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Partition whose leader keeps warm pools and loans. With either there is only one partition.
const ONLY_PARTITION: u32 = 0;
/// Partition whose leader is the provisioner for all partitions.
const PROVISIONER_PARTITION: u32 = 0;
/// Answer to a request about loans while the leader cannot be reached.
const LOANS_RETRY_LATER: BorrowingResponse = BorrowingResponse::RetryLater(1);
/// Answer to a request about warm pools while the leader cannot be reached.
const POOLS_RETRY_LATER: WarmPoolsResponse = WarmPoolsResponse::RetryLater(1);

impl Router {
    /// Answers a request of another controller, or of this one, by the actors on this node. `format` is
    /// the frame format that the requester speaks.
    pub async fn answer(&self, request: PeerRequest, format: FrameFormat) -> PeerResponse {
        match request {
            PeerRequest::Pledge { partition, leader, fencing_token, for_ms, state_ok } => {
                let request = PledgeRequest { leader, fencing_token, for_ms, store_responsive: state_ok };
                self.answer_pledge(partition, request, format).await
            }
            PeerRequest::ReleasePledge { partition, fencing_token } => {
                if let Some(handle) = self.handle(partition) {
                    // A pledge that is not released expires.
                    let _ =
                        handle.election_mailbox.try_send(membership::ElectionMessage::ReleasePledge { fencing_token });
                }
                PeerResponse::Accepted
            }
            PeerRequest::User { partition, call } => {
                let response = self.answer_user(partition, call).await;
                PeerResponse::User {
                    status: response.status,
                    body: response.body,
                    retry_after_s: response.retry_after_s,
                    refusal: response.refusal,
                }
            }
            PeerRequest::Configuration(request) => match &self.configuration {
                Some(configuration) => PeerResponse::Configuration(configuration.request(request).await),
                None => PeerResponse::Rejected,
            },
            PeerRequest::Pools(request) => PeerResponse::Pools(self.pools(request).await),
            PeerRequest::Loans(request) => PeerResponse::Loans(self.loans(request).await),
            PeerRequest::CapacityReport(capacity_report) => {
                let message = |reply| partition_leader::PartitionMessage::CapacityReport { capacity_report, reply };
                self.ask_actor(PROVISIONER_PARTITION, message).await.unwrap_or(PeerResponse::Rejected)
            }
            PeerRequest::TransferHost { partition, host, to } => {
                let message = |reply| partition_leader::PartitionMessage::TransferHost { host, to, reply };
                self.ask_actor(partition, message).await.unwrap_or(PeerResponse::Rejected)
            }
        }
    }

    /// Returns the handle of a partition; `None` if the partition does not exist.
    fn handle(&self, partition: u32) -> Option<&PartitionHandle> {
        self.partitions.get(partition as usize)
    }

    /// Answers a request for a pledge. The request also shows that the leader is active, and which frame
    /// format its node speaks.
    async fn answer_pledge(&self, partition: u32, request: PledgeRequest, format: FrameFormat) -> PeerResponse {
        if let Some(peer) = self.peers.iter().find(|peer| peer.name == request.leader) {
            peer.health.record_received();
            peer.format.record_frame(format);
        }
        let Some(handle) = self.handle(partition) else { return PeerResponse::Rejected };
        if let Some(last_ms) = self.last_pledge_request_ms.get(partition as usize) {
            last_ms.store(clock::now_ms(), Ordering::Relaxed);
        }
        let (reply, given) = oneshot::channel();
        let queued = handle.election_mailbox.try_send(membership::ElectionMessage::Pledge { request, reply }).is_ok();
        if queued && given.await == Ok(true) { PeerResponse::Accepted } else { PeerResponse::Rejected }
    }

    /// Answers a request about warm pools: bills from their records in the state service, the status from
    /// the leader, on this node or another.
    async fn pools(&self, request: WarmPoolsRequest) -> WarmPoolsResponse {
        let Some(state) = &self.bill_store else { return WarmPoolsResponse::NoPools };
        match request {
            WarmPoolsRequest::Bill { from, to, team } => read_bills(state, &from, &to, team.as_deref()).await,
            WarmPoolsRequest::Status if self.leads_locally(ONLY_PARTITION) => self
                .ask_actor(ONLY_PARTITION, partition_leader::PartitionMessage::PoolStatus)
                .await
                .unwrap_or(POOLS_RETRY_LATER),
            WarmPoolsRequest::Status => {
                match self.ask_remote_leader(PeerRequest::Pools(WarmPoolsRequest::Status)).await {
                    Some(PeerResponse::Pools(response)) => response,
                    _ => POOLS_RETRY_LATER,
                }
            }
        }
    }

    /// Answers a request about loans from the leader, on this node or another.
    async fn loans(&self, request: BorrowingRequest) -> BorrowingResponse {
        if self.leads_locally(ONLY_PARTITION) {
            let answer = self.ask_actor(ONLY_PARTITION, partition_leader::PartitionMessage::LoanStatus).await;
            return answer.unwrap_or(LOANS_RETRY_LATER);
        }
        match self.ask_remote_leader(PeerRequest::Loans(request)).await {
            Some(PeerResponse::Loans(response)) => response,
            _ => LOANS_RETRY_LATER,
        }
    }

    /// Sends a request to the leader of the only partition, which is another node. Returns `None` if the
    /// leader is unknown or does not answer in time.
    async fn ask_remote_leader(&self, request: PeerRequest) -> Option<PeerResponse> {
        let name = self.leader(ONLY_PARTITION)?;
        let peer = self.peers.iter().find(|peer| peer.name == name)?;
        let request_timeout = Duration::from_millis(self.leader_lease_ttl_ms * 2 / 5).min(MAX_POLL_WAIT);
        peer.request(request, request_timeout).await
    }

    /// Returns the answer of a partition's actor on this node; `None` if the partition does not exist,
    /// the actor's mailbox is full, or the actor dropped the request.
    async fn ask_actor<T>(
        &self,
        partition: u32,
        message: impl FnOnce(oneshot::Sender<T>) -> partition_leader::PartitionMessage,
    ) -> Option<T> {
        let actor: &mpsc::Sender<partition_leader::PartitionMessage> = &self.handle(partition)?.leader_mailbox;
        let (reply, answer) = oneshot::channel();
        actor.try_send(message(reply)).ok()?;
        answer.await.ok()
    }

    /// Answers a user's request by the partition's actor on this node.
    async fn answer_user(&self, partition: u32, call: UserCall) -> Response {
        let Some(handle) = self.handle(partition) else {
            return RefusalReason::NoSuchPartition.response();
        };
        let (reply, answer) = oneshot::channel();
        let is_submission = matches!(call, UserCall::Submit(_));
        let max_wait = if matches!(call, UserCall::Status(_)) { MAX_POLL_WAIT } else { MAX_COMMIT_WAIT };
        let message = partition_leader::PartitionMessage::User { call, queued_ms: clock::now_ms(), reply };
        if handle.leader_mailbox.try_send(message).is_err() {
            return RefusalReason::TooManyRequests.response();
        }
        // A commit that takes longer continues; the user gets its outcome on a retry.
        match timeout(Duration::from_millis(self.leader_lease_ttl_ms).min(max_wait), answer).await {
            Ok(Ok(answer)) => to_response(answer),
            _ if is_submission => RefusalReason::SubmissionSlow.response(),
            _ => RefusalReason::NoDecisionInTime.response(),
        }
    }
}

/// Converts the answer of a partition's actor to an HTTP response.
fn to_response(answer: UserAnswer) -> Response {
    match answer {
        UserAnswer::Accepted { created, id, phase } => {
            let status = if created { 201 } else { 200 };
            Response::json(status, &wire::job_answer(&id, phase, 0, 0))
        }
        UserAnswer::Status { id, phase, done, running } => {
            Response::json(200, &wire::job_answer(&id, phase, done, running))
        }
        UserAnswer::InvalidSubmission(message) => Response::error(400, &message),
        UserAnswer::Unschedulable(message) => Response::error(422, &message),
        UserAnswer::Unknown => Response::error(404, "no such job"),
        UserAnswer::RetryLater(reason) => reason.response(),
        UserAnswer::Busy(after_s) => RefusalReason::TooManySubmissions.response_after(after_s),
    }
}
