//! Placement of arrays and services, task by task.

use super::need::Need;
use super::room::Vacancy;
use super::{Assignment, Pass};
use crate::model::{Claim, Copy, HostIx, Place, TaskKey};
use crate::sched::index::Counts;

impl Pass<'_> {
    /// Starts an attempt of a task on a machine.
    pub(super) fn start(&mut self, key: TaskKey, host: HostIx, attempt: u64) {
        let job = &mut self.world.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        task.place = Place::On(host, attempt);
        task.located = true;
        job.soon_until_ms = 0;
        self.index.start(&job.spec, key.job, host);
        let (image, gb, demand) = (job.spec.image.clone(), job.spec.image_gb, job.spec.demand);
        let now = self.now;
        let cache = self.world.flavors[self.index.slots[host].flavor].cache_gb;
        if let Some(h) = self.world.host_mut(host) {
            // Room held for this job is used up by its tasks.
            if let Some(i) = h.claims.iter().position(|c| c.job == key.job) {
                let before = h.claims.clone();
                h.claims[i].demand.sub(&demand);
                if !demand.fits(&h.claims[i].demand) {
                    h.claims.remove(i);
                }
                self.index.reclaim(&before, &h.claims, host);
            }
            h.use_image(&image, gb, cache, now);
            h.copies.push(Copy::sent(key, attempt, demand, now));
        }
        self.out.starts.push(Assignment { key, host, attempt });
    }

    /// Places the idle tasks of an array or service; false if room lacked.
    pub(super) fn place_tasks(&mut self, need: &Need, attempt: &mut impl FnMut() -> u64) -> bool {
        let ix = need.ix;
        let mut counts = self.index.counts(ix);
        let mut candidates = None;
        let placeable = self.world.placeable(&self.world.jobs[ix]);
        let lingering = self.world.lingering(ix, self.index.hosts_of(ix));
        for n in 0..self.world.jobs[ix].tasks.len() {
            let t = self.world.jobs[ix].tasks[n];
            if t.retry_ms > self.now || !placeable.open(&t) || lingering.contains(&(n as u32)) {
                continue;
            }
            if !self.within_limit(&self.world.jobs[ix].spec, 1.0) {
                return true; // waits for its own team, not for room
            }
            let mut found = candidates.take().unwrap_or_else(|| self.candidates(need));
            let Some(host) = self.best(need, &found, &counts) else { return false };
            // Room that was made for this job is as good as it gets.
            let made = self.world.host(host).is_some_and(|h| h.claims.iter().any(|c| c.job == ix));
            if !made && self.image_late(need, host).is_some_and(|most| self.better_soon(need, &counts, most)) {
                candidates = None;
                continue;
            }
            counts.add(self.index.slots[host].zone);
            self.start(TaskKey { job: ix, task: n as u32 }, host, attempt());
            self.renew(need, &mut found, host);
            candidates = Some(found);
        }
        true
    }

    /// Makes room where the image is ready, or sooner there, if only a little
    /// lesser work stands in the way; the task then waits for that room.
    fn better_soon(&mut self, need: &Need, counts: &Counts, most: f64) -> bool {
        if !self.may_wait_for_image(need) {
            return false;
        }
        if self.index.claims_of(need.ix) > 0 {
            return true;
        }
        let Some((hix, vacancy)) = self.cheapest_with_image(need, counts, most) else { return false };
        self.clear(need.ix, hix, &vacancy.departures);
        let until_ms = self.now + self.policy.react_ms;
        self.claim(hix, Claim { job: need.ix, demand: need.want.demand, until_ms });
        true
    }

    /// May it wait for room next to its image, or has it waited long enough? Bounded:
    /// what is held may be gone, and then any room will do.
    fn may_wait_for_image(&mut self, need: &Need) -> bool {
        let (now, wait) = (self.now, 2 * self.policy.react_ms);
        let job = &mut self.world.jobs[need.ix];
        if job.soon_until_ms == 0 {
            job.soon_until_ms = now + wait;
            return true;
        }
        now < job.soon_until_ms
    }

    /// Where room costs least among machines that have the image sooner.
    fn cheapest_with_image(&self, need: &Need, counts: &Counts, most: f64) -> Option<(HostIx, Vacancy)> {
        let reach = self.reach(need);
        let mut best: Option<(HostIx, Vacancy)> = None;
        for (hix, slot) in self.index.slots.iter().enumerate() {
            let here = slot.claims == 0 && need.want.takes(slot, counts) && !need.shuns.contains(&hix);
            if !here || self.image_late(need, hix).is_some_and(|m| m > most / 2.0) {
                continue;
            }
            let Some(vacancy) = self.vacate(need, reach, hix, &need.want.demand) else { continue };
            if vacancy.cost <= most && best.as_ref().is_none_or(|(_, b)| vacancy.cost < b.cost) {
                best = Some((hix, vacancy));
            }
        }
        best
    }
}
