//! Tests of failovers and of changed pool settings.

use super::*;

#[test]
fn a_new_leader_neither_reassigns_nor_loses_a_claimed_replica() {
    // The leader stops before the claim is recorded, between record and order, or after the order.
    for (recorded, ordered) in [(false, false), (true, false), (true, true)] {
        let mut harness = Harness::new(3);
        let job = harness.submit("blue", "notes");
        harness.schedule();
        if recorded {
            harness.commit();
        }
        if ordered {
            harness.dispatch();
        }
        let before = harness.attached_slot(&job);
        harness.fail_over();
        let other = harness.submit("red", "notes");
        harness.rounds(10);
        assert_eq!((harness.running_attempts(&job), harness.running_attempts(&other)), (1, 1));
        let (own, others) = (harness.attached_slot(&job), harness.attached_slot(&other));
        assert!(own.is_some() && others.is_some() && own != others, "{own:?} and {others:?}");
        assert!(!ordered || own == before);
        assert_eq!(
            (harness.claimed_slots(), harness.idle_slots()),
            (2, POOL_SIZE),
            "recorded {recorded}, ordered {ordered}"
        );
    }
}

// A paused leader resumes after a failover. Workers refuse its token, and the state service refuses its writes.
#[test]
fn a_superseded_leader_orders_nothing() {
    let mut harness = Harness::new(3);
    let job = harness.submit("blue", "notes");
    harness.schedule();
    let host = *harness.partition.dispatch_queue.hosts().first().unwrap();
    harness.commit();
    let late = harness.partition.take_direct_command(host, harness.now, false).unwrap();
    let old_token = late.fencing_token.0;
    harness.fail_over();
    harness.rounds(4);
    assert!(old_token < harness.workers[&late.id].seen_token, "the worker refuses the late order");
    assert_eq!(harness.running_attempts(&job), 1);
}

// A name may be assigned to a new model version while the pool holds replicas of the old one.
#[test]
fn a_new_model_version_replaces_slots_without_shrinking_the_pool() {
    let mut harness = Harness::new(4);
    let model = harness.pools.models.get_mut("notes").unwrap();
    (model.version, model.image) = (4, "notes-4".into());
    harness.fail_over();
    let before: Vec<u64> = harness.partition.pool_slots().map(|slot| slot.id).collect();
    let job = harness.submit("blue", "notes");
    for _ in 0..12 {
        harness.round();
        assert!(
            harness.workers.values().flat_map(|worker| worker.slots.values()).filter(|ready| **ready).count()
                >= POOL_SIZE - 1
        );
    }
    assert_eq!((harness.idle_slots(), harness.running_attempts(&job)), (POOL_SIZE, 1));
    assert!(harness.partition.pool_slots().all(|slot| slot.identity.version == 4));
    assert!(
        harness.attached_slot(&job).is_none_or(|slot| !before.contains(&slot)),
        "the job must not get the weights of version 3"
    );
}

#[test]
fn a_smaller_pool_size_drains_idle_slots_and_keeps_claimed_ones() {
    let mut harness = Harness::new(3);
    let job = harness.submit("blue", "notes");
    harness.rounds(6);
    harness.pools.pools.get_mut("counter").unwrap().count = 0;
    harness.fail_over();
    harness.rounds(6);
    assert_eq!((harness.idle_slots(), harness.claimed_slots(), harness.running_attempts(&job)), (0, 1, 1));
    assert!(harness.workers.values().all(|worker| worker.slots.is_empty()));
}

// A model name is assigned to another model while slots are loading, claimed or draining.
#[test]
fn a_model_name_reassigned_in_any_slot_state_never_yields_the_old_model() {
    for state in ["loading", "claimed", "draining"] {
        let mut harness = if state == "loading" { Harness::cold(4, "loaded") } else { Harness::new(4) };
        let claimed = (state == "claimed").then(|| harness.submit("red", "notes"));
        match state {
            "draining" => harness.pools.pools.get_mut("counter").unwrap().count = 1,
            _ => harness.rounds(1),
        }
        harness.fail_over();
        harness.rounds(1);
        let before: Vec<u64> = harness.partition.pool_slots().map(|slot| slot.id).collect();
        // The model `notes` is renamed to `letters`, and `notes` becomes a new model.
        let mut letters = harness.pools.models["notes"].clone();
        letters.names = vec!["letters".into()];
        let mut notes = letters.clone();
        (notes.image, notes.names) = ("new-notes-1".into(), vec!["notes".into()]);
        harness.pools.models.insert("notes".into(), notes);
        harness.pools.models.insert("letters".into(), letters);
        harness.pools.models.get_mut("notes").unwrap().version = 4;
        harness.fail_over();
        let job = harness.submit("blue", "notes");
        harness.rounds(12);
        assert_eq!(harness.running_attempts(&job), 1, "{state}");
        assert!(harness.attached_slot(&job).is_none_or(|slot| !before.contains(&slot)), "{state}");
        assert!(
            claimed.is_none_or(|claimed| harness.running_attempts(&claimed) == 1),
            "an earlier claimant keeps running"
        );
        assert!(
            harness.partition.pool_slots().filter(|slot| slot.is_claimable()).all(|slot| slot.identity.version == 4)
        );
    }
}
