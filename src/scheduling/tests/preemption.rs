//! Tests of preemption by urgency and by guarantees.

use super::*;

#[test]
fn more_urgent_work_preempts_and_equally_urgent_work_does_not() {
    let mut state = cluster(&[("a", false)]);
    add_job(&mut state, spec("run-000001", Shape::Batch, 8, 1.0), 0);
    run_cycle(&mut state, 1);
    add_job(&mut state, spec("run-000002", Shape::Batch, 1, 1.0), 0);
    assert!(run_cycle(&mut state, 2).stops.is_empty());
    let mut job_spec = spec("run-000003", Shape::Service, 1, 1.0);
    job_spec.urgency = Urgency::High;
    add_job(&mut state, job_spec, 0);
    assert_eq!(run_cycle(&mut state, 3).stops.len(), 1);
    assert!(run_cycle(&mut state, 4).stops.is_empty(), "capacity is being freed already");
}

#[test]
fn a_team_below_its_guarantee_preempts_only_what_exceeds_the_guarantee_of_another() {
    let mut state = cluster(&[("a", false)]);
    add_job(&mut state, spec("run-000001", Shape::Batch, 8, 1.0), 0);
    run_cycle(&mut state, 1); // red: 8 of 8 guaranteed
    let mut job_spec = spec("run-000002", Shape::Batch, 8, 1.0);
    job_spec.team = "blue".into();
    add_job(&mut state, job_spec, 0);
    assert!(run_cycle(&mut state, 2).stops.is_empty(), "red is within its guarantee");
    let mut state = cluster(&[("a", false)]);
    let mut job_spec = spec("run-000001", Shape::Batch, 8, 1.0);
    job_spec.team = "blue".into(); // 8 of 4 guaranteed
    add_job(&mut state, job_spec, 0);
    run_cycle(&mut state, 1);
    add_job(&mut state, spec("run-000002", Shape::Batch, 8, 1.0), 0);
    assert!(run_cycle(&mut state, 2).stops.is_empty(), "running tasks are not stopped at once");
    let later = policy().gang_reservation_ms + 2;
    assert_eq!(run_cycle(&mut state, later).stops.len(), 4, "blue keeps its four guaranteed accelerators");
    assert!(run_cycle(&mut state, later + 1).stops.is_empty());
}

// Tasks without accelerators of a team without a guarantee counted as within its guarantee. They preempted
// array tasks of guaranteed teams thousands of times a minute, and these took the capacity back each time.
#[test]
fn a_team_without_a_guarantee_preempts_nothing_and_is_preempted_by_a_guaranteed_team() {
    let mut policy = policy();
    policy.teams.insert("guest".into(), TeamRule { guarantee: Demand::default(), ..policy.teams["blue"] });
    let mut attempt = 0;
    let mut run_cycle = |cluster: &mut ClusterState, now: u64| {
        schedule(cluster, &policy, now, now, Urgency::Low, || {
            attempt += 1;
            attempt
        })
    };
    let mut cluster = cluster(&[("a", false)]);
    let mut of_blue = spec("run-000001", Shape::Batch, 8, 1.0);
    of_blue.team = "blue".into(); // 8 of 4 guaranteed
    of_blue.demand.cpus = 4.0;
    add_job(&mut cluster, of_blue.clone(), 0);
    assert_eq!(run_cycle(&mut cluster, 1).starts.len(), 8);
    let mut of_guest = spec("run-000002", Shape::Batch, 2, 0.0);
    of_guest.team = "guest".into();
    of_guest.demand.cpus = 16.0;
    add_job(&mut cluster, of_guest.clone(), 2);
    let waited_long = 3 + policy.gang_reservation_ms;
    assert!(run_cycle(&mut cluster, waited_long).stops.is_empty(), "the guest team has no guarantee");

    // In the opposite case the guest team is preempted by a guaranteed team.
    let mut cluster = super::tests::cluster(&[("a", false)]);
    add_job(&mut cluster, of_guest, 0);
    assert_eq!(run_cycle(&mut cluster, 1).starts.len(), 2);
    add_job(&mut cluster, of_blue, 2);
    assert!(!run_cycle(&mut cluster, waited_long).stops.is_empty(), "blue is guaranteed four accelerators");
}

// An urgent replica with a start objective of one second waited three seconds until an array task of a team
// without a guarantee had saved its checkpoint.
#[test]
fn an_array_task_gets_time_to_save_only_if_the_preemptor_still_meets_its_objective() {
    let stop_after = |image_ready: bool, waited_ms: u64, shape: Shape| {
        let mut cluster = cluster(&[("a", false)]);
        let mut victim = spec("run-000001", shape, 1, 8.0);
        victim.image = "other".into();
        (victim.checkpoint_s, victim.save_s) = (30.0, 1.5);
        add_job(&mut cluster, victim, 0);
        run_cycle(&mut cluster, 1);
        let host = cluster.host_mut(0).unwrap();
        host.use_image("i", 10.0, 100.0, 1);
        host.images.iter_mut().for_each(|image| image.ready = image_ready);
        let mut replica = spec("run-000002", Shape::Service, 1, 8.0);
        replica.urgency = Urgency::High;
        add_job(&mut cluster, replica, 10_000);
        let stops = run_cycle(&mut cluster, 10_000 + waited_ms).stops;
        assert_eq!(stops.len(), 1);
        stops[0].grace_s
    };
    // The start objective is 2 s.
    assert_eq!(stop_after(true, 100, Shape::Batch), 1.5, "there is time to save");
    assert_eq!(stop_after(true, 1000, Shape::Batch), 0.0, "saving would make the replica late");
    assert_eq!(stop_after(true, 1000, Shape::Gang), 1.5, "a gang would lose too much unsaved work");
    assert_eq!(stop_after(false, 1000, Shape::Batch), 1.5, "the fetch of its image makes the replica late anyway");
}
