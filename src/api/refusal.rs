//! Reasons for which requests of users and workers are refused temporarily.

use crate::transport::http::Response;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Default value of `Retry-After`, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// A reason for refusing a request that a later attempt may not meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A commit with the job's end was sent and its outcome is not known yet.
    EndBeingRecorded,
    /// The leader of the job's partition is not known or gave no answer.
    #[serde(rename = "owner_unreachable")]
    LeaderUnreachable,
    /// The record of the job is not committed yet.
    JobNotAccepted,
    /// The instance types that the cloud offers are not known yet.
    MachineTypesUnknown,
    /// No leader is known for the partition to which the machine of a heartbeat belongs.
    #[serde(rename = "machine_unowned")]
    MachineWithoutLeader,
    /// The cancelled job may still have tasks on unreachable machines.
    MachineUnreachable,
    /// The partition's actor did not decide about a poll or a cancellation within the time limit.
    NoDecisionInTime,
    /// No partition has the requested number.
    NoSuchPartition,
    /// This node has no valid leader lease for the machine of a heartbeat, or does not know the
    /// machine.
    #[serde(rename = "not_entitled")]
    NotLeaseHolder,
    /// This node does not lead the partition, or no longer does.
    #[serde(rename = "not_owner")]
    NotLeader,
    /// `GET /ready`: this node can't serve requests now.
    NotReady,
    /// The record of the job can't be parsed by this version.
    RecordUnreadable,
    /// The state service gave no answer within the timeout.
    StateServiceSilent,
    /// The partition's actor or the state service did not complete a submission within the time limit.
    SubmissionSlow,
    /// Another region may already have applied a version of the shared configuration that contains
    /// the job's team or a larger limit for it.
    ConfigurationBehind,
    /// The new leader of the partition has not read its records yet.
    #[serde(rename = "takeover_under_way")]
    FailoverUnderWay,
    /// This node has used up its budget for reads of job records.
    TooManyReads,
    /// A controller runs an earlier version, which ignores dependencies.
    ControllerOutdated,
    /// A dependency belongs to another partition, so that only its record shows its state.
    #[serde(rename = "predecessor_elsewhere")]
    DependencyElsewhere,
    /// It is not known yet whether a dependency was accepted.
    #[serde(rename = "predecessor_unclear")]
    DependencyIndeterminate,
    /// The queue of the partition's actor is full, so that a heartbeat was dropped; the worker sends
    /// the next one after its usual interval.
    TooManyReports,
    /// The queue of the partition's actor is full, so that a user's request was dropped.
    TooManyRequests,
    /// More submissions wait for their commits than can be made soon, or the budget for them is
    /// used up.
    TooManySubmissions,
}

impl RefusalReason {
    /// Returns the HTTP status: 429 if the request was refused for the load, 503 otherwise.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::SubmissionSlow | RefusalReason::TooManyReads | RefusalReason::TooManySubmissions => 429,
            _ => 503,
        }
    }

    /// Returns whether the previous version of the software knows the reason as well.
    pub fn is_known_to_previous_version(self) -> bool {
        use RefusalReason::{ConfigurationBehind, ControllerOutdated, DependencyElsewhere, DependencyIndeterminate};
        !matches!(self, ConfigurationBehind | ControllerOutdated | DependencyElsewhere | DependencyIndeterminate)
    }

    /// Returns the reason with the given name in metrics; `None` if this version has no such reason.
    pub fn from_label(label: &str) -> Option<RefusalReason> {
        serde_json::from_value(serde_json::Value::from(label)).ok()
    }

    /// Returns the name of the reason in metrics.
    pub fn label(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
    }

    /// Returns the refusal with the default `Retry-After`.
    pub fn response(self) -> Response {
        self.response_after(RETRY_AFTER_S)
    }

    /// Returns the refusal with the given `Retry-After`, in seconds.
    pub fn response_after(self, retry_after_s: u64) -> Response {
        let refusal = Response::error(self.status(), &self.to_string());
        Response { retry_after_s: Some(retry_after_s), refusal: Some(self), ..refusal }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RefusalReason::ConfigurationBehind => "another region may know the team or its limit already",
            RefusalReason::EndBeingRecorded => "the job's end is being recorded",
            RefusalReason::LeaderUnreachable => "the owner of the jobs can't be reached",
            RefusalReason::JobNotAccepted => "the job is not accepted yet",
            RefusalReason::MachineTypesUnknown => "the machine types are not known yet",
            RefusalReason::MachineWithoutLeader => "nobody owns the machine",
            RefusalReason::MachineUnreachable => "some of the job's machines can't be reached",
            RefusalReason::NoDecisionInTime | RefusalReason::SubmissionSlow => "no decision in time",
            RefusalReason::NoSuchPartition => "no such partition",
            RefusalReason::NotLeaseHolder => "not entitled to act",
            RefusalReason::NotLeader => "this node does not own the jobs",
            RefusalReason::NotReady => "not ready",
            RefusalReason::RecordUnreadable => "the job's record can't be read",
            RefusalReason::StateServiceSilent => "the state service gives no answer",
            RefusalReason::FailoverUnderWay => "the jobs are being taken over",
            RefusalReason::TooManyReads => "too many reads of job records",
            RefusalReason::ControllerOutdated => "a controller is of an earlier version",
            RefusalReason::DependencyElsewhere => "a job that is waited for belongs to another partition",
            RefusalReason::DependencyIndeterminate => "whether a job that is waited for was accepted is not known yet",
            RefusalReason::TooManyReports => "too many reports",
            RefusalReason::TooManyRequests => "too many requests",
            RefusalReason::TooManySubmissions => "too many submissions",
        })
    }
}

#[cfg(test)]
mod tests;
