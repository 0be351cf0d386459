//! Tests of jobs that are cancelled together with a job that they depend on.

use super::dependencies::*;
use super::*;
use crate::api::refusal::RefusalReason;
use crate::model::JobEnd;

#[test]
fn one_recorded_cancellation_cancels_all_dependents_at_once() {
    let mut partition = chain();
    cancel(&mut partition, FIRST);
    assert_eq!(phase(partition.status(THIRD)), Ok(JobPhase::Pending), "the cancellation is not recorded yet");
    // The commit contains only one change. The dependents' records follow later.
    partition.next_commit(2000, 1).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 200 }).unwrap();
    for id in [FIRST, SECOND, THIRD] {
        assert_eq!(phase(partition.status(id)), Ok(JobPhase::Cancelled), "{id}");
    }
    let rest = partition.next_commit(2000, 32).unwrap();
    let written: Vec<String> =
        rest.writes.iter().map(|write| write.to_json()["put"].as_str().unwrap().to_string()).collect();
    assert_eq!(written, ["job/run-000002", "job/run-000003"]);
    assert!(rest.writes.iter().all(|write| write.to_json()["data"]["end"] == "Cancelled"));
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 201 }).unwrap();
    assert!(partition.next_commit(2000, 32).is_none());
    partition.schedule(2001, 2001);
    assert!(placed(&partition).is_empty());
}

#[test]
fn dependents_of_an_indeterminate_cancellation_neither_start_nor_end() {
    let mut partition = chain();
    cancel(&mut partition, FIRST);
    partition.next_commit(2000, 32).unwrap();
    for id in [FIRST, SECOND, THIRD] {
        assert_eq!(phase(partition.status(id)), Err(RefusalReason::EndBeingRecorded), "{id}");
    }
    partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
    assert_eq!(phase(partition.status(THIRD)), Err(RefusalReason::EndBeingRecorded));
    assert!(job(&partition, THIRD).waiting && job(&partition, THIRD).end.is_none());
    // The retry is refused.
    partition.next_commit(2100, 32).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Refused).unwrap();
    assert_eq!(
        phase(partition.status(THIRD)),
        Err(RefusalReason::EndBeingRecorded),
        "the first write may still be applied"
    );
    commit_all(&mut partition, 2200);
    assert_eq!(phase(partition.status(THIRD)), Ok(JobPhase::Cancelled));
}

#[test]
fn a_refused_cancellation_does_not_cancel_dependents() {
    let mut partition = chain();
    cancel(&mut partition, FIRST);
    partition.next_commit(2000, 32).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Refused).unwrap();
    assert_eq!(phase(partition.status(THIRD)), Ok(JobPhase::Pending));
}

#[test]
fn a_cancellation_while_a_jobs_end_is_written_cancels_no_dependents() {
    let mut partition = chain();
    partition.schedule(1001, 1001);
    report_ended(&mut partition, FIRST, 2);
    partition.next_commit(2000, 32).unwrap();
    cancel(&mut partition, FIRST);
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 200 }).unwrap();
    commit_all(&mut partition, 2000);
    assert_eq!(phase(partition.status(FIRST)), Ok(JobPhase::Done));
    partition.schedule(2001, 2001);
    assert_eq!(
        (placed(&partition), phase(partition.status(SECOND))),
        (vec![FIRST.into(), SECOND.into()], Ok(JobPhase::Pending))
    );
}

#[test]
fn a_failover_before_dependents_are_recorded_still_cancels_them() {
    let waits = |id: &str, on: &str, version| {
        let mut item = record(id, "batch", "red", None, version);
        item.value["spec"]["waits_on"] = json!(on);
        item
    };
    let cancelled = record(FIRST, "batch", "red", Some(JobEnd::Cancelled), 50);
    let mut partition =
        partition_with_records(2, vec![waits(THIRD, SECOND, 52), waits(SECOND, FIRST, 51), cancelled], vec![]);
    for id in [SECOND, THIRD] {
        assert_eq!(phase(partition.status(id)), Ok(JobPhase::Cancelled), "{id}");
    }
    let commit = partition.next_commit(2000, 32).unwrap();
    assert_eq!(commit.writes.len(), 2, "the dependents' own records are still to be written");
}

