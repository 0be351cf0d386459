//! Where the tasks of a job may be placed, as far as its description goes.

use super::index::{HostInfo, Index};
use crate::model::{ClusterState, Demand, Spec};

/// Tasks of a job by zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneCounts {
    by_zone: Vec<u32>,
    total: u32,
}

impl ZoneCounts {
    /// Counts one more task in a zone.
    pub fn add(&mut self, zone: usize) {
        if self.by_zone.len() <= zone {
            self.by_zone.resize(zone + 1, 0);
        }
        self.by_zone[zone] += 1;
        self.total += 1;
    }

    /// Counts one task less in a zone.
    pub fn sub(&mut self, zone: usize) {
        if let Some(count) = self.by_zone.get_mut(zone).filter(|count| **count > 0) {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// How many tasks are in a zone.
    pub fn of(&self, zone: usize) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }
}

/// The zones that a job allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AllowedZone {
    Any,
    Only(usize),
    /// The only allowed zone is not known: it has no machines.
    Unknown,
}

impl AllowedZone {
    fn allows(self, zone: usize) -> bool {
        match self {
            AllowedZone::Any => true,
            AllowedZone::Only(only) => only == zone,
            AllowedZone::Unknown => false,
        }
    }
}

/// Where a job's tasks may be placed, with names resolved to indices.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// By machine type; a type that is too small is not allowed.
    instance_types: Vec<bool>,
    /// What one task takes.
    pub demand: Demand,
    /// Spot machines are allowed.
    pub spot: bool,
    zone: AllowedZone,
    /// All tasks must be in one zone.
    one_zone: bool,
    /// Most tasks in one zone.
    zone_limit: u32,
}

impl TaskRequirements {
    /// May the tasks be on such a machine, as far as zone counts allow?
    pub fn allows(&self, instance_type: usize, zone: usize, spot: bool, counts: &ZoneCounts) -> bool {
        self.instance_types[instance_type]
            && (self.spot || !spot)
            && self.zone.allows(zone)
            && counts.of(zone) < self.zone_limit
            && (!self.one_zone || counts.total == 0 || counts.of(zone) > 0)
    }

    /// The same for a machine that is known; false unless it is usable.
    pub fn accepts(&self, host: &HostInfo, counts: &ZoneCounts) -> bool {
        host.usable && self.allows(host.instance_type, host.zone, host.spot, counts)
    }

    /// Do both allow the same machines, whatever tasks are there already?
    pub fn like(&self, other: &TaskRequirements) -> bool {
        self.instance_types == other.instance_types
            && self.demand == other.demand
            && self.spot == other.spot
            && self.zone == other.zone
    }
}

impl Index {
    /// Where the tasks of a job may be.
    pub fn requirements(&self, cluster: &ClusterState, spec: &Spec) -> TaskRequirements {
        TaskRequirements {
            instance_types: cluster.instance_types.iter().map(|one| spec.allows_instance_type(one)).collect(),
            demand: spec.demand,
            spot: spec.spot,
            zone: match spec.zone.as_deref() {
                None => AllowedZone::Any,
                Some(name) => self.zone(name).map_or(AllowedZone::Unknown, AllowedZone::Only),
            },
            one_zone: spec.one_zone,
            zone_limit: spec.zone_limit(),
        }
    }
}
