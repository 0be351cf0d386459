//! Jobs that were submitted with a mistake: they fail on every machine, until they are
//! cancelled.

use crate::scenario::{days_without_headroom, s};
use badgerdrift_stand_ins::Sim;
use badgerdrift_stand_ins::world::{SimulationState, secs};
use tokio::time::Instant;

/// Starts of each task while its job fails for a minute: with pauses that double they are few.
const STARTS_OF_A_TASK: u32 = 6;
/// Puts and deletes a second, beside those for the jobs that succeed.
const WRITES_PER_S: f64 = 0.5;
/// Puts and deletes for a job of two tasks that succeeds.
const WRITES_OF_A_JOB: u64 = 3;
const FAILING_S: u64 = 60;
/// Work without mistakes begins in this time.
const START_S: f64 = 15.0;

fn submit_mistaken(sim: &mut Sim) -> Vec<String> {
    let mut ids = Vec::new();
    for (shape, tasks) in [("batch", 3), ("group", 2), ("service", 2), ("batch", 1), ("batch", 1)] {
        let mut j = sim.job(shape, tasks);
        (j.cards, j.run_s, j.mistaken) = (0.5, 1.0, true);
        ids.push(sim.submit(j));
    }
    ids
}

/// A job that does not fail, of another team.
fn submit_sound(sim: &mut Sim, n: usize) -> String {
    let mut j = sim.job(["batch", "group"][n % 2], 2);
    (j.team, j.cards, j.run_s) = ("blue", 1.0, 3.0);
    sim.submit(j)
}

fn charged(w: &SimulationState) -> Vec<String> {
    w.machines.values().filter(|m| m.exists()).map(|m| m.id.clone()).collect()
}

#[test]
fn jobs_that_fail_everywhere_disturb_nobody_until_they_are_cancelled() {
    days_without_headroom(async |sim| {
        // Something runs on machines for as long as the day lasts.
        let mut lasting = sim.job("group", 2);
        (lasting.team, lasting.apart, lasting.run_s) = ("blue", true, 200.0);
        let lasting = sim.submit(lasting);
        sim.run(s(12)).await;
        let kept = charged(&sim.context.world.lock().unwrap());
        let mistaken = submit_mistaken(sim);
        sim.run(s(5)).await;
        let writes = sim.context.world.lock().unwrap().store.writes;
        let mut sound = Vec::new();
        let began = Instant::now();
        while began.elapsed() < s(FAILING_S) {
            sound.push(submit_sound(sim, sound.len()));
            sim.run(s(4)).await;
        }
        {
            let w = sim.context.world.lock().unwrap();
            let written = w.store.writes - writes;
            let most = WRITES_OF_A_JOB * sound.len() as u64 + (WRITES_PER_S * FAILING_S as f64) as u64;
            let starts: Vec<u32> = mistaken.iter().map(|id| w.jobs[id].starts).collect();
            println!("seed {}: {written} writes, starts of the mistaken jobs: {starts:?}", sim.context.seed);
            assert!(written <= most, "seed {}: {written} writes in {FAILING_S} s", sim.context.seed);
            for id in &mistaken {
                let job = &w.jobs[id];
                let most = STARTS_OF_A_TASK * job.shards;
                assert!(job.starts >= job.shards, "seed {}: {id} never began", sim.context.seed);
                assert!(job.starts <= most, "seed {}: {id} was started {} times", sim.context.seed, job.starts);
            }
            // A machine that is called faulty is emptied and returned.
            let returned: Vec<&String> = kept.iter().filter(|id| !w.machines[*id].exists()).collect();
            assert!(returned.is_empty(), "seed {}: returned, though in use: {returned:?}", sim.context.seed);
            assert_eq!(w.jobs[&lasting].starts, 2, "seed {}: lasting work was moved", sim.context.seed);
        }
        let failing: Vec<String> = {
            let w = sim.context.world.lock().unwrap();
            sound.retain(|id| w.jobs[id].accepted.is_some_and(|at| at.elapsed() > secs(START_S)));
            let late = |id: &&String| {
                let job = &w.jobs[*id];
                job.accepted.zip(job.began).is_none_or(|(accepted, began)| began - accepted > secs(START_S))
            };
            sound.iter().filter(late).cloned().collect()
        };
        assert!(failing.is_empty(), "seed {}: begun late: {failing:?}", sim.context.seed);
        mistaken.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
        let cancelled = |w: &SimulationState| mistaken.iter().all(|id| w.jobs[id].cancelled.is_some());
        sim.until("all are cancelled", s(10), cancelled).await;
        // Where they failed others still run.
        let before = sim.context.world.lock().unwrap().machines.len();
        let last = submit_sound(sim, 0);
        sim.until("it runs", s(8), |w| w.jobs[&last].began.is_some()).await;
        let rented = sim.context.world.lock().unwrap().machines.len() - before;
        assert_eq!(rented, 0, "seed {}: no machine with room was used", sim.context.seed);
        sim.cancel(&lasting, &[0, 1, 2]);
    });
}
