//! State of a partition: jobs with their tasks, and machines with the task attempts on them.
//!
//! The types of this module hold data. Decisions are made in `scheduling`; the protocol with machines
//! and users is in `control::partition`.
//!
//! Fields whose names end in `_ms` are milliseconds of the steady clock or of the wall clock, as their
//! comments state. Values of the two clocks are never combined.

mod borrowing;
mod cluster;
mod dependencies;
mod fencing_token;
mod host;
mod image_cache;
mod instance_type;
mod job;
mod job_tasks;
mod records;
mod resources;
mod spec;
mod task;
mod warm_reservation;

pub use borrowing::BorrowingState;
pub use cluster::{ClusterState, ExpectedDemand, HostOffering};
pub use dependencies::Dependencies;
pub use fencing_token::{FencingToken, FencingTokenRange};
pub use host::{Host, HostIndex, Reservation, UNREACHABLE_AFTER_UNANSWERED};
pub use image_cache::CachedImage;
pub use instance_type::{InstanceOffering, InstanceType};
pub use job::{Job, JobEnd, JobIndex, JobPhase, UnsavedChange};
pub use job_tasks::{JobTasks, PlacedTask};
pub use records::{HostRecord, JobRecord};
pub use resources::Demand;
pub use spec::{Shape, Spec, Urgency};
pub use task::{ExitReason, Place, Task, TaskAttempt, TaskKey, TaskPhase};
pub use warm_reservation::{WarmReservation, WarmReservationClaim, WarmReservationOffer};
