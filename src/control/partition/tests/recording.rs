//! Tests of recorded ends, ranges of done tasks and machines, and of transfers between partitions.

use super::*;

#[test]
fn a_superseded_leader_is_detected_by_its_commit() {
    let mut partition = partition();
    let _rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 2), 1000);
    let commit = partition.next_commit(1000, 32).unwrap();
    assert_eq!(
        commit.conditions[0],
        wire::condition("part/0", 77),
        "every commit is conditional on the partition's key"
    );
    assert_eq!(
        partition.apply_commit_outcome(CommitOutcome::Conflict { failed: vec!["part/0".into()] }),
        Err(Superseded)
    );
}

#[test]
fn a_machine_is_used_once_it_is_registered() {
    let mut partition = partition();
    let _rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 2), 1000);
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    partition.schedule(1000, 1000);
    assert!(partition.dispatch_queue.hosts().is_empty());
    complete_next_commit(&mut partition, 1000, 100);
    partition.schedule(1001, 1001);
    assert_eq!(partition.dispatch_queue.hosts().len(), 1);
}

#[test]
fn a_done_task_is_answered_and_reaped_after_its_commit() {
    let mut partition = partition_with_running_job("batch", 1);
    let attempt = attempt_number(&partition, 0);
    let done = || vec![task_status("run-000001/0", attempt, "ended", Some("done"))];
    assert_eq!(count_reaps(&partition.heartbeat(&heartbeat("h1", 1, 2, 1, done()), StatusSource::Heartbeat, 1100)), 0);
    assert!(matches!(partition.status("run-000001"), UserAnswer::Status { phase: JobPhase::Pending, .. }));
    complete_next_commit(&mut partition, 1100, 101);
    assert!(matches!(partition.status("run-000001"), UserAnswer::Status { phase: JobPhase::Done, done: 1, .. }));
    assert_eq!(count_reaps(&partition.heartbeat(&heartbeat("h1", 1, 3, 1, done()), StatusSource::Heartbeat, 1200)), 1);
    // A cancellation after the end changes nothing.
    let (tx, mut rx) = oneshot::channel();
    partition.cancel("run-000001", 1000, true, tx);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Done, .. })));
}

#[test]
fn a_large_job_fits_into_its_record() {
    let mut partition = partition();
    let mut submission: Value = serde_json::from_slice(&job_submission("run-000001", "batch", 100_000)).unwrap();
    submission["cards"] = json!(0.0);
    let _rx = submit_job(&mut partition, submission.to_string().as_bytes(), 1000);
    complete_next_commit(&mut partition, 1000, 100);
    let every_other: Vec<u32> = (0..100_000).step_by(2).collect();
    every_other.iter().for_each(|task| partition.tasks_done(0, *task..*task + 1, 1100));
    let commit = partition.next_commit(1100 + 60_000, 32).unwrap();
    assert!(commit.writes[0].to_string().len() < 32 * 1024);
}

// While an array of 100,000 short tasks ran, some progress was always unrecorded, and no ended attempt was reaped. The
// heartbeats grew until controllers exceeded their memory.
#[test]
fn recorded_tasks_are_reaped_while_others_keep_ending() {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    let _rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 3), 1000);
    complete_next_commit(&mut partition, 1000, 100);
    partition.schedule(1000, 1000);
    let attempts: Vec<u64> = (0..3).map(|number| attempt_number(&partition, number)).collect();
    let listed = |ended: usize| -> Vec<wire::TaskStatus> {
        let phase = |number: usize| if number < ended { "ended" } else { "running" };
        let task =
            |number: usize| task_status(&format!("run-000001/{number}"), attempts[number], phase(number), Some("done"));
        (0..3).map(task).collect()
    };
    let reap_count = |orders: &[Order]| orders.iter().filter(|order| matches!(order, Order::Reap { .. })).count();
    let orders = partition.heartbeat(&heartbeat("h1", 1, 2, 1, listed(1)), StatusSource::Heartbeat, 2000);
    assert_eq!(reap_count(&orders), 0, "the end is not recorded yet");
    let progress_due = 2000 + 10 * partition.policy.report_ms;
    complete_next_commit(&mut partition, progress_due, 101);
    let orders = partition.heartbeat(&heartbeat("h1", 1, 3, 1, listed(2)), StatusSource::Heartbeat, progress_due + 1);
    assert_eq!(reap_count(&orders), 1, "only the first end is recorded");
}

#[test]
fn a_machine_moves_between_partitions_only_when_it_is_free() {
    let mut partition = partition_with_running_job("service", 1);
    assert!(!partition.transfer_host("h1", 1), "a task runs on the machine");
    partition.heartbeat(&heartbeat("h2", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1100);
    assert!(!partition.transfer_host("h2", 1), "the machine is not registered yet");
    complete_next_commit(&mut partition, 1100, 101);
    assert!(partition.transfer_host("h2", 1));
    complete_next_commit(&mut partition, 1200, 102);
    assert_eq!(partition.route_heartbeat(&heartbeat("h2", 1, 2, 1, vec![])), HostRouting::OtherPartition(1));
    // A machine from a partition with a higher fencing token requires a higher token here.
    let record = HostRecord { addr: None, instance_type: "g8".into(), zone: "a".into(), spot: false, partition: 0 };
    partition.apply_host_record("h3", Some(record), 1300);
    assert_eq!(partition.route_heartbeat(&heartbeat("h3", 1, 5, 4, vec![])), HostRouting::AwaitsHigherToken);
    assert!(partition.needs_higher_token());
}
