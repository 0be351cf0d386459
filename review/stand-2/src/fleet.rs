//! Stand-ins of the cloud and of the workers, as the protocol's page describes them. Gangs are not simulated.

use crate::http::{Answer, CallError, Request, serve};
use crate::record::Record;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait of a worker for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Clone)]
pub struct Flavor {
    pub sku: &'static str,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub startup_s: f64,
    pub regions: Vec<&'static str>,
    /// Machines of this type that the cloud has in each zone, spot and ordinary ones together.
    pub capacity: usize,
}

/// What a worker knows of a job: users upload it.
#[derive(Clone)]
pub struct JobDescription {
    pub tasks: u32,
    pub service: bool,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub bundle: String,
    pub size_gb: f64,
    pub run_s: f64,
}

/// Times of the workers, from the settings.
#[derive(Clone, Copy)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
}

struct Task {
    shard: String,
    try_no: u64,
    phase: &'static str,
    reason: &'static str,
    /// When it has its image, or when it is done.
    until: Option<Instant>,
}

pub struct Machine {
    pub id: String,
    flavor: Flavor,
    region: String,
    spot: bool,
    addr: SocketAddr,
    rented: Instant,
    up: bool,
    gone: bool,
    tenure: u64,
    serial: u64,
    fence: u64,
    session_renewed: Instant,
    tasks: Vec<Task>,
    images: HashMap<String, Instant>,
    changed: bool,
}

/// Facts that the checks read.
#[derive(Default)]
pub struct Facts {
    pub jobs: HashMap<String, JobDescription>,
    /// Machines that each task is on now.
    on: HashMap<String, BTreeSet<String>>,
    pub started: HashMap<String, u64>,
}

pub struct Fleet {
    pub flavors: Vec<Flavor>,
    times: WorkerTimes,
    list_lag: Duration,
    machines: Mutex<BTreeMap<String, Arc<Mutex<Machine>>>>,
    rentals: Mutex<HashMap<String, Vec<String>>>,
    /// Names and public addresses of the controllers.
    controllers: Vec<(String, SocketAddr)>,
    pub facts: Mutex<Facts>,
    record: Record,
    /// State of the machine list as of each half second.
    listed: Mutex<Vec<(Instant, Vec<Value>)>>,
    calls: Mutex<(f64, Instant)>,
    rps: f64,
    /// True while the cloud's interface is down.
    pub cloud_down: AtomicBool,
    /// Releases that the cloud refused because it was down, with the controllers that sent them.
    pub refused_releases: Mutex<Vec<(Instant, usize)>>,
    /// Machines that were returned.
    pub releases: Mutex<Vec<Release>>,
}

/// A machine that a controller returned.
#[derive(Clone)]
pub struct Release {
    pub at: Instant,
    pub node: usize,
    pub host: String,
    /// Tasks that ran on it.
    pub tasks: Vec<String>,
}

fn job_of(shard: &str) -> &str {
    shard.split('/').next().unwrap_or("")
}

