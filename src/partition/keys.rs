//! Keys in the state service, and the size that records there may have.

use crate::model::Spec;

/// Prefix of the keys of jobs' records.
pub(super) const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of machines in the registry.
pub(super) const HOST_PREFIX: &str = "host/";
/// The description of a job may take one partition in so many of a value: the rest is for
/// its progress.
const SPEC_SHARE: usize = 3;

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of a machine in the registry.
pub fn host_key(id: &str) -> String {
    format!("{HOST_PREFIX}{id}")
}

/// Key that tells the owner of a partition of a job that another node accepted.
pub fn inbox_key(partition: u32, id: &str) -> String {
    format!("in/{partition}/{id}")
}

/// The refusal of a job whose record would be too large.
pub const TOO_LONG: &str = "bundle: the job's texts are too long";

/// Does the record of such a job fit into a value, with room for its progress?
pub fn fits(spec: &Spec, value_bytes: usize) -> bool {
    serde_json::to_vec(spec).is_ok_and(|v| v.len() <= value_bytes / SPEC_SHARE)
}
