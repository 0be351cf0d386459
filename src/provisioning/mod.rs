//! Scale out and scale in: which machines are requested from the cloud and which are returned.
//!
//! The provisioner reads the state of its partition (`control::partition`) and requests drains there.
//! These are its only calls into `control`; they are possible because the plan and the state of a
//! partition belong to the same leader. Requests to the cloud are returned as data and sent by
//! `control::partition_leader`.

pub mod boot_times;
pub mod provisioner;
