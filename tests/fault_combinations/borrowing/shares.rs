//! Checks, while time passes, of what teams use on the machines.

use super::deployment::{BATCH_GUARANTEE, BATCH_TEAM, CHECKPOINT_S, cards_used, recorded_loans};
use badgerdrift_stand_ins::Sim;
use std::time::Duration;
use tokio::time::Instant;

/// Interval between checks.
const INTERVAL: Duration = Duration::from_millis(50);

/// Lets time pass, and asserts that the batch team never uses less than its guarantee and that no task is stopped
/// before a loan is recorded.
pub async fn run_checking_floor(sim: &mut Sim, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        sim.run(INTERVAL).await;
        assert_floor(sim);
    }
}

/// Waits until `holds`, with the checks of [`run_checking_floor`]. Panics after `limit`.
pub async fn until_checking_floor(sim: &mut Sim, what: &str, limit: Duration, holds: impl Fn(&Sim) -> bool) {
    let end = Instant::now() + limit;
    while !holds(sim) {
        assert!(
            Instant::now() < end,
            "seed {}: not reached in {limit:?}: {what}; {}",
            sim.context.seed,
            describe_loans(sim)
        );
        sim.run(INTERVAL).await;
        assert_floor(sim);
    }
}

fn assert_floor(sim: &Sim) {
    let used = cards_used(sim, BATCH_TEAM);
    assert!(
        used >= BATCH_GUARANTEE,
        "seed {}: the batch team uses {used} accelerators, below its guarantee: {}",
        sim.context.seed,
        describe_loans(sim)
    );
    let stopped = sim.context.world.lock().unwrap().stopped.len();
    assert!(
        stopped == 0 || !recorded_loans(sim).is_empty(),
        "seed {}: tasks were stopped before a loan was recorded: {}",
        sim.context.seed,
        describe_loans(sim)
    );
}

/// Asserts that no stop has lost more than the work since the last checkpoint.
pub fn assert_lost_work_bounded(sim: &Sim) {
    for lost in sim.context.world.lock().unwrap().lost_work.iter().filter(|lost| lost.checkpoint_s > 0.0) {
        assert!(lost.lost_s <= CHECKPOINT_S + 0.1, "seed {}: {lost:?}", sim.context.seed);
    }
}

/// Number of tasks that were stopped so far.
pub fn stopped(sim: &Sim) -> usize {
    sim.context.world.lock().unwrap().stopped.len()
}

/// Describes the recorded loans and the latest events, for a failed test.
pub fn describe_loans(sim: &Sim) -> String {
    let recent = sim.context.world.lock().unwrap().recent("");
    format!("{:#?}\n{recent}", recorded_loans(sim))
}
