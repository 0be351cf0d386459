//! Making room: what may be stopped or moved for waiting work, and where that costs
//! least.

use super::*;

/// Room that is made for a task is held for so many times what an order takes
/// to show: what is in the way may have to save.
const MADE: u64 = 10;

/// A replica has settled after so many times what an order takes to show.
const SETTLED: u64 = 30;

/// Work that has run for less than this share of its estimate has hardly begun.
const HARDLY_BEGUN: f64 = 0.25;

impl Pass<'_> {
    /// Holds room for the leading gang on the machines that are nearest to
    /// having it, for a bounded time; then others have their turn as long.
    pub(super) fn hold_for_gang(&mut self, need: &Need) {
        let hold = self.policy.hold_ms;
        let (now, ix) = (self.now, need.ix);
        let job = &mut self.world.jobs[ix];
        if now < job.no_hold_until_ms {
            return;
        }
        if job.hold_until_ms == 0 {
            job.hold_until_ms = now + hold;
        } else if now >= job.hold_until_ms {
            job.hold_until_ms = 0;
            job.no_hold_until_ms = now + hold;
            self.unclaim(ix);
            return;
        }
        let until_ms = job.hold_until_ms;
        let (tasks, one_zone) = (job.spec.tasks, job.spec.one_zone);
        let demand = need.want.demand;
        let reach = self.reach(need);
        let none = Counts::default();
        // How many tasks each machine could take if all lesser work left it.
        let mut by_zone: Vec<Vec<(f64, u32, HostIx)>> = vec![Vec::new(); self.index.zones().len().max(1)];
        for (hix, s) in self.index.slots.iter().enumerate() {
            let Some(h) = self.world.host(hix) else { continue };
            if !need.want.takes(s, &none) || need.shuns.contains(&hix) || h.claims.iter().any(|c| c.job != ix) {
                continue;
            }
            let mut n = 0;
            let mut cost = 0.0;
            while n < tasks {
                let Some((c, _)) = self.vacate(need, reach, hix, &demand.times(f64::from(n + 1))) else { break };
                cost = c;
                n += 1;
            }
            let sure = n;
            // Work that may not be stopped ends some time, unless it is a
            // replica: room that frees then is held as well.
            let mut room = self.world.flavors[s.flavor].cap;
            for c in h.copies.iter().filter(|c| !c.ended()) {
                if self.world.jobs[c.key.job].spec.shape == Shape::Service {
                    room.sub(&c.demand);
                }
            }
            while n < tasks && demand.times(f64::from(n + 1)).fits(&room) {
                n += 1;
            }
            cost += 10.0 * f64::from(n - sure);
            if n > 0 {
                by_zone[if one_zone { s.zone } else { 0 }].push((cost / f64::from(n), n, hix));
            }
        }
        for mut hosts in by_zone {
            if hosts.iter().map(|h| h.1).sum::<u32>() < tasks {
                continue;
            }
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
            let sure = hosts.iter().filter(|h| h.0 < 10.0 / f64::from(tasks)).map(|h| h.1).sum::<u32>() >= tasks;
            let mut left = tasks;
            self.unclaim(ix);
            for (_, n, hix) in hosts {
                let n = n.min(left);
                left -= n;
                let demand = demand.times(f64::from(n));
                self.claim(hix, Claim { job: ix, demand, until_ms });
                // Nothing is stopped unless the whole gang can start then.
                if sure && let Some((_, leave)) = self.vacate(need, reach, hix, &demand) {
                    self.clear(need.ix, hix, &leave);
                }
                if left == 0 {
                    return;
                }
            }
        }
    }

    /// How far a job may go to get its team's guarantee from work that is no
    /// less urgent: while that is in time, work that has hardly begun; once it
    /// has waited as long as room is held for a gang, any. Without bounds two
    /// teams' arrays stop each other over and over, and none is in time.
    pub(super) fn reach(&self, need: &Need) -> Reach {
        let job = &self.world.jobs[need.ix];
        if !self.within_guarantee(&job.spec) {
            Reach::None
        } else if self.wall.saturating_sub(job.accepted_ms) >= self.policy.hold_ms {
            Reach::Any
        } else if need.guarantee_s.is_some() {
            Reach::Begun
        } else {
            Reach::None
        }
    }

    /// The same on one machine: nothing is stopped where the start would be
    /// late for the guarantee all the same.
    fn reach_on(&self, reach: Reach, need: &Need, hix: HostIx) -> Reach {
        let in_time = || need.guarantee_s.is_some_and(|left| late(self.fetch_s(need, hix), left) < 0.5);
        if reach == Reach::Begun && !in_time() { Reach::None } else { reach }
    }

    fn hardly_begun(&self, c: &Copy) -> bool {
        let expected_s = self.world.jobs[c.key.job].spec.expected_s;
        self.now.saturating_sub(c.since_ms) as f64 <= expected_s * 1000.0 * HARDLY_BEGUN
    }

    /// Has it been there for long? What is stopped sooner was hardly started.
    fn settled(&self, c: &Copy) -> bool {
        self.now.saturating_sub(c.since_ms) >= SETTLED * self.policy.react_ms
    }

    /// Could the copy's job still be in time if it began anew?
    fn second_chance(&self, c: &Copy) -> bool {
        let job = &self.world.jobs[c.key.job];
        let needs = (job.spec.expected_s * 1000.0) as u64;
        job.spec.due_s.is_none() || self.wall + needs < self.policy.soft_deadline_ms(job)
    }

    /// May a task of `spec` push this copy off its machine?
    fn may_evict(&self, spec: &Spec, reach: Reach, c: &Copy) -> bool {
        let victim = &self.world.jobs[c.key.job].spec;
        if c.stop.is_some() || c.ended() {
            return false;
        }
        if victim.urgency < spec.urgency {
            return true;
        }
        let far_enough = match reach {
            Reach::None => false,
            Reach::Begun => self.hardly_begun(c),
            Reach::Any => true,
        };
        far_enough
            && (reach == Reach::Any || self.second_chance(c))
            && victim.team != spec.team
            && victim.shape != Shape::Service
            && victim.urgency <= spec.urgency.max(Urgency::Normal)
            && self.beyond_guarantee(victim)
    }

    /// A machine with free room and the image for a running replica, so that
    /// moving it there costs it next to nothing. `taken` is promised already.
    fn refuge(&self, from: HostIx, c: &Copy, taken: &[(HostIx, Demand)]) -> Option<HostIx> {
        let spec = &self.world.jobs[c.key.job].spec;
        if spec.shape != Shape::Service || !c.running() || c.stop.is_some() || !self.settled(c) {
            return None;
        }
        let room_for = |hix: HostIx| {
            let s = &self.index.slots[hix];
            let mut room = s.free;
            room.sub(&s.claimed);
            taken.iter().filter(|t| t.0 == hix).for_each(|t| room.sub(&t.1));
            s.usable && hix != from && spec.demand.fits(&room)
        };
        let warm = self.index.warm(self.world, &spec.image);
        let mut open = warm.iter().copied().filter(|h| room_for(*h)).peekable();
        open.peek()?;
        let need = self.need(c.key.job);
        let mut counts = self.index.counts(c.key.job);
        counts.sub(self.index.slots[from].zone);
        let mut best: Option<(f64, HostIx)> = None;
        for hix in open {
            let ready = |h: &Host| h.images.iter().any(|i| i.ready && i.name == spec.image);
            if !need.want.takes(&self.index.slots[hix], &counts) || !self.world.host(hix).is_some_and(ready) {
                continue;
            }
            let cost = self.cost(&need, hix);
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, hix));
            }
        }
        best.map(|b| b.1)
    }

    /// What would have to leave the machine so that `demand` fits, and where
    /// to, if it is moved; with a measure of what that costs.
    pub(super) fn vacate(&self, need: &Need, reach: Reach, hix: HostIx, demand: &Demand) -> Option<(f64, Leavers)> {
        self.looked.set(self.looked.get() + 1);
        let spec = &self.world.jobs[need.ix].spec;
        let h = self.world.host(hix)?;
        let mut room = self.index.slots[hix].free;
        for c in h.copies.iter().filter(|c| !c.ended() && c.stop.is_some()) {
            room.add(&c.demand);
        }
        if demand.fits(&room) {
            return Some((0.0, Vec::new()));
        }
        let reach = self.reach_on(reach, need, hix);
        // Most is settled by a look at what could leave at best.
        let mut most = room;
        let mut victims: Vec<(&Copy, bool)> = Vec::new();
        for c in h.copies.iter().filter(|c| !c.ended() && c.stop.is_none()) {
            let evict = self.may_evict(spec, reach, c);
            let moves = c.running() && self.settled(c) && self.world.jobs[c.key.job].spec.shape == Shape::Service;
            if evict || moves {
                most.add(&c.demand);
                victims.push((c, evict));
            }
        }
        if !demand.fits(&most) {
            return None;
        }
        // The least urgent first; of those, the ones that lose least.
        let urgency = |c: &Copy| self.world.jobs[c.key.job].spec.urgency;
        victims.sort_by_key(|(c, _)| (urgency(c), !self.second_chance(c), std::cmp::Reverse(c.since_ms)));
        let mut leave = Vec::new();
        let mut taken = Vec::new();
        let mut cost = 0.0;
        for (c, evict) in victims {
            if demand.fits(&room) {
                break;
            }
            if let Some(to) = self.refuge(hix, c, &taken) {
                taken.push((to, c.demand));
                leave.push((*c, Some(to)));
                cost += MOVED;
            } else if evict {
                leave.push((*c, None));
                let v = &self.world.jobs[c.key.job].spec;
                // A gang loses its place whole, and places for gangs are few.
                cost += match v.shape {
                    Shape::Gang => 2.0 + 2.0 * f64::from(v.tasks),
                    // Its users are without it until its image is somewhere else.
                    Shape::Service => 8.0,
                    Shape::Batch if self.hardly_begun(c) => 0.5,
                    Shape::Batch => 1.0,
                };
                if !self.second_chance(c) {
                    cost += 1.0;
                }
            } else {
                continue;
            }
            room.add(&c.demand);
        }
        demand.fits(&room).then_some((cost, leave))
    }

    /// Carries out what `vacate` found.
    pub(super) fn clear(&mut self, by: JobIx, hix: HostIx, leave: &[(Copy, Option<HostIx>)]) {
        let until_ms = self.now + MADE * self.policy.react_ms;
        for (c, to) in leave {
            if let Some(to) = to {
                self.claim(*to, Claim { job: c.key.job, demand: c.demand, until_ms });
            }
            let grace_s = self.world.jobs[c.key.job].spec.grace_s();
            self.stop_job_part(by, hix, c, grace_s);
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
        let ix = need.ix;
        let job = &self.world.jobs[ix];
        let (urgency, team) = (job.spec.urgency, job.spec.team.clone());
        let reach = self.reach(need);
        // What was in vain for a job like this one is so again.
        let walled = |w: &Wall| {
            w.urgency >= urgency
                && w.team == team
                && w.reach >= reach
                && w.image.as_ref().is_none_or(|i| *i == need.image)
                && w.want.like(&need.want)
        };
        if self.walled.iter().any(walled) {
            return;
        }
        let placeable = self.world.placeable(job);
        let open = |t: &&Task| t.retry_ms <= self.now && placeable.open(t);
        let waiting = job.tasks.iter().filter(open).count();
        let mut counts = self.index.counts(ix);
        let mut left = waiting.saturating_sub(self.claims_of_use(need, &mut counts));
        if left == 0 {
            return;
        }
        let none = Counts::default();
        // Each machine is looked at once, and again when its turn comes: what was
        // done for the tasks before may have made it dearer.
        let mut costs: Vec<(f64, HostIx)> = Vec::new();
        let mut in_vain = true;
        for hix in 0..self.index.slots.len() {
            let s = &self.index.slots[hix];
            if !need.want.takes(s, &none) || (need.modest && self.world.flavors[s.flavor].cap.gpus > 0.0) {
                continue;
            }
            if let Some((cost, _)) = self.room_at(need, reach, hix) {
                in_vain = false;
                costs.push((cost, hix));
            }
        }
        if in_vain && !need.modest && need.shuns.is_empty() {
            // How far a job may go for its guarantee depends on its image, too.
            let image = (reach == Reach::Begun).then(|| need.image.clone());
            self.walled.push(Wall { want: need.want.clone(), urgency, team, reach, image });
        }
        // The least cost last.
        costs.sort_by(|a, b| b.0.total_cmp(&a.0));
        while left > 0
            && let Some((_, hix)) = costs.pop()
        {
            if !need.want.takes(&self.index.slots[hix], &counts) {
                continue;
            }
            let Some((cost, leave)) = self.room_at(need, reach, hix) else { continue };
            if costs.last().is_some_and(|next| next.0 < cost) {
                let at = costs.partition_point(|c| c.0 > cost);
                costs.insert(at, (cost, hix));
                continue;
            }
            left -= 1;
            counts.add(self.index.slots[hix].zone);
            self.clear(need.ix, hix, &leave);
            let until_ms = self.now + MADE * self.policy.react_ms;
            self.claim(hix, Claim { job: ix, demand: need.want.demand, until_ms });
            if let Some((cost, _)) = self.room_at(need, reach, hix) {
                let at = costs.partition_point(|c| c.0 > cost);
                costs.insert(at, (cost, hix));
            }
        }
    }

    /// How many tasks room is held for where zones still allow them, which are
    /// counted; what is held elsewhere is given up. Room in a zone that the job's
    /// other tasks filled meanwhile would keep the last one waiting for its end.
    fn claims_of_use(&mut self, need: &Need, counts: &mut Counts) -> usize {
        if self.index.claims_of(need.ix) == 0 {
            return 0;
        }
        let mut of_use = 0;
        for hix in 0..self.index.slots.len() {
            if self.index.slots[hix].claims == 0 {
                continue;
            }
            let Some(h) = self.world.hosts[hix].as_mut().filter(|h| h.claims.iter().any(|c| c.job == need.ix)) else {
                continue;
            };
            let before = h.claims.clone();
            let slot = &self.index.slots[hix];
            h.claims.retain(|c| {
                let fits = c.job != need.ix || need.want.takes(slot, counts);
                if fits && c.job == need.ix {
                    counts.add(slot.zone);
                    of_use += 1;
                }
                fits
            });
            self.index.reclaim(&before, &h.claims, hix);
        }
        of_use
    }

    /// What room for one more task would cost on a machine, and what has to leave it.
    fn room_at(&self, need: &Need, reach: Reach, hix: HostIx) -> Option<(f64, Leavers)> {
        let s = &self.index.slots[hix];
        // Room that is held for a gang is left to it; beside others' there may be more.
        let gangs = |c: &Claim| c.job != need.ix && self.world.jobs[c.job].spec.shape == Shape::Gang;
        if need.shuns.contains(&hix) || s.claims > 0 && self.world.host(hix).is_some_and(|h| h.claims.iter().any(gangs))
        {
            return None;
        }
        let mut demand = need.want.demand;
        demand.add(&s.claimed);
        let (lost, leave) = self.vacate(need, reach, hix, &demand)?;
        // A replica is worth waiting work to start where its image is.
        Some((lost + if need.service { 1.0 } else { 0.2 } * self.cost(need, hix), leave))
    }
}
