//! Where jobs and machines were last found, and whose leases this node keeps alive.

use crate::model::FencingToken;
use std::collections::HashMap;

/// Which partition a job or machine was last found in: a hint, nothing more.
pub struct RouteHints {
    /// Most hints of a kind.
    most: usize,
    jobs: HashMap<String, u32>,
    hosts: HashMap<String, u32>,
    /// Workers whose leases this node keeps alive, with the token that they had first.
    kept: HashMap<String, FencingToken>,
}

impl RouteHints {
    /// No hints yet, and at most so many of a kind: when there are more they begin anew.
    pub fn new(most: usize) -> RouteHints {
        RouteHints { most, jobs: HashMap::new(), hosts: HashMap::new(), kept: HashMap::new() }
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

    /// The token that a worker had when this node began to keep its lease alive: this one, if it
    /// begins now.
    pub(super) fn first_token(&mut self, host: &str, token: FencingToken) -> FencingToken {
        *self.kept.entry(host.to_string()).or_insert(token)
    }

    /// This node keeps no leases alive any more.
    pub(super) fn keep_none(&mut self) {
        self.kept.clear();
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
