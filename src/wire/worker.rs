//! Messages between workers and the service: heartbeats, orders and direct commands.
//!
//! Heartbeats are ordered by agent epoch, then by sequence. A direct command without an answer may
//! be carried out minutes later, until a heartbeat shows a higher fencing token or agent epoch, or
//! the machine is terminated.

use crate::model::{ExitReason, FencingToken, TaskAttempt, TaskPhase};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// A worker's heartbeat.
#[derive(Debug, Clone, Deserialize)]
pub struct Heartbeat {
    /// Id of the machine.
    pub host: String,
    /// Where it takes direct commands.
    pub addr: SocketAddr,
    /// Name of its instance type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Its zone.
    #[serde(rename = "region")]
    pub zone: String,
    /// True if the cloud may preempt it.
    #[serde(default, rename = "preemptible")]
    pub spot: bool,
    /// Epoch of the worker: a later one after each start on the machine.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Number of the heartbeat in its epoch.
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(default)]
    #[serde(rename = "fence")]
    pub seen_token: FencingToken,
    /// Seconds until the cloud preempts the machine, after its notice.
    #[serde(default)]
    pub warning_s: Option<f64>,
    /// The tasks on the machine.
    #[serde(default, rename = "shards")]
    pub tasks: Vec<TaskStatus>,
    /// The models that are loaded and not attached to a task; `None` from a worker without the
    /// extension of `docs/warm-pools.md`.
    #[serde(default)]
    pub slots: Option<Vec<SlotStatus>>,
}

/// A loaded model in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SlotStatus {
    /// Number of the slot.
    pub slot: u64,
    /// It answers requests as soon as a task is attached to it.
    pub ready: bool,
}

/// A task in a heartbeat.
#[derive(Debug, Clone, Deserialize)]
pub struct TaskStatus {
    /// Job id and task number.
    #[serde(rename = "shard")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try_no")]
    pub attempt: u64,
    phase: WirePhase,
    #[serde(default)]
    exit_reason: Option<WireReason>,
    #[serde(default)]
    stored: bool,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WirePhase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended,
    #[serde(other)]
    Unknown,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireReason {
    Done,
    Halted,
    MatesGone,
    Incomplete,
    Error,
    NoRoom,
    InUse,
    NoSuch,
    #[serde(other)]
    Unknown,
}

impl TaskStatus {
    /// How far the task is; an unknown phase counts as running.
    pub fn phase(&self) -> TaskPhase {
        match self.phase {
            WirePhase::Fetching => TaskPhase::Fetching,
            WirePhase::Gathering => TaskPhase::Gathering,
            WirePhase::Running | WirePhase::Unknown => TaskPhase::Running,
            WirePhase::Flushing => TaskPhase::Saving,
            WirePhase::Ended => TaskPhase::Ended(match self.exit_reason {
                Some(WireReason::Done) => ExitReason::Done,
                Some(WireReason::Halted) => ExitReason::Stopped { saved: self.stored },
                Some(WireReason::MatesGone) => ExitReason::MatesGone,
                Some(WireReason::Incomplete) => ExitReason::Incomplete,
                Some(WireReason::NoRoom) => ExitReason::NoRoom,
                Some(WireReason::InUse) => ExitReason::InUse,
                Some(WireReason::NoSuch) => ExitReason::NoSuch,
                Some(WireReason::Error | WireReason::Unknown) | None => ExitReason::Error,
            }),
        }
    }

    /// Job id and task number; `None` if they are not in the expected form.
    pub fn key(&self) -> Option<(&str, u32)> {
        let (job, number) = self.task.rsplit_once('/')?;
        Some((job, number.parse().ok()?))
    }
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Start an attempt of a task.
    Run {
        /// Job id and task number.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the new attempt.
        #[serde(rename = "try_no")]
        attempt: u64,
    },
    /// Load a model into a slot, so that a task can be attached to it.
    Load {
        /// Number of the slot.
        slot: u64,
        /// The model.
        model: String,
        /// Its version.
        version: u64,
        /// Its image.
        #[serde(rename = "bundle")]
        image: String,
        /// Size of the image.
        size_gb: f64,
        /// CPU cores that the slot takes.
        #[serde(rename = "cores")]
        cpus: f64,
        /// Accelerators that it takes.
        #[serde(rename = "cards")]
        gpus: f64,
        /// Gigabytes of memory that it takes.
        mem_gb: f64,
    },
    /// Unload a slot.
    Unload {
        /// Number of the slot.
        slot: u64,
    },
    /// Start an attempt of a task with the loaded model of a slot, or as `run` does if the slot is
    /// not there.
    Attach {
        /// Job id and task number.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the new attempt.
        #[serde(rename = "try_no")]
        attempt: u64,
        /// Number of the slot.
        slot: u64,
    },
    /// End an attempt, with time to save its state.
    Stop {
        /// Job id and task number.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try_no")]
        attempt: u64,
        /// Seconds that it has for saving its state.
        #[serde(rename = "drain_s")]
        grace_s: f64,
    },
    /// Forget an attempt that has ended.
    Reap {
        /// Job id and task number.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try_no")]
        attempt: u64,
    },
}

impl Order {
    /// The order to start an attempt of a task.
    pub fn run(job: &str, attempt: &TaskAttempt) -> Order {
        let task = format!("{job}/{}", attempt.key.task);
        match attempt.slot {
            Some(slot) => Order::Attach { task, attempt: attempt.attempt, slot },
            None => Order::Run { task, attempt: attempt.attempt },
        }
    }

    /// The order to stop an attempt of a task.
    pub fn stop(job: &str, attempt: &TaskAttempt, grace_s: f64) -> Order {
        Order::Stop { task: format!("{job}/{}", attempt.key.task), attempt: attempt.attempt, grace_s }
    }

    /// The order to forget an attempt of a task.
    pub fn reap(job: &str, attempt: &TaskAttempt) -> Order {
        Order::Reap { task: format!("{job}/{}", attempt.key.task), attempt: attempt.attempt }
    }
}

/// The reply to a heartbeat.
pub fn orders(fencing_token: FencingToken, orders: &[Order]) -> Value {
    json!({ "fence": fencing_token, "orders": orders })
}

/// The body of a direct command.
pub fn direct(fencing_token: FencingToken, agent_epoch: u64, orders: &[Order]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "fence": fencing_token, "tenure": agent_epoch, "orders": orders })).unwrap_or_default()
}

/// The refusal of a heartbeat by a node that does not lead the machine's partition.
pub fn redirect(node: Option<&str>) -> Value {
    match node {
        Some(node) => json!({ "reports_to": node }),
        None => json!({}),
    }
}

/// The path of a direct command.
pub const DO_PATH: &str = "/do";
