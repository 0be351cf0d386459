//! What a partition knows: jobs with their tasks, machines with the attempts of
//! tasks on them. Plain data; decisions are in `sched`, protocol in `partition`.

mod cluster;
mod dependencies;
mod held_room;
mod host;
mod instance_type;
mod job;
mod lending;
mod records;
mod resources;
mod spec;
mod task;

pub use cluster::{ClusterState, InstanceKind, Reserve};
pub use dependencies::Dependencies;
pub use held_room::{HeldRoom, RoomClaim, RoomOffer};
pub use host::{CachedImage, Claim, Host, HostIndex, UNREACHABLE_AFTER_MISSES};
pub use instance_type::InstanceType;
pub use job::{Job, JobEnd, JobIndex, JobPhase, UnsavedChange};
pub use lending::LendingState;
pub use records::{HostRecord, JobRecord, ranges};
pub use resources::Demand;
pub use spec::{Shape, Spec, Urgency};
pub use task::{ExitReason, Place, Task, TaskAttempt, TaskKey, TaskPhase};
