//! Handling of requests of workers, users and other partitions.

use super::leader::{LOANS_RETRY_LATER, POOLS_RETRY_LATER, PartitionLeader};
use super::leadership::Leadership;
use super::messages::{HeartbeatReply, PartitionMessage};
use crate::api::refusal::RefusalReason;
use crate::control::partition::{HostRouting, StatusSource, UserAnswer, Waiter};
use crate::model::InstanceOffering;
use crate::runtime::clock;
use crate::transport::peer::{CapacityReport, MachineGroup, PeerResponse, UserCall};
use crate::wire::Heartbeat;

impl PartitionLeader {
    /// Handles the heartbeat of a worker.
    pub(super) fn heartbeat(&self, leadership: &mut Leadership, heartbeat: &Heartbeat, now: u64) -> HeartbeatReply {
        if !leadership.loaded {
            let fencing_token = leadership.partition.fencing_token();
            // Replies without orders prolong the leases of workers while the records are read. Which
            // partition a machine belongs to is known then only if there is a single partition.
            let is_known = self.operator.partitions == 1 && heartbeat.seen_token <= fencing_token;
            return if is_known {
                HeartbeatReply::Orders { fencing_token, orders: Vec::new() }
            } else {
                HeartbeatReply::NotLeader
            };
        }
        match leadership.partition.route_heartbeat(heartbeat) {
            HostRouting::Local => {
                let orders = leadership.partition.heartbeat(heartbeat, StatusSource::Heartbeat, now);
                HeartbeatReply::Orders { fencing_token: leadership.partition.reply_token(heartbeat), orders }
            }
            HostRouting::AwaitsHigherToken => {
                leadership.token_check_due = true;
                HeartbeatReply::NotLeader
            }
            HostRouting::OtherPartition(partition) => HeartbeatReply::OtherPartition(partition),
            HostRouting::Unknown => HeartbeatReply::Unknown,
        }
    }

    /// Answers, as the provisioner, a partition that reports which machines it needs.
    pub(super) fn capacity_report(
        &self,
        leadership: &mut Leadership,
        capacity_report: CapacityReport,
        now: u64,
    ) -> PeerResponse {
        let (pending_machines, refused) = leadership.provisioner.handle_capacity_report(
            capacity_report,
            &leadership.partition,
            now,
            self.report_validity_ms(),
        );
        PeerResponse::PendingMachines { pending_machines, refused }
    }

    /// Handles the provisioner's answer to a capacity report.
    pub(super) fn pending_machines(
        &self,
        leadership: &mut Leadership,
        pending_machines: Vec<MachineGroup>,
        refused: &[MachineGroup],
        now: u64,
    ) {
        let cluster = leadership.partition.cluster();
        let pending = pending_machines.into_iter().filter_map(|machines| {
            let instance_type = cluster.instance_type(&machines.instance_type)?;
            let machine = InstanceOffering { instance_type, zone: machines.zone, spot: machines.spot };
            Some(std::iter::repeat_n(machine, machines.count))
        });
        leadership.pending_machines = pending.flatten().collect();
        leadership.provisioner.set_refused_offerings(refused, &leadership.partition, now + self.report_validity_ms());
    }

    /// Handles a user's request. A submission that cannot be recorded now is refused at once.
    pub(super) fn user(&self, leadership: &mut Leadership, call: UserCall, reply: Waiter, now: u64) {
        let store_responsive = self.state.is_responsive(self.settings.leader_lease_ttl_ms());
        match call {
            UserCall::Submit(_) if !store_responsive => {
                let _ = reply.send(UserAnswer::RetryLater(RefusalReason::StateServiceSilent));
            }
            UserCall::Submit(body) => {
                leadership.partition.set_has_outdated_peer(self.router.has_outdated_peer());
                leadership.partition.submit(&body, now, clock::wall_ms(), reply);
            }
            UserCall::Status(id) => {
                let answer = leadership.partition.status(&id);
                self.record_poll(leadership, &id, &answer, store_responsive, now);
                let _ = reply.send(answer);
            }
            UserCall::Cancel(id) => leadership.partition.cancel(&id, now, store_responsive, reply),
        }
    }
}

impl PartitionLeader {
    /// Checks that no job is refused for longer than a worker's lease while this node leads and the state service
    /// responds. A job that is refused for longer is logged and counted.
    fn record_poll(
        &self,
        leadership: &mut Leadership,
        id: &str,
        answer: &UserAnswer,
        store_responsive: bool,
        now: u64,
    ) {
        if !store_responsive {
            leadership.refused_jobs.clear();
            return;
        }
        let refusal = match answer {
            UserAnswer::RetryLater(reason) => Some(*reason),
            _ => None,
        };
        let Some(refused_ms) = leadership.refused_jobs.record(id, refusal, now, self.settings.lease_ms()) else {
            return;
        };
        let reason = refusal.map(RefusalReason::label).unwrap_or_default();
        tracing::error!(job = id, reason, refused_ms, "polls of the job are refused for too long");
        leadership.partition.metrics_mut().count("jobs_refused_too_long", &reason);
    }
}

/// Refuses a message while this node does not lead the partition. Requesters go to the leader or
/// retry.
pub(super) fn handle_while_follower(message: PartitionMessage) {
    match message {
        PartitionMessage::Heartbeat { reply, .. } => {
            let _ = reply.send(HeartbeatReply::NotLeader);
        }
        PartitionMessage::User { reply, .. } => {
            let _ = reply.send(UserAnswer::RetryLater(RefusalReason::NotLeader));
        }
        PartitionMessage::PoolStatus(reply) => {
            let _ = reply.send(POOLS_RETRY_LATER);
        }
        PartitionMessage::LoanStatus(reply) => {
            let _ = reply.send(LOANS_RETRY_LATER);
        }
        PartitionMessage::Metrics(reply) => {
            let _ = reply.send(String::new());
        }
        PartitionMessage::CapacityReport { reply, .. } | PartitionMessage::TransferHost { reply, .. } => {
            let _ = reply.send(PeerResponse::Rejected);
        }
        PartitionMessage::Background { .. } => {}
    }
}
