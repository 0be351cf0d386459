//! Settings of the operators, from their HCL file.

use serde::Deserialize;

/// Settings of the operators; absent fields have defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorSettings {
    /// Width, in seconds, of the bins into which soft deadlines are grouped.
    pub bin_width_s: f64,
    /// Soft deadline, in seconds, of a job that has neither `due_s` nor an objective.
    pub default_deadline_s: f64,
    /// Time for which idle machines are kept, as a multiple of their boot time.
    pub idle_keep: f64,
    /// Factor of the spare capacity for the jobs that arrive during a boot; 0 means no spare capacity.
    pub headroom: f64,
    /// Number of partitions among which the teams are divided; each is led by one controller.
    #[serde(alias = "parts")]
    pub partitions: u32,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings { bin_width_s: 5.0, default_deadline_s: 600.0, idle_keep: 1.5, headroom: 1.0, partitions: 1 }
    }
}
