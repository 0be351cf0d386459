//! The operators' file that declares warm pools (HCL).

use crate::settings::{Settings, hcl_text};
use badgerdrift_warm_pools::{KnownFleet, PoolSettings};
use std::path::Path;

/// A slot's record and the bills that its charges go to change together: two teams on two days.
pub const LEAST_CHANGES: usize = 6;

/// Kinds of blocks whose names must differ.
const NAMED_BLOCKS: [&str; 2] = ["model", "pool"];

/// What the platform's settings tell of the fleet; machine types are told by the cloud later.
pub fn known_fleet(settings: &Settings) -> KnownFleet {
    let limit = |most: f64| if most > 0.0 { most } else { f64::INFINITY };
    let limits = settings.params.teams.iter().map(|t| (t.name.clone(), (limit(t.cpus_max), limit(t.gpus_max))));
    KnownFleet { zones: settings.params.zones.iter().cloned().collect(), machines: None, team_limits: limits.collect() }
}

/// Reads and checks the file; the error is one line naming file, field and reason.
pub fn load_pools(path: &Path, settings: &Settings) -> Result<PoolSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: cannot be read: {e}", path.display()))?;
    parse_pools(&text, settings).map_err(|e| format!("{}: {e}", path.display()))
}

/// The same of the file's text.
pub(super) fn parse_pools(text: &str, settings: &Settings) -> Result<PoolSettings, String> {
    let pools: PoolSettings = hcl_text::parse(text, &NAMED_BLOCKS)?;
    pools.check(&known_fleet(settings)).map_err(|e| e.to_string())?;
    let changes = settings.write_limits().commit_changes;
    if !pools.pools.is_empty() && changes < LEAST_CHANGES {
        return Err(format!("params.state.txn_ops: must be at least {LEAST_CHANGES} with warm pools, is {changes}"));
    }
    Ok(pools)
}
