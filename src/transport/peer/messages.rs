//! Messages between controllers. The names on the wire are fixed: controllers of an earlier version
//! send and read them too.

use crate::api::refusal::RefusalReason;
use crate::borrowing::{BorrowingRequest, BorrowingResponse};
use crate::configuration::{ConfigurationRequest, ConfigurationResponse};
use crate::model::FencingToken;
use crate::transport::frame_format::FrameFormat;
use crate::warm_pools::{WarmPoolsRequest, WarmPoolsResponse};
use serde::{Deserialize, Deserializer, Serialize};

/// A request to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for a pledge: that the receiver does not campaign for this partition for a while.
    #[serde(rename = "Promise")]
    Pledge {
        /// Number of the partition.
        partition: u32,
        /// Name of the node that asks.
        #[serde(rename = "owner")]
        leader: String,
        /// The fencing token that the pledge is for.
        #[serde(rename = "term")]
        fencing_token: FencingToken,
        /// Duration of the pledge in milliseconds.
        for_ms: u64,
        /// True if the state store has answered the asker lately.
        state_ok: bool,
    },
    /// The asker has stopped acting under this fencing token: its pledge is released.
    #[serde(rename = "Release")]
    ReleasePledge {
        /// Number of the partition.
        partition: u32,
        /// The fencing token that the pledge was for.
        #[serde(rename = "term")]
        fencing_token: FencingToken,
    },
    /// A user's request for the leader of a partition.
    User {
        /// Number of the partition.
        partition: u32,
        /// The request.
        call: UserCall,
    },
    /// To the provisioner: the machines that a partition needs, and could do without.
    CapacityReport(CapacityReport),
    /// A request about the configuration that the regions of a fleet share.
    Configuration(ConfigurationRequest),
    /// A request about warm pools.
    Pools(WarmPoolsRequest),
    /// A request about loans between teams.
    Loans(BorrowingRequest),
    /// From the provisioner: transfer this machine, if it is free, to another partition.
    TransferHost {
        /// Partition that the machine belongs to.
        partition: u32,
        /// Id of the machine.
        host: String,
        /// Partition that is to get it.
        to: u32,
    },
}

/// A user's request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UserCall {
    /// Accept a job; with the body of the submission.
    Submit(Vec<u8>),
    /// The status of the job with this id.
    Status(String),
    /// Cancel the job with this id.
    Cancel(String),
}

/// Machines of one type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// Name of the instance type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// True for spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: usize,
}

/// The machines that a partition needs, and could do without.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Number of the partition.
    pub partition: u32,
    /// The lowest bin of jobs that wait for capacity, if any do.
    pub lowest_bin: Option<u64>,
    /// How many machines it expects to be on their way to it.
    pub assumed: usize,
    /// Machines that it lacks.
    pub wanted: Vec<Machines>,
    /// Ids of free machines that nothing in the partition needs.
    pub spare: Vec<String>,
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The pledge is given, or the request is carried out.
    #[serde(rename = "Promised")]
    Accepted,
    /// The request is refused, or cannot be carried out.
    #[serde(rename = "No")]
    Rejected,
    /// Machines that are on their way to the partition.
    PendingMachines {
        /// Machines that are on their way to the partition.
        pending_machines: Vec<Machines>,
        /// Machines that the cloud has refused.
        refused: Vec<Machines>,
    },
    /// The response about warm pools.
    Pools(WarmPoolsResponse),
    /// The response about loans between teams.
    Loans(BorrowingResponse),
    /// The response about the shared configuration.
    Configuration(ConfigurationResponse),
    /// The response for the user.
    User {
        /// The HTTP status code.
        status: u16,
        /// The body, in JSON.
        body: Vec<u8>,
        /// Seconds after which to ask again; `None` if the answer is final.
        retry_after_s: Option<u64>,
        /// Why the leader refuses, for the counters of the node that asked.
        #[serde(default, deserialize_with = "known_reason")]
        refusal: Option<RefusalReason>,
    },
}

impl PeerResponse {
    /// The response without what a speaker of this format can't read: an unknown reason makes
    /// the whole frame unreadable to the version before.
    pub(super) fn readable_in(mut self, format: FrameFormat) -> PeerResponse {
        if let PeerResponse::User { refusal, .. } = &mut self
            && !format.is_current()
        {
            refusal.take_if(|reason| !reason.is_known_to_all());
        }
        self
    }
}

/// A reason by its name; `None` also for one that this version does not know.
fn known_reason<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<RefusalReason>, D::Error> {
    let name: Option<String> = Option::deserialize(deserializer)?;
    Ok(name.and_then(|name| RefusalReason::from_label(&name)))
}
