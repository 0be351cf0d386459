//! Instance types and their offerings.

use super::Demand;
use serde::{Deserialize, Serialize};

/// An instance type of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceType {
    /// The cloud's name of the type.
    pub name: String,
    /// What a machine of this type has for tasks.
    pub cap: Demand,
    /// Size of the image cache in gigabytes.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in gigabytes per second.
    pub fetch_gb_per_s: f64,
    /// Price of a machine on demand.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// Nominal time in seconds from the rental request until the machine is up.
    pub boot_s: f64,
    /// Zones in which the type is offered.
    pub zones: Vec<String>,
}

impl InstanceType {
    /// The price on demand, or of a spot machine.
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }

    /// The nominal boot time in milliseconds.
    pub fn boot_ms(&self) -> u64 {
        (self.boot_s * 1000.0) as u64
    }
}

/// What the cloud can be asked for: machines of a type in a zone, on the spot market or on demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceOffering {
    /// Index of the type in `ClusterState::instance_types`.
    pub instance_type: usize,
    /// Zone in which the machines are to be.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
}
