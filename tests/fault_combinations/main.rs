//! Combinations of faults in whole deployments in simulated time. A failed scenario prints its seed;
//! `BADGERDRIFT_SEED=7 cargo test --test fault_combinations random` runs it again.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test ends at the first wrong assumption")]

mod answers;
mod borrowing;
mod cancellations;
mod faulty_machines;
#[path = "../common/fixed_randomness.rs"]
mod fixed_randomness;
mod guests;
mod leaders;
mod limits;
mod load_balancer;
mod mistakes;
mod paused_controllers;
mod pipelines;
mod poll_storms;
mod random_days;
mod repeated_commands;
mod rollouts;
mod scenario;
mod simulation;
mod slow_boots;
mod teams;
mod warm_pools;
mod writes;
