//! Tests of the capacity plan: which machines are requested and which are drained.

use super::*;

fn on_demand() -> InstanceOffering {
    InstanceOffering { instance_type: 0, zone: "a".into(), spot: false }
}

fn spot() -> InstanceOffering {
    InstanceOffering { spot: true, ..on_demand() }
}

fn refused(_offering: &InstanceOffering) -> Availability {
    Availability::Refused
}

#[test]
fn machines_are_requested_of_the_cheapest_available_offering() {
    let mut cluster = cluster(&[]);
    let job = Spec { spot: true, ..spec("run-000001", Shape::Batch, 16, 1.0) };
    add_job(&mut cluster, job, 0);
    let scale_out = |availability: &AvailabilityFn| {
        plan_capacity(&cluster, &policy(), 0, &pending_jobs(&[0]), &[], availability).scale_out
    };
    let count = |requests: &[ScaleOut]| requests.iter().map(|request| request.count).sum::<usize>();
    let requests = scale_out(&all_available);
    assert!(requests.iter().all(|request| request.offering.spot) && count(&requests) == 2, "{requests:?}");
    let requests = scale_out(&|offering| if offering.spot { Availability::Refused } else { all_available(offering) });
    assert!(requests.iter().all(|request| !request.offering.spot) && count(&requests) == 2, "{requests:?}");
    assert!(scale_out(&refused).is_empty());
    let pending_machines = vec![spot(); 2];
    let plan = plan_capacity(&cluster, &policy(), 0, &pending_jobs(&[0]), &pending_machines, &all_available);
    assert!(plan.scale_out.is_empty(), "the pending machines suffice");
}

// Found in simulation (seed 9): between its first report and its registration a machine was neither pending nor
// usable, and another one was requested in its place.
#[test]
fn a_machine_that_has_reported_and_is_not_registered_is_not_requested_again() {
    let mut cluster = cluster(&[("a", false)]);
    add_job(&mut cluster, spec("run-000001", Shape::Batch, 8, 1.0), 0);
    let scale_out = |cluster: &ClusterState| {
        plan_capacity(cluster, &policy(), 0, &pending_jobs(&[0]), &[], &all_available).scale_out
    };
    cluster.hosts[0].as_mut().unwrap().registered = false;
    assert!(scale_out(&cluster).is_empty(), "the machine becomes usable soon");
    cluster.hosts[0].as_mut().unwrap().unanswered_commands = UNREACHABLE_AFTER_UNANSWERED;
    assert_eq!(scale_out(&cluster).len(), 1, "the machine does not answer");
}

#[test]
fn an_underused_machine_is_drained_if_its_replicas_fit_on_a_better_used_one() {
    let mut cluster = cluster(&[("a", false), ("a", false)]);
    for (host_index, replicas) in [(0, 4), (1, 1)] {
        let job = spec(&format!("run-00000{host_index}"), Shape::Service, replicas, 1.0);
        let job_index = add_job(&mut cluster, job, 0);
        for task in 0..replicas {
            let key = TaskKey { job: job_index, task };
            let demand = cluster.jobs[job_index].spec.demand;
            let attempt = TaskAttempt { phase: TaskPhase::Running, ..TaskAttempt::sent(key, 1, demand, 0) };
            cluster.jobs[job_index].tasks.update(task, |task| task.place = Place::OnHost(host_index, 1));
            let host = cluster.host_mut(host_index).unwrap();
            host.attempts.push(attempt);
            host.use_image("i", 10.0, 100.0, 1);
            host.image_ready("i");
        }
    }
    let drains =
        |cluster: &ClusterState, now| plan_capacity(cluster, &policy(), now, &pending_jobs(&[]), &[], &refused).drains;
    assert!(drains(&cluster, 60_000).is_empty(), "a job was pending within the last two boot times");
    let drain = drains(&cluster, 60_001).remove(0);
    assert_eq!((drain.host, drain.migrations.len(), drain.migrations[0].to), (1, 1, 0));
    cluster.host_mut(0).unwrap().images.clear();
    assert!(drains(&cluster, 60_001).is_empty(), "the target does not have the image");
}

// Spot machines cost 3, on-demand machines 10.
#[test]
fn on_demand_machines_are_requested_for_spot_work_if_the_cost_factor_of_spot_is_too_high() {
    let mut cluster = cluster(&[]);
    let job = Spec { spot: true, ..spec("run-000001", Shape::Batch, 8, 1.0) };
    let job_index = add_job(&mut cluster, job, 0);
    let with_spot_at = |factor: f64| {
        move |offering: &InstanceOffering| {
            let cost_factor = if offering.spot { factor } else { 1.0 };
            Availability::Available { cost_factor }
        }
    };
    let scale_out = |factor, pending_machines: &[InstanceOffering]| {
        let work = pending_jobs(std::slice::from_ref(&job_index));
        plan_capacity(&cluster, &policy(), 0, &work, pending_machines, &with_spot_at(factor)).scale_out
    };
    assert_eq!(scale_out(3.0, &[]), [ScaleOut { offering: spot(), count: 1 }]);
    let one_on_demand = [ScaleOut { offering: on_demand(), count: 1 }];
    assert_eq!(scale_out(4.0, &[]), one_on_demand, "all eight tasks fit on one machine");
    assert!(scale_out(4.0, &[on_demand()]).is_empty(), "the pending machine suffices");
}

#[test]
fn a_plan_opens_no_more_machines_of_an_offering_than_one_request_takes() {
    let mut cluster = cluster(&[]);
    // Each task takes a whole machine.
    let in_zone_a = Spec { zone: Some("a".into()), ..spec("run-000001", Shape::Batch, 100_000, 8.0) };
    add_job(&mut cluster, in_zone_a, 0);
    add_job(&mut cluster, spec("run-000002", Shape::Batch, 10, 8.0), 0);
    let scale_out = |jobs: &[JobIndex]| {
        let requests = plan_capacity(&cluster, &policy(), 0, &pending_jobs(jobs), &[], &all_available).scale_out;
        requests.into_iter().map(|request| (request.offering.zone, request.count)).collect::<BTreeMap<_, _>>()
    };
    let zones = |in_a, in_b| BTreeMap::from([("a".to_string(), in_a), ("b".to_string(), in_b)]);
    assert_eq!(scale_out(&[0]), BTreeMap::from([("a".to_string(), MAX_NEW_MACHINES)]));
    assert_eq!(scale_out(&[0, 1]), zones(MAX_NEW_MACHINES, 10), "the other zone is as cheap and below its limit");
    assert_eq!(scale_out(&[1, 0]), zones(MAX_NEW_MACHINES, 5), "the first job is spread over both zones");
}
