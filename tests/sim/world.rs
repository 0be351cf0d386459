//! The machines with their tasks, the jobs as their users know them, and the
//! rules, checked as things happen.

use crate::store::Store;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

pub const REPORT_S: f64 = 1.0;
pub const LEASE_S: f64 = 10.0;
pub const CANCEL_S: f64 = 12.0;
pub const GANG_WAIT_S: f64 = 10.0;
pub const GANG_PEER_S: f64 = 4.0;
pub const LIST_LAG_S: f64 = 2.0;
pub const ZONES: [&str; 2] = ["a", "b"];
/// Teams with the limits of cores and cards that must hold.
pub const TEAMS: [(&str, f64, f64); 2] = [("red", 40.0, 8.0), ("blue", 24.0, 6.0)];

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

pub struct Flavor {
    pub sku: &'static str,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub startup_s: f64,
}

pub const FLAVORS: [Flavor; 2] = [
    Flavor { sku: "g4", cores: 16.0, cards: 4.0, mem_gb: 64.0, startup_s: 2.0 },
    Flavor { sku: "c8", cores: 8.0, cards: 0.0, mem_gb: 32.0, startup_s: 1.0 },
];
/// Machines of a type, zone and kind that the cloud has.
const CAPACITY: usize = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Phase::Fetching => "fetching",
            Phase::Gathering => "gathering",
            Phase::Running => "running",
            Phase::Flushing => "flushing",
            Phase::Ended => "ended",
        }
    }

    /// It has its image and has not exited.
    fn on(self) -> bool {
        matches!(self, Phase::Gathering | Phase::Running | Phase::Flushing)
    }
}

/// A task on a machine, under one attempt.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    pub job: String,
    pub n: u32,
    pub phase: Phase,
    why: Option<&'static str>,
    stored: bool,
    /// Its next step by itself is due then.
    due: Instant,
    since: Instant,
}

pub struct Machine {
    pub id: String,
    pub addr: SocketAddr,
    pub flavor: &'static Flavor,
    pub zone: String,
    pub spot: bool,
    pub life: u64,
    rented: Instant,
    pub up: Instant,
    pub gone: Option<Instant>,
    pub died: Option<Instant>,
    listed: bool,
    tenure: u64,
    serial: u64,
    pub fence: u64,
    lease_from: Instant,
    pub copies: BTreeMap<(String, u64), TaskAttempt>,
    pub deaf: Instant,
    pub mute: Instant,
    pub hang: Instant,
    /// The cloud takes it away then.
    pub taken: Option<Instant>,
    /// Its tasks fail.
    pub faulty: bool,
    pub changed: bool,
    told_fence: Instant,
}

impl Machine {
    pub fn alive(&self, now: Instant) -> bool {
        self.exists() && self.up <= now
    }

    pub fn exists(&self) -> bool {
        self.gone.is_none() && self.died.is_none()
    }
}

struct Gang {
    began: Instant,
    stopped: Option<Instant>,
    fails: Option<Instant>,
    failed: bool,
}

/// A job: what was submitted, what it does, and what its user was told.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub team: &'static str,
    pub shape: &'static str,
    pub shards: u32,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub flavors: Option<Vec<&'static str>>,
    pub region: Option<&'static str>,
    pub same_place: bool,
    pub apart: bool,
    pub preemptible: bool,
    pub urgency: &'static str,
    pub run_s: f64,
    pub checkpoint_s: f64,
    pub flush_s: f64,
    pub bundle: u32,
    /// It must be refused.
    pub invalid: bool,
    pub submitted: bool,
    pub accepted: Option<Instant>,
    pub cancel_asked: bool,
    pub cancelled: Option<Instant>,
    pub done_told: Option<Instant>,
    pub answered: Option<Instant>,
    pub done: BTreeSet<u32>,
    saved_s: HashMap<u32, f64>,
}

impl Job {
    pub fn new(id: &str, shape: &'static str, shards: u32) -> Job {
        Job {
            id: id.into(),
            team: "red",
            shape,
            shards,
            cores: 1.0,
            cards: 1.0,
            mem_gb: 1.0,
            flavors: None,
            region: None,
            same_place: false,
            apart: false,
            preemptible: false,
            urgency: "standard",
            run_s: 5.0,
            checkpoint_s: 0.0,
            flush_s: 0.0,
            bundle: 0,
            invalid: false,
            submitted: false,
            accepted: None,
            cancel_asked: false,
            cancelled: None,
            done_told: None,
            answered: None,
            done: BTreeSet::new(),
            saved_s: HashMap::new(),
        }
    }

