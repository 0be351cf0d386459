//! The actor of a partition: owns its state, is spoken to by messages, and carries
//! out what `partition` and `provisioner` decide.

mod actor;
mod answers;
mod borrowing;
mod cloud_tasks;
mod commits;
mod configuration;
mod context;
mod dependencies;
mod dispatch;
mod followed;
mod leadership;
mod load;
mod messages;
mod rounds;
mod stored_records;
mod warm_pools;

pub use context::PartitionLeader;
pub use messages::{BackgroundEvent, HeartbeatReply, Message};
pub use stored_records::{INSTANCE_TYPES_KEY, Loaded, stored_instance_types};
