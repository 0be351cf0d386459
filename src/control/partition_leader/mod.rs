//! Actor of a partition: owns the partition's state while this node leads it, receives messages, and
//! performs the I/O that `partition` and `provisioner` decide on.
//!
//! All I/O is done by background tasks, which report to the actor with the epoch of their leadership.
//! Tasks that repeat requests check between them whether that leadership is still current, and end if
//! it is not. The other tasks end with their one request. The actor drops reports of an earlier
//! leadership.

mod activity;
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
mod refused_jobs;
mod requests;
mod stored_records;
mod warm_pools;

pub use leader::PartitionLeader;
pub use messages::{BackgroundEvent, HeartbeatReply, PartitionMessage};
pub use stored_records::{INSTANCE_TYPES_KEY, StoredRecords, stored_instance_types};

#[cfg(test)]
mod tests;
