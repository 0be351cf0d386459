//! Tests of slots on machines that fail or are preempted, and of capacity that other jobs need.

use super::*;
use crate::control::partition::heartbeats::MAX_ORDERS_PER_REPLY;
use std::collections::BTreeSet;

#[test]
fn a_pool_recovers_when_all_its_machines_are_lost_at_once() {
    let mut harness = Harness::cold(4, "loaded");
    // Only one replica fits on a machine.
    harness.pools.pools.get_mut("counter").unwrap().cards = 5.0;
    harness.fail_over();
    harness.rounds(8);
    let lost: BTreeSet<String> = harness.partition.pool_slots().map(|slot| slot.host.clone()).collect();
    assert_eq!((harness.idle_slots(), lost.len()), (POOL_SIZE, 2));
    let job = harness.submit("blue", "notes");
    harness.rounds(1);
    assert!(harness.attached_slot(&job).is_some());
    for id in &lost {
        harness.workers.remove(id);
        harness.partition.host_terminated(id);
    }
    harness.rounds(10);
    assert_eq!((harness.idle_slots(), harness.running_attempts(&job)), (POOL_SIZE, 1));
    let on_lost = harness.partition.pool_slots().filter(|slot| lost.contains(&slot.host)).count();
    assert_eq!(on_lost, 0);
}

// A worker that starts a new agent epoch has lost its models, so its slots must not be claimed.
#[test]
fn a_worker_that_lost_its_lease_has_no_idle_slots() {
    let mut harness = Harness::new(2);
    for worker in harness.workers.values_mut() {
        *worker = Worker { agent_epoch: worker.agent_epoch + 1, seen_token: worker.seen_token, ..Worker::default() };
    }
    let job = harness.submit("blue", "notes");
    harness.now += ROUND_MS;
    ["h0", "h1"].iter().for_each(|id| harness.heartbeat(id));
    assert_eq!(harness.idle_slots(), 0);
    harness.rounds(10);
    assert_eq!((harness.idle_slots(), harness.running_attempts(&job)), (POOL_SIZE, 1));
}

#[test]
fn slots_are_drained_from_preempted_machines() {
    let mut harness = Harness::new(4);
    let preempted = harness.partition.pool_slots().next().unwrap().host.clone();
    let index = harness.partition.cluster.host_index[&preempted];
    harness.partition.cluster.host_mut(index).unwrap().preemption_notice = true;
    harness.rounds(6);
    assert_eq!(harness.idle_slots(), POOL_SIZE);
    assert!(harness.partition.pool_slots().all(|slot| slot.host != preempted));
    assert!(harness.workers[&preempted].slots.is_empty(), "the worker was ordered to unload");
}

// A slot without a record, for example from a late order to load it, must be unloaded.
#[test]
fn a_slot_without_a_record_is_unloaded() {
    let mut harness = Harness::new(2);
    harness.workers.get_mut("h0").unwrap().slots.insert(7, true);
    harness.rounds(2);
    assert!(!harness.workers["h0"].slots.contains_key(&7));
    assert_eq!(harness.idle_slots(), POOL_SIZE);
}

// Idle slots beyond the payer's guarantee must yield to jobs within another team's guarantee.
#[test]
fn idle_slots_beyond_a_guarantee_yield_to_guaranteed_jobs() {
    for (guaranteed, left) in [(0.0, 0), (8.0, POOL_SIZE)] {
        let mut harness = Harness::new(1);
        let policy = &mut harness.partition.policy;
        policy.teams.get_mut("red").unwrap().guarantee.gpus = guaranteed;
        // The machine has eight accelerators, two of which the pool holds.
        let jobs: Vec<String> = (0..8).map(|_| harness.submit("blue", "other")).collect();
        harness.rounds(4);
        let running = jobs.iter().map(|job| harness.running_attempts(job)).sum::<usize>();
        assert_eq!((running, harness.idle_slots()), (8 - left, left), "red is guaranteed {guaranteed}");
    }
}

// On a worker that does not load models, a slot only reserves capacity, preferably where the image is cached.
#[test]
fn image_slots_reserve_capacity_on_workers_that_load_no_models() {
    let mut harness = Harness::cold(3, "image");
    harness.rounds(4);
    // Capacity is reserved and claimed under the image's name even though no machine has the image yet.
    let held = harness.partition.cluster.warm_reservations.len();
    assert_eq!((held, harness.loads), (POOL_SIZE, 0));
    let hosts: Vec<String> = harness.partition.pool_slots().map(|slot| slot.host.clone()).collect();
    let job = harness.submit("blue", "notes-3");
    harness.rounds(1);
    assert_eq!((harness.running_attempts(&job), harness.claimed_slots()), (1, 1));
    let claimant = harness.workers.iter().find(|(_, worker)| !worker.tasks.is_empty()).unwrap().0.clone();
    assert!(hosts.contains(&claimant));
    // The claimant's machine now has the image, so the next slot is placed there.
    let index = harness.partition.cluster.host_index[&claimant];
    harness.partition.cluster.host_mut(index).unwrap().image_ready("notes-3");
    harness.rounds(2);
    assert!(harness.partition.pool_slots().any(|slot| slot.state == SlotState::Idle && slot.host == claimant));
}

