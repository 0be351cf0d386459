//! Scale out and scale in: which instances are requested from the cloud and returned.
//!
//! The provisioner reads the state of its partition (`control::partition`) and asks for drains there;
//! that is the one call upwards, as a partition's plan and its state are of the same leader. What it
//! asks of the cloud is returned as data, and sent by `control::partition_leader`.

pub mod boot_times;
pub mod provisioner;
