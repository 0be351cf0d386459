//! Decisions: bins, the pass over them, placement, gangs, preemption and the
//! rental plan. Pure and synchronous: no I/O, no clock.

use crate::config::{Operator, Settings};
use crate::model::*;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What decisions depend on besides the world.
#[derive(Debug, Clone)]
pub struct Policy {
    pub bin_width_s: f64,
    pub default_deadline_s: f64,
    pub headroom: f64,
    pub idle_keep: f64,
    pub teams: HashMap<String, TeamRule>,
    /// By class: start objective and the share that must meet it.
    pub waits: HashMap<String, (f64, f64)>,
    /// Within how long work within a guarantee is to start, if that is an aim.
    pub guarantee_s: Option<f64>,
    /// How long room is held for a gang or a preempting job.
    pub hold_ms: u64,
    pub lease_ms: u64,
    pub report_ms: u64,
    /// Wall time of the system's start, from the state service.
    pub start_ms: u64,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct TeamRule {
    pub guarantee: Demand,
    pub limit: Demand,
}

/// 0 in the settings means no limit.
fn limit(v: f64) -> f64 {
    if v > 0.0 { v } else { f64::INFINITY }
}

impl Policy {
    pub fn new(s: &Settings, o: &Operator, start_ms: u64) -> Policy {
        let teams = s.params.teams.iter().map(|t| {
            let rule = TeamRule {
                guarantee: Demand { cpus: t.cpus, gpus: t.gpus, mem: f64::INFINITY },
                limit: Demand { cpus: limit(t.cpus_max), gpus: limit(t.gpus_max), mem: f64::INFINITY },
            };
            (t.name.clone(), rule)
        });
        let waits = s.params.objectives.iter().filter(|o| o.kind == "wait");
        Policy {
            bin_width_s: o.bin_width_s,
            default_deadline_s: o.default_deadline_s,
            headroom: o.headroom,
            idle_keep: o.idle_keep,
            teams: teams.collect(),
            waits: waits.filter_map(|o| Some((o.class.clone()?, (o.within_s?, o.share.unwrap_or(0.9))))).collect(),
            guarantee_s: s.params.objectives.iter().find(|o| o.kind == "guarantee").and_then(|o| o.within_s),
            hold_ms: (s.params.workers.gang_wait_s * 1000.0) as u64,
            lease_ms: s.lease_ms(),
            report_ms: s.report_ms(),
            start_ms,
        }
    }

    /// The job's soft deadline, as wall time.
    pub fn soft_deadline_ms(&self, job: &Job) -> u64 {
        let after_s =
            job.spec.due_s.or_else(|| self.waits.get(&job.spec.class).map(|w| w.0)).unwrap_or(self.default_deadline_s);
        job.accepted_ms + (after_s * 1000.0) as u64
    }

    /// The deadline that counts now. Work that can't meet its deadline any
    /// more steps back in two strides, so that it doesn't starve what can.
    pub fn effective_deadline_ms(&self, job: &Job, wall: u64) -> u64 {
        let soft = self.soft_deadline_ms(job);
        let Some(due_s) = job.spec.due_s else { return soft };
        let needs = (job.spec.expected_s * 500.0) as u64;
        let stride = (due_s * 500.0) as u64;
        if wall + needs <= soft {
            soft
        } else if wall + needs <= soft + stride {
            soft + stride
        } else {
            soft + stride + (self.default_deadline_s * 1000.0) as u64
        }
    }

    /// The bin of a deadline.
    pub fn bin(&self, deadline_ms: u64) -> u64 {
        let width = (self.bin_width_s * 1000.0).max(1.0) as u64;
        deadline_ms.saturating_sub(self.start_ms) / width
    }
}

/// Why a submission can never run, if so.
pub fn impossible(spec: &Spec, policy: &Policy, flavors: &[Flavor]) -> Option<String> {
    let Some(team) = policy.teams.get(&spec.team) else {
        return Some(format!("owner: no team {}", spec.team));
    };
    let fits = flavors.iter().any(|f| spec.allows_flavor(f) && f.zones.iter().any(|z| spec.allows_zone(z)));
    if !fits {
        return Some("a task fits no allowed machine type".into());
    }
    let together = if spec.shape == Shape::Batch { 1.0 } else { f64::from(spec.tasks) };
    if !spec.demand.times(together).fits(&team.limit) {
        return Some(format!("the job needs more than the limit of {}", spec.team));
    }
    None
}

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
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub starts: Vec<Assignment>,
    pub stops: Vec<Eviction>,
    /// Jobs with tasks that found no room.
    pub unplaced: Vec<JobIx>,
}

/// Copies that would leave a machine, and where those go that are moved.
type Leavers = Vec<(Copy, Option<HostIx>)>;

/// Scratch values of one pass.
struct Pass<'a> {
    world: &'a mut World,
    policy: &'a Policy,
    now: u64,
    wall: u64,
    free: Vec<Demand>,
    usage: HashMap<String, Demand>,
    /// What they will take once all that is being stopped is gone.
    staying: HashMap<String, Demand>,
    /// Classes whose one machine type has no more room than is expected to be needed.
    scarce: HashSet<String>,
    out: Outcome,
}

/// One pass over the bins, lowest first. `attempt` yields numbers that never
/// repeat.
pub fn pass(world: &mut World, policy: &Policy, now: u64, wall: u64, mut attempt: impl FnMut() -> u64) -> Outcome {
    for host in world.hosts.iter_mut().flatten() {
        host.claims.retain(|c| c.until_ms > now);
    }
    let free: Vec<Demand> =
        world.hosts.iter().map(|h| h.as_ref().map_or(Demand::default(), |h| world.free(h))).collect();
    let mut p = Pass {
        usage: usage(world, false),
        staying: usage(world, true),
        scarce: scarce(world, &free, now),
        free,
        world,
        policy,
        now,
        wall,
        out: Outcome::default(),
    };
    let mut leading_gang = None;
    for ix in p.queue() {
        let placed = match p.world.jobs[ix].spec.shape {
            Shape::Gang => p.place_gang(ix, &mut attempt),
            _ => p.place_tasks(ix, &mut attempt),
        };
        if !placed {
            p.out.unplaced.push(ix);
            if p.world.jobs[ix].spec.shape == Shape::Gang && leading_gang.is_none() {
                leading_gang = Some(ix);
                p.hold_for_gang(ix);
            } else {
                p.make_room(ix);
            }
        }
    }
    p.out
}

/// What each team's copies take, fetching ones included; `staying` leaves out
/// those that are being stopped.
pub fn usage(world: &World, staying: bool) -> HashMap<String, Demand> {
    let mut usage: HashMap<String, Demand> = HashMap::new();
    for (_, h) in world.each_host() {
        for c in h.copies.iter().filter(|c| !(c.ended() || staying && c.stop.is_some())) {
            let spec = &world.jobs[c.key.job].spec;
            match usage.get_mut(&spec.team) {
                Some(u) => u.add(&spec.demand),
                None => {
                    usage.insert(spec.team.clone(), spec.demand);
                }
            }
        }
    }
    usage
}

