//! Limits of the state service that are lowered without notice.

use crate::pipelines::until_accepted;
use crate::scenario::{run_with_seeds, seconds};
use badgerdrift_stand_ins::NEXT_LIMITS;

// A commit whose outcome is unknown when the limits are lowered may exceed them when it is retried.
#[test]
fn jobs_are_accepted_after_the_limits_shrink_while_a_large_commit_has_no_answer() {
    run_with_seeds(async |sim| {
        sim.run(seconds(4)).await;
        sim.late_writes(0.6);
        let jobs: Vec<_> = (0..30).map(|_| sim.waiting_job(&[])).collect();
        let first = jobs[0].id.clone();
        let ids = sim.submit_pipeline(jobs);
        sim.run(seconds(2)).await;
        sim.limit_state(NEXT_LIMITS);
        sim.run(seconds(5)).await;
        sim.late_writes(0.0);
        until_accepted(sim, &ids).await;
        let last = sim.waiting_job(&[&first]);
        let last = sim.submit_pipeline(vec![last]);
        sim.until("the dependent is done", seconds(120), |world| {
            world.jobs.get(&last[0]).is_some_and(|job| job.done_told.is_some())
        })
        .await;
    });
}

// The leader writes at its present rate until the state service refuses it, and keeps to the lower rate from
// then on.
#[test]
fn the_rate_of_changes_is_lowered_after_the_first_refusals() {
    run_with_seeds(async |sim| {
        sim.run(seconds(4)).await;
        let throttled = |sim: &badgerdrift_stand_ins::Sim| sim.context.world.lock().unwrap().store.throttled;
        sim.limit_state(NEXT_LIMITS);
        let mut first_refusals = 0;
        for burst in 0..6 {
            let jobs: Vec<_> = (0..60).map(|_| sim.waiting_job(&[])).collect();
            let ids = sim.submit_pipeline(jobs);
            until_accepted(sim, &ids).await;
            if burst == 1 {
                first_refusals = throttled(sim);
            }
        }
        assert!(first_refusals > 0, "the previous rate is tried first");
        assert_eq!(throttled(sim), first_refusals, "the refused rate is not tried again");
    });
}
