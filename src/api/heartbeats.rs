//! Heartbeats of workers: forwarded to the leader of their machine's partition.
//!
//! Without a valid leader lease a heartbeat is answered with 421 and the leader's node, or with
//! 503; never with a 200, which would carry orders that the worker must drop. The one exception is
//! `Api::renews_without_leader`: a 200 without orders, under the worker's own token.

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

/// What the leaders on this node answer to a heartbeat.
enum LocalAnswer {
    /// The response to the worker.
    Response(Response),
    /// The machine is of none of their partitions, but of this one.
    BelongsTo(u32),
}

impl Api {
    /// Answers the heartbeat of a worker.
    pub(super) async fn heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else {
            return Response::error(400, "not a report");
        };
        let heartbeat = Arc::new(heartbeat);
        let hint = lock(&self.route_hints).host(&heartbeat.host);
        if let Some(seen_token) = self.renews_without_leader(&heartbeat) {
            return Response::json(200, &wire::orders(seen_token, &[]));
        }
        let partition = match self.ask_local_leaders(heartbeat, hint).await {
            LocalAnswer::Response(response) => return response,
            LocalAnswer::BelongsTo(partition) => partition,
        };
        if self.router.is_self(partition) {
            return RefusalReason::NotLeaseHolder.response();
        }
        match self.router.leader(partition) {
            Some(node) => Response::json(421, &wire::leader_redirect(Some(&node))),
            None => RefusalReason::MachineWithoutLeader.response(),
        }
    }

    /// Asks the leader of the partition in which the machine was last found, then the other leaders
    /// on this node; the provisioner's knows to which partition a machine belongs.
    async fn ask_local_leaders(&self, heartbeat: Arc<Heartbeat>, hint: Option<u32>) -> LocalAnswer {
        let partitions = 0..self.router.partitions.len() as u32;
        let mut local: Vec<u32> = partitions.filter(|partition| self.router.is_self(*partition)).collect();
        local.sort_by_key(|partition| (Some(*partition) != hint, *partition));
        let mut belongs_to = 0;
        for partition in local {
            let (reply, answer) = oneshot::channel();
            let message = partition_leader::Message::Heartbeat { heartbeat: heartbeat.clone(), reply };
            if self.router.partitions[partition as usize].leader.try_send(message).is_err() {
                return LocalAnswer::Response(RefusalReason::TooManyReports.response());
            }
            match answer.await {
                Ok(HeartbeatReply::Orders { fencing_token, orders }) => {
                    lock(&self.route_hints).remember_host(&heartbeat.host, partition);
                    return LocalAnswer::Response(Response::json(200, &wire::orders(fencing_token, &orders)));
                }
                Ok(HeartbeatReply::Elsewhere(other)) => belongs_to = other,
                Ok(HeartbeatReply::Unknown) => {}
                _ => return LocalAnswer::Response(RefusalReason::NotLeaseHolder.response()),
            }
        }
        LocalAnswer::BelongsTo(belongs_to)
    }

    /// Whether this node renews the worker's lease without a leader that either of them can reach,
    /// as in a zone that is cut off or after all controllers ended in an outage: the fencing token
    /// of the answer, which is the worker's own. The answer carries no orders.
    ///
    /// The node renews leases only while no pledge binds it, so that no leader counts on their end
    /// meanwhile (`membership::PledgeStatus`). A worker that has seen a later fencing token since
    /// was asked by a leader: it is to look for that one.
    fn renews_without_leader(&self, heartbeat: &Heartbeat) -> Option<FencingToken> {
        let (now, leader_lease_ttl_ms) = (clock::now_ms(), self.router.leader_lease_ttl_ms);
        let partitions = &self.router.partitions;
        let unbound = !self.state.is_responsive(leader_lease_ttl_ms)
            && partitions.iter().all(|partition| now >= partition.pledge_status.pledged_until_ms());
        let mut route_hints = lock(&self.route_hints);
        if !unbound {
            route_hints.stop_renewing();
            return None;
        }
        let pledged = partitions.iter().map(|partition| partition.pledge_status.fencing_token()).max();
        let pledged = pledged.unwrap_or_default();
        let seen_token = heartbeat.seen_token;
        let first_token = route_hints.first_token(&heartbeat.host, seen_token);
        let same_leader = first_token == seen_token && (pledged == FencingToken::NONE || seen_token <= pledged);
        (seen_token > FencingToken::NONE && same_leader).then_some(seen_token)
    }
}
