//! Who holds a partition: grants of the state service, terms, promises between
//! controllers, takeover. One actor for each partition.
//!
//! A partition is held by the key `part/N`, which is attached to a grant. An owner
//! is entitled to act until the grant could end, counted from when its last
//! renewal was sent, or until the promises of all other controllers end.

mod actor;
mod entitlement;
mod messages;
mod records;
mod rules;
mod takeover;
mod watch;

pub use actor::Membership;
pub use entitlement::{Entitlement, PromiseStatus};
pub use messages::{Acquired, Message, Ownership, OwnershipChange};
pub use records::{PartitionRecord, TERM_KEY, TermRecord, partition_key};
pub use rules::MembershipRules;
pub use takeover::{RaisedTerm, raise_term};

#[cfg(test)]
mod tests;
