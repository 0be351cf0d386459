//! Protocol between controllers: CBOR messages in length-prefixed frames. A response carries the
//! number of its request.

mod client;
mod connections;
mod frames;
mod messages;
mod server;

pub use client::{Peer, PeerTimeouts};
pub(crate) use frames::MAX_FRAME_BYTES;
pub use messages::{CapacityReport, MachineGroup, PeerRequest, PeerResponse, UserCall};
pub use server::serve;

#[cfg(test)]
pub mod tests;
