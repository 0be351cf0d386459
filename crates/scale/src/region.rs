//! Process of one region, with its simulated services, its workload, and its real controllers as child
//! processes.

use crate::borrow;
use crate::bound_process;
use crate::burst;
use crate::configuration;
use crate::controllers::{Controllers, LIST_LAG_S};
use crate::counting::{Traffic, counting};
use crate::faults::{self, FaultTargets};
use crate::links::Links;
use crate::names::{leak, team_name};
use crate::plan::{RegionMessage, RegionPlan};
use crate::relays::{self, Cuts};
use crate::results::{RegionResult, Role, ServiceTraffic};
use crate::samples::Sampler;
use crate::soak::{self, SoakRun};
use crate::workload;
use badgerdrift::transport::http::Client;
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::net::SimulatedNetwork;
use badgerdrift_stand_ins::store::Limits;
use badgerdrift_stand_ins::world::{Flavor, Parameters, SimulationState, TeamLimit};
use badgerdrift_stand_ins::{cloud, state_service};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader, Lines, Stdin};
use tokio::sync::Mutex;
use tokio::time::{Instant, interval};

/// Interval at which the simulation applies events that are due.
const TICK: Duration = Duration::from_millis(50);
/// Interval at which processes are sampled.
const SAMPLE: Duration = Duration::from_secs(1);
/// Bytes in a KiB.
const KIB: f64 = 1024.0;
/// Number of idle connections that the users keep.
const USER_CONNECTIONS: usize = 16;

/// Runs the region whose plan is the first line of standard input, until its duration is over or the input
/// ends, which means that the parent process is gone.
pub async fn serve() {
    if let Err(error) = bound_process::end_with_parent() {
        return say(&RegionMessage::Failed(error.to_string()));
    }
    // The parent is alive after that, as long as it sends the plan.
    let mut input = BufReader::new(tokio::io::stdin()).lines();
    let plan = match input.next_line().await {
        Ok(Some(line)) => serde_json::from_str::<RegionPlan>(&line).map_err(|error| error.to_string()),
        _ => return,
    };
    let message = match plan {
        Ok(plan) => match run(plan, input).await {
            Ok(Some(result)) => RegionMessage::Result(Box::new(result)),
            Ok(None) => return,
            Err(error) => RegionMessage::Failed(error),
        },
        Err(error) => RegionMessage::Failed(error),
    };
    say(&message);
}

/// Makes a panic in any task end the run with its message.
fn fail_on_panic(region: String) {
    std::panic::set_hook(Box::new(move |panic| say(&RegionMessage::Failed(format!("{region}: {panic}")))));
}

fn say(message: &RegionMessage) {
    if let Ok(line) = serde_json::to_string(message) {
        println!("{line}");
    }
}

/// Traffic of a region's networks.
#[derive(Default)]
struct RegionTraffic {
    workers: Arc<Traffic>,
    state: Arc<Traffic>,
    cloud: Arc<Traffic>,
    users: Arc<Traffic>,
}

/// Runs the region. Returns `None` if the run was given up because the input ended.
async fn run(plan: RegionPlan, mut input: Lines<BufReader<Stdin>>) -> Result<Option<RegionResult>, String> {
    fail_on_panic(plan.name());
    let traffic = RegionTraffic::default();
    let context = start_stand_ins(&plan, &traffic);
    let controllers = Controllers::start(&plan).map_err(|error| format!("start of a controller failed: {error}"))?;
    let controllers = Arc::new(Mutex::new(controllers));
    let cuts = Cuts::new(plan.scenario.regions);
    relays::start(&plan, &cuts).await?;
    let links = match plan.scenario.soak {
        Some(_) => Some(Links::start(&plan).await?),
        None => None,
    };
    workload::start(&context, &plan);
    // The relays end once all copies of `cuts` are dropped.
    let targets = FaultTargets { context: context.clone(), controllers: controllers.clone(), cuts };
    faults::start(&targets, &plan);
    let soak = soak::start(&targets, links, &plan);
    let configuration = configuration::start(&context, &plan);
    let burst = burst::start(&context, &plan);
    let borrow = borrow::start(&context, &plan);

    let mut measurement = Measurement::new(&plan, context, controllers.clone(), soak);
    let measured = tokio::select! {
        measured = measurement.take() => measured.map(Some),
        () = until_closed(&mut input) => Ok(None),
    };
    let mut result = None;
    if let Ok(Some(())) = measured {
        let found = result.insert(measurement.finish(&traffic));
        (found.changes, found.applied_at_ms) = configuration.take();
        found.burst = burst.finish(&plan).await;
        found.borrow = borrow.finish();
    }
    controllers.lock().await.kill_all().await.map_err(|error| error.to_string())?;
    measured.map(|_| result)
}

