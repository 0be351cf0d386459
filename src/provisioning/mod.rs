//! Scale out and scale in: which instances are requested from the cloud and returned.

pub mod boot_times;
pub mod provisioner;
