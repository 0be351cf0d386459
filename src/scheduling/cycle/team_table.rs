//! Team data that a scheduling cycle looks up for each attempt that might be stopped. Teams are addressed
//! by index instead of by name; sums are computed once and kept up to date.

use crate::model::{BorrowingState, ClusterState, JobIndex};
use crate::scheduling::Policy;
use crate::scheduling::index::CapacityIndex;
use badgerdrift_borrowing::{Amounts, TeamShare};
use std::collections::{BTreeMap, HashMap};

/// Index of a team in a [`TeamTable`].
pub(super) type TeamIndex = usize;

/// Lending state of a team.
#[derive(Debug, Clone)]
pub(super) struct TeamEntry {
    pub(super) name: String,
    pub(super) share: TeamShare,
    /// Amounts that the team lends, including loans decided in this cycle.
    pub(super) lent: Amounts,
    /// Maximum number of accelerators that the team lends.
    pub(super) max_lent_gpus: f64,
    /// Amounts that the team has borrowed, less those taken back in this cycle.
    pub(super) borrowed: Amounts,
    /// Teams that have borrowed from this team and have not returned all of it.
    pub(super) debtors: Vec<TeamIndex>,
}

/// All teams that have jobs.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    teams: Vec<TeamEntry>,
    team_of_job: Vec<TeamIndex>,
}

impl TeamTable {
    /// Computes what teams use, lend and borrow. The table is empty without borrowing.
    pub(super) fn new(cluster: &ClusterState, policy: &Policy, index: &CapacityIndex) -> TeamTable {
        let Some(borrowing) = &cluster.borrowing else { return TeamTable::default() };
        let mut team_indices: HashMap<&str, TeamIndex> = HashMap::new();
        let mut teams = Vec::new();
        let names = cluster.jobs.iter().map(|job| job.spec.team.as_str());
        let team_of_job = names
            .map(|name| {
                *team_indices.entry(name).or_insert_with(|| {
                    teams.push(team_entry(name, borrowing, policy, index));
                    teams.len() - 1
                })
            })
            .collect();
        for ((lender, borrower), owed) in &borrowing.owed_by_pair {
            let (Some(lender), Some(borrower)) =
                (team_indices.get(lender.as_str()), team_indices.get(borrower.as_str()))
            else {
                continue;
            };
            if !owed.is_zero() {
                teams[*lender].debtors.push(*borrower);
                teams[*borrower].borrowed = teams[*borrower].borrowed.sum_with(*owed);
            }
        }
        TeamTable { teams, team_of_job }
    }

    /// Returns the index of a job's team.
    pub(super) fn team_index(&self, job: JobIndex) -> TeamIndex {
        self.team_of_job[job]
    }

    /// Returns the team of a job.
    pub(super) fn team(&self, job: JobIndex) -> &TeamEntry {
        &self.teams[self.team_of_job[job]]
    }

    /// Returns the team of a job for modification, or `None` without borrowing.
    pub(super) fn team_mut(&mut self, job: JobIndex) -> Option<&mut TeamEntry> {
        let team = *self.team_of_job.get(job)?;
        self.teams.get_mut(team)
    }

    /// Returns the number of teams.
    pub(super) fn len(&self) -> usize {
        self.teams.len()
    }
}

fn team_entry(name: &str, borrowing: &BorrowingState, policy: &Policy, index: &CapacityIndex) -> TeamEntry {
    let amounts_of = |sums: &BTreeMap<String, Amounts>| sums.get(name).copied().unwrap_or_default();
    let guarantee = policy.teams.get(name).map(|rule| Amounts::from(rule.guarantee)).unwrap_or_default();
    let in_use = index.usage_after_stops.get(name).copied().map(Amounts::from).unwrap_or_default();
    TeamEntry {
        name: name.to_string(),
        share: TeamShare { guarantee, runnable: amounts_of(&borrowing.runnable), in_use },
        lent: amounts_of(&borrowing.lent_by_team),
        max_lent_gpus: borrowing.settings.most_gpus(name, guarantee),
        borrowed: Amounts::default(),
        debtors: Vec::new(),
    }
}