/// Waits until the input ends.
async fn until_closed(input: &mut Lines<BufReader<Stdin>>) {
    while matches!(input.next_line().await, Ok(Some(_))) {}
}

/// Starts the state service and the cloud, each at one address per controller.
fn start_stand_ins(plan: &RegionPlan, traffic: &RegionTraffic) -> SimulationContext {
    let count = plan.scenario.controllers_per_region;
    let seed = plan.seed.wrapping_add(plan.region as u64);
    let mut world = SimulationState::of(parameters(plan), seed, count);
    let state = &plan.scenario.state;
    world.store.limits = Some(Limits {
        value_bytes: (state.value_kb * KIB) as usize,
        changes: state.txn_ops,
        changes_per_s: state.write_rps,
    });
    let user_network = counting(traffic.users.clone());
    let workers = SimulationContext {
        seed,
        world: Arc::new(std::sync::Mutex::new(world)),
        network: SimulatedNetwork::new(seed),
        user: Client::on(&user_network, USER_CONNECTIONS),
        doors: (0..count).map(|number| door(plan, number)).collect(),
        real_network: Some(counting(traffic.workers.clone())),
    };
    let on =
        |traffic: &Arc<Traffic>| SimulationContext { real_network: Some(counting(traffic.clone())), ..workers.clone() };
    let (state, clouds) = (on(&traffic.state), on(&traffic.cloud));
    for number in 0..count {
        state.serve(plan.networks().state_service(number), move |context, request| {
            state_service::state(context, number, request)
        });
        // Rented machines use the workers' network, whose traffic is counted apart.
        let workers = workers.clone();
        clouds.serve(plan.networks().cloud(number), move |_, request| cloud::cloud(workers.clone(), request));
    }
    workers
}

/// Returns the address at which users and workers reach a controller.
fn door(plan: &RegionPlan, controller: usize) -> SocketAddr {
    match plan.scenario.soak {
        Some(_) => plan.networks().door_link(controller),
        None => plan.networks().controller(controller),
    }
}

fn parameters(plan: &RegionPlan) -> Parameters {
    let (scenario, machine, worker) = (&plan.scenario, &plan.scenario.machine, &plan.scenario.worker);
    let limit = |most: f64| if most > 0.0 { plan.part(most) } else { f64::INFINITY };
    let teams = (0..scenario.teams.count).map(|team| TeamLimit {
        team: leak(team_name(team)),
        cores: limit(scenario.teams.most_cores),
        cards: limit(scenario.teams.most_cards),
    });
    let flavor = Flavor {
        sku: "standard",
        cores: machine.cores,
        cards: machine.cards,
        mem_gb: machine.mem_gb,
        startup_s: machine.startup_s,
    };
    Parameters {
        report_s: worker.report_s,
        lease_s: worker.lease_s,
        gang_wait_s: worker.gang_wait_s,
        gang_peer_s: worker.gang_peer_s,
        list_lag_s: LIST_LAG_S,
        zones: plan.zones().into_iter().map(leak).collect(),
        teams: teams.collect(),
        flavors: vec![Box::leak(Box::new(flavor))],
        capacity: plan.part(scenario.workers as f64 / scenario.zones_per_region as f64).round() as usize,
        fetch_s: worker.fetch_s,
        load_s: worker.load_s,
        loads_models: scenario.warm_pool.is_some(),
        machine_network: plan.networks().machines(),
        tick_every: TICK,
        state_requests_per_s: Some(scenario.state.rps),
    }
}

/// Measurements taken while a region runs.
struct Measurement {
    began: Instant,
    duration: Duration,
    warm_up: Duration,
    context: SimulationContext,
    controllers: Arc<Mutex<Controllers>>,
    sampler: Sampler,
    soak: Option<SoakRun>,
    starts_before: u64,
    result: RegionResult,
}

impl Measurement {
    fn new(
        plan: &RegionPlan,
        context: SimulationContext,
        controllers: Arc<Mutex<Controllers>>,
        soak: Option<SoakRun>,
    ) -> Measurement {
        Measurement {
            began: Instant::now(),
            duration: Duration::from_secs_f64(plan.scenario.duration_s),
            warm_up: Duration::from_secs_f64(plan.scenario.warm_up_s),
            context,
            controllers,
            sampler: Sampler::new(),
            soak,
            starts_before: 0,
            result: RegionResult { region: plan.name(), ..RegionResult::default() },
        }
    }

