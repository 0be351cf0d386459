//! Messages, answers and commits that a partition takes and gives.

use crate::model::{HostIndex, JobIndex, JobPhase, UnsavedChange};
use crate::refusal::RefusalReason;
use crate::wire::{Order, Report};
use serde_json::Value;
use std::net::SocketAddr;

/// How a report came. Only a reply to a heartbeat proves that the replies before
/// it are over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportSource {
    Heartbeat,
    Direct,
}

/// A direct command to be sent.
#[derive(Debug)]
pub struct Direct {
    pub host: HostIndex,
    pub id: String,
    pub addr: SocketAddr,
    pub term: u64,
    pub tenure: u64,
    pub orders: Vec<Order>,
}

/// How a direct command ended.
#[derive(Debug)]
pub enum DirectResult {
    /// 200 or 409, with the worker's report.
    Answered(Box<Report>),
    NotSent,
    Unclear,
}

/// What a commit under way will have told.
#[derive(Debug, Clone, PartialEq)]
pub enum PendingWrite {
    /// Whether an earlier write of the job's end was open already.
    Job(JobIndex, UnsavedChange, bool),
    Host(HostIndex),
    Given(HostIndex, u32),
    KeyGone(String),
}

/// A commit to be sent.
#[derive(Debug)]
pub struct Commit {
    pub guards: Vec<Value>,
    pub apply: Vec<Value>,
}

/// How a commit ended.
#[derive(Debug)]
pub enum CommitResult {
    Done { revision: u64 },
    Conflict { failed: Vec<String> },
    Refused,
    Unclear,
}

/// Whether a partition takes a machine's reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostRouting {
    Mine,
    /// Ours, but only under a term that is still to come.
    NotYet,
    Elsewhere(u32),
    Unknown,
}

/// The partition has another owner, or none: its key is not as it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Superseded;

/// What a user is told.
#[derive(Debug, Clone, PartialEq)]
pub enum UserAnswer {
    Accepted {
        created: bool,
        id: String,
        phase: JobPhase,
    },
    Status {
        id: String,
        phase: JobPhase,
        done: u32,
        running: u32,
    },
    Malformed(String),
    Impossible(String),
    Unknown,
    RetryLater(RefusalReason),
    /// More is waiting to be recorded than can be soon: again in so many seconds.
    Busy(u64),
}

/// Waits for a commit about a job.
pub type Waiter = tokio::sync::oneshot::Sender<UserAnswer>;
