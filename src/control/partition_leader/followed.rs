//! What a leader knows of what it follows: jobs of other partitions, and the shared configuration.

use crate::configuration::AppliedConfiguration;
use std::collections::HashSet;

/// Jobs of other partitions whose changes are known up to a revision.
#[derive(Default, Clone)]
pub(super) struct KnownExternalDependencies {
    pub(super) revision: u64,
    pub(super) ids: HashSet<String>,
}

/// How far a leader follows the shared configuration.
#[derive(Debug, Default)]
pub(super) struct FollowedConfiguration {
    /// The version that decisions are made by; `None` before there is one.
    pub(super) version: Option<u64>,
    /// Decisions were made by it while the region may start no tasks.
    pub(super) suspended: bool,
    /// What is recorded of it.
    pub(super) recorded: AppliedConfiguration,
    /// The record is being written.
    pub(super) recording: bool,
    pub(super) next_record_ms: u64,
}
