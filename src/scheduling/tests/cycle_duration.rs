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

// Guards against urgent work that an interrupted cycle forgets, and against jobs that no preemption helps and that keep
// the others from their turn.
#[test]
fn each_urgent_job_gets_its_turn_in_interrupted_cycles_also_behind_jobs_that_no_preemption_helps() {
    let (settings, mut state) = (fleet_settings(), full_cluster(100));
    let policy = Policy::new(&settings, &OperatorSettings::default(), 0);
    let helpless: Vec<JobIndex> = (0..60).map(|number| add_job(&mut state, helpless_spec(number), 500)).collect();
    let mut attempt = 0;
    let mut cycles = 0;
    let mut interrupted = true;
    while interrupted {
        cycles += 1;
        assert!(cycles < 20, "the cycles never end");
        let decisions = schedule(&mut state, &policy, 2000, 2000, Urgency::Low, || {
            attempt += 1;
            attempt
        });
        // The job that reaches the limit may still examine each machine once.
        assert!(decisions.preemption_plans <= max_plans(&settings) + MACHINES as u64);
        interrupted = decisions.interrupted;
    }
    assert!(cycles > 1, "a cycle was interrupted");
    let reserved: BTreeMap<JobIndex, usize> =
        state.each_host().flat_map(|(_, host)| &host.reservations).fold(BTreeMap::new(), |mut jobs, reservation| {
            *jobs.entry(reservation.job).or_default() += 1;
            jobs
        });
    let urgent = state.runnable_jobs.iter().filter(|job| state.jobs[**job].urgency == Urgency::High);
    let without: Vec<&JobIndex> =
        urgent.filter(|job| !helpless.contains(job) && reserved.get(job).copied().unwrap_or(0) < 4).collect();
    assert!(without.is_empty(), "{} urgent jobs got no capacity in {cycles} cycles", without.len());
    assert!(state.preemption_turns.is_empty(), "the next cycle begins anew");
}

/// Returns an urgent job that comes first and fits on no machine whatever is stopped, in a way of its own.
fn helpless_spec(number: u32) -> Spec {
    let mut helpless = spec(&format!("run-3{number:05}"), Shape::Service, 1, 8.0);
    helpless.team = "blue".into();
    helpless.urgency = Urgency::High;
    helpless.demand.cpus = 32.0;
    helpless.demand.mem = 129.0 + f64::from(number);
    helpless
}
