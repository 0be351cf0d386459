//! Bounds on the work of one scheduling cycle on a large fleet.

use super::*;
use crate::settings::Settings;

/// Number of machines of the fleet.
const MACHINES: usize = 4000;
/// Share of a core of a controller of that fleet.
const CORE_SHARE: f64 = 0.4;
/// Duration of a worker's lease of that fleet in seconds.
const LEASE_S: f64 = 22.0;
/// Part of the leader lease in which a cycle must end, as the lease is renewed five times in its duration.
const MAX_LEASE_PART: f64 = 0.25;
/// Processor time of a preemption plan in microseconds.
const PLAN_US: f64 = 2.6;

fn fleet_settings() -> Settings {
    let mut settings = settings();
    settings.params.limits.core_share = Some(CORE_SHARE);
    settings.params.workers.lease_s = LEASE_S;
    settings
}

/// Returns the number of preemption plans that a cycle may make.
fn max_plans(settings: &Settings) -> u64 {
    let cycle_us = settings.leader_lease_ttl_ms() as f64 * 1000.0 * MAX_LEASE_PART;
    (cycle_us * CORE_SHARE / PLAN_US) as u64
}

/// Returns a cluster whose machines are full of ordinary work, with this number of urgent jobs of four tasks each.
fn full_cluster(urgent_jobs: u64) -> ClusterState {
    let mut state = cluster(&[("a", false); MACHINES]);
    let of_blue = |id: String, shape, tasks| Spec { team: "blue".into(), ..spec(&id, shape, tasks, 1.0) };
    for number in 0..MACHINES as u64 / 5 {
        add_job(&mut state, of_blue(format!("run-1{number:05}"), Shape::Batch, 40), number);
    }
    assert_eq!(run_cycle(&mut state, 1).starts.len(), 8 * MACHINES, "the machines are full");
    for number in 0..urgent_jobs {
        let replicas = of_blue(format!("run-2{number:05}"), Shape::Service, 4);
        add_job(&mut state, Spec { urgency: Urgency::High, ..replicas }, 1000 + number);
    }
    state
}

// Guards against a cycle that outlasts the leader lease, so that the leader loses the partition in the middle of it and
// the next leader begins with the same work.
#[test]
fn a_cycle_for_a_burst_of_urgent_work_on_4000_full_machines_ends_within_the_leader_lease() {
    let (settings, mut state) = (fleet_settings(), full_cluster(400));
    let policy = Policy::new(&settings, &OperatorSettings::default(), 0);
    let decisions = schedule(&mut state, &policy, 2000, 2000, Urgency::Low, || 1);
    let (plans, max_plans) = (decisions.preemption_plans, max_plans(&settings));
    assert!(plans <= max_plans, "{plans} preemption plans, at most {max_plans}");
    assert!(!decisions.stops.is_empty());
}
