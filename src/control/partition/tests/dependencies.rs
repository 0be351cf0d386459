//! Tests of jobs that depend on others: their acceptance, their start and their cancellation.

use super::*;
use crate::api::refusal::RefusalReason;
use crate::model::{JobEnd, JobPhase, JobRecord, UnsavedChange};
use crate::settings::{OperatorSettings, tests::settings};
use crate::wire::tests::task_status;
use crate::wire::{self, KeyValue};
use serde_json::{Value, json};

pub(super) const FIRST: &str = "run-000001";
pub(super) const SECOND: &str = "run-000002";
pub(super) const THIRD: &str = "run-000003";

/// Returns the submission of an array of two tasks with these dependencies and further fields.
pub(super) fn waiting_body(id: &str, dependencies: &[&str], fields: Value) -> Vec<u8> {
    let mut value: Value = serde_json::from_slice(&job_submission(id, "batch", 2)).unwrap();
    value["waits_on"] = json!(dependencies);
    for (name, field) in fields.as_object().unwrap() {
        value[name] = field.clone();
    }
    value.to_string().into_bytes()
}

/// Submits such an array and completes all due commits. Returns the answer to the submission.
pub(super) fn accept_waiting(partition: &mut Partition, id: &str, dependencies: &[&str], fields: Value) -> UserAnswer {
    let mut rx = submit_job(partition, &waiting_body(id, dependencies, fields), 1000);
    commit_all(partition, 1000);
    rx.try_recv().expect("the submission must be answered")
}

/// Completes all due commits, each at a later revision.
pub(super) fn commit_all(partition: &mut Partition, now: u64) {
    let mut revision = partition.cluster.jobs.iter().map(|job| job.version).max().unwrap_or(0).max(100);
    while partition.next_commit(now, 32).is_some() {
        revision += 1;
        partition.apply_commit_outcome(CommitOutcome::Done { revision }).unwrap();
    }
}

/// Returns a partition with one machine in use and a chain of three jobs, none of which has ended.
pub(super) fn chain() -> Partition {
    let mut partition = partition();
    partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    accept_waiting(&mut partition, FIRST, &[], json!({}));
    accept_waiting(&mut partition, SECOND, &[FIRST], json!({}));
    accept_waiting(&mut partition, THIRD, &[SECOND], json!({}));
    partition
}

/// Returns the job with this id.
pub(super) fn job<'a>(partition: &'a Partition, id: &str) -> &'a crate::model::Job {
    &partition.cluster.jobs[partition.cluster.job_index[id]]
}

/// Returns the ids of the jobs with an attempt on the machine.
pub(super) fn placed(partition: &Partition) -> Vec<String> {
    let attempts = &partition.cluster.host(0).unwrap().attempts;
    let mut ids: Vec<String> =
        attempts.iter().map(|attempt| partition.cluster.jobs[attempt.key.job].spec.id.clone()).collect();
    ids.dedup();
    ids
}

/// Reports the two tasks of a job as done.
pub(super) fn report_ended(partition: &mut Partition, id: &str, sequence: u64) {
    let index = partition.cluster.job_index[id];
    let attempts = partition.cluster.host(0).unwrap().attempts.iter().filter(|attempt| attempt.key.job == index);
    let mut tasks = Vec::new();
    for attempt in attempts {
        tasks.push(task_status(&format!("{id}/{}", attempt.key.task), attempt.attempt, "ended", Some("done")));
    }
    assert_eq!(tasks.len(), 2, "both tasks of {id} were started");
    partition.heartbeat(&heartbeat("h1", 1, sequence, 1, tasks), StatusSource::Heartbeat, 2000);
}

/// Returns the phase in an answer, or the reason for a refusal that allows a retry.
pub(super) fn phase(answer: UserAnswer) -> Result<JobPhase, RefusalReason> {
    match answer {
        UserAnswer::Status { phase, .. } | UserAnswer::Accepted { phase, .. } => Ok(phase),
        UserAnswer::RetryLater(reason) => Err(reason),
        other => panic!("{other:?}"),
    }
}

/// Requests the cancellation of a job and drops the answer.
pub(super) fn cancel(partition: &mut Partition, id: &str) {
    partition.cancel(id, 2000, true, tokio::sync::oneshot::channel().0);
}

/// Returns the stored record of a job of two tasks with this end.
pub(super) fn record(id: &str, shape: &str, team: &str, end: Option<JobEnd>, version: u64) -> KeyValue {
    let mut spec = wire::parse_submission(&job_submission(id, shape, 2)).unwrap();
    spec.team = team.into();
    let record = JobRecord { spec, accepted_ms: 900, end, done: vec![] };
    KeyValue { key: job_key(id), value: serde_json::to_value(record).unwrap(), version }
}

