//! Periods and partitions that follow from the platform's settings.

use super::{Settings, Team};
use std::collections::HashMap;

/// A controller may be held up for so long by its other work or by the state service.
const MAX_STALL_MS: u64 = 2500;

impl Settings {
    /// The partition that each team belongs to: the teams with the largest guarantees
    /// first, each to the partition that has least so far.
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

    /// Life of a leader lease in milliseconds: an eighth of a worker's lease, so that a failover
    /// ends well within it, but as long as a controller may be held up without losing its
    /// partition, where a quarter of the worker's lease allows that.
    pub fn leader_lease_ttl_ms(&self) -> u64 {
        let lease_ms = self.lease_ms();
        (lease_ms / 8).max(MAX_STALL_MS).min(lease_ms / 4).clamp(100, 600_000)
    }

    /// Milliseconds within which a direct command shows its effect, or is taken as lost. They
    /// follow round trips, not the interval of heartbeats: where that is long, commands should
    /// not wait longer.
    pub fn react_ms(&self) -> u64 {
        (self.lease_ms() / 20).max(1000).min(self.report_ms())
    }

    /// Life of a worker's lease in milliseconds.
    pub fn lease_ms(&self) -> u64 {
        (self.params.workers.lease_s * 1000.0) as u64
    }

    /// Interval between two heartbeats of a worker in milliseconds.
    pub fn report_ms(&self) -> u64 {
        (self.params.workers.report_s * 1000.0) as u64
    }
}
