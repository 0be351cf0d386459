//! Making room: what may be stopped or moved for waiting work, and where that costs
//! least.

use super::candidates::Candidate;
use super::cost::MOVE_COST;
use super::preemption::PreemptionScope;
use super::request::PlacementRequest;
use super::{Eviction, Pass};
use crate::model::{Claim, Demand, Host, HostIndex, JobIndex, Shape, Spec, Task, TaskAttempt, Urgency};
use crate::sched::index::{TaskRequirements, ZoneCounts};
use std::cmp::Reverse;

/// Room that is made for a task is held for so many times what an order takes
/// to show: what is in the way may have to save.
const MADE: u64 = 10;

/// The cost of stopping a gang, and of each of its tasks: it loses its place whole, and
/// places for gangs are few.
const STOPPED_GANG: f64 = 2.0;
const STOPPED_GANG_TASK: f64 = 2.0;
/// The cost of stopping a replica: its users are without it until its image is
/// somewhere else.
const STOPPED_REPLICA: f64 = 8.0;
/// The cost of stopping a task of an array, and of one that has hardly begun.
const STOPPED_TASK: f64 = 1.0;
const STOPPED_EARLY: f64 = 0.5;
/// The further cost if the job can't be in time any more.
const STOPPED_LATE: f64 = 1.0;

/// The weight of the cost of a place next to that of making room there.
const PLACE_WEIGHT: f64 = 0.2;
/// The same for a replica.
const SERVICE_PLACE_WEIGHT: f64 = 1.0;

/// An attempt that would leave its machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Departure {
    copy: TaskAttempt,
    /// Where it is moved; none if it is stopped.
    destination: Option<HostIndex>,
}

/// Room that can be had on a machine.
#[derive(Debug)]
pub(super) struct Vacancy {
    /// A measure of what the departures cost.
    pub(super) cost: f64,
    pub(super) departures: Vec<Departure>,
}

/// An attempt that may leave its machine.
struct Victim<'a> {
    copy: &'a TaskAttempt,
    /// It may be stopped, and not only moved.
    evict: bool,
}

/// Room that is promised to a replica that moves.
struct Promise {
    host: HostIndex,
    demand: Demand,
}

/// A kind of task for which no machine could make room, with all that it may stop.
pub(super) struct BlockedRequirements {
    pub(super) requirements: TaskRequirements,
    pub(super) urgency: Urgency,
    pub(super) team: String,
    pub(super) scope: PreemptionScope,
    /// The image that this holds for, if not for any.
    pub(super) image: Option<String>,
}

