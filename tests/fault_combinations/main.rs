//! Combinations of faults: whole deployments in simulated time. A failed day prints
//! its seed; `BADGERDRIFT_SEED=7 cargo test --test fault_combinations random` runs it again.

#![expect(clippy::disallowed_methods, reason = "only a controller's own tasks are kept together")]

mod answers;
mod cancellations;
mod faulty_machines;
mod guests;
mod leaders;
mod limits;
mod mistakes;
mod paused_controllers;
mod pipelines;
mod poll_storms;
#[allow(dead_code, reason = "declared as they are in production")]
#[path = "../stand_ins/production_format.rs"]
mod production_format;
mod random_days;
mod rollouts;
mod scenario;
#[path = "../sim/mod.rs"]
mod sim;
mod slow_boots;
#[path = "../stand_ins/store.rs"]
mod store;
mod teams;
mod writes;
