//! The configuration that several regions share: controllers of three regions in simulated time, over a network in
//! memory, with a state service for each region.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]
#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod changes;
mod faults;
#[path = "../common/fixed_randomness.rs"]
mod fixed_randomness;
mod fleet;
mod random_faults;
