//! A run that is ready to start.

use crate::scenario::Scenario;
use std::path::PathBuf;

/// A checked scenario, and how it is run.
#[derive(Clone)]
pub struct Prepared {
    pub scenario: Scenario,
    pub seed: u64,
    /// The controller program; built if none is named.
    pub controller: Option<PathBuf>,
}
