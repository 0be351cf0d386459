//! Jobs as their users describe them.

use super::{Demand, Flavor};
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together: independent, all at once, or replicas that stay up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    Batch,
    Gang,
    Service,
}

/// Lowest first, so that the order of the values is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    Low,
    Normal,
    High,
    Production,
}

/// A job as its user described it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    pub id: String,
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub urgency: Urgency,
    pub tasks: u32,
    pub demand: Demand,
    pub image: String,
    pub image_gb: f64,
    pub flavors: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub expected_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub due_s: Option<f64>,
}

impl Spec {
    /// May its tasks run on this machine type, and do they fit?
    pub fn allows_flavor(&self, flavor: &Flavor) -> bool {
        self.flavors.as_ref().is_none_or(|f| f.contains(&flavor.name)) && self.demand.fits(&flavor.cap)
    }
    /// May its tasks run in this zone?
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|z| z == zone)
    }
    /// Most tasks in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
    /// Time that a stop must leave for saving; 0 where nothing is saved.
    pub fn grace_s(&self) -> f64 {
        if self.checkpoint_s > 0.0 { self.save_s } else { 0.0 }
    }
}
