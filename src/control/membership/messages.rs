//! Messages to and from the election actor of a partition.

use super::records::PartitionRecord;
use crate::clients::RequestError;
use crate::model::{FencingToken, FencingTokenRange};
use tokio::sync::oneshot;

/// Leader of the partition, as published to the rest of the node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaderStatus {
    /// Name of the node that leads the partition, if known.
    pub leader: Option<String>,
    /// Whether this node is the leader.
    pub is_local: bool,
}

/// Notification to the partition's actor that this node has become or ceased to be the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipChange {
    /// This node has acquired the leadership.
    Begin(AcquiredLeadership),
    /// This node no longer leads the partition.
    End,
}

/// Request of a leader that the receiver pledges not to campaign for a limited time.
#[derive(Debug, Clone, PartialEq)]
pub struct PledgeRequest {
    /// Name of the requesting node.
    pub leader: String,
    /// Fencing token of its leadership.
    pub fencing_token: FencingToken,
    /// Duration of the pledge in milliseconds.
    pub for_ms: u64,
    /// Whether the state service has recently answered the requesting node.
    pub store_responsive: bool,
}

/// Whether pledges from before a restart may still bind this node, as the records read after the
/// start show.
#[derive(Debug)]
pub enum EarlierPledges {
    /// No such pledge binds this node, and no node leads the partition.
    NoneBinding,
    /// Such pledges may bind this node until they expire.
    MayBind {
        /// Record of the partition; `None` if no node leads it or the record cannot be parsed.
        record: Option<PartitionRecord>,
    },
}

/// Message to the election actor. Times are milliseconds of the steady clock.
#[derive(Debug)]
pub enum ElectionMessage {
    /// A leader requests a pledge.
    Pledge {
        /// Request for the pledge.
        request: PledgeRequest,
        /// Receives whether the pledge is given.
        reply: oneshot::Sender<bool>,
    },
    /// A leader that requested a pledge has stopped acting, which releases the pledge.
    ReleasePledge {
        /// Fencing token that the pledge was given for.
        fencing_token: FencingToken,
    },
    /// The partition's actor has found that the partition's key no longer belongs to this node. The message
    /// may arrive late, so that it concerns only the leadership with this lease.
    LeadershipLost {
        /// Id of the lease that the partition's key was attached to.
        lease_id: u64,
    },
    /// The partition's actor receives no heartbeats. Another node may still receive them.
    YieldLeadership,
    /// A record of the partition's leader cannot be parsed.
    RecordUnreadable,
    /// The records of the previous leader have been read after the start.
    StartupRead(EarlierPledges),
    /// The partition's record was read from the state service; `None` if no node leads the partition.
    RecordObserved(Option<PartitionRecord>),
    /// A request to renew the lease has ended.
    LeaseRenewalEnded {
        /// Id of the renewed lease.
        lease_id: u64,
        /// Time at which the request was sent.
        sent_ms: u64,
        /// Outcome of the request.
        result: Result<(), RequestError>,
    },
    /// A peer has given a pledge.
    PledgeReceived {
        /// Index of the peer in the actor's list of peers.
        peer: usize,
        /// Time at which the request was sent.
        sent_ms: u64,
    },
    /// A peer has refused a pledge or has not answered in time.
    PledgeNotReceived,
    /// A campaign has ended.
    CampaignEnded {
        /// Time at which the first request of the campaign was sent.
        sent_ms: u64,
        /// Acquired leadership; `None` if the campaign failed.
        acquired: Option<AcquiredLeadership>,
    },
}

/// Leadership of a partition that was acquired by a commit to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcquiredLeadership {
    /// Id of the lease that the partition's key is attached to.
    pub lease_id: u64,
    /// Fencing tokens of this leadership.
    pub tokens: FencingTokenRange,
    /// Version of the partition's key after the commit.
    pub version: u64,
    /// Wall-clock time of the first start of the deployment, in milliseconds.
    pub start_ms: u64,
}
