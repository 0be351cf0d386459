//! Tests of jobs that avoid machines on which they failed.

use super::*;

// Found in simulation (random faults, seed 181): the last task of an array was placed on the only faulty machine
// again and again, with growing delays, although it could have run on another one.
#[test]
fn a_job_avoids_a_machine_on_which_it_failed_for_a_limited_time_unless_it_failed_on_all() {
    let mut state = cluster(&[("a", false), ("a", false), ("a", false)]);
    let job_index = add_job(&mut state, spec("run-000001", Shape::Batch, 1, 1.0), 0);
    state.jobs[job_index].failed_on.insert(0);
    state.jobs[job_index].avoid_hosts_until_ms = 2000;
    for host_index in [1, 2] {
        state.hosts[host_index].as_mut().unwrap().preemption_notice = true;
    }
    let is_placed = |state: &mut ClusterState, now| !run_cycle(state, now).starts.is_empty();
    assert!(!is_placed(&mut state, 1000), "only the faulty machine has capacity");
    let requested = plan_capacity(&state, &policy(), 1000, &pending_jobs(&[job_index]), &[], &all_available).scale_out;
    assert_eq!(requested.len(), 1, "another machine is needed");
    let mut failed_on_all = state.jobs[job_index].clone();
    failed_on_all.failed_on.extend([1, 2]);
    let before = std::mem::replace(&mut state.jobs[job_index], failed_on_all);
    assert!(is_placed(&mut state, 1000), "a job that failed on all machines is placed on any of them");
    state.jobs[job_index] = before;
    state.hosts[0].as_mut().unwrap().attempts.clear();
    assert!(is_placed(&mut state, 2000), "the machine is avoided for a limited time");
}

/// Returns a cluster of two machines in two zones, and a gang that needs both and has failed on `failed_on`.
fn failed_gang(failed_on: &[HostIndex]) -> (ClusterState, JobIndex) {
    let mut state = cluster(&[("a", false), ("b", false)]);
    let mut gang = spec("run-000001", Shape::Gang, 2, 1.0);
    gang.spread = true;
    let job_index = add_job(&mut state, gang, 0);
    state.jobs[job_index].failed_on.extend(failed_on);
    state.jobs[job_index].avoid_hosts_until_ms = 2000;
    (state, job_index)
}

// Found in simulation (random faults, seed 497): one of two machines was faulty, and a gang was placed on it
// again and again.
#[test]
fn a_gang_waits_for_another_machine_if_one_of_two_is_faulty() {
    let (mut state, job_index) = failed_gang(&[0]);
    assert!(run_cycle(&mut state, 1000).starts.is_empty(), "one of the two machines that it needs is faulty");
    let requested = plan_capacity(&state, &policy(), 1000, &pending_jobs(&[job_index]), &[], &all_available).scale_out;
    assert_eq!(
        requested.iter().map(|request| (request.offering.zone.as_str(), request.count)).collect::<Vec<_>>(),
        [("a", 1)]
    );
    let mut another = Host::new("h2".into(), "a".into(), false, Some(0), 0);
    (another.registered, another.reconciled) = (true, true);
    another.addr = Some("10.0.0.1:9000".parse().unwrap());
    state.add_host(another);
    let mut hosts: Vec<HostIndex> = run_cycle(&mut state, 1000).starts.iter().map(|start| start.host).collect();
    hosts.sort_unstable();
    assert_eq!(hosts, [1, 2]);
}

#[test]
fn a_gang_is_placed_on_a_faulty_machine_again_after_a_time_or_if_it_failed_on_both() {
    assert_eq!(run_cycle(&mut failed_gang(&[0]).0, 2000).starts.len(), 2, "the machine is avoided for a limited time");
    assert_eq!(
        run_cycle(&mut failed_gang(&[0, 1]).0, 1000).starts.len(),
        2,
        "a gang that failed on all machines is placed on any of them"
    );
}
