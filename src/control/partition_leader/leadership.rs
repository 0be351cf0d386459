//! State that the actor keeps while this node leads the partition.
//!
//! All of it is dropped when leadership ends, so that a later leadership relies on nothing that an
//! earlier one assumed. Times are milliseconds of the steady clock.

use super::activity::Activity;
use super::refused_jobs::RefusedJobs;
use crate::clients::TokenBucket;
use crate::configuration::AppliedConfiguration;
use crate::control::membership::AcquiredLeadership;
use crate::control::partition::Partition;
use crate::model::InstanceOffering;
use crate::provisioning::provisioner::Provisioner;
use std::collections::HashSet;

/// State of one leadership of the partition.
pub(super) struct Leadership {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    /// Number of the leadership on this node. Reports of background tasks of an earlier one are
    /// dropped.
    pub(super) epoch: u64,
    /// Id of the lease that the partition's key is attached to.
    pub(super) lease_id: u64,
    /// Version of the partition's key, which is a condition of every commit.
    pub(super) key_version: u64,
    /// Whether the partition's records have been read and leadership has not been found lost since.
    pub(super) loaded: bool,
    /// Limit of the rate of writes to the state service.
    pub(super) write_budget: TokenBucket,
    /// Earliest instant of the next commit after a failed one.
    pub(super) next_commit_ms: u64,
    pub(super) token_raise: TokenRaise,
    /// Whether to check if the fencing token must be raised. The check iterates over all attempts, so
    /// it is made only if this is set.
    pub(super) token_check_due: bool,
    pub(super) timers: Timers,
    /// Limit of the rate of probes of machines; `None` if they are not limited.
    pub(super) probe_budget: Option<TokenBucket>,
    pub(super) external_dependencies: ExternalDependencies,
    pub(super) configuration: EffectiveConfiguration,
    /// Whether a read of indeterminate records of warm pools and loans is under way.
    pub(super) reading_indeterminate: bool,
    /// Machines on their way to this partition, as the provisioner has reported.
    pub(super) pending_machines: Vec<InstanceOffering>,
    pub(super) activity: Activity,
    pub(super) refused_jobs: RefusedJobs,
    /// Instant at which the leadership began, in milliseconds of the steady clock.
    pub(super) began_ms: u64,
}

/// Inputs of [`Leadership::new`]: the new partition state and the rate limits of its requests.
pub(super) struct NewLeadership {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    pub(super) epoch: u64,
    pub(super) acquired: AcquiredLeadership,
    pub(super) write_budget: TokenBucket,
    pub(super) probe_budget: Option<TokenBucket>,
}

impl Leadership {
    /// Creates a leadership that begins now and has not read its records.
    pub(super) fn new(inputs: NewLeadership, now: u64) -> Leadership {
        Leadership {
            partition: inputs.partition,
            provisioner: inputs.provisioner,
            epoch: inputs.epoch,
            lease_id: inputs.acquired.lease_id,
            key_version: inputs.acquired.version,
            loaded: false,
            write_budget: inputs.write_budget,
            next_commit_ms: 0,
            token_raise: TokenRaise::Idle { not_before_ms: 0 },
            token_check_due: true,
            timers: Timers { last_failure_detection_ms: now, ..Timers::default() },
            probe_budget: inputs.probe_budget,
            external_dependencies: ExternalDependencies::Idle { known: None, next_read_ms: 0 },
            configuration: EffectiveConfiguration::default(),
            reading_indeterminate: false,
            pending_machines: Vec::new(),
            activity: Activity::default(),
            refused_jobs: RefusedJobs::default(),
            began_ms: now,
        }
    }
}

/// Instants at which periodic work is due, and the last run of failure detection.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pub(super) next_cycle_ms: u64,
    pub(super) next_urgent_cycle_ms: u64,
    pub(super) next_failure_detection_ms: u64,
    pub(super) last_failure_detection_ms: u64,
    pub(super) next_plan_ms: u64,
}

/// State of raising the fencing token. Nothing is committed while a raise is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenRaise {
    /// No raise is under way; the next one begins at `not_before_ms` at the earliest.
    Idle { not_before_ms: u64 },
    /// The commit of a raise has no answer yet, or the partition's key is read to learn its outcome.
    UnderWay,
}

/// State of the reads of jobs of other partitions that jobs of this one depend on.
pub(super) enum ExternalDependencies {
    /// No read is under way; the next one begins at `next_read_ms` at the earliest.
    Idle {
        /// Jobs that were read and the revision of the last read; `None` if the next read has to start
        /// over.
        known: Option<KnownExternalDependencies>,
        next_read_ms: u64,
    },
    /// A read is under way, and owns the known jobs and their revision.
    Reading,
}

/// Ids of jobs of other partitions whose changes have been read up to `revision`.
#[derive(Default, Clone)]
pub(super) struct KnownExternalDependencies {
    pub(super) revision: u64,
    pub(super) ids: HashSet<String>,
}

/// Shared configuration of a fleet as this leader applies it.
#[derive(Debug, Default)]
pub(super) struct EffectiveConfiguration {
    /// Version that is applied; `None` before the first one.
    pub(super) version: Option<u64>,
    /// Whether the version was applied while the region may start no tasks.
    pub(super) suspended: bool,
    /// Record of the applied version that was last written to the state service.
    pub(super) recorded: AppliedConfiguration,
    /// Whether a write of that record is under way.
    pub(super) recording: bool,
    /// Earliest instant of the next write of that record.
    pub(super) next_record_ms: u64,
}
