//! Jobs that wait for others, cancelled in the midst of other faults.

use crate::scenario::{ask_closely, days, others, s};
use badgerdrift_stand_ins::world::CANCEL_S;
use badgerdrift_stand_ins::{NEXT_LIMITS, Sim, controller, net::Cut};
use std::time::Duration;

/// Long enough for what runs first to be still running.
const LONG_S: f64 = 60.0;

/// A chain of four jobs, accepted, the first of which runs for so long.
async fn chain(sim: &mut Sim, run_s: f64) -> Vec<String> {
    sim.run(s(4)).await;
    let mut jobs = vec![sim.waiting_job(&[])];
    jobs[0].run_s = run_s;
    for _ in 0..3 {
        let last = jobs.last().unwrap().id.clone();
        jobs.push(sim.waiting_job(&[&last]));
    }
    let ids = sim.submit_pipeline(jobs);
    all_accepted(sim, &ids).await;
    ids
}

pub async fn all_accepted(sim: &Sim, ids: &[String]) {
    let accepted = |id: &String, w: &badgerdrift_stand_ins::world::SimulationState| {
        w.jobs.get(id).is_some_and(|job| job.accepted.is_some())
    };
    sim.until("all are accepted", s(120), |w| ids.iter().all(|id| accepted(id, w))).await;
}

async fn until_cancelled(sim: &Sim, ids: &[String], most: Duration) {
    sim.until("all are cancelled", most, |w| ids.iter().all(|id| w.jobs[id].cancelled.is_some())).await;
}

#[test]
fn a_chain_runs_in_order_while_leaders_change() {
    days(async |sim| {
        let ids = chain(sim, 4.0).await;
        for _ in 0..4 {
            if let Some(leader) = sim.leader() {
                sim.kill(leader);
                sim.run(s(5)).await;
                sim.start(leader);
            }
        }
        sim.until("the last is done", s(120), |w| w.jobs[&ids[3]].done_told.is_some()).await;
    });
}

#[test]
fn all_nodes_report_a_cancellation_of_all_dependents_at_once() {
    days(async |sim| {
        let ids = chain(sim, LONG_S).await;
        sim.run(s(6)).await;
        sim.cancel(&ids[0], &[0, 1, 2]);
        ask_closely(sim, &ids, s(4)).await;
        until_cancelled(sim, &ids, s(10)).await;
    });
}

// Half the answers to writes are lost, so that whether the first is cancelled is unclear.
#[test]
fn answers_are_lost_or_late_as_the_first_job_is_cancelled() {
    days(async |sim| {
        let ids = chain(sim, LONG_S).await;
        sim.lost_answers(0.5);
        sim.cancel(&ids[0], &[0, 1, 2]);
        ask_closely(sim, &ids, s(6)).await;
        sim.lost_answers(0.0);
        sim.late_writes(0.5);
        let more = chain(sim, LONG_S).await;
        sim.cancel(&more[1], &[0, 1, 2]);
        ask_closely(sim, &more, s(10)).await;
        sim.late_writes(0.0);
        until_cancelled(sim, &ids, s(60)).await;
    });
}

#[test]
fn a_leader_ends_between_the_first_cancellation_and_the_records_of_a_wide_fan() {
    days(async |sim| {
        sim.limit_state(NEXT_LIMITS);
        sim.run(s(4)).await;
        let mut root = sim.waiting_job(&[]);
        root.run_s = 2.0 * LONG_S;
        let fan: Vec<_> = (0..120).map(|_| sim.waiting_job(&[&root.id])).collect();
        let first = sim.submit_pipeline(vec![root]);
        let ids = sim.submit_pipeline(fan);
        all_accepted(sim, &ids).await;
        sim.until("the first runs", s(30), |w| w.starts > 0).await;
        sim.cancel(&first[0], &[0, 1, 2]);
        sim.until("the first is cancelled", s(30), |w| w.jobs[&first[0]].cancelled.is_some()).await;
        if let Some(leader) = sim.leader() {
            sim.kill(leader);
            ask_closely(sim, &ids[..10], s(5)).await;
            sim.start(leader);
        }
        until_cancelled(sim, &ids, s(60)).await;
    });
}

#[test]
fn the_state_store_is_out_for_longer_than_cancel_s_right_after_a_cancellation() {
    days(async |sim| {
        let ids = chain(sim, LONG_S).await;
        sim.run(s(6)).await;
        sim.cancel(&ids[1], &[0, 1, 2]);
        sim.until("it is cancelled", s(10), |w| w.jobs[&ids[1]].cancelled.is_some()).await;
        sim.state_down(true);
        ask_closely(sim, &ids, Duration::from_secs_f64(CANCEL_S + 5.0)).await;
        sim.state_down(false);
        until_cancelled(sim, &ids[1..], s(30)).await;
    });
}