/// Classes that can run on one machine type alone and have hardly room there.
fn scarce(world: &World, free: &[Demand], now: u64) -> HashSet<String> {
    let slots = |r: &Reserve| -> f64 {
        let hosts = world.each_host().filter(|(_, h)| h.flavor == Some(r.flavor) && usable(h, now));
        hosts.map(|(i, _)| free[i].shares(&r.demand).fold(f64::INFINITY, f64::min).max(0.0).floor()).sum()
    };
    world.reserves.iter().filter(|r| slots(r) <= r.tasks).map(|r| r.class.clone()).collect()
}

/// The reserves that follow from the arrivals seen.
pub fn reserves(world: &World, policy: &Policy, flows: &[ClassFlow]) -> Vec<Reserve> {
    let only = |spec: &Spec| {
        let mut allowed = (0..world.flavors.len()).filter(|f| spec.allows_flavor(&world.flavors[*f]));
        allowed.next().filter(|_| allowed.next().is_none())
    };
    let reserve = |f: &ClassFlow| {
        let (class, demand) = (f.spec.class.clone(), f.spec.demand);
        Some(Reserve { class, flavor: only(&f.spec)?, demand, tasks: headroom(world, policy, f) as f64 })
    };
    flows.iter().filter_map(reserve).collect()
}

/// Tasks of a class for which room is kept: arrivals and departures during a
/// boot both vary; as much as the class's objective asks for.
fn headroom(world: &World, policy: &Policy, flow: &ClassFlow) -> usize {
    let allowed = world.flavors.iter().filter(|f| flow.spec.allows_flavor(f));
    let boot_s = allowed.map(|f| f.boot_s).reduce(f64::min).unwrap_or(0.0);
    let share = policy.waits.get(&flow.spec.class).map_or(0.9, |w| w.1);
    // Work that may wait needs room ahead only as far as a boot is longer.
    let patience_s = flow.spec.due_s.map_or(0.0, |d| d - flow.spec.expected_s);
    let mean = flow.rate * (boot_s - patience_s).max(0.0);
    let spread = (2.0 * mean * flow.burst).sqrt();
    (policy.headroom * z_score(share) * spread).ceil() as usize
}

