//! What a partition knows: jobs with their tasks, machines with the attempts of
//! tasks on them. Plain data; decisions are in `sched`, protocol in `partition`.

mod borrowing;
mod cluster;
mod dependencies;
mod fencing_token;
mod host;
mod instance_type;
mod job;
mod records;
mod resources;
mod spec;
mod task;
mod warm_reservation;

pub use borrowing::BorrowingState;
pub use cluster::{ClusterState, InstanceKind, Reserve};
pub use dependencies::Dependencies;
pub use fencing_token::FencingToken;
pub use host::{CachedImage, Host, HostIndex, Reservation, UNREACHABLE_AFTER_MISSES};
pub use instance_type::{InstanceOffering, InstanceType};
pub use job::{Job, JobEnd, JobIndex, JobPhase, UnsavedChange};
pub use records::{HostRecord, JobRecord, ranges};
pub use resources::Demand;
pub use spec::{Shape, Spec, Urgency};
pub use task::{ExitReason, Place, Task, TaskAttempt, TaskKey, TaskPhase};
pub use warm_reservation::{WarmReservation, WarmReservationClaim, WarmReservationOffer};
