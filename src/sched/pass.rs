//! The pass over the bins: placement and gangs; `room` makes room.

mod room;

use super::Policy;
use super::index::{Counts, Index, Slot, Want};
use super::plan::strands;
use crate::model::*;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};

/// Start this attempt on that machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assignment {
    pub key: TaskKey,
    pub host: HostIx,
    pub attempt: u64,
}

/// Stop this attempt, to make room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Eviction {
    pub host: HostIx,
    pub key: TaskKey,
    pub attempt: u64,
    pub grace_s: f64,
    /// The job that gets the room.
    pub by: JobIx,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub starts: Vec<Assignment>,
    pub stops: Vec<Eviction>,
    /// Jobs with tasks that found no room.
    pub unplaced: Vec<JobIx>,
    /// How many machines were looked at for how many decisions together.
    pub looked: u64,
}

/// Copies that would leave a machine, and where those go that are moved.
type Leavers = Vec<(Copy, Option<HostIx>)>;

/// The cost of a start that comes too late, next to which a machine's other
/// drawbacks are small.
const LATE: f64 = 3.0;
/// The cost of a replica that moves, next to 1 for a task that is stopped.
const MOVED: f64 = 0.3;

/// Which work of its own urgency a job may stop for its team's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Reach {
    None,
    Begun,
    Any,
}

/// A kind of task for which no machine could make room, with all that it may stop.
struct Wall {
    want: Want,
    urgency: Urgency,
    team: String,
    reach: Reach,
    /// The image that this holds for, if not for any.
    image: Option<String>,
}

/// How likely a fetch takes longer than `left`; it may take a third more or less.
fn late(fetch_s: f64, left_s: f64) -> f64 {
    if fetch_s <= 0.0 { 0.0 } else { ((fetch_s * 4.0 / 3.0 - left_s) / (fetch_s * 2.0 / 3.0)).clamp(0.0, 1.0) }
}

/// What a pass needs to know of the job that it places, worked out once.
struct Need {
    ix: JobIx,
    want: Want,
    image: String,
    image_gb: f64,
    service: bool,
    /// Seconds until the job can't be in time any more.
    slack_s: f64,
    /// Within how long its tasks are to start.
    within_s: f64,
    /// If it is lost once more it can't be in time.
    last_chance: bool,
    /// Seconds left to start within the class's objective, and within the guarantee's.
    wait_s: Option<f64>,
    guarantee_s: Option<f64>,
    /// What taking another class's room costs.
    trespass: Vec<(Reserve, f64)>,
    held: bool,
    /// Machines on which it failed.
    shuns: HashSet<HostIx>,
    /// Without accelerators, and not to take the places of work with them:
    /// there is too little room for that, and machines may still come.
    modest: bool,
}

/// Scratch values of one pass.
struct Pass<'a> {
    world: &'a mut World,
    policy: &'a Policy,
    now: u64,
    wall: u64,
    index: Index,
    /// Classes whose one machine type has no more room than is expected to be needed.
    scarce: HashSet<String>,
    /// Kinds of tasks for which no machine has room any more.
    full: Vec<Want>,
    /// The same even if all lesser work left.
    walled: Vec<Wall>,
    /// What machines that are not accounted for may hold of each team's tasks.
    unseen: HashMap<String, Demand>,
    looked: Cell<u64>,
    out: Outcome,
}

/// One pass over the bins, lowest first. `attempt` yields numbers that never
/// repeat.
///
/// Only work of `least` urgency or more is placed: passes for what can't wait are
/// short, whatever else does.
pub fn pass(
    world: &mut World,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    attempt: impl FnMut() -> u64,
) -> Outcome {
    pass_and_index(world, policy, now, wall, least, attempt).0
}

