//! Users ask about their jobs eight times as often as usual, while the leader is paused.

use crate::scenario::{ask_closely, days, long_jobs, others, s, short_jobs};
use badgerdrift_stand_ins::Sim;
use std::time::Duration;
use tokio::time::Instant;

const STORM: f64 = 8.0;
const LONG_S: f64 = 120.0;

/// Everybody who asks about an accepted job is answered by some node now and then.
fn assert_answered_within(sim: &Sim, time: Duration) {
    let now = Instant::now();
    let w = sim.context.world.lock().unwrap();
    let unanswered: Vec<&String> = w
        .jobs
        .values()
        .filter(|j| j.accepted.is_some_and(|at| at + time < now) && j.answered.is_none_or(|at| at + time < now))
        .map(|j| &j.id)
        .collect();
    assert!(unanswered.is_empty(), "seed {}: nobody answers about {unanswered:?}", sim.context.seed);
}

#[test]
fn a_poll_storm_about_ended_unknown_and_cancelled_jobs_as_the_leader_is_paused() {
    days(async |sim| {
        let mut ids = long_jobs(sim, LONG_S).await;
        ids.extend(short_jobs(sim));
        sim.cancel(&ids[0], &[0, 1, 2]);
        sim.run(s(12)).await;
        sim.poll_rate(STORM);
        sim.ask_about_unknown_jobs();
        let leader = sim.leader().expect("there is a leader");
        sim.pause(leader, true);
        ask_closely(sim, &ids, s(4)).await;
        sim.cancel(&ids[1], &others(leader));
        ids.extend(short_jobs(sim));
        ask_closely(sim, &ids, s(8 + 9 * sim.context.seed)).await;
        assert_answered_within(sim, s(6));
        sim.pause(leader, false);
        ask_closely(sim, &ids, s(10)).await;
        assert_answered_within(sim, s(6));
        sim.poll_rate(1.0);
    });
}

#[test]
fn a_poll_storm_as_one_leader_after_the_other_is_paused_for_a_while() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.poll_rate(STORM);
        sim.ask_about_unknown_jobs();
        let mut ids = Vec::new();
        for n in 0..5 {
            ids.extend(short_jobs(sim));
            let mut service = sim.job("service", 2);
            service.cards = 0.5;
            ids.push(sim.submit(service));
            sim.run(s(3)).await;
            let leader = sim.leader().unwrap_or(0);
            sim.pause(leader, true);
            sim.cancel(&ids[3 * n + 2], &others(leader));
            ask_closely(sim, &ids, Duration::from_millis(2000 + 800 * (n as u64 + sim.context.seed))).await;
            sim.pause(leader, false);
            ask_closely(sim, &ids, s(6)).await;
            assert_answered_within(sim, s(6));
        }
        sim.poll_rate(1.0);
    });
}
