//! The protocol of a partition, without I/O and clock: its jobs, its machines, what
//! reports and answers mean, which orders follow, what must be recorded.

mod attempt_phases;
mod attempts;
mod borrowing;
mod critical_path;
mod dependencies;
mod direct;
mod drain;
mod failover;
mod failure_detector;
mod heartbeats;
mod host_routing;
mod keys;
mod next_commit;
mod records;
mod report_load;
mod running_counts;
mod scheduling;
#[cfg(test)]
pub mod tests;
mod types;
mod users;
mod warm_pools;

pub use borrowing::{LoanStatus, LoansStatus, TeamStatus};
pub use dependencies::DependencyLookup;
pub use keys::{JOB_PREFIX, host_key, inbox_key, job_key};
pub use types::{
    Commit, CommitOutcome, DirectCommand, DirectCommandOutcome, HostRouting, JobWrite, PendingWrite, StatusSource,
    Superseded, UserAnswer, Waiter,
};

use crate::clients::write_limits::WriteLimits;
use crate::model::FencingToken;
use crate::model::{ClusterState, HostIndex, JobIndex};
use crate::runtime::metrics::Metrics;
use crate::scheduling::Policy;
use crate::scheduling::dependency_graph::DependencyGraph;
use std::collections::{BTreeSet, HashMap, HashSet};

/// The state of one partition, and the protocol over it.
pub struct Partition {
    /// Its jobs, machines and machine types.
    pub cluster: ClusterState,
    /// Settings that decisions depend on.
    pub policy: Policy,
    /// Figures for `GET /metrics`.
    pub metrics: Metrics,
    /// The leader's fencing token, which is its fencing token; 0 before the records were read.
    pub fencing_token: FencingToken,
    /// The fencing token with which this leader began: it may have raised it since.
    first_token: FencingToken,
    /// This partition's number, and whether its leader leads.
    pub id: u32,
    teams: HashMap<String, u32>,
    /// Machines of other partitions, as far as the provisioner knows.
    pub hosts_of_other_partitions: HashMap<String, u32>,
    /// Machines whose record is to be read again.
    pub records_to_reread: BTreeSet<String>,
    /// Where machines go that are on their way, by name; others stay here.
    pub pending_transfers: HashMap<String, u32>,
    partition_key: String,
    partition_version: u64,
    begun_ms: u64,
    next_attempt: u64,
    /// Which jobs wait for which others.
    dependency_graph: DependencyGraph,
    dependencies: dependencies::DependencyTracker,
    /// A controller is known to be of a version that would not let jobs wait: none is accepted.
    pub has_old_peer: bool,
    /// Nothing newer than the policy's teams is known; always so without a shared configuration.
    pub configuration_up_to_date: bool,
    dirty: BTreeSet<JobIndex>,
    new_hosts: BTreeSet<HostIndex>,
    /// Keys that are of no more use.
    obsolete_keys: BTreeSet<String>,
    /// Names of machines that were released: late copies of their reports mean nothing.
    terminated_hosts: HashSet<String>,
    /// The version of the partition's key under which a record of a machine was written without
    /// an answer. Such a write may come late, after the machine has moved to another partition
    /// or back, and undo that; it can't once the key has changed.
    indeterminate_host_write: Option<u64>,
    in_flight: Option<Vec<PendingWrite>>,
    /// Machines of the last leader were reconciled since they were last counted.
    reconciliation_due: bool,
    /// Who waits for a job to be accepted, and for it to end.
    submitters: HashMap<JobIndex, Vec<Waiter>>,
    cancellers: HashMap<JobIndex, Vec<Waiter>>,
    /// Jobs whose cancellation waits for their tasks to be gone.
    cancelling: BTreeSet<JobIndex>,
    /// Machines that have orders to get without waiting for their next report.
    pub dispatch_queue: BTreeSet<HostIndex>,
    /// Running tasks of large jobs, counted now and then.
    running_counts: running_counts::RunningCounts,
    /// Something changed that a scheduling cycle may use.
    pub cycle_due: bool,
    /// The same, for urgent work.
    pub urgent_cycle_due: bool,
    /// Tasks of arrays were done since the last cycle.
    done_since_cycle: bool,
    /// Jobs with tasks that found no room in the last cycle.
    pub pending_jobs: Vec<JobIndex>,
    /// Machines that scheduling cycles have looked at so far.
    pub hosts_examined: u64,
    /// Pools of warm replicas, if there are any.
    pools: Option<warm_pools::PartitionWarmPools>,
    /// Loans between teams, if there is borrowing.
    loans: Option<borrowing::PartitionBorrowing>,
    /// The state service answers, so that claims of warm replicas and loans can be recorded.
    pub reservations_recordable: bool,
    limits: WriteLimits,
    /// How often attempts are listed in reports.
    report_load: report_load::ReportLoad,
    /// Changes in a commit, fewer for a while after one that was not taken.
    largest_commit: usize,
    /// When the last commit was made.
    last_commit_ms: u64,
    /// The time of day as last told.
    wall_ms: u64,
    last_failure_detection_ms: u64,
}

impl Partition {
    /// A partition whose records were not read yet.
    pub fn new(policy: Policy, id: u32, teams: HashMap<String, u32>, limits: WriteLimits) -> Partition {
        let report_load = report_load::ReportLoad::new(policy.report_ms);
        Partition {
            cluster: ClusterState { all_reconciled: true, ..ClusterState::default() },
            policy,
            metrics: Metrics::default(),
            fencing_token: FencingToken::NONE,
            first_token: FencingToken::NONE,
            id,
            teams,
            hosts_of_other_partitions: HashMap::new(),
            records_to_reread: BTreeSet::new(),
            pending_transfers: HashMap::new(),
            partition_key: crate::control::membership::partition_key(id),
            partition_version: 0,
            begun_ms: 0,
            next_attempt: 0,
            dependency_graph: DependencyGraph::default(),
            dependencies: Default::default(),
            has_old_peer: false,
            configuration_up_to_date: true,
            dirty: BTreeSet::new(),
            new_hosts: BTreeSet::new(),
            obsolete_keys: BTreeSet::new(),
            terminated_hosts: HashSet::new(),
            indeterminate_host_write: None,
            in_flight: None,
            reconciliation_due: false,
            submitters: HashMap::new(),
            cancellers: HashMap::new(),
            cancelling: BTreeSet::new(),
            dispatch_queue: BTreeSet::new(),
            running_counts: running_counts::RunningCounts::new(),
            cycle_due: true,
            done_since_cycle: false,
            urgent_cycle_due: false,
            pending_jobs: Vec::new(),
            hosts_examined: 0,
            pools: None,
            loans: None,
            reservations_recordable: true,
            limits,
            report_load,
            largest_commit: limits.commit_changes,
            last_commit_ms: 0,
            wall_ms: 0,
            last_failure_detection_ms: 0,
        }
    }
}
