//! The platform: machines and their workers, the cloud, the record of events and the rules that are checked as tasks
//! start.

use crate::http::{Answer, Req, call, serve};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a case sets.
#[derive(Clone)]
pub struct Config {
    pub report: Duration,
    pub lease: Duration,
    pub gang_wait: Duration,
    pub list_lag: Duration,
    /// Machine types as the cloud lists them.
    pub flavors: Value,
    /// Boot time of each machine.
    pub boot: Duration,
}

#[derive(Clone)]
pub struct Task {
    pub phase: &'static str,
    pub exit: Option<&'static str>,
    pub stored: bool,
    /// When the image is there.
    fetched_at: Instant,
    /// When the task began to run.
    running_at: Option<Instant>,
    gathered_at: Option<Instant>,
    ended_at: Option<Instant>,
    flush_until: Option<Instant>,
}

pub struct Host {
    pub id: String,
    pub flavor: String,
    pub region: String,
    pub spot: bool,
    pub rented: Instant,
    pub up: Option<Instant>,
    pub gone: Option<Instant>,
    pub addr: Option<SocketAddr>,
    /// Stopped on its own.
    pub dead: bool,
    /// Hangs until then.
    pub hangs_until: Option<Instant>,
    /// Reports of this machine reach nobody; answers and commands don't reach it.
    pub mute: bool,
    pub deaf: bool,
    pub tenure: u64,
    pub serial: u64,
    pub fence: u64,
    pub warning: Option<Instant>,
    /// When the last answered report was sent.
    pub renewed: Instant,
    pub tasks: BTreeMap<(String, u64), Task>,
    changed: bool,
    images: HashSet<String>,
}

#[derive(Default)]
pub struct World {
    pub hosts: BTreeMap<String, Host>,
    rentals: HashMap<String, Vec<String>>,
    /// Jobs as their users uploaded them, with the run time of a task in seconds in `run_s`.
    pub jobs: HashMap<String, Value>,
    /// Run time that is saved of gangs and tasks with checkpoints, and tasks that have completed.
    pub completed: HashSet<String>,
    /// Broken rules.
    pub broken: Vec<String>,
    next_host: u64,
    pub cloud_down: bool,
    /// Machines per type that the cloud has.
    pub capacity: usize,
    pub starts: u64,
    /// Machines whose lease ended, with the tasks that they killed.
    pub lease_ends: Vec<(String, Vec<String>)>,
    /// Reports that were answered with a status that the protocol does not name, by machine.
    pub odd_answers: HashMap<String, (u64, u16, usize)>,
}

pub struct Platform {
    pub config: Config,
    pub world: Mutex<World>,
    pub began: Instant,
    record: Mutex<std::fs::File>,
    /// Addresses of the controllers' `serve_on`, by name.
    pub controllers: Mutex<Vec<(String, SocketAddr)>>,
    /// Called for each request to return machines, with the controller, the machines and the tasks on them.
    pub on_release: Mutex<Option<ReleaseHook>>,
}

pub type ReleaseHook = Box<dyn Fn(usize, &str, &[String]) -> Option<String> + Send>;

impl Host {
    fn exists(&self) -> bool {
        self.gone.is_none() && !self.dead
    }

    fn hangs(&self) -> bool {
        self.hangs_until.is_some_and(|until| Instant::now() < until)
    }

    /// Tasks that have their image and have not exited.
    pub fn on_machine(&self) -> Vec<String> {
        let live = |task: &Task| matches!(task.phase, "running" | "gathering" | "flushing");
        self.tasks.iter().filter(|(_, task)| live(task)).map(|((shard, _), _)| shard.clone()).collect()
    }

    /// Whether the task has its image here and has not exited.
    fn has(&self, shard: &str) -> bool {
        let of_shard = self.tasks.range((shard.to_string(), 0)..=(shard.to_string(), u64::MAX));
        of_shard.into_iter().any(|(_, task)| matches!(task.phase, "running" | "gathering" | "flushing"))
    }

