//! Teams that lend to and borrow from each other.

use super::deployment::{
    BATCH_TEAM, BEST_EFFORT_TEAM, RETURN_AFTER, RETURN_LIMIT, SERVING_TEAM, cards_used, cards_used_in, run_with_seeds,
    setup_with,
};
use super::shares::stopped;
use crate::scenario::seconds;
use crate::simulation::{seeds, simulate_with};
use badgerdrift_borrowing::BorrowingSettings;
use badgerdrift_stand_ins::{Setup, Sim};
use std::time::Duration;

/// Submits a job of a team with this many tasks of one accelerator each, and returns its identifier.
fn submit(sim: &mut Sim, team: &'static str, shape: &'static str, urgency: &'static str, tasks: u32) -> String {
    let mut job = sim.job(shape, tasks);
    (job.team, job.urgency, job.run_s) = (team, urgency, 120.0);
    if shape == "batch" {
        (job.checkpoint_s, job.flush_s) = (5.0, 1.0);
    }
    sim.submit(job)
}

/// Setup of three teams, each of which lends to the next one and is guaranteed two accelerators.
fn circular_lending() -> Setup {
    let borrowing: BorrowingSettings = serde_json::from_str(
        r#"{"return_after_s": 8,
            "lender": {"red": {"to": ["blue"], "up_to": "standard"}, "blue": {"to": ["guest"], "up_to": "standard"},
                       "guest": {"to": ["red"], "up_to": "standard"}},
            "borrower": {"red": {"from": "urgent"}, "blue": {"from": "urgent"}, "guest": {"from": "urgent"}}}"#,
    )
    .unwrap();
    Setup {
        guaranteed_cards: vec![(SERVING_TEAM, 2.0), (BATCH_TEAM, 2.0), (BEST_EFFORT_TEAM, 2.0)],
        ..setup_with(borrowing)
    }
}

#[test]
fn two_teams_exactly_at_their_guarantees_lend_nothing_to_each_other() {
    for seed in seeds(1..=3) {
        let setup = Setup { guaranteed_cards: vec![(SERVING_TEAM, 4.0), (BATCH_TEAM, 4.0)], ..circular_lending() };
        simulate_with(setup, seed, async |mut sim| {
            submit(&mut sim, SERVING_TEAM, "batch", "standard", 4);
            submit(&mut sim, BATCH_TEAM, "batch", "standard", 4);
            sim.until("both are at their guarantees", seconds(60), |world| {
                cards_used_in(world, SERVING_TEAM) == 4.0 && cards_used_in(world, BATCH_TEAM) == 4.0
            })
            .await;
            let first = submit(&mut sim, SERVING_TEAM, "service", "urgent", 2);
            let second = submit(&mut sim, BATCH_TEAM, "service", "urgent", 2);
            for _ in 0..400 {
                sim.run(Duration::from_millis(50)).await;
                // Within a team, urgent work preempts less urgent work: the stopped tasks save a checkpoint, and
                // the resources go to the same team.
                assert!(cards_used(&sim, SERVING_TEAM) <= 4.0 && cards_used(&sim, BATCH_TEAM) <= 4.0, "seed {seed}");
            }
            assert_eq!((cards_used(&sim, SERVING_TEAM), cards_used(&sim, BATCH_TEAM)), (4.0, 4.0), "seed {seed}");
            sim.cancel(&first, &[0, 1, 2]);
            sim.cancel(&second, &[0, 1, 2]);
            sim.settle().await;
        });
    }
}

// Each of the teams uses its guarantee or more, and each has urgent work that waits. Loans in a circle must not
// stop tasks again and again.
#[test]
fn circular_lending_ends_in_a_stable_state_with_every_team_at_its_guarantee() {
    for seed in seeds(1..=3) {
        simulate_with(circular_lending(), seed, async |mut sim| {
            for (team, tasks) in [(SERVING_TEAM, 3), (BATCH_TEAM, 3), (BEST_EFFORT_TEAM, 2)] {
                submit(&mut sim, team, "batch", "standard", tasks);
            }
            sim.until("all accelerators are in use", seconds(60), |world| {
                cards_used_in(world, SERVING_TEAM)
                    + cards_used_in(world, BATCH_TEAM)
                    + cards_used_in(world, BEST_EFFORT_TEAM)
                    == 8.0
            })
            .await;
            let bursts =
                [SERVING_TEAM, BATCH_TEAM, BEST_EFFORT_TEAM].map(|team| submit(&mut sim, team, "service", "urgent", 3));
            sim.run(seconds(30)).await;
            let before = stopped(&sim);
            for _ in 0..200 {
                sim.run(Duration::from_millis(50)).await;
                for team in [SERVING_TEAM, BATCH_TEAM, BEST_EFFORT_TEAM] {
                    assert!(
                        cards_used(&sim, team) >= 2.0,
                        "seed {seed}: {team} uses {} accelerators, below its guarantee",
                        cards_used(&sim, team)
                    );
                }
            }
            assert_eq!(stopped(&sim), before, "seed {seed}: tasks are still being stopped");
            bursts.iter().for_each(|job| sim.cancel(job, &[0, 1, 2]));
            let all_in_use = |sim: &Sim| {
                cards_used(sim, SERVING_TEAM) + cards_used(sim, BATCH_TEAM) + cards_used(sim, BEST_EFFORT_TEAM) == 8.0
            };
            for _ in 0..((RETURN_AFTER + RETURN_LIMIT).as_secs() * 10) {
                if all_in_use(&sim) {
                    break;
                }
                sim.run(Duration::from_millis(100)).await;
            }
            assert!(all_in_use(&sim), "seed {seed}: not all accelerators are in use again");
            sim.settle().await;
        });
    }
}

// A deployment without the borrowing file must not write records that an earlier version does not know.
#[test]
fn without_borrowing_there_are_no_records_of_loans() {
    run_with_seeds(async |sim| {
        // The same scenario does record loans if the file is given.
        super::deployment::fill_all_cards(sim).await;
        super::deployment::submit_burst(sim, 4);
        super::deployment::until_recorded(sim, "open").await;
    });
    for seed in seeds(1..=3) {
        let mut setup = super::deployment::setup();
        setup.subsystems.borrowing = None;
        simulate_with(setup, seed, async |mut sim| {
            super::deployment::fill_all_cards(&mut sim).await;
            let serving_job = super::deployment::submit_burst(&mut sim, 4);
            sim.until("the replicas run", seconds(30), |world| cards_used_in(world, SERVING_TEAM) == 4.0).await;
            assert!(super::deployment::recorded_loans(&sim).is_empty(), "seed {seed}");
            sim.cancel(&serving_job, &[0, 1, 2]);
            sim.settle().await;
        });
    }
}
