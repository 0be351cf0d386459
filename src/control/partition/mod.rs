//! The protocol of a partition, without I/O and clocks: its jobs and hosts, the handling of heartbeats
//! and answers, the orders that follow, and the records to be written.
//!
//! [`Partition`] is composed of parts with a state of their own: pending writes (`commit_queue`),
//! clients waiting for an answer (`waiting_clients`), the leader's identity (`leadership_epoch`), hosts
//! outside the partition (`host_directory`), reconciliation after a failover (`reconciliation`), and so
//! on. The protocol itself is in the methods of `Partition`, by subject: user requests in
//! `user_requests`, worker heartbeats in `heartbeats`, commit outcomes in `commit_results`.
//!
//! Times are in milliseconds: `now` is read from the monotonic clock, `wall` is the time of day.

mod agent_memory;
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
mod fencing;
mod heartbeat_load;
mod heartbeats;
mod host_directory;
mod host_routing;
mod keys;
mod leadership_epoch;
mod next_commit;
mod order_audit;
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
pub use keys::{HOST_PREFIX, JOB_PREFIX, host_key, inbox_key, job_key};
pub use types::{
    Commit, CommitOutcome, DirectCommand, DirectCommandOutcome, HostRouting, JobWrite, PendingWrite, StatusSource,
    Superseded, UserAnswer, Waiter,
};

use crate::clients::write_limits::WriteLimits;
use crate::model::{ClusterState, FencingToken, FencingTokenRange, HostIndex, JobIndex};
use crate::runtime::metrics::Metrics;
use crate::scheduling::Policy;
use std::collections::{BTreeSet, HashMap};

/// State of one partition, and the protocol that operates on it.
pub struct Partition {
    /// Jobs, hosts and instance types of the partition.
    cluster: ClusterState,
    /// Settings that decisions depend on.
    policy: Policy,
    /// Metrics exported by `GET /metrics`.
    metrics: Metrics,
    /// Assignment of teams to partitions.
    teams: team_assignment::TeamAssignment,
    /// Fencing tokens and numbers of the leader.
    epoch: leadership_epoch::LeadershipEpoch,
    /// Conditions outside the partition.
    conditions: external_conditions::ExternalConditions,
    /// Hosts that the partition does not hold.
    host_directory: host_directory::HostDirectory,
    /// Progress of reconciliation after a failover.
    reconciliation: reconciliation::Reconciliation,
    /// Detector of suspect and unreachable hosts.
    failure_detector: failure_detector::FailureDetector,
    /// Pending writes and the commit in flight.
    commit_queue: commit_queue::CommitQueue,
    /// Clients that are answered after a commit.
    waiting_clients: waiting_clients::WaitingClients,
    /// Jobs whose cancellation waits until none of their tasks can run.
    cancelling: BTreeSet<JobIndex>,
    /// Waiting jobs and their dependencies.
    dependencies: dependencies::DependencyTracker,
    /// Submissions that wait for lookups of their dependencies.
    dependency_lookups: dependency_lookups::DependencyLookups,
    /// Hosts that are to get orders without waiting for their next heartbeat.
    dispatch_queue: dispatch_queue::DispatchQueue,
    /// Requests for scheduling cycles and the pending jobs.
    scheduling_triggers: scheduling_triggers::SchedulingTriggers,
    /// Numbers of running tasks of large jobs.
    running_counts: running_counts::RunningCounts,
    /// Rate at which attempts are listed in heartbeats.
    heartbeat_load: heartbeat_load::HeartbeatLoad,
    /// Pools of warm replicas; `None` without warm pools.
    warm_pools: Option<warm_pools::PartitionWarmPools>,
    /// Loans between teams; `None` without borrowing.
    borrowing: Option<borrowing::PartitionBorrowing>,
    /// Orders since the last summary in the log.
    order_counts: order_audit::OrderCounts,
    /// Time of day of the last scheduling cycle, in milliseconds.
    wall_ms: u64,
}

