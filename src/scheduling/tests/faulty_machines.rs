//! Tests of jobs that keep away from machines on which they failed.

use super::*;

// Found in simulated time (random faults, seed 181): an array's last task was placed on
// the one faulty machine again and again, ever later, while it would have run elsewhere.
#[test]
fn a_job_keeps_away_for_a_while_from_where_it_failed_unless_it_fails_everywhere() {
    let mut w = cluster(&[("a", false), ("a", false), ("a", false)]);
    let job_index = add(&mut w, spec("run-000001", Shape::Batch, 1, 1.0), 0);
    w.jobs[job_index].failed_on.insert(0);
    w.jobs[job_index].avoid_hosts_until_ms = 2000;
    for h in [1, 2] {
        w.hosts[h].as_mut().unwrap().preemption_notice = true;
    }
    let placed = |w: &mut ClusterState, now| !run(w, now).starts.is_empty();
    assert!(!placed(&mut w, 1000), "only the faulty one has room");
    let requested = plan_capacity(&w, &policy(), 1000, &pending_jobs(&[job_index]), &[], &all_available).scale_out;
    assert_eq!(requested.len(), 1, "so that another is needed");
    let mut everywhere = w.jobs[job_index].clone();
    everywhere.failed_on.extend([1, 2]);
    let before = std::mem::replace(&mut w.jobs[job_index], everywhere);
    assert!(placed(&mut w, 1000), "then the job is at fault");
    w.jobs[job_index] = before;
    w.hosts[0].as_mut().unwrap().attempts.clear();
    assert!(placed(&mut w, 2000), "nor does it wait for ever");
}

/// Two machines in two zones, and a gang that needs both and has failed on these machines.
fn failed_gang(failed_on: &[HostIndex]) -> (ClusterState, JobIndex) {
    let mut w = cluster(&[("a", false), ("b", false)]);
    let mut gang = spec("run-000001", Shape::Gang, 2, 1.0);
    gang.spread = true;
    let job_index = add(&mut w, gang, 0);
    w.jobs[job_index].failed_on.extend(failed_on);
    w.jobs[job_index].avoid_hosts_until_ms = 2000;
    (w, job_index)
}

// Found in simulated time (random faults, seed 497): one of two machines was faulty, and the
// gang returned to it for ever.
#[test]
fn a_gang_waits_for_another_machine_rather_than_return_to_the_faulty_one_of_two() {
    let (mut w, job_index) = failed_gang(&[0]);
    assert!(run(&mut w, 1000).starts.is_empty(), "one of its places is on the faulty machine");
    let requested = plan_capacity(&w, &policy(), 1000, &pending_jobs(&[job_index]), &[], &all_available).scale_out;
    assert_eq!(requested.iter().map(|r| (r.offering.zone.as_str(), r.count)).collect::<Vec<_>>(), [("a", 1)]);
    let mut another = Host::new("h2".into(), "a".into(), false, Some(0), 0);
    (another.registered, another.reconciled) = (true, true);
    another.addr = Some("10.0.0.1:9000".parse().unwrap());
    w.add_host(another);
    let mut hosts: Vec<HostIndex> = run(&mut w, 1000).starts.iter().map(|s| s.host).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [1, 2]);
}

#[test]
fn a_gang_returns_to_the_faulty_machine_of_two_after_a_while_or_if_it_fails_on_both() {
    assert_eq!(run(&mut failed_gang(&[0]).0, 2000).starts.len(), 2, "it does not wait for ever");
    assert_eq!(run(&mut failed_gang(&[0, 1]).0, 1000).starts.len(), 2, "the job is at fault");
}
