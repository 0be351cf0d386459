//! Room that is held for jobs.

use super::Pass;
use super::need::Need;
use crate::model::{Claim, HostIx, JobIx};
use crate::sched::index::Counts;

impl Pass<'_> {
    /// Holds room on a machine.
    pub(super) fn claim(&mut self, hix: HostIx, claim: Claim) {
        if let Some(h) = self.world.host_mut(hix) {
            let before = h.claims.clone();
            h.claims.push(claim);
            self.index.reclaim(&before, &h.claims, hix);
        }
    }

    /// Gives up the room that is held for a job.
    pub(super) fn unclaim(&mut self, ix: JobIx) {
        if self.index.claims_of(ix) == 0 {
            return;
        }
        for (hix, h) in self.world.hosts.iter_mut().enumerate() {
            let Some(h) = h.as_mut().filter(|h| h.claims.iter().any(|c| c.job == ix)) else { continue };
            let before = h.claims.clone();
            h.claims.retain(|c| c.job != ix);
            self.index.reclaim(&before, &h.claims, hix);
        }
    }

    /// How many tasks room is held for where zones still allow them, which are
    /// counted; what is held elsewhere is given up. Room in a zone that the job's
    /// other tasks filled meanwhile would keep the last one waiting for its end.
    pub(super) fn claims_of_use(&mut self, need: &Need, counts: &mut Counts) -> usize {
        if self.index.claims_of(need.ix) == 0 {
            return 0;
        }
        let mut of_use = 0;
        for hix in 0..self.index.slots.len() {
            if self.index.slots[hix].claims == 0 {
                continue;
            }
            let Some(h) = self.world.hosts[hix].as_mut().filter(|h| h.claims.iter().any(|c| c.job == need.ix)) else {
                continue;
            };
            let before = h.claims.clone();
            let slot = &self.index.slots[hix];
            h.claims.retain(|c| {
                let fits = c.job != need.ix || need.want.takes(slot, counts);
                if fits && c.job == need.ix {
                    counts.add(slot.zone);
                    of_use += 1;
                }
                fits
            });
            self.index.reclaim(&before, &h.claims, hix);
        }
        of_use
    }
}
