//! Preemption on one machine: selects the attempts to migrate or stop so that a task fits, and computes the
//! cost.

use super::SchedulingCycle;
use super::cost::MIGRATION_COST;
use super::planned_stops::PlannedStops;
use super::preemption_eligibility::PreemptionScope;
use super::request::PlacementRequest;
use crate::model::{ClusterState, Demand, Host, HostIndex, JobIndex, Shape, TaskAttempt};
use std::cmp::Reverse;

/// Cost of stopping a gang. It loses all of its capacity at once, which is hard to find elsewhere.
const STOPPED_GANG_COST: f64 = 2.0;
/// Cost of each task of a stopped gang, added to that of the gang.
const STOPPED_GANG_TASK_COST: f64 = 2.0;
/// Cost of stopping a replica. Its users are without it until its image is on another machine.
const STOPPED_REPLICA_COST: f64 = 8.0;
/// Cost of stopping a task of an array.
const STOPPED_TASK_COST: f64 = 1.0;
/// Cost of stopping a task of an array that was recently started.
const STOPPED_RECENT_START_COST: f64 = 0.5;
/// Additional cost if the job can no longer meet its deadline.
const MISSED_DEADLINE_COST: f64 = 1.0;

/// An attempt that is to leave its machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Eviction {
    pub(super) attempt: TaskAttempt,
    /// Machine to which the attempt migrates; `None` if it is stopped.
    pub(super) destination: Option<HostIndex>,
}

/// Evictions from a machine that free capacity for a start.
#[derive(Debug)]
pub(super) struct PreemptionPlan {
    /// Cost of the evictions, or of evictions and placement together, relative to 1 for stopping an array
    /// task.
    pub(super) cost: f64,
    pub(super) evictions: Vec<Eviction>,
}

/// An attempt that may leave its machine.
struct Victim<'a> {
    attempt: &'a TaskAttempt,
    /// Whether the attempt may be stopped, rather than only migrated.
    may_be_stopped: bool,
}

/// The start for which attempts are to be evicted, and the stops already planned for it.
struct PreemptionTarget<'a> {
    request: &'a PlacementRequest,
    scope: PreemptionScope,
    host: HostIndex,
    /// Capacity that must become free on the machine.
    demand: &'a Demand,
    /// Stops on other machines that are planned for the same start.
    planned: &'a PlannedStops,
}

impl PreemptionPlan {
    /// Adds the evictions to the planned stops.
    pub(super) fn add_evictions_to(&self, cluster: &ClusterState, planned: &mut PlannedStops) {
        for Eviction { attempt, destination } in &self.evictions {
            match destination {
                Some(host) => planned.earmark(*host, attempt.demand),
                None => planned.add(cluster, attempt.key.job),
            }
        }
    }
}

