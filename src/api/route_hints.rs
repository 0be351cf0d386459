//! Where jobs and machines were last found, and whose leases this node renews without a leader.

use crate::model::FencingToken;
use std::collections::HashMap;

/// In which partition a job or machine was last found. A hint may be outdated or missing: it only
/// orders the questions.
pub struct RouteHints {
    /// Most hints of a kind.
    most: usize,
    jobs: HashMap<String, u32>,
    hosts: HashMap<String, u32>,
    /// Workers whose leases this node renews without a leader, with the fencing token that they had
    /// seen at first.
    renewed: HashMap<String, FencingToken>,
}

impl RouteHints {
    /// No hints yet, and `most` of a kind at the most: a further one clears those before it.
    pub fn new(most: usize) -> RouteHints {
        RouteHints { most, jobs: HashMap::new(), hosts: HashMap::new(), renewed: HashMap::new() }
    }

    /// The partition of a job.
    pub(super) fn job(&self, id: &str) -> Option<u32> {
        self.jobs.get(id).copied()
    }

    /// The partition of a machine.
    pub(super) fn host(&self, id: &str) -> Option<u32> {
        self.hosts.get(id).copied()
    }

    /// A job was found in a partition.
    pub(super) fn remember_job(&mut self, id: &str, partition: u32) {
        remember(&mut self.jobs, self.most, id, partition);
    }

    /// A machine was found in a partition.
    pub(super) fn remember_host(&mut self, id: &str, partition: u32) {
        remember(&mut self.hosts, self.most, id, partition);
    }

    /// The fencing token that a worker had seen when this node began to renew its lease: this one,
    /// if it begins now.
    pub(super) fn first_token(&mut self, host: &str, token: FencingToken) -> FencingToken {
        *self.renewed.entry(host.to_string()).or_insert(token)
    }

    /// This node renews no leases any more.
    pub(super) fn stop_renewing(&mut self) {
        self.renewed.clear();
    }
}

fn remember(hints: &mut HashMap<String, u32>, most: usize, id: &str, partition: u32) {
    if hints.get(id) != Some(&partition) {
        if hints.len() >= most {
            hints.clear();
        }
        hints.insert(id.to_string(), partition);
    }
}
