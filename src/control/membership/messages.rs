//! Messages to and from a membership actor.

use super::records::PartitionRecord;
use crate::clients::RequestError;
use crate::model::FencingToken;
use tokio::sync::oneshot;

/// What the rest of the node knows of the partition's leader.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaderStatus {
    /// Name of the node that holds the partition, if known.
    pub leader: Option<String>,
    /// True if that is this node.
    pub is_self: bool,
}

/// What the partition's actor is told.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipChange {
    /// This node holds the partition from now on.
    Begin {
        /// Term under which it holds the partition.
        fencing_token: FencingToken,
        /// Version of the partition's key.
        version: u64,
        /// Id of the lease that the key is attached to.
        lease_id: u64,
        /// Wall time at which the system began.
        start_ms: u64,
    },
    /// It holds the partition no more.
    End,
}

/// Messages to a membership actor.
#[derive(Debug)]
pub enum Message {
    /// A leader asks this node not to take the partition for a while.
    Pledge {
        /// Name of the node that asks.
        leader: String,
        /// The fencing token that the pledge is for.
        fencing_token: FencingToken,
        /// Duration of the pledge in milliseconds.
        for_ms: u64,
        /// True if the state service has answered the asker lately.
        state_ok: bool,
        /// Takes true if the pledge is given.
        reply: oneshot::Sender<bool>,
    },
    /// The asker of a pledge has stopped acting.
    ReleasePledge {
        /// The fencing token that the pledge was for.
        fencing_token: FencingToken,
    },
    /// The partition's actor found its commits superseded.
    Superseded,
    /// The partition's actor hears its workers no more, and others may.
    YieldLeadership,
    /// The first look at the state service after the start.
    RecordRead {
        /// The partition's key; `None` if nobody holds the partition, or `unbound`.
        record: Option<PartitionRecord>,
        /// True if no pledge of this node's earlier life binds it.
        unbound: bool,
    },
    /// The partition's key as the state service has it now.
    Seen(Option<PartitionRecord>),
    /// The answer to a renewal of the lease.
    Extended {
        /// Id of the lease.
        lease_id: u64,
        /// Steady time at which the request was sent.
        sent: u64,
        /// The outcome of the request.
        result: Result<(), RequestError>,
    },
    /// The answer of another controller to a request for a pledge.
    Pledged {
        /// Index of the other controller.
        peer: usize,
        /// Steady time at which the request was sent.
        sent: u64,
        /// True if the pledge was given.
        ok: bool,
    },
    /// The end of an attempt to take the partition.
    AcquiredLeadership {
        /// Steady time at which the attempt began.
        sent: u64,
        /// What was taken; `None` if the attempt failed.
        result: Option<AcquiredLeadership>,
    },
}

/// A partition that was taken: its lease, its fencing token and the version of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct AcquiredLeadership {
    /// The lease that the key is attached to.
    pub lease_id: u64,
    /// The fencing token of the partition.
    pub fencing_token: FencingToken,
    /// The version of the partition's key.
    pub version: u64,
    /// Wall time at which the system began.
    pub start_ms: u64,
}
