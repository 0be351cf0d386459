//! What the actor does again and again: upkeep, passes of the scheduler, plans of machines.

use super::active_term::ActiveTerm;
use super::messages::SessionEvent;
use super::partition_owner::PartitionOwner;
use crate::clock;
use crate::membership;
use crate::peer::{CapacityReport, PeerRequest, PeerResponse};
use crate::task;

impl PartitionOwner {
    /// Does what is due.
    pub(super) fn drive(&self, h: &mut ActiveTerm) {
        let now = clock::now_ms();
        if !self.entitled.holds(now) {
            return;
        }
        if now >= h.next_upkeep_ms {
            self.upkeep(h, now);
        }
        h.partition.refresh_unaccounted();
        self.follow_configuration(h, now);
        self.look_up_predecessors(h);
        self.read_externals(h, now);
        self.read_unclear_records(h);
        run_pass(h, now);
        self.send_orders(h, now);
        self.commit(h, now);
        if now >= h.next_plan_ms {
            h.next_plan_ms = now + self.settings.react_ms();
            // A waiting task's back-off may have ended, or a hold.
            h.partition.pass_due = true;
            timed(h, "plan_ms", "all", |h| self.plan(h, now));
        }
    }

    /// Looks after machines that are not heard or not needed.
    fn upkeep(&self, h: &mut ActiveTerm, now: u64) {
        let react = self.settings.react_ms();
        h.next_upkeep_ms = now + react / 3;
        h.term_check_due = true;
        let stalled = now > h.upkeep_ms + 2 * react;
        h.upkeep_ms = now;
        if !stalled && h.partition.cut_off(now) {
            let _ = self.members.try_send(membership::Message::Abdicate);
        }
        let (release, probe) = h.partition.upkeep(now, self.promise_status.unbound_ms(now));
        for op in h.provisioner.release(release) {
            self.cloud_request(h, op);
        }
        self.probe(h, probe, now);
    }

    /// Plans machines; what is needed goes to the provisioner.
    fn plan(&self, h: &mut ActiveTerm, now: u64) {
        let wall = clock::wall_ms();
        h.partition.claims_recordable = self.state.answers(self.settings.grant_ttl_ms());
        self.maintain_pools(h, now);
        self.maintain_loans(h, now);
        if self.id == 0 {
            h.pending_machines = h.provisioner.pending_machines(0, &h.partition, now, self.patience());
        }
        let (capacity_report, mut ops) = h.provisioner.plan(&mut h.partition, &h.pending_machines, now, wall);
        if self.id == 0 {
            ops.extend(h.provisioner.lead(capacity_report, &h.partition, now, self.patience()));
            h.partition.destined = h.provisioner.destined(0);
        } else {
            self.ask_leader(h.n, capacity_report);
        }
        for op in ops {
            self.cloud_request(h, op);
        }
        for host in std::mem::take(&mut h.partition.recheck) {
            self.recheck(h.n, host);
        }
    }

    /// Tells the provisioner what this partition needs.
    fn ask_leader(&self, session: u64, capacity_report: CapacityReport) {
        let (router, sender) = (self.router.clone(), self.sender(session));
        task::spawn(async move {
            if let Some(PeerResponse::PendingMachines { pending_machines, refused }) =
                router.request(0, PeerRequest::CapacityReport(capacity_report)).await
            {
                sender.send(SessionEvent::PendingMachine { pending_machines, refused }).await;
            }
        });
    }
}

/// Runs the scheduler if there is something to decide.
fn run_pass(h: &mut ActiveTerm, now: u64) {
    if h.partition.pass_due && now >= h.next_pass_ms {
        let took = timed(h, "pass_ms", "all", |h| h.partition.pass(now, clock::wall_ms()));
        // Rounds widen with the load: the costlier, the rarer.
        h.next_pass_ms = now + 2 + 5 * took;
        h.next_urgent_ms = h.next_urgent_ms.max(now + took);
    } else if h.partition.urgent_pass_due && now >= h.next_urgent_ms {
        // What is urgent need not wait for the next round of all work.
        let took = timed(h, "pass_ms", "urgent", |h| h.partition.urgent_pass(now, clock::wall_ms()));
        h.next_urgent_ms = now + 2 + 5 * took;
    }
}

/// Does a piece of work and notes how many milliseconds it took.
fn timed(h: &mut ActiveTerm, name: &'static str, label: &'static str, work: impl FnOnce(&mut ActiveTerm)) -> u64 {
    let began = tokio::time::Instant::now();
    work(h);
    let took = began.elapsed().as_millis() as u64;
    h.partition.metrics.observe(name, label, took);
    tracing::debug!(name, label, took, "done");
    took
}
