//! What one region measured.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a process uses at a time.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Usage {
    pub cores: f64,
    pub resident_mb: f64,
    pub open_files: f64,
}

/// What the processes of a role used over a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoleUsage {
    pub samples: u64,
    pub mean_cores: f64,
    pub most_cores: f64,
    pub most_resident_mb: f64,
    pub most_open_files: f64,
}

impl RoleUsage {
    /// Counts one sample.
    pub fn add(&mut self, usage: Usage) {
        self.mean_cores = (self.mean_cores * self.samples as f64 + usage.cores) / (self.samples + 1) as f64;
        self.samples += 1;
        self.most_cores = self.most_cores.max(usage.cores);
        self.most_resident_mb = self.most_resident_mb.max(usage.resident_mb);
        self.most_open_files = self.most_open_files.max(usage.open_files);
    }

    /// Joins what another region measured.
    pub fn join(&mut self, other: &RoleUsage) {
        let samples = (self.samples + other.samples).max(1) as f64;
        let sum = self.mean_cores * self.samples as f64 + other.mean_cores * other.samples as f64;
        self.mean_cores = sum / samples;
        self.samples += other.samples;
        self.most_cores = self.most_cores.max(other.most_cores);
        self.most_resident_mb = self.most_resident_mb.max(other.most_resident_mb);
        self.most_open_files = self.most_open_files.max(other.most_open_files);
    }
}

/// What processes are there for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[serde(rename = "owner")]
    Leader,
    Standby,
    StandIns,
}

/// Bytes and requests of a region's services over the run, as payload of TCP.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ServiceTraffic {
    pub worker_bytes: u64,
    pub worker_connections: u64,
    pub state_bytes: u64,
    pub state_requests: u64,
    pub state_requests_refused: u64,
    pub state_writes: u64,
    pub state_writes_refused: u64,
    pub cloud_bytes: u64,
    pub user_bytes: u64,
}

/// What became of a change of the configuration.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChangeResult {
    pub asked_at_ms: u64,
    /// The version in which it was taken; none if it was refused or its outcome stayed indeterminate.
    pub version: Option<u64>,
}

/// Result of a burst of serving on borrowed accelerators in one region.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BorrowResult {
    /// Milliseconds from the burst's begin until each replica answered.
    pub gained_ms: Vec<u32>,
    /// Replicas that never answered.
    pub without_room: usize,
    /// The least use of any lending team as a part of its floor, from the burst's begin on: what is on
    /// machines, image fetches included, against the lesser of guarantee and demand.
    pub least_share_of_floor: f64,
    /// How long any lending team was below its floor in all.
    pub below_floor_ms: u64,
    /// The most that a stopped task or gang that can save has lost, in seconds.
    pub most_lost_s: f64,
    /// Tasks of arrays and gangs that were stopped from the burst's begin on.
    pub stops: usize,
    /// Milliseconds from the burst's end until the lenders have as many cards in use as before it, or
    /// as many as are left; none if they had not by the end of the run.
    pub returned_ms: Option<u32>,
}

/// Result of a burst of requests to one model in one region.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BurstResult {
    /// Milliseconds from each request to its answer.
    pub answered_ms: Vec<u32>,
    /// Requests without an answer at the end.
    pub unanswered: usize,
    /// Models that were ready as the burst began.
    pub ready_before: usize,
    /// Models that were loaded, and tasks that took one over.
    pub loaded: usize,
    pub attached: usize,
    /// Seconds of idle and claimed replicas by team, as recorded in the bills.
    pub billed: BTreeMap<String, SlotSeconds>,
    /// The same as the workers saw it.
    pub seen: BTreeMap<String, SlotSeconds>,
}

/// Seconds of replicas.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct SlotSeconds {
    pub idle_s: f64,
    pub claimed_s: f64,
}

/// What one region measured.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RegionResult {
    pub region: String,
    /// What came of the burst; all empty without one.
    #[serde(default)]
    pub burst: BurstResult,
    /// What came of the burst of serving; all empty without borrowing.
    #[serde(default)]
    pub borrow: BorrowResult,
    pub elapsed_s: f64,
    /// Machines that were up at the end.
    pub workers: usize,
    pub most_running_tasks: usize,
    pub jobs_submitted: usize,
    pub jobs_accepted: usize,
    pub jobs_done: usize,
    /// Tasks that started, first starts and later ones.
    pub starts: u64,
    pub most_starts_per_s: f64,
    pub starts_after_warm_up: u64,
    /// Tasks that were stopped though their jobs were not cancelled.
    pub stopped_tasks: usize,
    pub machine_failures: usize,
    /// Milliseconds from submission to first start of each task, by urgency.
    pub waits_ms: BTreeMap<String, Vec<u32>>,
    pub usage: BTreeMap<Role, RoleUsage>,
    pub traffic: ServiceTraffic,
    /// The most cores and cards that each team used at a time.
    pub most_used: BTreeMap<String, (f64, f64)>,
    /// Changes of the configuration that were asked for here.
    pub changes: Vec<ChangeResult>,
    /// When the region's leader first applied each version, in milliseconds of the time of day.
    #[serde(rename = "obeyed_at_ms")]
    pub applied_at_ms: Vec<(u64, u64)>,
    /// Controllers that ended by themselves.
    pub controllers_ended: usize,
    pub broken_rule: Option<String>,
    /// What happened to the task or team of the broken rule.
    pub history: String,
}
