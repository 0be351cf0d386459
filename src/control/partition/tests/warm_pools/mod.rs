//! Tests of warm pools across claims, commits, orders, heartbeats and failovers, with scripted workers that load models
//! and a scripted store. Several machines fail at a time.

mod claims;
mod failovers;
mod machines;

use super::*;
use crate::model::FencingTokenRange;
use crate::settings::{OperatorSettings, Settings, tests::settings};
use crate::wire::{KeyValue, Order, SlotStatus};
use badgerdrift_warm_pools::{BillRecord, PoolSettings, RecordKey, SlotState};
use std::collections::BTreeMap;

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 500;
/// Time of day at the start of a test, in milliseconds.
const INITIAL_WALL_MS: u64 = 1_796_169_600_000;
/// Number of replicas that the pool keeps available.
const POOL_SIZE: usize = 2;

/// Handling of commits by the scripted store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CommitBehaviour {
    /// The commit is applied and answered.
    Committed,
    /// The commit is applied, but the answer is lost.
    CommittedUnanswered,
    /// The commit is not answered, and applied later.
    Late,
    /// The commit is refused, as in an outage.
    Refused,
}

/// Scripted worker that keeps models loaded.
#[derive(Debug, Clone, Default)]
struct Worker {
    agent_epoch: u64,
    sequence: u64,
    seen_token: u64,
    /// Slots with loaded models, and whether they are ready.
    slots: BTreeMap<u64, bool>,
    /// Running tasks with their attempt numbers and the slot that each took over.
    tasks: BTreeMap<String, (u64, Option<u64>)>,
    /// Stopped tasks that are not reaped yet, with their attempt numbers.
    ended: BTreeMap<String, u64>,
    silent: bool,
}

impl Worker {
    fn carry_out(&mut self, orders: &[Order]) {
        for order in orders {
            match order {
                Order::Load { slot, .. } => _ = self.slots.entry(*slot).or_insert(false),
                Order::Unload { slot } => _ = self.slots.remove(slot),
                Order::Attach { task, attempt, slot } if !self.tasks.contains_key(task) => {
                    let taken = self.slots.remove(slot).filter(|ready| *ready).map(|_| *slot);
                    self.tasks.insert(task.clone(), (*attempt, taken));
                }
                Order::Run { task, attempt } if !self.tasks.contains_key(task) => {
                    self.tasks.insert(task.clone(), (*attempt, None));
                }
                Order::Stop { task, .. } => {
                    if let Some((attempt, _)) = self.tasks.remove(task) {
                        self.ended.insert(task.clone(), attempt);
                    }
                }
                Order::Reap { task, .. } => _ = self.ended.remove(task),
                Order::Attach { .. } | Order::Run { .. } => {}
            }
        }
    }

    fn heartbeat(&mut self, host: &str) -> Heartbeat {
        self.sequence += 1;
        let running = self.tasks.iter().map(|(task, (attempt, _))| task_status(task, *attempt, "running", None));
        let ended = self.ended.iter().map(|(task, attempt)| task_status(task, *attempt, "ended", Some("halted")));
        let mut heartbeat =
            heartbeat(host, self.agent_epoch, self.sequence, self.seen_token, running.chain(ended).collect());
        heartbeat.slots =
            Some(self.slots.iter().map(|(slot, ready)| SlotStatus { slot: *slot, ready: *ready }).collect());
        heartbeat
    }
}

/// Partition with a pool, its store and its workers.
struct Harness {
    partition: Partition,
    settings: Settings,
    pools: PoolSettings,
    store: BTreeMap<String, (serde_json::Value, u64)>,
    revision: u64,
    commits: CommitBehaviour,
    late: Vec<Commit>,
    workers: BTreeMap<String, Worker>,
    now: u64,
    /// Number of leaders until now; the version of the partition's key.
    leaders: u64,
    loads: usize,
    jobs: u32,
}

fn pool_settings(keep: &str) -> PoolSettings {
    serde_json::from_value(json!({
        "model": {"notes": {"version": 3, "image": "notes-3", "size_gb": 40.0, "names": ["notes"]}},
        "pool": {"counter": {"model": "notes", "payer": "red", "keep": keep, "count": POOL_SIZE,
                             "cores": 2.0, "cards": 1.0, "mem_gb": 8.0}}}))
    .unwrap()
}

