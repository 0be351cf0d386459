//! Jobs as their users describe them.

use super::{Demand, Dependencies, InstanceType};
use serde::{Deserialize, Serialize};

/// How the tasks of a job belong together: independent, all at once, or replicas that stay up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which ends by itself.
    Batch,
    /// Tasks that run only all at once.
    Gang,
    /// Replicas that stay up until the job is cancelled.
    Service,
}

/// Lowest first, so that the order of the values is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// `best_effort` in submissions.
    Low,
    /// `standard` in submissions.
    Normal,
    /// `urgent` in submissions.
    High,
    /// `production` in submissions.
    Production,
}

impl Urgency {
    /// How many there are.
    pub const COUNT: usize = 4;
}

/// Characters that are kept of each free text in the record of a job that is over.
const ABRIDGED_CHARS: usize = 64;

/// A job as its user described it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The id that the user gave the job.
    pub id: String,
    /// Name of the job class.
    pub class: String,
    /// Name of the team that the job counts for.
    pub team: String,
    /// How its tasks belong together.
    pub shape: Shape,
    /// Its priority.
    pub urgency: Urgency,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What one task takes of its machine.
    pub demand: Demand,
    /// Name of the image that each task needs on its machine.
    pub image: String,
    /// Size of the image in gigabytes.
    pub image_gb: f64,
    /// Names of the machine types that it may run on; `None` allows all.
    #[serde(rename = "flavors")]
    pub instance_types: Option<Vec<String>>,
    /// The only zone that it may run in; `None` allows all.
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    pub one_zone: bool,
    /// No zone may have more than half of the tasks, rounded up.
    pub spread: bool,
    /// It may run on spot machines.
    pub spot: bool,
    /// Expected run time of a task in seconds.
    pub expected_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it saves none.
    pub checkpoint_s: f64,
    /// Seconds that a task takes to save its state when it is stopped.
    pub save_s: f64,
    /// Deadline in seconds after acceptance; `None` if it has none.
    pub due_s: Option<f64>,
    /// Jobs that have to be done before any of its tasks starts. Absent from the record of a
    /// job that waits for none, which reads as it did before there were any.
    #[serde(default, skip_serializing_if = "Dependencies::is_empty")]
    #[serde(rename = "waits_on")]
    pub dependencies: Dependencies,
}

impl Spec {
    /// What is still of use of a job that is over: who it was for and how large it was. Its
    /// free texts are cut to a few characters, as the record has to fit into a value.
    #[must_use]
    pub fn abridged(&self) -> Spec {
        let short = |text: &str| text.chars().take(ABRIDGED_CHARS).collect::<String>();
        Spec {
            class: short(&self.class),
            image: short(&self.image),
            instance_types: None,
            zone: self.zone.as_deref().map(short),
            dependencies: Dependencies::default(),
            ..self.clone()
        }
    }
    /// May its tasks run on this machine type, and do they fit?
    pub fn allows_instance_type(&self, instance_type: &InstanceType) -> bool {
        self.instance_types.as_ref().is_none_or(|names| names.contains(&instance_type.name))
            && self.demand.fits(&instance_type.cap)
    }
    /// May its tasks run in this zone?
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|only| only == zone)
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
