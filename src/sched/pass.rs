//! The pass over the bins: placement, gangs, preemption.

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

/// Room that is made for a task is held for so many times what an order takes
/// to show: what is in the way may have to save.
const MADE: u64 = 10;

/// A replica has settled after so many times what an order takes to show.
const SETTLED: u64 = 30;

/// Work that has run for less than this share of its estimate has hardly begun.
const HARDLY_BEGUN: f64 = 0.25;

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

/// No more than the tasks that were not seen, and no more than fits there.
fn unseen(world: &World) -> HashMap<String, Demand> {
    let mut sums: HashMap<String, Demand> = HashMap::new();
    if world.all_accounted {
        return sums;
    }
    for job in world.live.iter().map(|ix| &world.jobs[*ix]).filter(|j| !world.clear(j)) {
        let n = job.tasks.iter().filter(|t| t.place == Place::Idle && !t.located).count();
        sums.entry(job.spec.team.clone()).or_default().add(&job.spec.demand.times(n as f64));
    }
    let most = world.unaccounted;
    for d in sums.values_mut() {
        *d = Demand { cpus: d.cpus.min(most.cpus), gpus: d.gpus.min(most.gpus), mem: d.mem.min(most.mem) };
    }
    sums
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
    let unseen = unseen(world);
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
                let clear = self.world.clear(j);
                j.spec.urgency >= least
                    && j.active()
                    && j.tasks.iter().any(|t| t.place == Place::Idle && t.retry_ms <= self.now && (clear || t.located))
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
                && !(need.modest && self.strands(need, s))
                && (s.claims == 0 || need.want.demand.fits(&self.index.free_for(self.world, hix, need.ix)))
            {
                found.push((self.cost(need, hix), hix));
            }
        }
        if found.is_empty() && !need.held && !need.modest {
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
        let clear = self.world.clear(&self.world.jobs[ix]);
        for n in 0..self.world.jobs[ix].tasks.len() {
            let t = self.world.jobs[ix].tasks[n];
            if t.place != Place::Idle || t.retry_ms > self.now || !(clear || t.located) {
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
            if s.claims > 0 || !need.want.takes(s, counts) || self.image_late(need, hix).is_some_and(|m| m > most / 2.0)
            {
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
        let clear = self.world.clear(job);
        let waits = job.tasks.iter().any(|t| t.place != Place::Idle || t.retry_ms > self.now || !(clear || t.located));
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

    /// Holds room for the leading gang on the machines that are nearest to
    /// having it, for a bounded time; then others have their turn as long.
    fn hold_for_gang(&mut self, need: &Need) {
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
            if !need.want.takes(s, &none) || h.claims.iter().any(|c| c.job != ix) {
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
    fn reach(&self, need: &Need) -> Reach {
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
    fn vacate(&self, need: &Need, reach: Reach, hix: HostIx, demand: &Demand) -> Option<(f64, Leavers)> {
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
    fn clear(&mut self, by: JobIx, hix: HostIx, leave: &[(Copy, Option<HostIx>)]) {
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
    fn make_room(&mut self, need: &Need) {
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
        let clear = self.world.clear(job);
        let open = |t: &&Task| t.place == Place::Idle && t.retry_ms <= self.now && (clear || t.located);
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
        if in_vain && !need.modest {
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
        if s.claims > 0 && self.world.host(hix).is_some_and(|h| h.claims.iter().any(|c| c.job != need.ix)) {
            return None;
        }
        let mut demand = need.want.demand;
        demand.add(&s.claimed);
        let (lost, leave) = self.vacate(need, reach, hix, &demand)?;
        // A replica is worth waiting work to start where its image is.
        Some((lost + if need.service { 1.0 } else { 0.2 } * self.cost(need, hix), leave))
    }
}
