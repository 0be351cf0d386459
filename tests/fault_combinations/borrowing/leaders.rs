//! Leaders that end, are paused or are cut off at each step of a loan.

use super::deployment::{
    BATCH_TEAM, GAIN_LIMIT, RETURN_AFTER, RETURN_LIMIT, SERVING_TEAM, cards_used, fill_all_cards, in_state,
    recorded_loans, run_with_seeds, submit_burst, until_recorded,
};
use super::shares::{assert_lost_work_bounded, run_checking_floor, stopped, until_checking_floor};
use crate::scenario::{others, seconds};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, Sim, controller, state_of};
use std::net::IpAddr;
use std::time::Duration;

/// Maximum time of a failover, including the time until the old leader's lease expires.
const FAILOVER_LIMIT: Duration = Duration::from_secs(25);

/// Waits until all replicas of the burst run, cancels the burst and waits until everything is returned.
async fn loan_completes(sim: &mut Sim, serving_job: &str) {
    until_checking_floor(sim, "the replicas run", GAIN_LIMIT + FAILOVER_LIMIT, |sim| {
        cards_used(sim, SERVING_TEAM) == 4.0
    })
    .await;
    sim.cancel(serving_job, &[0, 1, 2]);
    loan_is_returned(sim).await;
}

/// Waits until the lender's tasks run again and no loan is left, and checks the number of stops and the lost work.
async fn loan_is_returned(sim: &mut Sim) {
    until_checking_floor(sim, "the lender's tasks run again", RETURN_AFTER + RETURN_LIMIT + FAILOVER_LIMIT, |sim| {
        cards_used(sim, BATCH_TEAM) == 6.0
    })
    .await;
    until_checking_floor(sim, "no loan is open", seconds(30), |sim| {
        in_state(sim, "open") + in_state(sim, "returning") == 0
    })
    .await;
    // A loan must not take more than the burst needed, also after a failover.
    assert!(stopped(sim) <= 8, "seed {}: {} tasks were stopped, expected at most 8", sim.context.seed, stopped(sim));
    assert_lost_work_bounded(sim);
}

/// Ends the leader, and returns its number.
fn kill_leader(sim: &mut Sim) -> usize {
    let leader = sim.leader().expect("there is a leader");
    sim.kill(leader);
    leader
}

#[test]
fn a_loan_completes_though_the_leader_ends_before_or_while_it_orders_the_stops() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_recorded(sim, "open").await;
        sim.run(Duration::from_millis(4 * (sim.context.seed % 8))).await;
        let leader = kill_leader(sim);
        run_checking_floor(sim, seconds(8)).await;
        sim.start(leader);
        loan_completes(sim, &serving_job).await;
    });
}

#[test]
fn a_loan_completes_though_the_leader_ends_between_the_stops_and_the_starts() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_checking_floor(sim, "a task is stopped", GAIN_LIMIT, |sim| stopped(sim) > 0).await;
        let leader = kill_leader(sim);
        run_checking_floor(sim, seconds(3)).await;
        sim.start(leader);
        loan_completes(sim, &serving_job).await;
    });
}

#[test]
fn a_loan_is_returned_though_the_leader_ends_during_the_return() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0).await;
        sim.cancel(&serving_job, &[0, 1, 2]);
        until_recorded(sim, "returning").await;
        let leader = kill_leader(sim);
        run_checking_floor(sim, seconds(3)).await;
        sim.start(leader);
        loan_is_returned(sim).await;
    });
}

#[test]
fn a_loan_completes_though_two_leaders_end_in_a_row() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_recorded(sim, "open").await;
        let first = kill_leader(sim);
        let held = |sim: &Sim| sim.leader().is_some_and(|leader| leader != first);
        until_checking_floor(sim, "another controller leads", FAILOVER_LIMIT, held).await;
        run_checking_floor(sim, Duration::from_millis(500 * (sim.context.seed % 5))).await;
        let second = kill_leader(sim);
        run_checking_floor(sim, seconds(2)).await;
        sim.start(first);
        sim.start(second);
        loan_completes(sim, &serving_job).await;
    });
}

#[test]
fn a_loan_completes_though_all_controllers_end_at_once() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_recorded(sim, "open").await;
        (0..NODES).for_each(|node| sim.kill(node));
        run_checking_floor(sim, Duration::from_millis(400 * (sim.context.seed % 5))).await;
        (0..NODES).for_each(|node| sim.start(node));
        loan_completes(sim, &serving_job).await;
    });
}

// The paused leader still has stop orders to send when its successor ends the loan and the lender's tasks run
// again. None of those orders may stop these tasks.
#[test]
fn a_resumed_leader_stops_no_task_that_began_after_its_successor_ended_the_loan() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_recorded(sim, "open").await;
        let old = sim.leader().expect("there is a leader");
        sim.pause(old, true);
        run_checking_floor(sim, seconds(15)).await;
        sim.cancel(&serving_job, &others(old));
        loan_is_returned(sim).await;
        let before = stopped(sim);
        sim.pause(old, false);
        run_checking_floor(sim, seconds(20)).await;
        assert_eq!(stopped(sim), before, "seed {}", sim.context.seed);
    });
}

/// Function that returns the pairs of addresses between which the network is cut for a leader.
type CutPairs = fn(&Sim, usize) -> Vec<(IpAddr, IpAddr)>;

