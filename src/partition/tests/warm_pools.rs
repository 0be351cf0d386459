//! Warm pools between claims, commits, orders, reports and takeovers, with scripted workers that
//! load models and a scripted store. Several machines fail at a time.

use super::*;
use crate::config::{Operator, Settings, tests::settings};
use crate::wire::{Item, Order, ReportedSlot};
use badgerdrift_warm_pools::{BillRecord, PoolSettings, RecordKey, SlotState};
use std::collections::BTreeMap;

/// Time between two rounds.
const ROUND_MS: u64 = 500;
/// A wall time, to begin with.
const MORNING_MS: u64 = 1_796_169_600_000;
const POOL_SIZE: usize = 2;

/// What becomes of commits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Commits {
    Made,
    /// Made, and nobody hears of it.
    MadeWithoutAnswer,
    /// Not made, and nobody hears of it; they come later.
    Late,
    /// Refused: an outage.
    Refused,
}

/// A worker that keeps models loaded.
#[derive(Debug, Clone, Default)]
struct Worker {
    tenure: u64,
    serial: u64,
    fence: u64,
    /// Loaded models, and whether they are ready.
    slots: BTreeMap<u64, bool>,
    /// Running tasks: their attempts, and the slot that each took over.
    tasks: BTreeMap<String, (u64, Option<u64>)>,
    /// Stopped tasks that are to be reaped.
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

    fn report(&mut self, host: &str) -> Report {
        self.serial += 1;
        let running = self.tasks.iter().map(|(task, (attempt, _))| reported(task, *attempt, "running", None));
        let ended = self.ended.iter().map(|(task, attempt)| reported(task, *attempt, "ended", Some("halted")));
        let mut r = report(host, self.tenure, self.serial, self.fence, running.chain(ended).collect());
        r.slots = Some(self.slots.iter().map(|(slot, ready)| ReportedSlot { slot: *slot, ready: *ready }).collect());
        r
    }
}

/// A partition with a pool, its store and workers.
struct Rig {
    partition: Partition,
    settings: Settings,
    pools: PoolSettings,
    store: BTreeMap<String, (serde_json::Value, u64)>,
    revision: u64,
    commits: Commits,
    late: Vec<Commit>,
    workers: BTreeMap<String, Worker>,
    now: u64,
    term: u64,
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

impl Rig {
    /// With so many workers that keep models loaded, and a warm pool.
    fn new(workers: usize) -> Rig {
        let mut rig = Rig::cold(workers, "loaded");
        rig.rounds(8);
        assert_eq!(rig.idle(), POOL_SIZE);
        rig
    }

    fn cold(workers: usize, keep: &str) -> Rig {
        let mut s = settings();
        for team in &mut s.params.teams {
            (team.gpus, team.gpus_max) = (8.0, 12.0);
        }
        let mut rig = Rig {
            partition: partition(),
            settings: s,
            pools: pool_settings(keep),
            store: BTreeMap::new(),
            revision: 100,
            commits: Commits::Made,
            late: Vec::new(),
            workers: BTreeMap::new(),
            now: 1000,
            term: 0,
            loads: 0,
            jobs: 0,
        };
        for n in 0..workers {
            rig.workers.insert(format!("h{n}"), Worker { tenure: 1, ..Worker::default() });
        }
        rig.take_over();
        rig
    }

    /// Another owner begins with what is stored.
    fn take_over(&mut self) {
        self.term += 1;
        self.late.clear();
        let items = |prefix: &str| -> Vec<Item> {
            let under = self.store.iter().filter(|(key, _)| key.starts_with(prefix));
            under
                .map(|(key, (value, version))| Item { key: key.clone(), value: value.clone(), version: *version })
                .collect()
        };
        let policy = Policy::new(&self.settings, &Operator::default(), 0);
        let teams = self.settings.partitions_of_teams(1);
        let mut p = Partition::new(policy, 0, teams, self.settings.write_limits());
        p.enable_pools(self.pools.clone(), self.now, MORNING_MS + self.now);
        p.begin(self.term, self.term, items("job/"), items("host/"), vec![flavor()], self.now);
        p.begin_pools(items("pool/"), self.now);
        self.partition = p;
    }

    fn rounds(&mut self, n: usize) {
        (0..n).for_each(|_| self.round());
    }

    /// Reports, a plan, a pass, a commit and the orders.
    fn round(&mut self) {
        self.now += ROUND_MS;
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in &ids {
            self.report(id);
        }
        self.partition.maintain_pools(1000, self.now, MORNING_MS + self.now);
        self.partition.pass(self.now, self.now);
        self.commit();
        self.read_unclear();
        self.dispatch();
    }

