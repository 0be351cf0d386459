//! Who leads a partition: leases of the state store, fencing tokens, pledges between
//! controllers, failover. One actor for each partition.
//!
//! The leader of a partition has written the key `part/N`, which is attached to a lease. It may
//! act until that lease could end, counted from the sending of its last renewal, or until the
//! pledges of all other controllers end, whichever is later. Every leadership has a fencing
//! token of its own from one counter, and commits are conditional on the version of the key.

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
pub use campaign::{AcquireError, PartitionKeyUpdate, RaisedToken, raise_fencing_token};
pub use election::Election;
pub use failover_order::FailoverOrder;
pub use leader_lease::{LeaderLease, PledgeStatus};
pub use messages::{AcquiredLeadership, EarlierPledges, LeaderStatus, LeadershipChange, Message, PledgeRequest};
pub use records::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, partition_key};

#[cfg(test)]
mod tests;
