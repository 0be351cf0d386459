//! Tests of the limits of the state service and of the number of attempts that a leader can follow.

use super::*;
use crate::settings::NextStateLimits;

#[test]
fn commits_respect_announced_state_service_limits() {
    let mut settings = settings();
    settings.params.state.next =
        Some(NextStateLimits { value_kb: Some(2.0), txn_ops: Some(4), ..NextStateLimits::default() });
    let policy = Policy::new(&settings, &OperatorSettings::default(), 0);
    let mut partition = Partition::new(policy, 0, settings.partitions_of_teams(1), settings.write_limits());
    partition.begin_leadership(single_token(1), 77, vec![], vec![], super::partition().cluster.instance_types, 1000);
    let _waiters: Vec<_> = (1..10)
        .map(|number| submit_job(&mut partition, &job_submission(&format!("run-{number:06}"), "batch", 1), 1000))
        .collect();
    let commit = partition.next_commit(1000, 32).unwrap();
    assert_eq!(commit.writes.len(), 4);
}

#[test]
fn a_rejected_commit_is_divided_until_the_faulty_record_is_isolated() {
    let mut partition = partition();
    let _waiters: Vec<_> = (1..=4)
        .map(|number| submit_job(&mut partition, &job_submission(&format!("run-{number:06}"), "batch", 1), 1000))
        .collect();
    let mut recorded = 0;
    let mut commits = 0;
    while let Some(commit) = partition.next_commit(1000, 32) {
        commits += 1;
        assert!(commits < 12, "the commit is repeated endlessly");
        let at_fault = commit.writes.iter().any(|write| write.to_json()["put"] == "job/run-000001");
        let result = if at_fault { CommitOutcome::Rejected } else { CommitOutcome::Done { revision: 100 + commits } };
        recorded += if at_fault { 0 } else { commit.writes.len() };
        partition.apply_commit_outcome(result).unwrap();
    }
    assert_eq!(recorded, 3, "the other records are written");
    assert!(partition.next_commit(1000 + partition.policy.lease_ms, 32).is_some(), "the faulty record is retried");
}

#[test]
fn progress_that_exceeds_the_record_size_is_omitted_and_the_end_recorded() {
    let mut partition = partition_with_running_job("batch", 2);
    partition.cluster.jobs[0].spec.image = "i".repeat(MAX_RECORD_BYTES + 4096);
    let first = attempt_number(&partition, 0);
    let key = format!("run-000001/{}", partition.cluster.host(0).unwrap().attempts[0].key.task);
    partition.heartbeat(
        &heartbeat("h1", 1, 2, 1, vec![task_status(&key, first, "ended", Some("done"))]),
        StatusSource::Heartbeat,
        2000,
    );
    let machines = partition.next_commit(60_000, 32);
    assert!(machines.is_none_or(|commit| commit.writes.iter().all(|write| write.to_json()["put"] != "job/run-000001")));
    partition.tasks_done(0, 0..2, 61_000);
    if partition.is_committing() {
        partition.apply_commit_outcome(CommitOutcome::Done { revision: 150 }).unwrap();
    }
    let end = partition.next_commit(61_000, 32).unwrap();
    assert_eq!(end.writes[0].to_json()["data"]["end"], "Done");
    assert!(end.writes[0].to_json()["data"].to_string().len() <= MAX_RECORD_BYTES);
}

/// Returns a partition whose leader can process 48 attempt entries a second, with a waiting array of 1,000 tasks of the
/// lowest urgency.
fn partition_with_a_large_array() -> Partition {
    let mut settings = settings();
    settings.params.limits.core_share = Some(0.0008);
    settings.params.workers.report_s = 4.0;
    (settings.params.teams[0].gpus, settings.params.teams[0].gpus_max) = (0.0, 0.0);
    let mut partition = Partition::new(
        Policy::new(&settings, &OperatorSettings::default(), 0),
        0,
        settings.partitions_of_teams(1),
        settings.write_limits(),
    );
    partition.begin_leadership(single_token(1), 77, vec![], vec![], vec![instance_type()], 1000);
    let mut submission: serde_json::Value =
        serde_json::from_slice(&job_submission("run-000001", "batch", 1000)).unwrap();
    submission["urgency"] = json!("best_effort");
    let _rx = submit_job(&mut partition, submission.to_string().as_bytes(), 1000);
    complete_next_commit(&mut partition, 1000, 100);
    partition
}

/// Sends a heartbeat of each machine that lists all its attempts as running.
fn report_all(partition: &mut Partition, sequence: u64, now: u64) {
    for host in 0..40 {
        let tasks = partition.cluster.host_index.get(&format!("h{host}")).map(|&index| {
            let attempts = partition.cluster.host(index).unwrap().attempts.clone();
            let listed = attempts.iter().map(|attempt| {
                task_status(&format!("run-000001/{}", attempt.key.task), attempt.attempt, "running", None)
            });
            listed.collect()
        });
        let heartbeat = heartbeat(&format!("h{host}"), 1, sequence, 1, tasks.unwrap_or_default());
        partition.heartbeat(&heartbeat, StatusSource::Heartbeat, now);
    }
}

/// Returns the number of attempts on all machines.
fn attempt_total(partition: &Partition) -> usize {
    partition.cluster.each_host().map(|(_, host)| host.attempts.len()).sum()
}

// A fixed maximum of attempts left most of 4,000 machines idle. The cost of an attempt depends on how often heartbeats
// list it.
#[test]
fn more_long_tasks_than_short_ones_may_run() {
    let mut partition = partition_with_a_large_array();
    report_all(&mut partition, 1, 1000);
    complete_next_commit(&mut partition, 1000, 101);
    complete_next_commit(&mut partition, 1000, 102);
    partition.schedule(1001, 1001);
    assert_eq!(attempt_total(&partition), 48, "no heartbeat load is measured yet");
    // With one heartbeat in 4 s, four times as many attempts are allowed.
    for round in 1..=6 {
        report_all(&mut partition, 1 + round, 1000 + 4000 * round);
        partition.schedule(1001 + 4000 * round, 1001 + 4000 * round);
    }
    assert_eq!(attempt_total(&partition), 4 * 48);
    // With heartbeats every half second, as when tasks end and start all the time, the maximum is lower again.
    for round in 1..=40 {
        report_all(&mut partition, 100 + round, 30_000 + 500 * round);
        partition.schedule(30_001 + 500 * round, 30_001 + 500 * round);
    }
    assert_eq!(partition.policy.max_attempts, 48);
}
