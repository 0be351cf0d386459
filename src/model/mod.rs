//! What a part knows: jobs with their tasks, machines with the copies of
//! tasks on them. Plain data; decisions are in `sched`, protocol in `part`.

mod flavor;
mod host;
mod job;
mod records;
mod resources;
mod spec;
mod task;
mod world;

pub use flavor::Flavor;
pub use host::{CachedImage, Claim, Host, HostIx};
pub use job::{Job, JobEnd, JobIx, JobPhase, Unsaved};
pub use records::{HostRecord, JobRecord, ranges};
pub use resources::Demand;
pub use spec::{Shape, Spec, Urgency};
pub use task::{Copy, ExitReason, Place, Task, TaskKey, TaskPhase};
pub use world::{HostKind, Reserve, World};