    fn report(&mut self, id: &str) {
        let worker = self.workers.get_mut(id).unwrap();
        if worker.silent {
            return;
        }
        worker.fence = worker.fence.max(self.term);
        let r = worker.report(id);
        let orders = self.partition.report(&r, ReportSource::Heartbeat, self.now);
        self.loads += orders.iter().filter(|order| matches!(order, Order::Load { .. })).count();
        let worker = self.workers.get_mut(id).unwrap();
        // What is loading by now is ready with the next report.
        worker.slots.values_mut().for_each(|ready| *ready = true);
        worker.carry_out(&orders);
    }

    fn dispatch(&mut self) {
        for host_index in std::mem::take(&mut self.partition.pending_dispatch) {
            let Some(d) = self.partition.direct(host_index, self.now, false) else { continue };
            let worker = self.workers.get_mut(&d.id).unwrap();
            if worker.silent {
                self.partition.direct_done(&d, DirectResult::NotSent, self.now);
                continue;
            }
            worker.carry_out(&d.orders);
            let r = worker.report(&d.id);
            self.partition.direct_done(&d, DirectResult::Answered(Box::new(r)), self.now);
        }
    }

    fn commit(&mut self) {
        // As the owner does: without the state service no claim is offered.
        self.partition.claims_recordable = self.commits != Commits::Refused;
        let Some(c) = self.partition.next_commit(self.now, 32) else { return };
        let result = match self.commits {
            Commits::Made => self.make(&c),
            Commits::MadeWithoutAnswer => {
                self.make(&c);
                CommitResult::Unclear
            }
            Commits::Late => {
                self.late.push(c);
                CommitResult::Unclear
            }
            Commits::Refused => CommitResult::Refused,
        };
        let again = self.partition.committed(result).unwrap();
        for key in again {
            if let Some((value, version)) = self.store.get(&key).cloned() {
                self.partition.reread(Item { key, value, version });
            }
        }
    }

    /// Makes a commit if its conditions hold; the partition's own key always does.
    fn make(&mut self, c: &Commit) -> CommitResult {
        let version = |key: &str| self.store.get(key).map_or(0, |item| item.1);
        let failed: Vec<String> = c
            .guards
            .iter()
            .map(|guard| (guard["path"].as_str().unwrap(), guard["stamp"].as_u64().unwrap()))
            .filter(|(key, stamp)| !key.starts_with("part/") && version(key) != *stamp)
            .map(|(key, _)| key.to_string())
            .collect();
        if !failed.is_empty() {
            return CommitResult::Conflict { failed };
        }
        self.revision += 1;
        for change in &c.apply {
            if let Some(key) = change["put"].as_str() {
                self.store.insert(key.into(), (change["data"].clone(), self.revision));
            } else if let Some(key) = change["delete"].as_str() {
                self.store.remove(key);
            }
        }
        CommitResult::Done { revision: self.revision }
    }

    fn read_unclear(&mut self) {
        let keys = self.partition.pool_keys_to_read();
        if keys.is_empty() || self.commits == Commits::Refused {
            return;
        }
        let item = |key: &String| {
            let found = self.store.get(key).cloned();
            (key.clone(), found.map(|(value, version)| Item { key: key.clone(), value, version }))
        };
        let found = keys.iter().map(item).collect();
        self.partition.pool_keys_read(found);
    }

    /// Submits a service of one replica and records it.
    fn submit(&mut self, team: &str, image: &str) -> String {
        self.jobs += 1;
        let id = format!("run-{:06}", self.jobs);
        let mut submission: serde_json::Value = serde_json::from_slice(&body(&id, "service", 1)).unwrap();
        (submission["owner"], submission["bundle"]) = (json!(team), json!(image));
        let _rx = submit(&mut self.partition, submission.to_string().as_bytes(), self.now);
        let commits = std::mem::replace(&mut self.commits, Commits::Made);
        while self.partition.next_commit(self.now, 1).is_some_and(|c| {
            let result = self.make(&c);
            self.partition.committed(result).unwrap();
            true
        }) {}
        self.commits = commits;
        id
    }

    /// A pass and nothing else: what it decided is not recorded yet.
    fn pass(&mut self) {
        self.partition.pass(self.now, self.now);
    }

    fn count(&self, holds: impl Fn(&SlotState) -> bool) -> usize {
        self.partition.pool_slots().filter(|slot| holds(&slot.state)).count()
    }

