//! Names of regions, teams and images in a run.

/// Image of the burst's jobs, which no other job uses.
pub const BURST_IMAGE: &str = "img-900";

/// Returns the name of a region.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// Returns the name of a team.
pub fn team_name(team: usize) -> String {
    format!("team-{team:03}")
}

/// Gives a name the lifetime of the process, as the simulated services require.
pub fn leak(name: String) -> &'static str {
    Box::leak(name.into_boxed_str())
}
