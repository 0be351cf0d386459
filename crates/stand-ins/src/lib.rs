//! Simulated counterparts of the controllers, written from the protocol: a state service, a cloud,
//! workers and users. They check the rules of the service at each event. [`Sim`] runs them with real
//! controllers on one thread, in simulated time, over a network in memory; the load tool runs them
//! over loopback.

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
pub mod late_copies;
pub mod load_balancer;
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

/// Time of day, in milliseconds of the Unix epoch, at which each simulation begins.
const START_TIME_OF_DAY_MS: u64 = 1_800_000_000_000;

/// Options of a simulation.
pub struct Setup {
    /// Operators' settings of the controllers.
    pub operator: OperatorSettings,
    /// Optional subsystems that the controllers run.
    pub subsystems: Subsystems,
    /// Whether the time of day stands still. It did when the first seeds were recorded; with this
    /// option their runs are reproduced.
    pub time_of_day_stands: bool,
    /// Whether the controllers run as the version in production until they are upgraded.
    pub production: bool,
    /// Whether workers keep models loaded.
    pub loads_models: bool,
    /// Accelerators that teams are guaranteed, with no cores, in place of their usual guarantees.
    pub guaranteed_cards: Vec<(&'static str, f64)>,
    /// Number of machines that the cloud has of each combination of type, zone and spot or
    /// on-demand; `None` for the default.
    pub capacity: Option<usize>,
}

impl Setup {
    /// Returns options under which no machine is rented ahead of demand.
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

/// A simulated deployment: real controllers and simulated services on one thread.
pub struct Sim {
    pub context: SimulationContext,
    /// Process number of each controller; `None` while it is down.
    process_ids: [Option<u64>; NODES],
    pauses: [Arc<Pause>; NODES],
    operator: OperatorSettings,
    subsystems: Subsystems,
    guaranteed_cards: Vec<(&'static str, f64)>,
    rng: StdRng,
    next_job: u32,
}

impl Sim {
    /// Starts the simulated services and all controllers.
    pub fn new(seed: u64, setup: Setup) -> Sim {
        clock::simulate_wall(START_TIME_OF_DAY_MS, !setup.time_of_day_stands);
        let network = SimulatedNetwork::new(seed ^ 0x5eed);
        let world: Shared = std::sync::Arc::new(std::sync::Mutex::new(SimulationState::new(seed, NODES)));
        let user = Client::on(&network.process(deployment::users()).0, 16);
        world.lock().unwrap().store.limits = Some(PRESENT_LIMITS);
        world.lock().unwrap().production = vec![setup.production; NODES];
        world.lock().unwrap().parameters.loads_models = setup.loads_models;
        if let Some(capacity) = setup.capacity {
            world.lock().unwrap().parameters.capacity = capacity;
        }
        let context = SimulationContext { seed, world, network, user, doors: doors(), real_network: None };
        for i in 0..NODES {
            context
                .serve(SocketAddr::new(state_of(i), PORT), move |context, req| state_service::state(context, i, req));
            context.serve(SocketAddr::new(cloud_of(i), PORT), cloud::cloud);
        }
        let ticks = context.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(50)).await;
                ticks.world.lock().unwrap().tick();
            }
        });
        let mut sim = Sim {
            context,
            process_ids: [None; NODES],
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

    // ---- actions on the deployment ----

    /// Kills a controller; its memory is lost.
    pub fn kill(&mut self, node: usize) {
        if let Some(process_id) = self.process_ids[node].take() {
            self.context.log(format!("n{node} is killed"));
            self.context.network.kill(process_id);
            self.pauses[node].set(false);
        }
    }

    /// Starts a controller unless it runs.
    pub fn start(&mut self, node: usize) {
        if self.process_ids[node].is_none() {
            let (net, process_id) = self.context.network.process(controller(node));
            self.process_ids[node] = Some(process_id);
            let production = self.context.world.lock().unwrap().production[node];
            if production {
                self.context.network.use_production_format(process_id);
            }
            self.context.log(format!("n{node} starts, version in production: {production}"));
            self.pauses[node] = Arc::default();
            let controller = {
                let settings = deployment::settings(node, &self.guaranteed_cards);
                node::run_on(net, settings, self.operator.clone(), self.subsystems.clone())
            };
            tokio::spawn(task::run_gated(self.pauses[node].clone(), controller));
            late_copies::repeat_answered_commands(&self.context, None);
        }
    }

    /// Kills a controller; its next start is with the version in production.
    pub fn kill_to_downgrade(&mut self, node: usize) {
        self.kill(node);
        self.context.world.lock().unwrap().production[node] = true;
    }

    /// Kills a controller; its next start is with this version.
    pub fn kill_to_upgrade(&mut self, node: usize) {
        self.kill(node);
        self.context.world.lock().unwrap().production[node] = false;
    }

    /// Pauses or resumes a controller's process.
    pub fn pause(&self, node: usize, paused: bool) {
        self.context.log(format!("n{node} paused: {paused}"));
        self.pauses[node].set(paused);
    }

    /// Begins or ends an outage of the state service.
    pub fn state_down(&self, down: bool) {
        self.context.state_down(down);
    }

    /// Sets how often users poll their jobs, as a multiple of the default rate.
    pub fn poll_rate(&self, rate: f64) {
        self.context.log(format!("poll rate of users: {rate} times the default"));
        self.context.world.lock().unwrap().poll_rate = rate;
    }

    /// Sets the boot faults of machines that are rented from now on.
    pub fn boot_faults(&self, faults: BootFaults) {
        self.context.log(format!("{faults:?}"));
        self.context.world.lock().unwrap().boot_faults = faults;
    }

    /// Sets the limits of the state service, effective at once.
    pub fn limit_state(&self, limits: Limits) {
        self.context
            .log(format!("limits of the state service: {} changes of {} bytes", limits.changes, limits.value_bytes));
        self.context.world.lock().unwrap().store.limits = Some(limits);
    }

    /// Sets whether the state service answers every request of this node with 503.
    pub fn refuse_state(&self, node: usize, refused: bool) {
        self.context.refuse_state(node, refused);
    }

    /// Sets the share of writes to the state service that get no answer and are carried out late.
    pub fn late_writes(&self, share: f64) {
        self.context.world.lock().unwrap().late_writes = share;
    }

    /// Sets the share of writes to the state service that are carried out but get no answer.
    pub fn lost_answers(&self, share: f64) {
        self.context.world.lock().unwrap().lost_answers = share;
    }

    /// Sets the share of worker reports of which copies arrive late.
    pub fn late_reports(&self, share: f64) {
        self.context.world.lock().unwrap().late_reports = share;
    }

    /// Sets the share of direct commands that arrive once more after they were carried out and answered. While it is
    /// above 0, the answered commands of all machines are also repeated when a controller starts.
    pub fn repeated_commands(&self, share: f64) {
        self.context.world.lock().unwrap().repeated_commands = share;
    }

    /// Keeps copies of all reports and delivers them to every controller when the next leader begins.
    pub fn keep_reports(&self) {
        self.context.world.lock().unwrap().keeping = true;
    }

    /// Cuts the connections between two hosts; `None` ends the cut.
    pub fn cut(&self, a: IpAddr, b: IpAddr, cut: Option<Cut>) {
        self.context.network.cut(a, b, cut);
    }

    // ---- progress and queries ----

    /// Runs the simulation for `time`. Panics at the first broken rule.
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

    /// Panics with the recent history if a rule is broken or a simulated service failed.
    pub fn check(&self) {
        if let Some(broken) = self.context.network.broken() {
            self.context.world.lock().unwrap().fail(broken);
        }
        let world = self.context.world.lock().unwrap();
        if let Some(rule) = world.service_failure.clone().or_else(|| world.broken.clone()) {
            let text = format!("seed {}: {rule}\n{}", self.context.seed, world.recent(&rule));
            drop(world);
            panic!("{text}");
        }
    }

    /// Runs the simulation until `holds` returns true. Panics after `most`, or at a broken rule.
    pub async fn until(&self, what: &str, most: Duration, holds: impl Fn(&SimulationState) -> bool) {
        let end = Instant::now() + most;
        while !holds(&self.context.world.lock().unwrap()) {
            if Instant::now() >= end {
                let world = self.context.world.lock().unwrap();
                let text =
                    format!("seed {}: not reached within {most:?}: {what}\n{}", self.context.seed, world.recent(what));
                drop(world);
                panic!("{text}");
            }
            self.run(Duration::from_millis(100)).await;
        }
    }

    /// Returns the node that owns partition 0 according to the state service, if one does.
    pub fn leader(&self) -> Option<usize> {
        let key = Request { method: "GET".into(), path: "/store/part/0".into(), body: Vec::new() };
        let response = self.context.world.lock().unwrap().store.read(&key);
        let record: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        record["data"]["holder"].as_str()?.strip_prefix('n')?.parse().ok()
    }
}