    fn idle(&self) -> usize {
        self.count(|state| *state == SlotState::Idle)
    }

    fn claimed(&self) -> usize {
        self.count(|state| matches!(state, SlotState::Claimed(_)))
    }

    /// The slot that a job's task runs with, on whichever worker; none if it runs without.
    fn attached(&self, job: &str) -> Option<u64> {
        self.workers.values().find_map(|worker| worker.tasks.get(&format!("{job}/0")))?.1
    }

    fn runs(&self, job: &str) -> usize {
        self.workers.values().filter(|worker| worker.tasks.contains_key(&format!("{job}/0"))).count()
    }

    /// Milliseconds that a team is billed: idle and claimed.
    fn billed(&self, team: &str) -> (u64, u64) {
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

#[test]
fn a_pool_fills_is_claimed_and_is_filled_again() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(1);
    assert!(rig.attached(&job).is_some(), "it runs with a loaded model at once");
    rig.rounds(8);
    assert_eq!((rig.idle(), rig.claimed(), rig.runs(&job)), (POOL_SIZE, 1, 1));
}

#[test]
fn without_pools_no_record_is_written_and_no_slot_is_ordered() {
    let mut rig = Rig::cold(3, "loaded");
    rig.pools.pools.clear();
    rig.take_over();
    let job = rig.submit("blue", "notes");
    rig.rounds(10);
    assert_eq!((rig.loads, rig.runs(&job)), (0, 1));
    assert!(!rig.store.keys().any(|key| key.starts_with("pool/")));
}

// The claim is recorded before the order: a successor must not give the replica away again.
#[test]
fn nothing_is_ordered_before_the_claim_is_recorded() {
    let mut rig = Rig::new(2);
    let job = rig.submit("blue", "notes");
    rig.pass();
    rig.dispatch();
    rig.now += ROUND_MS;
    for id in ["h0", "h1"] {
        rig.report(id);
    }
    rig.dispatch();
    assert_eq!((rig.runs(&job), rig.claimed()), (0, 0));
    rig.round();
    assert_eq!((rig.runs(&job), rig.claimed()), (1, 1));
}

#[test]
fn two_teams_that_want_the_last_replica_get_it_in_the_order_of_the_pass_and_the_other_a_place() {
    let mut rig = Rig::new(3);
    let first = rig.submit("red", "notes");
    rig.rounds(1);
    assert!(rig.attached(&first).is_some());
    // One is left, and two want it; the later one is more urgent.
    let ordinary = rig.submit("red", "notes");
    let urgent = rig.submit("blue", "notes");
    let index = rig.partition.cluster.job_index[&urgent];
    rig.partition.cluster.jobs[index].urgency = crate::model::Urgency::High;
    rig.rounds(1);
    assert!(rig.attached(&urgent).is_some());
    assert_eq!((rig.runs(&ordinary), rig.attached(&ordinary)), (1, None), "placed as usual, at once");
}

// A team at its limit gets no more by a pool, idle or not.
#[test]
fn a_claim_counts_against_the_limit_of_its_team() {
    let mut rig = Rig::new(3);
    rig.partition.policy.teams.get_mut("blue").unwrap().limit.gpus = 1.0;
    let jobs = [rig.submit("blue", "notes"), rig.submit("blue", "notes")];
    rig.rounds(6);
    assert_eq!(jobs.iter().map(|job| rig.runs(job)).sum::<usize>(), 1);
    assert_eq!(rig.idle(), POOL_SIZE);
}

#[test]
fn a_claim_whose_commit_has_no_answer_is_ordered_once_whatever_became_of_it() {
    for commits in [Commits::MadeWithoutAnswer, Commits::Late] {
        let mut rig = Rig::new(3);
        let job = rig.submit("blue", "notes");
        rig.commits = commits;
        rig.round();
        assert_eq!(rig.runs(&job), usize::from(commits == Commits::MadeWithoutAnswer && rig.claimed() == 1));
        rig.commits = Commits::Made;
        // The late one comes before or with the next.
        for late in std::mem::take(&mut rig.late) {
            rig.make(&late);
        }
        rig.rounds(10);
        assert_eq!((rig.runs(&job), rig.idle()), (1, POOL_SIZE), "{commits:?}");
        let told: Vec<u64> = rig.workers.values().flat_map(|worker| worker.slots.keys().copied()).collect();
        assert_eq!(told.len(), POOL_SIZE, "no slot is left behind");
    }
}

// An outage for longer than a lease: what waits is placed as usual, and pools go on after it.
#[test]
fn without_the_state_service_jobs_are_placed_as_usual() {
    let mut rig = Rig::new(3);
    let claimed_before = rig.submit("blue", "notes");
    rig.pass();
    rig.commits = Commits::Refused;
    rig.partition.claims_recordable = false;
    let job = rig.submit("red", "notes");
    rig.rounds(1);
    assert_eq!(rig.runs(&job), 1, "it does not wait for a claim that can't be recorded");
    rig.rounds(2 * LEASE as usize / ROUND_MS as usize);
    assert_eq!((rig.runs(&claimed_before), rig.runs(&job)), (1, 1));
    assert_eq!((rig.attached(&claimed_before), rig.attached(&job)), (None, None));
    rig.commits = Commits::Made;
    rig.rounds(8);
    assert_eq!(rig.idle(), POOL_SIZE);
}

#[test]
fn a_successor_neither_gives_a_claimed_replica_away_nor_loses_it() {
    // The owner ends before its claim is recorded, between the record and the order, or after it.
    for (recorded, ordered) in [(false, false), (true, false), (true, true)] {
        let mut rig = Rig::new(3);
        let job = rig.submit("blue", "notes");
        rig.pass();
        if recorded {
            rig.commit();
        }
        if ordered {
            rig.dispatch();
        }
        let before = rig.attached(&job);
        rig.take_over();
        let other = rig.submit("red", "notes");
        rig.rounds(10);
        assert_eq!((rig.runs(&job), rig.runs(&other)), (1, 1));
        let (own, others) = (rig.attached(&job), rig.attached(&other));
        assert!(own.is_some() && others.is_some() && own != others, "{own:?} and {others:?}");
        assert!(!ordered || own == before);
        assert_eq!((rig.claimed(), rig.idle()), (2, POOL_SIZE), "recorded {recorded}, ordered {ordered}");
    }
}

// A paused owner wakes and goes on: its token is refused by the workers, its writes by the guard.
#[test]
fn an_owner_that_was_replaced_orders_nothing() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.pass();
    let host = *rig.partition.pending_dispatch.first().unwrap();
    rig.commit();
    let late = rig.partition.direct(host, rig.now, false).unwrap();
    let old_term = late.term;
    rig.take_over();
    rig.rounds(4);
    assert!(old_term < rig.workers[&late.id].fence, "the worker refuses the late order");
    assert_eq!(rig.runs(&job), 1);
}

#[test]
fn half_of_the_pools_machines_are_lost_at_once() {
    let mut rig = Rig::new(4);
    let job = rig.submit("blue", "notes");
    rig.rounds(4);
    let holds = |worker: &Worker| !worker.slots.is_empty() || !worker.tasks.is_empty();
    let lost: Vec<String> = rig.workers.iter().filter(|(_, w)| holds(w)).map(|(id, _)| id.clone()).take(2).collect();
    assert_eq!(lost.len(), 1.max(lost.len()));
    for id in &lost {
        rig.workers.remove(id);
        rig.partition.host_gone(id);
    }
    rig.rounds(10);
    assert_eq!((rig.idle(), rig.runs(&job)), (POOL_SIZE, 1));
    let on_lost = rig.partition.pool_slots().filter(|slot| lost.contains(&slot.host)).count();
    assert_eq!(on_lost, 0);
}

// The worker's session starts anew: nothing is warm then, and nobody is given it.
#[test]
fn a_worker_that_lost_its_lease_keeps_nothing_warm() {
    let mut rig = Rig::new(2);
    for worker in rig.workers.values_mut() {
        *worker = Worker { tenure: worker.tenure + 1, fence: worker.fence, ..Worker::default() };
    }
    let job = rig.submit("blue", "notes");
    rig.now += ROUND_MS;
    ["h0", "h1"].iter().for_each(|id| rig.report(id));
    assert_eq!(rig.idle(), 0);
    rig.rounds(10);
    assert_eq!((rig.idle(), rig.runs(&job)), (POOL_SIZE, 1));
}

#[test]
fn slots_leave_machines_that_the_cloud_takes_back() {
    let mut rig = Rig::new(4);
    let doomed = rig.partition.pool_slots().next().unwrap().host.clone();
    let index = rig.partition.cluster.host_index[&doomed];
    rig.partition.cluster.host_mut(index).unwrap().notice = true;
    rig.rounds(6);
    assert_eq!(rig.idle(), POOL_SIZE);
    assert!(rig.partition.pool_slots().all(|slot| slot.host != doomed));
    assert!(rig.workers[&doomed].slots.is_empty(), "it was told to unload");
}

#[test]
fn a_task_that_ends_ends_its_claim_and_its_charges() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(2);
    let (tx, _rx) = oneshot::channel();
    rig.partition.cancel(&job, rig.now, true, tx);
    rig.rounds(6);
    assert_eq!((rig.claimed(), rig.runs(&job), rig.idle()), (0, 0, POOL_SIZE));
    let (idle, claimed) = rig.billed("blue");
    assert!(idle == 0 && claimed > 0 && claimed <= 8 * ROUND_MS, "{claimed} ms");
    assert!(rig.billed("red").0 > 0 && rig.billed("red").1 == 0);
}