    fn report(&mut self) -> Value {
        self.serial += 1;
        let shards: Vec<Value> = self
            .tasks
            .iter()
            .map(|((shard, try_no), task)| {
                let mut value = json!({"shard": shard, "try_no": try_no, "phase": task.phase});
                if let Some(exit) = task.exit {
                    value["exit_reason"] = json!(exit);
                }
                if task.stored {
                    value["stored"] = json!(true);
                }
                value
            })
            .collect();
        let warning = self.warning.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64());
        json!({"host": self.id, "addr": self.addr.map(|a| a.to_string()), "flavor": self.flavor, "region": self.region,
            "preemptible": self.spot, "tenure": self.tenure, "serial": self.serial, "fence": self.fence,
            "warning_s": warning, "shards": shards})
    }
}

impl Platform {
    pub fn new(config: Config, record: &str) -> Arc<Platform> {
        let world = World { capacity: 20, next_host: 100, ..World::default() };
        Arc::new(Platform {
            config,
            world: Mutex::new(world),
            began: Instant::now(),
            record: Mutex::new(std::fs::File::create(record).expect("record.txt")),
            controllers: Mutex::default(),
            on_release: Mutex::default(),
        })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.began.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn broken(&self, world: &mut World, text: String) {
        self.note(format!("BROKEN {text}"));
        world.broken.push(text);
    }

    // ---- cloud ----

    /// Opens the cloud's port for one controller.
    pub fn open_cloud(self: &Arc<Self>, controller: usize, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (platform, name) = (self.clone(), name.to_string());
        serve(listener, || true, Arc::new(move |req: &Req| platform.cloud(controller, &name, req)));
        addr
    }

    fn cloud(self: &Arc<Self>, controller: usize, name: &str, req: &Req) -> Answer {
        if self.world.lock().unwrap().cloud_down {
            return Some((503, json!({"error": "trouble"})));
        }
        let path = req.path.split('?').next().unwrap_or("");
        match (req.method.as_str(), path) {
            ("GET", "/flavors") => Some((200, json!({"flavors": self.config.flavors}))),
            ("GET", "/hosts") => Some((200, self.list(req))),
            ("POST", "/hosts") => Some(self.rent(name, &req.json())),
            ("POST", "/hosts/release") => {
                let ids: Vec<String> = serde_json::from_value(req.json()["hosts"].clone()).unwrap_or_default();
                let mut text = format!("cloud: {name} returns");
                {
                    let world = self.world.lock().unwrap();
                    for id in &ids {
                        let on = world.hosts.get(id).map(Host::on_machine).unwrap_or_default();
                        text += &format!(" {id} (tasks on it: {on:?})");
                    }
                }
                self.note(&text);
                let verdict = self.on_release.lock().unwrap().as_ref().and_then(|hook| hook(controller, name, &ids));
                let mut world = self.world.lock().unwrap();
                if let Some(verdict) = verdict {
                    self.broken(&mut world, verdict);
                }
                for id in &ids {
                    if let Some(host) = world.hosts.get_mut(id) {
                        host.gone.get_or_insert(Instant::now());
                        host.tasks.clear();
                    }
                }
                Some((200, json!({})))
            }
            _ => Some((400, json!({"error": "malformed"}))),
        }
    }

    /// The list of machines as it was `list_lag` ago.
    fn list(&self, req: &Req) -> Value {
        let from = req.query("from").unwrap_or_default();
        let most: usize = req.query("most").and_then(|m| m.parse().ok()).unwrap_or(500).min(500);
        let world = self.world.lock().unwrap();
        let Some(then) = Instant::now().checked_sub(self.config.list_lag) else { return json!({"hosts": []}) };
        let listed = world.hosts.values().filter(|h| h.rented <= then && h.gone.is_none_or(|gone| gone > then));
        let mut hosts: Vec<Value> = listed
            .filter(|h| h.id > from)
            .map(|h| {
                let phase = if h.up.is_some_and(|up| up <= then) { "running" } else { "starting" };
                json!({"id": h.id, "addr": h.addr.map(|a| a.to_string()), "flavor": h.flavor, "region": h.region,
                    "preemptible": h.spot, "phase": phase, "held_s": (then - h.rented).as_secs_f64()})
            })
            .collect();
        let more = hosts.len() > most;
        hosts.truncate(most);
        json!({"hosts": hosts, "more": more})
    }

    fn rent(self: &Arc<Self>, name: &str, body: &Value) -> (u16, Value) {
        let rental = body["rental"].as_str().unwrap_or("").to_string();
        let mut world = self.world.lock().unwrap();
        if let Some(ids) = world.rentals.get(&rental) {
            return (200, json!({"hosts": ids}));
        }
        let (flavor, region) = (body["flavor"].as_str().unwrap_or(""), body["region"].as_str().unwrap_or(""));
        let spot = body["preemptible"].as_bool().unwrap_or(false);
        let used = world.hosts.values().filter(|h| h.exists() && h.flavor == flavor && h.spot == spot).count();
        let number = (body["number"].as_u64().unwrap_or(0) as usize).min(50).min(world.capacity.saturating_sub(used));
        if number == 0 || spot {
            return (503, json!({"error": "no capacity"}));
        }
        let mut ids = Vec::new();
        for _ in 0..number {
            let id = self.add_host(&mut world, flavor, region, spot);
            ids.push(id);
        }
        self.note(format!("cloud: {name} rents {rental}: {flavor} x{number} -> {ids:?}"));
        world.rentals.insert(rental, ids.clone());
        (200, json!({"hosts": ids}))
    }

    fn add_host(self: &Arc<Self>, world: &mut World, flavor: &str, region: &str, spot: bool) -> String {
        world.next_host += 1;
        let id = format!("host-{:06}", world.next_host);
        let now = Instant::now();
        let host = Host {
            id: id.clone(),
            flavor: flavor.into(),
            region: region.into(),
            spot,
            rented: now,
            up: None,
            gone: None,
            addr: None,
            dead: false,
            hangs_until: None,
            mute: false,
            deaf: false,
            tenure: 1,
            serial: 0,
            fence: 0,
            warning: None,
            renewed: now,
            tasks: BTreeMap::new(),
            changed: false,
            images: HashSet::new(),
        };
        world.hosts.insert(id.clone(), host);
        let (platform, host) = (self.clone(), id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(platform.config.boot);
            platform.run_worker(&host);
        });
        id
    }

