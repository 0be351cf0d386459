//! Placement of arrays and services, task by task.

use super::queue::QueueTier;
use super::request::PlacementRequest;
use super::victims::PreemptionPlan;
use super::{Assignment, SchedulingCycle};
use crate::model::{HostIndex, Place, Reservation, TaskAttempt, TaskKey};
use crate::scheduling::index::ZoneCounts;

impl SchedulingCycle<'_> {
    /// Starts an attempt of a task on a machine.
    pub(super) fn start(&mut self, key: TaskKey, host: HostIndex, attempt: u64) {
        let job = &mut self.cluster.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        task.place = Place::On(host, attempt);
        task.located = true;
        job.image_wait_until_ms = 0;
        self.index.start(&job.spec, key.job, host);
        self.borrowing.started(key.job, job.spec.demand);
        let (image, gb, demand) = (job.spec.image.clone(), job.spec.image_gb, job.spec.demand);
        let now = self.now;
        let held = self.cluster.host(host).and_then(|h| {
            let own = h.reservations.iter().position(|claim| claim.job == key.job);
            own.or_else(|| h.reservations.iter().position(|claim| self.cluster.may_use(claim, key.job)))
        });
        let cache = self.cluster.instance_types[self.index.hosts[host].instance_type].cache_gb;
        if let Some(h) = self.cluster.host_mut(host) {
            // Room held for this job is used up by its tasks.
            if let Some(i) = held {
                let before = h.reservations.clone();
                h.reservations[i].demand.sub(&demand);
                if !demand.fits(&h.reservations[i].demand) {
                    h.reservations.remove(i);
                }
                self.index.update_reservations(&before, &h.reservations, host);
            }
            h.use_image(&image, gb, cache, now);
            h.attempts.push(TaskAttempt::sent(key, attempt, demand, now));
        }
        self.decisions.starts.push(Assignment { key, host, attempt });
    }

    /// Places the idle tasks of an array or service; false if room lacked.
    pub(super) fn place_tasks(&mut self, request: &PlacementRequest, attempt: &mut impl FnMut() -> u64) -> bool {
        let job_index = request.job_index;
        let mut counts = self.index.counts(job_index);
        let mut candidates = None;
        let placeable = self.cluster.placeable(&self.cluster.jobs[job_index]);
        let lingering = self.cluster.lingering(job_index, self.index.hosts_of(job_index));
        let mut returned = 0;
        for n in 0..self.cluster.jobs[job_index].tasks.len() {
            let t = self.cluster.jobs[job_index].tasks[n];
            if t.retry_ms > self.now || !placeable.open(&t) || lingering.contains(&(n as u32)) {
                continue;
            }
            if !self.within_limit(&self.cluster.jobs[job_index].spec, 1.0) {
                return true; // waits for its own team, not for room
            }
            if request.tier == QueueTier::Returned && returned >= self.returning_tasks(job_index) {
                return true; // the rest waits for its ordinary turn
            }
            returned += 1;
            if request.tier == QueueTier::Guaranteed && !self.within_guarantee(&self.cluster.jobs[job_index].spec, 1) {
                return true; // the rest waits for its ordinary turn
            }
            if self.too_many_attempts(&self.cluster.jobs[job_index]) {
                return true; // waits for others to end, not for room
            }
            if let Some(room) = self.reservation_for_replica(request, &counts) {
                let host = self.claim_warm_reservation(room, TaskKey { job: job_index, task: n as u32 }, attempt());
                counts.add(self.index.hosts[host].zone);
                candidates = None;
                continue;
            }
            let mut found = candidates.take().unwrap_or_else(|| self.candidates(request));
            let Some(host) = self.best_candidate(request, &found, &counts) else { return false };
            // Room that was made for this job is as good as it gets.
            let made = self.cluster.host(host).is_some_and(|h| h.reservations.iter().any(|c| c.job == job_index));
            if !made
                && self
                    .earlier_image_gain(request, host)
                    .is_some_and(|most| self.wait_for_better_host(request, &counts, most))
            {
                candidates = None;
                continue;
            }
            counts.add(self.index.hosts[host].zone);
            self.start(TaskKey { job: job_index, task: n as u32 }, host, attempt());
            self.refresh_candidate(request, &mut found, host);
            candidates = Some(found);
        }
        true
    }

    /// Makes room where the image is ready, or sooner there, if only a little
    /// lesser work stands in the way; the task then waits for that room.
    fn wait_for_better_host(&mut self, request: &PlacementRequest, counts: &ZoneCounts, most: f64) -> bool {
        if !self.may_wait_for_image(request) {
            return false;
        }
        if self.index.reservations_of(request.job_index) > 0 {
            return true;
        }
        let Some((host_index, vacancy)) = self.cheapest_with_image(request, counts, most) else { return false };
        self.execute_preemption(request, host_index, &vacancy.evictions);
        let until_ms = self.now + self.policy.react_ms;
        self.reserve(host_index, Reservation::of_job(request.job_index, request.requirements.demand, until_ms));
        true
    }

    /// May it wait for room next to its image, or has it waited long enough? Bounded:
    /// what is held may be gone, and then any room will do.
    fn may_wait_for_image(&mut self, request: &PlacementRequest) -> bool {
        let (now, wait) = (self.now, 2 * self.policy.react_ms);
        let job = &mut self.cluster.jobs[request.job_index];
        if job.image_wait_until_ms == 0 {
            job.image_wait_until_ms = now + wait;
            return true;
        }
        now < job.image_wait_until_ms
    }

    /// Where room costs least among machines that have the image sooner.
    fn cheapest_with_image(
        &self,
        request: &PlacementRequest,
        counts: &ZoneCounts,
        most: f64,
    ) -> Option<(HostIndex, PreemptionPlan)> {
        let scope = self.scope(request);
        let mut best: Option<(HostIndex, PreemptionPlan)> = None;
        for (host_index, slot) in self.index.hosts.iter().enumerate() {
            let here = slot.reservations == 0
                && request.requirements.accepts(slot, counts)
                && !request.avoided_hosts.contains(&host_index);
            if !here || self.earlier_image_gain(request, host_index).is_some_and(|m| m > most / 2.0) {
                continue;
            }
            let Some(vacancy) = self.plan_preemption(request, scope, host_index, &request.requirements.demand) else {
                continue;
            };
            if self.stops_other_teams(request.job_index, &vacancy) {
                // There is room elsewhere: that the image comes later is no need to borrow.
                continue;
            }
            if vacancy.cost <= most && best.as_ref().is_none_or(|(_, b)| vacancy.cost < b.cost) {
                best = Some((host_index, vacancy));
            }
        }
        best
    }
}
