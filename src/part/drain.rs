//! Emptying machines that are to be returned.

use super::Part;
use crate::model::Claim;
use crate::sched::Drain;

impl Part {
    /// Begins to empty a machine: each replica is stopped with room held for it
    /// where it goes.
    pub fn drain(&mut self, d: &Drain, now: u64) {
        let until_ms = now + self.policy.lease_ms;
        let Some(h) = self.world.host_mut(d.host) else { return };
        h.draining = true;
        tracing::info!(host = h.id, moves = d.moves.len(), "emptying a machine");
        for (key, attempt, _) in &d.moves {
            if let Some(c) = h.copy_mut(*key, *attempt) {
                c.stop = Some(0.0);
            }
        }
        self.kick.insert(d.host);
        for (key, _, to) in &d.moves {
            let demand = self.world.jobs[key.job].spec.demand;
            if let Some(h) = self.world.host_mut(*to) {
                h.claims.push(Claim { job: key.job, demand, until_ms });
            }
        }
    }

    /// Takes machines that were being emptied into use again.
    pub(super) fn undrain(&mut self) {
        for h in self.world.hosts.iter_mut().flatten().filter(|h| h.draining && !h.releasing) {
            h.draining = false;
            self.stirred = true;
        }
    }
}
