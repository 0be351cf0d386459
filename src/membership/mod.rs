//! Who holds a partition: grants of the state service, terms, promises between
//! controllers, failover. One actor for each partition.
//!
//! A partition is held by the key `part/N`, which is attached to a grant. A leader
//! is entitled to act until the grant could end, counted from when its last
//! renewal was sent, or until the promises of all other controllers end.

mod actor;
mod entitlement;
mod failover;
mod messages;
mod records;
mod rules;
mod succession;
mod watch;

pub use actor::Membership;
pub use entitlement::{Entitlement, PromiseStatus};
pub use failover::{RaisedTerm, raise_term};
pub use messages::{AcquiredLeadership, LeaderStatus, LeadershipChange, Message};
pub use records::{PartitionRecord, TERM_KEY, TermRecord, partition_key};
pub use rules::MembershipRules;
pub use succession::Succession;

#[cfg(test)]
mod tests;
