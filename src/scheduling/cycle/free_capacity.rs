//! Preemption for pending work that fits nowhere, on the machines where it costs least.

use super::SchedulingCycle;
use super::candidates::Candidate;
use super::planned_stops::PlannedStops;
use super::preemption_eligibility::PreemptionScope;
use super::queue::QueueTier;
use super::request::PlacementRequest;
use super::reservations::RESERVATION_REACTIONS;
use super::victims::PreemptionPlan;
use crate::model::{HostIndex, Reservation, Shape, Task, Urgency};
use crate::scheduling::task_requirements::{TaskRequirements, ZoneCounts};

/// Weight of the placement cost relative to the preemption cost.
const PLACEMENT_WEIGHT: f64 = 0.2;
/// Weight of the placement cost for a replica. It is higher, so that work is preferably stopped on machines
/// that have the replica's image.
const SERVICE_PLACEMENT_WEIGHT: f64 = 1.0;

/// Requirements of a task that would fit on no machine even if everything it may preempt were stopped.
pub(super) struct BlockedRequirements {
    pub(super) requirements: TaskRequirements,
    pub(super) urgency: Urgency,
    pub(super) team: String,
    pub(super) scope: PreemptionScope,
    /// Image for which this is known; `None` for any image.
    pub(super) image: Option<String>,
}

