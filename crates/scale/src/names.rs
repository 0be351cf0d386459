//! Names of regions, teams and images, as every part of a run spells them.

/// The image that the burst asks for, as jobs name it; no other job does.
pub const BURST_IMAGE: &str = "img-900";

/// The name of a region.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

/// The name of a team.
pub fn team_name(team: usize) -> String {
    format!("team-{team:03}")
}

/// Names live as long as the process: the stand-ins know them as constants.
pub fn leak(name: String) -> &'static str {
    Box::leak(name.into_boxed_str())
}
