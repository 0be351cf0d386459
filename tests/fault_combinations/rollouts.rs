//! Rolling upgrades, with controllers of two versions at once.

use crate::scenario::{seconds, submit_long_jobs};
use crate::simulation::{seeds, simulate_with};
use badgerdrift_stand_ins::{NODES, Setup, Sim};
use std::time::Duration;
use tokio::time::sleep;

/// Runs a scenario that begins with controllers of the version in production, once per seed.
fn run_rollouts(scenario: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        let setup = Setup { production: true, ..Setup::default() };
        simulate_with(setup, seed, async |mut sim| {
            scenario(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Replaces a controller by one of this version.
async fn upgrade(sim: &mut Sim, node: usize) {
    sim.kill_to_upgrade(node);
    sim.run(seconds(2)).await;
    sim.start(node);
    sim.run(seconds(6)).await;
}

#[test]
fn an_upgrade_stops_no_task_and_loses_no_lease() {
    run_rollouts(async |sim| {
        let ids = submit_long_jobs(sim, 200.0).await;
        let starts =
            |sim: &Sim| -> u32 { ids.iter().map(|id| sim.context.world.lock().unwrap().jobs[id].starts).sum() };
        let (before, summary) = (starts(sim), sim.context.world.lock().unwrap().summary());
        for node in 0..NODES {
            upgrade(sim, node).await;
        }
        assert_eq!(starts(sim), before, "a task was started again; state before the upgrade: {summary}");
        assert!(sim.context.world.lock().unwrap().stopped.is_empty());
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}

// An old controller would start a job with dependencies at once. Upgraded nodes answer its submission with 503
// until the last controller is upgraded.
#[test]
fn a_job_with_dependencies_is_accepted_only_after_every_controller_is_upgraded() {
    run_rollouts(async |sim| {
        sim.run(seconds(4)).await;
        let mut first = sim.waiting_job(&[]);
        first.run_s = 50.0;
        let second = sim.waiting_job(&[&first.id]);
        let ids = sim.submit_pipeline(vec![first, second]);
        for node in 0..NODES - 1 {
            upgrade(sim, node).await;
        }
        // Users keep submitting it to the upgraded controllers.
        sleep(Duration::from_secs(10)).await;
        let accepted =
            |sim: &Sim| sim.context.world.lock().unwrap().jobs.get(&ids[1]).is_some_and(|job| job.accepted.is_some());
        assert!(!accepted(sim), "accepted although an old controller would start it at once");
        upgrade(sim, NODES - 1).await;
        sim.until("the dependent is accepted", seconds(20), |world| world.jobs[&ids[1]].accepted.is_some()).await;
    });
}

// All controllers but the first are upgraded while the state service is unavailable.
#[test]
fn a_rollout_continues_through_an_outage_of_the_state_service() {
    run_rollouts(async |sim| {
        let ids = submit_long_jobs(sim, 30.0).await;
        upgrade(sim, 0).await;
        sim.state_down(true);
        sim.run(seconds(3)).await;
        for node in 1..NODES {
            upgrade(sim, node).await;
        }
        sim.state_down(false);
        sim.run(seconds(10)).await;
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}

// Leaders of both versions read each other's records.
#[test]
fn failovers_between_controllers_of_two_versions_break_no_rule() {
    run_rollouts(async |sim| {
        let ids = submit_long_jobs(sim, 40.0).await;
        upgrade(sim, 0).await;
        for _ in 0..5 {
            if let Some(leader) = sim.leader() {
                sim.kill(leader);
                sim.run(seconds(5)).await;
                sim.start(leader);
            }
        }
        for node in 1..NODES {
            upgrade(sim, node).await;
        }
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
    });
}
