//! Messages between workers and controllers: heartbeats, orders and direct commands.
//!
//! The heartbeats of a machine are ordered by agent epoch, then by sequence number. A direct command
//! without an answer may be carried out minutes later. This is ruled out only once a heartbeat shows
//! a higher fencing token or agent epoch, or once the machine is terminated.

use crate::model::{ExitReason, FencingToken, TaskAttempt, TaskPhase};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// A heartbeat of a worker.
#[derive(Debug, Clone, Deserialize)]
pub struct Heartbeat {
    /// Id of the machine.
    pub host: String,
    /// Address at which the worker accepts direct commands.
    pub addr: SocketAddr,
    /// Name of the machine's instance type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone of the machine.
    #[serde(rename = "region")]
    pub zone: String,
    /// Whether the cloud may preempt the machine.
    #[serde(default, rename = "preemptible")]
    pub spot: bool,
    /// Epoch of the agent; it increases with each start of the agent on the machine.
    #[serde(rename = "tenure")]
    pub agent_epoch: u64,
    /// Sequence number of the heartbeat in its epoch.
    #[serde(rename = "serial")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(default)]
    #[serde(rename = "fence")]
    pub seen_token: FencingToken,
    /// Number of seconds until the cloud preempts the machine; `None` if the cloud has given no notice.
    #[serde(default)]
    pub warning_s: Option<f64>,
    /// The tasks on the machine.
    #[serde(default, rename = "shards")]
    pub tasks: Vec<TaskStatus>,
    /// Loaded models that are not attached to a task; `None` from a worker that does not implement the
    /// extension of `docs/warm-pools.md`.
    #[serde(default)]
    pub slots: Option<Vec<SlotStatus>>,
}

/// A loaded model in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct SlotStatus {
    /// Number of the slot.
    pub slot: u64,
    /// Whether the model would answer requests as soon as a task is attached to the slot.
    pub ready: bool,
}

/// An attempt of a task as a heartbeat states it.
#[derive(Debug, Clone, Deserialize)]
pub struct TaskStatus {
    /// Job id and task number.
    #[serde(rename = "shard")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try_no")]
    pub attempt: u64,
    /// Phase of the attempt.
    phase: WireTaskPhase,
    /// Reason for which the attempt ended; `None` if it has not ended.
    #[serde(default)]
    exit_reason: Option<WireExitReason>,
    /// Whether the attempt saved its state when it was stopped.
    #[serde(default)]
    stored: bool,
}

/// Phase of an attempt, by its name in the protocol.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireTaskPhase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended,
    #[serde(other)]
    Unknown,
}

/// Reason for which an attempt ended, by its name in the protocol.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireExitReason {
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
    /// Returns the phase of the attempt; an unknown phase counts as running, and an unknown or missing
    /// exit reason as an error.
    pub fn phase(&self) -> TaskPhase {
        match self.phase {
            WireTaskPhase::Fetching => TaskPhase::Fetching,
            WireTaskPhase::Gathering => TaskPhase::Gathering,
            WireTaskPhase::Running | WireTaskPhase::Unknown => TaskPhase::Running,
            WireTaskPhase::Flushing => TaskPhase::Saving,
            WireTaskPhase::Ended => TaskPhase::Ended(match self.exit_reason {
                Some(WireExitReason::Done) => ExitReason::Done,
                Some(WireExitReason::Halted) => ExitReason::Stopped { saved: self.stored },
                Some(WireExitReason::MatesGone) => ExitReason::MatesGone,
                Some(WireExitReason::Incomplete) => ExitReason::Incomplete,
                Some(WireExitReason::NoRoom) => ExitReason::NoRoom,
                Some(WireExitReason::InUse) => ExitReason::InUse,
                Some(WireExitReason::NoSuch) => ExitReason::NoSuch,
                Some(WireExitReason::Error | WireExitReason::Unknown) | None => ExitReason::Error,
            }),
        }
    }

    /// Returns the job id and the task number; `None` if they are not in the expected form.
    pub fn key(&self) -> Option<(&str, u32)> {
        let (job, number) = self.task.rsplit_once('/')?;
        Some((job, number.parse().ok()?))
    }
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Starts an attempt of a task.
    Run {
        /// Job id and task number.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the new attempt.
        #[serde(rename = "try_no")]
        attempt: u64,
    },
    /// Loads a model into a slot, so that a task can be attached to it.
    Load {
        /// Number of the slot.
        slot: u64,
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: u64,
        /// Image of the model.
        #[serde(rename = "bundle")]
        image: String,
        /// Size of the image in gigabytes.
        size_gb: f64,
        /// Number of CPU cores that the slot uses.
        #[serde(rename = "cores")]
        cpus: f64,
        /// Number of accelerators that the slot uses.
        #[serde(rename = "cards")]
        gpus: f64,
        /// Memory that the slot uses, in gigabytes.
        mem_gb: f64,
    },
    /// Unloads the model of a slot.
    Unload {
        /// Number of the slot.
        slot: u64,
    },
    /// Starts an attempt of a task with the loaded model of a slot, or as `Run` does if the worker does
    /// not have the slot.
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
    /// Stops an attempt, with time to save its state.
    Stop {
        /// Job id and task number.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try_no")]
        attempt: u64,
        /// Number of seconds that the attempt has for saving its state.
        #[serde(rename = "drain_s")]
        grace_s: f64,
    },
    /// Makes the worker forget an attempt that has ended.
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
    /// Returns the order to start an attempt of a task, in its slot if it has one.
    pub fn run(job: &str, attempt: &TaskAttempt) -> Order {
        let task = format!("{job}/{}", attempt.key.task);
        match attempt.slot {
            Some(slot) => Order::Attach { task, attempt: attempt.attempt, slot },
            None => Order::Run { task, attempt: attempt.attempt },
        }
    }

    /// Returns whether the order starts an attempt.
    pub fn is_start(&self) -> bool {
        matches!(self, Order::Run { .. } | Order::Attach { .. })
    }

    /// Returns the order to stop an attempt of a task within `grace_s` seconds.
    pub fn stop(job: &str, attempt: &TaskAttempt, grace_s: f64) -> Order {
        Order::Stop { task: format!("{job}/{}", attempt.key.task), attempt: attempt.attempt, grace_s }
    }

    /// Returns the order to forget an attempt of a task.
    pub fn reap(job: &str, attempt: &TaskAttempt) -> Order {
        Order::Reap { task: format!("{job}/{}", attempt.key.task), attempt: attempt.attempt }
    }
}

/// Returns the body of the reply to a heartbeat.
pub fn heartbeat_reply(fencing_token: FencingToken, orders: &[Order]) -> Value {
    json!({ "fence": fencing_token, "orders": orders })
}

/// Returns the body of a direct command.
pub fn direct_command_body(fencing_token: FencingToken, agent_epoch: u64, orders: &[Order]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "fence": fencing_token, "tenure": agent_epoch, "orders": orders })).unwrap_or_default()
}

/// Returns the body of the refusal of a heartbeat by a node that does not lead the machine's partition,
/// with the node that leads it if that is known.
pub fn leader_redirect(node: Option<&str>) -> Value {
    match node {
        Some(node) => json!({ "reports_to": node }),
        None => json!({}),
    }
}

/// Path to which direct commands are posted.
pub const DIRECT_COMMAND_PATH: &str = "/do";
