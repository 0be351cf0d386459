//! Loans as operators see them.

use super::demand::TeamDemands;
use crate::control::partition::Partition;
use crate::runtime::metrics::labelled_gauge_line;
use badgerdrift_borrowing::{Amounts, Loan, LoanState, TeamShare};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A loan that is not over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanStatus {
    /// The team that lends.
    pub lender: String,
    /// The job whose tasks were stopped.
    pub lending_job: String,
    /// The loan.
    #[serde(flatten)]
    pub loan: Loan,
}

/// What a team uses, lends and lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: String,
    /// What its attempts take that are not being stopped.
    pub in_use: Amounts,
    /// What other teams must leave it.
    pub floor: Amounts,
    /// What it lacks to that.
    pub shortfall: Amounts,
    /// What it lends.
    pub lent: Amounts,
    /// What it has borrowed.
    pub borrowed: Amounts,
}

/// The loans of a partition, and its teams.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoansStatus {
    /// Loans that are not over, by the job that lends.
    pub loans: Vec<LoanStatus>,
    /// All teams, by name.
    pub teams: Vec<TeamStatus>,
}

impl Partition {
    /// How the loans are; none if there is no borrowing.
    pub fn loans_status(&self, now: u64) -> Option<LoansStatus> {
        let borrowing = self.borrowing.as_ref()?;
        let demands = TeamDemands::count(&self.cluster, &self.policy.teams, &borrowing.settings, now);
        let (lent, borrowed) = (borrowing.loans.lent(), borrowing.loans.borrowed());
        let amount = |sums: &BTreeMap<String, Amounts>, team: &str| sums.get(team).copied().unwrap_or_default();
        let team_status = |(team, share): (&String, &TeamShare)| TeamStatus {
            team: team.clone(),
            in_use: share.in_use,
            floor: share.floor(),
            shortfall: share.shortfall(),
            lent: amount(&lent, team),
            borrowed: amount(&borrowed, team),
        };
        let loans = borrowing.loans.loans().filter(|(_, _, loan)| loan.is_active());
        let loan_status = |(job, team, loan): (&str, &str, &Loan)| LoanStatus {
            lender: team.to_string(),
            lending_job: job.to_string(),
            loan: loan.clone(),
        };
        Some(LoansStatus {
            loans: loans.map(loan_status).collect(),
            teams: demands.shares.iter().map(team_status).collect(),
        })
    }

    /// Lent and borrowed accelerators and shortfalls by team, in the text format of the figures.
    pub fn loan_gauges(&self, now: u64) -> String {
        let Some(status) = self.loans_status(now) else { return String::new() };
        let open = status.loans.iter().filter(|loan| loan.loan.state != LoanState::Proposed).count();
        let mut text = crate::runtime::metrics::gauge_line("loans_open", open);
        for team in &status.teams {
            let figures =
                [("lent_gpus", team.lent), ("borrowed_gpus", team.borrowed), ("shortfall_gpus", team.shortfall)];
            for (name, amounts) in figures {
                text += &labelled_gauge_line(name, "team", &team.team, amounts.gpus.ceil() as usize);
            }
        }
        text
    }
}
