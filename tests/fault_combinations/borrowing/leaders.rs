//! Owners that end, hold still or are cut off at each step of a loan.

use super::deployment::{
    DESK, GAIN, NIGHT, RETURN, RETURN_AFTER, burst, cards, days, full, in_state, recorded_loans, until_recorded,
};
use super::shares::{check_lost_work, run_at_floor, stopped, until_at_floor};
use crate::scenario::{others, s};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, Sim, controller, state_of};
use std::net::IpAddr;
use std::time::Duration;

/// A failover, with the pause before it.
const FAILOVER: Duration = Duration::from_secs(25);

/// The burst has its replicas after all, and all is given back in the end.
async fn ends_well(sim: &mut Sim, desk: &str) {
    until_at_floor(sim, "the replicas run", GAIN + FAILOVER, |sim| cards(sim, DESK) == 4.0).await;
    sim.cancel(desk, &[0, 1, 2]);
    returned(sim).await;
}

async fn returned(sim: &mut Sim) {
    until_at_floor(sim, "lent work runs again", RETURN_AFTER + RETURN + FAILOVER, |sim| cards(sim, NIGHT) == 6.0).await;
    until_at_floor(sim, "no loan is open", s(30), |sim| in_state(sim, "open") + in_state(sim, "returning") == 0).await;
    // What was lent for one need is no more than that need took.
    assert!(stopped(sim) <= 8, "seed {}: {} stops", sim.context.seed, stopped(sim));
    check_lost_work(sim);
}

fn kill_leader(sim: &mut Sim) -> usize {
    let leader = sim.leader().expect("there is a leader");
    sim.kill(leader);
    leader
}

#[test]
fn the_leader_ends_after_the_record_and_before_or_while_the_stops_are_ordered() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_recorded(sim, "open").await;
        sim.run(Duration::from_millis(4 * (sim.context.seed % 8))).await;
        let leader = kill_leader(sim);
        run_at_floor(sim, s(8)).await;
        sim.start(leader);
        ends_well(sim, &desk).await;
    });
}

#[test]
fn the_leader_ends_after_the_stops_and_before_the_starts() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_at_floor(sim, "something is stopped", GAIN, |sim| stopped(sim) > 0).await;
        let leader = kill_leader(sim);
        run_at_floor(sim, s(3)).await;
        sim.start(leader);
        ends_well(sim, &desk).await;
    });
}

#[test]
fn the_leader_ends_during_the_return() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 4.0).await;
        sim.cancel(&desk, &[0, 1, 2]);
        until_recorded(sim, "returning").await;
        let leader = kill_leader(sim);
        run_at_floor(sim, s(3)).await;
        sim.start(leader);
        returned(sim).await;
    });
}

#[test]
fn two_owners_end_in_a_row() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_recorded(sim, "open").await;
        let first = kill_leader(sim);
        let held = |sim: &Sim| sim.leader().is_some_and(|leader| leader != first);
        until_at_floor(sim, "another controller leads", FAILOVER, held).await;
        run_at_floor(sim, Duration::from_millis(500 * (sim.context.seed % 5))).await;
        let second = kill_leader(sim);
        run_at_floor(sim, s(2)).await;
        sim.start(first);
        sim.start(second);
        ends_well(sim, &desk).await;
    });
}

#[test]
fn all_controllers_end_at_once() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_recorded(sim, "open").await;
        (0..NODES).for_each(|node| sim.kill(node));
        run_at_floor(sim, Duration::from_millis(400 * (sim.context.seed % 5))).await;
        (0..NODES).for_each(|node| sim.start(node));
        ends_well(sim, &desk).await;
    });
}

// The paused leader has stops in hand; its successor ends the loan, and the lender's work runs
// again. None of the old orders may take effect on that.
#[test]
fn a_leader_that_was_paused_stops_nothing_that_began_after_its_successor_ended_the_loan() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_recorded(sim, "open").await;
        let old = sim.leader().expect("there is a leader");
        sim.pause(old, true);
        run_at_floor(sim, s(15)).await;
        sim.cancel(&desk, &others(old));
        returned(sim).await;
        let before = stopped(sim);
        sim.pause(old, false);
        run_at_floor(sim, s(20)).await;
        assert_eq!(stopped(sim), before, "seed {}", sim.context.seed);
    });
}

/// What is cut, and whether for the leader alone.
type CutOf = fn(&Sim, usize) -> Vec<(IpAddr, IpAddr)>;

