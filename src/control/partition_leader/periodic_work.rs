//! Periodic work of a leader: failure detection, scheduling cycles, plans of machines.

use super::leader::{PROVISIONER_PARTITION, PartitionLeader};
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::control::membership;
use crate::control::partition::DetectedFailures;
use crate::runtime::clock;
use crate::runtime::task;
use crate::transport::peer::{CapacityReport, PeerRequest, PeerResponse};

impl PartitionLeader {
    /// Does the work that is due, if the lease is valid. The order matters: what a step decides is
    /// sent or committed by those after it.
    pub(super) fn run_due_work(&self, leadership: &mut Leadership) {
        let now = clock::now_ms();
        if !self.leader_lease.holds(now) {
            return;
        }
        if now >= leadership.timers.next_failure_detection_ms {
            self.detect_failures(leadership, now);
        }
        leadership.partition.refresh_unreconciled();
        self.follow_configuration(leadership, now);
        self.look_up_dependencies(leadership);
        self.read_external_dependencies(leadership, now);
        self.read_indeterminate_records(leadership);
        run_scheduling_cycle(leadership, now);
        self.send_orders(leadership, now);
        self.commit(leadership, now);
        if now >= leadership.timers.next_plan_ms {
            leadership.timers.next_plan_ms = now + self.settings.react_ms();
            // A waiting task's back-off may have ended, or a hold.
            leadership.partition.request_cycle();
            timed(leadership, "plan_ms", "all", |leadership| self.plan(leadership, now));
        }
    }

    /// Detects failed machines: terminates those that are lost or not needed, probes suspects.
    fn detect_failures(&self, leadership: &mut Leadership, now: u64) {
        let react_ms = self.settings.react_ms();
        leadership.timers.next_failure_detection_ms = now + react_ms / 3;
        leadership.token_check_due = true;
        let stalled = now > leadership.timers.last_failure_detection_ms + 2 * react_ms;
        leadership.timers.last_failure_detection_ms = now;
        if !stalled && leadership.partition.is_isolated(now) {
            // If the queue is full, the next failure detection asks again.
            let _ = self.election.try_send(membership::Message::YieldLeadership);
        }
        let DetectedFailures { to_terminate: release, to_probe: probe } =
            leadership.partition.detect_failures(now, self.pledge_status.last_gap_ms(now));
        for request in leadership.provisioner.terminate(release) {
            self.send_cloud_request(leadership, request);
        }
        self.probe(leadership, probe, now);
    }

    /// Plans machines; what is needed goes to the provisioner.
    fn plan(&self, leadership: &mut Leadership, now: u64) {
        let wall_ms = clock::wall_ms();
        leadership.partition.set_reservations_recordable(self.state.is_responsive(self.settings.leader_lease_ttl_ms()));
        self.maintain_pools(leadership, now);
        self.maintain_loans(leadership, now);
        if self.id == PROVISIONER_PARTITION {
            leadership.pending_machines = leadership.provisioner.pending_machines(
                PROVISIONER_PARTITION,
                &leadership.partition,
                now,
                self.report_validity_ms(),
            );
        }
        let (capacity_report, mut requests) = leadership.provisioner.plan_partition(
            &mut leadership.partition,
            &leadership.pending_machines,
            now,
            wall_ms,
        );
        if self.id == PROVISIONER_PARTITION {
            requests.extend(leadership.provisioner.distribute(
                capacity_report,
                &leadership.partition,
                now,
                self.report_validity_ms(),
            ));
            leadership.partition.set_pending_transfers(leadership.provisioner.pending_transfers(PROVISIONER_PARTITION));
        } else {
            self.report_capacity(leadership.epoch, capacity_report);
        }
        for request in requests {
            self.send_cloud_request(leadership, request);
        }
        for host in leadership.partition.take_records_to_reread() {
            self.read_host_record(leadership.epoch, host);
        }
    }

    /// Reports to the provisioner what this partition needs.
    fn report_capacity(&self, leadership_epoch: u64, capacity_report: CapacityReport) {
        let (router, sender) = (self.router.clone(), self.sender(leadership_epoch));
        task::spawn(async move {
            if let Some(PeerResponse::PendingMachines { pending_machines, refused }) =
                router.request(PROVISIONER_PARTITION, PeerRequest::CapacityReport(capacity_report)).await
            {
                sender.send(BackgroundEvent::PendingMachines { pending_machines, refused }).await;
            }
        });
    }
}

/// Runs a scheduling cycle if one is due.
fn run_scheduling_cycle(leadership: &mut Leadership, now: u64) {
    if leadership.partition.is_cycle_due() && now >= leadership.timers.next_cycle_ms {
        let took_ms =
            timed(leadership, "pass_ms", "all", |leadership| leadership.partition.schedule(now, clock::wall_ms()));
        // The costlier a cycle, the rarer: at most a fifth of the time goes into cycles.
        leadership.timers.next_cycle_ms = now + 2 + 5 * took_ms;
        leadership.timers.next_urgent_cycle_ms = leadership.timers.next_urgent_cycle_ms.max(now + took_ms);
    } else if leadership.partition.is_urgent_cycle_due() && now >= leadership.timers.next_urgent_cycle_ms {
        // Urgent work need not wait for the next cycle of all work.
        let took_ms = timed(leadership, "pass_ms", "urgent", |leadership| {
            leadership.partition.schedule_urgent(now, clock::wall_ms());
        });
        leadership.timers.next_urgent_cycle_ms = now + 2 + 5 * took_ms;
    }
}

/// Does a piece of work, and returns and records how many milliseconds it took.
fn timed(
    leadership: &mut Leadership,
    name: &'static str,
    label: &'static str,
    work: impl FnOnce(&mut Leadership),
) -> u64 {
    let began = tokio::time::Instant::now();
    work(leadership);
    let took_ms = began.elapsed().as_millis() as u64;
    leadership.partition.metrics_mut().observe(name, label, took_ms);
    tracing::debug!(name, label, took = took_ms, "done");
    took_ms
}
