//! Limits of the state service that shrink without notice.

use crate::pipelines::all_accepted;
use crate::scenario::{days, s};
use badgerdrift_stand_ins::NEXT_LIMITS;

#[test]
fn the_limits_shrink_while_a_large_commit_has_no_answer() {
    days(async |sim| {
        sim.run(s(4)).await;
        sim.late_writes(0.6);
        let jobs: Vec<_> = (0..30).map(|_| sim.waiting_job(&[])).collect();
        let first = jobs[0].id.clone();
        let ids = sim.submit_pipeline(jobs);
        sim.run(s(2)).await;
        sim.limit_state(NEXT_LIMITS);
        sim.run(s(5)).await;
        sim.late_writes(0.0);
        all_accepted(sim, &ids).await;
        let last = sim.waiting_job(&[&first]);
        let last = sim.submit_pipeline(vec![last]);
        sim.until("the dependent is done", s(120), |w| w.jobs.get(&last[0]).is_some_and(|job| job.done_told.is_some()))
            .await;
    });
}

// The leader goes on at its rate until it is refused, and keeps to the lower one then.
#[test]
fn the_rate_of_changes_is_lowered_once_it_is_refused() {
    days(async |sim| {
        sim.run(s(4)).await;
        let throttled = |sim: &badgerdrift_stand_ins::Sim| sim.context.world.lock().unwrap().store.throttled;
        sim.limit_state(NEXT_LIMITS);
        let mut first_refusals = 0;
        for burst in 0..6 {
            let jobs: Vec<_> = (0..60).map(|_| sim.waiting_job(&[])).collect();
            let ids = sim.submit_pipeline(jobs);
            all_accepted(sim, &ids).await;
            if burst == 1 {
                first_refusals = throttled(sim);
            }
        }
        assert!(first_refusals > 0, "the present rate is tried first");
        assert_eq!(throttled(sim), first_refusals, "and not again");
    });
}
