//! Controllers are paused: they are silent, and then go on with whatever waits for them.

use crate::scenario::{ask_closely, days, long_jobs, others, s, short_jobs};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::{NODES, Sim};
use std::time::Duration;

/// Longer than each of these days, and short enough for a day to be settled after it.
const LONG_S: f64 = 120.0;

/// Orders on a fencing token that is over break a rule from now on.
fn check_terms(sim: &Sim) {
    sim.context.world.lock().unwrap().check_terms = true;
}

// The jobs that it held are cancelled, done and begun under its successor meanwhile.
#[test]
fn a_paused_leader_does_nothing_on_its_expired_lease() {
    const PAUSES_S: [u64; 6] = [5, 8, 13, 27, 50, 90];
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            check_terms(&sim);
            let mut ids = long_jobs(&mut sim, LONG_S).await;
            ids.extend(short_jobs(&mut sim));
            sim.run(Duration::from_millis(700 * seed)).await;
            let leader = sim.leader().expect("there is a leader");
            sim.pause(leader, true);
            sim.run(s(4)).await;
            ids[..2].iter().for_each(|id| sim.cancel(id, &others(leader)));
            ids.extend(short_jobs(&mut sim));
            sim.run(s(PAUSES_S[seed as usize % PAUSES_S.len()] - 4)).await;
            sim.pause(leader, false);
            ask_closely(&sim, &ids, s(5)).await;
            sim.settle().await;
        });
    }
}

// Each goes on about when the next one has begun, or a little before or after.
#[test]
fn leaders_are_paused_in_turn_and_go_on_under_their_successors() {
    days(async |sim| {
        check_terms(sim);
        let mut ids = long_jobs(sim, LONG_S).await;
        let step = sim.context.seed;
        for n in 0..6 {
            ids.extend(short_jobs(sim));
            let leader = sim.leader().unwrap_or(n % NODES);
            sim.pause(leader, true);
            sim.run(Duration::from_millis(2500 + 700 * (n as u64 + step))).await;
            sim.cancel(&ids[n], &others(leader));
            sim.pause(leader, false);
            ask_closely(sim, &ids, s(3)).await;
        }
    });
}

// It goes on while nobody can look at the state service, and its successor is paused.
#[test]
fn a_paused_leader_goes_on_in_an_outage_as_its_successor_is_paused() {
    days(async |sim| {
        let mut ids = long_jobs(sim, LONG_S).await;
        let first = sim.leader().expect("there is a leader");
        sim.pause(first, true);
        sim.run(s(6)).await;
        let next = sim.leader().expect("there is a next leader");
        sim.cancel(&ids[0], &others(first));
        ids.extend(short_jobs(sim));
        sim.run(s(8)).await;
        sim.state_down(true);
        sim.pause(next, true);
        sim.run(Duration::from_millis(300 * sim.context.seed)).await;
        sim.pause(first, false);
        ask_closely(sim, &ids, s(8)).await;
        sim.pause(next, false);
        ask_closely(sim, &ids, s(8)).await;
        sim.state_down(false);
        ask_closely(sim, &ids, s(2)).await;
    });
}

#[test]
fn all_controllers_are_paused_for_longer_than_a_lease() {
    days(async |sim| {
        let mut ids = long_jobs(sim, 40.0).await;
        ids.extend(short_jobs(sim));
        (0..NODES).for_each(|node| sim.pause(node, true));
        sim.run(s(7 + 9 * sim.context.seed)).await;
        (0..NODES).for_each(|node| sim.pause(node, false));
        sim.cancel(&ids[0], &[0, 1, 2]);
        ask_closely(sim, &ids, s(5)).await;
    });
}

// Those that could follow the leader are silent; their pledges count as not given.
#[test]
fn the_other_controllers_are_paused_during_an_outage_of_the_state_store() {
    days(async |sim| {
        let mut ids = long_jobs(sim, LONG_S).await;
        let leader = sim.leader().expect("there is a leader");
        others(leader).into_iter().for_each(|node| sim.pause(node, true));
        sim.state_down(true);
        sim.run(s(4 + sim.context.seed)).await;
        sim.cancel(&ids[0], &[leader]);
        ids.extend(short_jobs(sim));
        others(leader).into_iter().for_each(|node| sim.pause(node, false));
        ask_closely(sim, &ids, s(6)).await;
        sim.state_down(false);
        ask_closely(sim, &ids, s(3)).await;
    });
}
