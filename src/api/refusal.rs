//! Why a request of a user or a worker is refused for now.

use crate::transport::http::Response;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Seconds after which a refused request may come again.
const RETRY_AFTER_S: u64 = 1;

/// The reasons of refusals that a later attempt may not meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// A write of the job's end was sent and may or may not have been made.
    EndBeingRecorded,
    /// The leader of the jobs is not known or gave no answer.
    #[serde(rename = "owner_unreachable")]
    LeaderUnreachable,
    /// The job's record is not written yet.
    JobNotAccepted,
    /// The instance types of the cloud are not known yet.
    MachineTypesUnknown,
    /// No node is known to lead the partition of the machine of a heartbeat.
    #[serde(rename = "machine_unowned")]
    MachineWithoutLeader,
    /// A cancelled job may have tasks on unreachable machines.
    MachineUnreachable,
    /// The partition's actor took too long over a poll or a cancellation.
    NoDecisionInTime,
    /// The partition's number is out of range.
    NoSuchPartition,
    /// This node's leader lease is not valid for the machine of a heartbeat, or the machine is not
    /// known to it.
    #[serde(rename = "not_entitled")]
    NotLeaseHolder,
    /// This node has lost, or does not have, the partition.
    #[serde(rename = "not_owner")]
    NotLeader,
    /// The node can't serve requests, as `GET /ready` answers.
    NotReady,
    /// The job's record is not in a form that this version reads.
    RecordUnreadable,
    /// The state service gave no answer in time.
    StateServiceSilent,
    /// The partition's actor or the state service took too long over a submission.
    SubmissionSlow,
    /// Another region may already have applied a version with the job's team, or a larger limit of it.
    ConfigurationBehind,
    /// The new leader has not read the partition's records yet.
    #[serde(rename = "takeover_under_way")]
    FailoverUnderWay,
    /// The budget for reads of job records is used up.
    TooManyReads,
    /// A controller is of an earlier version, which ignores dependencies.
    ControllerOutdated,
    /// A dependency belongs to another partition: only its record shows its state.
    #[serde(rename = "predecessor_elsewhere")]
    DependencyElsewhere,
    /// Whether a dependency was accepted is not known yet.
    #[serde(rename = "predecessor_unclear")]
    DependencyIndeterminate,
    /// The queue of the partition's actor is full; the worker sends its next heartbeat anyway.
    TooManyReports,
    /// The queue of the partition's actor is full.
    TooManyRequests,
    /// More submissions wait than can be recorded soon, or their budget is used up.
    TooManySubmissions,
}

impl RefusalReason {
    /// The status: 429 where the load is at fault, else 503.
    pub fn status(self) -> u16 {
        match self {
            RefusalReason::SubmissionSlow | RefusalReason::TooManyReads | RefusalReason::TooManySubmissions => 429,
            _ => 503,
        }
    }

    /// Whether the version before this one knows it, too.
    pub fn is_known_to_all(self) -> bool {
        use RefusalReason::{ConfigurationBehind, ControllerOutdated, DependencyElsewhere, DependencyIndeterminate};
        !matches!(self, ConfigurationBehind | ControllerOutdated | DependencyElsewhere | DependencyIndeterminate)
    }

    /// The reason with this name, if this version knows it.
    pub fn from_label(label: &str) -> Option<RefusalReason> {
        serde_json::from_value(serde_json::Value::from(label)).ok()
    }

    /// Its name in metrics.
    pub fn label(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
    }

    /// The refusal, with the usual time until the next attempt.
    pub fn response(self) -> Response {
        self.response_after(RETRY_AFTER_S)
    }

    /// The refusal of a request that may come again after so many seconds.
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