    /// Drives the simulation and samples it until the run is over.
    ///
    /// # Errors
    ///
    /// A simulated service has failed or a controller has ended by itself, so that the run shows nothing about the
    /// rules.
    async fn take(&mut self) -> Result<(), String> {
        let mut ticks = interval(TICK);
        let mut samples = interval(SAMPLE);
        while !self.is_over() {
            tokio::select! {
                _ = ticks.tick() => self.context.world.lock().unwrap().tick(),
                _ = samples.tick() => self.sample().await?,
            }
        }
        self.check_processes().await
    }

    fn is_over(&self) -> bool {
        let soaked = self.soak.as_ref().is_some_and(SoakRun::is_finished);
        soaked || self.began.elapsed() >= self.duration || self.context.world.lock().unwrap().broken.is_some()
    }

    async fn sample(&mut self) -> Result<(), String> {
        self.check_processes().await?;
        self.sample_processes().await;
        self.sample_world();
        let elapsed_s = self.began.elapsed().as_secs_f64();
        say(&RegionMessage::Progress { elapsed_s, starts: self.starts_before, workers: self.result.workers });
        Ok(())
    }

    /// Returns an error if a simulated service has failed or a controller has ended by itself.
    async fn check_processes(&mut self) -> Result<(), String> {
        let service_failure = self.context.world.lock().unwrap().service_failure.clone();
        let ended = self.controllers.lock().await.ended();
        self.result.controllers_ended += usize::from(ended.is_some());
        service_failure.or(ended).map_or(Ok(()), Err)
    }

    async fn sample_processes(&mut self) {
        let leader = faults::leader(&self.context);
        let controllers = self.controllers.lock().await;
        let ids = (0..controllers.count()).map(|number| (number, controllers.process_id(number)));
        let mut processes: Vec<(Role, u32)> = ids
            .filter_map(|(number, id)| Some((if leader == Some(number) { Role::Leader } else { Role::Standby }, id?)))
            .collect();
        processes.push((Role::StandIns, std::process::id()));
        for (role, id) in processes {
            let usage = self.sampler.sample(id);
            if let Some(usage) = usage.filter(|_| self.began.elapsed() >= self.warm_up) {
                self.result.usage.entry(role).or_default().add(usage);
            }
        }
    }

    fn sample_world(&mut self) {
        let mut world = self.context.world.lock().unwrap();
        let now = Instant::now();
        let starts_per_s = (world.starts - self.starts_before) as f64 / SAMPLE.as_secs_f64();
        self.starts_before = world.starts;
        let result = &mut self.result;
        let counted_from = self.began + self.warm_up;
        if now >= counted_from {
            result.most_starts_per_s = result.most_starts_per_s.max(starts_per_s);
            result.starts_after_warm_up += starts_per_s as u64;
        }
        result.workers = world.machines.values().filter(|machine| machine.alive(now)).count();
        result.most_running_tasks = result.most_running_tasks.max(world.running_tasks());
        for (team, used) in world.usage_by_team() {
            let most = result.most_used.entry(team.into()).or_default();
            *most = (most.0.max(used.0), most.1.max(used.1));
        }
        let waits = std::mem::take(&mut world.start_waits);
        for wait in waits.into_iter().filter(|wait| wait.submitted >= counted_from) {
            result.waits_ms.entry(wait.urgency.into()).or_default().push(wait.wait.as_millis() as u32);
        }
    }

    fn finish(mut self, traffic: &RegionTraffic) -> RegionResult {
        self.sample_world();
        let world = self.context.world.lock().unwrap();
        let result = &mut self.result;
        result.soak = self.soak.as_ref().map(SoakRun::result);
        result.elapsed_s = self.began.elapsed().as_secs_f64();
        result.starts = world.starts;
        result.stopped_tasks = world.stopped.len();
        result.machine_failures = world.machines.values().filter(|machine| machine.died.is_some()).count();
        result.jobs_submitted = world.jobs.values().filter(|job| job.submitted).count();
        result.jobs_accepted = world.jobs.values().filter(|job| job.accepted.is_some()).count();
        result.jobs_done = world.jobs.values().filter(|job| job.done_told.is_some()).count();
        result.traffic = ServiceTraffic {
            worker_bytes: traffic.workers.bytes(),
            worker_connections: traffic.workers.connections.load(Ordering::Relaxed),
            state_bytes: traffic.state.bytes(),
            state_requests: world.requests,
            state_requests_refused: world.requests_refused,
            state_writes: world.store.writes,
            state_writes_refused: world.store.throttled,
            cloud_bytes: traffic.cloud.bytes(),
            user_bytes: traffic.users.bytes(),
        };
        if let Some(broken) = &world.broken {
            result.history = world.recent(broken);
            result.broken_rule = Some(broken.clone());
        }
        drop(world);
        self.result
    }
}
