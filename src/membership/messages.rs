//! Messages to and from a membership actor.

use super::records::PartitionRecord;
use crate::clients::RequestError;
use tokio::sync::oneshot;

/// What the rest of the node knows of the partition's owner.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Ownership {
    /// Name of the node that holds the partition, if known.
    pub owner: Option<String>,
    /// True if that is this node.
    pub mine: bool,
}

/// What the partition's actor is told.
#[derive(Debug, Clone, PartialEq)]
pub enum OwnershipChange {
    /// This node holds the partition from now on.
    Begin { term: u64, version: u64, grant: u64, start_ms: u64 },
    /// It holds the partition no more.
    End,
}

/// Messages to a membership actor.
#[derive(Debug)]
pub enum Message {
    /// An owner asks this node not to take the partition for a while.
    Promise { owner: String, term: u64, for_ms: u64, state_ok: bool, reply: oneshot::Sender<bool> },
    /// The asker of a promise has stopped acting.
    Release { term: u64 },
    /// The partition's actor found its commits superseded.
    Superseded,
    /// The partition's actor hears its workers no more, and others may.
    Abdicate,
    /// The first look at the state service after the start.
    RecordRead { record: Option<PartitionRecord>, unbound: bool },
    /// The partition's key as the state service has it now.
    Seen(Option<PartitionRecord>),
    /// The answer to a renewal of the grant.
    Extended { grant: u64, sent: u64, result: Result<(), RequestError> },
    /// The answer of another controller to a request for a promise.
    Promised { peer: usize, sent: u64, ok: bool },
    /// The end of an attempt to take the partition.
    Acquired { sent: u64, result: Option<Acquired> },
}

/// A partition that was taken: its grant, its term and the version of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Acquired {
    /// The grant that the key is attached to.
    pub grant: u64,
    /// The term of the partition.
    pub term: u64,
    /// The version of the partition's key.
    pub version: u64,
    /// Wall time at which the system began.
    pub start_ms: u64,
}
