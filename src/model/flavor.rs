//! Machine types.

use super::Demand;
use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Flavor {
    pub name: String,
    pub cap: Demand,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

impl Flavor {
    /// The price on demand, or of a spot machine.
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}
