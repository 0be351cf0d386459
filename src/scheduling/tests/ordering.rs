//! Tests of bins, of the order of work and of gangs.

use super::*;

#[test]
fn bins_count_from_the_start_in_their_width() {
    let p = policy();
    assert_eq!((p.bin(0), p.bin(4999), p.bin(5000), p.bin(12_000)), (0, 0, 1, 2));
    let mut s = spec("run-000001", Shape::Batch, 1, 1.0);
    let deadline = |s: &Spec| p.soft_deadline_ms(&Job::new(s.clone(), 1000, 0));
    assert_eq!(deadline(&s), 3000, "the class's start objective");
    s.class = "other".into();
    assert_eq!(deadline(&s), 601_000, "ten minutes by default");
    s.due_s = Some(50.0);
    assert_eq!(deadline(&s), 51_000);
    // What can't be in time any more does not starve what can.
    let job = Job::new(s, 1000, 0);
    assert_eq!(p.effective_deadline_ms(&job, 10_000), 51_000);
    assert!(p.effective_deadline_ms(&job, 50_000) > 51_000);
    assert!(p.effective_deadline_ms(&job, 80_000) > 600_000);
}

#[test]
fn the_lowest_bin_goes_first() {
    let mut w = cluster(&[("a", false)]);
    for (id, due) in [("run-000001", 500.0), ("run-000002", 100.0), ("run-000003", 300.0)] {
        let mut s = spec(id, Shape::Batch, 4, 1.0);
        s.due_s = Some(due);
        add(&mut w, s, 0);
    }
    let out = run(&mut w, 1);
    let placed: Vec<JobIndex> = out.starts.iter().map(|s| s.key.job).collect();
    assert_eq!(placed, [1, 1, 1, 1, 2, 2, 2, 2]);
    assert_eq!(out.pending_jobs, [0]);
}

#[test]
fn a_gang_starts_whole_and_room_is_held_for_the_leading_one() {
    let mut w = cluster(&[("a", false), ("a", false)]);
    add(&mut w, spec("run-000001", Shape::Batch, 6, 1.0), 0);
    run(&mut w, 1);
    let mut gang = spec("run-000002", Shape::Gang, 2, 8.0);
    gang.team = "blue".into();
    add(&mut w, gang, 0);
    let out = run(&mut w, 2);
    assert!(out.starts.is_empty() && out.stops.is_empty(), "one of two places is no place");
    // The held room is not given to others meanwhile, nor what frees.
    add(&mut w, spec("run-000003", Shape::Batch, 4, 1.0), 5000);
    assert!(run(&mut w, 3).starts.is_empty());
    // The hold is bounded, so that nobody starves.
    let hold = policy().hold_ms;
    assert!(run(&mut w, 4 + hold).starts.iter().any(|s| s.key.job == 2));
}

#[test]
fn impossible_jobs_are_told_apart() {
    let p = policy();
    let f = [instance_type("g8", 8.0, &["a"])];
    let ok = spec("run-000001", Shape::Batch, 100, 8.0);
    assert_eq!(unschedulable_reason(&ok, &p, &f), None);
    let with = |change: fn(&mut Spec)| {
        let mut s = ok.clone();
        change(&mut s);
        unschedulable_reason(&s, &p, &f)
    };
    assert!(with(|s| s.team = "green".into()).unwrap().to_string().starts_with("owner"));
    assert!(with(|s| s.demand.gpus = 9.0).is_some());
    assert!(with(|s| s.instance_types = Some(vec!["x".into()])).is_some());
    assert!(with(|s| s.zone = Some("b".into())).is_some());
    assert!(with(|s| s.shape = Shape::Gang).unwrap().to_string().contains("limit"));
    assert!(with(|s| s.team = "blue".into()).is_none(), "0 means no limit");
}

#[test]
fn a_machine_type_may_become_known_between_a_plan_and_a_pass() {
    let mut w = cluster(&[("a", false)]);
    let instance_types = std::mem::take(&mut w.instance_types);
    let flow = ClassFlow { spec: spec("run-000001", Shape::Service, 1, 1.0), rate: 1.0, burst: 1.0 };
    w.reserves = reserves(&w, &policy(), &[flow]);
    w.instance_types = instance_types;
    let mut other = spec("run-000002", Shape::Service, 1, 0.0);
    other.class = "other".into();
    add(&mut w, other, 0);
    assert_eq!(run(&mut w, 1).starts.len(), 1);
}

