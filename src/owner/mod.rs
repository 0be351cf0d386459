//! The actor of a partition: owns its state, is spoken to by messages, and carries
//! out what `partition` and `leader` decide.

mod active_term;
mod actor;
mod answers;
mod cloud_tasks;
mod commits;
mod configuration;
mod dispatch;
mod followed;
mod load;
mod messages;
mod pools;
mod predecessors;
mod rounds;

pub use actor::PartitionOwner;
pub use load::{FLAVORS_KEY, Loaded, kept_flavors};
pub use messages::{HeartbeatReply, Message, SessionEvent};