    /// Any job that fits its team, or with little probability an invalid one.
    pub fn random(id: &str, rng: &mut StdRng) -> Job {
        let shape = ["batch", "batch", "group", "group", "service"][rng.random_range(0..5)];
        let mut j = Job::new(id, shape, 1);
        j.team = TEAMS[rng.random_range(0..2)].0;
        j.cards = [0.0, 1.0, 1.0, 2.0][rng.random_range(0..4)];
        j.cores = [1.0, 2.0, 4.0][rng.random_range(0..3)];
        j.shards = match shape {
            "batch" => rng.random_range(1..=6),
            "group" => rng.random_range(2..=3),
            _ => rng.random_range(1..=3),
        };
        j.preemptible = rng.random_bool(0.5);
        j.urgency = ["production", "urgent", "standard", "best_effort"][rng.random_range(0..4)];
        match rng.random_range(0..6) {
            0 => j.region = Some(ZONES[rng.random_range(0..2)]),
            1 => j.same_place = true,
            2 => j.apart = true,
            3 => j.flavors = Some(vec!["g4"]),
            _ => {}
        }
        j.run_s = rng.random_range(2.0..14.0);
        if rng.random_bool(0.5) && shape != "service" {
            (j.checkpoint_s, j.flush_s) = (5.0, rng.random_range(0.3..2.0));
        }
        j.bundle = rng.random_range(0..4);
        if rng.random_bool(0.06) {
            j.invalid = true;
            match rng.random_range(0..3) {
                0 => j.team = "nobody",
                1 => j.cards = 9.0,
                _ => j.flavors = Some(vec!["c8"]),
            }
            j.cards = j.cards.max(1.0);
        }
        j
    }

    pub fn body(&self) -> String {
        let expected = if self.shape == "service" { 0.0 } else { self.run_s };
        json!({"id": self.id, "jobclass": "c", "owner": self.team, "shape": self.shape, "urgency": self.urgency,
            "shards": self.shards, "cores": self.cores, "cards": self.cards, "mem_gb": self.mem_gb,
            "bundle": format!("img-{}", self.bundle), "size_gb": 1.0, "flavors": self.flavors, "region": self.region,
            "same_place": self.same_place, "apart": self.apart, "preemptible": self.preemptible,
            "expected_s": expected, "checkpoint_every_s": self.checkpoint_s, "flush_s": self.flush_s,
            "due_s": null})
        .to_string()
    }

    pub fn all_done(&self) -> bool {
        self.shape != "service" && self.done.len() == self.shards as usize
    }

    /// Its user has nothing more to wait for.
    pub fn over(&self) -> bool {
        self.done_told.is_some() || self.cancelled.is_some()
    }
}

pub struct SimulationState {
    pub rng: StdRng,
    pub start: Instant,
    pub store: Store,
    /// Nodes that the state service refuses.
    pub refused: Vec<bool>,
    /// Requests of each node to the state service in a second of the day.
    pub asked: Vec<(u64, u32)>,
    /// Shares of requests to the state service that are carried out late
    /// without an answer, and at once without an answer.
    pub late_writes: f64,
    pub lost_answers: f64,
    pub cloud_down: bool,
    /// Share of machines on which every task fails.
    pub faulty: f64,
    /// Share of reports of which copies come late.
    pub late_reports: f64,
    /// Every machine's reports are kept, for the next leader.
    pub keeping: bool,
    pub kept: BTreeMap<String, Vec<(IpAddr, String)>>,
    pub machines: BTreeMap<String, Machine>,
    rentals: HashMap<String, Vec<String>>,
    pub jobs: BTreeMap<String, Job>,
    gangs: BTreeMap<(String, u64), Gang>,
    pub starts: u64,
    /// Tasks of batches and gangs that were stopped, or waited for their mates in vain,
    /// though their jobs were not cancelled.
    pub stopped: Vec<String>,
    pub history: VecDeque<String>,
    pub broken: Option<String>,
}

pub type Shared = Arc<Mutex<SimulationState>>;

