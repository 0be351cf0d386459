//! The actor of a partition: owns its state while this node leads it, receives messages, and
//! carries out what `partition` and `provisioner` decide.
//!
//! All I/O is done by background tasks, which report back with the number of their leadership.
//! They end with it: watches check whether it is still under way between requests, the others
//! end with their one request, and a report of an earlier leadership is dropped.

mod actor;
mod borrowing;
mod cloud;
mod commits;
mod configuration;
mod dependencies;
mod dispatch;
mod leader;
mod leadership;
mod load;
mod messages;
mod periodic_work;
mod requests;
mod stored_records;
mod warm_pools;

pub use leader::PartitionLeader;
pub use messages::{BackgroundEvent, HeartbeatReply, Message};
pub use stored_records::{INSTANCE_TYPES_KEY, StoredRecords, stored_instance_types};
