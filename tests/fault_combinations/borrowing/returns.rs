//! Loans without faults of machines: room is gained, kept while it is needed, and given back.

use super::deployment::{
    DESK, GAIN, GUEST, NIGHT, NIGHT_GUARANTEE, RETURN, RETURN_AFTER, burst, cards, days, fine_tuning, full, in_state,
    night_run, recorded_loans,
};
use super::shares::{check_lost_work, run_at_floor, stopped, until_at_floor};
use crate::scenario::s;
use badgerdrift_stand_ins::Sim;
use std::time::Duration;

#[test]
fn a_burst_gains_capacity_within_a_minute_and_returns_it() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 4.0).await;
        assert_eq!(cards(sim, NIGHT) + cards(sim, GUEST), 4.0);
        assert!(in_state(sim, "open") > 0);
        run_at_floor(sim, s(20)).await;
        assert_eq!(cards(sim, DESK), 4.0, "what is needed is kept");
        sim.cancel(&desk, &[0, 1, 2]);
        until_at_floor(sim, "all lent work runs again", RETURN_AFTER + RETURN, |sim| {
            cards(sim, NIGHT) == 6.0 && cards(sim, GUEST) == 2.0
        })
        .await;
        run_at_floor(sim, s(5)).await;
        assert_eq!((in_state(sim, "open"), in_state(sim, "returning")), (0, 0), "{:?}", recorded_loans(sim));
        check_lost_work(sim);
    });
}

// A burst that comes and goes within seconds stops what it needs once.
#[test]
fn a_burst_that_flickers_causes_no_second_round_of_stops() {
    days(async |sim| {
        full(sim).await;
        let mut desk = burst(sim, 4);
        until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 4.0).await;
        let first_round = stopped(sim);
        for _ in 0..4 {
            sim.cancel(&desk, &[0, 1, 2]);
            until_at_floor(sim, "they are gone", GAIN, |sim| cards(sim, DESK) == 0.0).await;
            run_at_floor(sim, Duration::from_millis(700 * (sim.context.seed % 3))).await;
            desk = burst(sim, 4);
            until_at_floor(sim, "they run again", GAIN, |sim| cards(sim, DESK) == 4.0).await;
        }
        assert_eq!(stopped(sim), first_round);
        sim.cancel(&desk, &[0, 1, 2]);
        until_at_floor(sim, "lent work runs again", RETURN_AFTER + RETURN, |sim| cards(sim, NIGHT) == 6.0).await;
    });
}

/// Fine-tuning of two tasks and a night run, which have six cards, and two of the guest's.
async fn full_with_fine_tuning(sim: &mut Sim) -> (String, String) {
    let tuning = fine_tuning(sim, 2);
    sim.until("fine-tuning runs", s(60), |w| super::deployment::on_cards(w, NIGHT) == 2.0).await;
    let night = night_run(sim, 4);
    sim.until("the night run runs", s(60), |w| super::deployment::on_cards(w, NIGHT) == 6.0).await;
    super::deployment::guest_work(sim, 2);
    sim.until("all cards are taken", s(60), |w| super::deployment::on_cards(w, GUEST) == 2.0).await;
    (tuning, night)
}

fn gave_way(sim: &Sim, job: &str) -> usize {
    sim.context.world.lock().unwrap().stopped.iter().filter(|stop| stop.starts_with(job)).count()
}

// A fine-tuning job that is preempted twice within an hour loses no more than since its last
// checkpoint, and the second time what did not give way goes before it.
#[test]
fn a_job_that_gave_way_is_passed_over_beside_others_and_loses_at_most_one_checkpoint() {
    days(async |sim| {
        let (tuning, night) = full_with_fine_tuning(sim).await;
        // The guest's two cards and one of the night run: what is left beyond the floor is a gang
        // of two.
        let first = burst(sim, 3);
        until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 3.0).await;
        sim.cancel(&first, &[0, 1, 2]);
        until_at_floor(sim, "lent work runs again", RETURN_AFTER + RETURN, |sim| cards(sim, NIGHT) == 6.0).await;
        let before = (gave_way(sim, &tuning), gave_way(sim, &night));
        let second = burst(sim, 4);
        until_at_floor(sim, "the replicas run again", GAIN, |sim| cards(sim, DESK) == 4.0).await;
        let after = (gave_way(sim, &tuning), gave_way(sim, &night));
        let passed_over = before.0 == 0 || after.0 == before.0;
        assert!(passed_over, "{before:?} {after:?}");
        check_lost_work(sim);
        sim.cancel(&second, &[0, 1, 2]);
    });
}

#[test]
fn a_job_that_is_alone_may_give_way_twice_and_loses_at_most_one_checkpoint_each_time() {
    days(async |sim| {
        let tuning = fine_tuning(sim, 3);
        sim.until("fine-tuning runs", s(60), |w| super::deployment::on_cards(w, NIGHT) == 3.0).await;
        let rest = night_run(sim, 3);
        sim.until("all of it runs", s(60), |w| super::deployment::on_cards(w, NIGHT) == 6.0).await;
        super::deployment::guest_work(sim, 2);
        sim.until("all cards are taken", s(60), |w| super::deployment::on_cards(w, GUEST) == 2.0).await;
        for round in 1..=2 {
            let desk = burst(sim, 5);
            until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 5.0).await;
            assert!(cards(sim, NIGHT) >= NIGHT_GUARANTEE);
            assert!(gave_way(sim, &tuning) + gave_way(sim, &rest) >= 3 * round, "{:?}", recorded_loans(sim));
            sim.cancel(&desk, &[0, 1, 2]);
            until_at_floor(sim, "lent work runs again", RETURN_AFTER + RETURN, |sim| cards(sim, NIGHT) == 6.0).await;
        }
        check_lost_work(sim);
    });
}
