//! Which teams' jobs are this partition's.

use std::collections::HashMap;

/// The partition's number, and the partitions that teams are assigned to.
#[derive(Debug, Clone)]
pub(super) struct TeamAssignment {
    partition: u32,
    partitions: HashMap<String, u32>,
}

impl TeamAssignment {
    /// The assignment as this partition sees it.
    pub(super) fn new(partition: u32, partitions: HashMap<String, u32>) -> TeamAssignment {
        TeamAssignment { partition, partitions }
    }

    /// This partition's number.
    pub(super) fn partition(&self) -> u32 {
        self.partition
    }

    /// Do the jobs of this team belong to this partition? So do those of teams that no assignment names.
    pub(super) fn owns_team(&self, team: &str) -> bool {
        self.partitions.get(team).is_none_or(|partition| *partition == self.partition)
    }

    /// Do all teams belong to this partition, so that no other can hold machines?
    pub(super) fn owns_all_teams(&self) -> bool {
        self.partitions.values().all(|partition| *partition == self.partition)
    }
}
