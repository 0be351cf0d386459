//! Scheduling decisions: the scheduling cycle (placement, gangs, preemption) and the capacity plan
//! (scale-out, scale-in, drains). All functions are synchronous, do no I/O and read no clock.
//!
//! Times named `now` or ending in `_ms` are in milliseconds. They are read from the steady clock for
//! machines, attempts and tasks, and from the wall clock (`wall`) for the acceptance, readiness and
//! deadlines of jobs.
//!
//! This module depends on `model` and `settings` only. `control` and `provisioning` call it and carry
//! out its decisions.

pub mod dependency_graph;
pub mod task_locations;

mod admission;
mod cycle;
mod host_eligibility;
mod index;
mod plan;
mod policy;
mod task_requirements;
#[cfg(test)]
mod tests;

pub use admission::{Unschedulable, unschedulable_reason};
pub use cycle::{Assignment, CycleDecisions, Preemption, RefusedLoan, StopCause, schedule};
pub use host_eligibility::{is_joining, is_usable};
pub use index::CapacityIndex;
pub use plan::{
    Availability, AvailabilityFn, CapacityPlan, ClassArrivals, Drain, ExpectedWork, MAX_NEW_MACHINES, Migration,
    ScaleOut, expected_demands, plan_capacity,
};
pub use policy::{Policy, StartObjective, TeamRule};
