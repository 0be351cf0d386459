//! Users who reach the controllers through a load balancer that skips nodes which are not ready.

use crate::scenario::{others, run_with_seeds, seconds, submit_long_jobs};
use badgerdrift_stand_ins::load_balancer::{LoadBalancer, NodeHealth};
use badgerdrift_stand_ins::net::Cut;
use badgerdrift_stand_ins::{NODES, Sim, controller, state_of, users};
use std::time::Duration;
use tokio::time::Instant;

/// Time after the last fault within which each accepted job must be answered: half of the 75 s of the protocol. The
/// other half is for the load of a large deployment.
const ANSWER_LIMIT: Duration = Duration::from_millis(37_500);
/// Run time, in seconds, of jobs that outlast the scenarios.
const LONG_S: f64 = 400.0;
/// Pauses between outages: the load balancer skips a node for twice as long after each further removal.
const PAUSES_S: [u64; 6] = [8, 11, 17, 29, 53, 0];
/// Duration of an outage.
const OUTAGE: Duration = Duration::from_secs(7);

/// Time within which the load balancer no longer chooses an isolated controller.
const ISOLATION_LIMIT: Duration = Duration::from_secs(12);

/// Cuts a controller off from the state service and from the other controllers, or reconnects it.
fn isolate(sim: &Sim, node: usize, cut: Option<Cut>) {
    sim.cut(controller(node), state_of(node), cut);
    others(node).into_iter().for_each(|other| sim.cut(controller(node), controller(other), cut));
}

/// Interrupts the state service repeatedly, with `during` halfway in each outage, and asserts that the users of all
/// jobs are answered soon after the last outage.
async fn repeat_outages(sim: &mut Sim, mut during: impl FnMut(&mut Sim)) {
    let ids = submit_long_jobs(sim, LONG_S).await;
    let balancer = LoadBalancer::start(&sim.context);
    ids.iter().for_each(|id| balancer.poll(id));
    sim.run(seconds(10)).await;
    assert_eq!(balancer.healthy_nodes().len(), NODES, "seed {}: before the outages", sim.context.seed);
    for pause_s in PAUSES_S {
        sim.state_down(true);
        sim.run(OUTAGE / 2).await;
        during(sim);
        sim.run(OUTAGE / 2).await;
        sim.state_down(false);
        sim.run(seconds(pause_s)).await;
    }
    let end = Instant::now();
    sim.run(ANSWER_LIMIT).await;
    let unanswered = balancer.unanswered_since(&ids, end);
    assert!(
        unanswered.is_empty(),
        "seed {}: no answer about these jobs within {ANSWER_LIMIT:?} of the last outage: {unanswered:?}",
        sim.context.seed
    );
}

/// Probes a node every second for this long, with this outcome each, and returns when it first was healthy.
fn probe_for(health: &mut NodeHealth, now: &mut Instant, count: u64, succeeds: bool) -> Option<Instant> {
    let mut healthy_at = None;
    for _ in 0..count {
        *now += seconds(1);
        health.record_probe(*now, succeeds);
        healthy_at = healthy_at.or(health.is_healthy().then_some(*now));
    }
    healthy_at
}

// Guards against a stand-in that is kinder than the load balancer of the protocol.
#[test]
fn a_node_that_is_removed_again_within_two_minutes_stays_out_for_twice_as_long() {
    let (mut health, mut now) = (NodeHealth::default(), Instant::now());
    assert!(probe_for(&mut health, &mut now, 1, true).is_some(), "one success suffices at first");
    for pause_s in [3, 6, 12, 24, 48, 60, 60] {
        probe_for(&mut health, &mut now, 2, false);
        assert!(!health.is_healthy(), "removed after two failures in a row");
        let removed = now;
        let healthy_at = probe_for(&mut health, &mut now, 70, true).expect("healthy after the pause");
        assert_eq!(healthy_at - removed, seconds(pause_s));
    }
    probe_for(&mut health, &mut now, 120, true);
    probe_for(&mut health, &mut now, 2, false);
    let removed = now;
    assert_eq!(probe_for(&mut health, &mut now, 10, true).map(|at| at - removed), Some(seconds(3)));
}

// Guards against controllers that all leave the load balancer in an outage that is the same for all of them, so that it
// skips all of them for up to a minute after the outage.
#[test]
fn repeated_outages_of_the_state_service_do_not_shut_users_out_afterwards() {
    run_with_seeds(async |sim| repeat_outages(sim, |_| {}).await);
}

// Guards against the same while nobody leads: each outage also ends the leader.
#[test]
fn repeated_outages_with_an_ended_leader_do_not_shut_users_out_afterwards() {
    run_with_seeds(async |sim| {
        let mut outages = 0;
        repeat_outages(sim, |sim| {
            let node = outages % NODES;
            outages += 1;
            sim.kill(node);
            sim.start(node);
        })
        .await;
    });
}

// Guards against users who are sent to a controller that can do nothing for them: it reaches neither the state service
// nor another controller.
#[test]
fn an_isolated_controller_leaves_the_load_balancer_and_returns() {
    run_with_seeds(async |sim| {
        let balancer = LoadBalancer::start(&sim.context);
        sim.run(seconds(10)).await;
        for (node, cut) in [(0, Cut::Hold), (1, Cut::Refuse), (2, Cut::Hold)] {
            isolate(sim, node, Some(cut));
            sim.run(ISOLATION_LIMIT).await;
            assert_eq!(balancer.healthy_nodes(), others(node), "seed {}: {cut:?}", sim.context.seed);
            isolate(sim, node, None);
            sim.run(seconds(15)).await;
            assert_eq!(balancer.healthy_nodes().len(), NODES, "seed {}: after {cut:?}", sim.context.seed);
        }
    });
}

// Guards against a controller that leaves although it serves users through the leader: the state service refuses it alone.
#[test]
fn a_controller_that_the_state_service_refuses_alone_stays_and_serves_users() {
    run_with_seeds(async |sim| {
        let ids = submit_long_jobs(sim, 60.0).await;
        let balancer = LoadBalancer::start(&sim.context);
        let refused = others(sim.leader().expect("there is a leader"))[0];
        sim.run(seconds(5)).await;
        sim.refuse_state(refused, true);
        sim.run(ISOLATION_LIMIT).await;
        assert_eq!(balancer.healthy_nodes().len(), NODES, "seed {}", sim.context.seed);
        for id in &ids {
            assert!(users::poll(&sim.context, id, refused).await, "seed {}: {id}", sim.context.seed);
        }
        sim.refuse_state(refused, false);
    });
}
