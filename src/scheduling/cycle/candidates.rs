//! The machines that have room for a task, and the best of them.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::HostIndex;
use crate::scheduling::index::{HostInfo, ZoneCounts};
use crate::scheduling::plan::strands_accelerators;

/// A machine with room for a task, and what placing it there costs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) cost: f64,
    pub(super) host: HostIndex,
}

impl SchedulingCycle<'_> {
    /// The machines that have room for a task of the job, with their costs.
    pub(super) fn candidates(&mut self, request: &PlacementRequest) -> Vec<Candidate> {
        if !request.has_reservation && self.exhausted_requirements.iter().any(|w| w.like(&request.requirements)) {
            return Vec::new();
        }
        self.hosts_examined.set(self.hosts_examined.get() + self.index.hosts.len() as u64);
        let hosts = (0..self.index.hosts.len()).filter(|host| self.has_capacity(request, *host));
        let found: Vec<_> = hosts.map(|host| Candidate { cost: self.cost(request, host), host }).collect();
        let may_hold_for_others = self.cluster.borrowing.as_ref().is_some_and(|borrowing| borrowing.reserves_for_teams);
        if may_hold_for_others {
            return found;
        }
        if found.is_empty()
            && !request.has_reservation
            && !request.without_accelerators
            && request.avoided_hosts.is_empty()
        {
            self.exhausted_requirements.push(request.requirements.clone());
        }
        found
    }

    fn has_capacity(&self, request: &PlacementRequest, host_index: HostIndex) -> bool {
        let slot = &self.index.hosts[host_index];
        request.requirements.demand.fits(&slot.free)
            && request.requirements.accepts(slot, &ZoneCounts::default())
            && !request.avoided_hosts.contains(&host_index)
            && !(request.without_accelerators && self.strands_accelerators(request, slot))
            && (slot.reservations == 0
                || request.requirements.demand.fits(&self.index.free_for(self.cluster, host_index, request.job_index)))
    }

    /// Would a task there strand room that work with accelerators needs?
    fn strands_accelerators(&self, request: &PlacementRequest, slot: &HostInfo) -> bool {
        strands_accelerators(self.cluster, &self.cluster.jobs[request.job_index].spec, slot.instance_type, &slot.free)
    }

    /// The best of the candidates that the zones allow; the least cost wins.
    pub(super) fn best_candidate(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        counts: &ZoneCounts,
    ) -> Option<HostIndex> {
        let mut best: Option<Candidate> = None;
        for candidate in candidates {
            let cheaper = best.is_none_or(|b| candidate.cost < b.cost);
            if cheaper && request.requirements.accepts(&self.index.hosts[candidate.host], counts) {
                best = Some(*candidate);
            }
        }
        best.map(|b| b.host)
    }

    /// Looks again at a candidate that took a task.
    pub(super) fn refresh_candidate(
        &self,
        request: &PlacementRequest,
        candidates: &mut Vec<Candidate>,
        host_index: HostIndex,
    ) {
        let Some(i) = candidates.iter().position(|c| c.host == host_index) else { return };
        let fits = request.requirements.demand.fits(&self.index.free_for(self.cluster, host_index, request.job_index));
        if fits && !(request.without_accelerators && self.strands_accelerators(request, &self.index.hosts[host_index]))
        {
            candidates[i].cost = self.cost(request, host_index);
        } else {
            candidates.remove(i);
        }
    }
}