impl Pass<'_> {
    /// Jobs with tasks to place: of those that may preempt one another the more
    /// urgent first, as preemption would turn any other order round; then the
    /// lowest bin, then the older.
    fn queue(&self) -> Vec<JobIx> {
        let mut queue: Vec<_> = self
            .world
            .live
            .iter()
            .copied()
            .filter(|ix| {
                let j = &self.world.jobs[*ix];
                j.active()
                    && (self.world.all_accounted || j.fresh)
                    && j.tasks.iter().any(|t| t.place == Place::Idle && t.retry_ms <= self.now)
            })
            .map(|ix| {
                let j = &self.world.jobs[ix];
                let bin = self.policy.bin(self.policy.effective_deadline_ms(j, self.wall));
                (std::cmp::Reverse(j.spec.urgency), bin, j.accepted_ms, ix)
            })
            .collect();
        queue.sort_unstable();
        queue.into_iter().map(|q| q.3).collect()
    }

    fn within_limit(&self, spec: &Spec, n: f64) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        let mut total = self.usage.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand.times(n));
        // A machine that is not accounted for may be full of this team's tasks.
        total.add(&self.world.unaccounted);
        total.fits(&team.limit)
    }

    /// Would the job's team be within its guarantee with one more task?
    fn within_guarantee(&self, spec: &Spec) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else { return false };
        let mut total = self.staying.get(&spec.team).copied().unwrap_or_default();
        total.add(&spec.demand);
        total.gpus <= team.guarantee.gpus + 1e-6
            && (team.guarantee.cpus <= 0.0 || total.cpus <= team.guarantee.cpus + 1e-6)
    }

    /// Would the victim's team be beyond its guarantee even without it? Else
    /// two teams would go on taking the same room from each other.
    fn beyond_guarantee(&self, victim: &Spec) -> bool {
        let used = self.staying.get(&victim.team).copied().unwrap_or_default();
        self.policy.teams.get(&victim.team).is_some_and(|t| used.gpus - victim.demand.gpus >= t.guarantee.gpus - 1e-6)
    }

    /// Zones in which more tasks of the job may start now, from where its
    /// tasks are, lingering ones included.
    fn zone_counts(&self, ix: JobIx) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for (_, h) in self.world.each_host() {
            let n = h.copies.iter().filter(|c| c.key.job == ix && !c.ended()).count() as u32;
            if n > 0 {
                *counts.entry(h.zone.clone()).or_insert(0) += n;
            }
        }
        counts
    }

    /// What the machine has free for the job, less what is held for others.
    fn free_for(&self, host_ix: HostIx, ix: JobIx) -> Demand {
        let mut free = self.free[host_ix];
        if let Some(h) = self.world.host(host_ix) {
            for c in h.claims.iter().filter(|c| c.job != ix) {
                free.sub(&c.demand);
            }
        }
        free
    }

    /// May the job's tasks ever be on this machine, room and zone limits aside?
    fn allowed(&self, spec: &Spec, h: &Host, counts: &BTreeMap<String, u32>) -> bool {
        usable(h, self.now)
            && h.flavor.is_some_and(|f| spec.allows_flavor(&self.world.flavors[f]))
            && (spec.spot || !h.spot)
            && spec.allows_zone(&h.zone)
            && counts.get(&h.zone).copied().unwrap_or(0) < spec.zone_limit()
            && (!spec.one_zone || counts.is_empty() || counts.contains_key(&h.zone))
    }

    /// The best machine for a task of the job; the least cost wins.
    fn best_host(&self, ix: JobIx, counts: &BTreeMap<String, u32>, only_zone: Option<&str>) -> Option<HostIx> {
        let spec = &self.world.jobs[ix].spec;
        let mut best: Option<(f64, HostIx)> = None;
        for (hix, h) in self.world.each_host() {
            if only_zone.is_some_and(|z| z != h.zone)
                || !self.allowed(spec, h, counts)
                || !spec.demand.fits(&self.free_for(hix, ix))
            {
                continue;
            }
            let cost = self.cost(ix, hix, h);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, hix));
            }
        }
        best.map(|b| b.1)
    }

    fn cost(&self, ix: JobIx, hix: HostIx, h: &Host) -> f64 {
        let job = &self.world.jobs[ix];
        let spec = &job.spec;
        let Some(f) = h.flavor else { return f64::INFINITY };
        let flavor = &self.world.flavors[f];
        let fetch = h.fetch_s(&spec.image, spec.image_gb, flavor.fetch_gb_per_s);
        let deadline = self.policy.soft_deadline_ms(job);
        let slack = deadline.saturating_sub(self.wall) as f64 / 1000.0 - spec.expected_s;
        let within = self.policy.waits.get(&spec.class).map(|w| w.0).or(self.policy.guarantee_s);
        let within = within.unwrap_or(self.policy.default_deadline_s);
        let mut cost = fetch / within.max(0.1);
        if fetch > slack.max(0.0) {
            cost += 3.0;
        }
        // Room of one resource that is stranded by lack of another.
        let spread_of = |free: &Demand| {
            let (lo, hi) = free.shares(&flavor.cap).fold((1.0f64, 0.0f64), |(l, h), s| (l.min(s), h.max(s)));
            hi - lo
        };
        let before = self.free[hix];
        let mut after = before;
        after.sub(&spec.demand);
        cost += 4.0 * (spread_of(&after) - spread_of(&before));
        cost += self.trespass(spec, f, &before, &after);
        if spec.spot && !h.spot {
            cost += 1.0;
        }
        let mates = h.copies.iter().filter(|c| c.key.job == ix).count() as f64;
        if spec.shape == Shape::Service {
            cost += 2.0 * mates;
        }
        // Room that is held for this very job.
        if h.claims.iter().any(|c| c.job == ix) {
            cost -= 8.0;
        }
        // Fuller machines first, so that others can be returned.
        let used = 1.0 - before.shares(&flavor.cap).fold(1.0f64, f64::min);
        cost - 0.5 * used
    }

    /// The cost of taking room that other work can find on this type alone:
    /// little while there is plenty, much when what is expected needs the rest.
    fn trespass(&self, spec: &Spec, f: usize, before: &Demand, after: &Demand) -> f64 {
        let slots = |free: &Demand, d: &Demand| free.shares(d).fold(f64::INFINITY, f64::min).max(0.0).floor();
        let lost = |r: &&Reserve| slots(before, &r.demand) > slots(after, &r.demand);
        let theirs = self.world.reserves.iter().filter(|r| r.flavor == f && r.class != spec.class);
        theirs.filter(lost).map(|r| if self.scarce.contains(&r.class) { 5.0 } else { 1.0 }).fold(0.0, f64::max)
    }

    fn start(&mut self, key: TaskKey, host: HostIx, attempt: u64) {
        let spec = self.world.jobs[key.job].spec.clone();
        self.free[host].sub(&spec.demand);
        self.usage.entry(spec.team.clone()).or_default().add(&spec.demand);
        self.staying.entry(spec.team.clone()).or_default().add(&spec.demand);
        let now = self.now;
        let cache = self.world.host(host).and_then(|h| h.flavor).map_or(0.0, |f| self.world.flavors[f].cache_gb);
        self.world.jobs[key.job].tasks[key.task as usize].place = Place::On(host, attempt);
        if let Some(h) = self.world.host_mut(host) {
            // Room held for this job is used up by its tasks.
            if let Some(i) = h.claims.iter().position(|c| c.job == key.job) {
                h.claims[i].demand.sub(&spec.demand);
                if !spec.demand.fits(&h.claims[i].demand) {
                    h.claims.remove(i);
                }
            }
            h.use_image(&spec.image, spec.image_gb, cache, now);
            h.copies.push(Copy {
                key,
                attempt,
                phase: TaskPhase::Sent,
                since_ms: now,
                stop: None,
                risk: None,
                in_flight: false,
            });
        }
        self.out.starts.push(Assignment { key, host, attempt });
    }

    /// Places the idle tasks of an array or service; false if room lacked.
    fn place_tasks(&mut self, ix: JobIx, attempt: &mut impl FnMut() -> u64) -> bool {
        let mut counts = self.zone_counts(ix);
        for n in 0..self.world.jobs[ix].tasks.len() {
            let t = self.world.jobs[ix].tasks[n];
            if t.place != Place::Idle || t.retry_ms > self.now {
                continue;
            }
            if !self.within_limit(&self.world.jobs[ix].spec, 1.0) {
                return true; // waits for its own team, not for room
            }
            let Some(host) = self.best_host(ix, &counts, None) else { return false };
            if self.image_late(ix, host) && self.better_soon(ix, &counts) {
                continue;
            }
            if let Some(h) = self.world.host(host) {
                *counts.entry(h.zone.clone()).or_insert(0) += 1;
            }
            self.start(TaskKey { job: ix, task: n as u32 }, host, attempt());
        }
        true
    }

    /// Would the image come too late for the class's start objective?
    fn image_late(&self, ix: JobIx, hix: HostIx) -> bool {
        let job = &self.world.jobs[ix];
        let Some(h) = self.world.host(hix) else { return false };
        let Some(f) = h.flavor else { return false };
        let fetch = h.fetch_s(&job.spec.image, job.spec.image_gb, self.world.flavors[f].fetch_gb_per_s);
        let left = self.policy.soft_deadline_ms(job) as f64 - self.wall as f64;
        // A replica that was lost is down until it is back: each second counts.
        let left = if left > 0.0 { left } else { self.policy.report_ms as f64 };
        job.spec.due_s.is_none() && fetch * 1000.0 > left
    }

    /// Makes room where the image is ready, or sooner there, if only a little
    /// lesser work stands in the way; the task then waits for that room.
    fn better_soon(&mut self, ix: JobIx, counts: &BTreeMap<String, u32>) -> bool {
        let spec = self.world.jobs[ix].spec.clone();
        // One claim for each task that waits; if it lapses, any room will do.
        if self.world.each_host().any(|(_, h)| h.claims.iter().any(|c| c.job == ix)) {
            return true;
        }
        let mut best: Option<(f64, HostIx, Leavers)> = None;
        for (hix, h) in self.world.each_host() {
            if !self.allowed(&spec, h, counts) || !h.claims.is_empty() || self.image_late(ix, hix) {
                continue;
            }
            let Some((lost, leave)) = self.vacate(&spec, hix, &spec.demand) else { continue };
            if lost <= spec.demand.gpus.max(1.0) && best.as_ref().is_none_or(|b| lost < b.0) {
                best = Some((lost, hix, leave));
            }
        }
        let Some((_, hix, leave)) = best else { return false };
        self.clear(hix, &leave);
        let until_ms = self.now + self.policy.report_ms;
        if let Some(h) = self.world.host_mut(hix) {
            h.claims.push(Claim { job: ix, demand: spec.demand, until_ms });
        }
        true
    }

    /// Starts a gang whole or not at all; false if room lacked.
    fn place_gang(&mut self, ix: JobIx, attempt: &mut impl FnMut() -> u64) -> bool {
        let job = &self.world.jobs[ix];
        // The next attempt waits until every task of the last one is gone.
        if job.tasks.iter().any(|t| t.place != Place::Idle || t.retry_ms > self.now) || self.lingers(ix) {
            return true;
        }
        if !self.within_limit(&job.spec, f64::from(job.spec.tasks)) {
            return true;
        }
        let zones: Vec<Option<String>> = if job.spec.one_zone {
            let mut z: Vec<_> = self.world.each_host().map(|(_, h)| h.zone.clone()).collect();
            z.sort_unstable();
            z.dedup();
            z.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let n = self.world.jobs[ix].spec.tasks;
        for zone in zones {
            let saved = self.free.clone();
            let demand = self.world.jobs[ix].spec.demand;
            let mut counts = BTreeMap::new();
            let mut hosts = Vec::new();
            for _ in 0..n {
                let Some(h) = self.best_host(ix, &counts, zone.as_deref()) else { break };
                self.free[h].sub(&demand);
                if let Some(host) = self.world.host(h) {
                    *counts.entry(host.zone.clone()).or_insert(0) += 1;
                }
                hosts.push(h);
            }
            self.free = saved;
            if hosts.len() == n as usize {
                let a = attempt();
                self.world.jobs[ix].gang_attempt = a;
                for (task, host) in hosts.into_iter().enumerate() {
                    self.start(TaskKey { job: ix, task: task as u32 }, host, a);
                }
                for h in self.world.hosts.iter_mut().flatten() {
                    h.claims.retain(|c| c.job != ix);
                }
                return true;
            }
        }
        false
    }

    fn lingers(&self, ix: JobIx) -> bool {
        self.world.each_host().any(|(_, h)| h.copies.iter().any(|c| c.key.job == ix && !c.ended()))
    }

    /// Holds room for the leading gang on the machines that are nearest to
    /// having it, for a bounded time; then others have their turn as long.
    fn hold_for_gang(&mut self, ix: JobIx) {
        let hold = self.policy.hold_ms;
        let now = self.now;
        let job = &mut self.world.jobs[ix];
        if now < job.no_hold_until_ms {
            return;
        }
        if job.hold_until_ms == 0 {
            job.hold_until_ms = now + hold;
        } else if now >= job.hold_until_ms {
            job.hold_until_ms = 0;
            job.no_hold_until_ms = now + hold;
            for h in self.world.hosts.iter_mut().flatten() {
                h.claims.retain(|c| c.job != ix);
            }
            return;
        }
        let until_ms = job.hold_until_ms;
        let spec = job.spec.clone();
        let counts = BTreeMap::new();
        // How many tasks each machine could take if all lesser work left it.
        let mut by_zone: BTreeMap<String, Vec<(f64, u32, HostIx)>> = BTreeMap::new();
        for (hix, h) in self.world.each_host() {
            if !self.allowed(&spec, h, &counts) || h.claims.iter().any(|c| c.job != ix) {
                continue;
            }
            let mut n = 0;
            let mut cost = 0.0;
            while n < spec.tasks {
                let Some((c, _)) = self.vacate(&spec, hix, &spec.demand.times(f64::from(n + 1))) else { break };
                cost = c;
                n += 1;
            }
            let sure = n;
            // Work that may not be stopped ends some time, unless it is a
            // replica: room that frees then is held as well.
            let mut room = h.flavor.map_or(Demand::default(), |f| self.world.flavors[f].cap);
            for c in &h.copies {
                let other = &self.world.jobs[c.key.job].spec;
                if other.shape == Shape::Service && !c.ended() {
                    room.sub(&other.demand);
                }
            }
            while n < spec.tasks && spec.demand.times(f64::from(n + 1)).fits(&room) {
                n += 1;
            }
            cost += 10.0 * f64::from(n - sure);
            if n > 0 {
                let zone = if spec.one_zone { h.zone.clone() } else { String::new() };
                by_zone.entry(zone).or_default().push((cost / f64::from(n), n, hix));
            }
        }
        for mut hosts in by_zone.into_values() {
            if hosts.iter().map(|h| h.1).sum::<u32>() < spec.tasks {
                continue;
            }
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
            let sure =
                hosts.iter().filter(|h| h.0 < 10.0 / f64::from(spec.tasks)).map(|h| h.1).sum::<u32>() >= spec.tasks;
            let mut left = spec.tasks;
            for (_, n, hix) in hosts {
                let n = n.min(left);
                left -= n;
                let demand = spec.demand.times(f64::from(n));
                if let Some(h) = self.world.host_mut(hix) {
                    h.claims.retain(|c| c.job != ix);
                    h.claims.push(Claim { job: ix, demand, until_ms });
                }
                // Nothing is stopped unless the whole gang can start then.
                if sure && let Some((_, leave)) = self.vacate(&spec, hix, &demand) {
                    self.clear(hix, &leave);
                }
                if left == 0 {
                    return;
                }
            }
        }
    }

    /// May a task of `spec` push this copy off its machine?
    fn may_evict(&self, spec: &Spec, c: &Copy) -> bool {
        let victim = &self.world.jobs[c.key.job].spec;
        if c.stop.is_some() || c.ended() {
            return false;
        }
        if victim.urgency < spec.urgency {
            return true;
        }
        victim.team != spec.team
            && victim.shape != Shape::Service
            && victim.urgency <= spec.urgency.max(Urgency::Normal)
            && self.within_guarantee(spec)
            && self.beyond_guarantee(victim)
    }

    /// A machine with free room and the image for a running replica, so that
    /// moving it there costs it next to nothing. `taken` is promised already.
    fn refuge(&self, from: HostIx, c: &Copy, taken: &[(HostIx, Demand)]) -> Option<HostIx> {
        let spec = &self.world.jobs[c.key.job].spec;
        if spec.shape != Shape::Service || !c.running() || c.stop.is_some() {
            return None;
        }
        let here = self.world.host(from)?;
        let mut counts = self.zone_counts(c.key.job);
        if let Some(n) = counts.get_mut(&here.zone) {
            *n -= 1;
        }
        let mut best: Option<(f64, HostIx)> = None;
        for (hix, h) in self.world.each_host() {
            let ready = h.images.iter().any(|i| i.ready && i.name == spec.image);
            if hix == from || !ready || !self.allowed(spec, h, &counts) {
                continue;
            }
            let mut room = self.free[hix];
            for d in h.claims.iter().map(|c| &c.demand).chain(taken.iter().filter(|t| t.0 == hix).map(|t| &t.1)) {
                room.sub(d);
            }
            if spec.demand.fits(&room) {
                let cost = self.cost(c.key.job, hix, h);
                if best.is_none_or(|b| cost < b.0) {
                    best = Some((cost, hix));
                }
            }
        }
        best.map(|b| b.1)
    }

    /// What would have to leave the machine so that `demand` fits, and where
    /// to, if it is moved; with a measure of what that costs.
    fn vacate(&self, spec: &Spec, hix: HostIx, demand: &Demand) -> Option<(f64, Leavers)> {
        let h = self.world.host(hix)?;
        let mut room = self.free[hix];
        for c in h.copies.iter().filter(|c| !c.ended() && c.stop.is_some()) {
            room.add(&self.world.jobs[c.key.job].spec.demand);
        }
        let mut victims: Vec<&Copy> = h.copies.iter().filter(|c| !c.ended() && c.stop.is_none()).collect();
        // The least urgent first; of those, the ones that lose least.
        victims.sort_by_key(|c| (self.world.jobs[c.key.job].spec.urgency, std::cmp::Reverse(c.since_ms)));
        let mut leave = Vec::new();
        let mut taken = Vec::new();
        let mut cost = 0.0;
        for c in victims {
            if demand.fits(&room) {
                break;
            }
            let v = &self.world.jobs[c.key.job].spec;
            if let Some(to) = self.refuge(hix, c, &taken) {
                taken.push((to, v.demand));
                leave.push((*c, Some(to)));
                cost += 0.3;
            } else if self.may_evict(spec, c) {
                leave.push((*c, None));
                // A gang loses its place whole, and places for gangs are few.
                cost += if v.shape == Shape::Gang { 2.0 + 2.0 * f64::from(v.tasks) } else { 1.0 };
            } else {
                continue;
            }
            room.add(&v.demand);
        }
        demand.fits(&room).then_some((cost, leave))
    }

    /// Carries out what `vacate` found.
    fn clear(&mut self, hix: HostIx, leave: &[(Copy, Option<HostIx>)]) {
        let until_ms = self.now + self.policy.lease_ms;
        for (c, to) in leave {
            let spec = &self.world.jobs[c.key.job].spec;
            let (demand, grace_s) = (spec.demand, spec.grace_s());
            if let Some(h) = to.and_then(|t| self.world.host_mut(t)) {
                h.claims.push(Claim { job: c.key.job, demand, until_ms });
            }
            self.stop_job_part(hix, c.key, c.attempt, grace_s);
        }
    }

    /// Orders a stop; a gang stops whole.
    fn stop_job_part(&mut self, hix: HostIx, key: TaskKey, attempt: u64, grace_s: f64) {
        let whole = self.world.jobs[key.job].spec.shape == Shape::Gang;
        for i in 0..self.world.hosts.len() {
            let Some(h) = self.world.hosts[i].as_mut() else { continue };
            for c in h.copies.iter_mut().filter(|c| !c.ended() && c.stop.is_none()) {
                let same = i == hix && c.key == key && c.attempt == attempt;
                if same || (whole && c.key.job == key.job) {
                    c.stop = Some(grace_s);
                    let spec = &self.world.jobs[c.key.job].spec;
                    if let Some(u) = self.staying.get_mut(&spec.team) {
                        u.sub(&spec.demand);
                    }
                    self.out.stops.push(Eviction { host: i, key: c.key, attempt: c.attempt, grace_s });
                }
            }
        }
    }

    /// Preempts lesser work for a job that found no room, on the machine where
    /// that costs least, and holds the room for it.
    fn make_room(&mut self, ix: JobIx) {
        let job = &self.world.jobs[ix];
        let spec = job.spec.clone();
        let waiting = job.tasks.iter().filter(|t| t.place == Place::Idle && t.retry_ms <= self.now).count();
        let claimed = self.world.each_host().flat_map(|(_, h)| &h.claims).filter(|c| c.job == ix).count();
        let counts = self.zone_counts(ix);
        for _ in claimed..waiting {
            let mut best: Option<(f64, HostIx, Leavers)> = None;
            for (hix, h) in self.world.each_host() {
                if !self.allowed(&spec, h, &counts) || h.claims.iter().any(|c| c.job != ix) {
                    continue;
                }
                let mut demand = spec.demand;
                h.claims.iter().for_each(|c| demand.add(&c.demand));
                let Some((lost, leave)) = self.vacate(&spec, hix, &demand) else { continue };
                let cost = lost + 0.2 * self.cost(ix, hix, h);
                if best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, hix, leave));
                }
            }
            let Some((_, hix, leave)) = best else { return };
            self.clear(hix, &leave);
            let until_ms = self.now + self.policy.lease_ms;
            if let Some(h) = self.world.host_mut(hix) {
                h.claims.push(Claim { job: ix, demand: spec.demand, until_ms });
            }
        }
    }
}

