//! Jobs are cancelled while their machines or their leader are out of reach.

use crate::scenario::{days, long_jobs, machines, others, s};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::{NODES, world};
use std::time::Duration;

#[test]
fn cancelled_while_the_leader_alone_is_refused_and_an_outage_follows() {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            let ids: Vec<String> = ["service", "batch", "group"]
                .into_iter()
                .map(|shape| {
                    let mut j = sim.job(shape, 2);
                    j.run_s = 300.0;
                    sim.submit(j)
                })
                .collect();
            sim.run(s(15)).await;
            let leader = sim.leader().expect("there is a leader");
            let others: Vec<usize> = (0..NODES).filter(|n| *n != leader).collect();
            sim.refuse_state(leader, true);
            sim.run(s(1)).await;
            for id in &ids {
                sim.cancel(id, &others);
            }
            sim.run(s(1 + 2 * seed)).await;
            sim.state_down(true);
            sim.run(s(25)).await;
            sim.state_down(false);
            sim.refuse_state(leader, false);
            sim.settle().await;
        });
    }
}

// Machines hang or are cut off while their jobs are cancelled, the leader is refused and
// ends, and the state service is out for longer than `cancel_s`.
#[test]
fn machines_hang_while_their_jobs_are_cancelled_in_the_gap() {
    days(async |sim| {
        let ids = long_jobs(sim, 300.0).await;
        let leader = sim.leader().expect("there is a leader");
        let until = tokio::time::Instant::now() + s(18);
        machines(sim, 2, |m| m.hang = until);
        machines(sim, 3, |m| m.deaf = until);
        sim.refuse_state(leader, true);
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(s(4)).await;
        sim.state_down(true);
        sim.run(s(6)).await;
        sim.kill(leader);
        sim.run(s(1)).await;
        sim.start(leader);
        sim.run(s(18)).await;
        sim.state_down(false);
        sim.refuse_state(leader, false);
    });
}

// Cancelled in the very seconds in which the work changes hands, while some machines can't
// be reached.
#[test]
fn jobs_are_cancelled_during_a_failover() {
    for seed in seeds(1..=6) {
        simulate(seed, async |mut sim| {
            let ids = long_jobs(&mut sim, 300.0).await;
            let until = tokio::time::Instant::now() + s(8);
            machines(&sim, 2, |m| m.deaf = until);
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            sim.run(Duration::from_millis(500 * seed)).await;
            ids.iter().for_each(|id| sim.cancel(id, &others(leader)));
            sim.run(s(2)).await;
            sim.start(leader);
            sim.settle().await;
        });
    }
}

// A cancellation or a repeated submission meets the end of a job's last task.
#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    days(async |sim| {
        sim.run(s(5)).await;
        for n in 0..20 {
            let mut j = sim.job(["batch", "group"][n % 2], 2);
            j.run_s = 2.0;
            let id = sim.submit(j);
            let done = id.clone();
            let ended = |w: &world::SimulationState| w.jobs[&done].all_done();
            while !ended(&sim.context.world.lock().unwrap()) {
                sim.run(Duration::from_millis(5 + n as u64)).await;
            }
            sim.cancel(&id, &[n % NODES]);
            sim.submit_again(&id);
            sim.ask_all(&id);
        }
        sim.run(s(5)).await;
    });
}
