//! Machines that fail or are taken back, and room that others need.

use super::*;
use std::collections::BTreeSet;

#[test]
fn half_of_the_pools_machines_are_lost_at_once() {
    let mut rig = Rig::cold(4, "loaded");
    // One replica a machine.
    rig.pools.pools.get_mut("counter").unwrap().cards = 5.0;
    rig.take_over();
    rig.rounds(8);
    let lost: BTreeSet<String> = rig.partition.pool_slots().map(|slot| slot.host.clone()).collect();
    assert_eq!((rig.idle(), lost.len()), (POOL_SIZE, 2));
    let job = rig.submit("blue", "notes");
    rig.rounds(1);
    assert!(rig.attached(&job).is_some());
    for id in &lost {
        rig.workers.remove(id);
        rig.partition.host_terminated(id);
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
        *worker = Worker { agent_epoch: worker.agent_epoch + 1, seen_token: worker.seen_token, ..Worker::default() };
    }
    let job = rig.submit("blue", "notes");
    rig.now += ROUND_MS;
    ["h0", "h1"].iter().for_each(|id| rig.heartbeat(id));
    assert_eq!(rig.idle(), 0);
    rig.rounds(10);
    assert_eq!((rig.idle(), rig.runs(&job)), (POOL_SIZE, 1));
}

#[test]
fn slots_leave_machines_that_the_cloud_takes_back() {
    let mut rig = Rig::new(4);
    let doomed = rig.partition.pool_slots().next().unwrap().host.clone();
    let index = rig.partition.cluster.host_index[&doomed];
    rig.partition.cluster.host_mut(index).unwrap().preemption_notice = true;
    rig.rounds(6);
    assert_eq!(rig.idle(), POOL_SIZE);
    assert!(rig.partition.pool_slots().all(|slot| slot.host != doomed));
    assert!(rig.workers[&doomed].slots.is_empty(), "it was told to unload");
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
    let held = rig.partition.cluster.warm_reservations.len();
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

// It hangs beyond its lease: its task and its slot are gone, and the claimant runs elsewhere.
#[test]
fn a_claimed_machine_that_hangs_loses_its_claim_and_its_task_runs_elsewhere() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(2);
    let (hung, _) = rig.workers.iter().find(|(_, worker)| !worker.tasks.is_empty()).unwrap();
    let hung = hung.clone();
    rig.workers.get_mut(&hung).unwrap().silent = true;
    for _ in 0..2 * LEASE / ROUND_MS {
        rig.round();
        let (release, _) = rig.partition.detect_failures(rig.now, 0);
        assert!(rig.claimed() <= 2, "one at a time, whatever is released: {release:?}");
    }
    let hosts_of_other_partitions = rig.workers.iter().filter(|(id, _)| **id != hung);
    assert_eq!(
        hosts_of_other_partitions.filter(|(_, worker)| worker.tasks.contains_key(&format!("{job}/0"))).count(),
        1
    );
    assert_eq!(rig.idle(), POOL_SIZE);
    assert!(rig.partition.pool_slots().all(|slot| slot.host != hung || !slot.is_claimable()));
}

#[test]
fn a_claimed_machine_that_is_taken_back_keeps_its_task_until_it_is_gone() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.rounds(2);
    let doomed = rig.partition.pool_slots().find(|slot| slot.claim().is_some()).unwrap().host.clone();
    let index = rig.partition.cluster.host_index[&doomed];
    rig.partition.cluster.host_mut(index).unwrap().preemption_notice = true;
    rig.rounds(2);
    assert_eq!((rig.claimed(), rig.runs(&job)), (1, 1));
    rig.workers.remove(&doomed);
    rig.partition.host_terminated(&doomed);
    rig.rounds(8);
    assert_eq!((rig.idle(), rig.claimed(), rig.runs(&job)), (POOL_SIZE, 1, 1), "it has another replica");
}

// What a worker keeps beyond its session is not known: rooms beside images begin anew, too.
#[test]
fn rooms_on_a_machine_whose_session_began_anew_begin_anew() {
    let mut rig = Rig::cold(2, "image");
    rig.rounds(4);
    let before: Vec<u64> = rig.partition.pool_slots().map(|slot| slot.id).collect();
    assert_eq!(before.len(), POOL_SIZE);
    for worker in rig.workers.values_mut() {
        *worker = Worker { agent_epoch: worker.agent_epoch + 1, seen_token: worker.seen_token, ..Worker::default() };
    }
    rig.rounds(4);
    let after: Vec<(u64, u64)> = rig.partition.pool_slots().map(|slot| (slot.id, slot.agent_epoch)).collect();
    assert_eq!(after.len(), POOL_SIZE);
    assert!(after.iter().all(|(id, agent_epoch)| !before.contains(id) && *agent_epoch == 2), "{before:?}, {after:?}");
}
