//! The protocol of a partition, without I/O and clock: its jobs, its machines, what
//! heartbeats and answers mean, which orders follow, what must be recorded.
//!
//! [`Partition`] is made of parts, each with state of its own: what is to be written
//! (`commit_queue`), who waits for that (`waiting_clients`), the leader's identity
//! (`leadership_epoch`), machines that are not here (`host_directory`), what a failover leaves to be
//! reconciled (`reconciliation`), and so on. The protocol itself is in the methods of `Partition`, by
//! subject: requests of users in `user_requests`, heartbeats of workers in `heartbeats`, answers to commits in
//! `commit_results`.
//!
//! Times are in milliseconds: `now` by the monotonic clock, `wall` as time of day.

mod attempt_phases;
mod attempts;
mod borrowing;
mod commit_builder;
mod commit_queue;
mod commit_results;
mod critical_path;
mod dependencies;
mod dependency_lookups;
mod direct_commands;
mod dispatch_queue;
mod drain;
mod external_conditions;
mod external_dependencies;
mod failover;
mod failure_detector;
mod heartbeat_load;
mod heartbeats;
mod host_directory;
mod host_routing;
mod keys;
mod leadership_epoch;
mod next_commit;
mod reconciliation;
mod running_counts;
mod scheduling;
mod scheduling_triggers;
mod task_orders;
mod team_assignment;
#[cfg(test)]
pub mod tests;
mod types;
mod user_requests;
mod waiting_clients;
mod warm_pools;

pub use borrowing::{LoanStatus, LoansStatus, TeamStatus};
pub use dependency_lookups::DependencyLookup;
pub use failure_detector::DetectedFailures;
pub use keys::{JOB_PREFIX, host_key, inbox_key, job_key};
pub use types::{
    Commit, CommitOutcome, DirectCommand, DirectCommandOutcome, HostRouting, JobWrite, PendingWrite, StatusSource,
    Superseded, UserAnswer, Waiter,
};

use crate::clients::write_limits::WriteLimits;
use crate::model::{ClusterState, FencingToken, HostIndex, JobIndex};
use crate::runtime::metrics::Metrics;
use crate::scheduling::Policy;
use std::collections::{BTreeSet, HashMap};

/// The state of one partition, and the protocol over it.
pub struct Partition {
    /// Its jobs, machines and machine types.
    cluster: ClusterState,
    /// Settings that decisions depend on.
    policy: Policy,
    /// Figures for `GET /metrics`.
    metrics: Metrics,
    teams: team_assignment::TeamAssignment,
    epoch: leadership_epoch::LeadershipEpoch,
    conditions: external_conditions::ExternalConditions,
    host_directory: host_directory::HostDirectory,
    reconciliation: reconciliation::Reconciliation,
    failure_detector: failure_detector::FailureDetector,
    commit_queue: commit_queue::CommitQueue,
    waiting_clients: waiting_clients::WaitingClients,
    /// Jobs whose cancellation waits for their tasks to be gone.
    cancelling: BTreeSet<JobIndex>,
    dependencies: dependencies::DependencyTracker,
    dependency_lookups: dependency_lookups::DependencyLookups,
    dispatch_queue: dispatch_queue::DispatchQueue,
    scheduling_triggers: scheduling_triggers::SchedulingTriggers,
    running_counts: running_counts::RunningCounts,
    heartbeat_load: heartbeat_load::HeartbeatLoad,
    /// Pools of warm replicas, if there are any.
    warm_pools: Option<warm_pools::PartitionWarmPools>,
    /// Loans between teams, if there is borrowing.
    borrowing: Option<borrowing::PartitionBorrowing>,
    /// The time of day of the last scheduling cycle.
    wall_ms: u64,
}

