//! Who holds a partition: leases of the state service, fencing tokens, pledges between
//! controllers, failover. One actor for each partition.
//!
//! A partition is held by the key `part/N`, which is attached to a lease. A leader
//! holds the leader lease to act until the lease could end, counted from when its last
//! renewal was sent, or until the pledges of all other controllers end.

mod actor;
mod failover;
mod leader_lease;
mod messages;
mod records;
mod rules;
mod succession;
mod watch;

pub use actor::Membership;
pub use failover::{RaisedToken, raise_fencing_token};
pub use leader_lease::{LeaderLease, PledgeStatus};
pub use messages::{AcquiredLeadership, LeaderStatus, LeadershipChange, Message};
pub use records::{FENCING_TOKEN_KEY, FencingTokenRecord, PartitionRecord, partition_key};
pub use rules::MembershipRules;
pub use succession::Succession;

#[cfg(test)]
mod tests;