impl Pass<'_> {
    /// A machine with free room and the image for a running replica, so that
    /// moving it there costs it next to nothing. `taken` is promised already.
    fn relocation_target(&self, from: HostIndex, c: &TaskAttempt, taken: &[Promise]) -> Option<HostIndex> {
        let spec = &self.cluster.jobs[c.key.job].spec;
        if spec.shape != Shape::Service || !c.running() || c.stop.is_some() || !self.settled(c) {
            return None;
        }
        let room_for = |host_index: HostIndex| {
            let s = &self.index.slots[host_index];
            let mut room = s.free;
            room.sub(&s.claimed);
            taken.iter().filter(|t| t.host == host_index).for_each(|t| room.sub(&t.demand));
            s.usable && host_index != from && spec.demand.fits(&room)
        };
        let warm = self.index.warm(self.cluster, &spec.image);
        let mut open = warm.iter().copied().filter(|h| room_for(*h)).peekable();
        open.peek()?;
        let request = self.request(c.key.job);
        let mut counts = self.index.counts(c.key.job);
        counts.sub(self.index.slots[from].zone);
        let mut best: Option<Candidate> = None;
        for host_index in open {
            let ready = |h: &Host| h.images.iter().any(|i| i.ready && i.name == spec.image);
            if !request.requirements.takes(&self.index.slots[host_index], &counts)
                || !self.cluster.host(host_index).is_some_and(ready)
            {
                continue;
            }
            let cost = self.cost(&request, host_index);
            if best.is_none_or(|b| cost < b.cost) {
                best = Some(Candidate { cost, host: host_index });
            }
        }
        best.map(|b| b.host)
    }

    /// What would have to leave the machine so that `demand` fits, and where
    /// to, if it is moved; with a measure of what that costs.
    pub(super) fn plan_displacements(
        &self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        host_index: HostIndex,
        demand: &Demand,
    ) -> Option<Vacancy> {
        self.hosts_examined.set(self.hosts_examined.get() + 1);
        let h = self.cluster.host(host_index)?;
        let mut room = self.index.slots[host_index].free;
        for c in h.attempts.iter().filter(|c| !c.ended() && c.stop.is_some()) {
            room.add(&c.demand);
        }
        if demand.fits(&room) {
            return Some(Vacancy { cost: 0.0, departures: Vec::new() });
        }
        let victims = self.victims(request, self.scope_on(scope, request, host_index), h);
        // Most is settled by a look at what could leave at best.
        let mut most = room;
        victims.iter().for_each(|v| most.add(&v.copy.demand));
        if !demand.fits(&most) {
            return None;
        }
        self.depart(victims, host_index, room, demand)
    }

    /// The attempts that may leave a machine, in the order in which they would.
    fn victims<'a>(&self, request: &PlacementRequest, scope: PreemptionScope, h: &'a Host) -> Vec<Victim<'a>> {
        let job = &self.cluster.jobs[request.job_index];
        let mut victims: Vec<Victim> = Vec::new();
        for copy in h.attempts.iter().filter(|c| !c.ended() && c.stop.is_none()) {
            let evict = self.may_evict(job, scope, copy);
            let service = self.cluster.jobs[copy.key.job].spec.shape == Shape::Service;
            let moves = copy.running() && self.settled(copy) && service;
            if evict || moves {
                victims.push(Victim { copy, evict });
            }
        }
        victims
    }

    /// Takes victims until `demand` fits into `room` with what they leave: the least
    /// urgent first; of those, the ones that lose least.
    fn depart(
        &self,
        mut victims: Vec<Victim>,
        host_index: HostIndex,
        mut room: Demand,
        demand: &Demand,
    ) -> Option<Vacancy> {
        let urgency = |c: &TaskAttempt| self.cluster.jobs[c.key.job].urgency;
        victims.sort_by_key(|v| (urgency(v.copy), !self.restart_in_time(v.copy), Reverse(v.copy.since_ms)));
        let mut departures = Vec::new();
        let mut taken = Vec::new();
        let mut cost = 0.0;
        for Victim { copy, evict } in victims {
            if demand.fits(&room) {
                break;
            }
            let destination = self.relocation_target(host_index, copy, &taken);
            if let Some(host) = destination {
                taken.push(Promise { host, demand: copy.demand });
                cost += MOVE_COST;
            } else if evict {
                cost = self.add_stop_cost(cost, copy);
            } else {
                continue;
            }
            departures.push(Departure { copy: *copy, destination });
            room.add(&copy.demand);
        }
        demand.fits(&room).then_some(Vacancy { cost, departures })
    }

    /// `cost` with that of stopping an attempt.
    fn add_stop_cost(&self, cost: f64, copy: &TaskAttempt) -> f64 {
        let victim = &self.cluster.jobs[copy.key.job].spec;
        let stopped = match victim.shape {
            Shape::Gang => STOPPED_GANG + STOPPED_GANG_TASK * f64::from(victim.tasks),
            Shape::Service => STOPPED_REPLICA,
            Shape::Batch if self.started_recently(copy) => STOPPED_EARLY,
            Shape::Batch => STOPPED_TASK,
        };
        let late = if self.restart_in_time(copy) { 0.0 } else { STOPPED_LATE };
        cost + stopped + late
    }

    /// Carries out what `plan_displacements` found.
    pub(super) fn clear(&mut self, request: &PlacementRequest, host_index: HostIndex, departures: &[Departure]) {
        let until_ms = self.now + MADE * self.policy.react_ms;
        for Departure { copy, destination } in departures {
            if let Some(to) = destination {
                self.claim(*to, Claim { job: copy.key.job, demand: copy.demand, until_ms });
            }
            let grace_s = self.stop_grace_s(request, host_index, &self.cluster.jobs[copy.key.job].spec);
            self.stop_tasks_of_job(request.job_index, host_index, copy, grace_s);
        }
    }

    /// Seconds that a stopped task has to save. An array task has none where a start that
    /// could be in time would be late for its class's objective by then: it goes on from its
    /// last checkpoint. A gang would lose as much with each of its tasks, and keeps its time.
    fn stop_grace_s(&self, request: &PlacementRequest, host_index: HostIndex, victim: &Spec) -> f64 {
        let grace_s = victim.grace_s();
        let fetch_s = self.fetch_s(request, host_index);
        let late_by_saving = request.wait_s.is_some_and(|left_s| fetch_s <= left_s && left_s < fetch_s + grace_s);
        if late_by_saving && victim.shape == Shape::Batch { 0.0 } else { grace_s }
    }

    /// Orders a stop; a gang stops whole.
    fn stop_tasks_of_job(&mut self, by: JobIndex, host_index: HostIndex, copy: &TaskAttempt, grace_s: f64) {
        let TaskAttempt { key, attempt, .. } = *copy;
        let whole = self.cluster.jobs[key.job].spec.shape == Shape::Gang;
        let mut hosts: Vec<HostIndex> = if whole { self.index.hosts_of(key.job).collect() } else { vec![host_index] };
        hosts.sort_unstable();
        hosts.dedup();
        for i in hosts {
            let Some(h) = self.cluster.hosts[i].as_mut() else { continue };
            for c in h.attempts.iter_mut().filter(|c| !c.ended() && c.stop.is_none()) {
                let same = i == host_index && c.key == key && c.attempt == attempt;
                if same || (whole && c.key.job == key.job) {
                    c.stop = Some(grace_s);
                    self.index.stop(&self.cluster.jobs[key.job].spec);
                    self.out.stops.push(Eviction { host: i, key: c.key, attempt: c.attempt, grace_s, by });
                }
            }
        }
    }

    /// Preempts lesser work for a job that found no room, on the machine where
    /// that costs least, and holds the room for it.
    pub(super) fn make_room(&mut self, request: &PlacementRequest) {
        let scope = self.scope(request);
        if self.known_in_vain(request, scope) {
            return;
        }
        let mut counts = self.index.counts(request.job_index);
        let waiting = self.waiting_tasks(request);
        let left = waiting.saturating_sub(self.claims_of_use(request, &mut counts));
        if left == 0 {
            return;
        }
        let mut costs = self.room_costs(request, scope);
        if costs.is_empty() && !request.without_accelerators && request.avoided_hosts.is_empty() {
            self.note_in_vain(request, scope);
        }
        // The least cost last.
        costs.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        self.take_cheapest(request, scope, costs, counts, left);
    }

    /// Was it in vain for a job like this one? Then it is so again.
    fn known_in_vain(&self, request: &PlacementRequest, scope: PreemptionScope) -> bool {
        let job = &self.cluster.jobs[request.job_index];
        self.blocked.iter().any(|w| {
            w.urgency >= job.urgency
                && w.team == job.spec.team
                && w.scope >= scope
                && w.image.as_ref().is_none_or(|i| *i == request.image)
                && w.requirements.like(&request.requirements)
        })
    }

    fn note_in_vain(&mut self, request: &PlacementRequest, scope: PreemptionScope) {
        let job = &self.cluster.jobs[request.job_index];
        let (urgency, team) = (job.urgency, job.spec.team.clone());
        // How far a job may go for its guarantee depends on its image, too.
        let image = (scope == PreemptionScope::Begun).then(|| request.image.clone());
        self.blocked.push(BlockedRequirements {
            requirements: request.requirements.clone(),
            urgency,
            team,
            scope,
            image,
        });
    }

    /// How many tasks of the job wait for a place.
    fn waiting_tasks(&self, request: &PlacementRequest) -> usize {
        let job = &self.cluster.jobs[request.job_index];
        let placeable = self.cluster.placeable(job);
        let open = |t: &&Task| t.retry_ms <= self.now && placeable.open(t);
        job.tasks.iter().filter(open).count()
    }

    /// What room for a task would cost on each machine where it can be made.
    fn room_costs(&self, request: &PlacementRequest, scope: PreemptionScope) -> Vec<Candidate> {
        let none = ZoneCounts::default();
        let mut costs = Vec::new();
        for (host, slot) in self.index.slots.iter().enumerate() {
            let left_to_others = request.without_accelerators && self.cluster.flavors[slot.flavor].cap.gpus > 0.0;
            if !request.requirements.takes(slot, &none) || left_to_others {
                continue;
            }
            if let Some(Vacancy { cost, .. }) = self.room_at(request, scope, host) {
                costs.push(Candidate { cost, host });
            }
        }
        costs
    }

    /// Makes room for so many tasks. Each machine was looked at once, and is again when
    /// its turn comes: what was done for the tasks before may have made it dearer.
    fn take_cheapest(
        &mut self,
        request: &PlacementRequest,
        scope: PreemptionScope,
        mut costs: Vec<Candidate>,
        mut counts: ZoneCounts,
        mut left: usize,
    ) {
        while left > 0
            && let Some(Candidate { host, .. }) = costs.pop()
        {
            if !request.requirements.takes(&self.index.slots[host], &counts) {
                continue;
            }
            let Some(vacancy) = self.room_at(request, scope, host) else { continue };
            if costs.last().is_some_and(|next| next.cost < vacancy.cost) {
                insert_by_cost(&mut costs, Candidate { cost: vacancy.cost, host });
                continue;
            }
            left -= 1;
            counts.add(self.index.slots[host].zone);
            self.clear(request, host, &vacancy.departures);
            let until_ms = self.now + MADE * self.policy.react_ms;
            self.claim(host, Claim { job: request.job_index, demand: request.requirements.demand, until_ms });
            if let Some(Vacancy { cost, .. }) = self.room_at(request, scope, host) {
                insert_by_cost(&mut costs, Candidate { cost, host });
            }
        }
    }

    /// What room for one more task would cost on a machine, and what has to leave it.
    fn room_at(&self, request: &PlacementRequest, scope: PreemptionScope, host_index: HostIndex) -> Option<Vacancy> {
        let s = &self.index.slots[host_index];
        // Room that is held for a gang is left to it; beside others' there may be more.
        let gangs = |c: &Claim| c.job != request.job_index && self.cluster.jobs[c.job].spec.shape == Shape::Gang;
        if request.avoided_hosts.contains(&host_index)
            || s.claims > 0 && self.cluster.host(host_index).is_some_and(|h| h.claims.iter().any(gangs))
        {
            return None;
        }
        let mut demand = request.requirements.demand;
        demand.add(&s.claimed);
        let mut vacancy = self.plan_displacements(request, scope, host_index, &demand)?;
        // A replica is worth waiting work to start where its image is.
        let weight = if request.service { SERVICE_PLACE_WEIGHT } else { PLACE_WEIGHT };
        vacancy.cost += weight * self.cost(request, host_index);
        Some(vacancy)
    }
}

/// Inserts into a list with the least cost last.
fn insert_by_cost(costs: &mut Vec<Candidate>, candidate: Candidate) {
    let at = costs.partition_point(|c| c.cost > candidate.cost);
    costs.insert(at, candidate);
}
