//! Descriptions of jobs, as their users submit them.

use super::{Demand, Dependencies, InstanceType};
use serde::{Deserialize, Serialize};

/// Relation between the tasks of a job: independent, started together, or long-running replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which ends on its own.
    Batch,
    /// Tasks that run only all at the same time.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority of a job. The variants are ordered from the lowest priority to the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// Lowest priority; `best_effort` in submissions.
    Low,
    /// Ordinary priority; `standard` in submissions.
    Normal,
    /// Raised priority; `urgent` in submissions.
    High,
    /// Highest priority; `production` in submissions.
    Production,
}

impl Urgency {
    /// Number of variants.
    pub const COUNT: usize = 4;
}

/// Number of characters of each free text that are kept in the record of a job that has ended.
const ABRIDGED_CHARS: usize = 64;

/// Description of a job, as its user submitted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Id that the user gave the job.
    pub id: String,
    /// Name of the job class.
    pub class: String,
    /// Name of the team to which the usage of the job is attributed.
    pub team: String,
    /// Relation between the tasks of the job.
    pub shape: Shape,
    /// Priority that the user gave the job.
    pub urgency: Urgency,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources of its machine that one task uses.
    pub demand: Demand,
    /// Name of the image that every task needs on its machine.
    pub image: String,
    /// Size of the image in gigabytes.
    pub image_gb: f64,
    /// Names of the instance types on which the job may run; `None` allows all.
    #[serde(rename = "flavors")]
    pub instance_types: Option<Vec<String>>,
    /// Only zone in which the job may run; `None` allows all.
    pub zone: Option<String>,
    /// True if all tasks must be in the same zone.
    pub one_zone: bool,
    /// True if no zone may have more than half of the tasks, rounded up.
    pub spread: bool,
    /// True if the job may run on spot machines.
    pub spot: bool,
    /// Expected run time of a task in seconds.
    pub expected_s: f64,
    /// Seconds between two checkpoints of a task; 0 if its tasks save none.
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save its state when it is stopped.
    pub save_s: f64,
    /// Deadline, in seconds after acceptance; `None` if the job has none.
    pub due_s: Option<f64>,
    /// Jobs that must be done before any task of this job starts. The record of a job without dependencies
    /// omits the field, so that it has the same form as in versions that had no dependencies.
    #[serde(default, skip_serializing_if = "Dependencies::is_empty")]
    #[serde(rename = "waits_on")]
    pub dependencies: Dependencies,
}

impl Spec {
    /// Returns the part of the description that is still needed once the job has ended: its team and its
    /// size. Free texts are truncated, because the record must not exceed the size limit of a stored value.
    #[must_use]
    pub fn abridged(&self) -> Spec {
        let truncated = |text: &str| text.chars().take(ABRIDGED_CHARS).collect::<String>();
        Spec {
            class: truncated(&self.class),
            image: truncated(&self.image),
            instance_types: None,
            zone: self.zone.as_deref().map(truncated),
            dependencies: Dependencies::default(),
            ..self.clone()
        }
    }
    /// Returns whether the tasks may run on this instance type and fit on an empty machine of it.
    pub fn allows_instance_type(&self, instance_type: &InstanceType) -> bool {
        self.instance_types.as_ref().is_none_or(|names| names.contains(&instance_type.name))
            && self.demand.fits(&instance_type.cap)
    }
    /// Returns whether the tasks may run in this zone.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|only| only == zone)
    }
    /// Returns the maximum number of tasks in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
    /// Returns the grace period, in seconds, that a stop must allow for saving state; 0 if the tasks save
    /// none.
    pub fn grace_s(&self) -> f64 {
        if self.checkpoint_s > 0.0 { self.save_s } else { 0.0 }
    }
}
