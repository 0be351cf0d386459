//! Preemption for gangs: work is stopped only if the whole gang then fits.

use super::SchedulingCycle;
use super::candidates::Candidate;
use super::free_capacity::insert_by_cost;
use super::gang_reservations::GangCapacity;
use super::planned_stops::PlannedStops;
use super::preemption_eligibility::PreemptionScope;
use super::request::PlacementRequest;
use super::reservations::RESERVATION_REACTIONS;
use super::victims::PreemptionPlan;
use crate::model::{Demand, HostIndex, Reservation};
use crate::scheduling::task_requirements::ZoneCounts;

/// Capacity on a machine for some tasks of a gang, with the evictions that free it.
pub(super) struct PlannedCapacity {
    host: HostIndex,
    tasks: u32,
    demand: Demand,
    preemption: PreemptionPlan,
}

impl SchedulingCycle<'_> {
    /// Preempts work of lower priority for a gang that is not the leading one, if the whole gang then fits,
    /// and reserves the capacity. With less capacity the gang could not start, and the stopped work would
    /// restart and be stopped again and again.
    pub(super) fn free_capacity_for_gang(&mut self, request: &PlacementRequest) {
        let scope = self.preemption_scope(request);
        let tasks = self.cluster.jobs[request.job_index].spec.tasks as usize;
        let all_pending = self.pending_tasks(request) == tasks;
        let has_reservations = self.index.reservations_of(request.job_index) > 0;
        if !all_pending || has_reservations || self.is_known_blocked(request, scope) {
            return;
        }
        if scope == PreemptionScope::RecentlyStarted && self.tasks_covered_by_releases(request, tasks) == tasks {
            return;
        }
        let costs = self.preemption_costs(request, scope);
        if costs.is_empty() && !request.must_avoid_accelerators && request.avoided_hosts.is_empty() {
            self.record_blocked(request, scope);
        }
        for zone in self.zones_to_try(request) {
            let in_zone = |candidate: &&Candidate| self.is_in_zone(candidate, zone);
            let costs: Vec<Candidate> = costs.iter().filter(in_zone).copied().collect();
            if let Some(planned) = self.plan_cheapest_preemptions(request, scope, costs) {
                let until_ms = self.now + RESERVATION_REACTIONS * self.policy.react_ms;
                self.preempt_for_gang(request, planned, until_ms);
                return;
            }
        }
    }

    /// Plans the evictions with the lowest cost that make all tasks of a gang fit. `costs` holds the cost
    /// of capacity for one task on each machine. Returns `None` if not all tasks fit.
    fn plan_cheapest_preemptions(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut costs: Vec<Candidate>,
    ) -> Option<Vec<PlannedCapacity>> {
        // Ordered by descending cost, so that the cheapest candidate is popped first.
        costs.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        let mut remaining = self.cluster.jobs[request.job_index].spec.tasks;
        let mut counts = ZoneCounts::default();
        let mut planned: Vec<PlannedCapacity> = Vec::new();
        while remaining > 0 {
            let Candidate { host, cost } = costs.pop()?;
            if !request.requirements.accepts(&self.index.hosts[host], &counts) {
                continue;
            }
            let Some(capacity) = self.plan_one_more_task(request, scope, &planned, host) else { continue };
            let current_cost =
                planned.iter().find(|other| other.host == host).map_or(0.0, |other| other.preemption.cost);
            let further_cost = capacity.preemption.cost - current_cost;
            // Evictions planned on other machines may have raised the cost.
            if further_cost > cost && costs.last().is_some_and(|next| next.cost < further_cost) {
                insert_by_cost(&mut costs, Candidate { host, cost: further_cost });
                continue;
            }
            remaining -= 1;
            counts.add(self.index.hosts[host].zone);
            planned.retain(|other| other.host != host);
            planned.push(capacity);
            insert_by_cost(&mut costs, Candidate { host, cost: further_cost });
        }
        Some(planned)
    }

    /// Plans capacity on the machine for one task more than is planned there, given the plans for the other
    /// machines. Returns `None` if it can't fit.
    fn plan_one_more_task(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        planned: &[PlannedCapacity],
        host: HostIndex,
    ) -> Option<PlannedCapacity> {
        let mut stops = PlannedStops::default();
        for other in planned.iter().filter(|other| other.host != host) {
            other.preemption.add_evictions_to(self.cluster, &mut stops);
            stops.earmark(other.host, other.demand);
        }
        let tasks = 1 + planned.iter().find(|other| other.host == host).map_or(0, |other| other.tasks);
        let preemption = self.plan_for_tasks(request, scope, host, tasks, &stops)?;
        let demand = request.requirements.demand.times(f64::from(tasks));
        Some(PlannedCapacity { host, tasks, demand, preemption })
    }

    /// Plans the evictions on these machines that make all tasks of a gang fit, or returns `None` if they
    /// can't fit.
    pub(super) fn plan_gang_preemptions(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        hosts: &[GangCapacity],
    ) -> Option<Vec<PlannedCapacity>> {
        let mut remaining = self.cluster.jobs[request.job_index].spec.tasks;
        let mut stops = PlannedStops::default();
        let mut planned = Vec::new();
        for capacity in hosts {
            let max_tasks = capacity.tasks.min(remaining);
            let plan = |tasks: u32| {
                let demand = request.requirements.demand.times(f64::from(tasks));
                let preemption = self.plan_preemption_beside(request, scope, capacity.host, &demand, &stops)?;
                Some(PlannedCapacity { host: capacity.host, tasks, demand, preemption })
            };
            let Some(found) = (1..=max_tasks).rev().find_map(plan) else { continue };
            remaining -= found.tasks;
            found.preemption.add_evictions_to(self.cluster, &mut stops);
            stops.earmark(found.host, found.demand);
            planned.push(found);
            if remaining == 0 {
                return Some(planned);
            }
        }
        None
    }

    /// Executes the planned evictions for a gang and reserves the capacity until `until_ms`.
    pub(super) fn preempt_for_gang(
        &mut self,
        request: &PlacementRequest,
        planned: Vec<PlannedCapacity>,
        until_ms: u64,
    ) {
        // Reservations count towards the guarantee, so all stops are checked before any is made.
        for capacity in &planned {
            self.execute_preemption(request, capacity.host, &capacity.preemption.evictions);
        }
        for PlannedCapacity { host, demand, .. } in planned {
            self.reserve(host, Reservation::of_job(request.job_index, demand, until_ms));
        }
    }
}
