//! Parameters of a deployment in the platform's settings.

use serde::Deserialize;

/// Parameters of the deployment: zones, teams, objectives and limits of the services.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Names of the zones, at least one.
    pub zones: Vec<String>,
    /// Time bound of the platform in milliseconds; 0 if absent. Checked, otherwise unused.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// Teams that may submit jobs, at least one.
    pub teams: Vec<Team>,
    /// Service objectives; empty if there are none.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Periods and timeouts of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: Limits,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as in submissions.
    pub name: String,
    /// Guaranteed number of CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPU cores in use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators in use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// Service objective: time within which jobs should start or finish.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `wait` and `guarantee` are used; other kinds are ignored.
    pub kind: String,
    /// Job class to which the objective applies; `None` if it names no class.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which the jobs should start or finish; `None` if absent.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs, from 0 to 1, that must meet the objective; `None` means the default.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Periods and timeouts of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats of a worker.
    pub report_s: f64,
    /// Duration of a worker's lease: a worker stops its tasks after this time without a reply to its heartbeats.
    pub lease_s: f64,
    /// Maximum time for which the tasks of a gang wait on their machines until the gang is complete. Capacity is
    /// reserved for a gang for the same time.
    pub gang_wait_s: f64,
    /// Maximum time for which the tasks of a gang continue to run after one of them has stopped.
    pub gang_peer_s: f64,
    /// Maximum time for which tasks of a job may still run after the reply `cancelled` was sent.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum number of requests per second, of all controllers together.
    pub rps: f64,
    /// Maximum number of changes per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one commit.
    pub txn_ops: usize,
    /// Limits that replace these at an unknown time; `None` if these limits stay in force.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

impl StateLimits {
    /// Returns the smaller of the present and the later limit, in requests per second.
    pub fn min_rps(&self) -> f64 {
        self.next.and_then(|next| next.rps).map_or(self.rps, |next| next.min(self.rps))
    }
}

/// Later limits of the state service; an absent limit does not change.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct NextStateLimits {
    /// Maximum number of requests per second, of all controllers together; `None` if unchanged.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of changes per second; `None` if unchanged.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB; `None` if unchanged.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in one commit; `None` if unchanged.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum delay, in seconds, of changes in the list of machines.
    pub list_lag_s: f64,
}

/// Limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Maximum number of open sockets.
    pub max_sockets: usize,
    /// Maximum memory use in megabytes; `None` if it is unlimited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Maximum share of a processor core; `None` if it is unlimited.
    #[serde(default)]
    pub core_share: Option<f64>,
}
