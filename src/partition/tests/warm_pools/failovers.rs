//! Successors, and files that were changed.

use super::*;

#[test]
fn a_successor_neither_gives_a_claimed_replica_away_nor_loses_it() {
    // The leader ends before its claim is recorded, between the record and the order, or after it.
    for (recorded, ordered) in [(false, false), (true, false), (true, true)] {
        let mut rig = Rig::new(3);
        let job = rig.submit("blue", "notes");
        rig.schedule();
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

// A paused leader wakes and goes on: its token is refused by the workers, its writes by the guard.
#[test]
fn an_owner_that_was_replaced_orders_nothing() {
    let mut rig = Rig::new(3);
    let job = rig.submit("blue", "notes");
    rig.schedule();
    let host = *rig.partition.dispatch_queue.first().unwrap();
    rig.commit();
    let late = rig.partition.direct(host, rig.now, false).unwrap();
    let old_term = late.fencing_token;
    rig.take_over();
    rig.rounds(4);
    assert!(old_term < rig.workers[&late.id].seen_token, "the worker refuses the late order");
    assert_eq!(rig.runs(&job), 1);
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

// The name is given to another model while replicas are loading, claimed or draining.
#[test]
fn names_that_move_in_any_state_yield_nobody_another_models_weights() {
    for state in ["loading", "claimed", "draining"] {
        let mut rig = if state == "loading" { Rig::cold(4, "loaded") } else { Rig::new(4) };
        let claimed = (state == "claimed").then(|| rig.submit("red", "notes"));
        match state {
            "draining" => rig.pools.pools.get_mut("counter").unwrap().count = 1,
            _ => rig.rounds(1),
        }
        rig.take_over();
        rig.rounds(1);
        let before: Vec<u64> = rig.partition.pool_slots().map(|slot| slot.id).collect();
        // What was `notes` is `letters` now, and `notes` is a new model.
        let mut letters = rig.pools.models["notes"].clone();
        letters.names = vec!["letters".into()];
        let mut notes = letters.clone();
        (notes.image, notes.names) = ("new-notes-1".into(), vec!["notes".into()]);
        rig.pools.models.insert("notes".into(), notes);
        rig.pools.models.insert("letters".into(), letters);
        rig.pools.models.get_mut("notes").unwrap().version = 4;
        rig.take_over();
        let job = rig.submit("blue", "notes");
        rig.rounds(12);
        assert_eq!(rig.runs(&job), 1, "{state}");
        assert!(rig.attached(&job).is_none_or(|slot| !before.contains(&slot)), "{state}");
        assert!(claimed.is_none_or(|claimed| rig.runs(&claimed) == 1), "who had it keeps it");
        assert!(rig.partition.pool_slots().filter(|slot| slot.is_claimable()).all(|slot| slot.identity.version == 4));
    }
}
