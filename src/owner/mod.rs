//! The actor of a partition: owns its state, is spoken to by messages, and carries
//! out what `partition` and `provisioner` decide.

mod active_term;
mod actor;
mod answers;
mod cloud_tasks;
mod commits;
mod configuration;
mod dispatch;
mod followed;
mod load;
mod loans;
mod messages;
mod partition_owner;
mod pools;
mod predecessors;
mod rounds;
mod stored_records;

pub use messages::{HeartbeatReply, Message, SessionEvent};
pub use partition_owner::PartitionOwner;
pub use stored_records::{FLAVORS_KEY, Loaded, kept_flavors};
