//! Jobs with dependencies that are cancelled during other faults.

use crate::scenario::{others, poll_frequently, run_with_seeds, seconds};
use badgerdrift_stand_ins::world::CANCEL_S;
use badgerdrift_stand_ins::{NEXT_LIMITS, Sim, controller, net::Cut};
use std::time::Duration;

/// Run time, in seconds, of a first job that is still running when the scenario cancels it.
const LONG_S: f64 = 60.0;

/// Submits a chain of four jobs, the first of which runs for `run_s` seconds, and waits until all are accepted.
/// Returns their identifiers in order.
async fn submit_chain(sim: &mut Sim, run_s: f64) -> Vec<String> {
    sim.run(seconds(4)).await;
    let mut jobs = vec![sim.waiting_job(&[])];
    jobs[0].run_s = run_s;
    for _ in 0..3 {
        let last = jobs.last().unwrap().id.clone();
        jobs.push(sim.waiting_job(&[&last]));
    }
    let ids = sim.submit_pipeline(jobs);
    until_accepted(sim, &ids).await;
    ids
}

/// Waits until all of these jobs are accepted.
pub async fn until_accepted(sim: &Sim, ids: &[String]) {
    let accepted = |id: &String, world: &badgerdrift_stand_ins::world::SimulationState| {
        world.jobs.get(id).is_some_and(|job| job.accepted.is_some())
    };
    sim.until("all are accepted", seconds(120), |world| ids.iter().all(|id| accepted(id, world))).await;
}

/// Waits until all of these jobs are reported as cancelled. Panics after `limit`.
async fn until_cancelled(sim: &Sim, ids: &[String], limit: Duration) {
    sim.until("all are cancelled", limit, |world| ids.iter().all(|id| world.jobs[id].cancelled.is_some())).await;
}

// A new leader that starts a dependent before it knows that the dependency has ended breaks the order.
#[test]
fn a_chain_runs_in_order_while_leaders_change() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, 4.0).await;
        for _ in 0..4 {
            if let Some(leader) = sim.leader() {
                sim.kill(leader);
                sim.run(seconds(5)).await;
                sim.start(leader);
            }
        }
        sim.until("the last is done", seconds(120), |world| world.jobs[&ids[3]].done_told.is_some()).await;
    });
}

#[test]
fn all_nodes_report_a_cancellation_of_all_dependents_at_once() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, LONG_S).await;
        sim.run(seconds(6)).await;
        sim.cancel(&ids[0], &[0, 1, 2]);
        poll_frequently(sim, &ids, seconds(4)).await;
        until_cancelled(sim, &ids, seconds(10)).await;
    });
}

// Half of the answers to commits are lost or late, so the leader does not know whether the cancellation of the
// dependency is recorded.
#[test]
fn dependents_are_cancelled_though_answers_to_commits_are_lost_or_late() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, LONG_S).await;
        sim.lost_answers(0.5);
        sim.cancel(&ids[0], &[0, 1, 2]);
        poll_frequently(sim, &ids, seconds(6)).await;
        sim.lost_answers(0.0);
        sim.late_writes(0.5);
        let second_chain = submit_chain(sim, LONG_S).await;
        sim.cancel(&second_chain[1], &[0, 1, 2]);
        poll_frequently(sim, &second_chain, seconds(10)).await;
        sim.late_writes(0.0);
        until_cancelled(sim, &ids, seconds(60)).await;
    });
}

// The next leader must find the dependents of a job that is recorded as cancelled and cancel them.
#[test]
fn dependents_are_cancelled_though_the_leader_ends_before_it_records_them() {
    run_with_seeds(async |sim| {
        sim.limit_state(NEXT_LIMITS);
        sim.run(seconds(4)).await;
        let mut first = sim.waiting_job(&[]);
        first.run_s = 2.0 * LONG_S;
        let dependents: Vec<_> = (0..120).map(|_| sim.waiting_job(&[&first.id])).collect();
        let first = sim.submit_pipeline(vec![first]);
        let ids = sim.submit_pipeline(dependents);
        until_accepted(sim, &ids).await;
        sim.until("the first runs", seconds(30), |world| world.starts > 0).await;
        sim.cancel(&first[0], &[0, 1, 2]);
        sim.until("the first is cancelled", seconds(30), |world| world.jobs[&first[0]].cancelled.is_some()).await;
        if let Some(leader) = sim.leader() {
            sim.kill(leader);
            poll_frequently(sim, &ids[..10], seconds(5)).await;
            sim.start(leader);
        }
        until_cancelled(sim, &ids, seconds(60)).await;
    });
}

