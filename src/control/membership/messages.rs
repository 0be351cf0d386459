//! Messages to and from the election actor of a partition.

use super::records::PartitionRecord;
use crate::clients::RequestError;
use crate::model::FencingToken;
use tokio::sync::oneshot;

/// What the rest of the node knows of the partition's leader.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaderStatus {
    /// Name of the node that leads the partition, if known.
    pub leader: Option<String>,
    /// True if that is this node.
    pub is_self: bool,
}

/// Notifies the partition's actor that leadership has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipChange {
    /// This node leads the partition from now on.
    Begin(AcquiredLeadership),
    /// It no longer leads it.
    End,
}

/// A leader's request for a pledge: that the receiver does not campaign for a while.
#[derive(Debug, Clone, PartialEq)]
pub struct PledgeRequest {
    /// Name of the node that asks.
    pub leader: String,
    /// The fencing token under which it leads.
    pub fencing_token: FencingToken,
    /// Duration of the pledge in milliseconds.
    pub for_ms: u64,
    /// True if the state store has answered the asker lately.
    pub store_responsive: bool,
}

/// What the records read after a start show of pledges that were given before a restart.
#[derive(Debug)]
pub enum EarlierPledges {
    /// No such pledge binds this node, and no node leads the partition.
    NoneBinding,
    /// They may bind it until they expire.
    MayBind {
        /// The partition's record; `None` if no node leads the partition.
        record: Option<PartitionRecord>,
    },
}

/// Messages to the election actor. Times are milliseconds of the steady clock.
#[derive(Debug)]
pub enum Message {
    /// A leader asks for a pledge.
    Pledge {
        /// The request.
        request: PledgeRequest,
        /// Takes true if the pledge is given.
        reply: oneshot::Sender<bool>,
    },
    /// A leader that asked for a pledge has stopped acting.
    ReleasePledge {
        /// The fencing token that the pledge was for.
        fencing_token: FencingToken,
    },
    /// The partition's actor found that the partition's key is no longer this node's.
    LeadershipLost,
    /// The partition's actor receives no heartbeats, and another node may.
    YieldLeadership,
    /// The records were read for the first time after the start.
    StartupRead(EarlierPledges),
    /// The partition's record as the state store has it now; `None` if no node leads.
    RecordObserved(Option<PartitionRecord>),
    /// A renewal of the lease has ended.
    LeaseRenewalEnded {
        /// Id of the lease.
        lease_id: u64,
        /// When the request was sent.
        sent_ms: u64,
        /// How it ended.
        result: Result<(), RequestError>,
    },
    /// A peer has given a pledge.
    PledgeReceived {
        /// Index of the peer.
        peer: usize,
        /// When the request was sent.
        sent_ms: u64,
    },
    /// A peer has refused a pledge, or did not answer.
    PledgeMissing,
    /// A campaign has ended.
    CampaignEnded {
        /// When its first request was sent.
        sent_ms: u64,
        /// What was acquired; `None` if the campaign failed.
        acquired: Option<AcquiredLeadership>,
    },
}

/// Leadership of a partition that was acquired by a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcquiredLeadership {
    /// The lease that the partition's key is attached to.
    pub lease_id: u64,
    /// The fencing token of this leadership.
    pub fencing_token: FencingToken,
    /// The version of the partition's key.
    pub version: u64,
    /// Time of day at which the system began, in milliseconds.
    pub start_ms: u64,
}
