//! Controllers that are paused. They send nothing, and later resume with the messages that arrived meanwhile.

use crate::scenario::{others, poll_frequently, run_with_seeds, seconds, submit_long_jobs, submit_short_jobs};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::{NODES, Sim};
use std::time::Duration;

/// Run time, in seconds, of jobs that outlast each scenario, but not the time that `settle` waits.
const LONG_S: f64 = 120.0;

/// Makes orders with an outdated fencing token break a rule from now on.
fn check_fencing_tokens(sim: &Sim) {
    sim.context.world.lock().unwrap().check_terms = true;
}

// Meanwhile its successor cancels, finishes and starts jobs. The old leader must not act on its outdated state
// when it resumes.
#[test]
fn a_resumed_leader_sends_no_orders_on_its_expired_lease() {
    const PAUSES_S: [u64; 6] = [5, 8, 13, 27, 50, 90];
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            check_fencing_tokens(&sim);
            let mut ids = submit_long_jobs(&mut sim, LONG_S).await;
            ids.extend(submit_short_jobs(&mut sim));
            sim.run(Duration::from_millis(700 * seed)).await;
            let leader = sim.leader().expect("there is a leader");
            sim.pause(leader, true);
            sim.run(seconds(4)).await;
            ids[..2].iter().for_each(|id| sim.cancel(id, &others(leader)));
            ids.extend(submit_short_jobs(&mut sim));
            sim.run(seconds(PAUSES_S[seed as usize % PAUSES_S.len()] - 4)).await;
            sim.pause(leader, false);
            poll_frequently(&sim, &ids, seconds(5)).await;
            sim.settle().await;
        });
    }
}

// Each one resumes about when its successor takes over, some a little before and some a little after.
#[test]
fn leaders_paused_in_turn_send_no_orders_after_their_successors_take_over() {
    run_with_seeds(async |sim| {
        check_fencing_tokens(sim);
        let mut ids = submit_long_jobs(sim, LONG_S).await;
        let step = sim.context.seed;
        for index in 0..6 {
            ids.extend(submit_short_jobs(sim));
            let leader = sim.leader().unwrap_or(index % NODES);
            sim.pause(leader, true);
            sim.run(Duration::from_millis(2500 + 700 * (index as u64 + step))).await;
            sim.cancel(&ids[index], &others(leader));
            sim.pause(leader, false);
            poll_frequently(sim, &ids, seconds(3)).await;
        }
    });
}

// The leader resumes while no controller reaches the state service and its successor is paused, so it
// receives no message that it was succeeded.
#[test]
fn a_leader_that_resumes_in_an_outage_with_its_successor_paused_breaks_no_rule() {
    run_with_seeds(async |sim| {
        let mut ids = submit_long_jobs(sim, LONG_S).await;
        let first = sim.leader().expect("there is a leader");
        sim.pause(first, true);
        sim.run(seconds(6)).await;
        let next = sim.leader().expect("there is a next leader");
        sim.cancel(&ids[0], &others(first));
        ids.extend(submit_short_jobs(sim));
        sim.run(seconds(8)).await;
        sim.state_down(true);
        sim.pause(next, true);
        sim.run(Duration::from_millis(300 * sim.context.seed)).await;
        sim.pause(first, false);
        poll_frequently(sim, &ids, seconds(8)).await;
        sim.pause(next, false);
        poll_frequently(sim, &ids, seconds(8)).await;
        sim.state_down(false);
        poll_frequently(sim, &ids, seconds(2)).await;
    });
}

#[test]
fn jobs_continue_after_all_controllers_were_paused_for_longer_than_a_lease() {
    run_with_seeds(async |sim| {
        let mut ids = submit_long_jobs(sim, 40.0).await;
        ids.extend(submit_short_jobs(sim));
        (0..NODES).for_each(|node| sim.pause(node, true));
        sim.run(seconds(7 + 9 * sim.context.seed)).await;
        (0..NODES).for_each(|node| sim.pause(node, false));
        sim.cancel(&ids[0], &[0, 1, 2]);
        poll_frequently(sim, &ids, seconds(5)).await;
    });
}

// The paused controllers do not answer the leader, so it must not count their pledges.
#[test]
fn jobs_continue_after_an_outage_with_all_controllers_but_the_leader_paused() {
    run_with_seeds(async |sim| {
        let mut ids = submit_long_jobs(sim, LONG_S).await;
        let leader = sim.leader().expect("there is a leader");
        others(leader).into_iter().for_each(|node| sim.pause(node, true));
        sim.state_down(true);
        sim.run(seconds(4 + sim.context.seed)).await;
        sim.cancel(&ids[0], &[leader]);
        ids.extend(submit_short_jobs(sim));
        others(leader).into_iter().for_each(|node| sim.pause(node, false));
        poll_frequently(sim, &ids, seconds(6)).await;
        sim.state_down(false);
        poll_frequently(sim, &ids, seconds(3)).await;
    });
}
