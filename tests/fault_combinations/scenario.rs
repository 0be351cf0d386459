//! Steps that several scripted days share.

use crate::simulation::{seeds, simulate, simulate_with};
use badgerdrift_stand_ins::world::Machine;
use badgerdrift_stand_ins::{NODES, Setup, Sim};
use std::time::Duration;
use tokio::time::Instant;

pub fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A few seeds of a scripted day; each ends settled.
pub fn days(day: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate(seed, async |mut sim| {
            day(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Days on which nothing is rented for jobs that may come: what is rented is needed.
pub fn days_without_headroom(day: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate_with(Setup::without_headroom(), seed, async |mut sim| {
            day(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Jobs of every shape that run for so long, accepted and placed.
pub async fn long_jobs(sim: &mut Sim, run_s: f64) -> Vec<String> {
    let mut ids = Vec::new();
    for shape in ["service", "batch", "group"] {
        let mut j = sim.job(shape, 2);
        j.run_s = run_s;
        ids.push(sim.submit(j));
    }
    sim.run(s(15)).await;
    ids
}

pub fn others(node: usize) -> Vec<usize> {
    (0..NODES).filter(|n| *n != node).collect()
}

/// Of the machines that are up every `step`th is troubled until then.
pub fn machines(sim: &Sim, step: usize, put: impl Fn(&mut Machine)) {
    let now = Instant::now();
    let mut w = sim.context.world.lock().unwrap();
    w.machines.values_mut().filter(|m| m.alive(now)).step_by(step).for_each(put);
}

/// Users ask about these jobs at all nodes, again and again.
pub async fn ask_closely(sim: &Sim, ids: &[String], time: Duration) {
    const PAUSE: Duration = Duration::from_millis(150);
    let end = Instant::now() + time;
    while Instant::now() < end {
        ids.iter().for_each(|id| sim.ask_all(id));
        sim.run(PAUSE).await;
    }
}

/// Short jobs of both shapes that end by themselves.
pub fn short_jobs(sim: &mut Sim) -> Vec<String> {
    let mut ids = Vec::new();
    for shape in ["batch", "group"] {
        let mut j = sim.job(shape, 2);
        (j.cards, j.run_s) = (0.5, 4.0);
        ids.push(sim.submit(j));
    }
    ids
}

/// Machines that are charged now.
pub fn charged(sim: &Sim) -> usize {
    sim.context.world.lock().unwrap().machines.values().filter(|m| m.exists()).count()
}
