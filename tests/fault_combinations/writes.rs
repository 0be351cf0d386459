//! Commits that the state service applies late, and high rates of commits.

use crate::scenario::{run_with_seeds, seconds};
use crate::simulation::simulate;
use badgerdrift_stand_ins::NODES;
use std::time::Duration;

// Commits without an answer are applied at once or after newer ones, while leaders end and restart, some within
// a second.
#[test]
fn commits_that_apply_late_during_failovers_break_no_rule() {
    run_with_seeds(async |sim| {
        sim.run(seconds(5)).await;
        sim.late_writes(0.25);
        sim.lost_answers(0.25);
        for index in 0..8 {
            for shape in ["batch", "service"] {
                let mut job = sim.job(shape, 2);
                job.run_s = 3.0;
                let id = sim.submit(job);
                if shape == "service" {
                    sim.cancel_later(&id, seconds(8));
                }
            }
            sim.run(seconds(5)).await;
            if index % 2 == 1 {
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader);
                sim.run(Duration::from_millis(if index % 4 == 1 { 400 } else { 5000 })).await;
                sim.start(leader);
            }
        }
        sim.late_writes(0.0);
        sim.lost_answers(0.0);
    });
}

// New machines boot at once and get tasks while commits apply late and the leader ends.
#[test]
fn tasks_on_new_machines_break_no_rule_while_commits_apply_late_and_leaders_end() {
    run_with_seeds(async |sim| {
        sim.run(seconds(5)).await;
        sim.late_writes(0.4);
        for index in 0..6 {
            for shape in ["service", "group"] {
                let mut job = sim.job(shape, 2);
                (job.cards, job.run_s) = (1.0, 6.0);
                let id = sim.submit(job);
                if shape == "service" {
                    sim.cancel_later(&id, seconds(9));
                }
            }
            sim.run(Duration::from_millis(2300)).await;
            if index % 2 == 0 {
                let leader = sim.leader().unwrap_or(index % NODES);
                sim.kill(leader);
                sim.run(seconds(4)).await;
                sim.start(leader);
            }
        }
        sim.late_writes(0.0);
    });
}

#[test]
fn four_one_task_jobs_per_second_finish_through_failovers() {
    simulate(1, async |mut sim| {
        sim.run(seconds(5)).await;
        for index in 0..240 {
            let mut job = sim.job("batch", 1);
            (job.cores, job.cards, job.run_s) = (0.5, 0.0, 1.0);
            let id = sim.submit(job);
            if index % 4 == 0 {
                sim.cancel_later(&id, Duration::from_millis(700 + 10 * index));
            }
            if index % 80 == 60 {
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader);
                sim.run(seconds(1)).await;
                sim.start(leader);
            }
            sim.run(Duration::from_millis(250)).await;
        }
        sim.settle().await;
    });
}
