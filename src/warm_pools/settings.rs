//! The operators' file that declares warm pools (HCL).

use crate::settings::{ContentError, Fault, FieldError, Settings, SettingsError, hcl_text, load};
use badgerdrift_warm_pools::{KnownFleet, PoolSettings};
use std::path::Path;

/// Changes of a commit that warm pools need: a slot's record and the bills that its charges go to,
/// of two teams on two days.
pub const LEAST_CHANGES: usize = 6;

/// Kinds of blocks whose names must differ.
const NAMED_BLOCKS: [&str; 2] = ["model", "pool"];

/// The fleet as far as the platform's settings know it; the cloud lists its machine types later.
pub fn known_fleet(settings: &Settings) -> KnownFleet {
    let limit = |most: f64| if most > 0.0 { most } else { f64::INFINITY };
    let limits =
        settings.params.teams.iter().map(|team| (team.name.clone(), (limit(team.cpus_max), limit(team.gpus_max))));
    KnownFleet { zones: settings.params.zones.iter().cloned().collect(), machines: None, team_limits: limits.collect() }
}

/// Reads and checks the file; the error is one line naming file, field and reason.
///
/// # Errors
///
/// The file cannot be read, is not valid HCL, or a field is not valid: names file, field and reason in one line.
pub fn load_pools(path: &Path, settings: &Settings) -> Result<PoolSettings, SettingsError> {
    load(path, |text| parse_pools(text, settings))
}

/// The same of the file's text.
pub(super) fn parse_pools(text: &str, settings: &Settings) -> Result<PoolSettings, ContentError> {
    let pools: PoolSettings = hcl_text::parse(text, &NAMED_BLOCKS)?;
    pools.check(&known_fleet(settings)).map_err(ContentError::WarmPools)?;
    let changes = settings.write_limits().commit_changes;
    if !pools.pools.is_empty() && changes < LEAST_CHANGES {
        let fault = Fault::BelowMinimumWith { minimum: LEAST_CHANGES, feature: "warm pools", actual: changes };
        return Err(FieldError::new("params.state.txn_ops", fault).into());
    }
    Ok(pools)
}
