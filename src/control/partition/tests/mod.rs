//! Tests of a partition's protocol, and partitions for the tests of other modules.

mod acceptance;
mod borrowing;
mod critical_path;
mod dependencies;
mod failover;
mod failures;
mod fault_combinations;
mod fleet;
mod followed_cancellations;
mod limits;
mod orders;
mod parts;
mod recording;
mod silence;
mod warm_pools;

use super::*;
use crate::model::FencingToken;
use crate::model::{
    Demand, Host, HostIndex, HostRecord, InstanceType, Job, JobPhase, JobRecord, Place, TaskAttempt,
    UNREACHABLE_AFTER_MISSES,
};
use crate::scheduling;
use crate::settings::{Operator, tests::settings};
use crate::wire::tests::reported;
use crate::wire::{self, Heartbeat, Item, Order, Write};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

pub(super) const LEASE: u64 = 10_000;

/// Bytes of a value in these tests.
pub const RECORD_BYTES: usize = 30 * 1024;

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

/// A partition whose new leader has read these records.
pub fn partition_of(fencing_token: u64, jobs: Vec<Item>, hosts: Vec<Item>) -> Partition {
    let s = settings();
    let policy = Policy::new(&s, &Operator::default(), 0);
    let mut partition = Partition::new(policy, 0, s.partitions_of_teams(1), s.write_limits());
    partition.begin(FencingToken(fencing_token), 77, jobs, hosts, vec![instance_type()], 1000);
    partition
}

/// A new partition, without jobs and machines.
pub fn partition() -> Partition {
    partition_of(1, vec![], vec![])
}

/// A report of a machine with these tasks.
pub fn heartbeat(
    host: &str,
    agent_epoch: u64,
    sequence: u64,
    seen_token: u64,
    tasks: Vec<wire::TaskStatus>,
) -> Heartbeat {
    let mut r: Heartbeat = serde_json::from_value(json!({"host": host, "addr": "10.1.0.1:9000", "flavor": "g8",
        "region": "a", "tenure": agent_epoch, "serial": sequence, "fence": seen_token}))
    .unwrap();
    r.tasks = tasks;
    r
}

/// A submission of a job.
pub fn body(id: &str, shape: &str, tasks: u32) -> Vec<u8> {
    json!({"id": id, "jobclass": "chat", "owner": "red", "shape": shape, "urgency": "standard", "shards": tasks,
        "cores": 2.0, "cards": 1.0, "mem_gb": 8.0, "bundle": "i", "size_gb": 1.0, "flavors": null, "region": null,
        "same_place": false, "apart": false, "preemptible": false, "expected_s": 10.0,
        "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null})
    .to_string()
    .into_bytes()
}

/// Submits a job; the receiver gets the answer.
pub fn submit(partition: &mut Partition, b: &[u8], now: u64) -> oneshot::Receiver<UserAnswer> {
    let (tx, rx) = oneshot::channel();
    partition.submit(b, now, now, tx);
    rx
}

/// Takes the next commit, which must be due, as made at this revision.
pub fn commit(partition: &mut Partition, now: u64, revision: u64) {
    assert!(partition.next_commit(now, 32).is_some());
    assert_eq!(partition.committed(CommitOutcome::Done { revision }), Ok(vec![]));
}

/// Takes all commits that are due as made at this revision.
pub(super) fn commit_all_at(partition: &mut Partition, now: u64, revision: u64) {
    while partition.next_commit(now, 32).is_some() {
        partition.committed(CommitOutcome::Done { revision }).unwrap();
    }
}

/// Asks for the cancellation of a job; the receiver gets the answer.
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

/// Carries out the writes of a commit: keys with their values and versions.
pub(super) fn apply_writes(store: &mut BTreeMap<String, (Value, u64)>, writes: &[Write], revision: u64) {
    for write in writes {
        match write {
            Write::Put { key, value, .. } => _ = store.insert(key.clone(), (value.clone(), revision)),
            Write::Delete { key } => _ = store.remove(key),
        }
    }
}

/// A partition with one machine in use and one accepted job, placed.
pub fn running(shape: &str, tasks: u32) -> Partition {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    let _rx = submit(&mut partition, &body("run-000001", shape, tasks), 1000);
    commit(&mut partition, 1000, 100);
    partition.schedule(1001, 1001);
    assert_eq!(partition.dispatch_queue.hosts().len(), 1);
    partition
}

/// Number of the `n`-th attempt on the first machine.
pub fn attempt(partition: &Partition, n: usize) -> u64 {
    partition.cluster.host(0).unwrap().attempts[n].attempt
}

pub(super) fn runs(orders: &[Order]) -> usize {
    orders.iter().filter(|o| matches!(o, Order::Run { .. })).count()
}

pub(super) fn reaps(orders: &[Order]) -> usize {
    orders.iter().filter(|o| matches!(o, Order::Reap { .. })).count()
}

/// The records of the jobs and machines of a partition.
pub fn items(partition: &mut Partition) -> (Vec<Item>, Vec<Item>) {
    let item = |key, value, version| Item { key, value, version };
    let job =
        |j: &Job| item(job_key(&j.spec.id), serde_json::to_value(JobRecord::of(j, None, RECORD_BYTES)).unwrap(), 100);
    let record = HostRecord { addr: None, instance_type: "g8".into(), zone: "a".into(), spot: false, partition: 0 };
    let host = |(_, h): (HostIndex, &Host)| item(host_key(&h.id), serde_json::to_value(&record).unwrap(), 90);
    (partition.cluster.jobs.iter().map(job).collect(), partition.cluster.each_host().map(host).collect())
}
