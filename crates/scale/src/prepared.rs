//! Parameters of a run.

use crate::scenario::Scenario;
use std::path::PathBuf;

/// A checked scenario with the parameters of its run.
#[derive(Clone)]
pub struct Prepared {
    pub scenario: Scenario,
    pub seed: u64,
    /// Path of the controller program; `None` to build it.
    pub controller: Option<PathBuf>,
}
