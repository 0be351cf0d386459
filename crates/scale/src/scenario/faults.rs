//! Named faults in a scenario.

use serde::{Deserialize, Serialize};

/// A fault in one region.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub at_s: f64,
    pub region: usize,
    /// Duration in seconds, for faults that end.
    #[serde(default)]
    pub for_s: f64,
    /// Number of machines, for faults that stop a number of them.
    #[serde(default)]
    pub count: usize,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `count` machines of the region stop.
    Machines,
    /// `count` machines of one zone stop.
    Rack,
    /// All machines of one zone stop.
    Zone,
    /// The region's leader is killed and restarts after `for_s`.
    ControllerKilled,
    /// The region's leader is suspended for `for_s`.
    ControllerHeld,
    /// All controllers of the region are killed and restart after `for_s`.
    ControllersRestarted,
    /// The region's state service has an outage.
    StateOutage,
    /// Writes to the state service are carried out, but their answers are lost.
    StateAnswersLost,
    /// The region and the others cannot reach each other; everything else works.
    RegionCut,
}
