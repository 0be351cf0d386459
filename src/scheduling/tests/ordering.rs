//! Tests of deadline bins, of the order of placement and of gangs.

use super::*;

#[test]
fn deadlines_follow_the_settings_and_bins_count_from_the_start() {
    let policy = policy();
    assert_eq!(
        (policy.deadline_bin(0), policy.deadline_bin(4999), policy.deadline_bin(5000), policy.deadline_bin(12_000)),
        (0, 0, 1, 2)
    );
    let mut job_spec = spec("run-000001", Shape::Batch, 1, 1.0);
    let deadline = |spec: &Spec| policy.soft_deadline_ms(&Job::new(spec.clone(), 1000, 0));
    assert_eq!(deadline(&job_spec), 3000, "the start objective of the class");
    job_spec.class = "other".into();
    assert_eq!(deadline(&job_spec), 601_000, "ten minutes by default");
    job_spec.due_s = Some(50.0);
    assert_eq!(deadline(&job_spec), 51_000);
    // A job that can no longer meet its deadline does not starve jobs that can.
    let job = Job::new(job_spec, 1000, 0);
    assert_eq!(policy.effective_deadline_ms(&job, 10_000), 51_000);
    assert!(policy.effective_deadline_ms(&job, 50_000) > 51_000);
    assert!(policy.effective_deadline_ms(&job, 80_000) > 600_000);
}

#[test]
fn jobs_are_placed_in_the_order_of_their_deadline_bins() {
    let mut state = cluster(&[("a", false)]);
    for (id, due) in [("run-000001", 500.0), ("run-000002", 100.0), ("run-000003", 300.0)] {
        let mut job_spec = spec(id, Shape::Batch, 4, 1.0);
        job_spec.due_s = Some(due);
        add_job(&mut state, job_spec, 0);
    }
    let decisions = run_cycle(&mut state, 1);
    let placed: Vec<JobIndex> = decisions.starts.iter().map(|start| start.key.job).collect();
    assert_eq!(placed, [1, 1, 1, 1, 2, 2, 2, 2]);
    assert_eq!(decisions.pending_jobs, [0]);
}

#[test]
fn a_gang_starts_only_whole_and_capacity_is_reserved_for_the_first_gang() {
    let mut state = cluster(&[("a", false), ("a", false)]);
    add_job(&mut state, spec("run-000001", Shape::Batch, 6, 1.0), 0);
    run_cycle(&mut state, 1);
    let mut gang = spec("run-000002", Shape::Gang, 2, 8.0);
    gang.team = "blue".into();
    add_job(&mut state, gang, 0);
    let decisions = run_cycle(&mut state, 2);
    assert!(decisions.starts.is_empty() && decisions.stops.is_empty(), "only one of the two machines has capacity");
    // Neither the reserved capacity nor capacity that is released is given to other jobs.
    add_job(&mut state, spec("run-000003", Shape::Batch, 4, 1.0), 5000);
    assert!(run_cycle(&mut state, 3).starts.is_empty());
    // The reservation is limited in time, so that no other job starves.
    let gang_reservation_ms = policy().gang_reservation_ms;
    assert!(run_cycle(&mut state, 4 + gang_reservation_ms).starts.iter().any(|start| start.key.job == 2));
}

#[test]
fn jobs_that_can_never_run_are_refused_with_the_reason() {
    let policy = policy();
    let instance_types = [instance_type("g8", 8.0, &["a"])];
    let schedulable = spec("run-000001", Shape::Batch, 100, 8.0);
    assert_eq!(unschedulable_reason(&schedulable, &policy, &instance_types), None);
    let with = |change: fn(&mut Spec)| {
        let mut changed = schedulable.clone();
        change(&mut changed);
        unschedulable_reason(&changed, &policy, &instance_types)
    };
    assert!(with(|spec| spec.team = "green".into()).unwrap().to_string().starts_with("owner"));
    assert!(with(|spec| spec.demand.gpus = 9.0).is_some());
    assert!(with(|spec| spec.instance_types = Some(vec!["x".into()])).is_some());
    assert!(with(|spec| spec.zone = Some("b".into())).is_some());
    assert!(with(|spec| spec.shape = Shape::Gang).unwrap().to_string().contains("limit"));
    assert!(with(|spec| spec.team = "blue".into()).is_none(), "0 means no limit");
}

// Found by reading: after a failover without recorded instance types their list grows between a plan and the
// next cycle. The controller must not panic.
#[test]
fn a_cycle_works_if_an_instance_type_became_known_after_the_plan() {
    let mut state = cluster(&[("a", false)]);
    let instance_types = std::mem::take(&mut state.instance_types);
    let class_arrivals = ClassArrivals { spec: spec("run-000001", Shape::Service, 1, 1.0), rate: 1.0, mean_burst: 1.0 };
    state.expected_demands = expected_demands(&state, &policy(), &[class_arrivals]);
    state.instance_types = instance_types;
    let mut other = spec("run-000002", Shape::Service, 1, 0.0);
    other.class = "other".into();
    add_job(&mut state, other, 0);
    assert_eq!(run_cycle(&mut state, 1).starts.len(), 1);
}

