//! Answers to workers, users and other partitions.

use super::active_term::ActiveTerm;
use super::messages::{HeartbeatReply, Message};
use super::partition_owner::{PartitionOwner, RETRY_LOANS, RETRY_POOLS};
use crate::clock;
use crate::partition::{HostRouting, ReportSource, UserAnswer, Waiter};
use crate::peer::{CapacityReport, Machines, PeerResponse, UserCall};
use crate::refusal::RefusalReason;
use crate::sched::PendingMachine;
use crate::wire::Report;

impl PartitionOwner {
    /// Answers the report of a worker.
    pub(super) fn heartbeat(&self, h: &mut ActiveTerm, r: &Report, now: u64) -> HeartbeatReply {
        let term = h.partition.term;
        if !h.loaded {
            // Leases live on while the records are read; but which machines
            // are whose is only known for sure if there is one partition.
            let sure = self.operator.partitions == 1 && r.fence <= term;
            return if sure {
                HeartbeatReply::Orders { term, orders: Vec::new() }
            } else {
                HeartbeatReply::NotEntitled
            };
        }
        match h.partition.belongs(r) {
            HostRouting::Mine => {
                HeartbeatReply::Orders { term, orders: h.partition.report(r, ReportSource::Heartbeat, now) }
            }
            HostRouting::NotYet => {
                h.term_check_due = true;
                HeartbeatReply::NotEntitled
            }
            HostRouting::Elsewhere(p) => HeartbeatReply::Elsewhere(p),
            HostRouting::Unknown => HeartbeatReply::Unknown,
        }
    }

    /// As the provisioner, answers a partition that tells which machines it needs.
    pub(super) fn capacity_report(
        &self,
        h: &mut ActiveTerm,
        capacity_report: CapacityReport,
        now: u64,
    ) -> PeerResponse {
        let (pending_machines, refused) =
            h.provisioner.capacity_report(capacity_report, &h.partition, now, self.patience());
        PeerResponse::PendingMachines { pending_machines, refused }
    }

    /// Takes in the answer of the provisioner.
    pub(super) fn pending_machines(
        &self,
        h: &mut ActiveTerm,
        pending_machines: Vec<Machines>,
        refused: &[Machines],
        now: u64,
    ) {
        let cluster = &h.partition.cluster;
        let pending = pending_machines.into_iter().filter_map(|m| {
            let machine = PendingMachine { flavor: cluster.flavor(&m.flavor)?, zone: m.zone, spot: m.spot };
            Some(std::iter::repeat_n(machine, m.count))
        });
        h.pending_machines = pending.flatten().collect();
        h.provisioner.set_refused(refused, &h.partition, now + self.patience());
    }

    /// Answers a user.
    pub(super) fn user(&self, h: &mut ActiveTerm, call: UserCall, reply: Waiter, now: u64) {
        // Refused at once: nothing can be recorded now.
        let silent = !self.state.answers(self.settings.grant_ttl_ms());
        match call {
            UserCall::Submit(_) if silent => {
                let _ = reply.send(UserAnswer::RetryLater(RefusalReason::StateServiceSilent));
            }
            UserCall::Submit(body) => {
                h.partition.has_old_peer = self.router.has_old_peer();
                h.partition.submit(&body, now, clock::wall_ms(), reply);
            }
            UserCall::Status(id) => {
                let _ = reply.send(h.partition.status(&id));
            }
            UserCall::Cancel(id) => h.partition.cancel(&id, now, !silent, reply),
        }
    }
}

/// Without the partition, users and workers are sent away.
pub(super) fn handle_idle(m: Message) {
    match m {
        Message::Heartbeat { reply, .. } => {
            let _ = reply.send(HeartbeatReply::NotEntitled);
        }
        Message::User { reply, .. } => {
            let _ = reply.send(UserAnswer::RetryLater(RefusalReason::NotOwner));
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
            let _ = reply.send(PeerResponse::No);
        }
        Message::Session { .. } => {}
    }
}
