//! Tests of replicas that move, and of room that is made for them.

use super::*;

#[test]
fn a_replica_moves_out_of_a_gangs_way() {
    // Two machines with room for two, one replica on each.
    let mut w = cluster(&[("a", false), ("a", false)]);
    w.instance_types[0].cap.gpus = 2.0;
    for id in ["run-000001", "run-000003"] {
        add(&mut w, spec(id, Shape::Service, 1, 1.0), 0);
    }
    w.host_mut(0).unwrap().blocked_until_ms = 10;
    run(&mut w, 1);
    w.host_mut(1).unwrap().attempts.truncate(1);
    w.jobs[1].tasks[0].place = Place::Idle;
    w.host_mut(0).unwrap().blocked_until_ms = 0;
    w.host_mut(1).unwrap().blocked_until_ms = 10;
    run(&mut w, 2);
    for h in w.hosts.iter_mut().flatten() {
        h.blocked_until_ms = 0;
        h.image_ready("i");
        assert_eq!(h.attempts.len(), 1);
        h.attempts[0].phase = TaskPhase::Running;
    }
    add(&mut w, spec("run-000002", Shape::Gang, 1, 2.0), 0);
    let settled = 3 * policy().lease_ms + 3;
    assert_eq!(run(&mut w, settled).stops.len(), 1, "a replica moves, as its image is ready on the other");
}

// Found on lanna grown, apart: two of eight replicas stayed down for 19 s, as the
// machine that held room for them was taken out of use.
#[test]
fn a_replica_does_not_wait_for_ever_for_room_that_is_held_elsewhere() {
    let mut w = cluster(&[("a", false), ("a", false)]);
    let job_index = add(&mut w, spec("run-000001", Shape::Service, 1, 1.0), 0);
    let late = 60_000;
    let demand = w.jobs[job_index].spec.demand;
    let h = w.host_mut(0).unwrap();
    h.reservations.push(Reservation::of_job(job_index, demand, late + 50_000));
    h.draining = true;
    assert!(run(&mut w, late).starts.is_empty(), "the other machine has no image");
    assert_eq!(run(&mut w, late + 2 * policy().report_ms).starts.len(), 1);
}

// Found on suva grown, rough: replicas waited 3 s beside room that had been made
// for them, as its image was not there either.
#[test]
fn a_replica_takes_the_room_that_was_made_for_it_at_once() {
    let mut w = cluster(&[("a", false)]);
    add(&mut w, spec("run-000001", Shape::Batch, 8, 1.0), 0);
    run(&mut w, 1);
    let mut s = spec("run-000002", Shape::Service, 1, 1.0);
    (s.urgency, s.image) = (Urgency::High, "cold".into());
    let job_index = add(&mut w, s, 1);
    let stopped = run(&mut w, 2).stops[0];
    w.host_mut(0).unwrap().attempts.retain(|c| c.key != stopped.key);
    w.jobs[0].tasks[stopped.key.task as usize].place = Place::Idle;
    assert!(run(&mut w, 3).starts.iter().any(|s| s.key.job == job_index));
}

// Found by reading, after a failover without the recorded machine types: their
// list grows between a plan and the next cycle, which must not end the controller.
// Found on suva's busy day at the next size: room was held for both replicas in the zone
// that the first of them then filled, and the other waited for the end of the hold.
#[test]
fn room_is_made_for_replicas_where_zones_allow_them_together() {
    let mut w = cluster(&[("a", false), ("a", false), ("b", false)]);
    add(&mut w, Spec { team: "blue".into(), ..spec("run-000001", Shape::Batch, 24, 1.0) }, 0);
    run(&mut w, 1);
    let mut s = Spec { spread: true, ..spec("run-000002", Shape::Service, 2, 4.0) };
    s.urgency = Urgency::High;
    let job_index = add(&mut w, s, 10);
    run(&mut w, 11);
    let zones = |w: &ClusterState| -> Vec<String> {
        w.each_host()
            .filter(|(_, h)| h.reservations.iter().any(|c| c.job == job_index))
            .map(|(_, h)| h.zone.clone())
            .collect()
    };
    assert_eq!(zones(&w), ["a", "b"]);
    // A hold that has become useless is given up.
    let key = TaskKey { job: job_index, task: 0 };
    w.jobs[job_index].tasks[0].place = Place::On(1, 9);
    let demand = w.jobs[job_index].spec.demand;
    w.hosts[1].as_mut().unwrap().attempts = vec![TaskAttempt::sent(key, 9, demand, 12)];
    run(&mut w, 12);
    assert_eq!(zones(&w), ["b"]);
}

