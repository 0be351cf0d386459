//! Keys in the state service.

/// Prefix of the keys of jobs' records.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of machines in the registry.
pub(super) const HOST_PREFIX: &str = "host/";

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Key of a machine in the registry.
pub fn host_key(id: &str) -> String {
    format!("{HOST_PREFIX}{id}")
}

/// Key that tells the leader of a partition of a job that another node accepted.
pub fn inbox_key(partition: u32, id: &str) -> String {
    format!("in/{partition}/{id}")
}
