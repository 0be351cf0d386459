//! Stand-ins written from the protocol: a state service, a cloud, workers and users, which
//! check the rules as things happen. [`Sim`] puts them and real controllers on one thread, in
//! simulated time, over a network in memory; the scale run uses them over loopback.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "the stand-ins are test code: a wrong assumption ends the run"
)]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

pub mod cloud;
pub mod deployment;
mod faults;
pub mod ground;
mod jobs;
pub mod machines;
pub mod net;
pub mod pause;
pub mod production_format;
mod settle;
pub mod state_service;
pub mod store;
pub mod users;
mod versions;
pub mod world;

pub use deployment::{NEXT_LIMITS, NODES, PRESENT_LIMITS, cloud_of, controller, doors, state_of};
pub use faults::RandomDay;
pub use ground::SimulationContext;

use crate::store::Limits;
use badgerdrift::control::node;
use badgerdrift::control::node::Subsystems;
use badgerdrift::runtime::{clock, task};
use badgerdrift::settings::OperatorSettings;
use badgerdrift::transport::http::{Client, Request};
use deployment::PORT;
use net::{Cut, SimulatedNetwork};
use pause::Pause;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use world::{BootFaults, Shared, SimulationState};

/// The time of day at which each simulated day begins.
const MORNING_MS: u64 = 1_800_000_000_000;

/// What may differ from day to day before it begins.
pub struct Setup {
    pub operator: OperatorSettings,
    /// What is switched on beside that.
    pub subsystems: Subsystems,
    /// The time of day stands still, as it did when the first seeds were hunted: their days
    /// stay what they were.
    pub time_of_day_stands: bool,
    /// The controllers are of the version in production until they are upgraded.
    pub production: bool,
    /// Workers keep models loaded.
    pub loads_models: bool,
    /// Cards that teams are guaranteed, and no cores, in place of their usual guarantees.
    pub guaranteed_cards: Vec<(&'static str, f64)>,
    /// Machines of a type, zone and kind that the cloud has, if not as many as usual.
    pub capacity: Option<usize>,
}

impl Setup {
    /// Nothing is rented for jobs that may come: what is rented is needed.
    pub fn without_headroom() -> Setup {
        let mut setup = Setup::default();
        setup.operator.headroom = 0.0;
        setup
    }
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            operator: OperatorSettings { idle_keep: 3.0, ..OperatorSettings::default() },
            subsystems: Subsystems::default(),
            time_of_day_stands: false,
            production: false,
            loads_models: false,
            guaranteed_cards: Vec::new(),
            capacity: None,
        }
    }
}

pub struct Sim {
    pub g: SimulationContext,
    /// Number of the process of each controller; none while it is down.
    lives: [Option<u64>; NODES],
    pauses: [Arc<Pause>; NODES],
    operator: OperatorSettings,
    subsystems: Subsystems,
    guaranteed_cards: Vec<(&'static str, f64)>,
    rng: StdRng,
    next_job: u32,
}

impl Sim {
    pub fn new(seed: u64, setup: Setup) -> Sim {
        clock::simulate_wall(MORNING_MS, !setup.time_of_day_stands);
        let network = SimulatedNetwork::new(seed ^ 0x5eed);
        let w: Shared = std::sync::Arc::new(std::sync::Mutex::new(SimulationState::new(seed, NODES)));
        let user = Client::on(&network.process(deployment::users()).0, 16);
        w.lock().unwrap().store.limits = Some(PRESENT_LIMITS);
        w.lock().unwrap().production = vec![setup.production; NODES];
        w.lock().unwrap().parameters.loads_models = setup.loads_models;
        if let Some(capacity) = setup.capacity {
            w.lock().unwrap().parameters.capacity = capacity;
        }
        let g = SimulationContext { seed, w, network, user, doors: doors(), real_network: None };
        for i in 0..NODES {
            g.serve(SocketAddr::new(state_of(i), PORT), move |g, req| state_service::state(g, i, req));
            g.serve(SocketAddr::new(cloud_of(i), PORT), cloud::cloud);
        }
        let ticks = g.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                ticks.w.lock().unwrap().tick();
            }
        });
        let mut sim = Sim {
            g,
            lives: [None; NODES],
            pauses: Default::default(),
            operator: setup.operator,
            subsystems: setup.subsystems,
            guaranteed_cards: setup.guaranteed_cards,
            rng: StdRng::seed_from_u64(seed ^ 0xda7),
            next_job: 0,
        };
        (0..NODES).for_each(|i| sim.start(i));
        sim
    }

    // ---- what can be done to the deployment ----

    /// Ends a controller; its memory is lost.
    pub fn kill(&mut self, node: usize) {
        if let Some(life) = self.lives[node].take() {
            self.g.log(format!("n{node} is killed"));
            self.g.network.kill(life);
            self.pauses[node].set(false);
        }
    }

    pub fn start(&mut self, node: usize) {
        if self.lives[node].is_none() {
            let (net, life) = self.g.network.process(controller(node));
            self.lives[node] = Some(life);
            let production = self.g.w.lock().unwrap().production[node];
            if production {
                self.g.network.speak_as_production(life);
            }
            self.g.log(format!("n{node} starts, of the version in production: {production}"));
            self.pauses[node] = Arc::default();
            let controller = {
                let settings = deployment::settings(node, &self.guaranteed_cards);
                node::run_on(net, settings, self.operator.clone(), self.subsystems.clone())
            };
            tokio::spawn(task::run_gated(self.pauses[node].clone(), controller));
        }
    }

    /// Ends a controller, which comes back with the version in production.
    pub fn kill_to_downgrade(&mut self, node: usize) {
        self.kill(node);
        self.g.w.lock().unwrap().production[node] = true;
    }

    /// Ends a controller, which comes back with this version.
    pub fn kill_to_upgrade(&mut self, node: usize) {
        self.kill(node);
        self.g.w.lock().unwrap().production[node] = false;
    }

    /// Pauses a controller's process, or lets it go on.
    pub fn pause(&self, node: usize, paused: bool) {
        self.g.log(format!("n{node} paused: {paused}"));
        self.pauses[node].set(paused);
    }

    pub fn state_down(&self, down: bool) {
        self.g.state_down(down);
    }

    /// Users ask about their jobs so many times as often as they usually do.
    pub fn poll_rate(&self, rate: f64) {
        self.g.log(format!("users poll {rate} times as often"));
        self.g.w.lock().unwrap().poll_rate = rate;
    }

    /// Of the machines that are rented from now on such shares never come up, or come up
    /// so many times later than usual.
    pub fn boot_faults(&self, faults: BootFaults) {
        self.g.log(format!("{faults:?}"));
        self.g.w.lock().unwrap().boot_faults = faults;
    }

    /// The state service takes what it does at first, or from now on what was announced.
    pub fn limit_state(&self, limits: Limits) {
        self.g.log(format!("the state service takes {} changes of {} bytes", limits.changes, limits.value_bytes));
        self.g.w.lock().unwrap().store.limits = Some(limits);
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
        self.g.network.cut(a, b, cut);
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
        if let Some(broken) = self.g.network.broken() {
            self.g.w.lock().unwrap().fail(broken);
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

    /// The controller that holds the jobs, as the state service knows it.
    pub fn leader(&self) -> Option<usize> {
        let key = Request { method: "GET".into(), path: "/store/part/0".into(), body: Vec::new() };
        let r = self.g.w.lock().unwrap().store.read(&key);
        let v: Value = serde_json::from_slice(&r.body).unwrap_or_default();
        v["data"]["holder"].as_str()?.strip_prefix('n')?.parse().ok()
    }
}