// Found on suva's day of losses at the next size: each machine made room for one job at a
// time, so that lost lookups stopped a hundred replicas while arrays ran beside.
#[test]
fn several_jobs_get_room_on_a_machine_before_replicas_are_stopped() {
    let mut w = cluster(&[("a", false), ("a", false)]);
    let blue = |s: Spec| Spec { team: "blue".into(), ..s };
    add(&mut w, blue(spec("run-000001", Shape::Batch, 8, 1.0)), 0);
    run(&mut w, 1);
    let surge = Spec { urgency: Urgency::High, ..blue(spec("run-000002", Shape::Service, 8, 1.0)) };
    add(&mut w, surge, 1);
    run(&mut w, 2);
    for n in 3..9 {
        let s = Spec { urgency: Urgency::Production, ..blue(spec(&format!("run-00000{n}"), Shape::Service, 1, 1.0)) };
        add(&mut w, s, 3);
    }
    let out = run(&mut w, 4);
    let stopped: Vec<JobIndex> = out.stops.iter().map(|s| s.key.job).collect();
    assert_eq!(stopped, [0; 6], "array tasks, on one machine");
}

// Room for a gang on two machines was planned before any of it was carried out: a replica of each
// was to move into the one free place, and the second one was stopped without a place to go.
#[test]
fn replicas_that_move_for_a_gang_have_a_place_each() {
    let mut w = cluster(&[("a", false), ("a", false), ("a", false)]);
    w.instance_types = vec![instance_type("g8", 8.0, &["a"])];
    let replicas: Vec<JobIndex> = (0..2)
        .map(|n| {
            let mut replica = spec(&format!("run-00000{n}"), Shape::Service, 1, 2.0);
            replica.urgency = Urgency::High;
            add(&mut w, replica, 0)
        })
        .collect();
    let settled = 1_000_000;
    for (host, job) in replicas.iter().enumerate() {
        let key = TaskKey { job: *job, task: 0 };
        w.jobs[*job].tasks[0].place = Place::On(host, 1 + host as u64);
        let mut attempt = TaskAttempt::sent(key, 1 + host as u64, w.jobs[*job].spec.demand, 0);
        attempt.phase = TaskPhase::Running;
        w.host_mut(host).unwrap().attempts.push(attempt);
    }
    for host in 0..3 {
        w.host_mut(host).unwrap().use_image("i", 10.0, 100.0, 0);
        w.host_mut(host).unwrap().image_ready("i");
    }
    // Room for one of them is left on the third machine.
    let mut filler = spec("run-000007", Shape::Service, 1, 6.0);
    filler.urgency = Urgency::Production;
    let filler = add(&mut w, filler, 0);
    w.jobs[filler].tasks[0].place = Place::On(2, 9);
    let mut attempt = TaskAttempt::sent(TaskKey { job: filler, task: 0 }, 9, w.jobs[filler].spec.demand, settled);
    attempt.phase = TaskPhase::Running;
    w.host_mut(2).unwrap().attempts.push(attempt);
    // A gang that leads, and one of two tasks that needs both machines whole.
    let mut leads = spec("run-000008", Shape::Gang, 9, 8.0);
    leads.class = "other".into();
    add(&mut w, leads, settled);
    add(&mut w, spec("run-000009", Shape::Gang, 2, 8.0), settled + 1);
    let out = run(&mut w, settled + 2);
    let stopped: Vec<JobIndex> = out.stops.iter().map(|stop| stop.key.job).collect();
    let promised =
        w.each_host().flat_map(|(_, h)| &h.reservations).filter(|claim| replicas.contains(&claim.job)).count();
    assert_eq!(stopped.len(), promised, "each one that is stopped has room to go to: {stopped:?}");
    assert!(stopped.is_empty(), "there is room for one of the two, and the gang needs both to move");
}