impl SchedulingCycle<'_> {
    /// Returns whether the plan stops work of another team while borrowing is enabled.
    pub(super) fn stops_other_teams(&self, job_index: JobIndex, plan: &PreemptionPlan) -> bool {
        let team = |job: JobIndex| &self.cluster.jobs[job].spec.team;
        let stops_others =
            |eviction: &Eviction| eviction.destination.is_none() && team(eviction.attempt.key.job) != team(job_index);
        self.cluster.borrowing.is_some() && plan.evictions.iter().any(stops_others)
    }

    /// Plans the evictions that make `demand` fit on the machine; `None` if it can't fit.
    pub(super) fn plan_preemption(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        demand: &Demand,
    ) -> Option<PreemptionPlan> {
        self.plan_preemption_beside(request, scope, host_index, demand, &PlannedStops::default())
    }

    /// Plans the evictions that make `demand` fit on the machine, given the stops planned for the same
    /// start on other machines; `None` if it can't fit.
    pub(super) fn plan_preemption_beside(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        demand: &Demand,
        planned: &PlannedStops,
    ) -> Option<PreemptionPlan> {
        self.hosts_examined.set(self.hosts_examined.get() + 1);
        self.preemption_plans.set(self.preemption_plans.get() + 1);
        let host = self.cluster.host(host_index)?;
        let mut free = planned.free_after_earmarks(self.index.hosts[host_index].free, host_index);
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended() && attempt.stop.is_some()) {
            free.add(&attempt.demand);
        }
        if demand.fits(&free) {
            return Some(PreemptionPlan { cost: 0.0, evictions: Vec::new() });
        }
        let scope = self.preemption_scope_on_host(scope, request, host_index);
        let target = PreemptionTarget { request, scope, host: host_index, demand, planned };
        let victims = self.potential_victims(&target, host);
        // Most machines are excluded because evicting all potential victims would not suffice.
        let mut max_free = free;
        victims.iter().for_each(|victim| max_free.add(&victim.attempt.demand));
        if !demand.fits(&max_free) {
            return None;
        }
        self.choose_victims(&target, victims, free)
    }

    /// Returns the attempts that may leave a machine, in the order of its list.
    fn potential_victims<'a>(&self, target: &PreemptionTarget, host: &'a Host) -> Vec<Victim<'a>> {
        let PreemptionTarget { request, scope, planned, .. } = *target;
        let mut victims: Vec<Victim> = Vec::new();
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended() && attempt.stop.is_none()) {
            let may_be_stopped = self.may_stop(request.job_index, scope, attempt, planned);
            let is_service = self.cluster.jobs[attempt.key.job].spec.shape == Shape::Service;
            let may_migrate = attempt.running()
                && self.is_settled(attempt)
                && is_service
                && self.may_migrate(request.job_index, attempt, planned);
            if may_be_stopped || may_migrate {
                victims.push(Victim { attempt, may_be_stopped });
            }
        }
        victims
    }

    /// Chooses victims until the demand fits into `free` plus what they release: the least urgent first
    /// and, among those, the ones that lose least. Returns `None` if the demand does not fit.
    fn choose_victims(
        &self,
        target: &PreemptionTarget,
        mut victims: Vec<Victim>,
        mut free: Demand,
    ) -> Option<PreemptionPlan> {
        let PreemptionTarget { request, scope, host: host_index, demand, .. } = *target;
        let mut planned = target.planned.clone();
        self.sort_by_urgency(&mut victims);
        if self.cluster.borrowing.is_some() {
            self.sort_by_loss(&mut victims, host_index);
        }
        let mut evictions = Vec::new();
        let mut cost = 0.0;
        for Victim { attempt, may_be_stopped } in victims {
            if demand.fits(&free) {
                break;
            }
            // The victims chosen before this one count as well: together they may take too much from their
            // team.
            let may_be_stopped = may_be_stopped && self.may_stop(request.job_index, scope, attempt, &planned);
            let may_migrate = self.may_migrate(request.job_index, attempt, &planned);
            let destination = may_migrate.then(|| self.migration_target(host_index, attempt, &planned)).flatten();
            if let Some(host) = destination {
                planned.earmark(host, attempt.demand);
                cost += MIGRATION_COST;
                if self.cluster.borrowing.is_some() {
                    planned.add(self.cluster, attempt.key.job);
                }
            } else if may_be_stopped {
                cost = self.add_stop_cost(request.job_index, cost, attempt, host_index);
                planned.add(self.cluster, attempt.key.job);
            } else {
                continue;
            }
            evictions.push(Eviction { attempt: *attempt, destination });
            free.add(&attempt.demand);
        }
        demand.fits(&free).then_some(PreemptionPlan { cost, evictions })
    }

    /// Sorts the victims: the least urgent first, then those that can still meet their deadline, then the
    /// youngest.
    fn sort_by_urgency(&self, victims: &mut [Victim]) {
        victims.sort_by_key(|victim| {
            let attempt = victim.attempt;
            let urgency = self.cluster.jobs[attempt.key.job].urgency;
            (urgency, !self.restart_meets_deadline(attempt), Reverse(attempt.since_ms))
        });
    }

    /// Sorts the victims by the work they lose, the smallest loss first; recently preempted ones come last.
    fn sort_by_loss(&self, victims: &mut Vec<Victim>, host_index: HostIndex) {
        let loss = |victim: &Victim| {
            (self.recently_preempted_for_loan(victim.attempt.key.job), self.lost_work_s(victim.attempt, host_index))
        };
        let mut losses: Vec<((bool, f64), Victim)> = victims.drain(..).map(|victim| (loss(&victim), victim)).collect();
        losses.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        victims.extend(losses.into_iter().map(|(_, victim)| victim));
    }

    /// Returns `cost` plus the cost of stopping an attempt for a job.
    fn add_stop_cost(&self, job: JobIndex, cost: f64, attempt: &TaskAttempt, host_index: HostIndex) -> f64 {
        let other_team = self.cluster.jobs[attempt.key.job].spec.team != self.cluster.jobs[job].spec.team;
        if self.cluster.borrowing.is_some() && other_team {
            return cost + STOPPED_TASK_COST + self.loan_cost(attempt, host_index);
        }
        let victim = &self.cluster.jobs[attempt.key.job].spec;
        let stop_cost = match victim.shape {
            Shape::Gang => STOPPED_GANG_COST + STOPPED_GANG_TASK_COST * f64::from(victim.tasks),
            Shape::Service => STOPPED_REPLICA_COST,
            Shape::Batch if self.started_recently(attempt) => STOPPED_RECENT_START_COST,
            Shape::Batch => STOPPED_TASK_COST,
        };
        let late_cost = if self.restart_meets_deadline(attempt) { 0.0 } else { MISSED_DEADLINE_COST };
        cost + stop_cost + late_cost
    }
}
