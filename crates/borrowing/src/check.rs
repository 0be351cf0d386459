//! Checks of the borrowing settings against the teams of the platform's settings.

use crate::amounts::Amounts;
use crate::settings::{BorrowingSettings, Lender};
use badgerdrift_common::FieldError;
use std::collections::BTreeMap;

/// A team of the platform's settings, as far as the checks need it.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownTeam {
    /// Amounts that the team is guaranteed.
    pub guarantee: Amounts,
}

impl BorrowingSettings {
    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not valid, with the reason.
    pub fn check(&self, teams: &BTreeMap<String, KnownTeam>) -> Result<(), FieldError> {
        check_not_negative("quiet_s", self.quiet_s)?;
        check_not_negative("return_after_s", self.return_after_s)?;
        for name in self.borrowers.keys() {
            check_known_team(&format!("borrower.{name}"), name, teams)?;
        }
        for (name, lender) in &self.lenders {
            let field = format!("lender.{name}");
            check_known_team(&field, name, teams)?;
            self.check_lender(&field, name, lender, teams)?;
        }
        Ok(())
    }

    fn check_lender(
        &self,
        field: &str,
        name: &str,
        lender: &Lender,
        teams: &BTreeMap<String, KnownTeam>,
    ) -> Result<(), FieldError> {
        let to_field = format!("{field}.to");
        if lender.to.is_empty() {
            return Err(FieldError::new(&to_field, "must name a team"));
        }
        for borrower in &lender.to {
            check_known_team(&to_field, borrower, teams)?;
            if borrower == name {
                return Err(FieldError::new(&to_field, "a team does not lend to itself"));
            }
            if !self.borrowers.contains_key(borrower) {
                return Err(FieldError::new(&to_field, &format!("{borrower} is no borrower")));
            }
        }
        if let Some(most_gpus) = lender.most_gpus {
            check_not_negative(&format!("{field}.most_gpus"), most_gpus)?;
        }
        let Some(share) = lender.most_share else { return Ok(()) };
        let field = format!("{field}.most_share");
        if !(0.0..=1.0).contains(&share) {
            return Err(FieldError::new(&field, &format!("must be from 0 to 1, is {share}")));
        }
        let guaranteed = teams.get(name).is_some_and(|team| team.guarantee.gpus > 0.0);
        if guaranteed { Ok(()) } else { Err(FieldError::new(&field, "the team is guaranteed no accelerators")) }
    }
}

fn check_known_team(field: &str, team: &str, teams: &BTreeMap<String, KnownTeam>) -> Result<(), FieldError> {
    if teams.contains_key(team) { Ok(()) } else { Err(FieldError::new(field, &format!("no team {team}"))) }
}

fn check_not_negative(field: &str, amount: f64) -> Result<(), FieldError> {
    let is_valid = amount.is_finite() && amount >= 0.0;
    if is_valid { Ok(()) } else { Err(FieldError::new(field, &format!("must be at least 0, is {amount}"))) }
}