fn from_state(_: &Sim, node: usize) -> Vec<(IpAddr, IpAddr)> {
    vec![(controller(node), state_of(node))]
}

fn from_peers(_: &Sim, node: usize) -> Vec<(IpAddr, IpAddr)> {
    others(node).into_iter().map(|other| (controller(node), controller(other))).collect()
}

fn from_machines_of_a_zone(sim: &Sim, node: usize) -> Vec<(IpAddr, IpAddr)> {
    let world = sim.context.world.lock().unwrap();
    let in_zone = world.machines.values().filter(|machine| machine.zone == "a");
    in_zone.map(|machine| (controller(node), machine.addr.ip())).collect()
}

/// The leader is cut off for so long at this step of a loan.
async fn cut_at(sim: &mut Sim, step: &str, cut: CutOf, kind: Cut, time: Duration) {
    full(sim).await;
    let desk = burst(sim, 4);
    match step {
        "stops" => until_recorded(sim, "open").await,
        "starts" => until_at_floor(sim, "something is stopped", GAIN, |sim| stopped(sim) > 0).await,
        _ => {
            until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 4.0).await;
            sim.cancel(&desk, &[0, 1, 2]);
            until_recorded(sim, "returning").await;
        }
    }
    let leader = sim.leader().expect("there is a leader");
    let pairs = cut(sim, leader);
    pairs.iter().for_each(|(a, b)| sim.cut(*a, *b, Some(kind)));
    run_at_floor(sim, time).await;
    pairs.iter().for_each(|(a, b)| sim.cut(*a, *b, None));
    if step == "return" { returned(sim).await } else { ends_well(sim, &desk).await }
}

#[test]
fn the_leader_is_cut_from_the_state_store_in_each_step() {
    for step in ["stops", "starts", "return"] {
        days(async |sim| cut_at(sim, step, from_state, Cut::Hold, s(6)).await);
    }
}

#[test]
fn the_leader_is_cut_from_the_other_controllers_in_each_step() {
    for step in ["stops", "starts", "return"] {
        days(async |sim| cut_at(sim, step, from_peers, Cut::Refuse, s(6)).await);
    }
}

// For so short that the machines are not released as silent ones.
#[test]
fn the_leader_is_cut_from_the_machines_of_a_zone_in_each_step() {
    for step in ["stops", "starts", "return"] {
        days(async |sim| cut_at(sim, step, from_machines_of_a_zone, Cut::Hold, s(1)).await);
    }
}

// Nothing is lent that can't be recorded.
#[test]
fn without_the_state_store_nothing_is_stopped_for_another_team() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        // Accepted, and not yet decided about.
        sim.until("the burst is accepted", s(10), |w| w.jobs[&desk].accepted.is_some()).await;
        if stopped(sim) > 0 || !recorded_loans(sim).is_empty() {
            sim.cancel(&desk, &[0, 1, 2]);
            return;
        }
        sim.state_down(true);
        run_at_floor(sim, s(8)).await;
        assert_eq!(stopped(sim), 0, "seed {}", sim.context.seed);
        sim.state_down(false);
        ends_well(sim, &desk).await;
    });
}

#[test]
fn commits_without_an_answer_that_apply_late_or_at_once_lend_nothing_twice() {
    for (late, lost) in [(0.5, 0.0), (0.0, 0.5)] {
        days(async |sim| {
            full(sim).await;
            sim.late_writes(late);
            sim.lost_answers(lost);
            let desk = burst(sim, 4);
            run_at_floor(sim, s(25)).await;
            sim.late_writes(0.0);
            sim.lost_answers(0.0);
            ends_well(sim, &desk).await;
        });
    }
}

#[test]
fn controllers_are_upgraded_and_downgraded_with_loans_open() {
    days(async |sim| {
        full(sim).await;
        let desk = burst(sim, 4);
        until_at_floor(sim, "the replicas run", GAIN, |sim| cards(sim, DESK) == 4.0).await;
        let before = stopped(sim);
        for downgrade in [true, false] {
            for node in 0..NODES {
                if downgrade {
                    sim.kill_to_downgrade(node);
                } else {
                    sim.kill_to_upgrade(node);
                }
                run_at_floor(sim, s(2)).await;
                sim.start(node);
                run_at_floor(sim, s(7)).await;
            }
        }
        assert_eq!(stopped(sim), before, "seed {}", sim.context.seed);
        sim.cancel(&desk, &[0, 1, 2]);
        returned(sim).await;
    });
}
