//! Compatibility of this version with the version in production and with 0.2.0: records that they store and frames
//! that they exchange.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod configuration_records;
mod frames;
mod peer_frames;
mod records;
mod stored_records;
