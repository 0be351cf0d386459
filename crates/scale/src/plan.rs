//! What a region's process is told, and what it answers.

use crate::addresses::RegionNetworks;
use crate::names::region_name;
use crate::results::RegionResult;
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// What the process of a region needs to know; one line on its standard input.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RegionPlan {
    pub region: usize,
    pub seed: u64,
    pub scenario: Scenario,
    /// Addresses of all regions, by number.
    pub all_networks: Vec<RegionNetworks>,
    /// The controller program.
    pub controller: PathBuf,
    /// Where settings files and logs go.
    pub directory: PathBuf,
}

impl RegionPlan {
    /// The region's name.
    pub fn name(&self) -> String {
        region_name(self.region)
    }

    /// The region's addresses.
    pub fn networks(&self) -> RegionNetworks {
        self.all_networks[self.region]
    }

    /// Names of the region's zones.
    pub fn zones(&self) -> Vec<String> {
        (0..self.scenario.zones_per_region).map(|zone| format!("{}-zone-{zone}", self.name())).collect()
    }

    /// This region's part of an amount of the fleet.
    pub fn part(&self, fleet: f64) -> f64 {
        fleet / self.scenario.regions as f64
    }
}

/// What the process of a region says, a line each on its standard output.
#[derive(Debug, Serialize, Deserialize)]
pub enum RegionMessage {
    /// How far it is.
    Progress { elapsed_s: f64, starts: u64, workers: usize },
    /// The run is over.
    Result(Box<RegionResult>),
    /// It can't go on.
    Failed(String),
}