impl SchedulingCycle<'_> {
    /// Preempts work of lower priority for a job that fits nowhere, on the machines where that costs least,
    /// and reserves the capacity. Work of equal urgency is stopped only for as many tasks as the guarantee
    /// covers.
    pub(super) fn free_capacity(&mut self, request: &PlacementRequest) {
        let scope = self.preemption_scope(request);
        if self.is_known_blocked(request, scope) {
            return;
        }
        let mut counts = self.index.tasks_by_zone(request.job_index);
        let pending = self.pending_tasks(request);
        let mut remaining = pending.saturating_sub(self.keep_usable_reservations(request, &mut counts));
        if self.cluster.borrowing.is_some() {
            remaining = self.tasks_within_limit(&self.cluster.jobs[request.job_index].spec, remaining);
            remaining -= self.tasks_covered_by_releases(request, remaining);
        }
        let guaranteed = match scope {
            PreemptionScope::None => 0,
            _ => self.tasks_within_guarantee(&self.cluster.jobs[request.job_index].spec, remaining),
        };
        let tasks_to_preempt_for = match scope {
            PreemptionScope::RecentlyStarted => guaranteed - self.tasks_covered_by_releases(request, guaranteed),
            _ => guaranteed,
        };
        self.preempt_in_scope(request, scope, &mut counts, tasks_to_preempt_for);
        if request.tier == QueueTier::Ordinary {
            self.preempt_in_scope(request, PreemptionScope::None, &mut counts, remaining - guaranteed);
        }
    }

    /// Preempts for `tasks` tasks; work of equal urgency may be stopped as far as `scope` allows.
    fn preempt_in_scope(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        counts: &mut ZoneCounts,
        tasks: usize,
    ) {
        if tasks == 0 || self.is_known_blocked(request, scope) {
            return;
        }
        let mut costs = self.preemption_costs(request, scope);
        if costs.is_empty() && !request.must_avoid_accelerators && request.avoided_hosts.is_empty() {
            self.record_blocked(request, scope);
        }
        // Ordered by descending cost, so that the cheapest candidate is popped first.
        costs.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        self.preempt_cheapest(request, scope, costs, counts, tasks);
    }

    /// Returns whether preemption was already found useless for a similar job in this cycle; it is then not
    /// tried again.
    pub(super) fn is_known_blocked(&self, request: &PlacementRequest, scope: PreemptionScope) -> bool {
        let job = &self.cluster.jobs[request.job_index];
        self.blocked_requirements.iter().any(|blocked| {
            blocked.urgency >= job.urgency
                && blocked.team == job.spec.team
                && blocked.scope >= scope
                && blocked.image.as_ref().is_none_or(|image| *image == request.image)
                && blocked.requirements.same_requirements_as(&request.requirements)
        })
    }

    /// Records that preemption is useless for jobs similar to this one.
    pub(super) fn record_blocked(&mut self, request: &PlacementRequest, scope: PreemptionScope) {
        let job = &self.cluster.jobs[request.job_index];
        let (urgency, team) = (job.urgency, job.spec.team.clone());
        // With this scope, the machines on which a job may preempt also depend on its image.
        let image = (scope == PreemptionScope::RecentlyStarted).then(|| request.image.clone());
        self.blocked_requirements.push(BlockedRequirements {
            requirements: request.requirements.clone(),
            urgency,
            team,
            scope,
            image,
        });
    }

    /// Returns how many tasks of the job could be placed now if there were capacity.
    pub(super) fn pending_tasks(&self, request: &PlacementRequest) -> usize {
        let job = &self.cluster.jobs[request.job_index];
        let placeable = self.cluster.placeable_tasks(job);
        let pending = |task: &Task| task.retry_after_ms <= self.now && placeable.includes(task);
        job.tasks.count(pending) as usize
    }

    /// Returns the machines on which capacity for one task is free or can be freed, each with its cost.
    pub(super) fn preemption_costs(&self, request: &PlacementRequest, scope: PreemptionScope) -> Vec<Candidate> {
        let no_tasks = ZoneCounts::default();
        let mut costs = Vec::new();
        for (host, host_info) in self.index.hosts.iter().enumerate() {
            let left_to_others =
                request.must_avoid_accelerators && self.cluster.instance_types[host_info.instance_type].cap.gpus > 0.0;
            if !request.requirements.accepts(host_info, &no_tasks) || left_to_others {
                continue;
            }
            if let Some(PreemptionPlan { cost, .. }) = self.plan_for_task(request, scope, host) {
                costs.push(Candidate { cost, host });
            }
        }
        costs
    }

    /// Preempts for `remaining` tasks on the machines with the lowest costs. The plan of a machine is
    /// computed again when its turn comes, because preemption for earlier tasks may have raised its cost.
    fn preempt_cheapest(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut costs: Vec<Candidate>,
        counts: &mut ZoneCounts,
        mut remaining: usize,
    ) {
        let tasks = remaining;
        while remaining > 0
            && let Some(Candidate { host, .. }) = costs.pop()
        {
            // At least one task per cycle, so that a job always gets on.
            if remaining < tasks && self.preemption_limit_reached() {
                self.return_preemption_turn(request.job_index);
                return;
            }
            if !request.requirements.accepts(&self.index.hosts[host], counts) {
                continue;
            }
            let Some(plan) = self.plan_for_task(request, scope, host) else { continue };
            if costs.last().is_some_and(|next| next.cost < plan.cost) {
                insert_by_cost(&mut costs, Candidate { cost: plan.cost, host });
                continue;
            }
            remaining -= 1;
            counts.add(self.index.hosts[host].zone);
            self.execute_preemption(request, host, &plan.evictions);
            let until_ms = self.now + RESERVATION_REACTIONS * self.policy.react_ms;
            self.reserve(host, Reservation::of_job(request.job_index, request.requirements.demand, until_ms));
            if let Some(PreemptionPlan { cost, .. }) = self.plan_for_task(request, scope, host) {
                insert_by_cost(&mut costs, Candidate { cost, host });
            }
        }
    }

    /// Plans the evictions for one more task on a machine. The cost includes that of the placement. Returns
    /// `None` if the task can't fit.
    fn plan_for_task(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
    ) -> Option<PreemptionPlan> {
        self.plan_for_tasks(request, scope, host_index, 1, &PlannedStops::default())
    }

    /// Plans the evictions for several tasks together on a machine, given stops that are planned for the
    /// same start. The cost includes that of the placement. Returns `None` if the tasks can't fit.
    pub(super) fn plan_for_tasks(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        tasks: u32,
        planned: &PlannedStops,
    ) -> Option<PreemptionPlan> {
        let host_info = &self.index.hosts[host_index];
        // Capacity reserved for another gang is not used. Other reservations are added to the demand, as
        // more capacity may be freed besides them.
        let for_other_gang = |reservation: &Reservation| {
            reservation.job != request.job_index && self.cluster.jobs[reservation.job].spec.shape == Shape::Gang
        };
        if request.avoided_hosts.contains(&host_index)
            || host_info.reservations > 0
                && self.cluster.host(host_index).is_some_and(|host| host.reservations.iter().any(for_other_gang))
        {
            return None;
        }
        let mut demand = request.requirements.demand.times(f64::from(tasks));
        demand.add(&host_info.reserved);
        let mut plan = self.plan_preemption_beside(request, scope, host_index, &demand, planned)?;
        let weight = if request.is_service { SERVICE_PLACEMENT_WEIGHT } else { PLACEMENT_WEIGHT };
        plan.cost += weight * self.cost(request, host_index);
        Some(plan)
    }
}

/// Inserts a candidate into a list that is ordered by descending cost.
pub(super) fn insert_by_cost(costs: &mut Vec<Candidate>, candidate: Candidate) {
    let position = costs.partition_point(|other| other.cost > candidate.cost);
    costs.insert(position, candidate);
}
