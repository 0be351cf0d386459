//! What the actor keeps while it holds the partition.

use super::followed::{FollowedConfiguration, KnownExternalDependencies};
use crate::clients::TokenBucket;
use crate::control::partition::Partition;
use crate::model::InstanceOffering;
use crate::provisioning::provisioner::Provisioner;

/// One leadership epoch of the partition.
pub(super) struct Leadership {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    /// Number of the leadership epoch: answers to an earlier one are dropped.
    pub(super) n: u64,
    pub(super) lease_id: u64,
    pub(super) version: u64,
    pub(super) loaded: bool,
    pub(super) writes: TokenBucket,
    pub(super) raising: bool,
    pub(super) raise_after_ms: u64,
    /// Whether the fencing token must be raised is to be looked at: that takes a look at all attempts.
    pub(super) token_check_due: bool,
    pub(super) commit_after_ms: u64,
    pub(super) next_cycle_ms: u64,
    pub(super) next_urgent_cycle_ms: u64,
    pub(super) next_failure_detection_ms: u64,
    pub(super) last_failure_detection_ms: u64,
    /// Bounds the questions to machines; none if they are not bounded.
    pub(super) probes: Option<TokenBucket>,
    pub(super) next_plan_ms: u64,
    /// What is known of jobs of other partitions that are waited for.
    pub(super) known_external_dependencies: Option<KnownExternalDependencies>,
    pub(super) external_reads_under_way: bool,
    pub(super) next_external_read_ms: u64,
    /// How far this leader follows the shared configuration.
    pub(super) followed: FollowedConfiguration,
    /// Unclear records of warm pools and loans are being read.
    pub(super) reading_indeterminate: bool,
    /// What the provisioner says is on its way here.
    pub(super) pending_machines: Vec<InstanceOffering>,
}
