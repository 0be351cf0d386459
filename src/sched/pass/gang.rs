//! Gangs: started whole or not at all, with room held for the one that leads.

use super::Pass;
use super::candidates::Candidate;
use super::need::Need;
use super::preemption::Reach;
use crate::model::{Claim, Demand, Host, HostIx, Shape, TaskKey};
use crate::sched::index::{Counts, Slot};

/// The cost of holding room for a task that frees only when other work ends.
const UNSURE: f64 = 10.0;

/// How many tasks of a gang a machine could take if all lesser work left it.
struct GangRoom {
    /// Cost of a task there.
    cost: f64,
    tasks: u32,
    host: HostIx,
}

impl Pass<'_> {
    /// Starts a gang whole or not at all; false if room lacked.
    pub(super) fn place_gang(&mut self, need: &Need, attempt: &mut impl FnMut() -> u64) -> bool {
        let ix = need.ix;
        let job = &self.world.jobs[ix];
        // The next attempt waits until every task of the last one is gone.
        let placeable = self.world.placeable(job);
        let waits = job.tasks.iter().any(|t| t.retry_ms > self.now || !placeable.open(t));
        if waits || self.index.hosts_of(ix).next().is_some() {
            return true;
        }
        if !self.within_limit(&job.spec, f64::from(job.spec.tasks)) {
            return true;
        }
        let zones: Vec<Option<usize>> =
            if job.spec.one_zone { self.index.zones().map(Some).collect() } else { vec![None] };
        let candidates = self.candidates(need);
        for zone in zones {
            if let Some(hosts) = self.gang_hosts(need, &candidates, zone) {
                self.start_gang(need, hosts, attempt());
                return true;
            }
        }
        false
    }

    /// A machine for each task of a gang, in one zone if it must be.
    fn gang_hosts(&mut self, need: &Need, all: &[Candidate], zone: Option<usize>) -> Option<Vec<HostIx>> {
        let tasks = self.world.jobs[need.ix].spec.tasks as usize;
        let saved = self.index.slots.clone();
        let in_zone = |c: &Candidate| zone.is_none_or(|z| z == self.index.slots[c.host].zone);
        let mut left: Vec<_> = all.iter().copied().filter(in_zone).collect();
        let mut counts = Counts::default();
        let mut hosts = Vec::new();
        while hosts.len() < tasks {
            let Some(host) = self.best(need, &left, &counts) else { break };
            self.index.slots[host].free.sub(&need.want.demand);
            counts.add(self.index.slots[host].zone);
            self.renew(need, &mut left, host);
            hosts.push(host);
        }
        self.index.slots = saved;
        (hosts.len() == tasks).then_some(hosts)
    }

    fn start_gang(&mut self, need: &Need, hosts: Vec<HostIx>, attempt: u64) {
        self.world.jobs[need.ix].gang_attempt = attempt;
        for (task, host) in hosts.into_iter().enumerate() {
            self.start(TaskKey { job: need.ix, task: task as u32 }, host, attempt);
        }
        self.unclaim(need.ix);
    }

    /// Holds room for the leading gang on the machines that are nearest to
    /// having it, for a bounded time; then others have their turn as long.
    pub(super) fn hold_for_gang(&mut self, need: &Need) {
        let Some(until_ms) = self.hold_until(need) else { return };
        let reach = self.reach(need);
        let tasks = self.world.jobs[need.ix].spec.tasks;
        for hosts in self.gang_rooms(need, reach) {
            if hosts.iter().map(|h| h.tasks).sum::<u32>() >= tasks {
                self.hold_on(need, reach, hosts, until_ms);
                return;
            }
        }
    }

    /// Until when room is held for a gang; none while others have their turn.
    fn hold_until(&mut self, need: &Need) -> Option<u64> {
        let (now, hold) = (self.now, self.policy.hold_ms);
        let job = &mut self.world.jobs[need.ix];
        if now < job.no_hold_until_ms {
            return None;
        }
        if job.hold_until_ms == 0 {
            job.hold_until_ms = now + hold;
        } else if now >= job.hold_until_ms {
            job.hold_until_ms = 0;
            job.no_hold_until_ms = now + hold;
            self.unclaim(need.ix);
            return None;
        }
        Some(job.hold_until_ms)
    }

    /// Where a gang could have room: by zone if it must be in one, else all together.
    fn gang_rooms(&self, need: &Need, reach: Reach) -> Vec<Vec<GangRoom>> {
        let one_zone = self.world.jobs[need.ix].spec.one_zone;
        let none = Counts::default();
        let mut by_zone: Vec<Vec<GangRoom>> = Vec::new();
        by_zone.resize_with(self.index.zones().len().max(1), Vec::new);
        for (hix, slot) in self.index.slots.iter().enumerate() {
            let Some(h) = self.world.host(hix) else { continue };
            let others = h.claims.iter().any(|c| c.job != need.ix);
            if !need.want.takes(slot, &none) || need.shuns.contains(&hix) || others {
                continue;
            }
            if let Some(room) = self.gang_room(need, reach, hix, h, slot) {
                by_zone[if one_zone { slot.zone } else { 0 }].push(room);
            }
        }
        by_zone
    }

    /// How many tasks of a gang one machine could take, if any.
    fn gang_room(&self, need: &Need, reach: Reach, hix: HostIx, h: &Host, slot: &Slot) -> Option<GangRoom> {
        let tasks = self.world.jobs[need.ix].spec.tasks;
        let demand = need.want.demand;
        let mut n = 0;
        let mut cost = 0.0;
        while n < tasks {
            let Some(vacancy) = self.vacate(need, reach, hix, &demand.times(f64::from(n + 1))) else { break };
            cost = vacancy.cost;
            n += 1;
        }
        let sure = n;
        let room = self.room_in_time(h, slot);
        while n < tasks && demand.times(f64::from(n + 1)).fits(&room) {
            n += 1;
        }
        cost += UNSURE * f64::from(n - sure);
        (n > 0).then(|| GangRoom { cost: cost / f64::from(n), tasks: n, host: hix })
    }

    /// Room that a machine will have some time: work that may not be stopped ends,
    /// unless it is a replica, and what frees then is held as well.
    fn room_in_time(&self, h: &Host, slot: &Slot) -> Demand {
        let mut room = self.world.flavors[slot.flavor].cap;
        for c in h.copies.iter().filter(|c| !c.ended()) {
            if self.world.jobs[c.key.job].spec.shape == Shape::Service {
                room.sub(&c.demand);
            }
        }
        room
    }

    /// Holds room for all tasks of a gang on the cheapest of these machines.
    fn hold_on(&mut self, need: &Need, reach: Reach, mut hosts: Vec<GangRoom>, until_ms: u64) {
        let tasks = self.world.jobs[need.ix].spec.tasks;
        hosts.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let certain = hosts.iter().filter(|h| h.cost < UNSURE / f64::from(tasks));
        let sure = certain.map(|h| h.tasks).sum::<u32>() >= tasks;
        let mut left = tasks;
        self.unclaim(need.ix);
        for GangRoom { tasks, host, .. } in hosts {
            let n = tasks.min(left);
            left -= n;
            let demand = need.want.demand.times(f64::from(n));
            self.claim(host, Claim { job: need.ix, demand, until_ms });
            // Nothing is stopped unless the whole gang can start then.
            if sure && let Some(vacancy) = self.vacate(need, reach, host, &demand) {
                self.clear(need.ix, host, &vacancy.departures);
            }
            if left == 0 {
                return;
            }
        }
    }
}