// A name may be given to another model while replicas sit in the pool.
#[test]
fn a_new_version_replaces_the_old_one_without_a_moment_below_the_pools_size() {
    let mut rig = Rig::new(4);
    let model = rig.pools.models.get_mut("notes").unwrap();
    (model.version, model.image) = (4, "notes-4".into());
    rig.take_over();
    let before: Vec<u64> = rig.partition.pool_slots().map(|slot| slot.id).collect();
    let job = rig.submit("blue", "notes");
    for _ in 0..12 {
        rig.round();
        assert!(rig.workers.values().flat_map(|w| w.slots.values()).filter(|ready| **ready).count() >= POOL_SIZE - 1);
    }
    assert_eq!((rig.idle(), rig.runs(&job)), (POOL_SIZE, 1));
    assert!(rig.partition.pool_slots().all(|slot| slot.identity.version == 4));
    assert!(rig.attached(&job).is_none_or(|slot| !before.contains(&slot)), "not the weights of version 3");
}

#[test]
fn a_file_that_asks_for_less_drains_what_is_idle_and_not_what_is_claimed() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(6);
    rig.pools.pools.get_mut("counter").unwrap().count = 0;
    rig.take_over();
    rig.rounds(6);
    assert_eq!((rig.idle(), rig.claimed(), rig.runs(&job)), (0, 1, 1));
    assert!(rig.workers.values().all(|worker| worker.slots.is_empty()));
}