impl Partition {
    /// Returns a partition whose records have not been read yet.
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
            order_counts: Default::default(),
            wall_ms: 0,
        }
    }

    /// Returns the number of this partition.
    pub fn id(&self) -> u32 {
        self.teams.partition()
    }

    /// Returns the leader's lowest fencing token; `NONE` before the records are read.
    pub fn fencing_token(&self) -> FencingToken {
        self.epoch.fencing_token()
    }

    /// Returns the leader's fencing tokens.
    pub fn fencing_tokens(&self) -> FencingTokenRange {
        self.epoch.tokens()
    }

    /// Sets new fencing tokens, or the same ones with the current version of the partition's key.
    pub fn set_fencing_tokens(&mut self, tokens: FencingTokenRange, partition_version: u64) {
        self.epoch.set_tokens(tokens, partition_version);
    }

    /// Returns the jobs, hosts and instance types of the partition.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// Returns the jobs, hosts and instance types for modification by tests and benchmarks.
    pub fn cluster_mut(&mut self) -> &mut ClusterState {
        &mut self.cluster
    }

    /// Returns the settings that decisions depend on.
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Returns the settings for modification during the leadership.
    pub fn policy_mut(&mut self) -> &mut Policy {
        &mut self.policy
    }

    /// Returns the metrics exported by `GET /metrics`.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the metrics for updates.
    pub fn metrics_mut(&mut self) -> &mut Metrics {
        &mut self.metrics
    }

    // ---- external conditions ----

    /// Sets whether a controller is known to run a version that does not support dependencies between
    /// jobs. No job with dependencies is accepted then.
    pub fn set_has_outdated_peer(&mut self, has_outdated_peer: bool) {
        self.conditions.has_outdated_peer = has_outdated_peer;
    }

    /// Sets whether no configuration newer than the policy's teams is known.
    pub fn set_configuration_up_to_date(&mut self, up_to_date: bool) {
        self.conditions.configuration_up_to_date = up_to_date;
    }

    /// Sets whether the state service answers, so that reservations of warm replicas and loans can be
    /// recorded.
    pub fn set_reservations_recordable(&mut self, recordable: bool) {
        self.conditions.reservations_recordable = recordable;
    }

    // ---- scheduling cycles ----

    /// Requests a scheduling cycle after a change that may allow new placements.
    pub fn request_cycle(&mut self) {
        self.scheduling_triggers.request_cycle();
    }

    /// Returns whether a scheduling cycle is due.
    pub fn is_cycle_due(&self) -> bool {
        self.scheduling_triggers.is_cycle_due()
    }

    /// Returns whether a scheduling cycle for urgent work is due.
    pub fn is_urgent_cycle_due(&self) -> bool {
        self.scheduling_triggers.is_urgent_cycle_due()
    }

    /// Returns the jobs with tasks that found no capacity in the last scheduling cycle.
    pub fn pending_jobs(&self) -> &[JobIndex] {
        self.scheduling_triggers.pending_jobs()
    }

    // ---- hosts with pending orders ----

    /// Removes and returns the queued hosts that are to get orders without waiting for their next
    /// heartbeat.
    pub fn take_dispatch_queue(&mut self) -> BTreeSet<HostIndex> {
        self.dispatch_queue.take()
    }

    /// Queues a host that has orders to get.
    pub fn queue_dispatch(&mut self, host: HostIndex) {
        self.dispatch_queue.insert(host);
    }

    // ---- hosts by id ----

    /// Returns whether the host belongs to this partition or is known to belong to another one.
    pub fn knows_host(&self, id: &str) -> bool {
        self.cluster.host_index.contains_key(id) || self.host_directory.other_partition_of(id).is_some()
    }

    /// Removes and returns the ids of the hosts whose records are to be read again.
    pub fn take_records_to_reread(&mut self) -> BTreeSet<String> {
        self.host_directory.take_records_to_reread()
    }

    /// Replaces the map, by host id, of partitions that booting hosts are intended for. Hosts without an
    /// entry stay in this partition.
    pub fn set_pending_transfers(&mut self, pending_transfers: HashMap<String, u32>) {
        self.host_directory.set_pending_transfers(pending_transfers);
    }
}