impl SimulationState {
    pub fn new(seed: u64, nodes: usize) -> SimulationState {
        SimulationState {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            store: Store::default(),
            refused: vec![false; nodes],
            asked: vec![(0, 0); nodes],
            late_writes: 0.0,
            lost_answers: 0.0,
            cloud_down: false,
            faulty: 0.0,
            late_reports: 0.0,
            keeping: false,
            kept: BTreeMap::new(),
            machines: BTreeMap::new(),
            rentals: HashMap::new(),
            jobs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            starts: 0,
            stopped: Vec::new(),
            history: VecDeque::new(),
            broken: None,
        }
    }

    pub fn log(&mut self, what: String) {
        let t = self.start.elapsed().as_secs_f64();
        if self.history.len() > 20_000 {
            self.history.pop_front();
        }
        self.history.push_back(format!("{t:8.3} {what}"));
    }

    /// The first rule that is broken ends the day.
    pub fn fail(&mut self, what: String) {
        self.log(format!("BROKEN {what}"));
        self.broken.get_or_insert(what);
    }

    /// What happened last, and what happened to the job or task that is named.
    pub fn recent(&self, about: &str) -> String {
        if std::env::var_os("BADGERDRIFT_HISTORY").is_some() {
            return self.history.iter().map(|h| format!("{h}\n")).collect();
        }
        let last = self.history.len().saturating_sub(40);
        let job = about.find("run-").map(|i| &about[i..(i + 10).min(about.len())]);
        let of_job: Vec<&String> =
            self.history.iter().take(last).filter(|h| job.is_some_and(|j| h.contains(j))).collect();
        let of_job = of_job[of_job.len().saturating_sub(40)..].iter().copied();
        of_job.chain(self.history.iter().skip(last)).map(|h| format!("{h}\n")).collect()
    }

    pub fn summary(&self) -> String {
        let count = |what: fn(&&Job) -> bool| self.jobs.values().filter(what).count();
        format!(
            "{} jobs, {} accepted, {} done, {} cancelled; {} starts, {} machines, {} sessions, {} claims",
            self.jobs.len(),
            count(|j| j.accepted.is_some()),
            count(|j| j.done_told.is_some()),
            count(|j| j.cancelled.is_some()),
            self.starts,
            self.machines.len(),
            self.machines.values().map(|m| m.tenure).sum::<u64>(),
            self.store.claims
        )
    }

    /// A node asks the state service; false if it does so far beyond `state.rps`.
    pub fn may_ask(&mut self, node: usize) -> bool {
        let second = self.start.elapsed().as_secs();
        let (at, count) = &mut self.asked[node];
        *count = if *at == second { *count + 1 } else { 1 };
        *at = second;
        let ok = *count <= 1000;
        if !ok {
            self.fail(format!("n{node} storms the state service: over 1000 requests in a second"));
        }
        ok
    }

    // ---- the cloud ----

    /// Carries out a rental; the new machines, if the name is new.
    pub fn rent(&mut self, body: &Value) -> (Option<Vec<String>>, Vec<String>) {
        let name = body["rental"].as_str().unwrap();
        if let Some(known) = self.rentals.get(name) {
            return (Some(known.clone()), Vec::new());
        }
        let now = Instant::now();
        let (sku, zone) = (body["flavor"].as_str().unwrap(), body["region"].as_str().unwrap());
        let spot = body["preemptible"].as_bool().unwrap();
        let flavor = FLAVORS.iter().find(|f| f.sku == sku).unwrap();
        let used = |m: &&Machine| m.exists() && m.flavor.sku == sku && m.zone == zone && m.spot == spot;
        let free = CAPACITY.saturating_sub(self.machines.values().filter(used).count());
        let count = free.min(body["number"].as_u64().unwrap() as usize);
        if count == 0 {
            return (None, Vec::new());
        }
        let mut ids = Vec::new();
        for _ in 0..count {
            let n = self.machines.len();
            let id = format!("host-{n:06}");
            let ip = IpAddr::V4(Ipv4Addr::new(10, 1, (n / 200) as u8, (n % 200 + 1) as u8));
            let up = now + secs(flavor.startup_s * self.rng.random_range(0.6..1.5));
            let m = Machine {
                id: id.clone(),
                addr: SocketAddr::new(ip, 9000),
                flavor,
                zone: zone.into(),
                spot,
                life: 0,
                rented: now,
                up,
                gone: None,
                died: None,
                listed: false,
                tenure: 1,
                serial: 0,
                fence: 0,
                lease_from: up,
                copies: BTreeMap::new(),
                deaf: now,
                mute: now,
                hang: now,
                taken: None,
                faulty: self.rng.random_bool(self.faulty),
                changed: false,
                told_fence: now,
            };
            let faulty = if m.faulty { " faulty" } else { "" };
            self.log(format!("rented {id} {sku} {zone} spot={spot}{faulty}"));
            self.machines.insert(id.clone(), m);
            ids.push(id);
        }
        self.rentals.insert(name.into(), ids.clone());
        (Some(ids.clone()), ids)
    }

