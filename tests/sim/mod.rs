//! Simulated days: real controllers, and scripted workers, users, cloud and
//! state service, on one thread, in simulated time, over a network in memory.

mod faults;
mod machines;
pub mod net;
mod users;
pub mod world;

use badgerdrift::config::{Operator, Settings};
use badgerdrift::http::{self, Client, Request, Response};
use badgerdrift::net::Net;
use badgerdrift::node;
use net::{Cut, Fabric};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use world::{FLAVORS, Job, Shared, SimulationState, TEAMS, ZONES, secs};

pub const NODES: usize = 3;
const PATIENCE: Duration = Duration::from_secs(60);

fn host(net: u8, n: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, net, n as u8 + 1))
}

/// A controller's host, and the state service and the cloud as it knows them:
/// each controller has addresses of its own for these, so that they know who asks.
pub fn controller(i: usize) -> IpAddr {
    host(0, i)
}
pub fn state_of(i: usize) -> IpAddr {
    host(1, i)
}
pub fn cloud_of(i: usize) -> IpAddr {
    host(2, i)
}
fn users() -> IpAddr {
    host(3, 0)
}

pub fn door(i: usize) -> SocketAddr {
    SocketAddr::new(controller(i), 80)
}

fn settings(i: usize) -> Settings {
    let mut text = format!(
        "node = \"n{i}\"\nsite = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}:81\"\n",
        ZONES[i % ZONES.len()],
        door(i),
        controller(i)
    );
    for j in (0..NODES).filter(|j| *j != i) {
        let site = ZONES[j % ZONES.len()];
        text += &format!("[[seeds]]\nnode = \"n{j}\"\nsite = \"{site}\"\nendpoint = \"{}:81\"\n", controller(j));
    }
    text += &format!("[endpoints]\ncloud = \"{}:80\"\nstate = \"{}:80\"\n", cloud_of(i), state_of(i));
    text += "[params]\nzones = [\"a\", \"b\"]\n";
    for (name, cores, cards) in TEAMS {
        text += &format!("[[params.teams]]\nname = \"{name}\"\ncpus = {0}\ncpus_max = {cores}\n", cores / 2.0);
        text += &format!("gpus = {}\ngpus_max = {cards}\n", cards / 2.0);
    }
    text += &format!(
        "[params.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
        world::REPORT_S,
        world::LEASE_S,
        world::GANG_WAIT_S,
        world::GANG_PEER_S,
        world::CANCEL_S
    );
    text += "[params.state]\nrps = 500.0\nwrite_rps = 100.0\nvalue_kb = 8.0\ntxn_ops = 12\n";
    text += &format!("[params.cloud]\nrps = 20.0\nlist_lag_s = {:?}\n", world::LIST_LAG_S);
    text += "[params.limits]\nmax_sockets = 400\n";
    toml::from_str(&text).unwrap()
}

/// What every part of a simulated day works with.
#[derive(Clone)]
pub struct SimulationContext {
    pub seed: u64,
    pub w: Shared,
    pub fabric: Fabric,
    pub user: Client,
}

pub struct Sim {
    pub g: SimulationContext,
    /// Number of the process of each controller; none while it is down.
    lives: [Option<u64>; NODES],
    rng: StdRng,
    next_job: u32,
}

/// The order of every hash map, and what tokio chooses at random, comes from
/// what the standard library asks the system for once in each thread. Here it is
/// always the same, so that a seed is a day that can be run again.
#[unsafe(no_mangle)]
extern "C" fn getrandom(buf: *mut u8, len: usize, _flags: u32) -> isize {
    // SAFETY: the caller hands over a buffer of this length.
    unsafe { std::ptr::write_bytes(buf, 0x5a, len) };
    len as isize
}

/// Runs one scripted day in simulated time, on a thread of its own.
pub fn simulate<F: Future<Output = ()>>(seed: u64, day: impl FnOnce(Sim) -> F + Send) {
    if std::env::var_os("BADGERDRIFT_TRACE").is_some() {
        let _ = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG).with_ansi(false).try_init();
    }
    let run = || {
        let rt = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        rt.block_on(async { day(Sim::new(seed)).await });
    };
    let ended = std::thread::scope(|s| s.spawn(run).join());
    if let Err(panic) = ended {
        std::panic::resume_unwind(panic);
    }
}

/// The seeds to run: these, or the one that the environment names.
pub fn seeds(fixed: impl IntoIterator<Item = u64>) -> Vec<u64> {
    match std::env::var("BADGERDRIFT_SEED") {
        Ok(s) => s.split(',').map(|s| s.trim().parse().expect("BADGERDRIFT_SEED is a number")).collect(),
        Err(_) => fixed.into_iter().collect(),
    }
}

