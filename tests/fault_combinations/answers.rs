//! The answers that users get, while answers are lost and heartbeats come late.

use crate::scenario::{days, s};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, controller, world};
use std::time::Duration;

// Who can't reach the leader reads the record; the leader has lost the answer to its write.
#[test]
fn a_lost_answer_as_a_job_is_done_confuses_no_user() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            sim.run(s(5)).await;
            let ids: Vec<String> = ["batch", "group", "batch"]
                .into_iter()
                .map(|shape| {
                    let j = sim.job(shape, 2);
                    sim.submit(j)
                })
                .collect();
            let all = |w: &world::SimulationState| w.jobs.values().all(|j| j.accepted.is_some());
            sim.until("all are accepted", s(30), all).await;
            let leader = sim.leader().expect("there is a leader");
            let cut_off = (leader + 1) % NODES;
            sim.cut(controller(leader), controller(cut_off), Some(Cut::Refuse));
            sim.lost_answers(0.7);
            for _ in 0..150 {
                ids.iter().for_each(|id| sim.ask_all(id));
                sim.run(Duration::from_millis(150)).await;
            }
            sim.settle().await;
        });
    }
}

#[test]
fn late_copies_of_all_reports_reach_a_new_leader() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            sim.keep_reports();
            for shape in ["batch", "group", "service", "batch"] {
                let mut j = sim.job(shape, 2);
                j.run_s = 8.0;
                sim.submit(j);
            }
            // Long enough for machines to be returned.
            sim.run(s(40)).await;
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            // Each task takes most of a machine: there is none left for both.
            let mut j = sim.job("group", 2);
            j.cards = 3.0;
            sim.submit(j);
            sim.run(s(30)).await;
            // Nothing else needs the room: only a mate on a machine that is long gone,
            // as its late report was believed, makes a task wait in vain or be stopped.
            let stopped = sim.context.world.lock().unwrap().stopped.clone();
            assert!(stopped.is_empty(), "seed {seed}: a task started, and its mates did not: {stopped:?}");
            sim.start(leader);
            sim.settle().await;
        });
    }
}

// Users ask at all nodes, and repeat the submission, within milliseconds after every
// answer, and some cancel at once, while answers of the state service are lost.
#[test]
fn close_looks_after_acceptances_ends_and_cancellations() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.lost_answers(0.4);
        for n in 0..24 {
            let mut j = sim.job(["batch", "service", "group"][n % 3], 1);
            j.run_s = 1.5;
            let id = sim.submit(j);
            if n % 2 == 0 {
                let known = id.clone();
                sim.until("accepted", s(60), |w| w.jobs[&known].accepted.is_some()).await;
                sim.cancel(&id, &[0, 1, 2]);
            }
            for _ in 0..10 {
                sim.ask_all(&id);
                sim.submit_again(&id);
                sim.run(Duration::from_millis(40)).await;
            }
        }
        sim.lost_answers(0.0);
    });
}
