//! Periodic work of a leader: failure detection, scheduling cycles and capacity planning.

use super::activity::Step;
use super::leader::{PROVISIONER_PARTITION, PartitionLeader};
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::control::membership;
use crate::control::partition::DetectedFailures;
use crate::runtime::clock;
use crate::runtime::task;
use crate::transport::peer::{CapacityReport, PeerRequest, PeerResponse};

impl PartitionLeader {
    /// Does the work that is due, if the lease is valid. The order matters: later steps send or commit
    /// the decisions of earlier ones.
    pub(super) fn run_due_work(&self, leadership: &mut Leadership) {
        let now = clock::now_ms();
        if !self.leader_lease.holds(now) {
            return;
        }
        if now >= leadership.timers.next_failure_detection_ms {
            self.measure(leadership, Step::FailureDetection, |leadership| self.detect_failures(leadership, now));
        }
        leadership.partition.recount_unreconciled();
        self.sync_configuration(leadership, now);
        self.look_up_dependencies(leadership);
        self.read_external_dependencies(leadership, now);
        self.read_indeterminate_records(leadership);
        self.measure(leadership, Step::Cycle, |leadership| run_scheduling_cycle(leadership, now));
        self.measure(leadership, Step::Orders, |leadership| self.send_orders(leadership, now));
        self.measure(leadership, Step::Commit, |leadership| self.commit(leadership, now));
        if now >= leadership.timers.next_plan_ms {
            leadership.timers.next_plan_ms = now + self.settings.react_ms();
            // The back-off or the hold of a waiting task may have ended, so that it can be placed.
            leadership.partition.request_cycle();
            self.measure(leadership, Step::Plan, |leadership| {
                run_timed(leadership, "plan_ms", "all", |leadership| self.plan(leadership, now));
            });
        }
    }

    /// Detects failed machines: terminates those that are lost or no longer needed, and probes those
    /// that are suspected.
    fn detect_failures(&self, leadership: &mut Leadership, now: u64) {
        let react_ms = self.settings.react_ms();
        leadership.timers.next_failure_detection_ms = now + react_ms / 3;
        leadership.token_check_due = true;
        let stalled = now > leadership.timers.last_failure_detection_ms + 2 * react_ms;
        leadership.timers.last_failure_detection_ms = now;
        if !stalled && leadership.partition.is_isolated(now) {
            // If the mailbox is full, the next failure detection tries again.
            let _ = self.election.try_send(membership::ElectionMessage::YieldLeadership);
        }
        let DetectedFailures { to_terminate, to_probe } =
            leadership.partition.detect_failures(now, self.pledge_status.last_gap_ms(now));
        for request in leadership.provisioner.terminate(to_terminate) {
            self.send_cloud_request(leadership, request);
        }
        self.probe(leadership, to_probe, now);
    }

    /// Plans which machines the partition needs, and reports the result to the provisioner.
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
            requests.extend(leadership.provisioner.distribute_machines(
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

    /// Sends the capacity report of this partition to the provisioner.
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
        let elapsed_ms =
            run_timed(leadership, "pass_ms", "all", |leadership| leadership.partition.schedule(now, clock::wall_ms()));
        // The pause grows with the duration of a cycle: cycles take at most a fifth of the time.
        leadership.timers.next_cycle_ms = now + 2 + 5 * elapsed_ms;
        leadership.timers.next_urgent_cycle_ms = leadership.timers.next_urgent_cycle_ms.max(now + elapsed_ms);
    } else if leadership.partition.is_urgent_cycle_due() && now >= leadership.timers.next_urgent_cycle_ms {
        // Urgent work does not wait for the next cycle of all work.
        let elapsed_ms = run_timed(leadership, "pass_ms", "urgent", |leadership| {
            leadership.partition.schedule_urgent(now, clock::wall_ms());
        });
        leadership.timers.next_urgent_cycle_ms = now + 2 + 5 * elapsed_ms;
    }
}

/// Runs `work`, records its duration in the metrics, and returns the duration in milliseconds.
fn run_timed(
    leadership: &mut Leadership,
    name: &'static str,
    label: &'static str,
    work: impl FnOnce(&mut Leadership),
) -> u64 {
    let start = tokio::time::Instant::now();
    work(leadership);
    let elapsed_ms = start.elapsed().as_millis() as u64;
    leadership.partition.metrics_mut().observe(name, label, elapsed_ms);
    tracing::debug!(name, label, took = elapsed_ms, "periodic work finished");
    elapsed_ms
}