impl Harness {
    /// Returns a harness with `workers` workers that load models, and a filled pool.
    fn new(workers: usize) -> Harness {
        let mut harness = Harness::cold(workers, "loaded");
        harness.rounds(8);
        assert_eq!(harness.idle_slots(), POOL_SIZE);
        harness
    }

    /// Returns a harness with `workers` workers that load models, and an empty pool that keeps `keep`.
    fn cold(workers: usize, keep: &str) -> Harness {
        let mut settings = settings();
        for team in &mut settings.params.teams {
            (team.gpus, team.gpus_max) = (8.0, 12.0);
        }
        let mut harness = Harness {
            partition: partition(),
            settings,
            pools: pool_settings(keep),
            store: BTreeMap::new(),
            revision: 100,
            commits: CommitBehaviour::Committed,
            late: Vec::new(),
            workers: BTreeMap::new(),
            now: 1000,
            leaders: 0,
            loads: 0,
            jobs: 0,
        };
        for number in 0..workers {
            harness.workers.insert(format!("h{number}"), Worker { agent_epoch: 1, ..Worker::default() });
        }
        harness.fail_over();
        harness
    }

    /// Lets a new leader begin with the stored records.
    fn fail_over(&mut self) {
        self.leaders += 1;
        self.late.clear();
        let items = |prefix: &str| -> Vec<KeyValue> {
            let under = self.store.iter().filter(|(key, _)| key.starts_with(prefix));
            under
                .map(|(key, (value, version))| KeyValue { key: key.clone(), value: value.clone(), version: *version })
                .collect()
        };
        let policy = Policy::new(&self.settings, &OperatorSettings::default(), 0);
        let teams = self.settings.partitions_of_teams(1);
        let mut partition = Partition::new(policy, 0, teams, self.settings.write_limits());
        partition.enable_pools(self.pools.clone(), self.now, INITIAL_WALL_MS + self.now);
        partition.begin_leadership(
            FencingTokenRange::following(self.partition.fencing_tokens().last),
            self.leaders,
            items("job/"),
            items("host/"),
            vec![instance_type()],
            self.now,
        );
        partition.restore_pools(items("pool/"), self.now);
        self.partition = partition;
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Runs heartbeats, maintenance, a scheduling cycle, a commit and the direct commands.
    fn round(&mut self) {
        self.now += ROUND_MS;
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in &ids {
            self.heartbeat(id);
        }
        self.partition.maintain_pools(1000, self.now, INITIAL_WALL_MS + self.now);
        self.partition.schedule(self.now, self.now);
        self.commit();
        self.read_indeterminate_keys();
        self.dispatch();
    }

    fn heartbeat(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).unwrap();
        if worker.silent {
            return;
        }
        worker.seen_token = worker.seen_token.max(self.partition.fencing_token().0);
        let heartbeat = worker.heartbeat(id);
        let orders = self.partition.heartbeat(&heartbeat, StatusSource::Heartbeat, self.now);
        let reply_token = self.partition.reply_token(&heartbeat).0;
        self.loads += orders.iter().filter(|order| matches!(order, Order::Load { .. })).count();
        let worker = self.workers.get_mut(id).unwrap();
        worker.seen_token = worker.seen_token.max(reply_token);
        // Slots that are loading now are ready in the next heartbeat.
        worker.slots.values_mut().for_each(|ready| *ready = true);
        worker.carry_out(&orders);
    }

    fn dispatch(&mut self) {
        for host_index in self.partition.take_dispatch_queue() {
            let Some(command) = self.partition.take_direct_command(host_index, self.now, false) else { continue };
            let worker = self.workers.get_mut(&command.id).unwrap();
            if worker.silent {
                self.partition.apply_direct_command_outcome(&command, DirectCommandOutcome::NotSent, self.now);
                continue;
            }
            worker.seen_token = worker.seen_token.max(command.fencing_token.0);
            worker.carry_out(&command.orders);
            let heartbeat = worker.heartbeat(&command.id);
            self.partition.apply_direct_command_outcome(
                &command,
                DirectCommandOutcome::Answered(Box::new(heartbeat)),
                self.now,
            );
        }
    }

