//! Controllers of two versions at once.

use crate::scenario::{long_jobs, s};
use crate::simulation::{seeds, simulate_with};
use badgerdrift_stand_ins::{NODES, Setup, Sim};
use std::time::Duration;
use tokio::time::sleep;

/// Days that begin with the version in production.
fn rollouts(day: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        let setup = Setup { production: true, ..Setup::default() };
        simulate_with(setup, seed, async |mut sim| {
            day(&mut sim).await;
            sim.settle().await;
        });
    }
}

async fn upgrade(sim: &mut Sim, node: usize) {
    sim.kill_to_upgrade(node);
    sim.run(s(2)).await;
    sim.start(node);
    sim.run(s(6)).await;
}

#[test]
fn an_upgrade_stops_no_task_and_loses_no_lease() {
    rollouts(async |sim| {
        let ids = long_jobs(sim, 200.0).await;
        let starts =
            |sim: &Sim| -> u32 { ids.iter().map(|id| sim.context.world.lock().unwrap().jobs[id].starts).sum() };
        let (before, sessions) = (starts(sim), sim.context.world.lock().unwrap().summary());
        for node in 0..NODES {
            upgrade(sim, node).await;
        }
        assert_eq!(starts(sim), before, "a task was started again; before: {sessions}");
        assert!(sim.context.world.lock().unwrap().stopped.is_empty());
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}

// A user asks too early, at a node that is new: 503 until the last one is.
#[test]
fn a_job_that_waits_is_accepted_once_every_controller_is_known_to_be_new() {
    rollouts(async |sim| {
        sim.run(s(4)).await;
        let mut first = sim.waiting_job(&[]);
        first.run_s = 50.0;
        let second = sim.waiting_job(&[&first.id]);
        let ids = sim.submit_pipeline(vec![first, second]);
        for node in 0..NODES - 1 {
            upgrade(sim, node).await;
        }
        // It is asked for at the upgraded ones, again and again.
        sleep(Duration::from_secs(10)).await;
        let accepted =
            |sim: &Sim| sim.context.world.lock().unwrap().jobs.get(&ids[1]).is_some_and(|j| j.accepted.is_some());
        assert!(!accepted(sim), "an old controller would start it at once");
        upgrade(sim, NODES - 1).await;
        sim.until("it is accepted", s(20), |w| w.jobs[&ids[1]].accepted.is_some()).await;
    });
}

#[test]
fn an_outage_begins_in_the_midst_of_a_rollout() {
    rollouts(async |sim| {
        let ids = long_jobs(sim, 30.0).await;
        upgrade(sim, 0).await;
        sim.state_down(true);
        sim.run(s(3)).await;
        for node in 1..NODES {
            upgrade(sim, node).await;
        }
        sim.state_down(false);
        sim.run(s(10)).await;
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}

// The partition goes back and forth between the versions.
#[test]
fn the_partition_fails_over_between_versions() {
    rollouts(async |sim| {
        let ids = long_jobs(sim, 40.0).await;
        upgrade(sim, 0).await;
        for _ in 0..5 {
            if let Some(leader) = sim.leader() {
                sim.kill(leader);
                sim.run(s(5)).await;
                sim.start(leader);
            }
        }
        for node in 1..NODES {
            upgrade(sim, node).await;
        }
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}
