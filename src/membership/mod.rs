//! Who holds a part: grants of the state service, terms, promises between
//! controllers, takeover. One actor for each part.
//!
//! A part is held by the key `part/N`, which is attached to a grant. A holder
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
pub use entitlement::{Bonds, Entitlement};
pub use messages::{Msg, Seat, Taken, Tenancy};
pub use records::{PartRecord, TERM_KEY, TermRecord, part_key};
pub use rules::Rules;
pub use takeover::{RaisedTerm, raise_term};

#[cfg(test)]
mod tests;
