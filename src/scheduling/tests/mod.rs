//! Tests of decisions, and jobs and machines for them.

mod borrowing;
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
    Spec, TaskAttempt, TaskKey, TaskPhase, UNREACHABLE_AFTER_MISSES, Urgency,
};
use crate::settings::{Operator, tests::settings};
use proptest::prelude::*;
use std::collections::BTreeMap;

pub(super) fn policy() -> Policy {
    Policy::new(&settings(), &Operator::default(), 0)
}

pub(super) fn instance_type(name: &str, gpus: f64, zones: &[&str]) -> InstanceType {
    InstanceType {
        name: name.into(),
        cap: Demand { cpus: 32.0, gpus, mem: 128.0 },
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 3.0,
        boot_s: 30.0,
        zones: zones.iter().map(|z| z.to_string()).collect(),
    }
}

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

/// Pending jobs, and nothing else to plan for.
pub(super) fn pending_jobs(jobs: &[JobIndex]) -> ExpectedWork<'_> {
    ExpectedWork { pending_jobs: jobs, pool_replicas: &[], upcoming: &[], flows: &[] }
}

pub(super) fn cluster(hosts: &[(&str, bool)]) -> ClusterState {
    let mut w = ClusterState {
        all_reconciled: true,
        instance_types: vec![instance_type("g8", 8.0, &["a", "b"])],
        ..ClusterState::default()
    };
    for (i, (zone, spot)) in hosts.iter().enumerate() {
        let mut h = Host::new(format!("h{i}"), zone.to_string(), *spot, Some(0), 0);
        h.registered = true;
        h.reconciled = true;
        h.addr = Some("10.0.0.1:9000".parse().unwrap());
        w.add_host(h);
    }
    w
}

pub(super) fn all_available(_offering: &InstanceOffering) -> Availability {
    Availability::Available { cost_factor: 1.0 }
}

pub(super) fn add(w: &mut ClusterState, spec: Spec, accepted_ms: u64) -> JobIndex {
    let mut j = Job::new(spec, accepted_ms, 0);
    j.version = 1;
    w.add_job(j)
}

pub(super) fn run(w: &mut ClusterState, now: u64) -> CycleDecisions {
    let mut n = 1000 * now;
    schedule(w, &policy(), now, now, Urgency::Low, || {
        n += 1;
        n
    })
}
