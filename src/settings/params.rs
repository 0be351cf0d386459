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
    /// The teams that may submit jobs, at least one.
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
    /// Guaranteed CPU cores.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPU cores in use at a time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators in use at a time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service objective: when jobs are to start or finish.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `wait` and `guarantee` are used, other kinds are ignored.
    pub kind: String,
    /// Job class that it applies to; `None` if it names none.
    #[serde(default)]
    pub class: Option<String>,
    /// Seconds within which the work is to start or finish.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs, from 0 to 1, that must meet it; `None` leaves the default.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Periods and timeouts of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats of a worker.
    pub report_s: f64,
    /// Life of a worker's lease: without an answer for so long it stops its tasks.
    pub lease_s: f64,
    /// How long the tasks of a gang wait on their machines for the gang to be complete; capacity is
    /// reserved for a gang for as long.
    pub gang_wait_s: f64,
    /// How long, at most, the tasks of a gang run on after one of them has stopped.
    pub gang_peer_s: f64,
    /// How long, at most, tasks of a job may still run after `cancelled` was answered.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second, for all controllers together.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Most changes in one commit.
    pub txn_ops: usize,
    /// Limits that replace these ones at an unknown moment; `None` if these stay.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

impl StateLimits {
    /// The smaller of the present and the later limit, in requests per second.
    pub fn least_rps(&self) -> f64 {
        self.next.and_then(|next| next.rps).map_or(self.rps, |next| next.min(self.rps))
    }
}

/// Later limits of the state service; what is absent stays as it is.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second, for all controllers together.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes in one commit.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Seconds by which the list of machines may lag behind.
    pub list_lag_s: f64,
}

/// Limits of a controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Most sockets that it may have open.
    pub max_sockets: usize,
    /// Memory that it may use, in megabytes; none if that is not limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Share of a processor core that it may use; none if that is not limited.
    #[serde(default)]
    pub core_share: Option<f64>,
}
