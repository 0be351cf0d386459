//! Draining of hosts that are to be returned to the cloud.

use super::Partition;
use crate::model::Reservation;
use crate::scheduling::{Drain, Migration};

impl Partition {
    /// Starts to drain a host: stops each replica and reserves capacity for it on the host it migrates
    /// to.
    pub fn drain(&mut self, drain: &Drain, now: u64) {
        let until_ms = now + self.policy.lease_ms;
        let Some(host) = self.cluster.host_mut(drain.host) else { return };
        host.draining = true;
        tracing::info!(host = host.id, moves = drain.migrations.len(), "draining host");
        for Migration { key, attempt, .. } in &drain.migrations {
            if let Some(stored) = host.attempt_mut(*key, *attempt) {
                (stored.stop, stored.stop_awaits_record) = (Some(0.0), false);
            }
        }
        self.dispatch_queue.insert(drain.host);
        for Migration { key, to, .. } in &drain.migrations {
            let demand = self.cluster.jobs[key.job].spec.demand;
            if let Some(host) = self.cluster.host_mut(*to) {
                host.reservations.push(Reservation::of_job(key.job, demand, until_ms));
            }
        }
    }

    /// Makes hosts that are being drained, and are not terminating, available for scheduling again.
    pub(super) fn cancel_drain(&mut self) {
        for host in self.cluster.hosts.iter_mut().flatten().filter(|host| host.draining && !host.terminating) {
            host.draining = false;
            self.scheduling_triggers.request_cycle();
        }
    }
}
