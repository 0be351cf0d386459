//! Scenarios in HCL: sizes and failures of a fleet, with its classes of jobs and named faults.

mod checks;
mod classes;
mod faults;

pub use classes::{JobClass, Shape};
pub use faults::{Fault, FaultKind};

use checks::in_range;
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

impl Scenario {
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
