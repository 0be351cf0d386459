//! Parameters of the simulated deployment: times, zones, teams and machine types.

use std::time::Duration;

pub const REPORT_S: f64 = 1.0;
pub const LEASE_S: f64 = 10.0;
pub const CANCEL_S: f64 = 12.0;
pub const GANG_WAIT_S: f64 = 10.0;
pub const GANG_PEER_S: f64 = 4.0;
pub const LIST_LAG_S: f64 = 2.0;
pub const ZONES: [&str; 2] = ["a", "b"];
/// Teams with their limits of cores and accelerators.
pub const TEAMS: [(&str, f64, f64); 2] = [("red", 40.0, 8.0), ("blue", 24.0, 6.0)];

/// Team with limits of cores and accelerators but no guarantee.
pub const GUEST: (&str, f64, f64) = ("guest", 24.0, 8.0);

/// Converts seconds to a [`Duration`].
pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// A machine type.
#[derive(Debug, Clone)]
pub struct Flavor {
    pub sku: &'static str,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub startup_s: f64,
}

pub static FLAVORS: [Flavor; 2] = [
    Flavor { sku: "g4", cores: 16.0, cards: 4.0, mem_gb: 64.0, startup_s: 2.0 },
    Flavor { sku: "c8", cores: 8.0, cards: 0.0, mem_gb: 32.0, startup_s: 1.0 },
];

/// Number of machines that the cloud has of each combination of type, zone and spot or on-demand.
pub(super) const CAPACITY: usize = 5;

/// Limits of a team's usage.
#[derive(Debug, Clone)]
pub struct TeamLimit {
    pub team: &'static str,
    pub cores: f64,
    pub cards: f64,
}

/// Times, zones, teams, machine types and capacity of a deployment. Names have the lifetime of the process.
#[derive(Debug, Clone)]
pub struct Parameters {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub list_lag_s: f64,
    pub zones: Vec<&'static str>,
    pub teams: Vec<TeamLimit>,
    pub flavors: Vec<&'static Flavor>,
    /// Number of machines that the cloud has of each combination of type, zone and spot or on-demand.
    pub capacity: usize,
    /// Least and most time of an image fetch, in seconds.
    pub fetch_s: (f64, f64),
    /// Least and most time of loading a model after the fetch, in seconds.
    pub load_s: (f64, f64),
    /// Whether workers keep models loaded.
    pub loads_models: bool,
    /// First two bytes of the machines' addresses; the last two count the machines.
    pub machine_network: [u8; 2],
    /// Least interval between two ticks of the simulation that requests cause.
    pub tick_every: Duration,
    /// Rate limit of the state service, in requests per second; `None` for no limit.
    pub state_requests_per_s: Option<f64>,
}

impl Default for Parameters {
    /// Returns the parameters of the simulation in simulated time.
    fn default() -> Parameters {
        let teams = TEAMS.iter().chain([&GUEST]);
        Parameters {
            report_s: REPORT_S,
            lease_s: LEASE_S,
            gang_wait_s: GANG_WAIT_S,
            gang_peer_s: GANG_PEER_S,
            list_lag_s: LIST_LAG_S,
            zones: ZONES.to_vec(),
            teams: teams.map(|(team, cores, cards)| TeamLimit { team, cores: *cores, cards: *cards }).collect(),
            flavors: FLAVORS.iter().collect(),
            capacity: CAPACITY,
            fetch_s: (0.1, 1.5),
            load_s: (0.0, 0.0),
            loads_models: false,
            machine_network: [10, 1],
            tick_every: Duration::ZERO,
            state_requests_per_s: None,
        }
    }
}

impl Parameters {
    /// Returns the limits of cores and accelerators of a team; `None` if the team does not exist.
    pub fn team_limit(&self, team: &str) -> Option<(f64, f64)> {
        self.teams.iter().find(|limit| limit.team == team).map(|limit| (limit.cores, limit.cards))
    }
}
