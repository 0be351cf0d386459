//! Configuration of a fleet of several regions: a versioned set of documents that the regions
//! agree on, and the amounts that each region may let a team use. The crate does no I/O and reads no
//! clock.
//!
//! The documents change in numbered versions. Each version is one [`Batch`], and the regions
//! agree on it by single-decree Paxos with one acceptor per region ([`Acceptor`], [`Proposer`]),
//! whose state is stored in that region's state service. A region takes part in the agreement on one
//! version at a time: the one after the last version that it has applied.
//!
//! A team's limit is divided among the regions. [`ConfigState::allowance`] returns the amounts that a
//! region may let a team use. If a region's share shrinks, its earlier share stays reserved until the
//! region has confirmed that its leader, and any successor, applies the change.
#![warn(missing_docs)]

mod acceptor;
mod allowance;
mod ballot;
mod change;
mod document;
mod proposer;
mod region;
mod state;

pub use acceptor::{Accepted, Acceptor, Rejection};
pub use allowance::{Allowance, Confirmations, PreviousAllocation, TeamAllowance};
pub use ballot::{Ballot, ProposerId};
pub use change::{Batch, Change, ChangeId, Confirmation, Entry, ReadVersion};
pub use document::{
    Amount, Amounts, Document, DocumentError, DocumentName, OperatorDocument, RegionName, Share, TeamDocument,
};
pub use proposer::{Proposer, Step};
pub use region::{RegionRecord, Reply, Request};
pub use state::{ChangeOutcome, ConfigState, RecordedChange, VersionedDocument};