/// May tasks be placed on the machine now?
pub fn usable(h: &Host, now: u64) -> bool {
    h.registered
        && h.accounted
        && !h.strays
        && !h.notice
        && !h.releasing
        && !h.draining
        && h.giving.is_none()
        && h.fence >= h.min_fence
        && h.blocked_until_ms <= now
        && h.failed_jobs.len() < SHUNNED
        && h.addr.is_some()
}

/// A machine on which tasks of this many jobs failed is shunned.
pub const SHUNNED: usize = 3;

/// Machines that were asked for and are not up yet.
#[derive(Debug, Clone, PartialEq)]
pub struct Coming {
    pub flavor: usize,
    pub zone: String,
    pub spot: bool,
}

/// A request for machines.
#[derive(Debug, Clone, PartialEq)]
pub struct Rental {
    pub flavor: usize,
    pub zone: String,
    pub spot: bool,
    pub count: usize,
}

/// Arrivals of a class, as seen so far.
#[derive(Debug, Clone)]
pub struct ClassFlow {
    /// A recent job of the class, with nothing placed.
    pub spec: Spec,
    /// Tasks that arrive in a second, and the mean of the squared job sizes
    /// over the mean size.
    pub rate: f64,
    pub burst: f64,
}

#[derive(Debug, Default)]
pub struct Plan {
    pub rent: Vec<Rental>,
    /// Machines that nothing waiting or expected needs.
    pub spare: Vec<HostIx>,
    /// A machine whose work fits elsewhere, so that it can be returned.
    pub drain: Option<Drain>,
}

