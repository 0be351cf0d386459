//! The operators' file of warm pools (HCL).

use crate::settings::{ContentError, Fault, FieldError, Settings, SettingsError, hcl_text, load};
use badgerdrift_warm_pools::{KnownFleet, PoolSettings};
use std::path::Path;

/// Minimum number of changes in a commit that warm pools need: a slot's record and the bills of its
/// charges, of two teams on two days.
pub const LEAST_CHANGES: usize = 6;

/// Block types whose names must be unique.
const UNIQUE_BLOCKS: [&str; 2] = ["model", "pool"];

/// Returns the zones and team limits of the platform's settings. Machine types are not included: the
/// cloud lists them later.
pub fn known_fleet(settings: &Settings) -> KnownFleet {
    let limit = |maximum: f64| if maximum > 0.0 { maximum } else { f64::INFINITY };
    let limits =
        settings.params.teams.iter().map(|team| (team.name.clone(), (limit(team.cpus_max), limit(team.gpus_max))));
    KnownFleet { zones: settings.params.zones.iter().cloned().collect(), machines: None, team_limits: limits.collect() }
}

/// Reads and checks the file of warm pools.
///
/// # Errors
///
/// The file cannot be read, is not valid HCL, or a field is not valid. The text names file, field and
/// reason in one line.
pub fn load_pools(path: &Path, settings: &Settings) -> Result<PoolSettings, SettingsError> {
    load(path, |text| parse_pools(text, settings))
}

/// Parses and checks the text of a file of warm pools.
pub(super) fn parse_pools(text: &str, settings: &Settings) -> Result<PoolSettings, ContentError> {
    let pools: PoolSettings = hcl_text::parse(text, &UNIQUE_BLOCKS)?;
    pools.check(&known_fleet(settings)).map_err(ContentError::WarmPools)?;
    let changes = settings.write_limits().commit_changes;
    if !pools.pools.is_empty() && changes < LEAST_CHANGES {
        let fault = Fault::BelowMinimumWith { minimum: LEAST_CHANGES, feature: "warm pools", actual: changes };
        return Err(FieldError::new("params.state.txn_ops", fault).into());
    }
    Ok(pools)
}
