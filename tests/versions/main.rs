//! What the version in production and this one store and say to each other.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod configuration_records;
mod frames;
mod peer_frames;
mod records;
mod stored_records;