    /// The machine and all that is on it are gone.
    pub fn remove(&mut self, id: &str, why: &str) {
        let now = Instant::now();
        let Some(m) = self.machines.get_mut(id).filter(|m| m.gone.is_none()) else { return };
        m.gone = Some(now);
        let on: Vec<_> = std::mem::take(&mut m.copies).into_iter().filter(|c| c.1.phase != Phase::Ended).collect();
        let on: Vec<String> = on.into_iter().map(|(k, c)| format!("{} try {} {}", k.0, k.1, c.phase.name())).collect();
        self.log(format!("{id} {why} with {on:?}"));
    }

    pub fn die(&mut self, id: &str) {
        let now = Instant::now();
        let Some(m) = self.machines.get_mut(id).filter(|m| m.alive(now)) else { return };
        m.died = Some(now);
        let on: Vec<_> = std::mem::take(&mut m.copies).into_keys().collect();
        self.log(format!("{id} dies with {on:?}"));
    }

    /// The list as it was a while ago.
    pub fn list(&mut self, from: &str, most: usize) -> Value {
        let now = Instant::now();
        let at = now - secs(self.rng.random_range(0.0..2.0 * LIST_LAG_S));
        let mut hosts = Vec::new();
        let mut more = false;
        for m in self.machines.values_mut().filter(|m| m.id.as_str() > from) {
            if m.gone.is_some_and(|g| g <= at) || (m.rented > at && !m.listed) {
                continue;
            }
            if hosts.len() == most {
                more = true;
                break;
            }
            m.listed = true;
            let phase = match m.died {
                Some(d) if d + secs(30.0) <= at => "failed",
                _ if m.up <= at => "running",
                _ => "starting",
            };
            hosts.push(json!({"id": m.id, "addr": m.addr, "flavor": m.flavor.sku, "region": m.zone,
                "preemptible": m.spot, "phase": phase, "held_s": at.saturating_duration_since(m.rented).as_secs_f64()}));
        }
        json!({"hosts": hosts, "more": more})
    }

    // ---- the workers ----

    pub fn report(&mut self, id: &str) -> Value {
        let now = Instant::now();
        let m = self.machines.get_mut(id).unwrap();
        m.serial += 1;
        let shards: Vec<Value> = m
            .copies
            .iter()
            .map(|((t, a), c)| {
                json!({"shard": t, "try_no": a, "phase": c.phase.name(), "exit_reason": c.why, "stored": c.stored})
            })
            .collect();
        let warning = m.taken.map(|t| t.saturating_duration_since(now).as_secs_f64());
        json!({"host": m.id, "addr": m.addr, "flavor": m.flavor.sku, "region": m.zone, "preemptible": m.spot,
            "tenure": m.tenure, "serial": m.serial, "fence": m.fence, "warning_s": warning, "shards": shards})
    }

    pub fn tenure(&self, id: &str) -> u64 {
        self.machines[id].tenure
    }

    /// The reply to a report that was sent in this session.
    pub fn reply(&mut self, id: &str, tenure: u64, sent: Instant, v: &Value) {
        self.expire_leases();
        let Some(fence) = v["fence"].as_u64() else { return };
        let m = self.machines.get_mut(id).unwrap();
        if m.tenure != tenure || fence < m.fence {
            return;
        }
        m.lease_from = m.lease_from.max(sent);
        self.see_fence(id, fence);
        self.execute(id, &v["orders"]);
    }

    /// A direct command: true if it was carried out.
    pub fn direct(&mut self, id: &str, v: &Value) -> bool {
        self.expire_leases();
        let (Some(fence), Some(tenure)) = (v["fence"].as_u64(), v["tenure"].as_u64()) else { return false };
        let m = &self.machines[id];
        if fence < m.fence || tenure != m.tenure {
            return false;
        }
        self.see_fence(id, fence);
        self.execute(id, &v["orders"]);
        true
    }

