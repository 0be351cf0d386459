//! Settings: the platform's TOML file (unknown fields ignored) and the
//! operators' optional HCL file (unknown names refused).

pub mod bounds;

use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

pub use checks::{check_operator, check_settings};
pub use errors::{ContentError, Fault, FieldError, HclError, SettingsError};
pub(crate) use files::load;
pub use files::{load_operator, load_settings};

/// What the platform hands over.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the deployment.
    pub node: String,
    /// Zone in which this controller runs; one of `params.zones`.
    pub site: String,
    /// Address at which users and workers are served.
    pub serve_on: SocketAddr,
    /// Address at which the other controllers are served.
    pub internal_addr: SocketAddr,
    /// The other controllers of the deployment; empty if this is the only one.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Addresses of the services that the controller depends on.
    pub endpoints: Endpoints,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Name of the controller.
    pub node: String,
    /// Zone in which it runs.
    pub site: String,
    /// Its internal address.
    pub endpoint: SocketAddr,
}

/// Addresses of the services that a controller depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's API.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

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

/// An aim on starting or finishing, as the settings repeat it.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is aimed at: `wait` and `guarantee` are used, other kinds are ignored.
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
    /// Interval between two reports of a worker.
    pub report_s: f64,
    /// Life of a worker's lease: without an answer for so long it stops its tasks.
    pub lease_s: f64,
    /// How long the tasks of a gang wait on their machines for the gang to be complete; room is
    /// held for a gang for as long.
    pub gang_wait_s: f64,
    /// How long, at most, the tasks of a gang run on after one of them has stopped.
    pub gang_peer_s: f64,
    /// How long, at most, tasks of a job may still run after it was reported cancelled.
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
    /// Limits that hold from some moment on that is not told; `None` if these stay.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

impl StateLimits {
    /// Requests per second that the service takes now and later.
    pub fn least_rps(&self) -> f64 {
        self.next.and_then(|next| next.rps).map_or(self.rps, |next| next.min(self.rps))
    }
}

/// Limits of the state service that are to come; what is absent stays as it is.
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

/// The operators' own settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Width of a bin of soft deadlines, in seconds.
    pub bin_width_s: f64,
    /// Soft deadline of a job that has neither `due_s` nor an objective.
    pub default_deadline_s: f64,
    /// Idle machines are kept for this many of their boot times.
    pub idle_keep: f64,
    /// Scales the spare room kept for arrivals during a boot; 0 keeps none.
    pub headroom: f64,
    /// Partitions that the teams are divided into; each is held by one controller.
    #[serde(alias = "parts")]
    pub partitions: u32,
}

impl Default for Operator {
    fn default() -> Self {
        Operator { bin_width_s: 5.0, default_deadline_s: 600.0, idle_keep: 1.5, headroom: 1.0, partitions: 1 }
    }
}

/// A controller may be held up for so long by its other work or by the state service.
const MAX_STALL_MS: u64 = 2500;

impl Settings {
    /// The partition that each team belongs to: the teams with the largest guarantees
    /// first, each to the partition that has least so far.
    pub fn partitions_of_teams(&self, partitions: u32) -> HashMap<String, u32> {
        let weight = |t: &Team| t.gpus + t.cpus;
        let mut teams: Vec<&Team> = self.params.teams.iter().collect();
        teams.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then_with(|| a.name.cmp(&b.name)));
        let mut load = vec![0.0; partitions.max(1) as usize];
        let mut out = HashMap::new();
        for t in teams {
            let least = (0..load.len()).min_by(|a, b| f64::total_cmp(&load[*a], &load[*b])).unwrap_or(0);
            load[least] += weight(t).max(1.0);
            out.insert(t.name.clone(), least as u32);
        }
        out
    }

    /// Life of a leader's lease: an eighth of a worker's lease, so that a
    /// failover ends well within it, but as long as a controller may be held up
    /// without losing its partition, where a quarter of the lease allows that.
    pub fn leader_lease_ttl_ms(&self) -> u64 {
        let lease = self.lease_ms();
        (lease / 8).max(MAX_STALL_MS).min(lease / 4).clamp(100, 600_000)
    }

    /// Within how long an order that is sent directly shows its effect, or is
    /// taken as lost. It follows round trips, not the reports' pace: a fleet
    /// that reports seldom should not wait longer for what it is told.
    pub fn react_ms(&self) -> u64 {
        (self.lease_ms() / 20).max(1000).min(self.report_ms())
    }

    /// Life of a worker's lease in milliseconds.
    pub fn lease_ms(&self) -> u64 {
        (self.params.workers.lease_s * 1000.0) as u64
    }

    /// Interval between two reports of a worker in milliseconds.
    pub fn report_ms(&self) -> u64 {
        (self.params.workers.report_s * 1000.0) as u64
    }
}

mod checks;
mod errors;
mod files;
pub mod hcl_text;
#[cfg(test)]
pub mod tests;
