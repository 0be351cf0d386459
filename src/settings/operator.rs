//! The operators' own settings.

use serde::Deserialize;

/// The operators' own settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Width of a bin of soft deadlines, in seconds.
    pub bin_width_s: f64,
    /// Soft deadline of a job that has neither `due_s` nor an objective.
    pub default_deadline_s: f64,
    /// Idle machines stay rented for this many of their boot times.
    pub idle_keep: f64,
    /// Scales the spare capacity for arrivals during a boot; 0 means none.
    pub headroom: f64,
    /// Partitions that the teams are divided into; each is led by one controller.
    #[serde(alias = "parts")]
    pub partitions: u32,
}

impl Default for Operator {
    fn default() -> Self {
        Operator { bin_width_s: 5.0, default_deadline_s: 600.0, idle_keep: 1.5, headroom: 1.0, partitions: 1 }
    }
}