/// The pass, with the index as it left it.
pub(super) fn pass_and_index(
    world: &mut World,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    mut attempt: impl FnMut() -> u64,
) -> (Outcome, Index) {
    for host in world.hosts.iter_mut().flatten() {
        host.claims.retain(|c| c.until_ms > now);
    }
    let index = Index::new(world, now);
    let unseen = world.unseen();
    let mut p = Pass {
        scarce: scarce(world, &index),
        index,
        world,
        policy,
        now,
        wall,
        full: Vec::new(),
        walled: Vec::new(),
        unseen,
        looked: Cell::new(0),
        out: Outcome::default(),
    };
    let mut leading_gang = None;
    for ix in p.queue(least) {
        let need = p.need(ix);
        let placed = match p.world.jobs[ix].spec.shape {
            Shape::Gang => p.place_gang(&need, &mut attempt),
            _ => p.place_tasks(&need, &mut attempt),
        };
        if !placed {
            p.out.unplaced.push(ix);
            if p.world.jobs[ix].spec.shape == Shape::Gang && leading_gang.is_none() {
                leading_gang = Some(ix);
                p.hold_for_gang(&need);
            } else {
                p.make_room(&need);
            }
        }
    }
    if !p.out.unplaced.is_empty() {
        p.world.waited_ms = now;
    }
    let waits = |ix: &JobIx| {
        let spec = &p.world.jobs[*ix].spec;
        spec.demand.gpus > 0.0 && spec.urgency >= Urgency::High
    };
    p.world.hungry = p.out.unplaced.iter().any(waits);
    p.out.looked = p.looked.get();
    (p.out, p.index)
}

/// Classes that can run on one machine type alone and have hardly room there.
fn scarce(world: &World, index: &Index) -> HashSet<String> {
    let slots = |r: &Reserve| -> f64 {
        let hosts = index.slots.iter().filter(|s| s.usable && r.allows(s.flavor));
        hosts.map(|s| s.free.slots(&r.demand)).sum()
    };
    world.reserves.iter().filter(|r| slots(r) <= 2.0 * r.tasks).map(|r| r.class.clone()).collect()
}

