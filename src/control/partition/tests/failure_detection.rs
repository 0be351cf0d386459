//! Tests of the detection of unreachable machines and of an isolated leader.

use super::*;

#[test]
fn an_unreachable_machine_keeps_its_tasks_until_its_lease_expires_or_it_is_terminated() {
    let mut partition = partition_with_running_job("service", 1);
    let attempt = attempt_number(&partition, 0);
    partition.heartbeat(
        &heartbeat("h1", 1, 2, 1, vec![task_status("run-000001/0", attempt, "running", None)]),
        StatusSource::Heartbeat,
        2000,
    );
    let mut terminated = Vec::new();
    let mut probes = 0;
    for now in (2000..=7000).step_by(250) {
        let DetectedFailures { to_terminate, to_probe } = partition.detect_failures(now, 0);
        terminated.extend(to_terminate);
        for host_index in to_probe {
            if let Some(command) = partition.take_direct_command(host_index, now, true) {
                probes += 1;
                partition.apply_direct_command_outcome(&command, DirectCommandOutcome::NotSent, now + 200);
            }
        }
        assert!(
            terminated.is_empty() || probes >= 2,
            "two unanswered probes are required, not only missing heartbeats"
        );
    }
    assert_eq!(terminated, ["h1"], "an unreachable machine is terminated");
    assert_eq!(
        partition.cluster.jobs[0].tasks.get(0).place,
        Place::OnHost(0, attempt),
        "its tasks stay placed until the cloud confirms the termination"
    );
    partition.host_terminated("h1");
    assert_eq!(partition.cluster.jobs[0].tasks.get(0).place, Place::Idle);
    // A late heartbeat of the terminated machine is ignored.
    assert!(partition.heartbeat(&heartbeat("h1", 1, 3, 1, vec![]), StatusSource::Heartbeat, 7200).is_empty());
    assert!(partition.cluster.host_index.is_empty());
}

// With three partitions, a machine answered direct commands only, in an agent epoch that began after the last
// answer to a heartbeat. Its lease was counted from before that epoch and so expired too early.
#[test]
fn the_lease_of_a_new_agent_epoch_starts_with_the_epoch() {
    let mut partition = partition_with_running_job("service", 1);
    partition.heartbeat(&heartbeat("h1", 2, 3, 1, vec![]), StatusSource::DirectCommandReply, 9000);
    partition.schedule(9001, 9001);
    let attempt = attempt_number(&partition, 0);
    partition.heartbeat(
        &heartbeat("h1", 2, 4, 1, vec![task_status("run-000001/0", attempt, "running", None)]),
        StatusSource::DirectCommandReply,
        9100,
    );
    partition.detect_failures(1000 + LEASE_MS + 1000, 0);
    assert_eq!(partition.cluster.jobs[0].tasks.get(0).place, Place::OnHost(0, attempt));
}

// A controller that is paused for seconds has missed the heartbeats of all machines when it resumes, because it has
// not read the received ones yet.
#[test]
fn a_pause_of_the_leader_is_not_counted_as_silence_of_the_machines() {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    partition.cluster.host_mut(0).unwrap().unanswered_commands = UNREACHABLE_AFTER_UNANSWERED;
    partition.detect_failures(1200, 0);
    assert_eq!(partition.detect_failures(60_000, 0), DetectedFailures { to_terminate: vec![], to_probe: vec![] });
    let DetectedFailures { to_terminate, to_probe } = partition.detect_failures(60_300, 0);
    assert!(to_terminate.is_empty() && to_probe.is_empty());
}

// A worker whose heartbeats arrive, but which no answer and no order reaches, would have tasks placed on it for ever
// and never run one.
#[test]
fn a_machine_that_no_order_reaches_is_unusable_and_then_terminated() {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    complete_next_commit(&mut partition, 1000, 99);
    let mut terminated = Vec::new();
    for (round, now) in (1000..40_000).step_by(500).enumerate() {
        partition.heartbeat(&heartbeat("h1", 1, 2 + round as u64, 1, vec![]), StatusSource::Heartbeat, now);
        let DetectedFailures { to_terminate, to_probe } = partition.detect_failures(now, 0);
        terminated.extend(to_terminate);
        for host_index in to_probe.into_iter().chain((round == 0).then_some(0)) {
            if let Some(command) = partition.take_direct_command(host_index, now, true) {
                partition.apply_direct_command_outcome(&command, DirectCommandOutcome::NotSent, now);
            }
        }
        if round == 4 {
            assert!(!scheduling::is_usable(partition.cluster.host(0).unwrap(), now));
        }
    }
    assert_eq!(terminated, ["h1"]);
}

#[test]
fn many_suspect_machines_at_once_are_not_terminated() {
    let mut partition = partition();
    for number in 0..6 {
        partition.heartbeat(&heartbeat(&format!("h{number}"), 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    }
    // Half of the machines reported later than the others.
    for number in 3..6 {
        partition.heartbeat(&heartbeat(&format!("h{number}"), 1, 2, 1, vec![]), StatusSource::Heartbeat, 2900);
    }
    for now in (2900..=9000).step_by(250) {
        assert!(partition.detect_failures(now, 0).to_terminate.is_empty());
    }
}

// During network partitions a leader kept its leadership while no heartbeat reached it, and all leases expired.
#[test]
fn a_leader_without_any_heartbeats_is_isolated() {
    let mut partition = partition();
    for number in 0..4 {
        partition.heartbeat(&heartbeat(&format!("h{number}"), 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    }
    assert!(!partition.is_isolated(2500));
    assert!(partition.is_isolated(4000));
    for number in 0..2 {
        partition.heartbeat(&heartbeat(&format!("h{number}"), 1, 2, 1, vec![]), StatusSource::Heartbeat, 3900);
    }
    assert!(!partition.is_isolated(4000), "only some machines do not report");
    let host = |number| HostRecord {
        addr: None,
        instance_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        partition: number,
    };
    let item = |number: u64| KeyValue {
        key: format!("host/h{number}"),
        value: serde_json::to_value(host(0)).unwrap(),
        version: number,
    };
    let mut partition = partition_with_records(5, vec![], (1..6).map(item).collect());
    assert!(!partition.is_isolated(9000), "after a failover the machines may not have reported to this leader yet");
    // A leader that is isolated from the start is detected by its unanswered probes.
    partition
        .cluster
        .hosts
        .iter_mut()
        .flatten()
        .for_each(|host| host.unanswered_commands = UNREACHABLE_AFTER_UNANSWERED);
    assert!(partition.is_isolated(9000) && !partition.is_isolated(2000));
}
