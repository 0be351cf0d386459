//! Gangs: started whole or not at all, with room held for the one that leads.

use super::SchedulingCycle;
use super::candidates::Candidate;
use super::free_capacity::insert_by_cost;
use super::planned_stops::PlannedStops;
use super::preemption_eligibility::PreemptionScope;
use super::request::PlacementRequest;
use super::reservations::RESERVATION_REACTIONS;
use super::victims::PreemptionPlan;
use crate::model::{Demand, Host, HostIndex, Reservation, Shape, TaskKey};
use crate::scheduling::index::{HostInfo, ZoneCounts};

/// The cost of holding room for a task that frees only when other work ends.
const UNCERTAIN_CAPACITY_COST: f64 = 10.0;

/// How many tasks of a gang a machine could take if all lesser work left it.
struct GangCapacity {
    /// Cost of a task there.
    cost: f64,
    tasks: u32,
    host: HostIndex,
}

/// Room for some tasks of a gang, with what has to leave the machine.
struct PlannedCapacity {
    host: HostIndex,
    tasks: u32,
    demand: Demand,
    vacancy: PreemptionPlan,
}

impl SchedulingCycle<'_> {
    /// Starts a gang whole or not at all; false if room lacked.
    pub(super) fn place_gang(&mut self, request: &PlacementRequest, attempt: &mut impl FnMut() -> u64) -> bool {
        let job_index = request.job_index;
        let job = &self.cluster.jobs[job_index];
        // The next attempt waits until every task of the last one is gone.
        let placeable = self.cluster.placeable(job);
        let waits = job.tasks.iter().any(|t| t.retry_ms > self.now || !placeable.open(t));
        if waits || self.index.hosts_of(job_index).next().is_some() {
            return true;
        }
        if !self.within_limit(&job.spec, f64::from(job.spec.tasks)) {
            return true;
        }
        let zones: Vec<Option<usize>> =
            if job.spec.one_zone { self.index.zones().map(Some).collect() } else { vec![None] };
        let candidates = self.candidates(request);
        for zone in zones {
            if let Some(hosts) = self.gang_hosts(request, &candidates, zone) {
                self.start_gang(request, hosts, attempt());
                return true;
            }
        }
        false
    }

    /// A machine for each task of a gang, in one zone if it must be.
    fn gang_hosts(
        &mut self,
        request: &PlacementRequest,
        all: &[Candidate],
        zone: Option<usize>,
    ) -> Option<Vec<HostIndex>> {
        let tasks = self.cluster.jobs[request.job_index].spec.tasks as usize;
        let saved = self.index.hosts.clone();
        let in_zone = |c: &Candidate| zone.is_none_or(|z| z == self.index.hosts[c.host].zone);
        let mut left: Vec<_> = all.iter().copied().filter(in_zone).collect();
        let mut counts = ZoneCounts::default();
        let mut hosts = Vec::new();
        while hosts.len() < tasks {
            let Some(host) = self.best_candidate(request, &left, &counts) else { break };
            self.index.hosts[host].free.sub(&request.requirements.demand);
            counts.add(self.index.hosts[host].zone);
            self.refresh_candidate(request, &mut left, host);
            hosts.push(host);
        }
        self.index.hosts = saved;
        (hosts.len() == tasks).then_some(hosts)
    }

    fn start_gang(&mut self, request: &PlacementRequest, hosts: Vec<HostIndex>, attempt: u64) {
        self.cluster.jobs[request.job_index].gang_attempt = attempt;
        for (task, host) in hosts.into_iter().enumerate() {
            self.start(TaskKey { job: request.job_index, task: task as u32 }, host, attempt);
        }
        self.release_reservations(request.job_index);
    }

    /// Holds room for the leading gang on the machines that are nearest to
    /// having it, for a bounded time; then others have their turn as long.
    pub(super) fn reserve_for_gang(&mut self, request: &PlacementRequest) {
        let Some(until_ms) = self.reservation_end(request) else { return };
        let scope = self.scope(request);
        let tasks = self.cluster.jobs[request.job_index].spec.tasks;
        for hosts in self.gang_capacities(request, scope) {
            if hosts.iter().map(|h| h.tasks).sum::<u32>() >= tasks {
                self.reserve_cheapest(request, scope, hosts, until_ms);
                return;
            }
        }
    }

    /// Until when room is held for a gang; none while others have their turn.
    fn reservation_end(&mut self, request: &PlacementRequest) -> Option<u64> {
        let (now, hold) = (self.now, self.policy.hold_ms);
        let job = &mut self.cluster.jobs[request.job_index];
        if now < job.gang_backoff_until_ms {
            return None;
        }
        if job.gang_reserved_until_ms == 0 {
            job.gang_reserved_until_ms = now + hold;
        } else if now >= job.gang_reserved_until_ms {
            job.gang_reserved_until_ms = 0;
            job.gang_backoff_until_ms = now + hold;
            self.release_reservations(request.job_index);
            return None;
        }
        Some(job.gang_reserved_until_ms)
    }

    /// Where a gang could have room: by zone if it must be in one, else all together.
    fn gang_capacities(&self, request: &PlacementRequest, scope: PreemptionScope) -> Vec<Vec<GangCapacity>> {
        let one_zone = self.cluster.jobs[request.job_index].spec.one_zone;
        let none = ZoneCounts::default();
        let mut by_zone: Vec<Vec<GangCapacity>> = Vec::new();
        by_zone.resize_with(self.index.zones().len().max(1), Vec::new);
        for (host_index, slot) in self.index.hosts.iter().enumerate() {
            let Some(h) = self.cluster.host(host_index) else { continue };
            let others = h.reservations.iter().any(|c| c.job != request.job_index);
            if !request.requirements.accepts(slot, &none) || request.avoided_hosts.contains(&host_index) || others {
                continue;
            }
            if let Some(room) = self.gang_capacity(request, scope, host_index, h, slot) {
                by_zone[if one_zone { slot.zone } else { 0 }].push(room);
            }
        }
        by_zone
    }

    /// How many tasks of a gang one machine could take, if any.
    fn gang_capacity(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        h: &Host,
        slot: &HostInfo,
    ) -> Option<GangCapacity> {
        let tasks = self.cluster.jobs[request.job_index].spec.tasks;
        let demand = request.requirements.demand;
        let mut n = 0;
        let mut cost = 0.0;
        while n < tasks {
            let Some(vacancy) = self.plan_preemption(request, scope, host_index, &demand.times(f64::from(n + 1)))
            else {
                break;
            };
            cost = vacancy.cost;
            n += 1;
        }
        let sure = n;
        let room = self.eventual_capacity(h, slot);
        while n < tasks && demand.times(f64::from(n + 1)).fits(&room) {
            n += 1;
        }
        cost += UNCERTAIN_CAPACITY_COST * f64::from(n - sure);
        (n > 0).then(|| GangCapacity { cost: cost / f64::from(n), tasks: n, host: host_index })
    }

    /// Room that a machine will have some time: work that may not be stopped ends,
    /// unless it is a replica, and what frees then is held as well.
    fn eventual_capacity(&self, h: &Host, slot: &HostInfo) -> Demand {
        let mut room = self.cluster.instance_types[slot.instance_type].cap;
        for c in h.attempts.iter().filter(|c| !c.ended()) {
            if self.cluster.jobs[c.key.job].spec.shape == Shape::Service {
                room.sub(&c.demand);
            }
        }
        room
    }

    /// Does the gang hold room for a while before anything is stopped for it? Where no time to
    /// start is wanted, most of its room frees by itself: stopping a thousand short tasks for one
    /// large gang is a loss that nobody asked for.
    fn reserves_before_preempting(&self, request: &PlacementRequest, until_ms: u64) -> bool {
        let wants_quick_start = self.policy.waits.contains_key(&self.cluster.jobs[request.job_index].spec.class);
        !wants_quick_start && self.now + self.policy.hold_ms / 4 < until_ms
    }

    /// Holds room for all tasks of a gang on the cheapest of these machines.
    fn reserve_cheapest(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut hosts: Vec<GangCapacity>,
        until_ms: u64,
    ) {
        let tasks = self.cluster.jobs[request.job_index].spec.tasks;
        hosts.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let certain = hosts.iter().filter(|h| h.cost < UNCERTAIN_CAPACITY_COST / f64::from(tasks));
        let sure =
            certain.map(|h| h.tasks).sum::<u32>() >= tasks && !self.reserves_before_preempting(request, until_ms);
        self.release_reservations(request.job_index);
        if sure && let Some(rooms) = self.plan_gang_preemptions(request, scope, &hosts) {
            self.preempt_for_gang(request, rooms, until_ms);
            return;
        }
        let mut left = tasks;
        for GangCapacity { tasks, host, .. } in hosts {
            let n = tasks.min(left);
            left -= n;
            let demand = request.requirements.demand.times(f64::from(n));
            self.reserve(host, Reservation::of_job(request.job_index, demand, until_ms));
            if left == 0 {
                return;
            }
        }
    }

    /// Preempts lesser work for a gang that does not lead, if all of it fits then, and holds
    /// the room. With less than that the gang could not start, and what was stopped for it would
    /// only begin anew, over and over.
    pub(super) fn free_capacity_for_gang(&mut self, request: &PlacementRequest) {
        let scope = self.scope(request);
        let tasks = self.cluster.jobs[request.job_index].spec.tasks as usize;
        let waits = self.waiting_tasks(request) == tasks;
        let holds = self.index.reservations_of(request.job_index) > 0;
        if !waits || holds || self.known_blocked(request, scope) {
            return;
        }
        if scope == PreemptionScope::RecentlyStarted && self.tasks_covered_by_releases(request, tasks) == tasks {
            return;
        }
        let costs = self.preemption_costs(request, scope);
        if costs.is_empty() && !request.without_accelerators && request.avoided_hosts.is_empty() {
            self.note_blocked(request, scope);
        }
        let one_zone = self.cluster.jobs[request.job_index].spec.one_zone;
        let zones: Vec<Option<usize>> = if one_zone { self.index.zones().map(Some).collect() } else { vec![None] };
        for zone in zones {
            let in_zone =
                |candidate: &&Candidate| zone.is_none_or(|zone| zone == self.index.hosts[candidate.host].zone);
            let costs: Vec<Candidate> = costs.iter().filter(in_zone).copied().collect();
            if let Some(rooms) = self.plan_cheapest_preemptions(request, scope, costs) {
                let until_ms = self.now + RESERVATION_REACTIONS * self.policy.react_ms;
                self.preempt_for_gang(request, rooms, until_ms);
                return;
            }
        }
    }

    /// Where all tasks of a gang would fit at the least cost, if they do, and what has to leave
    /// these machines. `costs` tells what room for one task costs on each.
    fn plan_cheapest_preemptions(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut costs: Vec<Candidate>,
    ) -> Option<Vec<PlannedCapacity>> {
        // The least cost last.
        costs.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        let mut left = self.cluster.jobs[request.job_index].spec.tasks;
        let mut counts = ZoneCounts::default();
        let mut rooms: Vec<PlannedCapacity> = Vec::new();
        while left > 0 {
            let Candidate { host, cost } = costs.pop()?;
            if !request.requirements.accepts(&self.index.hosts[host], &counts) {
                continue;
            }
            let Some(room) = self.plan_one_more_task(request, scope, &rooms, host) else { continue };
            let before = rooms.iter().find(|other| other.host == host).map_or(0.0, |other| other.vacancy.cost);
            let further_cost = room.vacancy.cost - before;
            // What is planned elsewhere may have made it dearer.
            if further_cost > cost && costs.last().is_some_and(|next| next.cost < further_cost) {
                insert_by_cost(&mut costs, Candidate { host, cost: further_cost });
                continue;
            }
            left -= 1;
            counts.add(self.index.hosts[host].zone);
            rooms.retain(|other| other.host != host);
            rooms.push(room);
            insert_by_cost(&mut costs, Candidate { host, cost: further_cost });
        }
        Some(rooms)
    }

    /// Room for one task more than is planned on the machine, beside what is planned on the others.
    fn plan_one_more_task(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        rooms: &[PlannedCapacity],
        host: HostIndex,
    ) -> Option<PlannedCapacity> {
        let mut planned = PlannedStops::default();
        for other in rooms.iter().filter(|other| other.host != host) {
            other.vacancy.add_evictions_to(self.cluster, &mut planned);
            planned.earmark(other.host, other.demand);
        }
        let tasks = 1 + rooms.iter().find(|other| other.host == host).map_or(0, |other| other.tasks);
        let vacancy = self.plan_for_tasks(request, scope, host, tasks, &planned)?;
        let demand = request.requirements.demand.times(f64::from(tasks));
        Some(PlannedCapacity { host, tasks, demand, vacancy })
    }

    /// What has to leave each of these machines for all tasks of a gang to fit, if they can.
    fn plan_gang_preemptions(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        hosts: &[GangCapacity],
    ) -> Option<Vec<PlannedCapacity>> {
        let mut left = self.cluster.jobs[request.job_index].spec.tasks;
        let mut planned = PlannedStops::default();
        let mut rooms = Vec::new();
        for room in hosts {
            let most = room.tasks.min(left);
            let plan = |tasks: u32| {
                let demand = request.requirements.demand.times(f64::from(tasks));
                let vacancy = self.plan_preemption_beside(request, scope, room.host, &demand, &planned)?;
                Some(PlannedCapacity { host: room.host, tasks, demand, vacancy })
            };
            let Some(found) = (1..=most).rev().find_map(plan) else { continue };
            left -= found.tasks;
            found.vacancy.add_evictions_to(self.cluster, &mut planned);
            planned.earmark(found.host, found.demand);
            rooms.push(found);
            if left == 0 {
                return Some(rooms);
            }
        }
        None
    }

    /// Carries out what `plan_gang_preemptions` found, and holds the room.
    fn preempt_for_gang(&mut self, request: &PlacementRequest, rooms: Vec<PlannedCapacity>, until_ms: u64) {
        // Room that is held counts for the guarantee: the stops are judged without it.
        for room in &rooms {
            self.execute_preemption(request, room.host, &room.vacancy.evictions);
        }
        for PlannedCapacity { host, demand, .. } in rooms {
            self.reserve(host, Reservation::of_job(request.job_index, demand, until_ms));
        }
    }
}
