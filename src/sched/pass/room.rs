//! Making room: what may be stopped or moved for waiting work, and where that costs
//! least.

use super::candidates::Candidate;
use super::cost::MOVED;
use super::need::Need;
use super::preemption::Reach;
use super::{Eviction, Pass};
use crate::model::{Claim, Copy, Demand, Host, HostIx, JobIx, Shape, Task, Urgency};
use crate::sched::index::{Counts, Want};
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

/// A copy that would leave its machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Departure {
    copy: Copy,
    /// Where it is moved; none if it is stopped.
    destination: Option<HostIx>,
}

/// Room that can be had on a machine.
#[derive(Debug)]
pub(super) struct Vacancy {
    /// A measure of what the departures cost.
    pub(super) cost: f64,
    pub(super) departures: Vec<Departure>,
}

/// A copy that may leave its machine.
struct Victim<'a> {
    copy: &'a Copy,
    /// It may be stopped, and not only moved.
    evict: bool,
}

/// Room that is promised to a replica that moves.
struct Promise {
    host: HostIx,
    demand: Demand,
}

/// A kind of task for which no machine could make room, with all that it may stop.
pub(super) struct Wall {
    pub(super) want: Want,
    pub(super) urgency: Urgency,
    pub(super) team: String,
    pub(super) reach: Reach,
    /// The image that this holds for, if not for any.
    pub(super) image: Option<String>,
}

