//! The operators' file of lenders and borrowers (HCL).

use crate::settings::{ContentError, Settings, SettingsError, hcl_text, load};
use badgerdrift_borrowing::{Amounts, BorrowingSettings, KnownTeam};
use std::collections::BTreeMap;
use std::path::Path;

/// Block types whose names must be unique.
const UNIQUE_BLOCKS: [&str; 2] = ["lender", "borrower"];

/// Reads and checks the file of lenders and borrowers.
///
/// # Errors
///
/// The file cannot be read, is not valid HCL, or a field is not valid. The text names file, field and
/// reason in one line.
pub fn load_borrowing(path: &Path, settings: &Settings) -> Result<BorrowingSettings, SettingsError> {
    load(path, |text| parse_borrowing(text, settings))
}

/// Parses and checks the text of a file of lenders and borrowers.
pub(super) fn parse_borrowing(text: &str, settings: &Settings) -> Result<BorrowingSettings, ContentError> {
    let borrowing: BorrowingSettings = hcl_text::parse(text, &UNIQUE_BLOCKS)?;
    borrowing.check(&known_teams(settings)).map_err(ContentError::Borrowing)?;
    Ok(borrowing)
}

fn known_teams(settings: &Settings) -> BTreeMap<String, KnownTeam> {
    let teams = settings.params.teams.iter();
    teams.map(|team| (team.name.clone(), KnownTeam { guarantee: Amounts::new(team.cpus, team.gpus) })).collect()
}
