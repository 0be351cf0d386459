//! Heartbeats of workers: handed to the leader of the machine's partition if that is on this node,
//! redirected otherwise.
//!
//! A node without a valid leader lease answers a heartbeat with 421 and the leader's node, or with
//! 503. It never answers 200, whose orders the worker would have to drop. The one exception is
//! `Api::lease_renewal_token`: a 200 without orders, with the worker's own fencing token.

use super::Api;
use crate::api::refusal::RefusalReason;
use crate::control::partition_leader::{self, HeartbeatReply};
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::runtime::sync::lock;
use crate::transport::http::Response;
use crate::wire::{self, Heartbeat};
use std::sync::Arc;
use tokio::sync::oneshot;

/// The answer of the leaders on this node to a heartbeat.
enum LocalAnswer {
    /// The response to send to the worker.
    Response(Response),
    /// The machine belongs to the partition with this number, which has no leader on this node.
    BelongsTo(u32),
}

impl Api {
    /// Answers a heartbeat of a worker.
    pub(super) async fn answer_heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else {
            return Response::error(400, "not a report");
        };
        let heartbeat = Arc::new(heartbeat);
        let hint = lock(&self.route_hints).host(&heartbeat.host);
        if let Some(seen_token) = self.lease_renewal_token(&heartbeat) {
            return Response::json(200, &wire::heartbeat_reply(seen_token, &[]));
        }
        let partition = match self.ask_leaders_on_this_node(heartbeat, hint).await {
            LocalAnswer::Response(response) => return response,
            LocalAnswer::BelongsTo(partition) => partition,
        };
        if self.router.leads_locally(partition) {
            return RefusalReason::NotLeaseHolder.response();
        }
        match self.router.leader(partition) {
            Some(node) => Response::json(421, &wire::leader_redirect(Some(&node))),
            None => RefusalReason::MachineWithoutLeader.response(),
        }
    }

    /// Asks the leader of the partition in which the machine was last found, then the other leaders
    /// on this node. The leader with the provisioner, that of partition 0, knows to which partition a
    /// machine belongs.
    async fn ask_leaders_on_this_node(&self, heartbeat: Arc<Heartbeat>, hint: Option<u32>) -> LocalAnswer {
        let partitions = 0..self.router.partitions.len() as u32;
        let mut local: Vec<u32> = partitions.filter(|partition| self.router.leads_locally(*partition)).collect();
        local.sort_by_key(|partition| (Some(*partition) != hint, *partition));
        let mut belongs_to = 0;
        for partition in local {
            let (reply, answer) = oneshot::channel();
            let message = partition_leader::PartitionMessage::Heartbeat {
                heartbeat: heartbeat.clone(),
                queued_ms: clock::now_ms(),
                reply,
            };
            if self.router.partitions[partition as usize].leader_mailbox.try_send(message).is_err() {
                return LocalAnswer::Response(RefusalReason::TooManyReports.response());
            }
            match answer.await {
                Ok(HeartbeatReply::Orders { fencing_token, orders }) => {
                    lock(&self.route_hints).remember_host(&heartbeat.host, partition);
                    return LocalAnswer::Response(Response::json(200, &wire::heartbeat_reply(fencing_token, &orders)));
                }
                Ok(HeartbeatReply::OtherPartition(other)) => belongs_to = other,
                Ok(HeartbeatReply::Unknown) => {}
                _ => return LocalAnswer::Response(RefusalReason::NotLeaseHolder.response()),
            }
        }
        LocalAnswer::BelongsTo(belongs_to)
    }

    /// Returns the fencing token with which this node renews the worker's lease without a leader;
    /// `None` if it does not renew the lease. The token is the one that the worker has seen, and the
    /// answer carries no orders. This applies if neither of them can reach a leader, as in a zone
    /// that is cut off from the network, or after all controllers ended during an outage of the
    /// state service.
    ///
    /// The node renews leases only while it is bound by no pledge, so that no leader relies on the
    /// expiry of these leases meanwhile (`membership::PledgeStatus`). A worker that has seen a later
    /// fencing token since the first renewal was contacted by a leader and has to find that leader.
    fn lease_renewal_token(&self, heartbeat: &Heartbeat) -> Option<FencingToken> {
        let (now, leader_lease_ttl_ms) = (clock::now_ms(), self.router.leader_lease_ttl_ms);
        let partitions = &self.router.partitions;
        let may_renew = !self.state.is_responsive(leader_lease_ttl_ms)
            && partitions.iter().all(|partition| now >= partition.pledge_status.pledged_until_ms());
        let mut route_hints = lock(&self.route_hints);
        if !may_renew {
            route_hints.end_renewals();
            return None;
        }
        let pledged = partitions.iter().map(|partition| partition.pledge_status.fencing_token()).max();
        let pledged = pledged.unwrap_or_default();
        let seen_token = heartbeat.seen_token;
        let token_at_first_renewal = route_hints.token_at_first_renewal(&heartbeat.host, seen_token);
        let same_leader =
            token_at_first_renewal == seen_token && (pledged == FencingToken::NONE || seen_token <= pledged);
        (seen_token > FencingToken::NONE && same_leader).then_some(seen_token)
    }
}
