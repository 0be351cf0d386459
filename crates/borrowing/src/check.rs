//! Checks of what an operator declares, against what the platform's settings know.

use crate::amounts::Amounts;
use crate::settings::{BorrowingSettings, Lender};
use badgerdrift_common::FieldError;
use std::collections::BTreeMap;

/// What the platform's settings say of a team.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownTeam {
    /// What it is guaranteed.
    pub guarantee: Amounts,
}

impl BorrowingSettings {
    /// Checks what the types can't say.
    ///
    /// # Errors
    ///
    /// The first field that is not valid, with the reason.
    pub fn check(&self, teams: &BTreeMap<String, KnownTeam>) -> Result<(), FieldError> {
        not_negative("quiet_s", self.quiet_s)?;
        not_negative("return_after_s", self.return_after_s)?;
        for name in self.borrowers.keys() {
            known(&format!("borrower.{name}"), name, teams)?;
        }
        for (name, lender) in &self.lenders {
            let field = format!("lender.{name}");
            known(&field, name, teams)?;
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
        let to = format!("{field}.to");
        if lender.to.is_empty() {
            return Err(FieldError::new(&to, "must name a team"));
        }
        for borrower in &lender.to {
            known(&to, borrower, teams)?;
            if borrower == name {
                return Err(FieldError::new(&to, "a team does not lend to itself"));
            }
            if !self.borrowers.contains_key(borrower) {
                return Err(FieldError::new(&to, &format!("{borrower} is no borrower")));
            }
        }
        if let Some(most) = lender.most_gpus {
            not_negative(&format!("{field}.most_gpus"), most)?;
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

fn known(field: &str, team: &str, teams: &BTreeMap<String, KnownTeam>) -> Result<(), FieldError> {
    if teams.contains_key(team) { Ok(()) } else { Err(FieldError::new(field, &format!("no team {team}"))) }
}

fn not_negative(field: &str, amount: f64) -> Result<(), FieldError> {
    let sound = amount.is_finite() && amount >= 0.0;
    if sound { Ok(()) } else { Err(FieldError::new(field, &format!("must be at least 0, is {amount}"))) }
}
