//! Tests of what is stopped for other work, and of guarantees.

use super::*;

#[test]
fn the_more_urgent_preempts_and_equals_do_not() {
    let mut w = cluster(&[("a", false)]);
    add(&mut w, spec("run-000001", Shape::Batch, 8, 1.0), 0);
    run(&mut w, 1);
    add(&mut w, spec("run-000002", Shape::Batch, 1, 1.0), 0);
    assert!(run(&mut w, 2).stops.is_empty());
    let mut s = spec("run-000003", Shape::Service, 1, 1.0);
    s.urgency = Urgency::High;
    add(&mut w, s, 0);
    assert_eq!(run(&mut w, 3).stops.len(), 1);
    assert!(run(&mut w, 4).stops.is_empty(), "room is on its way");
}

#[test]
fn guarantees_are_given_back_without_two_teams_taking_turns() {
    let mut w = cluster(&[("a", false)]);
    add(&mut w, spec("run-000001", Shape::Batch, 8, 1.0), 0);
    run(&mut w, 1); // red: 8 of 8 guaranteed
    let mut s = spec("run-000002", Shape::Batch, 8, 1.0);
    s.team = "blue".into();
    add(&mut w, s, 0);
    assert!(run(&mut w, 2).stops.is_empty(), "red is within its guarantee");
    let mut w = cluster(&[("a", false)]);
    let mut s = spec("run-000001", Shape::Batch, 8, 1.0);
    s.team = "blue".into(); // 8 of 4 guaranteed
    add(&mut w, s, 0);
    run(&mut w, 1);
    add(&mut w, spec("run-000002", Shape::Batch, 8, 1.0), 0);
    assert!(run(&mut w, 2).stops.is_empty(), "what has begun is not stopped at once");
    let later = policy().hold_ms + 2;
    assert_eq!(run(&mut w, later).stops.len(), 4, "blue keeps its own four");
    assert!(run(&mut w, later + 1).stops.is_empty());
}

// A guest team's tasks without accelerators took none of its guarantee of nothing, and so
// stopped the arrays of guaranteed teams thousands of times a minute, which took the room
// back each time.
#[test]
fn a_team_without_a_guarantee_stops_nobody_and_gives_room_back() {
    let mut policy = policy();
    policy.teams.insert("guest".into(), TeamRule { guarantee: Demand::default(), ..policy.teams["blue"] });
    let mut attempt = 0;
    let mut run = |cluster: &mut ClusterState, now: u64| {
        schedule(cluster, &policy, now, now, Urgency::Low, || {
            attempt += 1;
            attempt
        })
    };
    let mut cluster = cluster(&[("a", false)]);
    let mut of_blue = spec("run-000001", Shape::Batch, 8, 1.0);
    of_blue.team = "blue".into(); // 8 of 4 guaranteed
    of_blue.demand.cpus = 4.0;
    add(&mut cluster, of_blue.clone(), 0);
    assert_eq!(run(&mut cluster, 1).starts.len(), 8);
    let mut of_guest = spec("run-000002", Shape::Batch, 2, 0.0);
    of_guest.team = "guest".into();
    of_guest.demand.cpus = 16.0;
    add(&mut cluster, of_guest.clone(), 2);
    let waited_long = 3 + policy.hold_ms;
    assert!(run(&mut cluster, waited_long).stops.is_empty(), "the guest is guaranteed nothing");

    // The other way round the guest gives way to a guarantee.
    let mut cluster = super::tests::cluster(&[("a", false)]);
    add(&mut cluster, of_guest, 0);
    assert_eq!(run(&mut cluster, 1).starts.len(), 2);
    add(&mut cluster, of_blue, 2);
    assert!(!run(&mut cluster, waited_long).stops.is_empty(), "blue is guaranteed four accelerators");
}

// A lookup wanted within a second waited three for a guest's array task to save.
#[test]
fn an_array_task_saves_only_if_what_stops_it_is_still_in_time() {
    let stop_after = |image_ready: bool, waited_ms: u64, shape: Shape| {
        let mut cluster = cluster(&[("a", false)]);
        let mut victim = spec("run-000001", shape, 1, 8.0);
        victim.image = "other".into();
        (victim.checkpoint_s, victim.save_s) = (30.0, 1.5);
        add(&mut cluster, victim, 0);
        run(&mut cluster, 1);
        let host = cluster.host_mut(0).unwrap();
        host.use_image("i", 10.0, 100.0, 1);
        host.images.iter_mut().for_each(|i| i.ready = image_ready);
        let mut lookup = spec("run-000002", Shape::Service, 1, 8.0);
        lookup.urgency = Urgency::High;
        add(&mut cluster, lookup, 10_000);
        let stops = run(&mut cluster, 10_000 + waited_ms).stops;
        assert_eq!(stops.len(), 1);
        stops[0].grace_s
    };
    // Wanted within 2 s.
    assert_eq!(stop_after(true, 100, Shape::Batch), 1.5, "there is time to save");
    assert_eq!(stop_after(true, 1000, Shape::Batch), 0.0, "it would be late by the saving");
    assert_eq!(stop_after(true, 1000, Shape::Gang), 1.5, "a gang loses too much");
    assert_eq!(stop_after(false, 1000, Shape::Batch), 1.5, "it is late by its image all the same");
}