#[test]
fn a_job_that_depends_on_a_cancelled_one_is_accepted_and_cancelled() {
    let mut partition = chain();
    cancel(&mut partition, FIRST);
    commit_all(&mut partition, 2000);
    let answer = accept_waiting(&mut partition, "run-000004", &[THIRD], json!({}));
    assert!(matches!(answer, UserAnswer::Accepted { created: true, phase: JobPhase::Cancelled, .. }), "{answer:?}");
    // Repeated submissions and cancellations of the job get the usual answers.
    let mut rx = submit_job(&mut partition, &waiting_body("run-000004", &[], json!({})), 2000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { created: false, phase: JobPhase::Cancelled, .. })));
    let (tx, mut rx) = tokio::sync::oneshot::channel();
    partition.cancel("run-000004", 2000, true, tx);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Cancelled));
}

#[test]
fn a_dependent_being_created_is_cancelled_when_its_creation_is_recorded() {
    let mut partition = chain();
    let mut rx = submit_job(&mut partition, &waiting_body("run-000004", &[THIRD], json!({})), 2000);
    cancel(&mut partition, FIRST);
    // The cancellation is recorded first, in a commit of its own.
    partition.next_commit(2000, 1).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 200 }).unwrap();
    assert_eq!(phase(partition.status("run-000004")), Err(RefusalReason::JobNotAccepted));
    commit_all(&mut partition, 2000);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Cancelled));
    assert_eq!(phase(partition.status("run-000004")), Ok(JobPhase::Cancelled));
}

#[test]
fn creations_are_written_before_the_records_of_cancelled_dependents() {
    let mut partition = chain();
    cancel(&mut partition, FIRST);
    partition.next_commit(2000, 1).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 200 }).unwrap();
    let _rx = submit_job(&mut partition, &job_submission("run-000005", "batch", 2), 2000);
    let commit = partition.next_commit(2000, 1).unwrap();
    assert_eq!(commit.writes[0].to_json()["put"], "job/run-000005");
}

/// Returns a partition with a job that a thousand others depend on, and the ids of these.
fn thousand_dependents() -> (Partition, Vec<String>) {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    accept_waiting(&mut partition, FIRST, &[], json!({}));
    let ids: Vec<String> = (100..1100).map(|number| format!("run-{number:06}")).collect();
    for id in &ids {
        accept_waiting(&mut partition, id, &[FIRST], json!({}));
    }
    (partition, ids)
}

#[test]
fn one_change_cancels_a_thousand_dependents() {
    let (mut partition, ids) = thousand_dependents();
    cancel(&mut partition, FIRST);
    assert_eq!(partition.next_commit(2000, 1).unwrap().writes.len(), 1);
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 5000 }).unwrap();
    assert!(ids.iter().all(|id| phase(partition.status(id)) == Ok(JobPhase::Cancelled)));
    let mut cancelled = 0;
    let mut revision = 5000;
    while let Some(commit) = partition.next_commit(2000, 4) {
        cancelled += commit.writes.iter().filter(|write| write.to_json()["data"]["end"] == "Cancelled").count();
        revision += 1;
        partition.apply_commit_outcome(CommitOutcome::Done { revision }).unwrap();
    }
    assert_eq!(cancelled, 1000);
}

#[test]
fn a_thousand_dependents_become_active_with_one_end() {
    let (mut partition, ids) = thousand_dependents();
    partition.schedule(1001, 1001);
    assert_eq!(partition.cluster.runnable_jobs.len(), 1);
    report_ended(&mut partition, FIRST, 2);
    commit_all(&mut partition, 2000);
    assert_eq!(partition.cluster.runnable_jobs.len(), 1000);
    assert!(ids.iter().all(|id| job(&partition, id).active()));
    assert_eq!(partition.waiting_jobs(), 0);
}
