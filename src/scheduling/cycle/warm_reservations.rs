//! Warm reservations: replicas of a pool's models are placed on them first, and idle ones are released for
//! other work.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Demand, HostIndex, Shape, TaskKey, Urgency, WarmReservation, WarmReservationClaim};
use crate::scheduling::task_requirements::ZoneCounts;
use std::collections::{BTreeMap, HashSet};

/// Warm reservations on one machine that may be released together.
struct ReleasableReservations {
    /// Pool slots of the reservations.
    slots: Vec<u64>,
    /// Number of additional tasks that fit after the release.
    tasks: usize,
}

impl SchedulingCycle<'_> {
    /// Returns the position of a reservation that is offered to replicas like those of this job, preferably
    /// a warm one.
    pub(super) fn reservation_for_replica(&self, request: &PlacementRequest, counts: &ZoneCounts) -> Option<usize> {
        if !request.is_service || self.cluster.warm_reservations.is_empty() {
            return None;
        }
        let spec = &self.cluster.jobs[request.job_index].spec;
        let suits = |reservation: &WarmReservation| {
            reservation.offer.as_ref().is_some_and(|offer| offer.takes(&spec.image, &spec.team))
                && spec.demand.fits(&reservation.demand)
                && request.requirements.accepts(&self.index.hosts[reservation.host], counts)
                && !request.avoided_hosts.contains(&reservation.host)
        };
        let reservations = self.cluster.warm_reservations.iter().enumerate();
        reservations
            .filter(|(_, reservation)| suits(reservation))
            .min_by_key(|(_, reservation)| (!reservation.warm, reservation.slot))
            .map(|(position, _)| position)
    }

    /// Starts a task on the reservation at this position and returns its machine.
    pub(super) fn claim_warm_reservation(&mut self, position: usize, key: TaskKey, attempt: u64) -> HostIndex {
        let WarmReservation { slot, host, .. } = self.remove_warm_reservation(position);
        self.start(key, host, attempt);
        self.decisions.warm_claims.push(WarmReservationClaim { slot, host, key, attempt });
        host
    }

    /// Removes a reservation, which makes its capacity free.
    fn remove_warm_reservation(&mut self, position: usize) -> WarmReservation {
        let reservation = self.cluster.warm_reservations.swap_remove(position);
        self.index.hosts[reservation.host].free.add(&reservation.demand);
        reservation
    }

    /// Releases idle reservations for a job that fits nowhere else, if it is more urgent than normal work
    /// or within the guarantee of its team. Reservations within the guarantee of their payer are kept.
    /// Returns whether capacity was released.
    pub(super) fn release_warm_reservations(&mut self, request: &PlacementRequest) -> bool {
        if !self.cluster.warm_reservations.iter().any(|reservation| reservation.releasable) {
            return false;
        }
        let job = &self.cluster.jobs[request.job_index];
        let spec = &job.spec;
        if job.urgency < Urgency::High && !self.within_guarantee(spec, 1) {
            return false;
        }
        let pending = self.pending_tasks(request);
        let releasable = self.releasable_reservations(request);
        let releasable_tasks: usize = releasable.iter().map(|on_host| on_host.tasks).sum();
        // A gang that does not fit even after the release gains nothing.
        if spec.shape == Shape::Gang && releasable_tasks + self.tasks_in_free_capacity(request) < pending {
            return false;
        }
        let mut remaining = pending;
        let mut slots_to_release = HashSet::new();
        for on_host in releasable {
            if remaining == 0 {
                break;
            }
            remaining = remaining.saturating_sub(on_host.tasks);
            slots_to_release.extend(on_host.slots);
        }
        self.release_slots(&slots_to_release)
    }

    /// Returns, for each machine where more tasks would then fit, the reservations that may be released for
    /// the job.
    fn releasable_reservations(&self, request: &PlacementRequest) -> Vec<ReleasableReservations> {
        let kept = self.reservations_within_guarantees();
        let mut by_host: BTreeMap<HostIndex, Vec<&WarmReservation>> = BTreeMap::new();
        let reservations = self.cluster.warm_reservations.iter();
        for reservation in
            reservations.filter(|reservation| reservation.releasable && !kept.contains(&reservation.slot))
        {
            by_host.entry(reservation.host).or_default().push(reservation);
        }
        by_host
            .into_iter()
            .filter_map(|(host, reservations)| self.releasable_on_host(request, host, reservations))
            .collect()
    }

    /// Returns the reservations on one machine whose release makes one or more tasks fit, or `None` if none
    /// would fit.
    fn releasable_on_host(
        &self,
        request: &PlacementRequest,
        host: HostIndex,
        mut reservations: Vec<&WarmReservation>,
    ) -> Option<ReleasableReservations> {
        let demand = &request.requirements.demand;
        if !request.requirements.accepts(&self.index.hosts[host], &ZoneCounts::default())
            || request.avoided_hosts.contains(&host)
        {
            return None;
        }
        let mut free = self.index.free_for(self.cluster, host, request.job_index);
        let before = if demand.fits(&free) { free.tasks_that_fit(demand) } else { 0.0 };
        let mut slots = Vec::new();
        // Cold reservations are released first, and no more of them than one task needs.
        reservations.sort_by_key(|reservation| (reservation.warm, reservation.slot));
        for reservation in reservations {
            free.add(&reservation.demand);
            slots.push(reservation.slot);
            if demand.fits(&free) && free.tasks_that_fit(demand) > before {
                let tasks = (free.tasks_that_fit(demand) - before) as usize;
                return Some(ReleasableReservations { slots, tasks });
            }
        }
        None
    }

    /// Returns how many tasks of the job fit into capacity that is already free.
    fn tasks_in_free_capacity(&self, request: &PlacementRequest) -> usize {
        let demand = &request.requirements.demand;
        let no_tasks = ZoneCounts::default();
        let hosts = self.index.hosts.iter().enumerate();
        hosts
            .filter(|(_, host_info)| request.requirements.accepts(host_info, &no_tasks))
            .map(|(host, _)| self.index.free_for(self.cluster, host, request.job_index))
            .filter(|free| demand.fits(free))
            .map(|free| free.tasks_that_fit(demand) as usize)
            .sum()
    }

    /// Returns the pool slots of the reservations that are within the guarantee of their payer, given the
    /// payer's running tasks.
    fn reservations_within_guarantees(&self) -> HashSet<u64> {
        let mut taken: BTreeMap<&str, Demand> = BTreeMap::new();
        let mut kept = HashSet::new();
        let mut reservations: Vec<&WarmReservation> = self.cluster.warm_reservations.iter().collect();
        reservations.sort_by_key(|reservation| (!reservation.warm, reservation.slot));
        for reservation in reservations {
            let Some(offer) = &reservation.offer else { continue };
            let rule = self.policy.teams.get(&offer.payer);
            let Some(team) = rule.filter(|team| team.guarantees(&reservation.demand)) else { continue };
            let usage_after_stops = || self.index.usage_after_stops.get(&offer.payer).copied().unwrap_or_default();
            let taken = taken.entry(&offer.payer).or_insert_with(usage_after_stops);
            let mut with_reservation = *taken;
            with_reservation.add(&reservation.demand);
            let within = |amount: f64, guaranteed: f64| guaranteed <= 0.0 || amount <= guaranteed;
            if within(with_reservation.gpus, team.guarantee.gpus) && within(with_reservation.cpus, team.guarantee.cpus)
            {
                *taken = with_reservation;
                kept.insert(reservation.slot);
            }
        }
        kept
    }

    /// Releases the reservations of these pool slots. Returns `false` if there are none.
    fn release_slots(&mut self, slots: &HashSet<u64>) -> bool {
        let next = |cycle: &Self| {
            cycle.cluster.warm_reservations.iter().position(|reservation| slots.contains(&reservation.slot))
        };
        while let Some(position) = next(self) {
            let reservation = self.remove_warm_reservation(position);
            self.decisions.released_warm_reservations.push(reservation.slot);
        }
        if !slots.is_empty() {
            // Tasks that fitted nowhere before may fit now.
            self.exhausted_requirements.clear();
            self.blocked_requirements.clear();
        }
        !slots.is_empty()
    }
}