impl Sim {
    pub fn new(seed: u64) -> Sim {
        let fabric = Fabric::new(seed ^ 0x5eed);
        let w: Shared = std::sync::Arc::new(std::sync::Mutex::new(SimulationState::new(seed, NODES)));
        let user = Client::on(&fabric.process(users()).0, 16);
        let g = SimulationContext { seed, w, fabric, user };
        for i in 0..NODES {
            g.serve(state_of(i), move |g, req| state(g, i, req));
            g.serve(cloud_of(i), cloud);
        }
        let ticks = g.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                ticks.w.lock().unwrap().tick();
            }
        });
        let mut sim = Sim { g, lives: [None; NODES], rng: StdRng::seed_from_u64(seed ^ 0xda7), next_job: 0 };
        (0..NODES).for_each(|i| sim.start(i));
        sim
    }

    // ---- what can be done to the deployment ----

    /// Ends a controller; its memory is lost.
    pub fn kill(&mut self, node: usize) {
        if let Some(life) = self.lives[node].take() {
            self.g.log(format!("n{node} is killed"));
            self.g.fabric.kill(life);
        }
    }

    pub fn start(&mut self, node: usize) {
        if self.lives[node].is_none() {
            let (net, life) = self.g.fabric.process(controller(node));
            self.lives[node] = Some(life);
            self.g.log(format!("n{node} starts"));
            let operator = Operator { idle_keep: 3.0, ..Operator::default() };
            tokio::spawn(node::run_on(net, settings(node), operator));
        }
    }

    pub fn state_down(&self, down: bool) {
        self.g.state_down(down);
    }

    /// The state service answers this node with 503 only.
    pub fn refuse_state(&self, node: usize, refused: bool) {
        self.g.refuse_state(node, refused);
    }

    pub fn late_writes(&self, share: f64) {
        self.g.w.lock().unwrap().late_writes = share;
    }

    pub fn lost_answers(&self, share: f64) {
        self.g.w.lock().unwrap().lost_answers = share;
    }

    pub fn late_reports(&self, share: f64) {
        self.g.w.lock().unwrap().late_reports = share;
    }

    /// Keeps copies of all reports; every controller gets them as the next leader begins.
    pub fn keep_reports(&self) {
        self.g.w.lock().unwrap().keeping = true;
    }

    pub fn cut(&self, a: IpAddr, b: IpAddr, cut: Option<Cut>) {
        self.g.fabric.cut(a, b, cut);
    }

    // ---- what can be asked ----

    /// Lets time pass; stops at the first rule that is broken.
    pub async fn run(&self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            self.check();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(Duration::from_millis(100))).await;
        }
    }

    pub fn check(&self) {
        if let Some(storm) = self.g.fabric.storm() {
            self.g.w.lock().unwrap().fail(storm);
        }
        let w = self.g.w.lock().unwrap();
        if let Some(b) = w.broken.clone() {
            let text = format!("seed {}: {b}\n{}", self.g.seed, w.recent(&b));
            drop(w);
            panic!("{text}");
        }
    }

    /// Lets time pass until something holds.
    pub async fn until(&self, what: &str, most: Duration, holds: impl Fn(&SimulationState) -> bool) {
        let end = Instant::now() + most;
        while !holds(&self.g.w.lock().unwrap()) {
            if Instant::now() >= end {
                let w = self.g.w.lock().unwrap();
                let text = format!("seed {}: not in {most:?}: {what}\n{}", self.g.seed, w.recent(what));
                drop(w);
                panic!("{text}");
            }
            self.run(Duration::from_millis(100)).await;
        }
    }

    /// A job under the next id.
    pub fn job(&mut self, shape: &'static str, shards: u32) -> Job {
        self.next_job += 1;
        Job::new(&format!("run-{:06}", self.next_job), shape, shards)
    }

    pub fn random_job(&mut self) -> Job {
        self.next_job += 1;
        Job::random(&format!("run-{:06}", self.next_job), &mut self.rng)
    }

    /// A user submits this and polls for it from now on.
    pub fn submit(&mut self, job: Job) -> String {
        let id = job.id.clone();
        self.g.w.lock().unwrap().jobs.insert(id.clone(), job);
        tokio::spawn(users::user(self.g.clone(), id.clone(), self.rng.random()));
        id
    }

    /// Its user asks to cancel it, at these nodes in turn, until that is confirmed.
    pub fn cancel(&mut self, id: &str, nodes: &[usize]) {
        tokio::spawn(users::cancel(self.g.clone(), id.into(), nodes.to_vec(), self.rng.random()));
    }

    /// The same a while after now, or once the job is accepted.
    pub fn cancel_later(&mut self, id: &str, after: Duration) {
        let (g, id, seed) = (self.g.clone(), id.to_string(), self.rng.random());
        tokio::spawn(async move {
            sleep(after).await;
            while g.w.lock().unwrap().jobs[&id].accepted.is_none() {
                sleep(secs(0.1)).await;
            }
            users::cancel(g, id, (0..NODES).collect(), seed).await;
        });
    }

    /// The user repeats the submission at all nodes at once.
    pub fn submit_again(&self, id: &str) {
        users::submit_again(&self.g, id);
    }

    /// The user asks at all nodes at once.
    pub fn ask_all(&self, id: &str) {
        users::ask_all(&self.g, id);
    }

    /// The controller that holds the jobs, as the state service knows it.
    pub fn leader(&self) -> Option<usize> {
        let key = Request { method: "GET".into(), path: "/store/part/0".into(), body: Vec::new() };
        let r = self.g.w.lock().unwrap().store.read(&key);
        let v: Value = serde_json::from_slice(&r.body).unwrap_or_default();
        v["data"]["holder"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// All faults are over: within a bounded time everything is done.
    pub async fn settle(&mut self) {
        self.g.log("all troubles end".into());
        self.state_down(false);
        for i in 0..NODES {
            self.refuse_state(i, false);
            self.start(i);
        }
        {
            let mut w = self.g.w.lock().unwrap();
            (w.late_writes, w.lost_answers, w.late_reports, w.cloud_down) = (0.0, 0.0, 0.0, false);
        }
        self.g.fabric.mend();
        let over = Instant::now();
        let mut rounds = 0;
        loop {
            self.run(Duration::from_secs(2)).await;
            let open = self.g.w.lock().unwrap().unsettled();
            if open.is_empty() {
                break;
            }
            rounds += 1;
            // Services may take up a team's limit, each with a part of its replicas:
            // those that run have done so by now, and the first of the others goes too.
            if rounds % 20 == 0 {
                let services: Vec<String> = {
                    let w = self.g.w.lock().unwrap();
                    let open = w.jobs.values().filter(|j| j.accepted.is_some() && !j.over() && !j.cancel_asked);
                    open.filter(|j| j.shape == "service").map(|j| j.id.clone()).collect()
                };
                let (waiting, run): (Vec<String>, Vec<String>) =
                    services.into_iter().partition(|id| open.iter().any(|o| o.starts_with(id.as_str())));
                for id in run.iter().chain(waiting.first()) {
                    self.cancel(id, &[0, 1, 2]);
                }
            }
            if over.elapsed() > Duration::from_secs(240) {
                let w = self.g.w.lock().unwrap();
                let text = format!("seed {}: unfinished: {open:#?}\n{}", self.g.seed, w.recent(&open[0]));
                drop(w);
                panic!("{text}");
            }
        }
        // Every accepted job is still known, and answered.
        let asked = Instant::now();
        let known: Vec<String> =
            self.g.w.lock().unwrap().jobs.values().filter(|j| j.accepted.is_some()).map(|j| j.id.clone()).collect();
        for id in &known {
            self.run(Duration::from_millis(50)).await;
            self.ask_all(id);
        }
        self.until("every job is answered", Duration::from_secs(75), |w| {
            known.iter().all(|id| w.jobs[id].answered.is_some_and(|a| a > asked))
        })
        .await;
        self.run(Duration::from_secs(1)).await;
        let w = self.g.w.lock().unwrap();
        println!("seed {}: {}", self.g.seed, w.summary());
        if std::env::var_os("BADGERDRIFT_HISTORY").is_some() {
            w.history.iter().for_each(|h| println!("{h}"));
        }
        let nothing = !known.is_empty() && w.starts == 0;
        drop(w);
        assert!(!nothing, "seed {}: nothing ran", self.g.seed);
    }
}

impl SimulationContext {
    pub fn log(&self, what: String) {
        self.w.lock().unwrap().log(what);
    }

    pub fn state_down(&self, down: bool) {
        self.log(format!("state service down: {down}"));
        self.w.lock().unwrap().store.set_down(down);
    }

    pub fn refuse_state(&self, node: usize, refused: bool) {
        self.log(format!("state service refuses n{node}: {refused}"));
        self.w.lock().unwrap().refused[node] = refused;
    }

    /// Serves port 80 of a host.
    fn serve<F>(&self, at: IpAddr, handler: impl Fn(SimulationContext, Request) -> F + Send + Sync + 'static)
    where
        F: Future<Output = Response> + Send + 'static,
    {
        let (g, net) = (self.clone(), self.fabric.process(at).0);
        tokio::spawn(async move {
            let listener = net.bind(SocketAddr::new(at, 80)).await.unwrap();
            http::serve(listener, 500, PATIENCE, move |req| handler(g.clone(), req)).await;
        });
    }

    pub fn process(&self, at: IpAddr) -> (Net, u64) {
        self.fabric.process(at)
    }
}

/// The state service, as one of the controllers sees it.
async fn state(g: SimulationContext, node: usize, req: Request) -> Response {
    let down = |g: &SimulationContext| {
        let w = g.w.lock().unwrap();
        w.store.down || w.refused[node]
    };
    // A storm is told, and ends here: it must not keep the clock from going on.
    if !g.w.lock().unwrap().may_ask(node) {
        return std::future::pending().await;
    }
    if down(&g) {
        return Response::error(503, "trouble");
    }
    if req.path.starts_with("/changes") {
        let q = crate::store::query(&req.path);
        let until = Instant::now() + Duration::from_millis(q["hold_ms"].parse().unwrap());
        loop {
            if !down(&g)
                && let Some(r) = g.w.lock().unwrap().store.changes(&q, Instant::now() > until)
            {
                return r;
            }
            sleep(Duration::from_millis(25)).await;
        }
    }
    let (lag, late, lost) = {
        let mut w = g.w.lock().unwrap();
        let (late, lost) = (w.late_writes, w.lost_answers);
        let slow = w.rng.random_bool(0.01);
        let lag = w.rng.random_range(if slow { 50..300 } else { 1..8 });
        let writes = req.method != "GET";
        let late = (writes && w.rng.random_bool(late)).then(|| w.rng.random_range(2.0..12.0));
        (Duration::from_millis(lag), late, writes && w.rng.random_bool(lost))
    };
    sleep(lag).await;
    if let Some(late) = late {
        sleep(secs(late)).await;
        while g.w.lock().unwrap().store.down {
            sleep(Duration::from_millis(100)).await;
        }
        g.log(format!("late by {late:.1} s for n{node}: {} {}", req.method, req.path));
    } else if down(&g) {
        return Response::error(503, "trouble");
    }
    let (r, claimed) = {
        let mut w = g.w.lock().unwrap();
        let before = w.store.claims;
        let r = w.store.handle(&req);
        (r, w.store.claims > before)
    };
    if claimed {
        g.log(format!("n{node} begins to lead"));
        machines::release_kept(&g);
    }
    if late.is_some() || lost {
        g.log(format!("no answer for n{node}: {} {} was {}", req.method, req.path, r.status));
        sleep(PATIENCE).await;
    }
    r
}

async fn cloud(g: SimulationContext, req: Request) -> Response {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let lag = g.w.lock().unwrap().rng.random_range(5..80);
    sleep(Duration::from_millis(lag)).await;
    if g.w.lock().unwrap().cloud_down {
        return Response::error(503, "trouble");
    }
    match (req.method.as_str(), req.path.split('?').next().unwrap()) {
        ("GET", "/flavors") => {
            let all: Vec<Value> = FLAVORS
                .iter()
                .map(|f| {
                    json!({"sku": f.sku, "cores": f.cores, "cards": f.cards, "mem_gb": f.mem_gb, "cache_gb": 50.0,
                        "fetch_gb_per_s": 1.0, "rate": 1.0 + f.cards, "low_price": 0.4 + 0.4 * f.cards,
                        "startup_s": f.startup_s, "regions": ZONES})
                })
                .collect();
            Response::json(200, &json!({"flavors": all}))
        }
        ("GET", _) => {
            let q = crate::store::query(&req.path);
            let from = q.get("from").cloned().unwrap_or_default();
            let most = q.get("most").and_then(|m| m.parse().ok()).unwrap_or(500);
            Response::json(200, &g.w.lock().unwrap().list(&from, most))
        }
        (_, "/hosts") => {
            let (all, new) = g.w.lock().unwrap().rent(&body);
            new.into_iter().for_each(|id| machines::boot(&g, id));
            match all {
                Some(hosts) => Response::json(200, &json!({"hosts": hosts})),
                None => Response::error(503, "no capacity"),
            }
        }
        _ => {
            for id in body["hosts"].as_array().unwrap().iter().filter_map(Value::as_str) {
                machines::remove(&g, id, "is released");
            }
            Response::json(200, &json!({}))
        }
    }
}
