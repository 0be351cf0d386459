//! Loans without faults: capacity is borrowed, kept while it is needed, and returned.

use super::deployment::{
    BATCH_GUARANTEE, BATCH_TEAM, BEST_EFFORT_TEAM, GAIN_LIMIT, RETURN_AFTER, RETURN_LIMIT, SERVING_TEAM, cards_used,
    fill_all_cards, in_state, recorded_loans, run_with_seeds, submit_batch_job, submit_burst, submit_gang,
};
use super::shares::{assert_lost_work_bounded, run_checking_floor, stopped, until_checking_floor};
use crate::scenario::seconds;
use badgerdrift_stand_ins::Sim;
use std::time::Duration;

#[test]
fn a_burst_gains_capacity_within_a_minute_and_returns_it() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0).await;
        assert_eq!(cards_used(sim, BATCH_TEAM) + cards_used(sim, BEST_EFFORT_TEAM), 4.0);
        assert!(in_state(sim, "open") > 0);
        run_checking_floor(sim, seconds(20)).await;
        assert_eq!(cards_used(sim, SERVING_TEAM), 4.0, "the borrower lost capacity that it still needs");
        sim.cancel(&serving_job, &[0, 1, 2]);
        until_checking_floor(sim, "all tasks of the lenders run again", RETURN_AFTER + RETURN_LIMIT, |sim| {
            cards_used(sim, BATCH_TEAM) == 6.0 && cards_used(sim, BEST_EFFORT_TEAM) == 2.0
        })
        .await;
        run_checking_floor(sim, seconds(5)).await;
        assert_eq!((in_state(sim, "open"), in_state(sim, "returning")), (0, 0), "{:?}", recorded_loans(sim));
        assert_lost_work_bounded(sim);
    });
}

// A burst that is cancelled and submitted again within seconds must use the capacity that is still lent, instead
// of stopping more tasks each time.
#[test]
fn a_burst_repeated_within_seconds_causes_no_second_round_of_stops() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let mut serving_job = submit_burst(sim, 4);
        until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0).await;
        let first_round = stopped(sim);
        for _ in 0..4 {
            sim.cancel(&serving_job, &[0, 1, 2]);
            until_checking_floor(sim, "the replicas have ended", GAIN_LIMIT, |sim| {
                cards_used(sim, SERVING_TEAM) == 0.0
            })
            .await;
            run_checking_floor(sim, Duration::from_millis(700 * (sim.context.seed % 3))).await;
            serving_job = submit_burst(sim, 4);
            until_checking_floor(sim, "the replicas run again", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0)
                .await;
        }
        assert_eq!(stopped(sim), first_round);
        sim.cancel(&serving_job, &[0, 1, 2]);
        until_checking_floor(sim, "the lender's tasks run again", RETURN_AFTER + RETURN_LIMIT, |sim| {
            cards_used(sim, BATCH_TEAM) == 6.0
        })
        .await;
    });
}

/// Fills all accelerators: two by a gang, four by a batch job and two by a best-effort job. Returns the identifiers
/// of the first two.
async fn fill_all_cards_with_gang(sim: &mut Sim) -> (String, String) {
    let gang = submit_gang(sim, 2);
    sim.until("the gang runs", seconds(60), |world| super::deployment::cards_used_in(world, BATCH_TEAM) == 2.0).await;
    let batch_job = submit_batch_job(sim, 4);
    sim.until("the batch job runs", seconds(60), |world| super::deployment::cards_used_in(world, BATCH_TEAM) == 6.0)
        .await;
    super::deployment::submit_best_effort_job(sim, 2);
    sim.until("all accelerators are in use", seconds(60), |world| {
        super::deployment::cards_used_in(world, BEST_EFFORT_TEAM) == 2.0
    })
    .await;
    (gang, batch_job)
}

/// Number of times that tasks of this job were stopped.
fn stops_of(sim: &Sim, job: &str) -> usize {
    sim.context.world.lock().unwrap().stopped.iter().filter(|stop| stop.starts_with(job)).count()
}

// Preempting the same job again and again would keep it from making progress. The second time within an hour
// other work must be preempted first, and each time at most the work since the last checkpoint is lost.
#[test]
fn a_preempted_job_is_spared_the_next_time_and_loses_at_most_one_checkpoint() {
    run_with_seeds(async |sim| {
        let (gang, batch_job) = fill_all_cards_with_gang(sim).await;
        // The loan takes the two best-effort tasks and one task of the batch job. Beyond the floor only the gang of
        // two is left.
        let first = submit_burst(sim, 3);
        until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 3.0).await;
        sim.cancel(&first, &[0, 1, 2]);
        until_checking_floor(sim, "the lender's tasks run again", RETURN_AFTER + RETURN_LIMIT, |sim| {
            cards_used(sim, BATCH_TEAM) == 6.0
        })
        .await;
        let before = (stops_of(sim, &gang), stops_of(sim, &batch_job));
        let second = submit_burst(sim, 4);
        until_checking_floor(sim, "the replicas run again", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0)
            .await;
        let after = (stops_of(sim, &gang), stops_of(sim, &batch_job));
        let spared = before.0 == 0 || after.0 == before.0;
        assert!(spared, "stops of (gang, batch job) before and after the second burst: {before:?}, {after:?}");
        assert_lost_work_bounded(sim);
        sim.cancel(&second, &[0, 1, 2]);
    });
}

#[test]
fn a_job_without_alternatives_is_preempted_twice_and_loses_at_most_one_checkpoint_each_time() {
    run_with_seeds(async |sim| {
        let gang = submit_gang(sim, 3);
        sim.until("the gang runs", seconds(60), |world| super::deployment::cards_used_in(world, BATCH_TEAM) == 3.0)
            .await;
        let rest = submit_batch_job(sim, 3);
        sim.until("both jobs run", seconds(60), |world| super::deployment::cards_used_in(world, BATCH_TEAM) == 6.0)
            .await;
        super::deployment::submit_best_effort_job(sim, 2);
        sim.until("all accelerators are in use", seconds(60), |world| {
            super::deployment::cards_used_in(world, BEST_EFFORT_TEAM) == 2.0
        })
        .await;
        for round in 1..=2 {
            let serving_job = submit_burst(sim, 5);
            until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 5.0).await;
            assert!(cards_used(sim, BATCH_TEAM) >= BATCH_GUARANTEE);
            assert!(stops_of(sim, &gang) + stops_of(sim, &rest) >= 3 * round, "{:?}", recorded_loans(sim));
            sim.cancel(&serving_job, &[0, 1, 2]);
            until_checking_floor(sim, "the lender's tasks run again", RETURN_AFTER + RETURN_LIMIT, |sim| {
                cards_used(sim, BATCH_TEAM) == 6.0
            })
            .await;
        }
        assert_lost_work_bounded(sim);
    });
}