// A machine hangs for longer than its lease. Its task and slot are lost, and the task must run elsewhere.
#[test]
fn a_hung_machine_loses_its_claim_and_the_task_runs_elsewhere() {
    let mut harness = Harness::new(3);
    let job = harness.submit("blue", "notes");
    harness.rounds(2);
    let (hung, _) = harness.workers.iter().find(|(_, worker)| !worker.tasks.is_empty()).unwrap();
    let hung = hung.clone();
    harness.workers.get_mut(&hung).unwrap().silent = true;
    for _ in 0..2 * LEASE_MS / ROUND_MS {
        harness.round();
        let to_terminate = harness.partition.detect_failures(harness.now, 0).to_terminate;
        assert!(harness.claimed_slots() <= 2, "at most one more claim, whatever is terminated: {to_terminate:?}");
    }
    let other_workers = harness.workers.iter().filter(|(id, _)| **id != hung);
    assert_eq!(other_workers.filter(|(_, worker)| worker.tasks.contains_key(&format!("{job}/0"))).count(), 1);
    assert_eq!(harness.idle_slots(), POOL_SIZE);
    assert!(harness.partition.pool_slots().all(|slot| slot.host != hung || !slot.is_claimable()));
}

#[test]
fn a_task_with_a_claim_stays_on_a_preempted_machine_until_it_is_gone() {
    let mut harness = Harness::new(3);
    let job = harness.submit("blue", "notes");
    harness.rounds(2);
    let preempted = harness.partition.pool_slots().find(|slot| slot.claim().is_some()).unwrap().host.clone();
    let index = harness.partition.cluster.host_index[&preempted];
    harness.partition.cluster.host_mut(index).unwrap().preemption_notice = true;
    harness.rounds(2);
    assert_eq!((harness.claimed_slots(), harness.running_attempts(&job)), (1, 1));
    harness.workers.remove(&preempted);
    harness.partition.host_terminated(&preempted);
    harness.rounds(8);
    assert_eq!(
        (harness.idle_slots(), harness.claimed_slots(), harness.running_attempts(&job)),
        (POOL_SIZE, 1, 1),
        "the task has another replica"
    );
}

// Contents of a worker after a change of its agent epoch are unknown, so image slots are replaced, too.
#[test]
fn slots_on_a_machine_with_a_new_agent_epoch_are_replaced() {
    let mut harness = Harness::cold(2, "image");
    harness.rounds(4);
    let before: Vec<u64> = harness.partition.pool_slots().map(|slot| slot.id).collect();
    assert_eq!(before.len(), POOL_SIZE);
    for worker in harness.workers.values_mut() {
        *worker = Worker { agent_epoch: worker.agent_epoch + 1, seen_token: worker.seen_token, ..Worker::default() };
    }
    harness.rounds(4);
    let after: Vec<(u64, u64)> = harness.partition.pool_slots().map(|slot| (slot.id, slot.agent_epoch)).collect();
    assert_eq!(after.len(), POOL_SIZE);
    assert!(after.iter().all(|(id, agent_epoch)| !before.contains(id) && *agent_epoch == 2), "{before:?}, {after:?}");
}

// Guards against a command with more orders than a worker must accept, since the slots of its machine alone reach the
// limit.
#[test]
fn orders_for_slots_count_against_the_limit_of_orders() {
    const SLOTS: usize = 450;
    let mut harness = Harness::cold(1, "loaded");
    harness.pools = serde_json::from_value(json!({
        "model": {"notes": {"version": 3, "image": "notes-3", "size_gb": 1.0, "names": ["notes"]}},
        "pool": {"counter": {"model": "notes", "payer": "red", "keep": "loaded", "count": SLOTS,
                             "loads_at_a_time": SLOTS, "cores": 0.001, "mem_gb": 0.001}}}))
    .unwrap();
    harness.fail_over();
    harness.rounds(3);
    // The orders to load are not followed from now on.
    harness.workers.get_mut("h0").unwrap().silent = true;
    harness.rounds(80);
    let later = harness.now + 60_000;
    let command = harness.partition.take_direct_command(0, later, false).unwrap();
    assert_eq!(command.orders.len(), MAX_ORDERS_PER_REPLY);
    let worker = harness.workers.get_mut("h0").unwrap();
    let heartbeat = worker.heartbeat("h0");
    assert_eq!(harness.partition.heartbeat(&heartbeat, StatusSource::Heartbeat, later).len(), MAX_ORDERS_PER_REPLY);
}