impl Fleet {
    pub fn new(
        flavors: Vec<Flavor>,
        times: WorkerTimes,
        rps: f64,
        list_lag_s: f64,
        controllers: Vec<(String, SocketAddr)>,
        record: Record,
    ) -> Arc<Fleet> {
        let fleet = Arc::new(Fleet {
            flavors,
            times,
            list_lag: Duration::from_secs_f64(list_lag_s),
            machines: Mutex::default(),
            rentals: Mutex::default(),
            controllers,
            facts: Mutex::default(),
            record,
            listed: Mutex::default(),
            calls: Mutex::new((2.0 * rps, Instant::now())),
            rps,
            cloud_down: AtomicBool::new(false),
            refused_releases: Mutex::default(),
            releases: Mutex::default(),
        });
        let listing = fleet.clone();
        std::thread::spawn(move || {
            loop {
                let snapshot = listing.list_now();
                let mut listed = listing.listed.lock().unwrap();
                listed.push((Instant::now(), snapshot));
                if listed.len() > 200 {
                    listed.remove(0);
                }
                drop(listed);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        fleet
    }

    pub fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().unwrap()
    }

    pub fn machines(&self) -> Vec<Arc<Mutex<Machine>>> {
        self.machines.lock().unwrap().values().cloned().collect()
    }

    fn list_now(&self) -> Vec<Value> {
        let machines = self.machines();
        let listed = machines.iter().map(|machine| machine.lock().unwrap()).filter(|machine| !machine.gone);
        listed
            .map(|machine| {
                let phase = if machine.up { "running" } else { "starting" };
                json!({"id": machine.id, "addr": machine.addr.to_string(), "flavor": machine.flavor.sku,
                    "region": machine.region, "preemptible": machine.spot, "phase": phase,
                    "held_s": machine.rented.elapsed().as_secs_f64()})
            })
            .collect()
    }

    /// Serves the cloud's interface at a port for the controller with this number.
    pub fn serve_cloud(self: &Arc<Fleet>, node: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let fleet = self.clone();
        serve(listener, Arc::new(move |request| Some(fleet.cloud(node, request))));
        addr
    }

    fn cloud(self: &Arc<Fleet>, node: usize, request: &Request) -> (u16, Value) {
        let mut calls = self.calls.lock().unwrap();
        calls.0 = (calls.0 + calls.1.elapsed().as_secs_f64() * self.rps).min(2.0 * self.rps);
        calls.1 = Instant::now();
        if calls.0 < 1.0 {
            return (429, json!({"error": "too many calls"}));
        }
        calls.0 -= 1.0;
        drop(calls);
        if self.cloud_down.load(Ordering::Relaxed) {
            if request.plain_path() == "/hosts/release" {
                let body = request.json();
                self.record.line(&format!("cloud: release of {} by controller {node}: 503", body["hosts"]));
                self.refused_releases.lock().unwrap().push((Instant::now(), node));
            }
            return (503, json!({"error": "trouble"}));
        }
        match (request.method.as_str(), request.plain_path()) {
            ("GET", "/flavors") => {
                let flavors: Vec<Value> = self
                    .flavors
                    .iter()
                    .map(|flavor| {
                        json!({"sku": flavor.sku, "cores": flavor.cores, "cards": flavor.cards,
                            "mem_gb": flavor.mem_gb, "cache_gb": 400.0, "fetch_gb_per_s": 10.0, "rate": 14.0,
                            "low_price": 5.0, "startup_s": flavor.startup_s, "regions": flavor.regions})
                    })
                    .collect();
                (200, json!({"flavors": flavors}))
            }
            ("POST", "/hosts") => self.rent(&request.json()),
            ("POST", "/hosts/release") => {
                let body = request.json();
                let ids: Vec<&str> = body["hosts"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
                for id in &ids {
                    let machine = self.machines.lock().unwrap().get(*id).cloned();
                    if let Some(machine) = machine {
                        let mut machine = machine.lock().unwrap();
                        if machine.gone {
                            continue;
                        }
                        machine.gone = true;
                        let running = machine.tasks.iter().filter(|task| task.phase == "running");
                        let tasks: Vec<String> = running.map(|task| task.shard.clone()).collect();
                        self.record.line(&format!("cloud: controller {node} returned {id} with {tasks:?} running"));
                        self.releases.lock().unwrap().push(Release {
                            at: Instant::now(),
                            node,
                            host: (*id).into(),
                            tasks,
                        });
                        self.drop_tasks(&mut machine);
                    }
                }
                (200, json!({}))
            }
            ("GET", "/hosts") => {
                let from = request.query("from").unwrap_or_default();
                let most: usize = request.query("most").and_then(|most| most.parse().ok()).unwrap_or(500).min(500);
                let listed = self.listed.lock().unwrap();
                let at = Instant::now().checked_sub(self.list_lag).unwrap_or_else(Instant::now);
                let view = listed.iter().rev().find(|(seen, _)| *seen <= at).map(|(_, list)| list.clone());
                let all: Vec<Value> = view.unwrap_or_default();
                let after: Vec<Value> =
                    all.into_iter().filter(|host| host["id"].as_str().unwrap_or("") > from.as_str()).collect();
                let more = after.len() > most;
                (200, json!({"hosts": after.into_iter().take(most).collect::<Vec<_>>(), "more": more}))
            }
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn rent(self: &Arc<Fleet>, body: &Value) -> (u16, Value) {
        let (Some(rental), Some(sku), Some(region), Some(number)) =
            (body["rental"].as_str(), body["flavor"].as_str(), body["region"].as_str(), body["number"].as_u64())
        else {
            return (400, json!({"error": "malformed"}));
        };
        let Some(flavor) = self.flavors.iter().find(|flavor| flavor.sku == sku && flavor.regions.contains(&region))
        else {
            return (400, json!({"error": "malformed"}));
        };
        if number > 50 {
            return (400, json!({"error": "malformed"}));
        }
        let mut rentals = self.rentals.lock().unwrap();
        if let Some(hosts) = rentals.get(rental) {
            return (200, json!({"hosts": hosts}));
        }
        let mut hosts = Vec::new();
        for _ in 0..number {
            let machines = self.machines();
            let held = machines.iter().filter(|machine| {
                let machine = machine.lock().unwrap();
                !machine.gone && machine.flavor.sku == sku && machine.region == region
            });
            if held.count() >= flavor.capacity {
                break;
            }
            let boot = Duration::from_secs_f64(flavor.startup_s);
            hosts.push(self.add_machine(flavor.clone(), region, body["preemptible"] == true, boot));
        }
        if hosts.is_empty() {
            return (503, json!({"error": "no capacity"}));
        }
        self.record.line(&format!("cloud: rental {rental}: {hosts:?} of {sku}"));
        rentals.insert(rental.into(), hosts.clone());
        (200, json!({"hosts": hosts}))
    }

    /// Adds a machine that is up after `boot`.
    pub fn add_machine(self: &Arc<Fleet>, flavor: Flavor, region: &str, spot: bool, boot: Duration) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let mut machines = self.machines.lock().unwrap();
        let id = format!("host-{:06}", machines.len() + 1);
        let machine = Arc::new(Mutex::new(Machine {
            id: id.clone(),
            flavor,
            region: region.into(),
            spot,
            addr,
            rented: Instant::now(),
            up: false,
            gone: false,
            tenure: 1,
            serial: 0,
            fence: 0,
            session_renewed: Instant::now(),
            tasks: Vec::new(),
            images: HashMap::new(),
            changed: false,
        }));
        machines.insert(id.clone(), machine.clone());
        drop(machines);
        let fleet = self.clone();
        let commands = machine.clone();
        let on_command = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(boot);
            {
                let mut machine = machine.lock().unwrap();
                if machine.gone {
                    return;
                }
                machine.up = true;
                machine.session_renewed = Instant::now();
            }
            serve(listener, Arc::new(move |request| on_command.direct(&commands, request)));
            fleet.report_loop(&machine);
        });
        id
    }

    /// Answers a direct command.
    fn direct(&self, machine: &Mutex<Machine>, request: &Request) -> Option<(u16, Value)> {
        let mut machine = machine.lock().unwrap();
        if machine.gone {
            return None;
        }
        self.advance(&mut machine);
        match (request.method.as_str(), request.plain_path()) {
            ("GET", "/inspect") => Some((200, machine.report())),
            ("POST", "/do") => {
                let body = request.json();
                let (Some(fence), Some(tenure)) = (body["fence"].as_u64(), body["tenure"].as_u64()) else {
                    return Some((400, json!({"error": "missing"})));
                };
                if fence < machine.fence || tenure != machine.tenure {
                    return Some((409, machine.report()));
                }
                if fence > machine.fence {
                    machine.fence = fence;
                    machine.changed = true;
                }
                self.carry_out(&mut machine, &body["orders"]);
                Some((200, machine.report()))
            }
            _ => Some((404, Value::Null)),
        }
    }

    /// Carries out orders one after the other.
    fn carry_out(&self, machine: &mut Machine, orders: &Value) {
        for order in orders.as_array().into_iter().flatten() {
            let (Some(verb), Some(shard), Some(try_no)) =
                (order["verb"].as_str(), order["shard"].as_str(), order["try_no"].as_u64())
            else {
                continue;
            };
            match verb {
                "run" => self.run(machine, shard, try_no),
                "stop" => {
                    if let Some(task) =
                        machine.tasks.iter_mut().find(|task| task.shard == shard && task.try_no == try_no)
                        && task.phase != "ended"
                    {
                        let was_on = task.phase == "running";
                        (task.phase, task.reason, task.until) = ("ended", "halted", None);
                        machine.changed = true;
                        if was_on {
                            self.left(&machine.id, shard);
                        }
                    }
                }
                "reap" => machine
                    .tasks
                    .retain(|task| !(task.shard == shard && task.try_no == try_no && task.phase == "ended")),
                _ => {}
            }
        }
    }

    fn run(&self, machine: &mut Machine, shard: &str, try_no: u64) {
        if machine.tasks.iter().any(|task| task.shard == shard && task.try_no == try_no) {
            return;
        }
        machine.changed = true;
        let description = self.facts().jobs.get(job_of(shard)).cloned();
        let refused = |reason| Task { shard: shard.into(), try_no, phase: "ended", reason, until: None };
        let number = shard.split('/').nth(1).and_then(|number| number.parse::<u32>().ok());
        let Some(description) = description.filter(|job| number.is_some_and(|number| number < job.tasks)) else {
            machine.tasks.push(refused("no_such"));
            return;
        };
        if machine.tasks.iter().any(|task| task.shard == shard && task.phase != "ended") {
            machine.tasks.push(refused("in_use"));
            return;
        }
        let mut used = (0.0, 0.0, 0.0);
        let facts = self.facts();
        for task in machine.tasks.iter().filter(|task| task.phase != "ended") {
            if let Some(job) = facts.jobs.get(job_of(&task.shard)) {
                used = (used.0 + job.cores, used.1 + job.cards, used.2 + job.mem_gb);
            }
        }
        drop(facts);
        let flavor = &machine.flavor;
        if used.0 + description.cores > flavor.cores + 1e-6
            || used.1 + description.cards > flavor.cards + 1e-6
            || used.2 + description.mem_gb > flavor.mem_gb + 1e-6
        {
            machine.tasks.push(refused("no_room"));
            return;
        }
        let fetch = Duration::from_secs_f64(description.size_gb / 10.0);
        let ready = *machine.images.entry(description.bundle.clone()).or_insert_with(|| Instant::now() + fetch);
        let until = Some(ready);
        machine.tasks.push(Task { shard: shard.into(), try_no, phase: "fetching", reason: "", until });
        self.advance(machine);
    }

    /// Brings a machine up to the present: images that arrived, tasks that completed, a lease that ended.
    fn advance(&self, machine: &mut Machine) {
        let now = Instant::now();
        if now - machine.session_renewed > Duration::from_secs_f64(self.times.lease_s) {
            let tasks = machine.tasks.iter().filter(|task| task.phase != "ended").count();
            if tasks > 0 {
                self.record
                    .line(&format!("{}: lease of session {} ended, {tasks} tasks killed", machine.id, machine.tenure));
            }
            self.drop_tasks(machine);
            machine.tenure += 1;
            machine.session_renewed = now;
            machine.changed = true;
        }
        let mut facts = self.facts();
        for task in &mut machine.tasks {
            if task.phase == "fetching" && task.until.is_some_and(|until| until <= now) {
                let job = job_of(&task.shard).to_string();
                let Some(description) = facts.jobs.get(&job) else { continue };
                let run_s = Duration::from_secs_f64(description.run_s);
                task.until = (!description.service).then(|| task.until.unwrap_or(now).max(now) + run_s);
                task.phase = "running";
                machine.changed = true;
                *facts.started.entry(job).or_default() += 1;
                let on = facts.on.entry(task.shard.clone()).or_default();
                let elsewhere = on.iter().any(|host| *host != machine.id);
                on.insert(machine.id.clone());
                if elsewhere {
                    let hosts = format!("{} started on {} while on {on:?}", task.shard, machine.id);
                    self.record.line(&format!("ran_twice: {hosts}"));
                }
            }
            if task.phase == "running" && task.until.is_some_and(|until| until <= now) {
                (task.phase, task.reason, task.until) = ("ended", "done", None);
                machine.changed = true;
                if let Some(on) = facts.on.get_mut(&task.shard) {
                    on.remove(&machine.id);
                }
            }
        }
    }

    /// Kills and forgets all tasks of a machine.
    fn drop_tasks(&self, machine: &mut Machine) {
        let mut facts = self.facts();
        for task in std::mem::take(&mut machine.tasks) {
            if let Some(on) = facts.on.get_mut(&task.shard) {
                on.remove(&machine.id);
            }
        }
    }

    fn left(&self, host: &str, shard: &str) {
        if let Some(on) = self.facts().on.get_mut(shard) {
            on.remove(host);
        }
    }

    /// Sends the reports of a machine until it is gone.
    fn report_loop(&self, machine: &Mutex<Machine>) {
        let seed = machine.lock().unwrap().id.bytes().map(u64::from).sum::<u64>();
        let mut node = seed as usize % self.controllers.len();
        let mut turn = seed;
        loop {
            let sent = Instant::now();
            let (tenure, report) = {
                let mut machine = machine.lock().unwrap();
                if machine.gone {
                    return;
                }
                self.advance(&mut machine);
                machine.changed = false;
                (machine.tenure, machine.report())
            };
            let text = report.to_string();
            let answer = crate::http::call_text(
                self.controllers[node].1,
                "POST",
                "/agent/beat",
                &text,
                REPORT_TIMEOUT,
                REPORT_TIMEOUT,
            );
            match self.after_report(machine, &answer, tenure, sent) {
                Next::Stay => {}
                Next::Node(name) => match self.controllers.iter().position(|(known, _)| *known == name) {
                    Some(index) if index != node => {
                        node = index;
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    _ => {
                        node = (node + 1) % self.controllers.len();
                        std::thread::sleep(Duration::from_secs(1));
                        continue;
                    }
                },
                Next::Other => {
                    node = (node + 1) % self.controllers.len();
                    std::thread::sleep(Duration::from_secs(1));
                    continue;
                }
            }
            turn = turn.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let share = 0.75 + 0.5 * ((turn >> 33) % 1000) as f64 / 1000.0;
            let next = sent + Duration::from_secs_f64(self.times.report_s * share);
            let earliest = sent + Duration::from_millis(500);
            while Instant::now() < next {
                std::thread::sleep(Duration::from_millis(20));
                let mut machine = machine.lock().unwrap();
                if machine.gone {
                    return;
                }
                self.advance(&mut machine);
                if machine.changed && Instant::now() >= earliest {
                    break;
                }
            }
        }
    }

    fn after_report(
        &self,
        machine: &Mutex<Machine>,
        answer: &Result<Answer, CallError>,
        tenure: u64,
        sent: Instant,
    ) -> Next {
        let Ok(answer) = answer else { return Next::Other };
        match answer.status {
            200 => {
                let mut machine = machine.lock().unwrap();
                self.advance(&mut machine);
                let fence = answer.body["fence"].as_u64();
                if let Some(fence) = fence.filter(|fence| *fence >= machine.fence && tenure == machine.tenure) {
                    if fence > machine.fence {
                        machine.fence = fence;
                        machine.changed = true;
                    }
                    machine.session_renewed = machine.session_renewed.max(sent);
                    self.carry_out(&mut machine, &answer.body["orders"]);
                }
                Next::Stay
            }
            421 => match answer.body["reports_to"].as_str() {
                Some(name) => Next::Node(name.into()),
                None => Next::Other,
            },
            _ => Next::Other,
        }
    }
}

enum Next {
    Stay,
    Node(String),
    Other,
}

impl Machine {
    fn report(&mut self) -> Value {
        self.serial += 1;
        let shards: Vec<Value> = self
            .tasks
            .iter()
            .map(|task| {
                let mut shard = json!({"shard": task.shard, "try_no": task.try_no, "phase": task.phase});
                if task.phase == "ended" {
                    shard["exit_reason"] = task.reason.into();
                }
                shard
            })
            .collect();
        json!({"host": self.id, "addr": self.addr.to_string(), "flavor": self.flavor.sku, "region": self.region,
            "preemptible": self.spot, "tenure": self.tenure, "serial": self.serial, "fence": self.fence,
            "warning_s": null, "shards": shards})
    }

    /// Returns whether the machine is of this type, is up and has no task.
    pub fn has_room(&self, sku: &str) -> bool {
        self.flavor.sku == sku && self.up && !self.gone && self.tasks.iter().all(|task| task.phase == "ended")
    }
}