/// A machine to be emptied: its replicas move, the rest runs out.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    pub host: HostIx,
    pub moves: Vec<(TaskKey, u64, HostIx)>,
}

struct Bin {
    free: Demand,
    flavor: usize,
    zone: String,
    spot: bool,
    host: Option<HostIx>,
    used: bool,
}

/// What to rent and what could be returned: the waiting tasks, then the
/// arrivals expected during a boot, are fitted into free room, machines that
/// are coming, and new ones.
pub fn plan(
    world: &World,
    policy: &Policy,
    now: u64,
    unplaced: &[JobIx],
    flows: &[ClassFlow],
    coming: &[Coming],
    refused: &dyn Fn(usize, &str, bool) -> bool,
) -> Plan {
    let mut bins: Vec<Bin> = Vec::new();
    for (hix, h) in world.each_host() {
        let Some(flavor) = h.flavor else { continue };
        if !usable(h, now) {
            continue;
        }
        let free = world.free(h);
        let used = !h.copies.is_empty() || !h.claims.is_empty();
        bins.push(Bin { free, flavor, zone: h.zone.clone(), spot: h.spot, host: Some(hix), used });
    }
    for c in coming {
        let free = world.flavors[c.flavor].cap;
        bins.push(Bin { free, flavor: c.flavor, zone: c.zone.clone(), spot: c.spot, host: None, used: true });
    }
    let have = bins.len();
    for ix in unplaced {
        let job = &world.jobs[*ix];
        let n = job.tasks.iter().filter(|t| t.place == Place::Idle).count();
        fit(world, &mut bins, &job.spec, n, refused);
    }
    for flow in flows {
        let n = headroom(world, policy, flow);
        fit(world, &mut bins, &flow.spec, n, refused);
    }
    let mut rent: Vec<Rental> = Vec::new();
    for b in &bins[have..] {
        match rent.iter_mut().find(|r| r.flavor == b.flavor && r.zone == b.zone && r.spot == b.spot) {
            Some(r) => r.count += 1,
            None => rent.push(Rental { flavor: b.flavor, zone: b.zone.clone(), spot: b.spot, count: 1 }),
        }
    }
    let spare = bins.iter().filter(|b| !b.used).filter_map(|b| b.host).collect();
    bins.truncate(have);
    let drain = if unplaced.is_empty() && rent.is_empty() { consolidate(world, &bins) } else { None };
    Plan { rent, spare, drain }
}