impl Pass<'_> {
    /// A machine with free room and the image for a running replica, so that
    /// moving it there costs it next to nothing. `taken` is promised already.
    fn refuge(&self, from: HostIx, c: &Copy, taken: &[Promise]) -> Option<HostIx> {
        let spec = &self.world.jobs[c.key.job].spec;
        if spec.shape != Shape::Service || !c.running() || c.stop.is_some() || !self.settled(c) {
            return None;
        }
        let room_for = |hix: HostIx| {
            let s = &self.index.slots[hix];
            let mut room = s.free;
            room.sub(&s.claimed);
            taken.iter().filter(|t| t.host == hix).for_each(|t| room.sub(&t.demand));
            s.usable && hix != from && spec.demand.fits(&room)
        };
        let warm = self.index.warm(self.world, &spec.image);
        let mut open = warm.iter().copied().filter(|h| room_for(*h)).peekable();
        open.peek()?;
        let need = self.need(c.key.job);
        let mut counts = self.index.counts(c.key.job);
        counts.sub(self.index.slots[from].zone);
        let mut best: Option<Candidate> = None;
        for hix in open {
            let ready = |h: &Host| h.images.iter().any(|i| i.ready && i.name == spec.image);
            if !need.want.takes(&self.index.slots[hix], &counts) || !self.world.host(hix).is_some_and(ready) {
                continue;
            }
            let cost = self.cost(&need, hix);
            if best.is_none_or(|b| cost < b.cost) {
                best = Some(Candidate { cost, host: hix });
            }
        }
        best.map(|b| b.host)
    }

    /// What would have to leave the machine so that `demand` fits, and where
    /// to, if it is moved; with a measure of what that costs.
    pub(super) fn vacate(&self, need: &Need, reach: Reach, hix: HostIx, demand: &Demand) -> Option<Vacancy> {
        self.looked.set(self.looked.get() + 1);
        let h = self.world.host(hix)?;
        let mut room = self.index.slots[hix].free;
        for c in h.copies.iter().filter(|c| !c.ended() && c.stop.is_some()) {
            room.add(&c.demand);
        }
        if demand.fits(&room) {
            return Some(Vacancy { cost: 0.0, departures: Vec::new() });
        }
        let victims = self.victims(need, self.reach_on(reach, need, hix), h);
        // Most is settled by a look at what could leave at best.
        let mut most = room;
        victims.iter().for_each(|v| most.add(&v.copy.demand));
        if !demand.fits(&most) {
            return None;
        }
        self.depart(victims, hix, room, demand)
    }

    /// The copies that may leave a machine, in the order in which they would.
    fn victims<'a>(&self, need: &Need, reach: Reach, h: &'a Host) -> Vec<Victim<'a>> {
        let spec = &self.world.jobs[need.ix].spec;
        let mut victims: Vec<Victim> = Vec::new();
        for copy in h.copies.iter().filter(|c| !c.ended() && c.stop.is_none()) {
            let evict = self.may_evict(spec, reach, copy);
            let service = self.world.jobs[copy.key.job].spec.shape == Shape::Service;
            let moves = copy.running() && self.settled(copy) && service;
            if evict || moves {
                victims.push(Victim { copy, evict });
            }
        }
        victims
    }

    /// Takes victims until `demand` fits into `room` with what they leave: the least
    /// urgent first; of those, the ones that lose least.
    fn depart(&self, mut victims: Vec<Victim>, hix: HostIx, mut room: Demand, demand: &Demand) -> Option<Vacancy> {
        let urgency = |c: &Copy| self.world.jobs[c.key.job].spec.urgency;
        victims.sort_by_key(|v| (urgency(v.copy), !self.second_chance(v.copy), Reverse(v.copy.since_ms)));
        let mut departures = Vec::new();
        let mut taken = Vec::new();
        let mut cost = 0.0;
        for Victim { copy, evict } in victims {
            if demand.fits(&room) {
                break;
            }
            let destination = self.refuge(hix, copy, &taken);
            if let Some(host) = destination {
                taken.push(Promise { host, demand: copy.demand });
                cost += MOVED;
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

    /// `cost` with that of stopping a copy.
    fn add_stop_cost(&self, cost: f64, copy: &Copy) -> f64 {
        let victim = &self.world.jobs[copy.key.job].spec;
        let stopped = match victim.shape {
            Shape::Gang => STOPPED_GANG + STOPPED_GANG_TASK * f64::from(victim.tasks),
            Shape::Service => STOPPED_REPLICA,
            Shape::Batch if self.hardly_begun(copy) => STOPPED_EARLY,
            Shape::Batch => STOPPED_TASK,
        };
        let late = if self.second_chance(copy) { 0.0 } else { STOPPED_LATE };
        cost + stopped + late
    }

    /// Carries out what `vacate` found.
    pub(super) fn clear(&mut self, by: JobIx, hix: HostIx, departures: &[Departure]) {
        let until_ms = self.now + MADE * self.policy.react_ms;
        for Departure { copy, destination } in departures {
            if let Some(to) = destination {
                self.claim(*to, Claim { job: copy.key.job, demand: copy.demand, until_ms });
            }
            let grace_s = self.world.jobs[copy.key.job].spec.grace_s();
            self.stop_job_part(by, hix, copy, grace_s);
        }
    }

    /// Orders a stop; a gang stops whole.
    fn stop_job_part(&mut self, by: JobIx, hix: HostIx, copy: &Copy, grace_s: f64) {
        let Copy { key, attempt, .. } = *copy;
        let whole = self.world.jobs[key.job].spec.shape == Shape::Gang;
        let mut hosts: Vec<HostIx> = if whole { self.index.hosts_of(key.job).collect() } else { vec![hix] };
        hosts.sort_unstable();
        hosts.dedup();
        for i in hosts {
            let Some(h) = self.world.hosts[i].as_mut() else { continue };
            for c in h.copies.iter_mut().filter(|c| !c.ended() && c.stop.is_none()) {
                let same = i == hix && c.key == key && c.attempt == attempt;
                if same || (whole && c.key.job == key.job) {
                    c.stop = Some(grace_s);
                    self.index.stop(&self.world.jobs[key.job].spec);
                    self.out.stops.push(Eviction { host: i, key: c.key, attempt: c.attempt, grace_s, by });
                }
            }
        }
    }

    /// Preempts lesser work for a job that found no room, on the machine where
    /// that costs least, and holds the room for it.
    pub(super) fn make_room(&mut self, need: &Need) {
        let reach = self.reach(need);
        if self.known_in_vain(need, reach) {
            return;
        }
        let mut counts = self.index.counts(need.ix);
        let waiting = self.waiting_tasks(need);
        let left = waiting.saturating_sub(self.claims_of_use(need, &mut counts));
        if left == 0 {
            return;
        }
        let mut costs = self.room_costs(need, reach);
        if costs.is_empty() && !need.modest && need.shuns.is_empty() {
            self.note_in_vain(need, reach);
        }
        // The least cost last.
        costs.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        self.take_cheapest(need, reach, costs, counts, left);
    }

    /// Was it in vain for a job like this one? Then it is so again.
    fn known_in_vain(&self, need: &Need, reach: Reach) -> bool {
        let spec = &self.world.jobs[need.ix].spec;
        self.walled.iter().any(|w| {
            w.urgency >= spec.urgency
                && w.team == spec.team
                && w.reach >= reach
                && w.image.as_ref().is_none_or(|i| *i == need.image)
                && w.want.like(&need.want)
        })
    }

    fn note_in_vain(&mut self, need: &Need, reach: Reach) {
        let spec = &self.world.jobs[need.ix].spec;
        let (urgency, team) = (spec.urgency, spec.team.clone());
        // How far a job may go for its guarantee depends on its image, too.
        let image = (reach == Reach::Begun).then(|| need.image.clone());
        self.walled.push(Wall { want: need.want.clone(), urgency, team, reach, image });
    }

    /// How many tasks of the job wait for a place.
    fn waiting_tasks(&self, need: &Need) -> usize {
        let job = &self.world.jobs[need.ix];
        let placeable = self.world.placeable(job);
        let open = |t: &&Task| t.retry_ms <= self.now && placeable.open(t);
        job.tasks.iter().filter(open).count()
    }

    /// What room for a task would cost on each machine where it can be made.
    fn room_costs(&self, need: &Need, reach: Reach) -> Vec<Candidate> {
        let none = Counts::default();
        let mut costs = Vec::new();
        for (host, slot) in self.index.slots.iter().enumerate() {
            let left_to_others = need.modest && self.world.flavors[slot.flavor].cap.gpus > 0.0;
            if !need.want.takes(slot, &none) || left_to_others {
                continue;
            }
            if let Some(Vacancy { cost, .. }) = self.room_at(need, reach, host) {
                costs.push(Candidate { cost, host });
            }
        }
        costs
    }

    /// Makes room for so many tasks. Each machine was looked at once, and is again when
    /// its turn comes: what was done for the tasks before may have made it dearer.
    fn take_cheapest(
        &mut self,
        need: &Need,
        reach: Reach,
        mut costs: Vec<Candidate>,
        mut counts: Counts,
        mut left: usize,
    ) {
        while left > 0
            && let Some(Candidate { host, .. }) = costs.pop()
        {
            if !need.want.takes(&self.index.slots[host], &counts) {
                continue;
            }
            let Some(vacancy) = self.room_at(need, reach, host) else { continue };
            if costs.last().is_some_and(|next| next.cost < vacancy.cost) {
                insert_by_cost(&mut costs, Candidate { cost: vacancy.cost, host });
                continue;
            }
            left -= 1;
            counts.add(self.index.slots[host].zone);
            self.clear(need.ix, host, &vacancy.departures);
            let until_ms = self.now + MADE * self.policy.react_ms;
            self.claim(host, Claim { job: need.ix, demand: need.want.demand, until_ms });
            if let Some(Vacancy { cost, .. }) = self.room_at(need, reach, host) {
                insert_by_cost(&mut costs, Candidate { cost, host });
            }
        }
    }

    /// What room for one more task would cost on a machine, and what has to leave it.
    fn room_at(&self, need: &Need, reach: Reach, hix: HostIx) -> Option<Vacancy> {
        let s = &self.index.slots[hix];
        // Room that is held for a gang is left to it; beside others' there may be more.
        let gangs = |c: &Claim| c.job != need.ix && self.world.jobs[c.job].spec.shape == Shape::Gang;
        if need.shuns.contains(&hix) || s.claims > 0 && self.world.host(hix).is_some_and(|h| h.claims.iter().any(gangs))
        {
            return None;
        }
        let mut demand = need.want.demand;
        demand.add(&s.claimed);
        let mut vacancy = self.vacate(need, reach, hix, &demand)?;
        // A replica is worth waiting work to start where its image is.
        let weight = if need.service { SERVICE_PLACE_WEIGHT } else { PLACE_WEIGHT };
        vacancy.cost += weight * self.cost(need, hix);
        Some(vacancy)
    }
}

/// Inserts into a list with the least cost last.
fn insert_by_cost(costs: &mut Vec<Candidate>, candidate: Candidate) {
    let at = costs.partition_point(|c| c.cost > candidate.cost);
    costs.insert(at, candidate);
}
