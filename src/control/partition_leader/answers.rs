//! Answers to workers, users and other partitions.

use super::context::{PartitionLeader, RETRY_LOANS, RETRY_POOLS};
use super::leadership::Leadership;
use super::messages::{HeartbeatReply, Message};
use crate::api::refusal::RefusalReason;
use crate::control::partition::{HostRouting, StatusSource, UserAnswer, Waiter};
use crate::runtime::clock;
use crate::scheduling::PendingMachine;
use crate::transport::peer::{CapacityReport, Machines, PeerResponse, UserCall};
use crate::wire::Heartbeat;

impl PartitionLeader {
    /// Answers the report of a worker.
    pub(super) fn heartbeat(&self, leadership: &mut Leadership, r: &Heartbeat, now: u64) -> HeartbeatReply {
        let fencing_token = leadership.partition.fencing_token();
        if !leadership.loaded {
            // Leases live on while the records are read; but which machines
            // are whose is only known for sure if there is one partition.
            let sure = self.operator.partitions == 1 && r.seen_token <= fencing_token;
            return if sure {
                HeartbeatReply::Orders { fencing_token, orders: Vec::new() }
            } else {
                HeartbeatReply::NotEntitled
            };
        }
        match leadership.partition.route_heartbeat(r) {
            HostRouting::Local => HeartbeatReply::Orders {
                fencing_token,
                orders: leadership.partition.heartbeat(r, StatusSource::Heartbeat, now),
            },
            HostRouting::AwaitsHigherToken => {
                leadership.token_check_due = true;
                HeartbeatReply::NotEntitled
            }
            HostRouting::OtherPartition(p) => HeartbeatReply::Elsewhere(p),
            HostRouting::Unknown => HeartbeatReply::Unknown,
        }
    }

    /// As the provisioner, answers a partition that tells which machines it needs.
    pub(super) fn capacity_report(
        &self,
        leadership: &mut Leadership,
        capacity_report: CapacityReport,
        now: u64,
    ) -> PeerResponse {
        let (pending_machines, refused) =
            leadership.provisioner.capacity_report(capacity_report, &leadership.partition, now, self.patience());
        PeerResponse::PendingMachines { pending_machines, refused }
    }

    /// Takes in the answer of the provisioner.
    pub(super) fn pending_machines(
        &self,
        leadership: &mut Leadership,
        pending_machines: Vec<Machines>,
        refused: &[Machines],
        now: u64,
    ) {
        let cluster = leadership.partition.cluster();
        let pending = pending_machines.into_iter().filter_map(|m| {
            let machine =
                PendingMachine { instance_type: cluster.instance_type(&m.instance_type)?, zone: m.zone, spot: m.spot };
            Some(std::iter::repeat_n(machine, m.count))
        });
        leadership.pending_machines = pending.flatten().collect();
        leadership.provisioner.set_refused(refused, &leadership.partition, now + self.patience());
    }

    /// Answers a user.
    pub(super) fn user(&self, leadership: &mut Leadership, call: UserCall, reply: Waiter, now: u64) {
        // Refused at once: nothing can be recorded now.
        let silent = !self.state.answers(self.settings.leader_lease_ttl_ms());
        match call {
            UserCall::Submit(_) if silent => {
                let _ = reply.send(UserAnswer::RetryLater(RefusalReason::StateServiceSilent));
            }
            UserCall::Submit(body) => {
                leadership.partition.set_has_old_peer(self.router.has_old_peer());
                leadership.partition.submit(&body, now, clock::wall_ms(), reply);
            }
            UserCall::Status(id) => {
                let _ = reply.send(leadership.partition.status(&id));
            }
            UserCall::Cancel(id) => leadership.partition.cancel(&id, now, !silent, reply),
        }
    }
}

/// Without the partition, users and workers are sent away.
pub(super) fn handle_while_follower(m: Message) {
    match m {
        Message::Heartbeat { reply, .. } => {
            let _ = reply.send(HeartbeatReply::NotEntitled);
        }
        Message::User { reply, .. } => {
            let _ = reply.send(UserAnswer::RetryLater(RefusalReason::NotLeader));
        }
        Message::Pools(reply) => {
            let _ = reply.send(RETRY_POOLS);
        }
        Message::Loans(reply) => {
            let _ = reply.send(RETRY_LOANS);
        }
        Message::Metrics(reply) => {
            let _ = reply.send(String::new());
        }
        Message::CapacityReport { reply, .. } | Message::TransferHost { reply, .. } => {
            let _ = reply.send(PeerResponse::Rejected);
        }
        Message::Background { .. } => {}
    }
}