/// Fits `n` tasks like `spec` into the bins; opens new ones where needed.
fn fit(world: &World, bins: &mut Vec<Bin>, spec: &Spec, n: usize, refused: &dyn Fn(usize, &str, bool) -> bool) {
    let mut zones: HashMap<String, u32> = HashMap::new();
    let limit = spec.zone_limit();
    // Work that may run on cheap machines leaves the others alone while there
    // are any to be had.
    let only_spot =
        spec.spot
            && world.flavors.iter().enumerate().any(|(i, f)| {
                spec.allows_flavor(f) && f.zones.iter().any(|z| spec.allows_zone(z) && !refused(i, z, true))
            });
    for _ in 0..n {
        let fits = |b: &Bin, zones: &HashMap<String, u32>| {
            spec.demand.fits(&b.free)
                && (spec.spot || !b.spot)
                && (b.spot || !only_spot)
                && spec.allows_zone(&b.zone)
                && spec.allows_flavor(&world.flavors[b.flavor])
                && zones.get(&b.zone).copied().unwrap_or(0) < limit
        };
        // Machines in use first, so that idle ones are not called needed.
        let found = (0..bins.len()).filter(|i| fits(&bins[*i], &zones)).min_by_key(|i| (!bins[*i].used, *i));
        let i = match found {
            Some(i) => i,
            None => match cheapest(world, spec, &zones, refused) {
                Some(b) => {
                    bins.push(b);
                    bins.len() - 1
                }
                None => return,
            },
        };
        bins[i].free.sub(&spec.demand);
        bins[i].used = true;
        *zones.entry(bins[i].zone.clone()).or_insert(0) += 1;
    }
}

/// The machine to rent on which a task like `spec` costs least.
fn cheapest(
    world: &World,
    spec: &Spec,
    zones: &HashMap<String, u32>,
    refused: &dyn Fn(usize, &str, bool) -> bool,
) -> Option<Bin> {
    let mut best: Option<(f64, u32, Bin)> = None;
    for (i, f) in world.flavors.iter().enumerate().filter(|(_, f)| spec.allows_flavor(f)) {
        let per = f.cap.shares(&spec.demand).fold(f64::INFINITY, f64::min).floor().max(1.0);
        for zone in f.zones.iter().filter(|z| spec.allows_zone(z)) {
            let there = zones.get(zone).copied().unwrap_or(0);
            if there >= spec.zone_limit() {
                continue;
            }
            for spot in [false, true] {
                if (spot && !spec.spot) || refused(i, zone, spot) {
                    continue;
                }
                let price = f.price(spot) / per;
                if best.as_ref().is_none_or(|(p, t, _)| (price, there) < (*p, *t)) {
                    let bin = Bin { free: f.cap, flavor: i, zone: zone.clone(), spot, host: None, used: true };
                    best = Some((price, there, bin));
                }
            }
        }
    }
    best.map(|b| b.2)
}

/// Least cost of a task on machines that are full of its like.
fn least_cost(world: &World, spec: &Spec) -> f64 {
    let per_task = |f: &Flavor| f.price / f.cap.shares(&spec.demand).fold(f64::INFINITY, f64::min).floor().max(1.0);
    world.flavors.iter().filter(|f| spec.allows_flavor(f)).map(per_task).fold(f64::INFINITY, f64::min)
}

/// A machine is worth emptying while its work would cost less than this share
/// of its price elsewhere.
const WASTEFUL: f64 = 0.75;

/// The most wasteful machine whose replicas all fit, with their images ready,
/// on machines that are used better. `bins` holds what is free beyond all that
/// is waiting or expected.
fn consolidate(world: &World, bins: &[Bin]) -> Option<Drain> {
    // One at a time: what moves is down for a moment.
    if world.each_host().any(|(_, h)| h.draining && !h.copies.is_empty()) {
        return None;
    }
    let mut costs: HashMap<&str, f64> = HashMap::new();
    let mut worth: Vec<(f64, HostIx)> = Vec::new();
    for b in bins {
        let Some((hix, h)) = b.host.and_then(|i| Some((i, world.host(i)?))) else { continue };
        let value: f64 = h
            .copies
            .iter()
            .map(|c| {
                let spec = &world.jobs[c.key.job].spec;
                *costs.entry(&spec.class).or_insert_with(|| least_cost(world, spec))
            })
            .sum();
        worth.push((value / world.flavors[b.flavor].price(h.spot).max(1e-6), hix));
    }
    worth.sort_by(|a, b| a.0.total_cmp(&b.0));
    let rank: HashMap<HostIx, f64> = worth.iter().map(|w| (w.1, w.0)).collect();
    worth
        .iter()
        .filter(|w| w.0 > 0.0 && w.0 < WASTEFUL)
        .find_map(|(w, hix)| drain_of(world, bins, *hix, &|to| rank.get(&to).is_some_and(|r| r > w)))
}

fn drain_of(world: &World, bins: &[Bin], host: HostIx, better: &dyn Fn(HostIx) -> bool) -> Option<Drain> {
    let h = world.host(host)?;
    let mut free: Vec<Demand> = bins.iter().map(|b| b.free).collect();
    let mut moves = Vec::new();
    for c in h.copies.iter().filter(|c| !c.ended()) {
        let spec = &world.jobs[c.key.job].spec;
        if spec.shape == Shape::Gang || c.stop.is_some() || !c.running() {
            return None;
        }
        if spec.shape == Shape::Batch {
            continue;
        }
        let mut there: HashMap<&str, u32> = HashMap::new();
        for (i, o) in world.each_host() {
            let n = o.copies.iter().filter(|o| o.key.job == c.key.job && !o.ended()).count() as u32;
            *there.entry(&o.zone).or_insert(0) += n - u32::from(i == host);
        }
        let to = (0..bins.len()).find(|i| {
            let b = &bins[*i];
            let Some(o) = b.host.and_then(|o| world.host(o)) else { return false };
            b.host.is_some_and(better)
                && spec.demand.fits(&free[*i])
                && (spec.spot || !b.spot)
                && spec.allows_flavor(&world.flavors[b.flavor])
                && spec.allows_zone(&b.zone)
                && there.get(b.zone.as_str()).copied().unwrap_or(0) < spec.zone_limit()
                && (!spec.one_zone || b.zone == h.zone)
                && o.claims.is_empty()
                && o.images.iter().any(|im| im.ready && im.name == spec.image)
        })?;
        free[to].sub(&spec.demand);
        moves.push((c.key, c.attempt, bins[to].host?));
    }
    Some(Drain { host, moves })
}

