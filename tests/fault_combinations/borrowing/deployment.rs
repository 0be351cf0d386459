//! Two full machines of four cards: a night run of one team, idle work of a guest, and the replicas
//! of a third team that borrow from both.

use crate::simulation::{seeds, simulate_with};
use badgerdrift::control::node::Subsystems;
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_stand_ins::{Setup, Sim};
use serde_json::Value;
use std::time::Duration;

/// Cards that the teams are guaranteed.
pub const DESK_GUARANTEE: f64 = 1.0;
pub const NIGHT_GUARANTEE: f64 = 3.0;
/// Seconds after which loans are returned, as the settings have it.
pub const RETURN_AFTER: Duration = Duration::from_secs(8);
/// Seconds of progress between the checkpoints of the night runs.
pub const CHECKPOINT_S: f64 = 5.0;
/// The teams, as the stand-ins call them: one that serves, one that runs at night, one without a
/// guarantee.
pub const DESK: &str = "red";
pub const NIGHT: &str = "blue";
pub const GUEST: &str = "guest";

/// Within how long a burst has its replicas, without faults.
pub const GAIN: Duration = Duration::from_secs(20);
/// Within how long lent work runs again once the loan is to be returned, without faults.
pub const RETURN: Duration = Duration::from_secs(20);

pub fn setup() -> Setup {
    let borrowing: BorrowingSettings = serde_json::from_str(
        r#"{"quiet_s": 3600, "return_after_s": 8,
            "lender": {"blue": {"to": ["red"], "up_to": "standard"}, "guest": {"to": ["red"], "up_to": "standard"}},
            "borrower": {"red": {"from": "urgent"}}}"#,
    )
    .unwrap();
    setup_with(borrowing)
}

pub fn setup_with(borrowing: BorrowingSettings) -> Setup {
    Setup {
        subsystems: Subsystems { borrowing: Some(borrowing), ..Subsystems::default() },
        guaranteed_cards: vec![(DESK, DESK_GUARANTEE), (NIGHT, NIGHT_GUARANTEE)],
        capacity: Some(1),
        ..Setup::default()
    }
}

/// A few seeds of a day with borrowing; each ends settled.
pub fn days(day: impl AsyncFn(&mut Sim) + Sync) {
    for seed in seeds(1..=3) {
        simulate_with(setup(), seed, async |mut sim| {
            day(&mut sim).await;
            sim.settle().await;
        });
    }
}

/// A night run of so many tasks that saves its progress.
pub fn night_run(sim: &mut Sim, tasks: u32) -> String {
    let mut job = sim.job("batch", tasks);
    (job.team, job.run_s, job.checkpoint_s, job.flush_s) = (NIGHT, 120.0, CHECKPOINT_S, 1.0);
    sim.submit(job)
}

/// Fine-tuning of so many tasks that run together.
pub fn fine_tuning(sim: &mut Sim, tasks: u32) -> String {
    let mut job = sim.job("group", tasks);
    (job.team, job.run_s, job.checkpoint_s, job.flush_s) = (NIGHT, 120.0, CHECKPOINT_S, 1.0);
    sim.submit(job)
}

/// Work for idle times of the team without a guarantee.
pub fn guest_work(sim: &mut Sim, tasks: u32) -> String {
    let mut job = sim.job("batch", tasks);
    (job.team, job.urgency, job.run_s, job.checkpoint_s, job.flush_s) =
        (GUEST, "best_effort", 120.0, CHECKPOINT_S, 1.0);
    sim.submit(job)
}

/// Replicas that users need now.
pub fn burst(sim: &mut Sim, replicas: u32) -> String {
    let mut job = sim.job("service", replicas);
    (job.team, job.urgency) = (DESK, "urgent");
    sim.submit(job)
}

/// Cards that a team's tasks take on the machines.
pub fn cards(sim: &Sim, team: &str) -> f64 {
    sim.context.world.lock().unwrap().usage_by_team().get(team).map_or(0.0, |used| used.1)
}

/// The night run has six cards and the guest two: all that there is.
pub async fn full(sim: &mut Sim) -> (String, String) {
    let night = night_run(sim, 6);
    sim.until("the night run runs", Duration::from_secs(60), |w| on_cards(w, NIGHT) == 6.0).await;
    let guest = guest_work(sim, 2);
    sim.until("all cards are taken", Duration::from_secs(60), |w| on_cards(w, GUEST) == 2.0).await;
    (night, guest)
}

pub fn on_cards(world: &badgerdrift_stand_ins::world::SimulationState, team: &str) -> f64 {
    world.usage_by_team().get(team).map_or(0.0, |used| used.1)
}

/// The loans that the records tell of, with the job that lends.
pub fn recorded_loans(sim: &Sim) -> Vec<(String, Value)> {
    let records = sim.context.world.lock().unwrap().store.under("loan/");
    let loans = |(key, record): (String, Value)| {
        let loans = record["loans"].as_array().cloned().unwrap_or_default();
        loans.into_iter().map(move |loan| (key.trim_start_matches("loan/").to_string(), loan))
    };
    records.into_iter().flat_map(loans).collect()
}

/// Loans among these that are in this state.
pub fn in_state(sim: &Sim, state: &str) -> usize {
    recorded_loans(sim).iter().filter(|(_, loan)| loan["state"] == state).count()
}

/// Lets time pass until a record tells of a loan in this state.
pub async fn until_recorded(sim: &mut Sim, state: &str) {
    for _ in 0..6000 {
        if in_state(sim, state) > 0 {
            return;
        }
        sim.run(Duration::from_millis(10)).await;
    }
    panic!("seed {}: no loan is {state}: {:?}", sim.context.seed, recorded_loans(sim));
}
