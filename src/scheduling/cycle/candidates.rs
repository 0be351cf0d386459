//! Selection of machines with capacity for a task.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::HostIndex;
use crate::scheduling::index::HostInfo;
use crate::scheduling::plan::strands_accelerators;
use crate::scheduling::task_requirements::ZoneCounts;

/// A machine with capacity for a task, and the cost of placing the task there.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) cost: f64,
    pub(super) host: HostIndex,
}

impl SchedulingCycle<'_> {
    /// Returns the machines that have capacity for a task of the job, with their costs.
    pub(super) fn candidates(&mut self, request: &PlacementRequest) -> Vec<Candidate> {
        let is_exhausted =
            || self.exhausted_requirements.iter().any(|known| known.same_requirements_as(&request.requirements));
        if !request.has_reservation && is_exhausted() {
            return Vec::new();
        }
        self.hosts_examined.set(self.hosts_examined.get() + self.index.hosts.len() as u64);
        let hosts = (0..self.index.hosts.len()).filter(|host| self.has_capacity(request, *host));
        let found: Vec<_> = hosts.map(|host| Candidate { cost: self.cost(request, host), host }).collect();
        let reserves_for_teams = self.cluster.borrowing.as_ref().is_some_and(|borrowing| borrowing.reserves_for_teams);
        if reserves_for_teams {
            // With reservations for whole teams, a similar job of another team may still find capacity.
            return found;
        }
        if found.is_empty()
            && !request.has_reservation
            && !request.must_avoid_accelerators
            && request.avoided_hosts.is_empty()
        {
            self.exhausted_requirements.push(request.requirements.clone());
        }
        found
    }

    fn has_capacity(&self, request: &PlacementRequest, host_index: HostIndex) -> bool {
        let host = &self.index.hosts[host_index];
        request.requirements.demand.fits(&host.free)
            && request.requirements.accepts(host, &ZoneCounts::default())
            && !request.avoided_hosts.contains(&host_index)
            && !(request.must_avoid_accelerators && self.strands_accelerators(request, host))
            && (host.reservations == 0
                || request.requirements.demand.fits(&self.index.free_for(self.cluster, host_index, request.job_index)))
    }

    /// Returns whether a task on this machine would strand accelerators that other work needs.
    fn strands_accelerators(&self, request: &PlacementRequest, host: &HostInfo) -> bool {
        strands_accelerators(self.cluster, &self.cluster.jobs[request.job_index].spec, host.instance_type, &host.free)
    }

    /// Returns the machine with the lowest cost among the candidates whose zone is allowed, or `None` if
    /// there is none.
    pub(super) fn best_candidate(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate],
        counts: &ZoneCounts,
    ) -> Option<HostIndex> {
        let mut best: Option<Candidate> = None;
        for candidate in candidates {
            let cheaper = best.is_none_or(|best| candidate.cost < best.cost);
            if cheaper && request.requirements.accepts(&self.index.hosts[candidate.host], counts) {
                best = Some(*candidate);
            }
        }
        best.map(|best| best.host)
    }

    /// Updates the cost of a candidate after a task was placed on it, or removes the candidate if it is
    /// full.
    pub(super) fn refresh_candidate(
        &self,
        request: &PlacementRequest,
        candidates: &mut Vec<Candidate>,
        host_index: HostIndex,
    ) {
        let Some(position) = candidates.iter().position(|candidate| candidate.host == host_index) else { return };
        let fits = request.requirements.demand.fits(&self.index.free_for(self.cluster, host_index, request.job_index));
        let strands =
            || request.must_avoid_accelerators && self.strands_accelerators(request, &self.index.hosts[host_index]);
        if fits && !strands() {
            candidates[position].cost = self.cost(request, host_index);
        } else {
            candidates.remove(position);
        }
    }
}
