//! Placement constraints of the tasks of a job, as given in its description.

use super::index::{CapacityIndex, HostInfo};
use crate::model::{ClusterState, Demand, Spec};

/// Number of tasks of a job in each zone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ZoneCounts {
    by_zone: Vec<u32>,
    total: u32,
}

impl ZoneCounts {
    /// Adds one task in a zone.
    pub fn add(&mut self, zone: usize) {
        if self.by_zone.len() <= zone {
            self.by_zone.resize(zone + 1, 0);
        }
        self.by_zone[zone] += 1;
        self.total += 1;
    }

    /// Removes one task in a zone; does nothing if the zone has none.
    pub fn sub(&mut self, zone: usize) {
        if let Some(count) = self.by_zone.get_mut(zone).filter(|count| **count > 0) {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Returns the number of tasks in a zone.
    pub fn in_zone(&self, zone: usize) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0)
    }
}

/// Zones that a job allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AllowedZone {
    Any,
    /// Only the zone with this index is allowed.
    Only(usize),
    /// The only allowed zone is not known, so it has no machines.
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

/// Placement constraints of the tasks of a job, with names resolved to indices.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskRequirements {
    /// Whether each instance type is allowed, by index; a type that is too small for a task is not.
    instance_types: Vec<bool>,
    /// Demand of one task.
    pub demand: Demand,
    /// True if spot machines are allowed.
    pub spot: bool,
    zone: AllowedZone,
    /// True if all tasks must be in the same zone.
    one_zone: bool,
    /// Maximum number of tasks in a zone.
    zone_limit: u32,
}

impl TaskRequirements {
    /// Returns whether one more task may be placed on a machine with these properties, where `counts` holds
    /// the tasks that are placed already.
    pub fn allows(&self, instance_type: usize, zone: usize, spot: bool, counts: &ZoneCounts) -> bool {
        self.instance_types[instance_type]
            && (self.spot || !spot)
            && self.zone.allows(zone)
            && counts.in_zone(zone) < self.zone_limit
            && (!self.one_zone || counts.total == 0 || counts.in_zone(zone) > 0)
    }

    /// Returns whether one more task may be placed on the machine by the rules of [`TaskRequirements::allows`];
    /// false if the machine is not usable. Free capacity is not checked.
    pub fn accepts(&self, host: &HostInfo, counts: &ZoneCounts) -> bool {
        host.usable && self.allows(host.instance_type, host.zone, host.spot, counts)
    }

    /// Returns whether both have the same demand and allow the same machines, apart from the limits that
    /// depend on tasks placed already.
    pub fn same_requirements_as(&self, other: &TaskRequirements) -> bool {
        self.instance_types == other.instance_types
            && self.demand == other.demand
            && self.spot == other.spot
            && self.zone == other.zone
    }
}

impl CapacityIndex {
    /// Returns the placement constraints of the tasks of a job.
    pub fn requirements(&self, cluster: &ClusterState, spec: &Spec) -> TaskRequirements {
        TaskRequirements {
            instance_types: cluster.instance_types.iter().map(|kind| spec.allows_instance_type(kind)).collect(),
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
