//! Assignment of teams to partitions.

use std::collections::HashMap;

/// Number of this partition, and the partitions of the assigned teams.
#[derive(Debug, Clone)]
pub(super) struct TeamAssignment {
    /// Number of this partition.
    partition: u32,
    /// Partitions of the assigned teams, by team name.
    partitions: HashMap<String, u32>,
}

impl TeamAssignment {
    /// Returns the assignment as seen by this partition.
    pub(super) fn new(partition: u32, partitions: HashMap<String, u32>) -> TeamAssignment {
        TeamAssignment { partition, partitions }
    }

    /// Returns the number of this partition.
    pub(super) fn partition(&self) -> u32 {
        self.partition
    }

    /// Returns whether the jobs of this team belong to this partition. So do the jobs of teams without
    /// an assignment.
    pub(super) fn owns_team(&self, team: &str) -> bool {
        self.partitions.get(team).is_none_or(|partition| *partition == self.partition)
    }

    /// Returns whether all teams belong to this partition, so that no other partition can hold hosts.
    pub(super) fn owns_all_teams(&self) -> bool {
        self.partitions.values().all(|partition| *partition == self.partition)
    }
}
