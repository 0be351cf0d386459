//! Jobs with an error in their specification, which fail on every machine until they are cancelled.

use crate::scenario::{run_without_headroom, seconds};
use badgerdrift_stand_ins::Sim;
use badgerdrift_stand_ins::world::{SimulationState, secs};
use tokio::time::Instant;

/// Maximum number of starts of each task while its job fails for a minute. The delay between starts doubles.
const MAX_STARTS_PER_TASK: u32 = 6;
/// Maximum puts and deletes per second, in addition to those for the jobs that succeed.
const MAX_WRITES_PER_S: f64 = 0.5;
/// Maximum puts and deletes for a job of two tasks that succeeds.
const MAX_WRITES_PER_JOB: u64 = 3;
/// Time, in seconds, for which the failing jobs are left to fail.
const FAILING_S: u64 = 60;
/// Maximum time, in seconds, from the acceptance of a job without errors to its start.
const MAX_START_S: f64 = 15.0;

/// Submits jobs that fail on every machine, and returns their identifiers.
fn submit_failing(sim: &mut Sim) -> Vec<String> {
    let mut ids = Vec::new();
    for (shape, tasks) in [("batch", 3), ("group", 2), ("service", 2), ("batch", 1), ("batch", 1)] {
        let mut job = sim.job(shape, tasks);
        (job.cards, job.run_s, job.mistaken) = (0.5, 1.0, true);
        ids.push(sim.submit(job));
    }
    ids
}

/// Submits a job of another team that does not fail, and returns its identifier.
fn submit_valid(sim: &mut Sim, index: usize) -> String {
    let mut job = sim.job(["batch", "group"][index % 2], 2);
    (job.team, job.cards, job.run_s) = ("blue", 1.0, 3.0);
    sim.submit(job)
}

/// Identifiers of the machines that are charged now.
fn charged_machines(world: &SimulationState) -> Vec<String> {
    world.machines.values().filter(|m| m.exists()).map(|m| m.id.clone()).collect()
}

// Unlimited retries of such jobs would flood the state service, and machines on which only they failed would
// be taken for faulty and terminated.
#[test]
fn jobs_that_fail_on_every_machine_delay_no_others_and_cost_no_machine() {
    run_without_headroom(async |sim| {
        // A job that keeps machines in use for the whole scenario.
        let mut long_job = sim.job("group", 2);
        (long_job.team, long_job.apart, long_job.run_s) = ("blue", true, 200.0);
        let long_job = sim.submit(long_job);
        sim.run(seconds(12)).await;
        let in_use = charged_machines(&sim.context.world.lock().unwrap());
        let failing = submit_failing(sim);
        sim.run(seconds(5)).await;
        let writes = sim.context.world.lock().unwrap().store.writes;
        let mut valid = Vec::new();
        let began = Instant::now();
        while began.elapsed() < seconds(FAILING_S) {
            valid.push(submit_valid(sim, valid.len()));
            sim.run(seconds(4)).await;
        }
        {
            let world = sim.context.world.lock().unwrap();
            let written = world.store.writes - writes;
            let most = MAX_WRITES_PER_JOB * valid.len() as u64 + (MAX_WRITES_PER_S * FAILING_S as f64) as u64;
            let starts: Vec<u32> = failing.iter().map(|id| world.jobs[id].starts).collect();
            println!("seed {}: {written} writes, starts of the failing jobs: {starts:?}", sim.context.seed);
            assert!(written <= most, "seed {}: {written} writes in {FAILING_S} s", sim.context.seed);
            for id in &failing {
                let job = &world.jobs[id];
                let most = MAX_STARTS_PER_TASK * job.shards;
                assert!(job.starts >= job.shards, "seed {}: {id} never began", sim.context.seed);
                assert!(job.starts <= most, "seed {}: {id} was started {} times", sim.context.seed, job.starts);
            }
            // A machine that is classified as faulty is drained and terminated.
            let terminated: Vec<&String> = in_use.iter().filter(|id| !world.machines[*id].exists()).collect();
            assert!(
                terminated.is_empty(),
                "seed {}: machines in use were terminated: {terminated:?}",
                sim.context.seed
            );
            assert_eq!(
                world.jobs[&long_job].starts, 2,
                "seed {}: a task of the long job was started again",
                sim.context.seed
            );
        }
        let begun_late: Vec<String> = {
            let world = sim.context.world.lock().unwrap();
            valid.retain(|id| world.jobs[id].accepted.is_some_and(|at| at.elapsed() > secs(MAX_START_S)));
            let late = |id: &&String| {
                let job = &world.jobs[*id];
                job.accepted.zip(job.began).is_none_or(|(accepted, began)| began - accepted > secs(MAX_START_S))
            };
            valid.iter().filter(late).cloned().collect()
        };
        assert!(begun_late.is_empty(), "seed {}: jobs that began late: {begun_late:?}", sim.context.seed);
        failing.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
        let cancelled = |world: &SimulationState| failing.iter().all(|id| world.jobs[id].cancelled.is_some());
        sim.until("all are cancelled", seconds(10), cancelled).await;
        // Other jobs still run on the machines on which these jobs failed.
        let before = sim.context.world.lock().unwrap().machines.len();
        let last = submit_valid(sim, 0);
        sim.until("the last job runs", seconds(8), |world| world.jobs[&last].began.is_some()).await;
        let launched = sim.context.world.lock().unwrap().machines.len() - before;
        assert_eq!(launched, 0, "seed {}: machines launched although others had free resources", sim.context.seed);
        sim.cancel(&long_job, &[0, 1, 2]);
    });
}
