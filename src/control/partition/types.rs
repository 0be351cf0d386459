//! Messages, answers and commits that a partition takes and gives.

use crate::api::refusal::RefusalReason;
use crate::model::FencingToken;
use crate::model::{HostIndex, JobIndex, JobPhase, UnsavedChange};
use crate::wire::{Condition, Heartbeat, Order, Write};
use std::net::SocketAddr;

/// How a worker's status came. Only a heartbeat proves that the replies to the heartbeats before
/// it are over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusSource {
    /// Sent by the worker on its own, at regular intervals.
    Heartbeat,
    /// The answer to a direct command.
    DirectCommandReply,
}

/// A direct command to be sent.
#[derive(Debug)]
pub struct DirectCommand {
    /// The machine, in the partition's state.
    pub host: HostIndex,
    /// Id of the machine.
    pub id: String,
    /// Where its worker takes direct commands.
    pub addr: SocketAddr,
    /// The leader's fencing token when the command was made.
    pub fencing_token: FencingToken,
    /// Agent epoch of the worker that the command is meant for; 0 if not known yet.
    pub agent_epoch: u64,
    /// What the worker is to do; empty for a mere probe.
    pub orders: Vec<Order>,
}

/// How a direct command ended.
#[derive(Debug)]
pub enum DirectCommandOutcome {
    /// 200 or 409, with the worker's status.
    Answered(Box<Heartbeat>),
    /// The worker cannot have received it.
    NotSent,
    /// The worker may have received it, or may still do so.
    Indeterminate,
}

/// A job's record in a commit under way.
#[derive(Debug, Clone, PartialEq)]
pub struct JobWrite {
    /// The job.
    pub job: JobIndex,
    /// The change that it records.
    pub change: UnsavedChange,
    /// Whether an earlier write of the job's end could still be carried out already.
    pub end_was_indeterminate: bool,
    /// The done tasks that it records, as ranges: first, and one past the last.
    pub done: Vec<(u32, u32)>,
}

/// What a commit under way will have written.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingWrite {
    /// The record of a job.
    Job(JobWrite),
    /// The record of a machine.
    Host(HostIndex),
    /// The record of a machine that is transferred to another partition.
    TransferredHost {
        /// The machine.
        host: HostIndex,
        /// The partition.
        to: u32,
    },
    /// Records of warm pools.
    Pools,
    /// Records of loans between teams.
    Loans,
    /// The deletion of this key.
    DeletedKey(String),
}

/// A commit to be sent.
#[derive(Debug)]
pub struct Commit {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Changes, which are made all or not at all.
    pub writes: Vec<Write>,
}

/// How a commit ended.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The changes were made.
    Done {
        /// Revision of the state service that they were made at.
        revision: u64,
    },
    /// Nothing was changed, as a condition did not hold.
    Conflict {
        /// Keys whose conditions did not hold.
        failed: Vec<String>,
    },
    /// Nothing was changed.
    Refused,
    /// Nothing was changed, as there were too many changes lately.
    Throttled,
    /// Nothing was changed: the service takes no such commit, now or later. Its values or the
    /// whole may be too large.
    NotTaken,
    /// The changes may have been made, or may still be.
    Indeterminate,
}

/// Whether a partition takes a machine's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostRouting {
    /// The partition takes them.
    Local,
    /// Ours, but only under a fencing token that is still to come.
    AwaitsHigherToken,
    /// The machine belongs to the partition of this number.
    OtherPartition(u32),
    /// Not this partition's, and it does not know whose.
    Unknown,
}

/// The partition has another leader, or none: its key is not as it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Superseded;

/// The answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum UserAnswer {
    /// The job is recorded.
    Accepted {
        /// True if this submission created it; false if it was known already.
        created: bool,
        /// Id of the job.
        id: String,
        /// Phase of the job.
        phase: JobPhase,
    },
    /// The state of a job.
    Status {
        /// Id of the job.
        id: String,
        /// Phase of the job.
        phase: JobPhase,
        /// Tasks that are done.
        done: u32,
        /// Tasks that run.
        running: u32,
    },
    /// The submission does not follow the protocol; with the reason.
    InvalidSubmission(String),
    /// The submission is well-formed but cannot be served; with the reason.
    Unschedulable(String),
    /// There is no such job.
    Unknown,
    /// Cannot be answered now; with the reason.
    RetryLater(RefusalReason),
    /// More is waiting to be recorded than can be soon: again in so many seconds.
    Busy(u64),
}

/// Waits for a commit about a job.
pub type Waiter = tokio::sync::oneshot::Sender<UserAnswer>;
