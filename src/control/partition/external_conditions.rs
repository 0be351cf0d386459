//! What the leader knows of its surroundings, as far as the partition's decisions depend on it.

/// Conditions outside of the partition. The leader sets them before it hands on requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExternalConditions {
    /// A controller is known to be of a version that would not let jobs wait: none is accepted.
    pub(super) has_old_peer: bool,
    /// Nothing newer than the policy's teams is known; always so without a shared configuration.
    pub(super) configuration_up_to_date: bool,
    /// The state service answers, so that reservations of warm replicas and loans can be recorded.
    pub(super) reservations_recordable: bool,
}

impl Default for ExternalConditions {
    fn default() -> ExternalConditions {
        ExternalConditions { has_old_peer: false, configuration_up_to_date: true, reservations_recordable: true }
    }
}