// Found on suva grown: decisions cost waiting tasks times machines times running
// tasks, and a scheduling cycle took seconds.
#[test]
fn a_pass_over_three_hundred_full_machines_looks_at_each_once_for_a_kind_of_work() {
    let mut w = cluster(&[("a", false); 300]);
    // Blue has no limit.
    let blue = |id: String, shape, tasks| Spec { team: "blue".into(), ..spec(&id, shape, tasks, 1.0) };
    for n in 0..60 {
        add(&mut w, blue(format!("run-1{n:05}"), Shape::Batch, 40), n);
    }
    assert_eq!(run(&mut w, 1).starts.len(), 2400, "the machines are full");
    for n in 0..200 {
        add(&mut w, blue(format!("run-2{n:05}"), Shape::Batch, 40), 1000 + n);
    }
    let out = run(&mut w, 1100);
    assert_eq!((out.pending_jobs.len(), out.starts.len()), (200, 0));
    assert!(out.hosts_examined <= 2 * 300, "{} machines looked at", out.hosts_examined);
    // What is more urgent finds its room by one look at each machine a task.
    let mut s = blue("run-300000".into(), Shape::Service, 4);
    s.urgency = Urgency::High;
    add(&mut w, s, 1100);
    let out = run(&mut w, 1200);
    assert_eq!(out.stops.len(), 4);
    assert!(out.hosts_examined <= 9 * 300, "{} machines looked at", out.hosts_examined);
}

// An array of 100,000 short tasks filled all machines: with the reports of fifty thousand attempts
// controllers went beyond their memory.
#[test]
fn work_of_the_lowest_urgency_starts_no_more_than_the_owner_can_follow() {
    let mut policy = policy();
    policy.max_attempts = 5;
    let mut attempt = 0;
    let mut pass_over = |cluster: &mut ClusterState, now| {
        schedule(cluster, &policy, now, now, Urgency::Low, || {
            attempt += 1;
            attempt
        })
    };
    let mut cluster = cluster(&[("a", false), ("a", false)]);
    let mut idle_time_work = spec("run-000001", Shape::Batch, 10, 1.0);
    idle_time_work.urgency = Urgency::Low;
    add(&mut cluster, idle_time_work, 0);
    let first = pass_over(&mut cluster, 1);
    assert_eq!(first.starts.len(), 5);
    assert!(first.pending_jobs.is_empty(), "no machine is rented for the rest");
    add(&mut cluster, spec("run-000002", Shape::Batch, 3, 1.0), 0);
    assert_eq!(pass_over(&mut cluster, 2).starts.len(), 3, "more urgent work is not held back");
    let ended = first.starts[0];
    cluster.host_mut(ended.host).unwrap().attempts.retain(|a| a.attempt != ended.attempt);
    cluster.jobs[0].tasks[ended.key.task as usize].place = Place::Done;
    assert!(pass_over(&mut cluster, 3).starts.is_empty(), "seven are left");
    cluster.hosts.iter_mut().flatten().for_each(|h| h.attempts.retain(|a| a.key.job == 0));
    assert_eq!(pass_over(&mut cluster, 4).starts.iter().filter(|s| s.key.job == 0).count(), 1);
}

// A scheduling cycle that counts all rooms to place nothing was a good part of what a report cost.
#[test]
fn a_pass_without_waiting_work_ends_what_has_run_out_and_decides_nothing() {
    let mut w = cluster(&[("a", false)]);
    let job = add(&mut w, spec("run-000001", Shape::Batch, 1, 1.0), 0);
    assert_eq!(run(&mut w, 1).starts.len(), 1);
    let claim = |until_ms| Reservation::of_job(job, Demand::default(), until_ms);
    w.host_mut(0).unwrap().reservations = vec![claim(5), claim(9)];
    w.accelerators_short = true;
    let out = run(&mut w, 5);
    assert!(out.starts.is_empty() && out.stops.is_empty() && out.pending_jobs.is_empty());
    let left: Vec<u64> = w.host(0).unwrap().reservations.iter().map(|c| c.until_ms).collect();
    assert_eq!(left, [9]);
    assert!(!w.accelerators_short, "no work with accelerators waits");
}
