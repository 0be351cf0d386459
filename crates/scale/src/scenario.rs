//! Scenarios in HCL: sizes, classes of jobs, failures and named faults.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// A scenario. Amounts are those of the whole fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub regions: usize,
    pub zones_per_region: usize,
    pub controllers_per_region: usize,
    pub controller: ControllerLimits,
    pub workers: usize,
    pub duration_s: f64,
    /// Seconds from the start during which usage is not sampled and submissions do not count in waits.
    #[serde(default)]
    pub warm_up_s: f64,
    pub teams: Teams,
    pub machine: MachineType,
    pub worker: WorkerTimes,
    pub state: StateService,
    /// Random machine failures; none if absent.
    #[serde(default)]
    pub failures: Failures,
    /// A pool of warm replicas in each region; none if absent.
    #[serde(default)]
    pub warm_pool: Option<WarmPool>,
    /// A burst of requests to one model in each region; none if absent.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// A burst of serving that borrows from night runs and fine-tuning; none if absent.
    #[serde(default)]
    pub borrowing: Option<Borrowing>,
    /// Random faults and a quiet end, for `soak`; none if absent.
    #[serde(default)]
    pub soak: Option<Soak>,
    /// Changes of the shared configuration; the regions share none if absent.
    #[serde(default)]
    pub configuration: Option<Configuration>,
    pub class: BTreeMap<String, JobClass>,
    /// Named faults at set times.
    #[serde(default)]
    pub fault: BTreeMap<String, Fault>,
}

/// Limits of each controller's process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerLimits {
    /// Most open sockets.
    pub max_sockets: usize,
}

/// Teams, which all have the same guarantees and limits over the whole fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Teams {
    pub count: usize,
    pub guaranteed_cores: f64,
    pub most_cores: f64,
    pub guaranteed_cards: f64,
    pub most_cards: f64,
}

/// Type of all machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineType {
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub startup_s: f64,
}

/// Durations of the workers' protocol, in seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerTimes {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    /// Least and most time of an image fetch.
    pub fetch_s: (f64, f64),
    /// Least and most time of loading a model after the fetch.
    #[serde(default)]
    pub load_s: (f64, f64),
}

/// A pool of loaded replicas of the burst's model, charged to the first team.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmPool {
    /// Number of replicas in a region, each with the cores, accelerators and memory below.
    pub replicas: usize,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    /// Longest interval between records of a slot's charges, in seconds.
    pub bill_every_s: f64,
}

/// Burst of requests to one model, for which users of all teams in turn submit replicas.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at_s: f64,
    /// Number of replicas, each submitted as a separate job with the cores, accelerators and memory below.
    pub replicas: usize,
    /// Number of requests.
    pub requests: usize,
    /// Seconds over which the requests are spread.
    pub over_s: f64,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
}

/// Burst of replicas that users of the first team submit while all machines are full and cancel later. The
/// other teams lend to the first one.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Borrowing {
    /// Whether controllers get settings of borrowing. Without them the burst is the same.
    #[serde(default = "enabled")]
    pub enabled: bool,
    /// Seconds for which a preempted job is not preempted again while other jobs can be.
    pub quiet_s: f64,
    /// Seconds without need after which a loan is returned.
    pub return_after_s: f64,
    /// Start of the burst, in seconds from the start of the run.
    pub at_s: f64,
    /// Duration of the burst, in seconds.
    pub for_s: f64,
    /// Number of replicas in a region, each a separate job with the cores, accelerators and memory below.
    pub replicas: usize,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
}

/// Random faults, which begin after the warm-up.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Soak {
    /// Seconds after which all faults are over.
    pub faults_s: f64,
    /// Longest duration of a fault in seconds.
    pub longest_s: f64,
    /// Least and most faults.
    pub faults: (usize, usize),
}

/// Seconds after the last fault within which the protocol requires an answer about each accepted job.
pub const ANSWER_LIMIT_S: f64 = 75.0;

fn enabled() -> bool {
    true
}

/// Limits of a region's state service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateService {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Machines of the whole fleet that fail or are replaced in a day. Days pass `compression` times faster
/// for these failures.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Failures {
    pub machines_a_day: f64,
    pub replaced_a_day: f64,
    pub compression: f64,
}

/// Changes of the shared configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Changes per second over the whole fleet, after the warm-up.
    pub changes_per_s: f64,
}

/// A class of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    pub shape: Shape,
    pub urgency: Urgency,
    /// Least and most tasks of a job.
    pub tasks: (u32, u32),
    /// Least and most run time, in seconds, after which a service is cancelled.
    pub run_s: (f64, f64),
    pub cores: f64,
    #[serde(default)]
    pub cards: f64,
    pub mem_gb: f64,
    /// Jobs per second over the whole fleet.
    pub jobs_per_s: f64,
    /// Number of jobs that are submitted at the start.
    #[serde(default)]
    pub initial_jobs: usize,
    /// Number of the first team that submits jobs of this class; all later teams do so too.
    #[serde(default)]
    pub first_team: usize,
    /// Seconds of progress between checkpoints; 0 if the tasks save none.
    #[serde(default)]
    pub checkpoint_every_s: f64,
    /// Seconds that a stopped task takes to save its state.
    #[serde(default)]
    pub flush_s: f64,
}

