//! What teams use while time passes, as the machines run it.

use super::deployment::{CHECKPOINT_S, NIGHT, NIGHT_GUARANTEE, cards, recorded_loans};
use badgerdrift_stand_ins::Sim;
use std::time::Duration;
use tokio::time::Instant;

/// How often shares are looked at.
const SAMPLE: Duration = Duration::from_millis(50);

/// Lets time pass; the night team's share never falls below its guarantee, and nothing of it is
/// stopped before a record tells of the loan.
pub async fn run_at_floor(sim: &mut Sim, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        sim.run(SAMPLE).await;
        check_floor(sim);
    }
}

/// The same until something holds.
pub async fn until_at_floor(sim: &mut Sim, what: &str, most: Duration, holds: impl Fn(&Sim) -> bool) {
    let end = Instant::now() + most;
    while !holds(sim) {
        assert!(Instant::now() < end, "seed {}: not in {most:?}: {what}; {}", sim.context.seed, told(sim));
        sim.run(SAMPLE).await;
        check_floor(sim);
    }
}

fn check_floor(sim: &Sim) {
    let night = cards(sim, NIGHT);
    assert!(night >= NIGHT_GUARANTEE, "seed {}: the night team has {night} cards: {}", sim.context.seed, told(sim));
    let stopped = sim.context.world.lock().unwrap().stopped.len();
    assert!(
        stopped == 0 || !recorded_loans(sim).is_empty(),
        "seed {}: stopped, and no record: {}",
        sim.context.seed,
        told(sim)
    );
}

/// No stop has lost more than what was done since the last checkpoint.
pub fn check_lost_work(sim: &Sim) {
    for lost in sim.context.world.lock().unwrap().lost_work.iter().filter(|lost| lost.checkpoint_s > 0.0) {
        assert!(lost.lost_s <= CHECKPOINT_S + 0.1, "seed {}: {lost:?}", sim.context.seed);
    }
}

/// Tasks that were stopped so far.
pub fn stopped(sim: &Sim) -> usize {
    sim.context.world.lock().unwrap().stopped.len()
}

/// What is known, for a test that fails.
pub fn told(sim: &Sim) -> String {
    let recent = sim.context.world.lock().unwrap().recent("");
    format!("{:#?}\n{recent}", recorded_loans(sim))
}
