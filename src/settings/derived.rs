//! Durations and the assignment of teams to partitions, derived from the platform's settings.

use super::{Settings, Team};
use std::collections::HashMap;

/// Duration, in milliseconds, for which a controller may be blocked by its other work or by the state service
/// without losing its leader lease.
const MAX_STALL_MS: u64 = 2500;

impl Settings {
    /// Returns the partition of each team by name. Teams are assigned in descending order of their guarantees,
    /// each to the partition with the smallest sum of guarantees so far.
    pub fn partitions_of_teams(&self, partitions: u32) -> HashMap<String, u32> {
        let weight = |team: &Team| team.gpus + team.cpus;
        let mut teams: Vec<&Team> = self.params.teams.iter().collect();
        teams.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then_with(|| a.name.cmp(&b.name)));
        let mut load = vec![0.0; partitions.max(1) as usize];
        let mut partitions_of_teams = HashMap::new();
        for team in teams {
            let least_loaded = (0..load.len()).min_by(|a, b| f64::total_cmp(&load[*a], &load[*b])).unwrap_or(0);
            load[least_loaded] += weight(team).max(1.0);
            partitions_of_teams.insert(team.name.clone(), least_loaded as u32);
        }
        partitions_of_teams
    }

    /// Returns the duration of a leader lease in milliseconds. It is an eighth of a worker's lease, so that a
    /// failover ends well within the worker's lease, but at least the time for which a controller may be blocked
    /// without losing its partition, as far as that is within a quarter of the worker's lease.
    pub fn leader_lease_ttl_ms(&self) -> u64 {
        let lease_ms = self.lease_ms();
        (lease_ms / 8).max(MAX_STALL_MS).min(lease_ms / 4).clamp(100, 600_000)
    }

    /// Returns the time, in milliseconds, after which a direct command without a visible effect is considered
    /// lost. It depends on round trips, not on the heartbeat interval: a long interval should not delay commands.
    pub fn react_ms(&self) -> u64 {
        (self.lease_ms() / 20).max(1000).min(self.report_ms())
    }

    /// Returns the duration of a worker's lease in milliseconds.
    pub fn lease_ms(&self) -> u64 {
        (self.params.workers.lease_s * 1000.0) as u64
    }

    /// Returns the interval between two heartbeats of a worker in milliseconds.
    pub fn report_ms(&self) -> u64 {
        (self.params.workers.report_s * 1000.0) as u64
    }
}
