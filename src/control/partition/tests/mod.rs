//! Tests of a partition, and helpers that the tests of other modules use, too.

mod acceptance;
mod borrowing;
mod components;
mod critical_path;
mod dependencies;
mod failover;
mod failure_detection;
mod failures;
mod fault_combinations;
mod fleet;
mod late_copies;
mod limits;
mod memory;
mod orders;
mod propagated_cancellations;
mod recording;
mod warm_pools;

use super::*;
use crate::model::{
    Demand, Host, HostIndex, HostRecord, InstanceType, Job, JobPhase, JobRecord, Place, TaskAttempt,
    UNREACHABLE_AFTER_UNANSWERED,
};
use crate::model::{FencingToken, FencingTokenRange};
use crate::scheduling;
use crate::settings::{OperatorSettings, tests::settings};
use crate::wire::tests::task_status;
use crate::wire::{self, Heartbeat, KeyValue, Order, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Duration of a worker's lease in these tests, in milliseconds.
pub(super) const LEASE_MS: u64 = 10_000;

/// Maximum size of a stored value in these tests, in bytes.
pub const MAX_RECORD_BYTES: usize = 30 * 1024;

/// Returns an instance type with eight accelerators in two zones.
pub(crate) fn instance_type() -> InstanceType {
    InstanceType {
        name: "g8".into(),
        cap: Demand { cpus: 32.0, gpus: 8.0, mem: 256.0 },
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Returns a partition whose new leader has this token alone and has read these job and machine records.
pub fn partition_with_records(fencing_token: u64, jobs: Vec<KeyValue>, hosts: Vec<KeyValue>) -> Partition {
    partition_with_tokens(single_token(fencing_token), jobs, hosts)
}

/// Returns a partition whose new leader has read these job and machine records.
pub(super) fn partition_with_tokens(tokens: FencingTokenRange, jobs: Vec<KeyValue>, hosts: Vec<KeyValue>) -> Partition {
    let settings = settings();
    let policy = Policy::new(&settings, &OperatorSettings::default(), 0);
    let mut partition = Partition::new(policy, 0, settings.partitions_of_teams(1), settings.write_limits());
    partition.begin_leadership(tokens, 77, jobs, hosts, vec![instance_type()], 1000);
    partition
}

/// Returns the range of a leader that has this token alone and cannot raise it by itself.
pub(super) fn single_token(token: u64) -> FencingTokenRange {
    FencingTokenRange { first: FencingToken(token), last: FencingToken(token) }
}

/// Returns a new partition without jobs and machines.
pub fn partition() -> Partition {
    partition_with_records(1, vec![], vec![])
}

/// Returns a heartbeat of a machine with these tasks.
pub fn heartbeat(
    host: &str,
    agent_epoch: u64,
    sequence: u64,
    seen_token: u64,
    tasks: Vec<wire::TaskStatus>,
) -> Heartbeat {
    let mut heartbeat: Heartbeat =
        serde_json::from_value(json!({"host": host, "addr": "10.1.0.1:9000", "flavor": "g8",
        "region": "a", "tenure": agent_epoch, "serial": sequence, "fence": seen_token}))
        .unwrap();
    heartbeat.tasks = tasks;
    heartbeat
}

/// Returns the body of a job submission.
pub fn job_submission(id: &str, shape: &str, tasks: u32) -> Vec<u8> {
    json!({"id": id, "jobclass": "chat", "owner": "red", "shape": shape, "urgency": "standard", "shards": tasks,
        "cores": 2.0, "cards": 1.0, "mem_gb": 8.0, "bundle": "i", "size_gb": 1.0, "flavors": null, "region": null,
        "same_place": false, "apart": false, "preemptible": false, "expected_s": 10.0,
        "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null})
    .to_string()
    .into_bytes()
}

/// Submits a job. The returned receiver gets the answer.
pub fn submit_job(partition: &mut Partition, submission: &[u8], now: u64) -> oneshot::Receiver<UserAnswer> {
    let (tx, rx) = oneshot::channel();
    partition.submit(submission, now, now, tx);
    rx
}

/// Completes the next commit, which must be due, at this revision.
pub fn complete_next_commit(partition: &mut Partition, now: u64, revision: u64) {
    assert!(partition.next_commit(now, 32).is_some());
    assert_eq!(partition.apply_commit_outcome(CommitOutcome::Done { revision }), Ok(vec![]));
}

/// Completes all due commits at this revision.
pub(super) fn complete_all_commits(partition: &mut Partition, now: u64, revision: u64) {
    while partition.next_commit(now, 32).is_some() {
        partition.apply_commit_outcome(CommitOutcome::Done { revision }).unwrap();
    }
}

/// Requests the cancellation of a job. The returned receiver gets the answer.
pub(super) fn request_cancellation(
    partition: &mut Partition,
    id: &str,
    now: u64,
    recordable: bool,
) -> oneshot::Receiver<UserAnswer> {
    let (tx, rx) = oneshot::channel();
    partition.cancel(id, now, recordable, tx);
    rx
}

/// Applies the writes of a commit to a store of keys with their values and versions.
pub(super) fn apply_writes(store: &mut BTreeMap<String, (Value, u64)>, writes: &[Write], revision: u64) {
    for write in writes {
        match write {
            Write::Put { key, value, .. } => _ = store.insert(key.clone(), (value.clone(), revision)),
            Write::Delete { key } => _ = store.remove(key),
        }
    }
}

/// Returns a partition with one machine in use and one accepted job, whose tasks are placed on it.
pub fn partition_with_running_job(shape: &str, tasks: u32) -> Partition {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    let _rx = submit_job(&mut partition, &job_submission("run-000001", shape, tasks), 1000);
    complete_next_commit(&mut partition, 1000, 100);
    partition.schedule(1001, 1001);
    assert_eq!(partition.dispatch_queue.hosts().len(), 1);
    partition
}

/// Returns the number of the attempt at this position in the list of the first machine.
pub fn attempt_number(partition: &Partition, position: usize) -> u64 {
    partition.cluster.host(0).unwrap().attempts[position].attempt
}

/// Returns the number of orders to run a task.
pub(super) fn count_runs(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Run { .. })).count()
}

/// Returns the number of orders to reap an ended attempt.
pub(super) fn count_reaps(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Reap { .. })).count()
}

/// Returns the job records and the machine records of a partition.
pub fn stored_records(partition: &mut Partition) -> (Vec<KeyValue>, Vec<KeyValue>) {
    let item = |key, value, version| KeyValue { key, value, version };
    let job = |job: &Job| {
        item(
            job_key(&job.spec.id),
            serde_json::to_value(JobRecord::from_job(job, None, MAX_RECORD_BYTES)).unwrap(),
            100,
        )
    };
    let record = HostRecord { addr: None, instance_type: "g8".into(), zone: "a".into(), spot: false, partition: 0 };
    let host = |(_, host): (HostIndex, &Host)| item(host_key(&host.id), serde_json::to_value(&record).unwrap(), 90);
    (partition.cluster.jobs.iter().map(job).collect(), partition.cluster.each_host().map(host).collect())
}
