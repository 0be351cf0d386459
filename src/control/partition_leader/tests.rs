//! Tests of the actor of a partition with mailboxes of its neighbours that a test reads.

use super::leader::PartitionLeader;
use super::leadership::{Leadership, NewLeadership};
use super::refused_jobs::RefusedJobs;
use crate::api::refusal::RefusalReason;
use crate::clients::{Cloud, StateStore, TokenBucket, Worker};
use crate::control::membership::{AcquiredLeadership, ElectionMessage, LeaderLease, PledgeStatus};
use crate::control::partition::Partition;
use crate::control::router::Router;
use crate::model::{FencingToken, FencingTokenRange};
use crate::provisioning::provisioner::Provisioner;
use crate::scheduling::Policy;
use crate::settings::{OperatorSettings, tests::settings};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

const LEASE_ID: u64 = 7;
const NOW_MS: u64 = 1000;

/// Returns the actor of partition 0 that sends to this mailbox of the election actor.
fn partition_leader(election: mpsc::Sender<ElectionMessage>) -> PartitionLeader {
    let settings = settings();
    let leader_lease_ttl_ms = settings.leader_lease_ttl_ms();
    let router = Router {
        partitions: Arc::default(),
        peers: Arc::default(),
        leader_lease_ttl_ms,
        configuration: None,
        bill_store: None,
        last_pledge_request_ms: Arc::default(),
    };
    PartitionLeader {
        id: 0,
        operator: OperatorSettings::default(),
        pools: None,
        borrowing: None,
        state: StateStore::new(&settings),
        cloud: Cloud::new(&settings),
        worker: Worker::new(&settings),
        settings,
        leader_lease: LeaderLease::default(),
        pledge_status: PledgeStatus::default(),
        election,
        router,
        own_messages: mpsc::channel(1).0,
        current_epoch: Arc::new(AtomicU64::new(0)),
    }
}

/// Returns the state of a leadership that is about to lose its key.
fn leadership(leader: &PartitionLeader) -> Leadership {
    let limits = leader.settings.write_limits();
    let policy = Policy::new(&leader.settings, &leader.operator, 0);
    let teams = leader.settings.partitions_of_teams(leader.operator.partitions);
    let acquired = AcquiredLeadership {
        lease_id: LEASE_ID,
        tokens: FencingTokenRange::ending_at(FencingToken(3)),
        version: 5,
        start_ms: 0,
    };
    let mut leadership = Leadership::new(
        NewLeadership {
            partition: Partition::new(policy, leader.id, teams, limits),
            provisioner: Provisioner::new(leader.settings.params.cloud.list_lag_s),
            epoch: 1,
            acquired,
            write_budget: TokenBucket::new(limits.changes_per_s, 1.0, NOW_MS),
            probe_budget: None,
        },
        NOW_MS,
    );
    leadership.loaded = true;
    leadership
}

// Guards against a job that a leader refuses for good without a trace, and against alarms for short refusals.
#[test]
fn a_job_that_is_refused_for_longer_than_a_lease_is_reported_once_until_it_is_answered() {
    const LIMIT_MS: u64 = 1000;
    let refused = Some(RefusalReason::EndBeingRecorded);
    let mut jobs = RefusedJobs::default();
    assert_eq!(jobs.record("run-000001", refused, 0, LIMIT_MS), None);
    assert_eq!(jobs.record("run-000001", refused, 1000, LIMIT_MS), None, "not longer than the limit");
    assert_eq!(jobs.record("run-000002", refused, 1001, LIMIT_MS), None, "another job");
    assert_eq!(jobs.record("run-000001", refused, 1001, LIMIT_MS), Some(1001));
    assert_eq!(jobs.record("run-000001", refused, 2000, LIMIT_MS), None, "reported already");
    assert_eq!(jobs.record("run-000001", None, 2100, LIMIT_MS), None, "answered");
    assert_eq!(jobs.record("run-000001", refused, 3000, LIMIT_MS), None, "a new series");
    assert_eq!(jobs.record("run-000001", refused, 4001, LIMIT_MS), Some(1001));
    jobs.clear();
    assert_eq!(jobs.record("run-000002", refused, 9000, LIMIT_MS), None, "an outage of the state service is no fault");
}

// Guards against an election that keeps its lease after the leadership was found lost, since its mailbox was full.
#[tokio::test]
async fn the_election_learns_of_lost_leadership_also_while_its_mailbox_is_full() {
    let (election, mut mailbox) = mpsc::channel(1);
    election.try_send(ElectionMessage::YieldLeadership).unwrap();
    let leader = partition_leader(election);
    let mut leadership = leadership(&leader);
    leader.leader_lease.set_valid_until(u64::MAX);
    // Returns although the mailbox is full: the actor must not wait for the election actor.
    leader.leadership_lost(&mut leadership);
    assert!(!leadership.loaded && !leader.leader_lease.holds(NOW_MS));
    assert!(matches!(mailbox.recv().await, Some(ElectionMessage::YieldLeadership)));
    let learned = timeout(Duration::from_secs(5), mailbox.recv()).await;
    assert!(matches!(learned, Ok(Some(ElectionMessage::LeadershipLost { lease_id: LEASE_ID }))));
}