/// Pairs of addresses that cut the controller off from its state service.
fn pairs_to_state_service(_: &Sim, node: usize) -> Vec<(IpAddr, IpAddr)> {
    vec![(controller(node), state_of(node))]
}

/// Pairs of addresses that cut the controller off from all other controllers.
fn pairs_to_peers(_: &Sim, node: usize) -> Vec<(IpAddr, IpAddr)> {
    others(node).into_iter().map(|other| (controller(node), controller(other))).collect()
}

/// Pairs of addresses that cut the controller off from the machines of zone `a`.
fn pairs_to_machines_of_a_zone(sim: &Sim, node: usize) -> Vec<(IpAddr, IpAddr)> {
    let world = sim.context.world.lock().unwrap();
    let in_zone = world.machines.values().filter(|machine| machine.zone == "a");
    in_zone.map(|machine| (controller(node), machine.addr.ip())).collect()
}

/// Cuts the leader off for this time at the step `stops`, `starts` or `return` of a loan, and waits until the loan
/// completes.
async fn cut_at(sim: &mut Sim, step: &str, pairs: CutPairs, kind: Cut, time: Duration) {
    fill_all_cards(sim).await;
    let serving_job = submit_burst(sim, 4);
    match step {
        "stops" => until_recorded(sim, "open").await,
        "starts" => until_checking_floor(sim, "a task is stopped", GAIN_LIMIT, |sim| stopped(sim) > 0).await,
        _ => {
            until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0).await;
            sim.cancel(&serving_job, &[0, 1, 2]);
            until_recorded(sim, "returning").await;
        }
    }
    let leader = sim.leader().expect("there is a leader");
    let pairs = pairs(sim, leader);
    pairs.iter().for_each(|(from, to)| sim.cut(*from, *to, Some(kind)));
    run_checking_floor(sim, time).await;
    pairs.iter().for_each(|(from, to)| sim.cut(*from, *to, None));
    if step == "return" { loan_is_returned(sim).await } else { loan_completes(sim, &serving_job).await }
}

#[test]
fn a_loan_completes_though_the_leader_is_cut_off_from_the_state_service_at_any_step() {
    for step in ["stops", "starts", "return"] {
        run_with_seeds(async |sim| cut_at(sim, step, pairs_to_state_service, Cut::Hold, seconds(6)).await);
    }
}

#[test]
fn a_loan_completes_though_the_leader_is_cut_off_from_the_other_controllers_at_any_step() {
    for step in ["stops", "starts", "return"] {
        run_with_seeds(async |sim| cut_at(sim, step, pairs_to_peers, Cut::Refuse, seconds(6)).await);
    }
}

// The cut is too short for the machines to be released as silent.
#[test]
fn a_loan_completes_though_the_leader_is_cut_off_from_a_zone_of_machines_at_any_step() {
    for step in ["stops", "starts", "return"] {
        run_with_seeds(async |sim| cut_at(sim, step, pairs_to_machines_of_a_zone, Cut::Hold, seconds(1)).await);
    }
}

// A loan that cannot be recorded must not begin.
#[test]
fn no_task_is_stopped_for_a_loan_while_the_state_service_is_unavailable() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        // The burst is accepted, but usually not decided yet.
        sim.until("the burst is accepted", seconds(10), |world| world.jobs[&serving_job].accepted.is_some()).await;
        if stopped(sim) > 0 || !recorded_loans(sim).is_empty() {
            sim.cancel(&serving_job, &[0, 1, 2]);
            return;
        }
        sim.state_down(true);
        run_checking_floor(sim, seconds(8)).await;
        assert_eq!(stopped(sim), 0, "seed {}", sim.context.seed);
        sim.state_down(false);
        loan_completes(sim, &serving_job).await;
    });
}

#[test]
fn commits_without_an_answer_that_apply_late_or_at_once_lend_nothing_twice() {
    for (late, lost) in [(0.5, 0.0), (0.0, 0.5)] {
        run_with_seeds(async |sim| {
            fill_all_cards(sim).await;
            sim.late_writes(late);
            sim.lost_answers(lost);
            let serving_job = submit_burst(sim, 4);
            run_checking_floor(sim, seconds(25)).await;
            sim.late_writes(0.0);
            sim.lost_answers(0.0);
            loan_completes(sim, &serving_job).await;
        });
    }
}

#[test]
fn upgrades_and_downgrades_of_controllers_stop_no_tasks_while_loans_are_open() {
    run_with_seeds(async |sim| {
        fill_all_cards(sim).await;
        let serving_job = submit_burst(sim, 4);
        until_checking_floor(sim, "the replicas run", GAIN_LIMIT, |sim| cards_used(sim, SERVING_TEAM) == 4.0).await;
        let before = stopped(sim);
        for downgrade in [true, false] {
            for node in 0..NODES {
                if downgrade {
                    sim.kill_to_downgrade(node);
                } else {
                    sim.kill_to_upgrade(node);
                }
                run_checking_floor(sim, seconds(2)).await;
                sim.start(node);
                run_checking_floor(sim, seconds(7)).await;
            }
        }
        assert_eq!(stopped(sim), before, "seed {}", sim.context.seed);
        sim.cancel(&serving_job, &[0, 1, 2]);
        loan_is_returned(sim).await;
    });
}
