//! Steps that several scenarios share.

use crate::simulation::{seeds, simulate, simulate_with};
use badgerdrift_stand_ins::world::Machine;
use badgerdrift_stand_ins::{NODES, Setup, Sim};
use std::time::Duration;
use tokio::time::Instant;

/// Duration of this many seconds.
pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Runs a scenario with a few seeds. Each run ends with `settle`, which checks that all work ends.
pub fn run_with_seeds(scenario: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            scenario(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Runs a scenario like [`run_with_seeds`], without machines kept ready for future jobs: each machine that is launched is
/// needed.
pub fn run_without_headroom(scenario: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate_with(Setup::without_headroom(), seed, async |mut sim| {
            scenario(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Submits a job of every shape that runs for `run_s` seconds, and waits until they are placed. Returns their
/// identifiers.
pub async fn submit_long_jobs(sim: &mut Sim, run_s: f64) -> Vec<String> {
    let mut ids = Vec::new();
    for shape in ["service", "batch", "group"] {
        let mut job = sim.job(shape, 2);
        job.run_s = run_s;
        ids.push(sim.submit(job));
    }
    sim.run(seconds(15)).await;
    ids
}

/// Returns all controllers except this one.
pub fn others(node: usize) -> Vec<usize> {
    (0..NODES).filter(|index| *index != node).collect()
}

/// Applies a change to every `step`th of the machines that are up.
pub fn machines(sim: &Sim, step: usize, change: impl Fn(&mut Machine)) {
    let now = Instant::now();
    let mut world = sim.context.world.lock().unwrap();
    world.machines.values_mut().filter(|m| m.alive(now)).step_by(step).for_each(change);
}

/// Polls these jobs at all nodes every 150 ms for this time.
pub async fn poll_frequently(sim: &Sim, ids: &[String], time: Duration) {
    const INTERVAL: Duration = Duration::from_millis(150);
    let end = Instant::now() + time;
    while Instant::now() < end {
        ids.iter().for_each(|id| sim.ask_all(id));
        sim.run(INTERVAL).await;
    }
}

/// Submits short jobs of both shapes that end by themselves, and returns their identifiers.
pub fn submit_short_jobs(sim: &mut Sim) -> Vec<String> {
    let mut ids = Vec::new();
    for shape in ["batch", "group"] {
        let mut job = sim.job(shape, 2);
        (job.cards, job.run_s) = (0.5, 4.0);
        ids.push(sim.submit(job));
    }
    ids
}

/// Number of machines that are charged now.
pub fn charged(sim: &Sim) -> usize {
    sim.context.world.lock().unwrap().machines.values().filter(|m| m.exists()).count()
}