impl Partition {
    /// A partition whose records were not read yet.
    pub fn new(policy: Policy, id: u32, teams: HashMap<String, u32>, limits: WriteLimits) -> Partition {
        let heartbeat_load = heartbeat_load::HeartbeatLoad::new(policy.report_ms);
        let partition_key = crate::control::membership::partition_key(id);
        Partition {
            cluster: ClusterState { all_reconciled: true, ..ClusterState::default() },
            policy,
            metrics: Metrics::default(),
            teams: team_assignment::TeamAssignment::new(id, teams),
            epoch: leadership_epoch::LeadershipEpoch::new(partition_key),
            conditions: Default::default(),
            host_directory: Default::default(),
            reconciliation: Default::default(),
            failure_detector: Default::default(),
            commit_queue: commit_queue::CommitQueue::new(limits),
            waiting_clients: Default::default(),
            cancelling: BTreeSet::new(),
            dependencies: Default::default(),
            dependency_lookups: Default::default(),
            dispatch_queue: Default::default(),
            scheduling_triggers: scheduling_triggers::SchedulingTriggers::new(),
            running_counts: Default::default(),
            heartbeat_load,
            warm_pools: None,
            borrowing: None,
            wall_ms: 0,
        }
    }

    /// This partition's number.
    pub fn id(&self) -> u32 {
        self.teams.partition()
    }

    /// The leader's fencing token; `NONE` before the records were read.
    pub fn fencing_token(&self) -> FencingToken {
        self.epoch.fencing_token()
    }

    /// A new fencing token, or the same one again with the partition key's version as it is now.
    pub fn set_fencing_token(&mut self, fencing_token: FencingToken, partition_version: u64) {
        self.epoch.set_fencing_token(fencing_token, partition_version);
    }

    /// Its jobs, machines and machine types.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// The same, to be filled by trials.
    pub fn cluster_mut(&mut self) -> &mut ClusterState {
        &mut self.cluster
    }

    /// Settings that decisions depend on.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// The same, to be changed while the leader leads.
    pub fn policy_mut(&mut self) -> &mut Policy {
        &mut self.policy
    }

    /// Figures for `GET /metrics`.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The same, to count on in.
    pub fn metrics_mut(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    // ---- external conditions ----

    /// Whether a controller is known to be of a version that would not let jobs wait: then no job
    /// with dependencies is accepted.
    pub fn set_has_old_peer(&mut self, has_old_peer: bool) {
        self.conditions.has_old_peer = has_old_peer;
    }

    /// Whether nothing newer than the policy's teams is known.
    pub fn set_configuration_up_to_date(&mut self, up_to_date: bool) {
        self.conditions.configuration_up_to_date = up_to_date;
    }

    /// Whether the state service answers, so that reservations of warm replicas and loans can be recorded.
    pub fn set_reservations_recordable(&mut self, recordable: bool) {
        self.conditions.reservations_recordable = recordable;
    }

    // ---- scheduling cycles ----

    /// Something changed that a scheduling cycle may use.
    pub fn request_cycle(&mut self) {
        self.scheduling_triggers.request_cycle();
    }

    /// Is a scheduling cycle due?
    pub fn is_cycle_due(&self) -> bool {
        self.scheduling_triggers.is_cycle_due()
    }

    /// Is a scheduling cycle for urgent work due?
    pub fn is_urgent_cycle_due(&self) -> bool {
        self.scheduling_triggers.is_urgent_cycle_due()
    }

    /// Jobs with tasks that found no capacity in the last scheduling cycle.
    pub fn pending_jobs(&self) -> &[JobIndex] {
        self.scheduling_triggers.pending_jobs()
    }

    // ---- machines with orders due ----

    /// Empties the queue of machines that have orders to get without waiting for their next heartbeat.
    pub fn take_dispatch_queue(&mut self) -> BTreeSet<HostIndex> {
        self.dispatch_queue.take()
    }

    /// Queues a machine that has orders to get.
    pub fn queue_dispatch(&mut self, host: HostIndex) {
        self.dispatch_queue.insert(host);
    }

    // ---- machines by name ----

    /// Is the machine one of this partition, or known to be one of another?
    pub fn knows_host(&self, id: &str) -> bool {
        self.cluster.host_index.contains_key(id) || self.host_directory.other_partition_of(id).is_some()
    }

    /// Machines whose records are to be read again now.
    pub fn take_records_to_reread(&mut self) -> BTreeSet<String> {
        self.host_directory.take_records_to_reread()
    }

    /// Replaces the partitions that booting machines go to, by name; others stay here.
    pub fn set_pending_transfers(&mut self, pending_transfers: HashMap<String, u32>) {
        self.host_directory.set_pending_transfers(pending_transfers);
    }
}