/// Standard deviations that leave `1 - share` above them (a plain fit of the
/// normal quantile, good to 0.005 for shares from 0.5 to 0.999).
fn z_score(share: f64) -> f64 {
    let t = (-2.0 * (1.0 - share.clamp(0.5, 0.999)).ln()).sqrt();
    t - (2.30753 + 0.27061 * t) / (1.0 + 0.99229 * t + 0.04481 * t * t)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::settings;
    use proptest::prelude::*;

    fn policy() -> Policy {
        Policy::new(&settings(), &Operator::default(), 0)
    }

    fn flavor(name: &str, gpus: f64, zones: &[&str]) -> Flavor {
        Flavor {
            name: name.into(),
            cap: Demand { cpus: 32.0, gpus, mem: 128.0 },
            cache_gb: 100.0,
            fetch_gb_per_s: 1.0,
            price: 10.0,
            spot_price: 3.0,
            boot_s: 30.0,
            zones: zones.iter().map(|z| z.to_string()).collect(),
        }
    }

    fn spec(id: &str, shape: Shape, tasks: u32, gpus: f64) -> Spec {
        Spec {
            id: id.into(),
            class: "chat".into(),
            team: "red".into(),
            shape,
            urgency: Urgency::Normal,
            tasks,
            demand: Demand { cpus: 2.0, gpus, mem: 8.0 },
            image: "i".into(),
            image_gb: 10.0,
            flavors: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            expected_s: 10.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
        }
    }

    fn world(hosts: &[(&str, bool)]) -> World {
        let mut w = World { all_accounted: true, flavors: vec![flavor("g8", 8.0, &["a", "b"])], ..World::default() };
        for (i, (zone, spot)) in hosts.iter().enumerate() {
            let mut h = Host::new(format!("h{i}"), zone.to_string(), *spot, Some(0), 0);
            h.registered = true;
            h.accounted = true;
            h.addr = Some("10.0.0.1:9000".parse().unwrap());
            w.add_host(h);
        }
        w
    }

    fn add(w: &mut World, spec: Spec, accepted_ms: u64) -> JobIx {
        let mut j = Job::new(spec, accepted_ms, 0);
        j.version = 1;
        w.add_job(j)
    }

    fn run(w: &mut World, now: u64) -> Outcome {
        let mut n = 1000 * now;
        pass(w, &policy(), now, now, || {
            n += 1;
            n
        })
    }

    #[test]
    fn bins_count_from_the_start_in_their_width() {
        let p = policy();
        assert_eq!((p.bin(0), p.bin(4999), p.bin(5000), p.bin(12_000)), (0, 0, 1, 2));
        let mut s = spec("run-000001", Shape::Batch, 1, 1.0);
        let deadline = |s: &Spec| p.soft_deadline_ms(&Job::new(s.clone(), 1000, 0));
        assert_eq!(deadline(&s), 3000, "the class's start objective");
        s.class = "other".into();
        assert_eq!(deadline(&s), 601_000, "ten minutes by default");
        s.due_s = Some(50.0);
        assert_eq!(deadline(&s), 51_000);
        // What can't be in time any more does not starve what can.
        let job = Job::new(s, 1000, 0);
        assert_eq!(p.effective_deadline_ms(&job, 10_000), 51_000);
        assert!(p.effective_deadline_ms(&job, 50_000) > 51_000);
        assert!(p.effective_deadline_ms(&job, 80_000) > 600_000);
    }

    #[test]
    fn the_lowest_bin_goes_first() {
        let mut w = world(&[("a", false)]);
        for (id, due) in [("run-000001", 500.0), ("run-000002", 100.0), ("run-000003", 300.0)] {
            let mut s = spec(id, Shape::Batch, 4, 1.0);
            s.due_s = Some(due);
            add(&mut w, s, 0);
        }
        let out = run(&mut w, 1);
        let placed: Vec<JobIx> = out.starts.iter().map(|s| s.key.job).collect();
        assert_eq!(placed, [1, 1, 1, 1, 2, 2, 2, 2]);
        assert_eq!(out.unplaced, [0]);
    }

    #[test]
    fn a_gang_starts_whole_and_room_is_held_for_the_leading_one() {
        let mut w = world(&[("a", false), ("a", false)]);
        add(&mut w, spec("run-000001", Shape::Batch, 6, 1.0), 0);
        run(&mut w, 1);
        let mut gang = spec("run-000002", Shape::Gang, 2, 8.0);
        gang.team = "blue".into();
        add(&mut w, gang, 0);
        let out = run(&mut w, 2);
        assert!(out.starts.is_empty() && out.stops.is_empty(), "one of two places is no place");
        // The held room is not given to others meanwhile, nor what frees.
        add(&mut w, spec("run-000003", Shape::Batch, 4, 1.0), 5000);
        assert!(run(&mut w, 3).starts.is_empty());
        // The hold is bounded, so that nobody starves.
        let hold = policy().hold_ms;
        assert!(run(&mut w, 4 + hold).starts.iter().any(|s| s.key.job == 2));
    }

    #[test]
    fn the_more_urgent_preempts_and_equals_do_not() {
        let mut w = world(&[("a", false)]);
        add(&mut w, spec("run-000001", Shape::Batch, 8, 1.0), 0);
        run(&mut w, 1);
        add(&mut w, spec("run-000002", Shape::Batch, 1, 1.0), 0);
        assert!(run(&mut w, 2).stops.is_empty());
        let mut s = spec("run-000003", Shape::Service, 1, 1.0);
        s.urgency = Urgency::High;
        add(&mut w, s, 0);
        assert_eq!(run(&mut w, 3).stops.len(), 1);
        assert!(run(&mut w, 4).stops.is_empty(), "room is on its way");
    }

    #[test]
    fn guarantees_are_given_back_without_two_teams_taking_turns() {
        let mut w = world(&[("a", false)]);
        add(&mut w, spec("run-000001", Shape::Batch, 8, 1.0), 0);
        run(&mut w, 1); // red: 8 of 8 guaranteed
        let mut s = spec("run-000002", Shape::Batch, 8, 1.0);
        s.team = "blue".into();
        add(&mut w, s, 0);
        assert!(run(&mut w, 2).stops.is_empty(), "red is within its guarantee");
        let mut w = world(&[("a", false)]);
        let mut s = spec("run-000001", Shape::Batch, 8, 1.0);
        s.team = "blue".into(); // 8 of 4 guaranteed
        add(&mut w, s, 0);
        run(&mut w, 1);
        add(&mut w, spec("run-000002", Shape::Batch, 8, 1.0), 0);
        assert_eq!(run(&mut w, 2).stops.len(), 4, "blue keeps its own four");
        assert!(run(&mut w, 3).stops.is_empty());
    }

    #[test]
    fn a_replica_moves_out_of_a_gangs_way() {
        // Two machines with room for two, one replica on each.
        let mut w = world(&[("a", false), ("a", false)]);
        w.flavors[0].cap.gpus = 2.0;
        for id in ["run-000001", "run-000003"] {
            add(&mut w, spec(id, Shape::Service, 1, 1.0), 0);
        }
        w.host_mut(0).unwrap().blocked_until_ms = 10;
        run(&mut w, 1);
        w.host_mut(1).unwrap().copies.truncate(1);
        w.jobs[1].tasks[0].place = Place::Idle;
        w.host_mut(0).unwrap().blocked_until_ms = 0;
        w.host_mut(1).unwrap().blocked_until_ms = 10;
        run(&mut w, 2);
        for h in w.hosts.iter_mut().flatten() {
            h.blocked_until_ms = 0;
            h.image_ready("i");
            assert_eq!(h.copies.len(), 1);
            h.copies[0].phase = TaskPhase::Running;
        }
        add(&mut w, spec("run-000002", Shape::Gang, 1, 2.0), 0);
        assert_eq!(run(&mut w, 3).stops.len(), 1, "a replica moves, as its image is ready on the other");
    }

    #[test]
    fn impossible_jobs_are_told_apart() {
        let p = policy();
        let f = [flavor("g8", 8.0, &["a"])];
        let ok = spec("run-000001", Shape::Batch, 100, 8.0);
        assert_eq!(impossible(&ok, &p, &f), None);
        let with = |change: fn(&mut Spec)| {
            let mut s = ok.clone();
            change(&mut s);
            impossible(&s, &p, &f)
        };
        assert!(with(|s| s.team = "green".into()).unwrap().starts_with("owner"));
        assert!(with(|s| s.demand.gpus = 9.0).is_some());
        assert!(with(|s| s.flavors = Some(vec!["x".into()])).is_some());
        assert!(with(|s| s.zone = Some("b".into())).is_some());
        assert!(with(|s| s.shape = Shape::Gang).unwrap().contains("limit"));
        assert!(with(|s| s.team = "blue".into()).is_none(), "0 means no limit");
    }

    #[test]
    fn the_plan_rents_what_waits_where_it_is_cheapest_and_may_be_had() {
        let w = {
            let mut w = world(&[]);
            let mut s = spec("run-000001", Shape::Batch, 16, 1.0);
            s.spot = true;
            add(&mut w, s, 0);
            w
        };
        let rent = |refused: &dyn Fn(usize, &str, bool) -> bool| plan(&w, &policy(), 0, &[0], &[], &[], refused).rent;
        let r = rent(&|_, _, _| false);
        assert!(r.iter().all(|r| r.spot) && r.iter().map(|r| r.count).sum::<usize>() == 2, "{r:?}");
        let r = rent(&|_, _, spot| spot);
        assert!(r.iter().all(|r| !r.spot) && r.iter().map(|r| r.count).sum::<usize>() == 2, "{r:?}");
        assert!(rent(&|_, _, _| true).is_empty());
        let coming = vec![Coming { flavor: 0, zone: "a".into(), spot: true }; 2];
        assert!(plan(&w, &policy(), 0, &[0], &[], &coming, &|_, _, _| false).rent.is_empty(), "they are on their way");
    }

    #[test]
    fn a_wasteful_machine_is_emptied_where_its_replicas_fit() {
        let mut w = world(&[("a", false), ("a", false)]);
        for (host, n) in [(0, 4), (1, 1)] {
            let ix = add(&mut w, spec(&format!("run-00000{host}"), Shape::Service, n, 1.0), 0);
            for t in 0..n {
                let key = TaskKey { job: ix, task: t };
                let copy = Copy {
                    key,
                    attempt: 1,
                    phase: TaskPhase::Running,
                    since_ms: 0,
                    stop: None,
                    risk: None,
                    in_flight: false,
                };
                w.jobs[ix].tasks[t as usize].place = Place::On(host, 1);
                let h = w.host_mut(host).unwrap();
                h.copies.push(copy);
                h.use_image("i", 10.0, 100.0, 1);
                h.image_ready("i");
            }
        }
        let d = plan(&w, &policy(), 0, &[], &[], &[], &|_, _, _| true).drain.unwrap();
        assert_eq!((d.host, d.moves.len(), d.moves[0].2), (1, 1, 0));
        w.host_mut(0).unwrap().images.clear();
        assert!(plan(&w, &policy(), 0, &[], &[], &[], &|_, _, _| true).drain.is_none(), "no image there");
    }

    fn any_spec(n: usize) -> impl Strategy<Value = Spec> {
        let shape = prop_oneof![Just(Shape::Batch), Just(Shape::Gang), Just(Shape::Service)];
        let urgency =
            prop_oneof![Just(Urgency::Low), Just(Urgency::Normal), Just(Urgency::High), Just(Urgency::Production)];
        let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
        (shape, urgency, 1u32..6, 0u32..5, flags, 1.0f64..90.0).prop_map(
            move |(shape, urgency, tasks, gpus, f, due)| {
                let mut s = spec(&format!("run-{n:06}"), shape, tasks, f64::from(gpus));
                s.urgency = urgency;
                (s.one_zone, s.spread, s.spot) = (f.0, f.1 && !f.0, f.2);
                s.team = if f.3 { "red" } else { "blue" }.into();
                s.zone = f.4.then(|| "a".to_string());
                s.due_s = Some(due);
                s
            },
        )
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn whatever_is_asked_the_rules_hold(
            specs in prop::collection::vec(any_spec(0), 1..14),
            hosts in prop::collection::vec((any::<bool>(), any::<bool>()), 1..6),
            gone in prop::collection::vec((0usize..40, any::<bool>()), 0..12),
        ) {
            let hosts: Vec<(&str, bool)> = hosts.iter().map(|(z, s)| (if *z { "a" } else { "b" }, *s)).collect();
            let mut w = world(&hosts);
            for (i, mut s) in specs.into_iter().enumerate() {
                s.id = format!("run-{i:06}");
                add(&mut w, s, i as u64 * 700);
            }
            let p = policy();
            let mut gone = gone.into_iter();
            for round in 1..8u64 {
                let out = run(&mut w, round * 2000);
                for s in &out.starts {
                    let spec = &w.jobs[s.key.job].spec;
                    let h = w.host(s.host).unwrap();
                    prop_assert!(spec.spot || !h.spot);
                    prop_assert!(spec.allows_zone(&h.zone));
                }
                for (_, h) in w.each_host() {
                    let free = w.free(h);
                    prop_assert!(free.cpus > -1e-6 && free.gpus > -1e-6 && free.mem > -1e-6);
                }
                for (team, used) in usage(&w, false) {
                    prop_assert!(used.fits(&p.teams[&team].limit), "{} uses {:?}", team, used);
                }
                for (ix, job) in w.jobs.iter().enumerate() {
                    let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
                    for (_, h) in w.each_host() {
                        let n = h.copies.iter().filter(|c| c.key.job == ix).count() as u32;
                        if n > 0 {
                            *zones.entry(&h.zone).or_default() += n;
                        }
                    }
                    prop_assert!(zones.values().all(|n| *n <= job.spec.zone_limit()));
                    prop_assert!(!job.spec.one_zone || zones.len() < 2);
                    let started = out.starts.iter().filter(|s| s.key.job == ix).count() as u32;
                    prop_assert!(job.spec.shape != Shape::Gang || started == 0 || started == job.spec.tasks);
                }
                // What is stopped goes; some of the rest ends by itself.
                let mut ended: Vec<(HostIx, TaskKey)> = out.stops.iter().map(|s| (s.host, s.key)).collect();
                if let Some((n, _)) = gone.next() {
                    ended.extend(w.each_host().flat_map(|(i, h)| h.copies.iter().map(move |c| (i, c.key))).nth(n));
                }
                for (hix, key) in ended {
                    w.host_mut(hix).unwrap().copies.retain(|c| c.key != key);
                    w.jobs[key.job].tasks[key.task as usize].place = Place::Idle;
                }
            }
        }
    }
}
