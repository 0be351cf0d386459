//! What a scheduling cycle looks up of teams for each attempt that might be stopped: indices in place
//! of names, counted once and kept up to date.

use crate::model::{BorrowingState, ClusterState, JobIndex};
use crate::scheduling::Policy;
use crate::scheduling::index::Index;
use badgerdrift_borrowing::{Amounts, TeamShare};
use std::collections::{BTreeMap, HashMap};

/// Number of a team in a [`TeamTable`].
pub(super) type TeamIndex = usize;

/// A team as loans see it.
#[derive(Debug, Clone)]
pub(super) struct TeamEntry {
    pub(super) name: String,
    pub(super) share: TeamShare,
    /// What it lends, what this cycle has decided included.
    pub(super) lent: Amounts,
    /// Most accelerators that it lends.
    pub(super) most_gpus: f64,
    /// What it has borrowed, less what this cycle takes back.
    pub(super) borrowed: Amounts,
    /// The teams that owe it capacity.
    pub(super) debtors: Vec<TeamIndex>,
}

/// All teams that have jobs or lend or borrow.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    teams: Vec<TeamEntry>,
    of_job: Vec<TeamIndex>,
}

impl TeamTable {
    /// Counts what teams use and owe; empty without loans between teams.
    pub(super) fn new(cluster: &ClusterState, policy: &Policy, index: &Index) -> TeamTable {
        let Some(borrowing) = &cluster.borrowing else { return TeamTable::default() };
        let mut numbers: HashMap<&str, TeamIndex> = HashMap::new();
        let mut teams = Vec::new();
        let names = cluster.jobs.iter().map(|job| job.spec.team.as_str());
        let of_job = names
            .map(|name| {
                *numbers.entry(name).or_insert_with(|| {
                    teams.push(entry(name, borrowing, policy, index));
                    teams.len() - 1
                })
            })
            .collect();
        for ((lender, borrower), owed) in &borrowing.owed {
            let (Some(lender), Some(borrower)) = (numbers.get(lender.as_str()), numbers.get(borrower.as_str())) else {
                continue;
            };
            if !owed.is_nothing() {
                teams[*lender].debtors.push(*borrower);
                teams[*borrower].borrowed = teams[*borrower].borrowed.plus(*owed);
            }
        }
        TeamTable { teams, of_job }
    }

    /// The number of a job's team.
    pub(super) fn team_of(&self, job: JobIndex) -> TeamIndex {
        self.of_job[job]
    }

    /// The team of a job.
    pub(super) fn of(&self, job: JobIndex) -> &TeamEntry {
        &self.teams[self.of_job[job]]
    }

    /// The team of a job, to be changed; none without loans between teams.
    pub(super) fn of_mut(&mut self, job: JobIndex) -> Option<&mut TeamEntry> {
        let team = *self.of_job.get(job)?;
        self.teams.get_mut(team)
    }

    /// How many teams there are.
    pub(super) fn len(&self) -> usize {
        self.teams.len()
    }
}

fn entry(name: &str, borrowing: &BorrowingState, policy: &Policy, index: &Index) -> TeamEntry {
    let of = |sums: &BTreeMap<String, Amounts>| sums.get(name).copied().unwrap_or_default();
    let guarantee = policy.teams.get(name).map(|rule| Amounts::from(rule.guarantee)).unwrap_or_default();
    let in_use = index.staying.get(name).copied().map(Amounts::from).unwrap_or_default();
    TeamEntry {
        name: name.to_string(),
        share: TeamShare { guarantee, runnable: of(&borrowing.runnable), in_use },
        lent: of(&borrowing.lent),
        most_gpus: borrowing.settings.most_gpus(name, guarantee),
        borrowed: Amounts::default(),
        debtors: Vec::new(),
    }
}