    // ---- workers ----

    fn with_host<T>(&self, id: &str, f: impl FnOnce(&mut Host) -> T) -> T {
        f(self.world.lock().unwrap().hosts.get_mut(id).unwrap())
    }

    fn run_worker(self: &Arc<Self>, id: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let exists = self.with_host(id, |host| {
            host.addr = Some(addr);
            host.up = Some(Instant::now());
            host.renewed = Instant::now();
            host.exists()
        });
        if !exists {
            return;
        }
        self.note(format!("{id} is up at {addr}"));
        let (platform, host) = (self.clone(), id.to_string());
        let (alive_platform, alive_host) = (self.clone(), id.to_string());
        let alive = move || alive_platform.world.lock().unwrap().hosts[&alive_host].exists();
        serve(listener, alive, Arc::new(move |req: &Req| platform.command(&host, req)));
        let (platform, host) = (self.clone(), id.to_string());
        std::thread::spawn(move || platform.report_loop(&host));
        // Tasks and leases.
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut world = self.world.lock().unwrap();
            if !world.hosts[id].exists() {
                return;
            }
            if !world.hosts[id].hangs() {
                self.step(&mut world, id);
            }
        }
    }

    /// Waits while the machine hangs; `false` once it is gone.
    fn wait_while_hanging(&self, id: &str) -> bool {
        loop {
            let (exists, hangs) = self.with_host(id, |host| (host.exists(), host.hangs()));
            if !exists || !hangs {
                return exists;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn command(self: &Arc<Self>, id: &str, req: &Req) -> Answer {
        if self.with_host(id, |host| host.deaf) {
            return None;
        }
        if !self.wait_while_hanging(id) {
            return None;
        }
        let mut world = self.world.lock().unwrap();
        self.step(&mut world, id);
        let host = world.hosts.get_mut(id)?;
        if req.method == "GET" {
            return Some((200, host.report()));
        }
        let body = req.json();
        let (Some(fence), Some(tenure)) = (body["fence"].as_u64(), body["tenure"].as_u64()) else {
            return Some((400, json!({"error": "fence or tenure is missing"})));
        };
        if fence < host.fence || tenure != host.tenure {
            return Some((409, host.report()));
        }
        if fence > host.fence {
            host.fence = fence;
            host.changed = true;
        }
        let orders = body["orders"].as_array().cloned().unwrap_or_default();
        self.execute(&mut world, id, &orders, fence);
        let report = world.hosts.get_mut(id)?.report();
        Some((200, report))
    }

    fn report_loop(self: &Arc<Self>, id: &str) {
        let mut to = (id.bytes().map(usize::from).sum::<usize>()) % 3;
        let mut next = Instant::now();
        let mut last_sent = Instant::now() - Duration::from_secs(1);
        loop {
            std::thread::sleep(Duration::from_millis(10));
            if !self.wait_while_hanging(id) {
                return;
            }
            let now = Instant::now();
            let changed = self.with_host(id, |host| host.changed);
            let due = now >= next || (changed && now >= last_sent + Duration::from_millis(500));
            if !due {
                continue;
            }
            last_sent = now;
            next = now + self.config.report;
            let controllers = self.controllers.lock().unwrap().clone();
            let (name, addr) = controllers[to % controllers.len()].clone();
            let (report, tenure, mute) = self.with_host(id, |host| {
                host.changed = false;
                (host.report(), host.tenure, host.mute)
            });
            let answer = match mute {
                true => {
                    std::thread::sleep(Duration::from_secs(4));
                    None
                }
                false => call(addr, "POST", "/agent/beat", Some(&report), Duration::from_secs(4)),
            };
            if !self.wait_while_hanging(id) {
                return;
            }
            let late = now.elapsed() > Duration::from_secs(4);
            match answer {
                Some((200, body)) if !late => {
                    let mut world = self.world.lock().unwrap();
                    let host = world.hosts.get_mut(id).unwrap();
                    if host.deaf || host.tenure != tenure {
                        continue;
                    }
                    let Some(fence) = body["fence"].as_u64().filter(|fence| *fence >= host.fence) else { continue };
                    if fence > host.fence {
                        host.fence = fence;
                        host.changed = true;
                    }
                    host.renewed = host.renewed.max(now);
                    let orders = body["orders"].as_array().cloned().unwrap_or_default();
                    self.execute(&mut world, id, &orders, fence);
                }
                Some((421, body)) if !late => {
                    let named = body["reports_to"].as_str().filter(|other| *other != name);
                    match named.and_then(|other| controllers.iter().position(|(n, _)| n == other)) {
                        Some(other) => {
                            to = other;
                            next = Instant::now() + Duration::from_millis(100);
                        }
                        None => {
                            to += 1;
                            next = Instant::now() + Duration::from_secs(1);
                        }
                    }
                }
                other => {
                    if let Some((status, body)) = other.filter(|(status, _)| *status != 503) {
                        let bytes = report.to_string().len();
                        let mut world = self.world.lock().unwrap();
                        let odd = world.odd_answers.entry(id.to_string()).or_default();
                        *odd = (odd.0 + 1, status, bytes);
                        self.note(format!("{id} report of {bytes} bytes answered by {name}: {status} {body}"));
                    }
                    to += 1;
                    next = Instant::now() + Duration::from_secs(1);
                }
            }
        }
    }

    fn execute(&self, world: &mut World, id: &str, orders: &[Value], fence: u64) {
        for order in orders {
            let (verb, shard) = (order["verb"].as_str().unwrap_or(""), order["shard"].as_str().unwrap_or(""));
            let try_no = order["try_no"].as_u64().unwrap_or(0);
            let key = (shard.to_string(), try_no);
            let now = Instant::now();
            match verb {
                "run" => self.run_task(world, id, key, fence),
                "stop" => {
                    let drain = order["drain_s"].as_f64().unwrap_or(0.0);
                    let spec = world.jobs.get(shard.split('/').next().unwrap_or("")).cloned().unwrap_or_default();
                    let host = world.hosts.get_mut(id).unwrap();
                    let Some(task) = host.tasks.get_mut(&key) else { continue };
                    if task.phase == "ended" {
                        continue;
                    }
                    if Self::is_noted(shard) {
                        self.note(format!("{id} stop {shard} try {try_no} drain {drain} fence {fence}"));
                    }
                    host.changed = true;
                    let flush = spec["flush_s"].as_f64().unwrap_or(0.0);
                    let saves = spec["checkpoint_every_s"].as_f64().unwrap_or(0.0) > 0.0;
                    if task.phase == "running" && saves && drain >= flush {
                        task.phase = "flushing";
                        task.flush_until = Some(now + Duration::from_secs_f64(flush));
                    } else if task.phase != "flushing" || drain <= 0.0 {
                        task.phase = "ended";
                        task.exit = Some("halted");
                        task.ended_at = Some(now);
                    }
                }
                "reap" => {
                    let host = world.hosts.get_mut(id).unwrap();
                    if host.tasks.get(&key).is_some_and(|task| task.phase == "ended") {
                        host.tasks.remove(&key);
                        host.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    /// Whether single events of this task are noted; of a large array only the first tasks are.
    fn is_noted(shard: &str) -> bool {
        shard.split('/').nth(1).and_then(|n| n.parse::<u64>().ok()).is_none_or(|n| n < 20)
    }

    fn run_task(&self, world: &mut World, id: &str, key: (String, u64), fence: u64) {
        let (job, number) = key.0.split_once('/').unwrap_or(("", ""));
        let number: u64 = number.parse().unwrap_or(u64::MAX);
        let spec = world.jobs.get(job).cloned();
        let host = world.hosts.get_mut(id).unwrap();
        if host.tasks.contains_key(&key) {
            return;
        }
        let now = Instant::now();
        host.changed = true;
        let amounts = |spec: &Value| {
            let amount = |name: &str| spec[name].as_f64().unwrap_or(0.0);
            [amount("cores"), amount("cards"), amount("mem_gb")]
        };
        let mut task = Task {
            phase: "fetching",
            exit: None,
            stored: false,
            fetched_at: now,
            running_at: None,
            gathered_at: None,
            ended_at: None,
            flush_until: None,
        };
        let mut refuse = |why| {
            task.phase = "ended";
            task.exit = Some(why);
            task.ended_at = Some(now);
        };
        let live: Vec<String> =
            host.tasks.iter().filter(|(_, t)| t.phase != "ended").map(|((shard, _), _)| shard.clone()).collect();
        match spec {
            None => refuse("no_such"),
            Some(spec) if number >= spec["shards"].as_u64().unwrap_or(0) => refuse("no_such"),
            Some(_) if live.contains(&key.0) => refuse("in_use"),
            Some(spec) => {
                let mut used = amounts(&spec);
                for shard in &live {
                    let other = world.jobs.get(shard.split('/').next().unwrap_or(""));
                    let other = other.map(amounts).unwrap_or_default();
                    (0..3).for_each(|i| used[i] += other[i]);
                }
                let flavors = self.config.flavors.as_array().cloned().unwrap_or_default();
                let flavor = flavors.iter().find(|f| f["sku"] == host.flavor.as_str()).cloned().unwrap_or_default();
                let cap = amounts(&flavor);
                if (0..3).any(|i| used[i] > cap[i] + 1e-9) {
                    refuse("no_room");
                } else {
                    let image = spec["bundle"].as_str().unwrap_or("").to_string();
                    let rate = flavor["fetch_gb_per_s"].as_f64().unwrap_or(1.0);
                    if host.images.insert(image) {
                        task.fetched_at = now + Duration::from_secs_f64(spec["size_gb"].as_f64().unwrap_or(0.0) / rate);
                    }
                }
            }
        }
        if Self::is_noted(&key.0) {
            self.note(format!("{id} run {} try {} fence {fence} {}", key.0, key.1, task.exit.unwrap_or("accepted")));
        }
        host.tasks.insert(key, task);
    }

    /// Lets the tasks and the lease of a machine go on.
    fn step(&self, world: &mut World, id: &str) {
        let now = Instant::now();
        let host = world.hosts.get_mut(id).unwrap();
        if now > host.renewed + self.config.lease {
            let killed = host.on_machine();
            let first = &killed[..killed.len().min(4)];
            self.note(format!("{id} lease over, {} tasks killed: {first:?} ...", killed.len()));
            world.lease_ends.push((id.to_string(), killed));
            let host = world.hosts.get_mut(id).unwrap();
            host.tasks.clear();
            host.tenure += 1;
            host.renewed = now;
            host.changed = true;
        }
        let keys: Vec<(String, u64)> = world.hosts[id].tasks.keys().cloned().collect();
        for key in keys {
            let job = key.0.split('/').next().unwrap_or("").to_string();
            let spec = world.jobs.get(&job).cloned().unwrap_or_default();
            let task = world.hosts[id].tasks[&key].clone();
            let mut next = task.clone();
            match task.phase {
                "fetching" if now >= task.fetched_at => {
                    let elsewhere: Vec<String> = world
                        .hosts
                        .values()
                        .filter(|h| h.id != id && h.exists() && h.has(&key.0))
                        .map(|h| h.id.clone())
                        .collect();
                    world.starts += 1;
                    if Self::is_noted(&key.0) {
                        self.note(format!("{id} starts {} try {}", key.0, key.1));
                    }
                    if !elsewhere.is_empty() {
                        self.broken(
                            world,
                            format!("ran_twice: {} try {} starts on {id} while it is on {elsewhere:?}", key.0, key.1),
                        );
                    }
                    if spec["shape"] == "group" {
                        next.phase = "gathering";
                        next.gathered_at = Some(now);
                    } else {
                        next.phase = "running";
                        next.running_at = Some(now);
                    }
                }
                "gathering" => {
                    let mates = self.mates(world, &job, key.1, &["gathering", "running"]);
                    if mates as u64 >= spec["shards"].as_u64().unwrap_or(1) {
                        next.phase = "running";
                        next.running_at = Some(now);
                    } else if now > task.gathered_at.unwrap_or(now) + self.config.gang_wait {
                        (next.phase, next.exit, next.ended_at) = ("ended", Some("incomplete"), Some(now));
                    }
                }
                "running" => {
                    let done = world.completed.contains(&key.0);
                    let run = Duration::from_secs_f64(spec["run_s"].as_f64().unwrap_or(1e6));
                    if spec["shape"] != "service" && (done || now >= task.running_at.unwrap_or(now) + run) {
                        world.completed.insert(key.0.clone());
                        (next.phase, next.exit, next.ended_at) = ("ended", Some("done"), Some(now));
                        if Self::is_noted(&key.0) {
                            self.note(format!("{id} {} try {} is done", key.0, key.1));
                        }
                    }
                }
                "flushing" if task.flush_until.is_some_and(|until| now >= until) => {
                    (next.phase, next.exit, next.stored, next.ended_at) = ("ended", Some("halted"), true, Some(now));
                }
                _ => {}
            }
            if next.phase != task.phase {
                let host = world.hosts.get_mut(id).unwrap();
                host.changed = true;
                host.tasks.insert(key, next);
            }
        }
    }

    fn mates(&self, world: &World, job: &str, try_no: u64, phases: &[&str]) -> usize {
        let tasks = world.hosts.values().filter(|h| h.exists()).flat_map(|h| h.tasks.iter());
        let of_gang = |key: &(String, u64)| key.1 == try_no && key.0.split('/').next() == Some(job);
        tasks.filter(|(key, task)| of_gang(key) && phases.contains(&task.phase)).count()
    }
}

impl Platform {
    /// Length of the report that each machine would send now.
    pub fn report_sizes(&self) -> Vec<(String, usize)> {
        let mut world = self.world.lock().unwrap();
        let hosts = world.hosts.values_mut().filter(|host| host.exists() && host.up.is_some());
        hosts
            .map(|host| {
                let sequence = host.serial;
                let bytes = host.report().to_string().len();
                host.serial = sequence;
                (host.id.clone(), bytes)
            })
            .collect()
    }
}
