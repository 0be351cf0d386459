//! Messages to and from a membership actor.

use super::records::PartRecord;
use crate::clients::Fail;
use tokio::sync::oneshot;

/// What the rest of the node knows of the part's holder.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seat {
    /// Name of the node that holds the part, if known.
    pub holder: Option<String>,
    /// True if that is this node.
    pub mine: bool,
}

/// What the part's actor is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Tenancy {
    /// This node holds the part from now on.
    Begin { term: u64, version: u64, grant: u64, start_ms: u64 },
    /// It holds the part no more.
    End,
}

/// Messages to a membership actor.
#[derive(Debug)]
pub enum Msg {
    /// A holder asks this node not to take the part for a while.
    Promise { holder: String, term: u64, for_ms: u64, state_ok: bool, reply: oneshot::Sender<bool> },
    /// The asker of a promise has stopped acting.
    Release { term: u64 },
    /// The part's actor found its commits superseded.
    Superseded,
    /// The part's actor hears its workers no more, and others may.
    Abdicate,
    /// The first look at the state service after the start.
    Looked { record: Option<PartRecord>, unbound: bool },
    /// The part's key as the state service has it now.
    Seen(Option<PartRecord>),
    /// The answer to a renewal of the grant.
    Extended { grant: u64, sent: u64, result: Result<(), Fail> },
    /// The answer of another controller to a request for a promise.
    Promised { peer: usize, sent: u64, ok: bool },
    /// The end of an attempt to take the part.
    Taken { sent: u64, result: Option<Taken> },
}

/// A part that was taken: its grant, its term and the version of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Taken {
    /// The grant that the key is attached to.
    pub grant: u64,
    /// The term of the part.
    pub term: u64,
    /// The version of the part's key.
    pub version: u64,
    /// Wall time at which the system began.
    pub start_ms: u64,
}
