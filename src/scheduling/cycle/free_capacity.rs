//! Freeing capacity by preemption: for pending work that fits nowhere, where that costs least.

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

/// The weight of the cost of a placement next to that of the preemption.
const PLACEMENT_WEIGHT: f64 = 0.2;
/// The same for a replica: for it, it pays to stop work where its image is.
const SERVICE_PLACEMENT_WEIGHT: f64 = 1.0;

/// A kind of task that would fit no machine even if all that it may preempt were stopped.
pub(super) struct BlockedRequirements {
    pub(super) requirements: TaskRequirements,
    pub(super) urgency: Urgency,
    pub(super) team: String,
    pub(super) scope: PreemptionScope,
    /// The image that this holds for; `None` for any.
    pub(super) image: Option<String>,
}

impl SchedulingCycle<'_> {
    /// Preempts lesser work for a job that fits nowhere, on the machines where that costs least, and
    /// reserves the capacity for it. Equal work is stopped for as many tasks as the guarantee covers,
    /// and no more.
    pub(super) fn free_capacity(&mut self, request: &PlacementRequest) {
        let scope = self.scope(request);
        if self.known_blocked(request, scope) {
            return;
        }
        let mut counts = self.index.counts(request.job_index);
        let pending = self.pending_tasks(request);
        let mut left = pending.saturating_sub(self.keep_usable_reservations(request, &mut counts));
        if self.cluster.borrowing.is_some() {
            left = self.tasks_within_limit(&self.cluster.jobs[request.job_index].spec, left);
            left -= self.tasks_covered_by_releases(request, left);
        }
        let guaranteed = match scope {
            PreemptionScope::None => 0,
            _ => self.tasks_within_guarantee(&self.cluster.jobs[request.job_index].spec, left),
        };
        let tasks_to_preempt_for = match scope {
            PreemptionScope::RecentlyStarted => guaranteed - self.tasks_covered_by_releases(request, guaranteed),
            _ => guaranteed,
        };
        self.preempt_within(request, scope, &mut counts, tasks_to_preempt_for);
        if request.tier == QueueTier::Ordinary {
            self.preempt_within(request, PreemptionScope::None, &mut counts, left - guaranteed);
        }
    }

    /// The same for so many tasks, where equal work may be stopped as far as `scope` allows.
    fn preempt_within(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        counts: &mut ZoneCounts,
        tasks: usize,
    ) {
        if tasks == 0 || self.known_blocked(request, scope) {
            return;
        }
        let mut costs = self.preemption_costs(request, scope);
        if costs.is_empty() && !request.without_accelerators && request.avoided_hosts.is_empty() {
            self.note_blocked(request, scope);
        }
        // The least cost last.
        costs.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        self.preempt_cheapest(request, scope, costs, counts, tasks);
    }

    /// Was preemption of no use for a job like this one? Then it is not tried again in this cycle.
    pub(super) fn known_blocked(&self, request: &PlacementRequest, scope: PreemptionScope) -> bool {
        let job = &self.cluster.jobs[request.job_index];
        self.blocked.iter().any(|blocked| {
            blocked.urgency >= job.urgency
                && blocked.team == job.spec.team
                && blocked.scope >= scope
                && blocked.image.as_ref().is_none_or(|image| *image == request.image)
                && blocked.requirements.like(&request.requirements)
        })
    }

    /// Notes that preemption is of no use for jobs like this one.
    pub(super) fn note_blocked(&mut self, request: &PlacementRequest, scope: PreemptionScope) {
        let job = &self.cluster.jobs[request.job_index];
        let (urgency, team) = (job.urgency, job.spec.team.clone());
        // How far a job may go for its guarantee depends on its image, too.
        let image = (scope == PreemptionScope::RecentlyStarted).then(|| request.image.clone());
        self.blocked.push(BlockedRequirements {
            requirements: request.requirements.clone(),
            urgency,
            team,
            scope,
            image,
        });
    }

    /// How many tasks of the job could be placed now if there were capacity.
    pub(super) fn pending_tasks(&self, request: &PlacementRequest) -> usize {
        let job = &self.cluster.jobs[request.job_index];
        let placeable = self.cluster.placeable_tasks(job);
        let pending = |task: &&Task| task.retry_ms <= self.now && placeable.includes(task);
        job.tasks.iter().filter(pending).count()
    }

    /// The cost of capacity for a task on each machine where it is or can be freed.
    pub(super) fn preemption_costs(&self, request: &PlacementRequest, scope: PreemptionScope) -> Vec<Candidate> {
        let no_tasks = ZoneCounts::default();
        let mut costs = Vec::new();
        for (host, host_info) in self.index.hosts.iter().enumerate() {
            let left_to_others =
                request.without_accelerators && self.cluster.instance_types[host_info.instance_type].cap.gpus > 0.0;
            if !request.requirements.accepts(host_info, &no_tasks) || left_to_others {
                continue;
            }
            if let Some(PreemptionPlan { cost, .. }) = self.plan_for_task(request, scope, host) {
                costs.push(Candidate { cost, host });
            }
        }
        costs
    }

    /// Preempts for so many tasks. Each machine was looked at once, and is again when its turn comes:
    /// what was done for the tasks before may have made it dearer.
    fn preempt_cheapest(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut costs: Vec<Candidate>,
        counts: &mut ZoneCounts,
        mut left: usize,
    ) {
        while left > 0
            && let Some(Candidate { host, .. }) = costs.pop()
        {
            if !request.requirements.accepts(&self.index.hosts[host], counts) {
                continue;
            }
            let Some(plan) = self.plan_for_task(request, scope, host) else { continue };
            if costs.last().is_some_and(|next| next.cost < plan.cost) {
                insert_by_cost(&mut costs, Candidate { cost: plan.cost, host });
                continue;
            }
            left -= 1;
            counts.add(self.index.hosts[host].zone);
            self.execute_preemption(request, host, &plan.evictions);
            let until_ms = self.now + RESERVATION_REACTIONS * self.policy.react_ms;
            self.reserve(host, Reservation::of_job(request.job_index, request.requirements.demand, until_ms));
            if let Some(PreemptionPlan { cost, .. }) = self.plan_for_task(request, scope, host) {
                insert_by_cost(&mut costs, Candidate { cost, host });
            }
        }
    }

    /// What has to be evicted for one more task on a machine, with the cost of that and of the placement.
    fn plan_for_task(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
    ) -> Option<PreemptionPlan> {
        self.plan_for_tasks(request, scope, host_index, 1, &PlannedStops::default())
    }

    /// The same for several tasks together, beside stops that are planned for the same start.
    pub(super) fn plan_for_tasks(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        tasks: u32,
        planned: &PlannedStops,
    ) -> Option<PreemptionPlan> {
        let host_info = &self.index.hosts[host_index];
        // What is reserved for a gang is left to it; beside others' reservations there may be more.
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

/// Inserts into a list with the least cost last.
pub(super) fn insert_by_cost(costs: &mut Vec<Candidate>, candidate: Candidate) {
    let at = costs.partition_point(|other| other.cost > candidate.cost);
    costs.insert(at, candidate);
}