    fn commit(&mut self) {
        // As in the leader, no slot is offered while the state service is unavailable.
        self.partition.conditions.reservations_recordable = self.commits != CommitBehaviour::Refused;
        let Some(commit) = self.partition.next_commit(self.now, 32) else { return };
        let result = match self.commits {
            CommitBehaviour::Committed => self.apply_commit(&commit),
            CommitBehaviour::CommittedUnanswered => {
                self.apply_commit(&commit);
                CommitOutcome::Indeterminate
            }
            CommitBehaviour::Late => {
                self.late.push(commit);
                CommitOutcome::Indeterminate
            }
            CommitBehaviour::Refused => CommitOutcome::Refused,
        };
        let keys_to_read = self.partition.apply_commit_outcome(result).unwrap();
        for key in keys_to_read {
            if let Some((value, version)) = self.store.get(&key).cloned() {
                self.partition.apply_reread_record(KeyValue { key, value, version });
            }
        }
    }

    /// Applies a commit if its conditions hold. The condition on the partition's own key counts as fulfilled.
    fn apply_commit(&mut self, commit: &Commit) -> CommitOutcome {
        let version = |key: &str| self.store.get(key).map_or(0, |item| item.1);
        let failed: Vec<String> = commit
            .conditions
            .iter()
            .filter(|condition| !condition.key.starts_with("part/") && version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict { failed };
        }
        self.revision += 1;
        apply_writes(&mut self.store, &commit.writes, self.revision);
        CommitOutcome::Done { revision: self.revision }
    }

    fn read_indeterminate_keys(&mut self) {
        let keys = self.partition.pool_keys_to_read();
        if keys.is_empty() || self.commits == CommitBehaviour::Refused {
            return;
        }
        let item = |key: &String| {
            let found = self.store.get(key).cloned();
            (key.clone(), found.map(|(value, version)| KeyValue { key: key.clone(), value, version }))
        };
        let found = keys.iter().map(item).collect();
        self.partition.apply_pool_records(found);
    }

    /// Submits a service of one replica and completes its commits.
    fn submit(&mut self, team: &str, image: &str) -> String {
        self.jobs += 1;
        let id = format!("run-{:06}", self.jobs);
        let mut submission: serde_json::Value = serde_json::from_slice(&job_submission(&id, "service", 1)).unwrap();
        (submission["owner"], submission["bundle"]) = (json!(team), json!(image));
        let _rx = submit_job(&mut self.partition, submission.to_string().as_bytes(), self.now);
        let commits = std::mem::replace(&mut self.commits, CommitBehaviour::Committed);
        while self.partition.next_commit(self.now, 1).is_some_and(|commit| {
            let result = self.apply_commit(&commit);
            self.partition.apply_commit_outcome(result).unwrap();
            true
        }) {}
        self.commits = commits;
        id
    }

    /// Runs a scheduling cycle only. Its decisions are not recorded yet.
    fn schedule(&mut self) {
        self.partition.schedule(self.now, self.now);
    }

    fn count(&self, holds: impl Fn(&SlotState) -> bool) -> usize {
        self.partition.pool_slots().filter(|slot| holds(&slot.state)).count()
    }

    fn idle_slots(&self) -> usize {
        self.count(|state| *state == SlotState::Idle)
    }

    fn claimed_slots(&self) -> usize {
        self.count(|state| matches!(state, SlotState::Claimed(_)))
    }

    /// Returns the slot that a job's task took over, or `None` if the task does not run or uses no slot.
    fn attached_slot(&self, job: &str) -> Option<u64> {
        self.workers.values().find_map(|worker| worker.tasks.get(&format!("{job}/0")))?.1
    }

    /// Returns the number of workers that run the job's task.
    fn running_attempts(&self, job: &str) -> usize {
        self.workers.values().filter(|worker| worker.tasks.contains_key(&format!("{job}/0"))).count()
    }

    /// Returns the idle and the claimed time that a team is billed for, in milliseconds.
    fn billed_ms(&self, team: &str) -> (u64, u64) {
        let bills = self.store.iter().filter_map(|(key, (value, _))| match RecordKey::parse(key) {
            Some(RecordKey::Bill(_, payer)) if payer == team => {
                Some(serde_json::from_value::<BillRecord>(value.clone()).unwrap())
            }
            _ => None,
        });
        let totals = bills.flat_map(|bill| bill.pools.into_values());
        totals.fold((0, 0), |sum, total| (sum.0 + total.idle_ms, sum.1 + total.claimed_ms))
    }
}
