//! Warm pools in whole deployments, with workers that load models.

use crate::scenario::seconds;
use crate::simulation::{seeds, simulate_with};
use badgerdrift::control::node::Subsystems;
use badgerdrift_stand_ins::world::SimulationState;
use badgerdrift_stand_ins::{RandomDay, Setup, Sim, machines};
use badgerdrift_warm_pools::PoolSettings;
use tokio::time::Instant;

/// Setup with two pools for images that random jobs use: one keeps models loaded, the other only reserves
/// resources.
fn setup() -> Setup {
    let pools: PoolSettings = serde_json::from_str(
        r#"{"bill_every_s": 20,
            "model": {"zero": {"version": 1, "image": "img-0", "size_gb": 1},
                      "one": {"version": 1, "image": "img-1", "size_gb": 1}},
            "pool": {"loaded": {"model": "zero", "payer": "red", "keep": "loaded", "count": 2,
                                "cores": 4, "cards": 2, "mem_gb": 4},
                     "rooms": {"model": "one", "payer": "blue", "count": 1,
                               "cores": 2, "cards": 1, "mem_gb": 4}}}"#,
    )
    .unwrap();
    Setup {
        subsystems: Subsystems { warm_pools: Some(pools), ..Subsystems::default() },
        loads_models: true,
        ..Setup::default()
    }
}

/// Waits until this many slots are ready.
async fn until_ready(sim: &mut Sim, count: usize) {
    sim.until("the slots are ready", seconds(120), |world| world.ready_slots() >= count).await;
}

/// Submits a service of one replica of the model that is kept loaded, and returns its identifier.
fn submit_replica(sim: &mut Sim) -> String {
    let mut job = sim.job("service", 1);
    (job.team, job.bundle, job.cores, job.cards, job.mem_gb) = ("blue", 0, 2.0, 1.0, 1.0);
    sim.submit(job)
}

// The rules of the stand-ins check that each slot has at most one claimant, no team exceeds its limit and no
// task runs twice, regardless of what fails at the same time.
#[test]
fn random_faults_break_no_rule_with_warm_pools() {
    for seed in seeds(1..=8) {
        simulate_with(setup(), seed, async |mut sim| {
            let faults = 2 + (seed % 4) as usize;
            let day = RandomDay { day_s: 90.0, faults, later: (seed % 3) as usize, ..RandomDay::default() };
            sim.random_day_of(day).await;
            sim.settle().await;
        });
    }
}

// The leader ends shortly after three replicas were submitted for two ready slots.
#[test]
fn every_replica_runs_after_the_leader_ends_during_a_burst() {
    for seed in seeds(1..=3) {
        simulate_with(setup(), seed, async |mut sim| {
            until_ready(&mut sim, 2).await;
            let jobs: Vec<String> = (0..3).map(|_| submit_replica(&mut sim)).collect();
            sim.run(std::time::Duration::from_millis(40 * seed)).await;
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            sim.run(seconds(20)).await;
            sim.start(leader);
            sim.until("all replicas run", seconds(60), |world| jobs.iter().all(|id| world.jobs[id].began.is_some()))
                .await;
            until_ready(&mut sim, 2).await;
            sim.settle().await;
        });
    }
}

#[test]
fn pools_recover_after_half_of_the_machines_die_in_an_outage_of_the_cloud() {
    for seed in seeds(1..=3) {
        simulate_with(setup(), seed, async |mut sim| {
            until_ready(&mut sim, 2).await;
            let job = submit_replica(&mut sim);
            sim.run(seconds(5)).await;
            sim.context.world.lock().unwrap().cloud_down = true;
            let now = Instant::now();
            let alive = |world: &SimulationState| {
                world.machines.values().filter(|m| m.alive(now)).map(|m| m.id.clone()).collect()
            };
            let alive: Vec<String> = alive(&sim.context.world.lock().unwrap());
            alive.iter().step_by(2).for_each(|id| machines::die(&sim.context, id));
            sim.run(seconds(20)).await;
            sim.context.world.lock().unwrap().cloud_down = false;
            sim.until("the replica runs", seconds(120), |world| world.jobs[&job].began.is_some()).await;
            until_ready(&mut sim, 2).await;
            sim.settle().await;
        });
    }
}
