//! Instance types of the cloud, and the offerings in which they can be requested.

use super::Demand;
use serde::{Deserialize, Serialize};

/// An instance type of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceType {
    /// Name that the cloud gives the type.
    pub name: String,
    /// Capacity of a machine of this type that tasks can use.
    pub cap: Demand,
    /// Size of the image cache in gigabytes.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in gigabytes per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// Nominal number of seconds from the request for a machine until it is up.
    pub boot_s: f64,
    /// Zones in which the type is offered.
    pub zones: Vec<String>,
}

impl InstanceType {
    /// Returns the spot price if `spot` is true, otherwise the on-demand price.
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }

    /// Returns the nominal boot time in milliseconds.
    pub fn boot_ms(&self) -> u64 {
        (self.boot_s * 1000.0) as u64
    }
}

/// Machines that can be requested from the cloud: those of a type in a zone, spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceOffering {
    /// Index of the type in `ClusterState::instance_types`.
    pub instance_type: usize,
    /// Zone of the machines.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
}
