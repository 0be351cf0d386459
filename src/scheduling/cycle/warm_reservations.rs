//! Rooms of warm pools: replicas of their models go there first, and idle ones give way.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Demand, HostIndex, Shape, TaskKey, Urgency, WarmReservation, WarmReservationClaim};
use crate::scheduling::index::ZoneCounts;
use std::collections::{BTreeMap, HashSet};

impl SchedulingCycle<'_> {
    /// The position of a room that is held for a replica like those of this job: a warm one if
    /// there is any.
    pub(super) fn reservation_for_replica(&self, request: &PlacementRequest, counts: &ZoneCounts) -> Option<usize> {
        if !request.is_service || self.cluster.warm_reservations.is_empty() {
            return None;
        }
        let spec = &self.cluster.jobs[request.job_index].spec;
        let suits = |room: &WarmReservation| {
            room.offer.as_ref().is_some_and(|offer| offer.takes(&spec.image, &spec.team))
                && spec.demand.fits(&room.demand)
                && request.requirements.accepts(&self.index.hosts[room.host], counts)
                && !request.avoided_hosts.contains(&room.host)
        };
        let rooms = self.cluster.warm_reservations.iter().enumerate().filter(|(_, room)| suits(room));
        rooms.min_by_key(|(_, room)| (!room.warm, room.slot)).map(|(position, _)| position)
    }

    /// Gives the room at this position to a task; returns its machine.
    pub(super) fn claim_warm_reservation(&mut self, position: usize, key: TaskKey, attempt: u64) -> HostIndex {
        let room = self.remove_warm_reservation(position);
        self.start(key, room.host, attempt);
        self.decisions.warm_claims.push(WarmReservationClaim { slot: room.slot, host: room.host, key, attempt });
        room.host
    }

    /// A room is held no more.
    fn remove_warm_reservation(&mut self, position: usize) -> WarmReservation {
        let room = self.cluster.warm_reservations.swap_remove(position);
        self.index.hosts[room.host].free.add(&room.demand);
        room
    }

    /// Gives up idle rooms for a job that found no other, if it is more urgent than ordinary work
    /// or within its team's guarantee. Rooms within their payer's guarantee are kept. True if there
    /// is more room now.
    pub(super) fn yield_warm_reservations(&mut self, request: &PlacementRequest) -> bool {
        if !self.cluster.warm_reservations.iter().any(|room| room.may_yield) {
            return false;
        }
        let job = &self.cluster.jobs[request.job_index];
        let spec = &job.spec;
        if job.urgency < Urgency::High && !self.within_guarantee(spec, 1) {
            return false;
        }
        let waiting = self.waiting_tasks(request);
        let vacancies = self.yieldable_reservations(request);
        let all: usize = vacancies.iter().map(|vacancy| vacancy.tasks).sum();
        // A gang that does not fit even then gains nothing.
        if spec.shape == Shape::Gang && all + self.tasks_in_free_capacity(request) < waiting {
            return false;
        }
        let mut left = waiting;
        let mut given_up = HashSet::new();
        for vacancy in vacancies {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(vacancy.tasks);
            given_up.extend(vacancy.slots);
        }
        self.give_up_reservations(&given_up)
    }

    /// Machines on which rooms may be given up for the job, with what that is worth.
    fn yieldable_reservations(&self, request: &PlacementRequest) -> Vec<YieldableReservations> {
        let kept = self.reservations_within_guarantees();
        let mut by_host: BTreeMap<HostIndex, Vec<&WarmReservation>> = BTreeMap::new();
        let rooms = self.cluster.warm_reservations.iter().filter(|room| room.may_yield && !kept.contains(&room.slot));
        rooms.for_each(|room| by_host.entry(room.host).or_default().push(room));
        let vacancy = |(host, rooms): (HostIndex, Vec<&WarmReservation>)| self.yieldable_on_host(request, host, rooms);
        by_host.into_iter().filter_map(vacancy).collect()
    }

    fn yieldable_on_host(
        &self,
        request: &PlacementRequest,
        host: HostIndex,
        rooms: Vec<&WarmReservation>,
    ) -> Option<YieldableReservations> {
        let slot = &self.index.hosts[host];
        let demand = &request.requirements.demand;
        if !request.requirements.accepts(slot, &ZoneCounts::default()) || request.avoided_hosts.contains(&host) {
            return None;
        }
        let mut free = self.index.free_for(self.cluster, host, request.job_index);
        let before = if demand.fits(&free) { free.slots(demand) } else { 0.0 };
        let mut slots = Vec::new();
        // Cold rooms first, and no more than one task needs.
        let mut rooms = rooms;
        rooms.sort_by_key(|room| (room.warm, room.slot));
        for room in rooms {
            free.add(&room.demand);
            slots.push(room.slot);
            if demand.fits(&free) && free.slots(demand) > before {
                let tasks = (free.slots(demand) - before) as usize;
                return Some(YieldableReservations { slots, tasks });
            }
        }
        None
    }

    /// Tasks of the job that fit into room that is free as it is.
    fn tasks_in_free_capacity(&self, request: &PlacementRequest) -> usize {
        let demand = &request.requirements.demand;
        let none = ZoneCounts::default();
        let hosts = self.index.hosts.iter().enumerate().filter(|(_, slot)| request.requirements.accepts(slot, &none));
        hosts
            .map(|(host, _)| self.index.free_for(self.cluster, host, request.job_index))
            .filter(|free| demand.fits(free))
            .map(|free| free.slots(demand) as usize)
            .sum()
    }

    /// Slots whose rooms are within their payers' guarantees, beside what the payers' tasks take.
    fn reservations_within_guarantees(&self) -> HashSet<u64> {
        let mut taken: BTreeMap<&str, Demand> = BTreeMap::new();
        let mut kept = HashSet::new();
        let mut rooms: Vec<&WarmReservation> = self.cluster.warm_reservations.iter().collect();
        rooms.sort_by_key(|room| (!room.warm, room.slot));
        for room in rooms {
            let Some(offer) = &room.offer else { continue };
            let Some(team) = self.policy.teams.get(&offer.payer).filter(|team| team.guarantees(&room.demand)) else {
                continue;
            };
            let staying = || self.index.staying.get(&offer.payer).copied().unwrap_or_default();
            let taken = taken.entry(&offer.payer).or_insert_with(staying);
            let mut with_room = *taken;
            with_room.add(&room.demand);
            let within = |amount: f64, guaranteed: f64| guaranteed <= 0.0 || amount <= guaranteed;
            if within(with_room.gpus, team.guarantee.gpus) && within(with_room.cpus, team.guarantee.cpus) {
                *taken = with_room;
                kept.insert(room.slot);
            }
        }
        kept
    }

    /// Gives up these slots' rooms; false if there are none.
    fn give_up_reservations(&mut self, slots: &HashSet<u64>) -> bool {
        while let Some(position) = self.cluster.warm_reservations.iter().position(|room| slots.contains(&room.slot)) {
            let room = self.remove_warm_reservation(position);
            self.decisions.warm_reservations_given_up.push(room.slot);
        }
        if !slots.is_empty() {
            // What found no room before may find some now.
            self.exhausted_requirements.clear();
            self.blocked.clear();
        }
        !slots.is_empty()
    }
}

/// Rooms of a machine that may be given up together.
struct YieldableReservations {
    slots: Vec<u64>,
    /// So many more tasks fit then.
    tasks: usize,
}