// The cost of decisions was proportional to waiting tasks times machines times running tasks, so that a
// scheduling cycle took seconds. Found in a run of a large deployment.
#[test]
fn a_cycle_examines_each_of_300_full_machines_once_per_kind_of_work() {
    let mut state = cluster(&[("a", false); 300]);
    // Blue has no limit.
    let of_blue = |id: String, shape, tasks| Spec { team: "blue".into(), ..spec(&id, shape, tasks, 1.0) };
    for number in 0..60 {
        add_job(&mut state, of_blue(format!("run-1{number:05}"), Shape::Batch, 40), number);
    }
    assert_eq!(run_cycle(&mut state, 1).starts.len(), 2400, "the machines are full");
    for number in 0..200 {
        add_job(&mut state, of_blue(format!("run-2{number:05}"), Shape::Batch, 40), 1000 + number);
    }
    let decisions = run_cycle(&mut state, 1100);
    assert_eq!((decisions.pending_jobs.len(), decisions.starts.len()), (200, 0));
    assert!(decisions.hosts_examined <= 2 * 300, "{} machines examined", decisions.hosts_examined);
    // More urgent work finds machines with one examination of each machine per task.
    let mut job_spec = of_blue("run-300000".into(), Shape::Service, 4);
    job_spec.urgency = Urgency::High;
    add_job(&mut state, job_spec, 1100);
    let decisions = run_cycle(&mut state, 1200);
    assert_eq!(decisions.stops.len(), 4);
    assert!(decisions.hosts_examined <= 9 * 300, "{} machines examined", decisions.hosts_examined);
}

// An array of 100,000 short tasks filled all machines, and the reports of 50,000 attempts exceeded the memory
// of the controllers.
#[test]
fn work_of_the_lowest_urgency_starts_no_more_attempts_than_the_limit() {
    let mut policy = policy();
    policy.max_attempts = 5;
    let mut attempt = 0;
    let mut run_cycle = |cluster: &mut ClusterState, now| {
        schedule(cluster, &policy, now, now, Urgency::Low, || {
            attempt += 1;
            attempt
        })
    };
    let mut cluster = cluster(&[("a", false), ("a", false)]);
    let mut low_urgency_job = spec("run-000001", Shape::Batch, 10, 1.0);
    low_urgency_job.urgency = Urgency::Low;
    add_job(&mut cluster, low_urgency_job, 0);
    let first = run_cycle(&mut cluster, 1);
    assert_eq!(first.starts.len(), 5);
    assert!(first.pending_jobs.is_empty(), "no machine is requested for the rest");
    add_job(&mut cluster, spec("run-000002", Shape::Batch, 3, 1.0), 0);
    assert_eq!(run_cycle(&mut cluster, 2).starts.len(), 3, "the limit does not apply to more urgent work");
    let ended = first.starts[0];
    cluster.host_mut(ended.host).unwrap().attempts.retain(|attempt| attempt.attempt != ended.attempt);
    cluster.jobs[0].tasks.update(ended.key.task, |task| task.place = Place::Done);
    assert!(run_cycle(&mut cluster, 3).starts.is_empty(), "seven attempts are left");
    cluster.hosts.iter_mut().flatten().for_each(|host| host.attempts.retain(|attempt| attempt.key.job == 0));
    assert_eq!(run_cycle(&mut cluster, 4).starts.iter().filter(|start| start.key.job == 0).count(), 1);
}

// Computing the free capacity of all machines although no work waited was a large part of the cost of a
// report.
#[test]
fn a_cycle_without_waiting_work_only_removes_expired_reservations() {
    let mut state = cluster(&[("a", false)]);
    let job = add_job(&mut state, spec("run-000001", Shape::Batch, 1, 1.0), 0);
    assert_eq!(run_cycle(&mut state, 1).starts.len(), 1);
    let reservation = |until_ms| Reservation::of_job(job, Demand::default(), until_ms);
    state.host_mut(0).unwrap().reservations = vec![reservation(5), reservation(9)];
    state.accelerators_insufficient = true;
    let decisions = run_cycle(&mut state, 5);
    assert!(decisions.starts.is_empty() && decisions.stops.is_empty() && decisions.pending_jobs.is_empty());
    let left: Vec<u64> = state.host(0).unwrap().reservations.iter().map(|reservation| reservation.until_ms).collect();
    assert_eq!(left, [9]);
    assert!(!state.accelerators_insufficient, "no work with accelerators waits");
}
