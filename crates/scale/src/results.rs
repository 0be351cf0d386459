//! Results of one region.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Resource usage of a process at one sample.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Usage {
    pub cores: f64,
    pub resident_mb: f64,
    pub open_files: f64,
}

/// Resource usage of the processes of a role over a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoleUsage {
    pub samples: u64,
    pub mean_cores: f64,
    pub most_cores: f64,
    pub most_resident_mb: f64,
    pub most_open_files: f64,
}

impl RoleUsage {
    /// Adds one sample.
    pub fn add(&mut self, usage: Usage) {
        self.mean_cores = (self.mean_cores * self.samples as f64 + usage.cores) / (self.samples + 1) as f64;
        self.samples += 1;
        self.most_cores = self.most_cores.max(usage.cores);
        self.most_resident_mb = self.most_resident_mb.max(usage.resident_mb);
        self.most_open_files = self.most_open_files.max(usage.open_files);
    }

    /// Adds the samples of another region.
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

/// Role of a process in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[serde(rename = "owner")]
    Leader,
    Standby,
    StandIns,
}

/// Requests and bytes of TCP payload of a region's services over the run.
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

/// Result of a change of the configuration.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ChangeResult {
    pub asked_at_ms: u64,
    /// Version in which the change was accepted; `None` if it was refused or its outcome is unknown.
    pub version: Option<u64>,
}

/// Result of a soak run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SoakResult {
    /// Number of faults.
    pub faults: usize,
    /// Number of times that a controller took the partition.
    pub leaderships: u64,
    /// Number of jobs that were accepted before the last fault ended.
    pub accepted: usize,
    /// Number of those jobs without an answer within the limit.
    pub unanswered: usize,
    /// Seconds from the end of the last fault until each of those jobs was answered.
    pub answered_after_s: f64,
}

/// Result of a burst of serving on borrowed accelerators in one region.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BorrowResult {
    /// Milliseconds from the start of the burst until each replica answered.
    pub gained_ms: Vec<u32>,
    /// Number of replicas that never answered.
    pub without_room: usize,
    /// Least ratio of a lending team's usage to its floor from the start of the burst on. Usage is that of
    /// attempts on machines, including image fetches; the floor is the lesser of guarantee and demand.
    pub least_share_of_floor: f64,
    /// Total time, in milliseconds, for which any lending team was below its floor.
    pub below_floor_ms: u64,
    /// Most work, in seconds, lost by a stopped task or gang that can save.
    pub most_lost_s: f64,
    /// Number of tasks of arrays and gangs that were stopped from the start of the burst on.
    pub stops: usize,
    /// Milliseconds from the end of the burst until the lenders use as many accelerators as before it, or
    /// all that are left; `None` if they did not by the end of the run.
    pub returned_ms: Option<u32>,
}

/// Result of a burst of requests to one model in one region.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BurstResult {
    /// Milliseconds from each request to its answer.
    pub answered_ms: Vec<u32>,
    /// Number of requests without an answer at the end.
    pub unanswered: usize,
    /// Number of models that were ready when the burst began.
    pub ready_before: usize,
    /// Number of models that were loaded.
    pub loaded: usize,
    /// Number of tasks that took over a loaded model.
    pub attached: usize,
    /// Seconds of idle and claimed replicas by team, as recorded in the bills.
    pub billed: BTreeMap<String, SlotSeconds>,
    /// Seconds of idle and claimed replicas by team, as the workers observed them.
    pub seen: BTreeMap<String, SlotSeconds>,
}

/// Seconds for which replicas were idle and claimed.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct SlotSeconds {
    pub idle_s: f64,
    pub claimed_s: f64,
}

/// Results of one region.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RegionResult {
    pub region: String,
    /// Result of the burst; empty without one.
    #[serde(default)]
    pub burst: BurstResult,
    /// Result of the burst of serving; empty without borrowing.
    #[serde(default)]
    pub borrow: BorrowResult,
    /// Result of the soak run; `None` without one.
    pub soak: Option<SoakResult>,
    pub elapsed_s: f64,
    /// Number of machines that were up at the end.
    pub workers: usize,
    pub most_running_tasks: usize,
    pub jobs_submitted: usize,
    pub jobs_accepted: usize,
    pub jobs_done: usize,
    /// Number of task starts, restarts included.
    pub starts: u64,
    pub most_starts_per_s: f64,
    pub starts_after_warm_up: u64,
    /// Number of tasks that were stopped although their jobs were not cancelled.
    pub stopped_tasks: usize,
    pub machine_failures: usize,
    /// Milliseconds from submission to first start of each task, by urgency.
    pub waits_ms: BTreeMap<String, Vec<u32>>,
    pub usage: BTreeMap<Role, RoleUsage>,
    pub traffic: ServiceTraffic,
    /// Maximum usage of cores and accelerators of each team at any instant.
    pub most_used: BTreeMap<String, (f64, f64)>,
    /// Changes of the configuration that were requested in this region.
    pub changes: Vec<ChangeResult>,
    /// Each version with the time at which the region's leader first applied it, in milliseconds of the time
    /// of day.
    #[serde(rename = "obeyed_at_ms")]
    pub applied_at_ms: Vec<(u64, u64)>,
    /// Number of controllers that exited by themselves. Such an exit ends the run with an error.
    pub controllers_ended: usize,
    pub broken_rule: Option<String>,
    /// Events about the task or team of the broken rule.
    pub history: String,
}
