//! Conditions outside the partition that its decisions depend on.

/// Conditions outside the partition, set by the leader before it passes on requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExternalConditions {
    /// Whether a controller is known to run a version that does not support dependencies between jobs.
    /// No job with dependencies is accepted then.
    pub(super) has_outdated_peer: bool,
    /// Whether no configuration newer than the policy's teams is known. Always `true` without a shared
    /// configuration.
    pub(super) configuration_up_to_date: bool,
    /// Whether the state service answers, so that reservations of warm replicas and loans can be
    /// recorded.
    pub(super) reservations_recordable: bool,
}

impl Default for ExternalConditions {
    fn default() -> ExternalConditions {
        ExternalConditions { has_outdated_peer: false, configuration_up_to_date: true, reservations_recordable: true }
    }
}
