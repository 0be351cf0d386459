//! Answers to users while answers of the state service are lost and heartbeats arrive late.

use crate::scenario::{run_with_seeds, seconds};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, controller, world};
use std::time::Duration;

// A node that cannot reach the leader answers from the job's record, while the leader has not received the
// answer to its own write of that record. The two must not contradict each other.
#[test]
fn a_lost_commit_answer_at_the_end_of_a_job_leads_to_no_contradicting_status() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            sim.run(seconds(5)).await;
            let ids: Vec<String> = ["batch", "group", "batch"]
                .into_iter()
                .map(|shape| {
                    let job = sim.job(shape, 2);
                    sim.submit(job)
                })
                .collect();
            let all = |world: &world::SimulationState| world.jobs.values().all(|job| job.accepted.is_some());
            sim.until("all are accepted", seconds(30), all).await;
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

// A new leader that believes late heartbeats of terminated machines assigns a gang task to one of them. The
// gang's other tasks then wait in vain and are stopped.
#[test]
fn a_new_leader_places_no_gang_on_machines_known_only_from_late_heartbeats() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            sim.keep_reports();
            for shape in ["batch", "group", "service", "batch"] {
                let mut job = sim.job(shape, 2);
                job.run_s = 8.0;
                sim.submit(job);
            }
            // Long enough for machines to be terminated.
            sim.run(seconds(40)).await;
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            // Each task takes most of a machine, so that both cannot fit on the machines that are left.
            let mut job = sim.job("group", 2);
            job.cards = 3.0;
            sim.submit(job);
            sim.run(seconds(30)).await;
            // No other job needs the resources. A task is stopped only if another task of its gang was
            // assigned to a terminated machine.
            let stopped = sim.context.world.lock().unwrap().stopped.clone();
            assert!(
                stopped.is_empty(),
                "seed {seed}: tasks were stopped because the rest of their gang did not start: {stopped:?}"
            );
            sim.start(leader);
            sim.settle().await;
        });
    }
}

// Users poll all nodes and repeat the submission within milliseconds of every answer, and some cancel at
// once, while answers of the state service are lost. No status may contradict an earlier one.
#[test]
fn frequent_polls_see_no_contradicting_status_while_commit_answers_are_lost() {
    run_with_seeds(async |sim| {
        sim.run(seconds(5)).await;
        sim.lost_answers(0.4);
        for index in 0..24 {
            let mut job = sim.job(["batch", "service", "group"][index % 3], 1);
            job.run_s = 1.5;
            let id = sim.submit(job);
            if index % 2 == 0 {
                let known = id.clone();
                sim.until("accepted", seconds(60), |world| world.jobs[&known].accepted.is_some()).await;
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
