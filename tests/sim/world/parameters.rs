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

/// The limits of cores and cards of a team, if there is such a team.
pub fn team_limit(team: &str) -> Option<(f64, f64)> {
    TEAMS.iter().chain([&GUEST]).find(|t| t.0 == team).map(|t| (t.1, t.2))
}

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

pub struct Flavor {
    pub sku: &'static str,
    pub cores: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub startup_s: f64,
}

pub const FLAVORS: [Flavor; 2] = [
    Flavor { sku: "g4", cores: 16.0, cards: 4.0, mem_gb: 64.0, startup_s: 2.0 },
    Flavor { sku: "c8", cores: 8.0, cards: 0.0, mem_gb: 32.0, startup_s: 1.0 },
];

/// Machines of a type, zone and kind that the cloud has.
pub(super) const CAPACITY: usize = 5;
