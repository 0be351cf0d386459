//! Reservations for the leading gang, which is the first one in the queue that does not fit. Capacity is
//! reserved on the machines that can provide it at the lowest cost.

use super::SchedulingCycle;
use super::preemption_eligibility::PreemptionScope;
use super::request::PlacementRequest;
use crate::model::{Demand, Host, HostIndex, Reservation, Shape};
use crate::scheduling::index::HostInfo;
use crate::scheduling::task_requirements::ZoneCounts;

/// Cost of reserving capacity for a task if it becomes free only when other work ends by itself.
const UNCERTAIN_CAPACITY_COST: f64 = 10.0;

/// Number of tasks of a gang that a machine could take if all work of lower priority left it.
pub(super) struct GangCapacity {
    /// Average cost per task on this machine.
    cost: f64,
    pub(super) tasks: u32,
    pub(super) host: HostIndex,
}

impl SchedulingCycle<'_> {
    /// Reserves capacity for the leading gang for a limited time. Afterwards other work may use the
    /// capacity for the same duration.
    pub(super) fn reserve_for_gang(&mut self, request: &PlacementRequest) {
        let Some(until_ms) = self.reservation_end(request) else { return };
        let scope = self.preemption_scope(request);
        let tasks = self.cluster.jobs[request.job_index].spec.tasks;
        for hosts in self.gang_capacities(request, scope) {
            if hosts.iter().map(|host| host.tasks).sum::<u32>() >= tasks {
                self.reserve_cheapest(request, scope, hosts, until_ms);
                return;
            }
        }
    }

    /// Returns the time until which capacity is reserved for a gang, or `None` while other work may use it.
    fn reservation_end(&mut self, request: &PlacementRequest) -> Option<u64> {
        let (now, gang_reservation_ms) = (self.now, self.policy.gang_reservation_ms);
        let job = &mut self.cluster.jobs[request.job_index];
        if now < job.gang_backoff_until_ms {
            return None;
        }
        if job.gang_reserved_until_ms == 0 {
            job.gang_reserved_until_ms = now + gang_reservation_ms;
        } else if now >= job.gang_reserved_until_ms {
            job.gang_reserved_until_ms = 0;
            job.gang_backoff_until_ms = now + gang_reservation_ms;
            self.release_reservations(request.job_index);
            return None;
        }
        Some(job.gang_reserved_until_ms)
    }

    /// Returns the capacity of the machines for a gang: grouped by zone if the gang must run in one zone,
    /// else in a single group.
    fn gang_capacities(&self, request: &PlacementRequest, scope: PreemptionScope) -> Vec<Vec<GangCapacity>> {
        let one_zone = self.cluster.jobs[request.job_index].spec.one_zone;
        let no_tasks = ZoneCounts::default();
        let mut by_zone: Vec<Vec<GangCapacity>> = Vec::new();
        by_zone.resize_with(self.index.zones().len().max(1), Vec::new);
        for (host_index, host_info) in self.index.hosts.iter().enumerate() {
            let Some(host) = self.cluster.host(host_index) else { continue };
            let reserved_for_others = host.reservations.iter().any(|reservation| reservation.job != request.job_index);
            if !request.requirements.accepts(host_info, &no_tasks)
                || request.avoided_hosts.contains(&host_index)
                || reserved_for_others
            {
                continue;
            }
            if let Some(capacity) = self.gang_capacity(request, scope, host_index, host, host_info) {
                by_zone[if one_zone { host_info.zone } else { 0 }].push(capacity);
            }
        }
        by_zone
    }

    /// Returns how many tasks of a gang one machine could take, or `None` if it could take none.
    fn gang_capacity(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        host: &Host,
        host_info: &HostInfo,
    ) -> Option<GangCapacity> {
        let max_tasks = self.cluster.jobs[request.job_index].spec.tasks;
        let demand = request.requirements.demand;
        let mut tasks = 0;
        let mut cost = 0.0;
        while tasks < max_tasks {
            let one_more = demand.times(f64::from(tasks + 1));
            let Some(plan) = self.plan_preemption(request, scope, host_index, &one_more) else { break };
            cost = plan.cost;
            tasks += 1;
        }
        let certain_tasks = tasks;
        let eventual = self.eventual_capacity(host, host_info);
        while tasks < max_tasks && demand.times(f64::from(tasks + 1)).fits(&eventual) {
            tasks += 1;
        }
        cost += UNCERTAIN_CAPACITY_COST * f64::from(tasks - certain_tasks);
        (tasks > 0).then(|| GangCapacity { cost: cost / f64::from(tasks), tasks, host: host_index })
    }

    /// Returns the capacity that a machine will have eventually. Work that may not be stopped ends by
    /// itself, except replicas, and the capacity it frees can be reserved as well.
    fn eventual_capacity(&self, host: &Host, host_info: &HostInfo) -> Demand {
        let mut capacity = self.cluster.instance_types[host_info.instance_type].cap;
        for attempt in host.attempts.iter().filter(|attempt| !attempt.ended()) {
            if self.cluster.jobs[attempt.key.job].spec.shape == Shape::Service {
                capacity.sub(&attempt.demand);
            }
        }
        capacity
    }

    /// Returns whether the gang keeps its reservation for a while before anything is preempted for it.
    /// Without an objective for a quick start this avoids needless stops: most of the capacity becomes free
    /// by itself, and stopping a thousand short tasks for one large gang loses work without a gain.
    fn reserves_before_preempting(&self, request: &PlacementRequest, until_ms: u64) -> bool {
        let wants_quick_start =
            self.policy.start_objectives.contains_key(&self.cluster.jobs[request.job_index].spec.class);
        !wants_quick_start && self.now + self.policy.gang_reservation_ms / 4 < until_ms
    }

    /// Reserves capacity for all tasks of a gang on the cheapest of these machines. Preempts for it if all
    /// of the capacity can be freed that way.
    fn reserve_cheapest(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut hosts: Vec<GangCapacity>,
        until_ms: u64,
    ) {
        let tasks = self.cluster.jobs[request.job_index].spec.tasks;
        hosts.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let certain_hosts = hosts.iter().filter(|host| host.cost < UNCERTAIN_CAPACITY_COST / f64::from(tasks));
        let is_certain = certain_hosts.map(|host| host.tasks).sum::<u32>() >= tasks
            && !self.reserves_before_preempting(request, until_ms);
        self.release_reservations(request.job_index);
        if is_certain && let Some(planned) = self.plan_gang_preemptions(request, scope, &hosts) {
            self.preempt_for_gang(request, planned, until_ms);
            return;
        }
        let mut remaining = tasks;
        for GangCapacity { tasks, host, .. } in hosts {
            let tasks_here = tasks.min(remaining);
            remaining -= tasks_here;
            let demand = request.requirements.demand.times(f64::from(tasks_here));
            self.reserve(host, Reservation::of_job(request.job_index, demand, until_ms));
            if remaining == 0 {
                return;
            }
        }
    }
}