// It goes on to be asked by users who do not reach the next one.
#[test]
fn a_leader_that_is_cut_off_reports_no_dependent_as_pending_after_its_successor_has_cancelled() {
    days(async |sim| {
        let ids = chain(sim, LONG_S).await;
        sim.run(s(6)).await;
        let leader = sim.leader().expect("there is a leader");
        sim.refuse_state(leader, true);
        for node in others(leader) {
            sim.cut(controller(leader), controller(node), Some(Cut::Hold));
        }
        sim.cancel(&ids[0], &others(leader));
        ask_closely(sim, &ids, s(15)).await;
        for node in others(leader) {
            sim.cut(controller(leader), controller(node), None);
        }
        sim.refuse_state(leader, false);
        until_cancelled(sim, &ids, s(40)).await;
    });
}

// Its end is reported, and the write of that end meets the cancellation.
#[test]
fn a_cancellation_meets_the_end_of_the_first_job_of_a_chain() {
    days(async |sim| {
        for n in 0..4 {
            let ids = chain(sim, 3.0).await;
            let ended = |w: &badgerdrift_stand_ins::world::SimulationState| w.jobs[&ids[0]].all_done();
            sim.until("the tasks of the first have ended", s(60), ended).await;
            sim.run(Duration::from_millis(20 * n)).await;
            sim.cancel(&ids[0], &[0, 1, 2]);
            ask_closely(sim, &ids, s(1)).await;
        }
    });
}

// A new dependent comes at another node just as the first job is cancelled.
#[test]
fn dependents_are_submitted_as_their_dependency_is_cancelled() {
    days(async |sim| {
        let ids = chain(sim, LONG_S).await;
        sim.until("the first runs", s(30), |w| w.jobs[&ids[0]].starts > 0).await;
        sim.cancel(&ids[0], &[0, 1, 2]);
        let late: Vec<_> = (0..6).map(|n| sim.waiting_job(&[&ids[n % 4]])).collect();
        let late = sim.submit_pipeline(late);
        sim.run(s(5)).await;
        until_cancelled(sim, &late, s(30)).await;
    });
}

// No leader answers the submission: the accepting node checks what it names by reads.
#[test]
fn a_job_with_dependencies_is_accepted_while_no_node_leads_their_partition() {
    days(async |sim| {
        let ids = chain(sim, LONG_S).await;
        let leader = sim.leader().expect("there is a leader");
        sim.cancel(&ids[2], &[0, 1, 2]);
        sim.until("it is cancelled", s(10), |w| w.jobs[&ids[2]].cancelled.is_some()).await;
        sim.kill(leader);
        let late: Vec<_> = (1..=3).map(|n| sim.waiting_job(&[&ids[n]])).collect();
        let late = sim.submit_pipeline(late);
        sim.run(s(6)).await;
        sim.start(leader);
        until_cancelled(sim, &late[1..], s(40)).await;
    });
}

// The tasks of the first job are done, and the leader ends before that is recorded.
#[test]
fn the_leader_ends_before_the_end_of_a_dependency_is_recorded() {
    days(async |sim| {
        for _ in 0..3 {
            let ids = chain(sim, 3.0).await;
            let ended = |w: &badgerdrift_stand_ins::world::SimulationState| w.jobs[&ids[0]].all_done();
            sim.until("the tasks of the first have ended", s(60), ended).await;
            let leader = sim.leader().expect("there is a leader");
            sim.kill(leader);
            sim.run(s(5)).await;
            sim.start(leader);
            sim.until("the last is done", s(120), |w| w.jobs[&ids[3]].done_told.is_some()).await;
        }
    });
}

// The last job of a pipeline comes when all that it needs is over.
#[test]
fn a_late_last_job_begins_at_once() {
    days(async |sim| {
        let ids = chain(sim, 3.0).await;
        sim.until("the chain is done", s(120), |w| w.jobs[&ids[3]].done_told.is_some()).await;
        let last = sim.waiting_job(&[&ids[3], &ids[0]]);
        let last = sim.submit_pipeline(vec![last]);
        sim.until("it has begun", s(12), |w| w.jobs.get(&last[0]).is_some_and(|job| job.began.is_some())).await;
    });
}
