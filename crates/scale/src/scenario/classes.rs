//! Classes of jobs in a scenario.

use serde::{Deserialize, Serialize};

/// A class of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    pub shape: Shape,
    pub urgency: Urgency,
    /// Least and most tasks of a job.
    pub tasks: (u32, u32),
    /// Least and most run time, in seconds, after which a service is cancelled.
    pub run_s: (f64, f64),
    pub cores: f64,
    #[serde(default)]
    pub cards: f64,
    pub mem_gb: f64,
    /// Jobs per second over the whole fleet.
    pub jobs_per_s: f64,
    /// Number of jobs that are submitted at the start.
    #[serde(default)]
    pub initial_jobs: usize,
    /// Number of the first team that submits jobs of this class; all later teams do so too.
    #[serde(default)]
    pub first_team: usize,
    /// Seconds of progress between checkpoints; 0 if the tasks save none.
    #[serde(default)]
    pub checkpoint_every_s: f64,
    /// Seconds that a stopped task takes to save its state.
    #[serde(default)]
    pub flush_s: f64,
}

/// Shape of a job, under the protocol's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    Batch,
    Group,
    Service,
}

impl Shape {
    pub fn name(self) -> &'static str {
        match self {
            Shape::Batch => "batch",
            Shape::Group => "group",
            Shape::Service => "service",
        }
    }
}

/// Urgency of a job, under the protocol's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    Production,
    Urgent,
    Standard,
    BestEffort,
}

impl Urgency {
    pub fn name(self) -> &'static str {
        match self {
            Urgency::Production => "production",
            Urgency::Urgent => "urgent",
            Urgency::Standard => "standard",
            Urgency::BestEffort => "best_effort",
        }
    }
}