// ---- acceptance ----

#[test]
fn a_dependency_is_refused_as_unknown_only_after_a_fresh_read() {
    let mut partition = partition();
    let mut rx = submit_job(&mut partition, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookups = partition.take_lookups();
    assert_eq!((lookups.len(), lookups[0].ids.as_slice()), (1, &[FIRST.to_string()][..]));
    assert!(rx.try_recv().is_err(), "no answer before the read");
    partition.complete_dependency_lookup(lookups[0].submission, Some(vec![(FIRST.into(), None)]), 1000, 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Unschedulable(reason)) if reason.contains(FIRST)));
    assert!(partition.next_commit(1000, 32).is_none());
    // A failed read leaves it open whether the job exists.
    let mut rx = submit_job(&mut partition, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = partition.take_lookups().pop().unwrap();
    partition.complete_dependency_lookup(lookup.submission, None, 1000, 1000);
    assert_eq!(rx.try_recv(), Ok(UserAnswer::RetryLater(RefusalReason::StateServiceSilent)));
}

#[test]
fn a_job_may_depend_on_one_that_another_node_just_accepted() {
    let mut partition = partition();
    let mut rx = submit_job(&mut partition, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = partition.take_lookups().pop().unwrap();
    let found = record(FIRST, "batch", "red", None, 50);
    partition.complete_dependency_lookup(lookup.submission, Some(vec![(FIRST.into(), Some(found))]), 1000, 1000);
    commit_all(&mut partition, 1000);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Pending));
    assert!(!job(&partition, FIRST).waiting && job(&partition, SECOND).waiting);
}

#[test]
fn a_dependency_with_an_indeterminate_creation_is_refused_as_retryable() {
    let mut partition = partition();
    let _rx = submit_job(&mut partition, &job_submission(FIRST, "batch", 2), 1000);
    partition.next_commit(1000, 32).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
    let mut rx = submit_job(&mut partition, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = partition.take_lookups().pop().unwrap();
    partition.complete_dependency_lookup(lookup.submission, Some(vec![(FIRST.into(), None)]), 1000, 1000);
    assert_eq!(rx.try_recv(), Ok(UserAnswer::RetryLater(RefusalReason::DependencyIndeterminate)));
}

#[test]
fn a_job_that_depends_on_itself_or_a_service_is_refused() {
    let mut partition = partition();
    let mut rx = submit_job(&mut partition, &waiting_body(FIRST, &[FIRST], json!({})), 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Unschedulable(_))));
    let _rx = submit_job(&mut partition, &job_submission(FIRST, "service", 1), 1000);
    commit_all(&mut partition, 1000);
    assert!(matches!(accept_waiting(&mut partition, SECOND, &[FIRST], json!({})), UserAnswer::Unschedulable(_)));
    // The same applies to a service that is found by a read.
    let mut rx = submit_job(&mut partition, &waiting_body(SECOND, &[THIRD], json!({})), 1000);
    let lookup = partition.take_lookups().pop().unwrap();
    let found = record(THIRD, "service", "red", None, 50);
    partition.complete_dependency_lookup(lookup.submission, Some(vec![(THIRD.into(), Some(found))]), 1000, 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Unschedulable(_))));
}

#[test]
fn no_waiting_job_is_accepted_while_an_old_controller_is_known() {
    let mut partition = chain();
    partition.conditions.has_outdated_peer = true;
    let mut rx = submit_job(&mut partition, &waiting_body("run-000004", &[FIRST], json!({})), 1000);
    assert_eq!(rx.try_recv(), Ok(UserAnswer::RetryLater(RefusalReason::ControllerOutdated)));
    // A known job is answered, regardless of what the repeated submission contains.
    let mut rx = submit_job(&mut partition, &waiting_body(SECOND, &["run-000009"], json!({})), 1000);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Pending));
}

#[test]
fn a_done_dependency_is_not_stored() {
    let mut partition = chain();
    partition.schedule(1001, 1001);
    report_ended(&mut partition, FIRST, 2);
    commit_all(&mut partition, 2000);
    accept_waiting(&mut partition, "run-000004", &[FIRST, THIRD], json!({}));
    assert_eq!(job(&partition, "run-000004").spec.dependencies.iter().collect::<Vec<_>>(), [THIRD]);
}

// ---- waiting ----