/// Shape of a job, under the protocol's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    Batch,
    Group,
    Service,
}

impl Shape {
    pub fn name(self) -> &'static str {
        match self {
            Shape::Batch => "batch",
            Shape::Group => "group",
            Shape::Service => "service",
        }
    }
}

/// Urgency of a job, under the protocol's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    Production,
    Urgent,
    Standard,
    BestEffort,
}

impl Urgency {
    pub fn name(self) -> &'static str {
        match self {
            Urgency::Production => "production",
            Urgency::Urgent => "urgent",
            Urgency::Standard => "standard",
            Urgency::BestEffort => "best_effort",
        }
    }
}

/// A fault in one region.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub at_s: f64,
    pub region: usize,
    /// Duration in seconds, for faults that end.
    #[serde(default)]
    pub for_s: f64,
    /// Number of machines, for faults that stop a number of them.
    #[serde(default)]
    pub count: usize,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `count` machines of the region stop.
    Machines,
    /// `count` machines of one zone stop.
    Rack,
    /// All machines of one zone stop.
    Zone,
    /// The region's leader is killed and restarts after `for_s`.
    ControllerKilled,
    /// The region's leader is suspended for `for_s`.
    ControllerHeld,
    /// All controllers of the region are killed and restart after `for_s`.
    ControllersRestarted,
    /// The region's state service has an outage.
    StateOutage,
    /// Writes to the state service are carried out, but their answers are lost.
    StateAnswersLost,
    /// The region and the others cannot reach each other; everything else works.
    RegionCut,
}

