//! Partitions in which jobs and machines were last found, and the workers whose leases this node
//! renews without a leader.

use crate::model::FencingToken;
use std::collections::HashMap;

/// Partitions in which jobs and machines were last found. A hint may be outdated or missing; it only
/// determines which leader is asked first.
pub struct RouteHints {
    /// Maximum number of hints for jobs, and for machines.
    max_hints: usize,
    /// Partition by job id.
    jobs: HashMap<String, u32>,
    /// Partition by machine id.
    hosts: HashMap<String, u32>,
    /// Fencing token that each worker had seen at its first renewal without a leader, by machine id.
    first_tokens: HashMap<String, FencingToken>,
}

impl RouteHints {
    /// Returns an empty set that keeps at most `max_hints` hints for jobs, and as many for machines.
    /// A further hint clears all earlier ones of its kind.
    pub fn new(max_hints: usize) -> RouteHints {
        RouteHints { max_hints, jobs: HashMap::new(), hosts: HashMap::new(), first_tokens: HashMap::new() }
    }

    /// Returns the partition in which a job was last found; `None` if there is no hint.
    pub(super) fn job(&self, id: &str) -> Option<u32> {
        self.jobs.get(id).copied()
    }

    /// Returns the partition in which a machine was last found; `None` if there is no hint.
    pub(super) fn host(&self, id: &str) -> Option<u32> {
        self.hosts.get(id).copied()
    }

    /// Remembers the partition in which a job was found.
    pub(super) fn remember_job(&mut self, id: &str, partition: u32) {
        remember(&mut self.jobs, self.max_hints, id, partition);
    }

    /// Remembers the partition in which a machine was found.
    pub(super) fn remember_host(&mut self, id: &str, partition: u32) {
        remember(&mut self.hosts, self.max_hints, id, partition);
    }

    /// Returns the fencing token that a worker had seen when this node first renewed its lease without
    /// a leader. If this is the first renewal, `token` is remembered and returned.
    pub(super) fn token_at_first_renewal(&mut self, host: &str, token: FencingToken) -> FencingToken {
        *self.first_tokens.entry(host.to_string()).or_insert(token)
    }

    /// Forgets the tokens of first renewals, as this node no longer renews leases.
    pub(super) fn end_renewals(&mut self) {
        self.first_tokens.clear();
    }
}

/// Adds a hint to a map; a new hint clears a map that has `max_hints` entries.
fn remember(hints: &mut HashMap<String, u32>, max_hints: usize, id: &str, partition: u32) {
    if hints.get(id) != Some(&partition) {
        if hints.len() >= max_hints {
            hints.clear();
        }
        hints.insert(id.to_string(), partition);
    }
}
