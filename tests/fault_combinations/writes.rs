//! Writes lag or are carried out late, and there are many of them.

use crate::scenario::{days, s};
use crate::simulation::simulate;
use badgerdrift_stand_ins::NODES;
use std::time::Duration;

// Transactions without an answer are carried out at once or after newer ones, while the
// leader ends and returns, some of them within a second.
#[test]
fn late_writes_while_leaders_change() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.late_writes(0.25);
        sim.lost_answers(0.25);
        for n in 0..8 {
            for shape in ["batch", "service"] {
                let mut j = sim.job(shape, 2);
                j.run_s = 3.0;
                let id = sim.submit(j);
                if shape == "service" {
                    sim.cancel_later(&id, s(8));
                }
            }
            sim.run(s(5)).await;
            if n % 2 == 1 {
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader);
                sim.run(Duration::from_millis(if n % 4 == 1 { 400 } else { 5000 })).await;
                sim.start(leader);
            }
        }
        sim.late_writes(0.0);
        sim.lost_answers(0.0);
    });
}

// New machines are up at once and get work while writes lag; the leader ends meanwhile.
#[test]
fn new_machines_get_work_while_writes_lag_and_the_leader_ends() {
    days(async |sim| {
        sim.run(s(5)).await;
        sim.late_writes(0.4);
        for n in 0..6 {
            for shape in ["service", "group"] {
                let mut j = sim.job(shape, 2);
                (j.cards, j.run_s) = (1.0, 6.0);
                let id = sim.submit(j);
                if shape == "service" {
                    sim.cancel_later(&id, s(9));
                }
            }
            sim.run(Duration::from_millis(2300)).await;
            if n % 2 == 0 {
                let leader = sim.leader().unwrap_or(n % NODES);
                sim.kill(leader);
                sim.run(s(4)).await;
                sim.start(leader);
            }
        }
        sim.late_writes(0.0);
    });
}

#[test]
fn one_task_jobs_at_four_a_second_through_failovers() {
    simulate(1, async |mut sim| {
        sim.run(s(5)).await;
        for n in 0..240 {
            let mut j = sim.job("batch", 1);
            (j.cores, j.cards, j.run_s) = (0.5, 0.0, 1.0);
            let id = sim.submit(j);
            if n % 4 == 0 {
                sim.cancel_later(&id, Duration::from_millis(700 + 10 * n));
            }
            if n % 80 == 60 {
                let leader = sim.leader().unwrap_or(0);
                sim.kill(leader);
                sim.run(s(1)).await;
                sim.start(leader);
            }
            sim.run(Duration::from_millis(250)).await;
        }
        sim.settle().await;
    });
}
