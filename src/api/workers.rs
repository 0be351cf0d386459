//! Reports of workers: passed on to the leader of their machine, or answered for one that is gone.

use super::Api;
use crate::api::refusal::RefusalReason;
use crate::control::partition_leader::{self, HeartbeatReply};
use crate::model::FencingToken;
use crate::runtime::clock;
use crate::transport::http::Response;
use crate::wire::{self, Heartbeat};
use std::sync::Arc;
use tokio::sync::oneshot;

impl Api {
    /// Answers the report of a worker.
    pub(super) async fn heartbeat(&self, body: &[u8]) -> Response {
        let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else {
            return Response::error(400, "not a report");
        };
        let heartbeat = Arc::new(heartbeat);
        let host = heartbeat.host.clone();
        let hint = self.route_hints.lock().ok().and_then(|hints| hints.host(&host));
        if let Some(seen_token) = self.keeps(&heartbeat) {
            return Response::json(200, &wire::orders(seen_token, &[]));
        }
        // Where it was last, then the other partitions of this node; the provisioner's
        // knows where a machine belongs.
        let mut todo: Vec<u32> = (0..self.router.partitions.len() as u32).filter(|p| self.router.is_self(*p)).collect();
        todo.sort_by_key(|p| (Some(*p) != hint, *p));
        let mut belongs = 0;
        for partition in todo {
            let (tx, rx) = oneshot::channel();
            let m = partition_leader::Message::Heartbeat { heartbeat: heartbeat.clone(), reply: tx };
            if self.router.partitions[partition as usize].leader.try_send(m).is_err() {
                return RefusalReason::TooManyReports.response();
            }
            match rx.await {
                Ok(HeartbeatReply::Orders { fencing_token, orders }) => {
                    if let Ok(mut p) = self.route_hints.lock() {
                        p.remember_host(&host, partition);
                    }
                    return Response::json(200, &wire::orders(fencing_token, &orders));
                }
                Ok(HeartbeatReply::Elsewhere(p)) => belongs = p,
                Ok(HeartbeatReply::Unknown) => {}
                _ => return RefusalReason::NotEntitled.response(),
            }
        }
        if !self.router.is_self(belongs) {
            return match self.router.leader(belongs) {
                Some(h) => Response::json(421, &wire::redirect(Some(&h))),
                None => RefusalReason::MachineWithoutLeader.response(),
            };
        }
        RefusalReason::NotEntitled.response()
    }

    /// Whether this node keeps the worker's lease alive for a leader that neither
    /// of them can reach, as in a zone that is cut off or after all controllers
    /// ended in an outage: the token with which it answers, which is the worker's
    /// own. Nothing is ordered. It is bound by no pledge, so that no leader counts
    /// on the end of leases meanwhile (`membership::PledgeStatus`). A worker that has
    /// seen a later fencing token was asked by a leader since: it is to look for that one.
    fn keeps(&self, r: &Heartbeat) -> Option<FencingToken> {
        let (now, leader_lease_ttl_ms) = (clock::now_ms(), self.router.leader_lease_ttl_ms);
        let alone = !self.state.is_responsive(leader_lease_ttl_ms)
            && self.router.partitions.iter().all(|d| now >= d.pledge_status.pledged_until_ms());
        let mut route_hints = self.route_hints.lock().ok()?;
        if !alone {
            route_hints.keep_none();
            return None;
        }
        let known = self.router.partitions.iter().map(|d| d.pledge_status.fencing_token()).max().unwrap_or_default();
        let first = route_hints.first_token(&r.host, r.seen_token);
        (r.seen_token > FencingToken::NONE
            && first == r.seen_token
            && (known == FencingToken::NONE || r.seen_token <= known))
            .then_some(r.seen_token)
    }
}
