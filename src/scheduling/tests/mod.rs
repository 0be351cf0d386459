//! Tests of scheduling decisions, and helpers that build jobs and machines for them.

mod borrowing;
mod cycle_duration;
mod faulty_machines;
mod guarantees;
mod ordering;
mod planning;
mod preemption;
mod properties;
mod replicas;

use super::*;
use crate::model::{
    ClusterState, Demand, Host, HostIndex, InstanceOffering, InstanceType, Job, JobIndex, Place, Reservation, Shape,
    Spec, TaskAttempt, TaskKey, TaskPhase, UNREACHABLE_AFTER_UNANSWERED, Urgency,
};
use crate::settings::{OperatorSettings, tests::settings};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Returns the policy of the test settings with the default operator settings.
pub(super) fn policy() -> Policy {
    Policy::new(&settings(), &OperatorSettings::default(), 0)
}

/// Returns an instance type with 32 CPUs that boots in 30 s.
pub(super) fn instance_type(name: &str, gpus: f64, zones: &[&str]) -> InstanceType {
    InstanceType {
        name: name.into(),
        cap: Demand { cpus: 32.0, gpus, mem: 128.0 },
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 3.0,
        boot_s: 30.0,
        zones: zones.iter().map(|zone| zone.to_string()).collect(),
    }
}

/// Returns a job description of class `chat` and team `red` with normal urgency.
pub(super) fn spec(id: &str, shape: Shape, tasks: u32, gpus: f64) -> Spec {
    Spec {
        id: id.into(),
        class: "chat".into(),
        team: "red".into(),
        shape,
        urgency: Urgency::Normal,
        tasks,
        demand: Demand { cpus: 2.0, gpus, mem: 8.0 },
        image: "i".into(),
        image_gb: 10.0,
        instance_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        expected_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: None,
        dependencies: Default::default(),
    }
}

/// Returns expected work that consists of pending jobs only.
pub(super) fn pending_jobs(jobs: &[JobIndex]) -> ExpectedWork<'_> {
    ExpectedWork { pending_jobs: jobs, pool_replicas: &[], upcoming_jobs: &[], arrivals: &[] }
}

/// Returns a reconciled cluster with one usable machine of type `g8` per entry, given as zone and spot flag.
pub(super) fn cluster(hosts: &[(&str, bool)]) -> ClusterState {
    let mut state = ClusterState {
        all_reconciled: true,
        instance_types: vec![instance_type("g8", 8.0, &["a", "b"])],
        ..ClusterState::default()
    };
    for (host_index, (zone, spot)) in hosts.iter().enumerate() {
        let mut host = Host::new(format!("h{host_index}"), zone.to_string(), *spot, Some(0), 0);
        host.registered = true;
        host.reconciled = true;
        host.addr = Some("10.0.0.1:9000".parse().unwrap());
        state.add_host(host);
    }
    state
}

/// Reports each offering as available at its list price.
pub(super) fn all_available(_offering: &InstanceOffering) -> Availability {
    Availability::Available { cost_factor: 1.0 }
}

/// Adds a recorded job that is ready.
pub(super) fn add_job(state: &mut ClusterState, spec: Spec, accepted_ms: u64) -> JobIndex {
    let mut job = Job::new(spec, accepted_ms, 0);
    job.version = 1;
    state.add_job(job)
}

/// Runs a scheduling cycle with the test policy; `now` serves as both clocks.
pub(super) fn run_cycle(state: &mut ClusterState, now: u64) -> CycleDecisions {
    let mut attempt = 1000 * now;
    schedule(state, &policy(), now, now, Urgency::Low, || {
        attempt += 1;
        attempt
    })
}