/// Reads and checks a scenario.
///
/// # Errors
///
/// The file cannot be read or is invalid; the error is one line that names the field and the reason.
pub fn load(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    parse(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Parses and checks a scenario.
pub fn parse(text: &str) -> Result<Scenario, String> {
    let one_line = |error: hcl::Error| error.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
    let scenario: Scenario = hcl::from_str(text).map_err(one_line)?;
    scenario.check()?;
    Ok(scenario)
}

/// Least value of `max_sockets` that a controller accepts.
const LEAST_SOCKETS: f64 = 16.0;
/// Most controllers of a run, which keeps its processes well below a hundred.
const MOST_CONTROLLERS: usize = 60;
/// Most regions of a run: zones and machines of a region have one byte of an address each.
const MOST_REGIONS: usize = 20;
const MOST_WORKERS_PER_REGION: usize = 40_000;

impl Scenario {
    fn check(&self) -> Result<(), String> {
        in_range("regions", self.regions as f64, 1.0, MOST_REGIONS as f64)?;
        in_range("zones_per_region", self.zones_per_region as f64, 1.0, 100.0)?;
        let controllers = (self.regions * self.controllers_per_region) as f64;
        in_range("controllers_per_region", self.controllers_per_region as f64, 1.0, MOST_CONTROLLERS as f64)?;
        in_range("controllers_per_region: controllers of all regions", controllers, 1.0, MOST_CONTROLLERS as f64)?;
        let sockets = self.controller.max_sockets as f64;
        in_range("controller.max_sockets", sockets, LEAST_SOCKETS, f64::MAX)?;
        let least_workers = (self.regions * self.zones_per_region) as f64;
        in_range("workers", self.workers as f64, least_workers, (MOST_WORKERS_PER_REGION * self.regions) as f64)?;
        in_range("duration_s", self.duration_s, 1.0, 86_400.0)?;
        in_range("warm_up_s", self.warm_up_s, 0.0, self.duration_s)?;
        if let Some(configuration) = &self.configuration {
            in_range("configuration.changes_per_s", configuration.changes_per_s, 0.0, 1000.0)?;
        }
        in_range("teams.count", self.teams.count as f64, 1.0, 100_000.0)?;
        for (field, guaranteed, most) in [
            ("teams.guaranteed_cores", self.teams.guaranteed_cores, self.teams.most_cores),
            ("teams.guaranteed_cards", self.teams.guaranteed_cards, self.teams.most_cards),
        ] {
            in_range(field, guaranteed, 0.0, if most > 0.0 { most } else { f64::MAX })?;
        }
        in_range("worker.lease_s", self.worker.lease_s, 2.0 * self.worker.report_s, f64::MAX)?;
        in_range("worker.report_s", self.worker.report_s, 0.01, f64::MAX)?;
        ordered("worker.fetch_s", self.worker.fetch_s.0, self.worker.fetch_s.1)?;
        self.check_burst()?;
        self.check_borrowing()?;
        self.check_soak()?;
        in_range("state.rps", self.state.rps, 1.0, f64::MAX)?;
        in_range("state.write_rps", self.state.write_rps, 1.0, f64::MAX)?;
        let last_team = (self.teams.count - 1) as f64;
        for (name, class) in &self.class {
            in_range(&format!("class.{name}.first_team"), class.first_team as f64, 0.0, last_team)?;
            class.check(name, &self.machine)?;
        }
        self.fault.iter().try_for_each(|(name, fault)| fault.check(name, self))
    }

    fn check_burst(&self) -> Result<(), String> {
        if self.worker.load_s != (0.0, 0.0) {
            ordered("worker.load_s", self.worker.load_s.0, self.worker.load_s.1)?;
        }
        if let Some(burst) = &self.burst {
            in_range("burst.at_s", burst.at_s, 0.0, self.duration_s)?;
            in_range("burst.requests", burst.requests as f64, 1.0, 100_000.0)?;
            in_range("burst.over_s", burst.over_s, 0.0, self.duration_s)?;
            in_range("burst.cores", burst.cores, 0.01, self.machine.cores)?;
        }
        if let Some(pool) = &self.warm_pool {
            in_range("warm_pool.bill_every_s", pool.bill_every_s, 0.01, f64::MAX)?;
            in_range("warm_pool.cores", pool.cores, 0.01, self.machine.cores)?;
        }
        Ok(())
    }

    fn check_borrowing(&self) -> Result<(), String> {
        let Some(borrowing) = &self.borrowing else { return Ok(()) };
        in_range("teams.count", self.teams.count as f64, 2.0, 100_000.0)?;
        in_range("borrowing.at_s", borrowing.at_s, 0.0, self.duration_s)?;
        in_range("borrowing.for_s", borrowing.for_s, 0.0, self.duration_s - borrowing.at_s)?;
        in_range("borrowing.replicas", borrowing.replicas as f64, 1.0, 99_999.0)?;
        in_range("borrowing.cores", borrowing.cores, 0.01, self.machine.cores)?;
        in_range("borrowing.cards", borrowing.cards, 0.0, self.machine.cards)?;
        in_range("borrowing.quiet_s", borrowing.quiet_s, 0.0, f64::MAX)?;
        in_range("borrowing.return_after_s", borrowing.return_after_s, 0.0, f64::MAX)
    }

    fn check_soak(&self) -> Result<(), String> {
        let Some(soak) = &self.soak else { return Ok(()) };
        in_range("regions", self.regions as f64, 1.0, 1.0)?;
        in_range("controllers_per_region", self.controllers_per_region as f64, 2.0, MOST_CONTROLLERS as f64)?;
        in_range("soak.faults_s", soak.faults_s, 1.0, self.duration_s - self.warm_up_s - ANSWER_LIMIT_S)?;
        in_range("soak.longest_s", soak.longest_s, 0.5, soak.faults_s)?;
        ordered("soak.faults", soak.faults.0 as f64, soak.faults.1 as f64)
    }

    /// Returns the scenario with its workers, arrivals and failures multiplied by `size`.
    pub fn scaled(mut self, size: f64) -> Result<Scenario, String> {
        in_range("--size", size, 0.001, 100.0)?;
        self.workers = (self.workers as f64 * size).round() as usize;
        for class in self.class.values_mut() {
            class.jobs_per_s *= size;
            class.initial_jobs = (class.initial_jobs as f64 * size).round() as usize;
        }
        self.failures.machines_a_day *= size;
        self.failures.replaced_a_day *= size;
        self.check()?;
        Ok(self)
    }
}

impl JobClass {
    fn check(&self, name: &str, machine: &MachineType) -> Result<(), String> {
        ordered(&format!("class.{name}.tasks"), f64::from(self.tasks.0), f64::from(self.tasks.1))?;
        ordered(&format!("class.{name}.run_s"), self.run_s.0, self.run_s.1)?;
        in_range(&format!("class.{name}.cores"), self.cores, 0.01, machine.cores)?;
        in_range(&format!("class.{name}.cards"), self.cards, 0.0, machine.cards)?;
        in_range(&format!("class.{name}.mem_gb"), self.mem_gb, 0.0, machine.mem_gb)?;
        in_range(&format!("class.{name}.jobs_per_s"), self.jobs_per_s, 0.0, 1e6)
    }
}

impl Fault {
    fn check(&self, name: &str, scenario: &Scenario) -> Result<(), String> {
        in_range(&format!("fault.{name}.at_s"), self.at_s, 0.0, scenario.duration_s)?;
        in_range(&format!("fault.{name}.for_s"), self.for_s, 0.0, scenario.duration_s)?;
        in_range(&format!("fault.{name}.region"), self.region as f64, 0.0, (scenario.regions - 1) as f64)
    }
}

fn in_range(field: &str, value: f64, least: f64, most: f64) -> Result<(), String> {
    if value >= least && value <= most {
        Ok(())
    } else if most < f64::MAX {
        Err(format!("{field}: must be from {least} to {most}, is {value}"))
    } else {
        Err(format!("{field}: must be at least {least}, is {value}"))
    }
}

fn ordered(field: &str, least: f64, most: f64) -> Result<(), String> {
    if least > 0.0 && least <= most {
        Ok(())
    } else {
        Err(format!("{field}: must be above 0 and in order, is {least} to {most}"))
    }
}
