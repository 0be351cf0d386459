//! What the actor keeps while this node leads the partition.
//!
//! All of it is dropped when leadership ends: nothing that an earlier leadership assumed may
//! count in a later one. Times are milliseconds of the steady clock.

use crate::clients::TokenBucket;
use crate::configuration::AppliedConfiguration;
use crate::control::membership::AcquiredLeadership;
use crate::control::partition::Partition;
use crate::model::InstanceOffering;
use crate::provisioning::provisioner::Provisioner;
use std::collections::HashSet;

/// One leadership of the partition.
pub(super) struct Leadership {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    /// Number of the leadership on this node: reports of background tasks of an earlier one are
    /// dropped.
    pub(super) epoch: u64,
    /// The lease that the partition's key is attached to.
    pub(super) lease_id: u64,
    /// The version of the partition's key, which is a condition of every commit.
    pub(super) key_version: u64,
    /// True once the partition's records have been read, until leadership is found to be lost.
    pub(super) loaded: bool,
    /// Bounds the writes to the state store.
    pub(super) write_budget: TokenBucket,
    /// After a commit without success: the next one is not before then.
    pub(super) next_commit_ms: u64,
    pub(super) token_raise: TokenRaise,
    /// Whether the fencing token must be raised is to be checked: that costs a look at all attempts.
    pub(super) token_check_due: bool,
    pub(super) timers: Timers,
    /// Bounds the probes of machines; none if they are not bounded.
    pub(super) probe_budget: Option<TokenBucket>,
    pub(super) external_dependencies: ExternalDependencies,
    pub(super) configuration: EffectiveConfiguration,
    /// Indeterminate records of warm pools and loans are being read.
    pub(super) reading_indeterminate: bool,
    /// What the provisioner reports as on its way to this partition.
    pub(super) pending_machines: Vec<InstanceOffering>,
}

/// A partition as a new leadership begins, and the bounds of its requests.
pub(super) struct NewLeadership {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    pub(super) epoch: u64,
    pub(super) acquired: AcquiredLeadership,
    pub(super) write_budget: TokenBucket,
    pub(super) probe_budget: Option<TokenBucket>,
}

impl Leadership {
    /// A leadership that begins now and has not read its records.
    pub(super) fn new(new: NewLeadership, now: u64) -> Leadership {
        Leadership {
            partition: new.partition,
            provisioner: new.provisioner,
            epoch: new.epoch,
            lease_id: new.acquired.lease_id,
            key_version: new.acquired.version,
            loaded: false,
            write_budget: new.write_budget,
            next_commit_ms: 0,
            token_raise: TokenRaise::Idle { not_before_ms: 0 },
            token_check_due: true,
            timers: Timers { last_failure_detection_ms: now, ..Timers::default() },
            probe_budget: new.probe_budget,
            external_dependencies: ExternalDependencies::Idle { known: None, next_read_ms: 0 },
            configuration: EffectiveConfiguration::default(),
            reading_indeterminate: false,
            pending_machines: Vec::new(),
        }
    }
}

/// When periodic work is due.
#[derive(Debug, Default)]
pub(super) struct Timers {
    pub(super) next_cycle_ms: u64,
    pub(super) next_urgent_cycle_ms: u64,
    pub(super) next_failure_detection_ms: u64,
    pub(super) last_failure_detection_ms: u64,
    pub(super) next_plan_ms: u64,
}

/// The raise of the fencing token. Nothing is committed while it is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TokenRaise {
    /// The next raise is not before then.
    Idle { not_before_ms: u64 },
    /// Its commit has no answer yet, or the partition's key is read to learn its outcome.
    UnderWay,
}

/// Reads of jobs of other partitions that jobs of this one depend on.
pub(super) enum ExternalDependencies {
    /// The next read is not before then.
    Idle {
        /// What the last read has found; `None` if the next one has to begin anew.
        known: Option<KnownExternalDependencies>,
        next_read_ms: u64,
    },
    /// A read is under way, and has what is known.
    Reading,
}

/// Jobs of other partitions whose changes are known up to a revision.
#[derive(Default, Clone)]
pub(super) struct KnownExternalDependencies {
    pub(super) revision: u64,
    pub(super) ids: HashSet<String>,
}

/// The shared configuration of a fleet as a leader applies it.
#[derive(Debug, Default)]
pub(super) struct EffectiveConfiguration {
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
