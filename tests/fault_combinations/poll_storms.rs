//! Users who poll their jobs eight times as often as usual while the leader is paused.

use crate::scenario::{others, poll_frequently, run_with_seeds, seconds, submit_long_jobs, submit_short_jobs};
use badgerdrift_stand_ins::Sim;
use std::time::Duration;
use tokio::time::Instant;

/// Factor by which users poll more often than usual.
const STORM_FACTOR: f64 = 8.0;
/// Run time, in seconds, of jobs that outlast the polls of a scenario.
const LONG_S: f64 = 120.0;

/// Asserts that polls of every job accepted at least `time` ago were answered by some node within the last `time`.
fn assert_answered_within(sim: &Sim, time: Duration) {
    let now = Instant::now();
    let world = sim.context.world.lock().unwrap();
    let unanswered: Vec<&String> = world
        .jobs
        .values()
        .filter(|job| job.accepted.is_some_and(|at| at + time < now) && job.answered.is_none_or(|at| at + time < now))
        .map(|job| &job.id)
        .collect();
    assert!(
        unanswered.is_empty(),
        "seed {}: no node answered polls of these jobs within {time:?}: {unanswered:?}",
        sim.context.seed
    );
}

// Polls of running, ended, cancelled and unknown jobs must be answered while the leader, which knows the jobs, is
// paused.
#[test]
fn polls_are_answered_in_a_poll_storm_while_the_leader_is_paused() {
    run_with_seeds(async |sim| {
        let mut ids = submit_long_jobs(sim, LONG_S).await;
        ids.extend(submit_short_jobs(sim));
        sim.cancel(&ids[0], &[0, 1, 2]);
        sim.run(seconds(12)).await;
        sim.poll_rate(STORM_FACTOR);
        sim.ask_about_unknown_jobs();
        let leader = sim.leader().expect("there is a leader");
        sim.pause(leader, true);
        poll_frequently(sim, &ids, seconds(4)).await;
        sim.cancel(&ids[1], &others(leader));
        ids.extend(submit_short_jobs(sim));
        poll_frequently(sim, &ids, seconds(8 + 9 * sim.context.seed)).await;
        assert_answered_within(sim, seconds(6));
        sim.pause(leader, false);
        poll_frequently(sim, &ids, seconds(10)).await;
        assert_answered_within(sim, seconds(6));
        sim.poll_rate(1.0);
    });
}

#[test]
fn polls_are_answered_in_a_poll_storm_while_leaders_are_paused_in_turn() {
    run_with_seeds(async |sim| {
        sim.run(seconds(5)).await;
        sim.poll_rate(STORM_FACTOR);
        sim.ask_about_unknown_jobs();
        let mut ids = Vec::new();
        for index in 0..5 {
            ids.extend(submit_short_jobs(sim));
            let mut service = sim.job("service", 2);
            service.cards = 0.5;
            ids.push(sim.submit(service));
            sim.run(seconds(3)).await;
            let leader = sim.leader().unwrap_or(0);
            sim.pause(leader, true);
            sim.cancel(&ids[3 * index + 2], &others(leader));
            poll_frequently(sim, &ids, Duration::from_millis(2000 + 800 * (index as u64 + sim.context.seed))).await;
            sim.pause(leader, false);
            poll_frequently(sim, &ids, seconds(6)).await;
            assert_answered_within(sim, seconds(6));
        }
        sim.poll_rate(1.0);
    });
}
