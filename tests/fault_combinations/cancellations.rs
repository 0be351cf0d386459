//! Jobs that are cancelled while their machines or their leader are unreachable.

use crate::scenario::{machines, others, run_with_seeds, seconds, submit_long_jobs};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::{NODES, world};
use std::time::Duration;

// The state service refuses only the leader, the other nodes take the cancellations, and then the state
// service fails for all of them.
#[test]
fn jobs_are_cancelled_though_the_state_service_refuses_the_leader_and_then_fails() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            let ids: Vec<String> = ["service", "batch", "group"]
                .into_iter()
                .map(|shape| {
                    let mut job = sim.job(shape, 2);
                    job.run_s = 300.0;
                    sim.submit(job)
                })
                .collect();
            sim.run(seconds(15)).await;
            let leader = sim.leader().expect("there is a leader");
            let others: Vec<usize> = (0..NODES).filter(|node| *node != leader).collect();
            sim.refuse_state(leader, true);
            sim.run(seconds(1)).await;
            for id in &ids {
                sim.cancel(id, &others);
            }
            sim.run(seconds(1 + 2 * seed)).await;
            sim.state_down(true);
            sim.run(seconds(25)).await;
            sim.state_down(false);
            sim.refuse_state(leader, false);
            sim.settle().await;
        });
    }
}

// Machines hang or are cut off while their jobs are cancelled. The state service refuses the leader, which
// then ends, and is unavailable for longer than `cancel_s`.
#[test]
fn jobs_are_cancelled_though_machines_hang_and_the_leader_ends_in_an_outage() {
    run_with_seeds(async |sim| {
        let ids = submit_long_jobs(sim, 300.0).await;
        let leader = sim.leader().expect("there is a leader");
        let until = tokio::time::Instant::now() + seconds(18);
        machines(sim, 2, |m| m.hang = until);
        machines(sim, 3, |m| m.deaf = until);
        sim.refuse_state(leader, true);
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(seconds(4)).await;
        sim.state_down(true);
        sim.run(seconds(6)).await;
        sim.kill(leader);
        sim.run(seconds(1)).await;
        sim.start(leader);
        sim.run(seconds(18)).await;
        sim.state_down(false);
        sim.refuse_state(leader, false);
    });
}

// The cancellations arrive during the seconds of the takeover, while some machines are unreachable.
#[test]
fn jobs_are_cancelled_during_a_failover() {
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            let ids = submit_long_jobs(&mut sim, 300.0).await;
            let until = tokio::time::Instant::now() + seconds(8);
            machines(&sim, 2, |m| m.deaf = until);
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            sim.run(Duration::from_millis(500 * seed)).await;
            ids.iter().for_each(|id| sim.cancel(id, &others(leader)));
            sim.run(seconds(2)).await;
            sim.start(leader);
            sim.settle().await;
        });
    }
}

// A cancellation and a repeated submission arrive within milliseconds of the end of a job's last task. The
// job must be reported as either done or cancelled, never as both.
#[test]
fn a_cancellation_racing_with_the_end_of_the_last_task_has_one_outcome() {
    run_with_seeds(async |sim| {
        sim.run(seconds(5)).await;
        for index in 0..20 {
            let mut job = sim.job(["batch", "group"][index % 2], 2);
            job.run_s = 2.0;
            let id = sim.submit(job);
            let done = id.clone();
            let ended = |world: &world::SimulationState| world.jobs[&done].all_done();
            while !ended(&sim.context.world.lock().unwrap()) {
                sim.run(Duration::from_millis(5 + index as u64)).await;
            }
            sim.cancel(&id, &[index % NODES]);
            sim.submit_again(&id);
            sim.ask_all(&id);
        }
        sim.run(seconds(5)).await;
    });
}