// The outage begins right after the cancellation is recorded, when its dependents may not be recorded yet.
#[test]
fn dependents_are_cancelled_though_an_outage_longer_than_cancel_s_follows() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, LONG_S).await;
        sim.run(seconds(6)).await;
        sim.cancel(&ids[1], &[0, 1, 2]);
        sim.until("it is cancelled", seconds(10), |world| world.jobs[&ids[1]].cancelled.is_some()).await;
        sim.state_down(true);
        poll_frequently(sim, &ids, Duration::from_secs_f64(CANCEL_S + 5.0)).await;
        sim.state_down(false);
        until_cancelled(sim, &ids[1..], seconds(30)).await;
    });
}

// Users who do not reach its successor keep polling the old leader.
#[test]
fn a_leader_that_is_cut_off_reports_no_dependent_as_pending_after_its_successor_has_cancelled() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, LONG_S).await;
        sim.run(seconds(6)).await;
        let leader = sim.leader().expect("there is a leader");
        sim.refuse_state(leader, true);
        for node in others(leader) {
            sim.cut(controller(leader), controller(node), Some(Cut::Hold));
        }
        sim.cancel(&ids[0], &others(leader));
        poll_frequently(sim, &ids, seconds(15)).await;
        for node in others(leader) {
            sim.cut(controller(leader), controller(node), None);
        }
        sim.refuse_state(leader, false);
        until_cancelled(sim, &ids, seconds(40)).await;
    });
}

// The write of the job's end and the cancellation are concurrent.
#[test]
fn a_cancellation_racing_with_the_end_of_the_first_job_of_a_chain_has_one_outcome() {
    run_with_seeds(async |sim| {
        for index in 0..4 {
            let ids = submit_chain(sim, 3.0).await;
            let ended = |world: &badgerdrift_stand_ins::world::SimulationState| world.jobs[&ids[0]].all_done();
            sim.until("the tasks of the first have ended", seconds(60), ended).await;
            sim.run(Duration::from_millis(20 * index)).await;
            sim.cancel(&ids[0], &[0, 1, 2]);
            poll_frequently(sim, &ids, seconds(1)).await;
        }
    });
}

// New dependents arrive at other nodes in the moment in which the first job is cancelled.
#[test]
fn dependents_submitted_while_their_dependency_is_cancelled_are_cancelled_too() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, LONG_S).await;
        sim.until("the first runs", seconds(30), |world| world.jobs[&ids[0]].starts > 0).await;
        sim.cancel(&ids[0], &[0, 1, 2]);
        let late: Vec<_> = (0..6).map(|index| sim.waiting_job(&[&ids[index % 4]])).collect();
        let late = sim.submit_pipeline(late);
        sim.run(seconds(5)).await;
        until_cancelled(sim, &late, seconds(30)).await;
    });
}

// No leader can answer the submission, so the accepting node reads the records of the dependencies.
#[test]
fn a_job_with_dependencies_is_accepted_while_no_node_leads_their_partition() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, LONG_S).await;
        let leader = sim.leader().expect("there is a leader");
        sim.cancel(&ids[2], &[0, 1, 2]);
        sim.until("it is cancelled", seconds(10), |world| world.jobs[&ids[2]].cancelled.is_some()).await;
        sim.kill(leader);
        let late: Vec<_> = (1..=3).map(|index| sim.waiting_job(&[&ids[index]])).collect();
        let late = sim.submit_pipeline(late);
        sim.run(seconds(6)).await;
        sim.start(leader);
        until_cancelled(sim, &late[1..], seconds(40)).await;
    });
}

// The tasks of the first job are done, and the leader ends before it records that. The next leader must learn
// it from the workers.
#[test]
fn a_chain_finishes_though_the_leader_ends_before_it_records_the_end_of_a_dependency() {
    run_with_seeds(async |sim| {
        for _ in 0..3 {
            let ids = submit_chain(sim, 3.0).await;
            let ended = |world: &badgerdrift_stand_ins::world::SimulationState| world.jobs[&ids[0]].all_done();
            sim.until("the tasks of the first have ended", seconds(60), ended).await;
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            sim.run(seconds(5)).await;
            sim.start(leader);
            sim.until("the last is done", seconds(120), |world| world.jobs[&ids[3]].done_told.is_some()).await;
        }
    });
}

// The last job of a pipeline is submitted after all of its dependencies have ended.
#[test]
fn a_job_submitted_after_its_dependencies_are_done_begins_at_once() {
    run_with_seeds(async |sim| {
        let ids = submit_chain(sim, 3.0).await;
        sim.until("the chain is done", seconds(120), |world| world.jobs[&ids[3]].done_told.is_some()).await;
        let last = sim.waiting_job(&[&ids[3], &ids[0]]);
        let last = sim.submit_pipeline(vec![last]);
        sim.until("it has begun", seconds(12), |world| world.jobs.get(&last[0]).is_some_and(|job| job.began.is_some()))
            .await;
    });
}
