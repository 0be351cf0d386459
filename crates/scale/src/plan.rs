//! Messages between a run and the processes of its regions.

use crate::addresses::RegionNetworks;
use crate::names::region_name;
use crate::results::RegionResult;
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Input of a region's process, sent as one line on its standard input.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RegionPlan {
    pub region: usize,
    pub seed: u64,
    pub scenario: Scenario,
    /// Addresses of all regions, by number.
    pub all_networks: Vec<RegionNetworks>,
    /// The controller program.
    pub controller: PathBuf,
    /// Directory of settings files and logs.
    pub directory: PathBuf,
}

impl RegionPlan {
    /// Returns the region's name.
    pub fn name(&self) -> String {
        region_name(self.region)
    }

    /// Returns the region's addresses.
    pub fn networks(&self) -> RegionNetworks {
        self.all_networks[self.region]
    }

    /// Returns the names of the region's zones.
    pub fn zones(&self) -> Vec<String> {
        (0..self.scenario.zones_per_region).map(|zone| format!("{}-zone-{zone}", self.name())).collect()
    }

    /// Returns this region's part of an amount of the whole fleet.
    pub fn part(&self, fleet: f64) -> f64 {
        fleet / self.scenario.regions as f64
    }
}

/// Message of a region's process, sent as one line on its standard output.
#[derive(Debug, Serialize, Deserialize)]
pub enum RegionMessage {
    /// Progress of the run.
    Progress { elapsed_s: f64, starts: u64, workers: usize },
    /// Result at the end of the run.
    Result(Box<RegionResult>),
    /// Error that ended the run.
    Failed(String),
}