// What no record knows, a late order to load among it, is unloaded.
#[test]
fn a_slot_that_no_record_knows_is_unloaded() {
    let mut rig = Rig::new(2);
    rig.workers.get_mut("h0").unwrap().slots.insert(7, true);
    rig.rounds(2);
    assert!(!rig.workers["h0"].slots.contains_key(&7));
    assert_eq!(rig.idle(), POOL_SIZE);
}

// Idle room beyond the payer's guarantee gives way to work within another team's.
#[test]
fn no_guarantee_waits_for_another_teams_pool() {
    for (guaranteed, left) in [(0.0, 0), (8.0, POOL_SIZE)] {
        let mut rig = Rig::new(1);
        let policy = &mut rig.partition.policy;
        policy.teams.get_mut("red").unwrap().guarantee.gpus = guaranteed;
        // The machine has eight accelerators, two of which the pool holds.
        let jobs: Vec<String> = (0..8).map(|_| rig.submit("blue", "other")).collect();
        rig.rounds(4);
        let running = jobs.iter().map(|job| rig.runs(job)).sum::<usize>();
        assert_eq!((running, rig.idle()), (8 - left, left), "red is guaranteed {guaranteed}");
    }
}

// An ordinary worker knows nothing of slots: room is held beside its image.
#[test]
fn room_is_held_beside_an_image_on_ordinary_workers() {
    let mut rig = Rig::cold(3, "image");
    rig.rounds(4);
    // No machine has the image: the room is held all the same, and claimed under the image's name.
    let held = rig.partition.cluster.held_rooms.len();
    assert_eq!((held, rig.loads), (POOL_SIZE, 0));
    let hosts: Vec<String> = rig.partition.pool_slots().map(|slot| slot.host.clone()).collect();
    let job = rig.submit("blue", "notes-3");
    rig.rounds(1);
    assert_eq!((rig.runs(&job), rig.claimed()), (1, 1));
    let claimant = rig.workers.iter().find(|(_, worker)| !worker.tasks.is_empty()).unwrap().0.clone();
    assert!(hosts.contains(&claimant));
    // Where it runs the image is there, and the next room is beside it.
    let index = rig.partition.cluster.host_index[&claimant];
    rig.partition.cluster.host_mut(index).unwrap().image_ready("notes-3");
    rig.rounds(2);
    assert!(rig.partition.pool_slots().any(|slot| slot.state == SlotState::Idle && slot.host == claimant));
}
