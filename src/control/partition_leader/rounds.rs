//! What the actor does again and again: upkeep, scheduling cycles of the scheduler, plans of machines.

use super::context::PartitionLeader;
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::control::membership;
use crate::control::partition::DetectedFailures;
use crate::runtime::clock;
use crate::runtime::task;
use crate::transport::peer::{CapacityReport, PeerRequest, PeerResponse};

impl PartitionLeader {
    /// Does what is due.
    pub(super) fn drive(&self, leadership: &mut Leadership) {
        let now = clock::now_ms();
        if !self.leader_lease.holds(now) {
            return;
        }
        if now >= leadership.next_failure_detection_ms {
            self.detect_failures(leadership, now);
        }
        leadership.partition.refresh_unreconciled();
        self.follow_configuration(leadership, now);
        self.look_up_dependencies(leadership);
        self.read_externals(leadership, now);
        self.read_unclear_records(leadership);
        run_pass(leadership, now);
        self.send_orders(leadership, now);
        self.commit(leadership, now);
        if now >= leadership.next_plan_ms {
            leadership.next_plan_ms = now + self.settings.react_ms();
            // A waiting task's back-off may have ended, or a hold.
            leadership.partition.request_cycle();
            timed(leadership, "plan_ms", "all", |leadership| self.plan(leadership, now));
        }
    }

    /// Looks after machines that are not heard or not needed.
    fn detect_failures(&self, leadership: &mut Leadership, now: u64) {
        let react = self.settings.react_ms();
        leadership.next_failure_detection_ms = now + react / 3;
        leadership.token_check_due = true;
        let stalled = now > leadership.last_failure_detection_ms + 2 * react;
        leadership.last_failure_detection_ms = now;
        if !stalled && leadership.partition.is_isolated(now) {
            let _ = self.members.try_send(membership::Message::YieldLeadership);
        }
        let DetectedFailures { to_terminate: release, to_probe: probe } =
            leadership.partition.detect_failures(now, self.pledge_status.unbound_ms(now));
        for op in leadership.provisioner.release(release) {
            self.cloud_request(leadership, op);
        }
        self.probe(leadership, probe, now);
    }

    /// Plans machines; what is needed goes to the provisioner.
    fn plan(&self, leadership: &mut Leadership, now: u64) {
        let wall = clock::wall_ms();
        leadership.partition.set_reservations_recordable(self.state.answers(self.settings.leader_lease_ttl_ms()));
        self.maintain_pools(leadership, now);
        self.maintain_loans(leadership, now);
        if self.id == 0 {
            leadership.pending_machines =
                leadership.provisioner.pending_machines(0, &leadership.partition, now, self.patience());
        }
        let (capacity_report, mut ops) =
            leadership.provisioner.plan(&mut leadership.partition, &leadership.pending_machines, now, wall);
        if self.id == 0 {
            ops.extend(leadership.provisioner.lead(capacity_report, &leadership.partition, now, self.patience()));
            leadership.partition.set_pending_transfers(leadership.provisioner.pending_transfers(0));
        } else {
            self.ask_leader(leadership.n, capacity_report);
        }
        for op in ops {
            self.cloud_request(leadership, op);
        }
        for host in leadership.partition.take_records_to_reread() {
            self.records_to_reread(leadership.n, host);
        }
    }

    /// Tells the provisioner what this partition needs.
    fn ask_leader(&self, leadership_epoch: u64, capacity_report: CapacityReport) {
        let (router, sender) = (self.router.clone(), self.sender(leadership_epoch));
        task::spawn(async move {
            if let Some(PeerResponse::PendingMachines { pending_machines, refused }) =
                router.request(0, PeerRequest::CapacityReport(capacity_report)).await
            {
                sender.send(BackgroundEvent::PendingMachine { pending_machines, refused }).await;
            }
        });
    }
}

/// Runs the scheduler if there is something to decide.
fn run_pass(leadership: &mut Leadership, now: u64) {
    if leadership.partition.is_cycle_due() && now >= leadership.next_cycle_ms {
        let took =
            timed(leadership, "pass_ms", "all", |leadership| leadership.partition.schedule(now, clock::wall_ms()));
        // Rounds widen with the load: the costlier, the rarer.
        leadership.next_cycle_ms = now + 2 + 5 * took;
        leadership.next_urgent_cycle_ms = leadership.next_urgent_cycle_ms.max(now + took);
    } else if leadership.partition.is_urgent_cycle_due() && now >= leadership.next_urgent_cycle_ms {
        // What is urgent need not wait for the next round of all work.
        let took = timed(leadership, "pass_ms", "urgent", |leadership| {
            leadership.partition.schedule_urgent(now, clock::wall_ms())
        });
        leadership.next_urgent_cycle_ms = now + 2 + 5 * took;
    }
}

/// Does a piece of work and notes how many milliseconds it took.
fn timed(
    leadership: &mut Leadership,
    name: &'static str,
    label: &'static str,
    work: impl FnOnce(&mut Leadership),
) -> u64 {
    let began = tokio::time::Instant::now();
    work(leadership);
    let took = began.elapsed().as_millis() as u64;
    leadership.partition.metrics_mut().observe(name, label, took);
    tracing::debug!(name, label, took, "done");
    took
}
