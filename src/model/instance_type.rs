//! Machine types.

use super::Demand;
use serde::{Deserialize, Serialize};

/// A machine type.
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
}
