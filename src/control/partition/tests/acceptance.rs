//! Tests of submissions: acceptance, refusal, and the time of the answer.

use super::*;
use crate::api::refusal::RefusalReason;

#[test]
fn a_job_is_accepted_after_its_commit_and_found_by_retries() {
    let mut partition = partition();
    let mut rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 2), 1000);
    assert!(rx.try_recv().is_err(), "no answer before the commit");
    assert!(matches!(partition.status("run-000001"), UserAnswer::RetryLater(_)));
    complete_next_commit(&mut partition, 1000, 100);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { created: true, .. })));
    // A retry is answered as accepted even if its content would be refused now.
    let mut rx = submit_job(&mut partition, br#"{"id":"run-000001"}"#, 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { created: false, .. })));
    let mut rx = submit_job(&mut partition, br#"{"id":"run-000002"}"#, 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::InvalidSubmission(_))));
    assert_eq!(partition.status("run-000009"), UserAnswer::Unknown);
}

#[test]
fn a_job_that_another_node_accepted_is_placed_and_its_notice_deleted() {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    complete_next_commit(&mut partition, 1000, 99);
    let spec = wire::parse_submission(&job_submission("run-000005", "batch", 1)).unwrap();
    let record = JobRecord { spec, accepted_ms: 900, end: None, done: vec![] };
    let value = serde_json::to_value(record).unwrap();
    for _ in 0..2 {
        partition.add_job_accepted_elsewhere(
            KeyValue { key: "job/run-000005".into(), value: value.clone(), version: 50 },
            1000,
        );
    }
    partition.schedule(1000, 1000);
    assert_eq!((partition.dispatch_queue.hosts().len(), partition.cluster.jobs.len()), (1, 1));
    let commit = partition.next_commit(1000, 32).unwrap();
    assert_eq!(commit.writes, [wire::delete("in/0/run-000005")]);
}

#[test]
fn an_indeterminate_creation_is_retried_and_found_recorded() {
    let mut partition = partition();
    let mut rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 2), 1000);
    let first = partition.next_commit(1000, 32).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
    assert!(rx.try_recv().is_err());
    partition.next_commit(1100, 32).unwrap();
    let keys =
        partition.apply_commit_outcome(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    assert_eq!(keys, ["job/run-000001"]);
    let value = first.writes[0].to_json()["data"].clone();
    partition.apply_reread_record(KeyValue { key: "job/run-000001".into(), value, version: 99 });
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { .. })));
    assert!(partition.next_commit(1200, 32).is_none(), "nothing is left to write");
}

#[test]
fn submissions_beyond_the_write_rate_are_answered_with_a_retry_time() {
    let mut partition = partition();
    let mut busy = Vec::new();
    let mut queued = Vec::new();
    for number in 0..1000 {
        let mut rx = submit_job(&mut partition, &job_submission(&format!("run-{number:06}"), "batch", 1), 1000);
        match rx.try_recv() {
            Ok(UserAnswer::Busy(after_s)) => busy.push(after_s),
            Ok(other) => panic!("{other:?}"),
            Err(_) => queued.push(rx),
        }
    }
    let expected_count = partition.policy.writes_per_s * LEASE_MS as f64 / 4000.0;
    assert!((queued.len() as f64 - expected_count).abs() <= 2.0, "{} of {expected_count}", queued.len());
    assert!(busy.iter().all(|wait_s| *wait_s >= LEASE_MS / 4000));
    // A repeated submission that is already queued is still not refused.
    assert!(submit_job(&mut partition, &job_submission("run-000000", "batch", 1), 1000).try_recv().is_err());
}

// Many best-effort jobs used up the writes, so that users who submitted urgent services were asked to retry later.
#[test]
fn urgent_jobs_are_recorded_before_many_less_urgent_ones() {
    let mut partition = partition();
    let with_urgency = |number: usize, urgency: &str| -> Vec<u8> {
        let mut job: serde_json::Value =
            serde_json::from_slice(&job_submission(&format!("run-{number:06}"), "batch", 1)).unwrap();
        job["urgency"] = json!(urgency);
        job.to_string().into_bytes()
    };
    let busy = |answer: &mut oneshot::Receiver<UserAnswer>| matches!(answer.try_recv(), Ok(UserAnswer::Busy(_)));
    let mut best_effort_answers: Vec<_> =
        (0..500).map(|number| submit_job(&mut partition, &with_urgency(number, "best_effort"), 1000)).collect();
    assert!(busy(best_effort_answers.last_mut().unwrap()), "more submissions than can be recorded soon");
    let mut urgent = submit_job(&mut partition, &with_urgency(900, "production"), 1000);
    assert!(!busy(&mut urgent));
    let first = &partition.next_commit(1000, 1).unwrap().writes[0];
    assert!(first.to_string().contains("run-000900"), "{first}");
}

// A leader that had not received the configuration with a new team yet refused the team's jobs permanently, although
// another region already knew the team.
#[test]
fn jobs_that_a_newer_configuration_may_allow_are_refused_as_retryable() {
    let of_team = |team: &str, shape: &str| -> Vec<u8> {
        let mut job: serde_json::Value = serde_json::from_slice(&job_submission("run-000001", shape, 5)).unwrap();
        job["owner"] = json!(team);
        job.to_string().into_bytes()
    };
    let answer = |partition: &mut Partition, team: &str, shape: &str| {
        submit_job(partition, &of_team(team, shape), 1000).try_recv()
    };
    let for_now = Ok(UserAnswer::RetryLater(RefusalReason::ConfigurationBehind));
    let mut partition = partition();
    assert!(matches!(answer(&mut partition, "new", "batch"), Ok(UserAnswer::Unschedulable(_))));
    partition.conditions.configuration_up_to_date = false;
    assert_eq!(answer(&mut partition, "new", "batch"), for_now);
    // A limit that is about to grow may soon allow the job.
    partition.conditions.configuration_up_to_date = true;
    let red = partition.policy.teams.get_mut("red").unwrap();
    (red.limit.gpus, red.limit_is_final) = (4.0, false);
    assert_eq!(answer(&mut partition, "red", "group"), for_now);
    partition.policy.teams.get_mut("red").unwrap().limit_is_final = true;
    assert!(matches!(answer(&mut partition, "red", "group"), Ok(UserAnswer::Unschedulable(_))));
    // A removed team takes no new jobs.
    partition.policy.teams.get_mut("red").unwrap().removed = true;
    assert!(matches!(answer(&mut partition, "red", "batch"), Ok(UserAnswer::Unschedulable(_))));
}

#[test]
fn teams_are_within_limits_once_excess_attempts_ended() {
    let mut partition = partition_with_running_job("batch", 2);
    assert!(partition.teams_within_limits(1002));
    partition.policy.teams.get_mut("red").unwrap().limit.gpus = 1.0;
    assert!(!partition.teams_within_limits(1002), "two tasks with an accelerator each are on machines");
    partition.cluster.host_mut(0).unwrap().attempts.pop();
    assert!(partition.teams_within_limits(1002));
    partition.policy.teams.remove("red");
    assert!(!partition.teams_within_limits(1002), "an unknown team may use nothing");
}