    fn see_fence(&mut self, id: &str, fence: u64) {
        let now = Instant::now();
        let m = self.machines.get_mut(id).unwrap();
        if fence > m.fence {
            m.fence = fence;
            if m.told_fence + secs(LEASE_S / 2.0) <= now {
                m.told_fence = now;
                m.changed = true;
            }
        }
    }

    fn execute(&mut self, id: &str, orders: &Value) {
        for o in orders.as_array().into_iter().flatten() {
            let task = o["shard"].as_str().unwrap().to_string();
            let key = (task.clone(), o["try_no"].as_u64().unwrap());
            self.log(format!("{id} is told {}", o));
            match o["verb"].as_str().unwrap() {
                "run" => self.order_run(id, key),
                "stop" => self.order_stop(id, key, o["drain_s"].as_f64().unwrap()),
                "reap" => {
                    let m = self.machines.get_mut(id).unwrap();
                    if m.copies.get(&key).is_some_and(|c| c.phase == Phase::Ended) {
                        m.copies.remove(&key);
                        m.changed = true;
                    }
                }
                other => self.fail(format!("an order {other:?} that no worker knows")),
            }
        }
    }

    fn order_run(&mut self, id: &str, key: (String, u64)) {
        let now = Instant::now();
        if self.machines[id].copies.contains_key(&key) {
            return;
        }
        let (job_id, n) = key.0.rsplit_once('/').unwrap();
        let n: u32 = n.parse().unwrap();
        let job = self.jobs.get(job_id).filter(|j| j.submitted && n < j.shards);
        let m = &self.machines[id];
        let busy = |field: fn(&Job) -> f64| -> f64 {
            let here = m.copies.values().filter(|c| c.phase != Phase::Ended);
            here.filter_map(|c| self.jobs.get(&c.job)).map(field).sum()
        };
        let refused = match job {
            None => Some("no_such"),
            Some(_) if m.copies.iter().any(|(k, c)| k.0 == key.0 && c.phase != Phase::Ended) => Some("in_use"),
            Some(j)
                if busy(|j| j.cores) + j.cores > m.flavor.cores
                    || busy(|j| j.cards) + j.cards > m.flavor.cards
                    || busy(|j| j.mem_gb) + j.mem_gb > m.flavor.mem_gb =>
            {
                Some("no_room")
            }
            _ => None,
        };
        let fetch = secs(self.rng.random_range(0.1..1.5));
        let phase = if refused.is_some() { Phase::Ended } else { Phase::Fetching };
        let c = TaskAttempt { job: job_id.into(), n, phase, why: refused, stored: false, due: now + fetch, since: now };
        if let Some(why) = refused {
            self.log(format!("{id} refuses {} try {}: {why}", key.0, key.1));
        }
        let m = self.machines.get_mut(id).unwrap();
        m.copies.insert(key, c);
        m.changed = true;
    }

    fn order_stop(&mut self, id: &str, key: (String, u64), drain_s: f64) {
        let now = Instant::now();
        let Some(c) = self.machines[id].copies.get(&key) else { return };
        let job = self.jobs[&c.job].clone();
        let saves = job.checkpoint_s > 0.0 && drain_s >= job.flush_s;
        match c.phase {
            Phase::Ended => {}
            Phase::Running if saves => {
                let m = self.machines.get_mut(id).unwrap();
                let c = m.copies.get_mut(&key).unwrap();
                c.phase = Phase::Flushing;
                c.due = now + secs(job.flush_s);
                m.changed = true;
                if let Some(g) = self.gangs.get_mut(&(job.id.clone(), key.1)) {
                    g.stopped.get_or_insert(now);
                }
                let ran = (now - self.machines[id].copies[&key].since).as_secs_f64();
                if job.shape == "batch" {
                    let c = self.machines.get_mut(id).unwrap().copies.get_mut(&key).unwrap();
                    c.since = now - secs(ran);
                }
            }
            Phase::Flushing if drain_s > 0.0 => {}
            _ => self.end(id, &key, "halted", false),
        }
    }

    fn end(&mut self, id: &str, key: &(String, u64), why: &'static str, stored: bool) {
        self.log(format!("{id} ends {} try {}: {why} stored={stored}", key.0, key.1));
        let job = &self.jobs[key.0.rsplit_once('/').unwrap().0];
        if matches!(why, "halted" | "incomplete") && job.shape != "service" && !job.cancel_asked {
            self.stopped.push(format!("{} try {} on {id}", key.0, key.1));
        }
        let m = self.machines.get_mut(id).unwrap();
        let c = m.copies.get_mut(key).unwrap();
        (c.phase, c.why, c.stored) = (Phase::Ended, Some(why), stored);
        m.changed = true;
    }

