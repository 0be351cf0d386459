//! Input and output types of a partition: messages, answers and commits.

use crate::api::refusal::RefusalReason;
use crate::model::FencingToken;
use crate::model::{HostIndex, JobIndex, JobPhase, UnsavedChange};
use crate::wire::{Condition, Heartbeat, Order, Write};
use std::net::SocketAddr;

/// Origin of a worker's status. Only a heartbeat proves that the replies to earlier heartbeats can no
/// longer arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusSource {
    /// The worker sent the status on its own, at regular intervals.
    Heartbeat,
    /// The status is the answer to a direct command.
    DirectCommandReply,
}

/// A direct command that is to be sent to a worker.
#[derive(Debug)]
pub struct DirectCommand {
    /// Index of the host in the state of the partition.
    pub host: HostIndex,
    /// Id of the host.
    pub id: String,
    /// Address at which the worker accepts direct commands.
    pub addr: SocketAddr,
    /// Fencing token of the leader when the command was created.
    pub fencing_token: FencingToken,
    /// Agent epoch of the worker that the command is meant for; 0 if not known yet.
    pub agent_epoch: u64,
    /// Sequence number of the last heartbeat before the command was created; 0 if there was none.
    pub last_sequence: u64,
    /// Orders for the worker; empty for a probe.
    pub orders: Vec<Order>,
}

/// Outcome of a direct command.
#[derive(Debug)]
pub enum DirectCommandOutcome {
    /// The worker carried the command out (200) and answered with its status.
    Answered(Box<Heartbeat>),
    /// The worker refused the command for its fencing token or agent epoch (409) and answered with its status.
    Refused(Box<Heartbeat>),
    /// The worker cannot have received the command.
    NotSent,
    /// The worker may have received the command, or may still receive it.
    Indeterminate,
}

/// The record of a job in a commit in flight.
#[derive(Debug, Clone, PartialEq)]
pub struct JobWrite {
    /// Index of the job.
    pub job: JobIndex,
    /// Change that the write records.
    pub change: UnsavedChange,
    /// Whether an earlier write of the job's end was already indeterminate when this write was sent.
    pub end_was_indeterminate: bool,
    /// Done tasks that the write records, as half-open ranges `(first, end)`.
    pub done: Vec<(u32, u32)>,
}

/// A write in a commit in flight.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingWrite {
    /// The record of a job.
    Job(JobWrite),
    /// The record of a host.
    Host(HostIndex),
    /// The record of a host that is transferred to another partition.
    TransferredHost {
        /// Index of the host.
        host: HostIndex,
        /// Number of the partition that the host is transferred to.
        to: u32,
    },
    /// Records of warm pools.
    Pools,
    /// Records of loans between teams.
    Loans,
    /// The deletion of this key.
    DeletedKey(String),
}

/// A commit that is to be sent.
#[derive(Debug)]
pub struct Commit {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Changes, which are carried out atomically.
    pub writes: Vec<Write>,
}

/// Outcome of a commit.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The changes were carried out.
    Done {
        /// Revision of the state service at which the changes were carried out.
        revision: u64,
    },
    /// Nothing was changed, because a condition did not hold.
    Conflict {
        /// Keys whose conditions did not hold.
        failed: Vec<String>,
    },
    /// Nothing was changed, because the state service refused the request.
    Refused,
    /// Nothing was changed, because the rate limit of the state service was exceeded.
    Throttled,
    /// Nothing was changed: the state service rejects this commit permanently. One of its values, or the
    /// commit as a whole, may be too large.
    Rejected,
    /// The changes may have been carried out, or may still be.
    Indeterminate,
}

/// Result of routing a host's heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostRouting {
    /// This partition handles the heartbeat.
    Local,
    /// The host belongs to this partition, but its heartbeats are handled only under a higher fencing
    /// token, which the leader does not have yet.
    AwaitsHigherToken,
    /// The host belongs to the partition with this number.
    OtherPartition(u32),
    /// The host does not belong to this partition, and its partition is not known.
    Unknown,
}

/// The version of the partition's key has changed: the partition has another leader, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Superseded;

/// Answer to a user request.
#[derive(Debug, Clone, PartialEq)]
pub enum UserAnswer {
    /// The job is recorded.
    Accepted {
        /// Whether this submission created the job; `false` if it was already known.
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
        /// Number of tasks that are done.
        done: u32,
        /// Number of tasks that are running.
        running: u32,
    },
    /// The submission violates the protocol, for the given reason.
    InvalidSubmission(String),
    /// The submission is well-formed but cannot be served, for the given reason.
    Unschedulable(String),
    /// The job is unknown.
    Unknown,
    /// The request cannot be answered at present, for the given reason.
    RetryLater(RefusalReason),
    /// The backlog of records to be written is too long. Holds the number of seconds after which to
    /// retry.
    Busy(u64),
}

/// Channel to a client that waits for a commit concerning a job.
pub type Waiter = tokio::sync::oneshot::Sender<UserAnswer>;
