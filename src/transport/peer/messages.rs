//! Messages between controllers. The names on the wire are fixed, since controllers of an earlier version
//! also send and read them.

use crate::api::refusal::RefusalReason;
use crate::borrowing::{BorrowingRequest, BorrowingResponse};
use crate::configuration::{ConfigurationRequest, ConfigurationResponse};
use crate::model::FencingToken;
use crate::transport::frame_format::FrameFormat;
use crate::warm_pools::{WarmPoolsRequest, WarmPoolsResponse};
use serde::{Deserialize, Deserializer, Serialize};

/// Request to another controller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks the receiver to pledge not to campaign for the leadership of a partition for some time.
    #[serde(rename = "Promise")]
    Pledge {
        /// Number of the partition.
        partition: u32,
        /// Name of the controller that asks for the pledge.
        #[serde(rename = "owner")]
        leader: String,
        /// Fencing token for which the pledge is requested.
        #[serde(rename = "term")]
        fencing_token: FencingToken,
        /// Duration of the pledge in milliseconds.
        for_ms: u64,
        /// Whether the state service has responded to the sender recently.
        state_ok: bool,
    },
    /// Releases a pledge: the sender has stopped acting under this fencing token.
    #[serde(rename = "Release")]
    ReleasePledge {
        /// Number of the partition.
        partition: u32,
        /// Fencing token for which the pledge was given.
        #[serde(rename = "term")]
        fencing_token: FencingToken,
    },
    /// User's request, forwarded to the leader of a partition.
    User {
        /// Number of the partition.
        partition: u32,
        /// User's request.
        call: UserCall,
    },
    /// Report to the provisioner of the machines that a partition needs and of those it does not need.
    CapacityReport(CapacityReport),
    /// Request about the configuration that the regions of a fleet share.
    Configuration(ConfigurationRequest),
    /// Request about warm pools.
    Pools(WarmPoolsRequest),
    /// Request about loans between teams.
    Loans(BorrowingRequest),
    /// Order from the provisioner to transfer a machine, if it is free, to another partition.
    TransferHost {
        /// Number of the partition that the machine belongs to.
        partition: u32,
        /// Id of the machine.
        host: String,
        /// Number of the partition that is to receive the machine.
        to: u32,
    },
}

/// User's request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum UserCall {
    /// Submission of a job, with the body of the HTTP request.
    Submit(Vec<u8>),
    /// Query for the status of the job with this id.
    Status(String),
    /// Cancellation of the job with this id.
    Cancel(String),
}

/// Group of machines of one instance type in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineGroup {
    /// Name of the instance type.
    #[serde(rename = "flavor")]
    pub instance_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
    /// Number of machines.
    pub count: usize,
}

/// Machines that a partition needs, and free machines that it does not need.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Number of the partition.
    pub partition: u32,
    /// Lowest deadline bin among the jobs that wait for capacity; `None` if no job waits.
    pub lowest_bin: Option<u64>,
    /// Number of pending machines that the partition expects to receive.
    pub assumed: usize,
    /// Machines that the partition needs in addition.
    pub wanted: Vec<MachineGroup>,
    /// Ids of free machines that the partition does not need.
    pub spare: Vec<String>,
}

/// Response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The pledge is given, or the request has been carried out.
    #[serde(rename = "Promised")]
    Accepted,
    /// The request is refused, or cannot be carried out.
    #[serde(rename = "No")]
    Rejected,
    /// Response to a capacity report: pending and refused machines.
    PendingMachines {
        /// Machines that the partition is about to receive.
        pending_machines: Vec<MachineGroup>,
        /// Machines that the cloud refused to launch.
        refused: Vec<MachineGroup>,
    },
    /// Response to a request about warm pools.
    Pools(WarmPoolsResponse),
    /// Response to a request about loans between teams.
    Loans(BorrowingResponse),
    /// Response to a request about the shared configuration.
    Configuration(ConfigurationResponse),
    /// Response for the user.
    User {
        /// HTTP status code.
        status: u16,
        /// Body in JSON.
        body: Vec<u8>,
        /// Seconds after which the user may retry; `None` if the response is final.
        retry_after_s: Option<u64>,
        /// Reason of a refusal, for the metrics of the node that forwarded the request; `None` if the request is
        /// not refused or this version does not know the reason.
        #[serde(default, deserialize_with = "known_reason")]
        refusal: Option<RefusalReason>,
    },
}

impl PeerResponse {
    /// Removes the parts of the response that a controller with this format cannot read: the previous
    /// version cannot decode a frame that contains an unknown refusal reason.
    pub(super) fn readable_in(mut self, format: FrameFormat) -> PeerResponse {
        if let PeerResponse::User { refusal, .. } = &mut self
            && !format.is_current()
        {
            refusal.take_if(|reason| !reason.is_known_to_previous_version());
        }
        self
    }
}

/// Deserializes an optional refusal reason from its name; `None` also for a name that this version does not know.
fn known_reason<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<RefusalReason>, D::Error> {
    let name: Option<String> = Option::deserialize(deserializer)?;
    Ok(name.and_then(|name| RefusalReason::from_label(&name)))
}