    /// Leases end to the moment, also on machines that hang: they never resume
    /// what they had after that.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let over = |m: &&mut Machine| m.alive(now) && m.lease_from + secs(LEASE_S) < now;
        let mut told = Vec::new();
        for m in self.machines.values_mut().filter(over) {
            let killed: Vec<_> = std::mem::take(&mut m.copies).into_keys().collect();
            m.tenure += 1;
            m.lease_from = now;
            m.changed = true;
            told.push(format!("{} begins session {}: kills {killed:?}", m.id, m.tenure));
        }
        told.into_iter().for_each(|t| self.log(t));
    }

    /// The task has its image.
    fn begin(&mut self, id: &str, key: &(String, u64)) {
        self.expire_leases();
        let now = Instant::now();
        let Some(c) = self.machines[id].copies.get(key).cloned() else { return };
        let job = self.jobs[&c.job].clone();
        self.log(format!("{id} starts {} try {}", key.0, key.1));
        self.starts += 1;
        self.check_start(id, key, &job);
        let left = job.run_s - job.saved_s.get(&c.n).copied().unwrap_or(0.0);
        let m = self.machines.get_mut(id).unwrap();
        let c = m.copies.get_mut(key).unwrap();
        c.since = now;
        m.changed = true;
        if job.done.contains(&c.n) {
            self.end(id, key, "done", false);
        } else if job.shape == "group" {
            (c.phase, c.due) = (Phase::Gathering, now + secs(GANG_WAIT_S));
        } else {
            (c.phase, c.due) = (Phase::Running, now + secs(left.max(0.1)));
        }
    }

    fn check_start(&mut self, id: &str, key: &(String, u64), job: &Job) {
        let m = &self.machines[id];
        let on: Vec<(&Machine, &(String, u64), &TaskAttempt)> = self
            .machines
            .values()
            .flat_map(|m| m.copies.iter().map(move |(k, c)| (m, k, c)))
            .filter(|(_, _, c)| c.phase.on())
            .collect();
        let mut wrong = Vec::new();
        if let Some((other, k, _)) = on.iter().find(|(_, k, _)| k.0 == key.0) {
            wrong.push(format!("ran_twice: {} try {} starts on {id}, try {} is on {}", key.0, key.1, k.1, other.id));
        }
        if let Some(t) = TEAMS.iter().find(|t| t.0 == job.team) {
            let team = || on.iter().filter_map(|o| self.jobs.get(&o.2.job)).filter(|j| j.team == job.team);
            let cores = team().map(|j| j.cores).sum::<f64>() + job.cores;
            let cards = team().map(|j| j.cards).sum::<f64>() + job.cards;
            if cores > t.1 || cards > t.2 {
                wrong.push(format!("quota: {} starts on {id}: team {} uses {cores} cores, {cards} cards", key.0, t.0));
            }
        }
        let place = |why: &str| format!("wrong_place: {} starts on {id} ({} {}): {why}", key.0, m.flavor.sku, m.zone);
        if job.flavors.as_ref().is_some_and(|f| !f.contains(&m.flavor.sku)) {
            wrong.push(place("the type is not allowed"));
        }
        if job.region.is_some_and(|r| r != m.zone) {
            wrong.push(place("the zone is not allowed"));
        }
        if m.spot && !job.preemptible {
            wrong.push(place("spot is not allowed"));
        }
        let mates = || on.iter().filter(|o| o.2.job == job.id && o.1.0 != key.0);
        if job.same_place && mates().any(|o| o.0.zone != m.zone) {
            wrong.push(place("others of the job are in another zone"));
        }
        let here = mates().filter(|o| o.0.zone == m.zone).count() + 1;
        if job.apart && here > job.shards.div_ceil(2) as usize {
            wrong.push(place("too many of the job are in this zone"));
        }
        if job.cancelled.is_some() {
            wrong.push(format!("ran_cancelled: {} try {} starts on {id} after `cancelled` was told", key.0, key.1));
        }
        if job.invalid {
            wrong.push(format!("{} starts, though its job is invalid", key.0));
        }
        wrong.into_iter().for_each(|w| self.fail(w));
    }

    /// What happens by itself.
    pub fn tick(&mut self) {
        let now = Instant::now();
        self.expire_leases();
        let taken: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.exists() && m.taken.is_some_and(|t| t <= now))
            .map(|m| m.id.clone())
            .collect();
        taken.iter().for_each(|id| self.remove(id, "is taken"));
        let due: Vec<(String, (String, u64))> = self
            .machines
            .values()
            .filter(|m| m.alive(now) && m.hang <= now)
            .flat_map(|m| m.copies.iter().filter(|(_, c)| c.due <= now).map(|(k, _)| (m.id.clone(), k.clone())))
            .collect();
        for (id, key) in due {
            let Some(c) = self.machines[&id].copies.get(&key).cloned() else { continue };
            let shape = self.jobs[&c.job].shape;
            match c.phase {
                Phase::Fetching => self.begin(&id, &key),
                Phase::Gathering => self.end(&id, &key, "incomplete", false),
                Phase::Running if shape == "batch" => {
                    if self.machines[&id].faulty {
                        self.end(&id, &key, "error", false);
                    } else {
                        self.jobs.get_mut(&c.job).unwrap().done.insert(c.n);
                        self.end(&id, &key, "done", false);
                    }
                }
                Phase::Flushing if shape == "batch" => {
                    let ran = (c.due - c.since).as_secs_f64();
                    let job = self.jobs.get_mut(&c.job).unwrap();
                    *job.saved_s.entry(c.n).or_default() += (ran - job.flush_s).max(0.0);
                    self.end(&id, &key, "halted", true);
                }
                _ => {}
            }
        }
        self.gangs_step(now);
        let late = |j: &&Job| j.cancelled.is_some_and(|c| c + secs(CANCEL_S) < now);
        for id in self.jobs.values().filter(late).map(|j| j.id.clone()).collect::<Vec<_>>() {
            let on = self.machines.values().find(|m| m.copies.values().any(|c| c.job == id && c.phase.on()));
            if let Some(m) = on.map(|m| m.id.clone()) {
                self.fail(format!("ran_cancelled: {id} is on {m} more than cancel_s after `cancelled` was told"));
            }
        }
    }

    fn gangs_step(&mut self, now: Instant) {
        // Members of each attempt: machine, key, phase, whether it executes, when due.
        type Member = (String, (String, u64), Phase, bool, Instant);
        let mut members: BTreeMap<(String, u64), Vec<Member>> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.alive(now)) {
            for (k, c) in m.copies.iter().filter(|(_, c)| c.phase.on()) {
                if self.jobs[&c.job].shape == "group" {
                    let of = members.entry((c.job.clone(), k.1)).or_default();
                    of.push((m.id.clone(), k.clone(), c.phase, m.hang <= now, c.due));
                }
            }
        }
        self.gangs.retain(|k, _| members.contains_key(k));
        for (attempt, all) in members {
            let job = self.jobs[&attempt.0].clone();
            let size = job.shards as usize;
            let progress = job.saved_s.get(&0).copied().unwrap_or(0.0);
            let executing: Vec<&Member> = all.iter().filter(|m| m.3).collect();
            let Some(g) = self.gangs.get_mut(&attempt) else {
                if executing.iter().filter(|m| m.2 == Phase::Gathering).count() == size {
                    self.log(format!("{} try {} runs as a gang", attempt.0, attempt.1));
                    let gang = Gang { began: now, stopped: None, fails: None, failed: false };
                    self.gangs.insert(attempt.clone(), gang);
                    for m in &all {
                        let machine = self.machines.get_mut(&m.0).unwrap();
                        machine.copies.get_mut(&m.1).unwrap().phase = Phase::Running;
                        machine.changed = true;
                    }
                }
                continue;
            };
            let whole = executing.iter().filter(|m| m.2 != Phase::Gathering).count() == size;
            let flushing = executing.iter().filter(|m| m.2 == Phase::Flushing).count();
            let ran = (g.stopped.unwrap_or(now) - g.began).as_secs_f64();
            let mut ends: Option<(&'static str, bool)> = None;
            if !whole && !g.failed {
                let after = secs(self.rng.random_range(0.2..GANG_PEER_S * 0.95));
                g.failed = now >= *g.fails.get_or_insert(now + after);
            } else if whole {
                g.fails = None;
            }
            if g.failed {
                ends = Some(("mates_gone", false));
            } else if flushing == size && executing.iter().all(|m| m.4 <= now) {
                ends = Some(("halted", true));
            } else if g.stopped.is_some_and(|s| s + secs(GANG_PEER_S) <= now) {
                g.failed = true;
                ends = Some(("mates_gone", false));
            } else if g.stopped.is_none() && whole && progress + ran >= job.run_s {
                let faulty = executing.iter().any(|m| self.machines[&m.0].faulty);
                ends = Some((if faulty { "error" } else { "done" }, false));
            }
            let Some((why, stored)) = ends else { continue };
            let j = self.jobs.get_mut(&attempt.0).unwrap();
            if why == "done" {
                j.done = (0..job.shards).collect();
            }
            let kept = if stored {
                progress + ran
            } else if job.checkpoint_s > 0.0 {
                ((progress + ran) / job.checkpoint_s).floor() * job.checkpoint_s
            } else {
                0.0
            };
            j.saved_s.insert(0, kept.max(progress));
            for m in executing {
                // Only what is on a faulty machine fails; the others miss it.
                let fails = why == "error" && !self.machines[&m.0].faulty;
                self.end(&m.0, &m.1, if fails { "mates_gone" } else { why }, stored);
            }
        }
    }

    // ---- the users ----

    /// An answer to a question about a job that was sent then; checks it against
    /// all that its user was told before.
    pub fn heard(&mut self, id: &str, sent: Instant, node: usize, what: &str, status: u16, v: &Value) {
        let now = Instant::now();
        let phase = v["phase"].as_str().unwrap_or("");
        let Some(job) = self.jobs.get(id).cloned() else { return };
        let told = format!("{id}: {what} at n{node} sent {:.3}: {status} {v}", (sent - self.start).as_secs_f64());
        self.log(format!("user of {told}"));
        let after = |t: Option<Instant>| t.is_some_and(|t| sent > t);
        if status == 200 || status == 404 {
            self.jobs.get_mut(id).unwrap().answered = Some(now);
        }
        if !job.submitted && status == 200 {
            self.fail(format!("invented: {told}"));
        }
        if job.invalid {
            if matches!(status, 200 | 201) {
                self.fail(format!("accepted though invalid: {told}"));
            }
            return;
        }
        if matches!(status, 404 | 400 | 422) && after(job.accepted) {
            self.fail(format!("forgotten: {told}"));
        }
        if matches!(status, 400 | 422) {
            self.fail(format!("a valid job is refused: {told}"));
        }
        if !matches!(status, 200 | 201) {
            return;
        }
        if after(job.done_told) && phase != "done" || after(job.cancelled) && phase != "cancelled" {
            self.fail(format!("went_back: {told}"));
        }
        if phase == "cancelled" && !job.cancel_asked {
            self.fail(format!("went_back: cancelled though its user never asked: {told}"));
        }
        if phase == "done" && !job.all_done() {
            self.fail(format!("not_done: {:?} of {} are done: {told}", job.done, job.shards));
        }
        if what == "withdraw" && !matches!(phase, "done" | "cancelled") {
            self.fail(format!("a cancellation is answered so: {told}"));
        }
        let j = self.jobs.get_mut(id).unwrap();
        j.accepted.get_or_insert(now);
        match phase {
            "done" => _ = j.done_told.get_or_insert(now),
            "cancelled" => _ = j.cancelled.get_or_insert(now),
            _ => {}
        }
    }

    /// What keeps the day from being settled.
    pub fn unsettled(&self) -> Vec<String> {
        let mut out = Vec::new();
        for j in self.jobs.values().filter(|j| j.accepted.is_some() && !j.over()) {
            let running: Vec<String> = self
                .machines
                .values()
                .flat_map(|m| m.copies.iter().map(move |(k, c)| (m, k, c)))
                .filter(|(_, _, c)| c.job == j.id)
                .map(|(m, k, c)| format!("{} try {} on {} {} {:?}", k.0, k.1, m.id, c.phase.name(), c.why))
                .collect();
            let runs = running.iter().filter(|r| r.contains(" running ")).count();
            if j.shape != "service" || j.cancel_asked || runs < j.shards as usize {
                out.push(format!(
                    "{} {} {} of {} done, {running:?}: {}",
                    j.id,
                    j.shape,
                    j.done.len(),
                    j.shards,
                    j.body()
                ));
            }
        }
        out
    }
}
