//! Status of loans and teams for operators.

use super::demand::TeamDemands;
use crate::control::partition::Partition;
use crate::runtime::metrics::labelled_gauge_line;
use badgerdrift_borrowing::{Amounts, Loan, LoanState, TeamShare};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Loan that is not over, with its lender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanStatus {
    /// Name of the lending team.
    pub lender: String,
    /// Id of the lending job, whose tasks were stopped.
    pub lending_job: String,
    /// State and terms of the loan.
    #[serde(flatten)]
    pub loan: Loan,
}

/// Use, floor, shortfall and loans of a team.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Name of the team.
    pub team: String,
    /// Amounts used by the team's attempts, except those that are being stopped.
    pub in_use: Amounts,
    /// Amounts that other teams must leave to the team.
    pub floor: Amounts,
    /// Amounts missing up to the floor.
    pub shortfall: Amounts,
    /// Amounts that the team lends to others.
    pub lent: Amounts,
    /// Amounts that the team has borrowed.
    pub borrowed: Amounts,
}

/// Status of a partition's loans and teams.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoansStatus {
    /// Loans that are not over, ordered by lending job.
    pub loans: Vec<LoanStatus>,
    /// All teams, ordered by name.
    pub teams: Vec<TeamStatus>,
}

impl Partition {
    /// Returns the status of the loans, or `None` if borrowing is disabled.
    pub fn loan_status(&self, now: u64) -> Option<LoansStatus> {
        let borrowing = self.borrowing.as_ref()?;
        let demands = TeamDemands::count(&self.cluster, &self.policy.teams, &borrowing.settings, now);
        let (lent, borrowed) = (borrowing.loans.lent_by_team(), borrowing.loans.borrowed_by_team());
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

    /// Returns the number of open loans and each team's lent, borrowed and missing accelerators as metrics in
    /// text format. Empty if borrowing is disabled.
    pub fn loan_gauges(&self, now: u64) -> String {
        let Some(status) = self.loan_status(now) else { return String::new() };
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
