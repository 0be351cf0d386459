//! What the simulated deployment is made of: times, zones, teams and machine types.

use std::time::Duration;

pub const REPORT_S: f64 = 1.0;
pub const LEASE_S: f64 = 10.0;
pub const CANCEL_S: f64 = 12.0;
pub const GANG_WAIT_S: f64 = 10.0;
pub const GANG_PEER_S: f64 = 4.0;
pub const LIST_LAG_S: f64 = 2.0;
pub const ZONES: [&str; 2] = ["a", "b"];
/// Teams with the limits of cores and cards that must hold.
pub const TEAMS: [(&str, f64, f64); 2] = [("red", 40.0, 8.0), ("blue", 24.0, 6.0)];

/// A team that has a limit and no guarantee.
pub const GUEST: (&str, f64, f64) = ("guest", 24.0, 8.0);

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

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

/// Machines of a type, zone and kind that the cloud has.
pub(super) const CAPACITY: usize = 5;

/// Limits of a team's use.
#[derive(Debug, Clone)]
pub struct TeamLimit {
    pub team: &'static str,
    pub cores: f64,
    pub cards: f64,
}

/// A deployment's times, zones, teams, machine types and capacity. Names live as long as the process.
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
    /// Machines of a type, zone and kind that the cloud has.
    pub capacity: usize,
    /// Seconds that the fetch of an image takes, from least to most.
    pub fetch_s: (f64, f64),
    /// Seconds that loading a model takes beside that.
    pub load_s: (f64, f64),
    /// Workers keep models loaded.
    pub loads_models: bool,
    /// The first address of machines; the last two bytes count them.
    pub machine_network: [u8; 2],
    /// What happens by itself is looked at this often at the most.
    pub tick_every: Duration,
    /// Requests a second that the state service takes; no limit if none.
    pub state_requests_per_s: Option<f64>,
}

impl Default for Parameters {
    /// Those of the simulated days.
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
    /// The limits of cores and cards of a team, if there is such a team.
    pub fn team_limit(&self, team: &str) -> Option<(f64, f64)> {
        self.teams.iter().find(|limit| limit.team == team).map(|limit| (limit.cores, limit.cards))
    }
}
