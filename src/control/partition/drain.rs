//! Emptying machines that are to be returned.

use super::Partition;
use crate::model::Reservation;
use crate::scheduling::{Drain, Migration};

impl Partition {
    /// Begins to empty a machine: each replica is stopped with room held for it
    /// where it goes.
    pub fn drain(&mut self, d: &Drain, now: u64) {
        let until_ms = now + self.policy.lease_ms;
        let Some(h) = self.cluster.host_mut(d.host) else { return };
        h.draining = true;
        tracing::info!(host = h.id, moves = d.migrations.len(), "emptying a machine");
        for Migration { key, attempt, .. } in &d.migrations {
            if let Some(c) = h.attempt_mut(*key, *attempt) {
                (c.stop, c.stop_awaits_record) = (Some(0.0), false);
            }
        }
        self.dispatch_queue.insert(d.host);
        for Migration { key, to, .. } in &d.migrations {
            let demand = self.cluster.jobs[key.job].spec.demand;
            if let Some(h) = self.cluster.host_mut(*to) {
                h.reservations.push(Reservation::of_job(key.job, demand, until_ms));
            }
        }
    }

    /// Takes machines that were being emptied into use again.
    pub(super) fn cancel_drain(&mut self) {
        for h in self.cluster.hosts.iter_mut().flatten().filter(|h| h.draining && !h.terminating) {
            h.draining = false;
            self.scheduling_triggers.request_cycle();
        }
    }
}