#[test]
fn a_job_starts_once_the_end_of_its_dependency_is_recorded() {
    let mut partition = chain();
    partition.schedule(1001, 1001);
    partition.schedule_urgent(1002, 1002);
    assert_eq!(placed(&partition), [FIRST]);
    report_ended(&mut partition, FIRST, 2);
    partition.schedule(2000, 2000);
    assert_eq!(placed(&partition), [FIRST], "a heartbeat alone starts no dependent");
    partition.next_commit(2000, 32).unwrap();
    partition.schedule(2001, 2001);
    partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
    partition.schedule(2002, 2002);
    assert_eq!(placed(&partition), [FIRST], "a write in flight or with an unknown result starts no dependent either");
    commit_all(&mut partition, 2100);
    partition.schedule(2101, 7101);
    assert_eq!(placed(&partition), [FIRST, SECOND]);
    assert_eq!(job(&partition, SECOND).ready_ms, 7101, "its waiting time starts at its release");
    assert!(job(&partition, THIRD).waiting);
}

#[test]
fn a_waiting_job_is_neither_live_nor_active() {
    let partition = chain();
    assert_eq!(partition.cluster.runnable_jobs, [partition.cluster.job_index[FIRST]]);
    assert_eq!(partition.cluster.jobs.iter().filter(|job| job.active()).count(), 1);
    assert_eq!(phase(partition.status(THIRD)), Ok(JobPhase::Pending));
}

#[test]
fn after_a_failover_a_job_waits_for_dependencies_not_recorded_as_done() {
    let mut second = record(SECOND, "batch", "red", None, 51);
    second.value["spec"]["waits_on"] = json!(FIRST);
    let open = partition_with_records(2, vec![record(FIRST, "batch", "red", None, 50), second.clone()], vec![]);
    assert!(job(&open, SECOND).waiting && open.cluster.runnable_jobs.len() == 1);
    // The result does not depend on the order of the records.
    let done = record(FIRST, "batch", "red", Some(JobEnd::Done), 50);
    for jobs in [vec![done.clone(), second.clone()], vec![second.clone(), done]] {
        let partition = partition_with_records(2, jobs, vec![]);
        assert!(job(&partition, SECOND).active(), "a task of the job that is already running must not be stopped");
    }
}

// ---- jobs of other partitions ----

/// Returns a partition that owns one of two teams, with a job that depends on a job of the other team.
fn partition_with_external_dependency() -> Partition {
    let settings = settings();
    let policy = Policy::new(&settings, &OperatorSettings::default(), 0);
    let teams = [("red".to_string(), 0), ("blue".to_string(), 1)].into();
    let mut partition = Partition::new(policy, 0, teams, settings.write_limits());
    let instance_types = super::partition().cluster.instance_types;
    partition.begin_leadership(single_token(1), 77, vec![], vec![], instance_types, 1000);
    let _rx = submit_job(&mut partition, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = partition.take_lookups().pop().unwrap();
    let found = record(FIRST, "batch", "blue", None, 50);
    partition.complete_dependency_lookup(lookup.submission, Some(vec![(FIRST.into(), Some(found))]), 1000, 1000);
    commit_all(&mut partition, 1000);
    assert_eq!(partition.external_dependency_ids(), [FIRST]);
    partition
}

#[test]
fn a_dependency_in_another_partition_blocks_until_its_end_is_recorded() {
    let mut partition = partition_with_external_dependency();
    assert_eq!(
        phase(partition.status(SECOND)),
        Err(RefusalReason::DependencyElsewhere),
        "the end must be read from the dependency's record"
    );
    partition.add_dependency_record(FIRST, record(FIRST, "batch", "blue", None, 60), 2000);
    assert!(job(&partition, SECOND).waiting);
    partition.add_dependency_record(FIRST, record(FIRST, "batch", "blue", Some(JobEnd::Done), 61), 2000);
    assert!(job(&partition, SECOND).active() && partition.external_dependency_ids().is_empty());
    assert_eq!(phase(partition.status(SECOND)), Ok(JobPhase::Pending));
}

#[test]
fn a_job_is_cancelled_with_its_dependency_in_another_partition() {
    let mut partition = partition_with_external_dependency();
    partition.add_dependency_record(FIRST, record(FIRST, "batch", "blue", Some(JobEnd::Cancelled), 61), 2000);
    assert_eq!(phase(partition.status(SECOND)), Ok(JobPhase::Cancelled));
    assert_eq!(job(&partition, SECOND).unsaved, UnsavedChange::End(JobEnd::Cancelled));
}
