//! The deployment of the borrowing tests: two machines of four accelerators each, filled by the batch work of one
//! team and the best-effort work of another. The replicas of a third team borrow from both.

use crate::simulation::{seeds, simulate_with};
use badgerdrift::control::node::Subsystems;
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_stand_ins::{Setup, Sim};
use serde_json::Value;
use std::time::Duration;

/// Accelerators that the serving team is guaranteed.
pub const SERVING_GUARANTEE: f64 = 1.0;
/// Accelerators that the batch team is guaranteed: its floor while it lends.
pub const BATCH_GUARANTEE: f64 = 3.0;
/// Time after which loans are returned, as in the settings (`return_after_s`).
pub const RETURN_AFTER: Duration = Duration::from_secs(8);
/// Seconds of progress between the checkpoints of batch jobs.
pub const CHECKPOINT_S: f64 = 5.0;
/// Name of the team that runs replicas and borrows for them.
pub const SERVING_TEAM: &str = "red";
/// Name of the team that runs batch jobs and lends.
pub const BATCH_TEAM: &str = "blue";
/// Name of the team without a guarantee, which lends as well.
pub const BEST_EFFORT_TEAM: &str = "guest";

/// Maximum time until all replicas of a burst run, without faults.
pub const GAIN_LIMIT: Duration = Duration::from_secs(20);
/// Maximum time until the lenders' tasks run again after a loan becomes due, without faults.
pub const RETURN_LIMIT: Duration = Duration::from_secs(20);

/// Setup in which the batch team and the team without a guarantee lend to urgent work of the serving team.
pub fn setup() -> Setup {
    let borrowing: BorrowingSettings = serde_json::from_str(
        r#"{"quiet_s": 3600, "return_after_s": 8,
            "lender": {"blue": {"to": ["red"], "up_to": "standard"}, "guest": {"to": ["red"], "up_to": "standard"}},
            "borrower": {"red": {"from": "urgent"}}}"#,
    )
    .unwrap();
    setup_with(borrowing)
}

/// Setup with two machines and these borrowing settings.
pub fn setup_with(borrowing: BorrowingSettings) -> Setup {
    Setup {
        subsystems: Subsystems { borrowing: Some(borrowing), ..Subsystems::default() },
        guaranteed_cards: vec![(SERVING_TEAM, SERVING_GUARANTEE), (BATCH_TEAM, BATCH_GUARANTEE)],
        capacity: Some(1),
        ..Setup::default()
    }
}

/// Runs a scenario with borrowing with a few seeds. Each run ends with `settle`, which checks that all work ends.
pub fn run_with_seeds(scenario: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate_with(setup(), seed, async |mut sim| {
            scenario(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// Submits a batch job of this many tasks with checkpoints, and returns its identifier.
pub fn submit_batch_job(sim: &mut Sim, tasks: u32) -> String {
    let mut job = sim.job("batch", tasks);
    (job.team, job.run_s, job.checkpoint_s, job.flush_s) = (BATCH_TEAM, 120.0, CHECKPOINT_S, 1.0);
    sim.submit(job)
}

/// Submits a gang of this many tasks with checkpoints, and returns its identifier.
pub fn submit_gang(sim: &mut Sim, tasks: u32) -> String {
    let mut job = sim.job("group", tasks);
    (job.team, job.run_s, job.checkpoint_s, job.flush_s) = (BATCH_TEAM, 120.0, CHECKPOINT_S, 1.0);
    sim.submit(job)
}

/// Submits a best-effort job of the team without a guarantee, and returns its identifier.
pub fn submit_best_effort_job(sim: &mut Sim, tasks: u32) -> String {
    let mut job = sim.job("batch", tasks);
    (job.team, job.urgency, job.run_s, job.checkpoint_s, job.flush_s) =
        (BEST_EFFORT_TEAM, "best_effort", 120.0, CHECKPOINT_S, 1.0);
    sim.submit(job)
}

/// Submits an urgent service of this many replicas, and returns its identifier.
pub fn submit_burst(sim: &mut Sim, replicas: u32) -> String {
    let mut job = sim.job("service", replicas);
    (job.team, job.urgency) = (SERVING_TEAM, "urgent");
    sim.submit(job)
}

/// Accelerators that a team's tasks use on the machines.
pub fn cards_used(sim: &Sim, team: &str) -> f64 {
    sim.context.world.lock().unwrap().usage_by_team().get(team).map_or(0.0, |used| used.1)
}

/// Fills all accelerators: six by a batch job and two by a best-effort job. Returns the jobs' identifiers.
pub async fn fill_all_cards(sim: &mut Sim) -> (String, String) {
    let batch_job = submit_batch_job(sim, 6);
    sim.until("the batch job runs", Duration::from_secs(60), |world| cards_used_in(world, BATCH_TEAM) == 6.0).await;
    let guest = submit_best_effort_job(sim, 2);
    sim.until("all accelerators are in use", Duration::from_secs(60), |world| {
        cards_used_in(world, BEST_EFFORT_TEAM) == 2.0
    })
    .await;
    (batch_job, guest)
}

/// Accelerators that a team's tasks use on the machines of this state.
pub fn cards_used_in(world: &badgerdrift_stand_ins::world::SimulationState, team: &str) -> f64 {
    world.usage_by_team().get(team).map_or(0.0, |used| used.1)
}

/// Recorded loans, each with the identifier of the lending job.
pub fn recorded_loans(sim: &Sim) -> Vec<(String, Value)> {
    let records = sim.context.world.lock().unwrap().store.under("loan/");
    let loans = |(key, record): (String, Value)| {
        let loans = record["loans"].as_array().cloned().unwrap_or_default();
        loans.into_iter().map(move |loan| (key.trim_start_matches("loan/").to_string(), loan))
    };
    records.into_iter().flat_map(loans).collect()
}

/// Number of recorded loans in this state.
pub fn in_state(sim: &Sim, state: &str) -> usize {
    recorded_loans(sim).iter().filter(|(_, loan)| loan["state"] == state).count()
}

/// Waits until a loan in this state is recorded. Panics after 60 s.
pub async fn until_recorded(sim: &mut Sim, state: &str) {
    for _ in 0..6000 {
        if in_state(sim, state) > 0 {
            return;
        }
        sim.run(Duration::from_millis(10)).await;
    }
    panic!("seed {}: no loan in state {state} was recorded in 60 s: {:?}", sim.context.seed, recorded_loans(sim));
}
