//! The machines that have room for a task, and the best of them.

use super::Pass;
use super::need::Need;
use crate::model::HostIx;
use crate::sched::index::{Counts, Slot};
use crate::sched::plan::strands;

/// A machine with room for a task, and what placing it there costs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) cost: f64,
    pub(super) host: HostIx,
}

impl Pass<'_> {
    /// The machines that have room for a task of the job, with their costs.
    pub(super) fn candidates(&mut self, need: &Need) -> Vec<Candidate> {
        if !need.held && self.full.iter().any(|w| w.like(&need.want)) {
            return Vec::new();
        }
        self.looked.set(self.looked.get() + self.index.slots.len() as u64);
        let hosts = (0..self.index.slots.len()).filter(|host| self.has_room(need, *host));
        let found: Vec<_> = hosts.map(|host| Candidate { cost: self.cost(need, host), host }).collect();
        if found.is_empty() && !need.held && !need.modest && need.shuns.is_empty() {
            self.full.push(need.want.clone());
        }
        found
    }

    fn has_room(&self, need: &Need, hix: HostIx) -> bool {
        let slot = &self.index.slots[hix];
        need.want.demand.fits(&slot.free)
            && need.want.takes(slot, &Counts::default())
            && !need.shuns.contains(&hix)
            && !(need.modest && self.strands(need, slot))
            && (slot.claims == 0 || need.want.demand.fits(&self.index.free_for(self.world, hix, need.ix)))
    }

    /// Would a task there strand room that work with accelerators needs?
    fn strands(&self, need: &Need, s: &Slot) -> bool {
        strands(self.world, &self.world.jobs[need.ix].spec, s.flavor, &s.free)
    }

    /// The best of the candidates that the zones allow; the least cost wins.
    pub(super) fn best(&self, need: &Need, candidates: &[Candidate], counts: &Counts) -> Option<HostIx> {
        let mut best: Option<Candidate> = None;
        for candidate in candidates {
            let cheaper = best.is_none_or(|b| candidate.cost < b.cost);
            if cheaper && need.want.takes(&self.index.slots[candidate.host], counts) {
                best = Some(*candidate);
            }
        }
        best.map(|b| b.host)
    }

    /// Looks again at a candidate that took a task.
    pub(super) fn renew(&self, need: &Need, candidates: &mut Vec<Candidate>, hix: HostIx) {
        let Some(i) = candidates.iter().position(|c| c.host == hix) else { return };
        let fits = need.want.demand.fits(&self.index.free_for(self.world, hix, need.ix));
        if fits && !(need.modest && self.strands(need, &self.index.slots[hix])) {
            candidates[i].cost = self.cost(need, hix);
        } else {
            candidates.remove(i);
        }
    }
}