impl Pass<'_> {
    /// Jobs with tasks to place: of those that may preempt one another the more
    /// urgent first, as preemption would turn any other order round; then the
    /// lowest bin, then the older.
    fn queue(&self, least: Urgency) -> Vec<JobIx> {
        let mut queue: Vec<_> = self
            .world
            .live
            .iter()
            .copied()
            .filter(|ix| {
                let j = &self.world.jobs[*ix];
                // A task that may be on a machine not accounted for waits; what
                // was seen alive since is certainly nowhere else.
                let placeable = self.world.placeable(j);
                j.spec.urgency >= least
                    && j.active()
                    && j.tasks.iter().any(|t| t.retry_ms <= self.now && placeable.open(t))
            })
            .map(|ix| {
                let j = &self.world.jobs[ix];
                let bin = self.policy.bin(self.policy.effective_deadline_ms(j, self.wall));
                // What may stop any equal work for its guarantee would do so next.
                let waits = self.wall.saturating_sub(j.accepted_ms) >= self.policy.hold_ms;
                let pushes = waits && j.spec.shape == Shape::Batch && self.within_guarantee(&j.spec);
                (std::cmp::Reverse(j.spec.urgency), !pushes, bin, j.accepted_ms, ix)
            })
            .collect();
        queue.sort_unstable();
        queue.into_iter().map(|q| q.4).collect()
    }

    fn need(&self, ix: JobIx) -> Need {
        let job = &self.world.jobs[ix];
        let spec = &job.spec;
        let left_ms = self.policy.soft_deadline_ms(job) as f64 - self.wall as f64;
        // A replica that was lost is down until it is back: each second counts.
        let lost_s = self.policy.react_ms as f64 / 1000.0;
        let within = self.policy.waits.get(&spec.class).map(|w| w.0).or(self.policy.guarantee_s);
        let modest = spec.demand.gpus <= 0.0;
        let theirs = self.world.reserves.iter();
        let theirs = theirs.filter(|r| r.class != spec.class && (r.sole() || (modest && r.demand.gpus > 0.0)));
        Need {
            ix,
            want: self.index.want(self.world, spec),
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            service: spec.shape == Shape::Service,
            slack_s: left_ms.max(0.0) / 1000.0 - spec.expected_s,
            within_s: within.unwrap_or(self.policy.default_deadline_s).max(0.1),
            last_chance: spec.due_s.is_some_and(|_| left_ms / 1000.0 < 2.0 * spec.expected_s),
            wait_s: spec.due_s.is_none().then(|| if left_ms > 0.0 { left_ms / 1000.0 } else { lost_s }),
            guarantee_s: self
                .policy
                .guarantee_s
                .map(|g| g - self.wall.saturating_sub(job.accepted_ms) as f64 / 1000.0)
                .filter(|left| *left > 0.0 && self.within_guarantee(spec)),
            trespass: theirs.map(|r| (r.clone(), if self.scarce.contains(&r.class) { 5.0 } else { 1.0 })).collect(),
            held: self.index.claims_of(ix) > 0,
            shuns: job.shuns(self.world, self.now).clone(),
            modest: modest
                && self.world.hungry
                && self.wall < job.accepted_ms + self.boot_ms(spec)
                && self.own_may_come(spec),
        }
    }

    /// May machines without accelerators still be had for it?
    fn own_may_come(&self, spec: &Spec) -> bool {
        let own =
            |(i, f): (usize, &Flavor)| f.cap.gpus <= 0.0 && spec.allows_flavor(f) && !self.world.exhausted.contains(&i);
        self.world.flavors.iter().enumerate().any(own)
    }

    /// How long the machine takes to boot on which the work costs least.
    fn boot_ms(&self, spec: &Spec) -> u64 {
        let allowed = self.world.flavors.iter().filter(|f| spec.allows_flavor(f));
        let cost = |f: &Flavor| f.price / f.cap.slots(&spec.demand).max(1.0);
        allowed.min_by(|a, b| cost(a).total_cmp(&cost(b))).map_or(0, |f| (f.boot_s * 1000.0) as u64)
    }

    fn within_limit(&self, spec: &Spec, n: f64) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        let mut total = self.index.usage.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand.times(n));
        // Machines that are not accounted for may hold what was not seen of the team's tasks.
        if let Some(unseen) = self.unseen.get(&spec.team) {
            total.add(unseen);
        }
        total.fits(&team.limit)
    }

    /// Would the job's team be within its guarantee with one more task?
    fn within_guarantee(&self, spec: &Spec) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        let mut total = self.index.staying.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand);
        total.gpus <= team.guarantee.gpus + 1e-6
            && (team.guarantee.cpus <= 0.0 || total.cpus <= team.guarantee.cpus + 1e-6)
    }

    /// Would the victim's team be beyond its guarantee even without it? Else
    /// two teams would go on taking the same room from each other.
    fn beyond_guarantee(&self, victim: &Spec) -> bool {
        let used = self.index.staying.get(&victim.team).copied().unwrap_or_default();
        self.policy.teams.get(&victim.team).is_some_and(|t| used.gpus - victim.demand.gpus >= t.guarantee.gpus - 1e-6)
    }

    /// The machines that have room for a task of the job, with their costs.
    fn candidates(&mut self, need: &Need) -> Vec<(f64, HostIx)> {
        if !need.held && self.full.iter().any(|w| w.like(&need.want)) {
            return Vec::new();
        }
        let none = Counts::default();
        let mut found = Vec::new();
        self.looked.set(self.looked.get() + self.index.slots.len() as u64);
        for (hix, s) in self.index.slots.iter().enumerate() {
            if need.want.demand.fits(&s.free)
                && need.want.takes(s, &none)
                && !need.shuns.contains(&hix)
                && !(need.modest && self.strands(need, s))
                && (s.claims == 0 || need.want.demand.fits(&self.index.free_for(self.world, hix, need.ix)))
            {
                found.push((self.cost(need, hix), hix));
            }
        }
        if found.is_empty() && !need.held && !need.modest && need.shuns.is_empty() {
            self.full.push(need.want.clone());
        }
        found
    }

    fn strands(&self, need: &Need, s: &Slot) -> bool {
        strands(self.world, &self.world.jobs[need.ix].spec, s.flavor, &s.free)
    }

    /// The best of the candidates that the zones allow; the least cost wins.
    fn best(&self, need: &Need, candidates: &[(f64, HostIx)], counts: &Counts) -> Option<HostIx> {
        let mut best: Option<(f64, HostIx)> = None;
        for (cost, hix) in candidates {
            if best.is_none_or(|(c, _)| *cost < c) && need.want.takes(&self.index.slots[*hix], counts) {
                best = Some((*cost, *hix));
            }
        }
        best.map(|b| b.1)
    }

    /// Looks again at a candidate that took a task.
    fn renew(&self, need: &Need, candidates: &mut Vec<(f64, HostIx)>, hix: HostIx) {
        let Some(i) = candidates.iter().position(|c| c.1 == hix) else { return };
        let fits = need.want.demand.fits(&self.index.free_for(self.world, hix, need.ix));
        if fits && !(need.modest && self.strands(need, &self.index.slots[hix])) {
            candidates[i].0 = self.cost(need, hix);
        } else {
            candidates.remove(i);
        }
    }

    fn fetch_s(&self, need: &Need, hix: HostIx) -> f64 {
        let rate = self.world.flavors[self.index.slots[hix].flavor].fetch_gb_per_s;
        self.world.host(hix).map_or(f64::INFINITY, |h| h.fetch_s(&need.image, need.image_gb, rate))
    }

    fn cost(&self, need: &Need, hix: HostIx) -> f64 {
        let Some(h) = self.world.host(hix) else { return f64::INFINITY };
        let slot = &self.index.slots[hix];
        let cap = &self.world.flavors[slot.flavor].cap;
        let fetch = self.fetch_s(need, hix);
        let mut cost = fetch / need.within_s;
        cost += LATE * late(fetch, need.wait_s.unwrap_or(need.slack_s.max(0.0)));
        cost += need.guarantee_s.map_or(0.0, |left| LATE * late(fetch, left));
        // Room of one resource that is stranded by lack of another.
        let spread_of = |free: &Demand| {
            let (lo, hi) = free.shares(cap).fold((1.0f64, 0.0f64), |(l, h), s| (l.min(s), h.max(s)));
            hi - lo
        };
        let before = slot.free;
        let mut after = before;
        after.sub(&need.want.demand);
        cost += 4.0 * (spread_of(&after) - spread_of(&before));
        // Room that other work can find on this type alone costs little while
        // there is plenty, much when what is expected needs the rest.
        let lost = need.trespass.iter().filter(|t| t.0.loses(slot.flavor, &before, &after));
        cost += lost.map(|t| t.1).fold(0.0, f64::max);
        // Cheap machines for work that can be lost once and still be in time.
        if need.want.spot && h.spot == need.last_chance {
            cost += 1.0;
        }
        if need.service {
            cost += 2.0 * self.index.hosts_of(need.ix).filter(|o| *o == hix).count() as f64;
        }
        // Room that is held for this very job.
        if need.held && h.claims.iter().any(|c| c.job == need.ix) {
            cost -= 8.0;
        }
        // Fuller machines first, so that others can be returned.
        let used = 1.0 - before.shares(cap).fold(1.0f64, f64::min);
        cost - 0.5 * used
    }

    fn start(&mut self, key: TaskKey, host: HostIx, attempt: u64) {
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
    fn place_tasks(&mut self, need: &Need, attempt: &mut impl FnMut() -> u64) -> bool {
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

    /// What may be lost to have a replica's image sooner than on this machine:
    /// more, the likelier it is too late here, and for larger replicas.
    fn image_late(&self, need: &Need, hix: HostIx) -> Option<f64> {
        let fetch = self.fetch_s(need, hix);
        let by = |left: Option<f64>| left.map_or(0.0, |left| late(fetch, left));
        let gain = LATE * by(need.wait_s) + LATE / 2.0 * by(need.guarantee_s);
        (need.service && gain >= MOVED).then(|| gain.min(LATE / 2.0) * need.want.demand.gpus.max(1.0))
    }

    /// Makes room where the image is ready, or sooner there, if only a little
    /// lesser work stands in the way; the task then waits for that room.
    fn better_soon(&mut self, need: &Need, counts: &Counts, most: f64) -> bool {
        // Bounded: what is held may be gone, and then any room will do.
        let (now, wait) = (self.now, 2 * self.policy.react_ms);
        let job = &mut self.world.jobs[need.ix];
        if job.soon_until_ms == 0 {
            job.soon_until_ms = now + wait;
        } else if now >= job.soon_until_ms {
            return false;
        }
        if self.index.claims_of(need.ix) > 0 {
            return true;
        }
        let demand = need.want.demand;
        let reach = self.reach(need);
        let mut best: Option<(f64, HostIx, Leavers)> = None;
        for (hix, s) in self.index.slots.iter().enumerate() {
            let here = s.claims == 0 && need.want.takes(s, counts) && !need.shuns.contains(&hix);
            if !here || self.image_late(need, hix).is_some_and(|m| m > most / 2.0) {
                continue;
            }
            let Some((lost, leave)) = self.vacate(need, reach, hix, &demand) else { continue };
            if lost <= most && best.as_ref().is_none_or(|b| lost < b.0) {
                best = Some((lost, hix, leave));
            }
        }
        let Some((_, hix, leave)) = best else { return false };
        self.clear(need.ix, hix, &leave);
        self.claim(hix, Claim { job: need.ix, demand, until_ms: self.now + self.policy.react_ms });
        true
    }

    /// Holds room on a machine.
    fn claim(&mut self, hix: HostIx, claim: Claim) {
        if let Some(h) = self.world.host_mut(hix) {
            let before = h.claims.clone();
            h.claims.push(claim);
            self.index.reclaim(&before, &h.claims, hix);
        }
    }

    /// Gives up the room that is held for a job.
    fn unclaim(&mut self, ix: JobIx) {
        if self.index.claims_of(ix) == 0 {
            return;
        }
        for (hix, h) in self.world.hosts.iter_mut().enumerate() {
            let Some(h) = h.as_mut().filter(|h| h.claims.iter().any(|c| c.job == ix)) else { continue };
            let before = h.claims.clone();
            h.claims.retain(|c| c.job != ix);
            self.index.reclaim(&before, &h.claims, hix);
        }
    }

    /// Starts a gang whole or not at all; false if room lacked.
    fn place_gang(&mut self, need: &Need, attempt: &mut impl FnMut() -> u64) -> bool {
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
        let n = job.spec.tasks as usize;
        let all = self.candidates(need);
        for zone in zones {
            let saved = self.index.slots.clone();
            let mut left: Vec<_> =
                all.iter().copied().filter(|c| zone.is_none_or(|z| z == self.index.slots[c.1].zone)).collect();
            let mut counts = Counts::default();
            let mut hosts = Vec::new();
            while hosts.len() < n {
                let Some(h) = self.best(need, &left, &counts) else { break };
                self.index.slots[h].free.sub(&need.want.demand);
                counts.add(self.index.slots[h].zone);
                self.renew(need, &mut left, h);
                hosts.push(h);
            }
            self.index.slots = saved;
            if hosts.len() == n {
                let a = attempt();
                self.world.jobs[ix].gang_attempt = a;
                for (task, host) in hosts.into_iter().enumerate() {
                    self.start(TaskKey { job: ix, task: task as u32 }, host, a);
                }
                self.unclaim(ix);
                return true;
            }
        }
        false
    }
}
