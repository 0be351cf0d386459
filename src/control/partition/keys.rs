//! Keys in the state service.

/// Prefix of the keys of job records.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of host records.
pub const HOST_PREFIX: &str = "host/";

/// Returns the key of a job record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a host record.
pub fn host_key(id: &str) -> String {
    format!("{HOST_PREFIX}{id}")
}

/// Returns the key that announces, to the leader of a partition, a job accepted by another node.
pub fn inbox_key(partition: u32, id: &str) -> String {
    format!("in/{partition}/{id}")
}
