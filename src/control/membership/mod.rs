//! Leader election of a partition: leases in the state service, fencing tokens, pledges between
//! controllers, and failover. Each partition has its own election actor.
//!
//! The leader of a partition has written the key `part/N`, which is attached to a lease. It may
//! act until the earliest instant at which that lease could expire, counted from the sending of
//! its last renewal, or until the earliest expiry of the pledges of all other controllers,
//! whichever is later. A pledge is the promise of a controller not to campaign for a limited time.
//! Every leadership has a fencing token of its own from one counter, and commits are conditional on
//! the version of the key.

mod actor;
mod campaign;
mod election;
mod failover_order;
mod leader_lease;
mod leader_state;
mod messages;
mod partition_watch;
mod records;

pub use actor::ElectionActor;
pub use campaign::{AcquireError, PartitionKeyUpdate, RaisedFencingToken, raise_fencing_token};
pub use election::Election;
pub use failover_order::FailoverOrder;
pub use leader_lease::{LeaderLease, PledgeStatus};
pub use messages::{
    AcquiredLeadership, EarlierPledges, ElectionMessage, LeaderStatus, LeadershipChange, PledgeRequest,
};
pub use records::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, partition_key};

#[cfg(test)]
mod tests;
