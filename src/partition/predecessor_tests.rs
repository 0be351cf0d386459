//! Tests of jobs that wait for others: whether they are accepted, when they start, how they are
//! cancelled, which deadline and priority a pipeline has.

use super::tests::*;
use super::*;
use crate::config::{NextStateLimits, Operator, tests::settings};
use crate::model::{JobEnd, JobPhase, JobRecord, UnsavedChange, Urgency};
use crate::refusal::RefusalReason;
use crate::wire::tests::reported;
use crate::wire::{self, Item};
use serde_json::{Value, json};

const FIRST: &str = "run-000001";
const SECOND: &str = "run-000002";
const THIRD: &str = "run-000003";

/// A submission of an array of two tasks that waits for these, with further fields.
fn waiting_body(id: &str, waits_on: &[&str], fields: Value) -> Vec<u8> {
    let mut value: Value = serde_json::from_slice(&body(id, "batch", 2)).unwrap();
    value["waits_on"] = json!(waits_on);
    for (name, field) in fields.as_object().unwrap() {
        value[name] = field.clone();
    }
    value.to_string().into_bytes()
}

/// The same, accepted.
fn accept_waiting(p: &mut Partition, id: &str, waits_on: &[&str], fields: Value) -> UserAnswer {
    let mut rx = submit(p, &waiting_body(id, waits_on, fields), 1000);
    commit_all(p, 1000);
    rx.try_recv().expect("it is answered")
}

/// Takes all commits that are due as made, each at a later revision.
fn commit_all(p: &mut Partition, now: u64) {
    let mut revision = p.cluster.jobs.iter().map(|job| job.version).max().unwrap_or(0).max(100);
    while p.next_commit(now, 32).is_some() {
        revision += 1;
        p.committed(CommitResult::Done { revision }).unwrap();
    }
}

/// A partition with a machine in use, and a chain of three jobs of which none has ended.
fn chain() -> Partition {
    let mut p = partition();
    p.report(&report("h1", 1, 1, 1, vec![]), ReportSource::Heartbeat, 1000);
    accept_waiting(&mut p, FIRST, &[], json!({}));
    accept_waiting(&mut p, SECOND, &[FIRST], json!({}));
    accept_waiting(&mut p, THIRD, &[SECOND], json!({}));
    p
}

fn job<'a>(p: &'a Partition, id: &str) -> &'a crate::model::Job {
    &p.cluster.jobs[p.cluster.job_index[id]]
}

/// Jobs with an attempt on the machine.
fn placed(p: &Partition) -> Vec<String> {
    let attempts = &p.cluster.host(0).unwrap().attempts;
    let mut ids: Vec<String> = attempts.iter().map(|a| p.cluster.jobs[a.key.job].spec.id.clone()).collect();
    ids.dedup();
    ids
}

/// The machine reports the two tasks of a job as ended with this reason.
fn report_ended(p: &mut Partition, id: &str, serial: u64) {
    let index = p.cluster.job_index[id];
    let ended = p.cluster.host(0).unwrap().attempts.iter().filter(|a| a.key.job == index);
    let mut tasks = Vec::new();
    for a in ended {
        tasks.push(reported(&format!("{id}/{}", a.key.task), a.attempt, "ended", Some("done")));
    }
    assert_eq!(tasks.len(), 2, "both tasks of {id} were started");
    p.report(&report("h1", 1, serial, 1, tasks), ReportSource::Heartbeat, 2000);
}

fn phase(answer: UserAnswer) -> Result<JobPhase, RefusalReason> {
    match answer {
        UserAnswer::Status { phase, .. } | UserAnswer::Accepted { phase, .. } => Ok(phase),
        UserAnswer::RetryLater(reason) => Err(reason),
        other => panic!("{other:?}"),
    }
}

fn cancel(p: &mut Partition, id: &str) {
    p.cancel(id, 2000, true, tokio::sync::oneshot::channel().0);
}

/// The record of a job with this end, as it stands in the state service.
fn record(id: &str, shape: &str, team: &str, end: Option<JobEnd>, version: u64) -> Item {
    let mut spec = wire::parse_submission(&body(id, shape, 2)).unwrap();
    spec.team = team.into();
    let record = JobRecord { spec, accepted_ms: 900, end, done: vec![] };
    Item { key: job_key(id), value: serde_json::to_value(record).unwrap(), version }
}

// ---- acceptance ----

#[test]
fn only_jobs_that_a_fresh_read_does_not_find_are_called_never_accepted() {
    let mut p = partition();
    let mut rx = submit(&mut p, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookups = p.take_lookups();
    assert_eq!((lookups.len(), lookups[0].ids.as_slice()), (1, &[FIRST.to_string()][..]));
    assert!(rx.try_recv().is_err(), "nothing is said before the read");
    p.looked_up(lookups[0].submission, Some(vec![(FIRST.into(), None)]), 1000, 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Impossible(why)) if why.contains(FIRST)));
    assert!(p.next_commit(1000, 32).is_none());
    // A read that failed tells nothing.
    let mut rx = submit(&mut p, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = p.take_lookups().pop().unwrap();
    p.looked_up(lookup.submission, None, 1000, 1000);
    assert_eq!(rx.try_recv(), Ok(UserAnswer::RetryLater(RefusalReason::StateServiceSilent)));
}

#[test]
fn a_job_that_another_node_accepted_a_moment_ago_may_be_named() {
    let mut p = partition();
    let mut rx = submit(&mut p, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = p.take_lookups().pop().unwrap();
    let found = record(FIRST, "batch", "red", None, 50);
    p.looked_up(lookup.submission, Some(vec![(FIRST.into(), Some(found))]), 1000, 1000);
    commit_all(&mut p, 1000);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Pending));
    assert!(!job(&p, FIRST).waiting && job(&p, SECOND).waiting);
}

#[test]
fn a_job_whose_creation_is_unclear_is_neither_known_nor_unknown() {
    let mut p = partition();
    let _rx = submit(&mut p, &body(FIRST, "batch", 2), 1000);
    p.next_commit(1000, 32).unwrap();
    p.committed(CommitResult::Unclear).unwrap();
    let mut rx = submit(&mut p, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = p.take_lookups().pop().unwrap();
    p.looked_up(lookup.submission, Some(vec![(FIRST.into(), None)]), 1000, 1000);
    assert_eq!(rx.try_recv(), Ok(UserAnswer::RetryLater(RefusalReason::PredecessorUnclear)));
}

#[test]
fn a_job_names_neither_itself_nor_a_service() {
    let mut p = partition();
    let mut rx = submit(&mut p, &waiting_body(FIRST, &[FIRST], json!({})), 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Impossible(_))));
    let _rx = submit(&mut p, &body(FIRST, "service", 1), 1000);
    commit_all(&mut p, 1000);
    assert!(matches!(accept_waiting(&mut p, SECOND, &[FIRST], json!({})), UserAnswer::Impossible(_)));
    // The same for a service that is found by a read.
    let mut rx = submit(&mut p, &waiting_body(SECOND, &[THIRD], json!({})), 1000);
    let lookup = p.take_lookups().pop().unwrap();
    let found = record(THIRD, "service", "red", None, 50);
    p.looked_up(lookup.submission, Some(vec![(THIRD.into(), Some(found))]), 1000, 1000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Impossible(_))));
}

#[test]
fn while_a_controller_is_known_to_be_old_no_job_is_accepted_that_waits() {
    let mut p = chain();
    p.has_old_peer = true;
    let mut rx = submit(&mut p, &waiting_body("run-000004", &[FIRST], json!({})), 1000);
    assert_eq!(rx.try_recv(), Ok(UserAnswer::RetryLater(RefusalReason::ControllerOutdated)));
    // A known one is answered, whatever its body says now.
    let mut rx = submit(&mut p, &waiting_body(SECOND, &["run-000009"], json!({})), 1000);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Pending));
}

#[test]
fn what_is_done_need_not_be_stored() {
    let mut p = chain();
    p.pass(1001, 1001);
    report_ended(&mut p, FIRST, 2);
    commit_all(&mut p, 2000);
    accept_waiting(&mut p, "run-000004", &[FIRST, THIRD], json!({}));
    assert_eq!(job(&p, "run-000004").spec.waits_on.iter().collect::<Vec<_>>(), [THIRD]);
}

// ---- waiting ----

#[test]
fn a_job_starts_once_the_end_of_its_predecessor_is_recorded_and_known() {
    let mut p = chain();
    p.pass(1001, 1001);
    p.urgent_pass(1002, 1002);
    assert_eq!(placed(&p), [FIRST]);
    report_ended(&mut p, FIRST, 2);
    p.pass(2000, 2000);
    assert_eq!(placed(&p), [FIRST], "a report alone starts nothing");
    p.next_commit(2000, 32).unwrap();
    p.pass(2001, 2001);
    p.committed(CommitResult::Unclear).unwrap();
    p.pass(2002, 2002);
    assert_eq!(placed(&p), [FIRST], "nor does a write that is under way or unclear");
    commit_all(&mut p, 2100);
    p.pass(2101, 7101);
    assert_eq!(placed(&p), [FIRST, SECOND]);
    assert_eq!(job(&p, SECOND).ready_ms, 7101, "its times begin now");
    assert!(job(&p, THIRD).waiting);
}

#[test]
fn a_job_that_waits_costs_a_pass_nothing_and_counts_nowhere() {
    let p = chain();
    assert_eq!(p.cluster.live, [p.cluster.job_index[FIRST]]);
    assert_eq!(p.cluster.jobs.iter().filter(|job| job.active()).count(), 1);
    assert_eq!(phase(p.status(THIRD)), Ok(JobPhase::Pending));
}

#[test]
fn after_a_takeover_a_job_waits_for_what_is_not_recorded_as_done() {
    let mut second = record(SECOND, "batch", "red", None, 51);
    second.value["spec"]["waits_on"] = json!(FIRST);
    let open = partition_of(2, vec![record(FIRST, "batch", "red", None, 50), second.clone()], vec![]);
    assert!(job(&open, SECOND).waiting && open.cluster.live.len() == 1);
    // In any order of the records.
    let done = record(FIRST, "batch", "red", Some(JobEnd::Done), 50);
    for jobs in [vec![done.clone(), second.clone()], vec![second.clone(), done]] {
        let p = partition_of(2, jobs, vec![]);
        assert!(job(&p, SECOND).active(), "a task of it that runs already must not be stopped");
    }
}

// ---- cancellation ----

#[test]
fn one_recorded_cancellation_decides_for_all_dependents_at_once() {
    let mut p = chain();
    cancel(&mut p, FIRST);
    assert_eq!(phase(p.status(THIRD)), Ok(JobPhase::Pending), "it is not recorded yet");
    // One change alone is committed: the others' records are still to come.
    p.next_commit(2000, 1).unwrap();
    p.committed(CommitResult::Done { revision: 200 }).unwrap();
    for id in [FIRST, SECOND, THIRD] {
        assert_eq!(phase(p.status(id)), Ok(JobPhase::Cancelled), "{id}");
    }
    let rest = p.next_commit(2000, 32).unwrap();
    let written: Vec<&str> = rest.apply.iter().map(|a| a["put"].as_str().unwrap()).collect();
    assert_eq!(written, ["job/run-000002", "job/run-000003"]);
    assert!(rest.apply.iter().all(|a| a["data"]["end"] == "Cancelled"));
    p.committed(CommitResult::Done { revision: 201 }).unwrap();
    assert!(p.next_commit(2000, 32).is_none());
    p.pass(2001, 2001);
    assert!(placed(&p).is_empty());
}

#[test]
fn while_a_cancellation_is_unclear_dependents_neither_start_nor_end_and_nothing_is_told_of_them() {
    let mut p = chain();
    cancel(&mut p, FIRST);
    p.next_commit(2000, 32).unwrap();
    for id in [FIRST, SECOND, THIRD] {
        assert_eq!(phase(p.status(id)), Err(RefusalReason::EndBeingRecorded), "{id}");
    }
    p.committed(CommitResult::Unclear).unwrap();
    assert_eq!(phase(p.status(THIRD)), Err(RefusalReason::EndBeingRecorded));
    assert!(job(&p, THIRD).waiting && job(&p, THIRD).end.is_none());
    // It was refused after all, by the next try.
    p.next_commit(2100, 32).unwrap();
    p.committed(CommitResult::Refused).unwrap();
    assert_eq!(phase(p.status(THIRD)), Err(RefusalReason::EndBeingRecorded), "the first may still come");
    commit_all(&mut p, 2200);
    assert_eq!(phase(p.status(THIRD)), Ok(JobPhase::Cancelled));
}

#[test]
fn a_refused_cancellation_leaves_its_dependents_as_they_were() {
    let mut p = chain();
    cancel(&mut p, FIRST);
    p.next_commit(2000, 32).unwrap();
    p.committed(CommitResult::Refused).unwrap();
    assert_eq!(phase(p.status(THIRD)), Ok(JobPhase::Pending));
}

#[test]
fn a_cancellation_that_meets_the_end_of_the_job_cancels_nothing_after_it() {
    let mut p = chain();
    p.pass(1001, 1001);
    report_ended(&mut p, FIRST, 2);
    p.next_commit(2000, 32).unwrap();
    cancel(&mut p, FIRST);
    p.committed(CommitResult::Done { revision: 200 }).unwrap();
    commit_all(&mut p, 2000);
    assert_eq!(phase(p.status(FIRST)), Ok(JobPhase::Done));
    p.pass(2001, 2001);
    assert_eq!((placed(&p), phase(p.status(SECOND))), (vec![FIRST.into(), SECOND.into()], Ok(JobPhase::Pending)));
}

#[test]
fn a_takeover_between_the_first_cancellation_and_the_dependents_records_loses_nothing() {
    let waits = |id: &str, on: &str, version| {
        let mut item = record(id, "batch", "red", None, version);
        item.value["spec"]["waits_on"] = json!(on);
        item
    };
    let cancelled = record(FIRST, "batch", "red", Some(JobEnd::Cancelled), 50);
    let mut p = partition_of(2, vec![waits(THIRD, SECOND, 52), waits(SECOND, FIRST, 51), cancelled], vec![]);
    for id in [SECOND, THIRD] {
        assert_eq!(phase(p.status(id)), Ok(JobPhase::Cancelled), "{id}");
    }
    let commit = p.next_commit(2000, 32).unwrap();
    assert_eq!(commit.apply.len(), 2, "their own records follow");
}

#[test]
fn a_job_that_names_a_cancelled_one_is_accepted_and_cancelled() {
    let mut p = chain();
    cancel(&mut p, FIRST);
    commit_all(&mut p, 2000);
    let answer = accept_waiting(&mut p, "run-000004", &[THIRD], json!({}));
    assert!(matches!(answer, UserAnswer::Accepted { created: true, phase: JobPhase::Cancelled, .. }), "{answer:?}");
    // Repeats, polls and cancellations of it get the usual answers.
    let mut rx = submit(&mut p, &waiting_body("run-000004", &[], json!({})), 2000);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { created: false, phase: JobPhase::Cancelled, .. })));
    let (tx, mut rx) = tokio::sync::oneshot::channel();
    p.cancel("run-000004", 2000, true, tx);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Cancelled));
}

#[test]
fn a_dependent_whose_creation_was_under_way_follows_when_it_is_recorded() {
    let mut p = chain();
    let mut rx = submit(&mut p, &waiting_body("run-000004", &[THIRD], json!({})), 2000);
    cancel(&mut p, FIRST);
    // The cancellation is recorded first, by itself.
    p.next_commit(2000, 1).unwrap();
    p.committed(CommitResult::Done { revision: 200 }).unwrap();
    assert_eq!(phase(p.status("run-000004")), Err(RefusalReason::JobNotAccepted));
    commit_all(&mut p, 2000);
    assert_eq!(phase(rx.try_recv().unwrap()), Ok(JobPhase::Cancelled));
    assert_eq!(phase(p.status("run-000004")), Ok(JobPhase::Cancelled));
}

#[test]
fn the_records_of_dependents_give_way_to_ends_and_creations() {
    let mut p = chain();
    cancel(&mut p, FIRST);
    p.next_commit(2000, 1).unwrap();
    p.committed(CommitResult::Done { revision: 200 }).unwrap();
    let _rx = submit(&mut p, &body("run-000005", "batch", 2), 2000);
    let commit = p.next_commit(2000, 1).unwrap();
    assert_eq!(commit.apply[0]["put"], "job/run-000005");
}

// ---- jobs of other partitions ----

/// A partition that holds one of two teams, with a job that waits for one of the other's.
fn with_external() -> Partition {
    let s = settings();
    let policy = Policy::new(&s, &Operator::default(), 0);
    let teams = [("red".to_string(), 0), ("blue".to_string(), 1)].into();
    let mut p = Partition::new(policy, 0, teams, s.write_limits());
    let flavors = partition().cluster.flavors;
    p.begin(1, 77, vec![], vec![], flavors, 1000);
    let _rx = submit(&mut p, &waiting_body(SECOND, &[FIRST], json!({})), 1000);
    let lookup = p.take_lookups().pop().unwrap();
    let found = record(FIRST, "batch", "blue", None, 50);
    p.looked_up(lookup.submission, Some(vec![(FIRST.into(), Some(found))]), 1000, 1000);
    commit_all(&mut p, 1000);
    assert_eq!(p.external_predecessors(), [FIRST]);
    p
}

#[test]
fn a_job_of_another_partition_is_waited_for_until_its_record_tells_its_end() {
    let mut p = with_external();
    assert_eq!(phase(p.status(SECOND)), Err(RefusalReason::PredecessorElsewhere), "its record alone tells");
    p.note_predecessor(FIRST, record(FIRST, "batch", "blue", None, 60), 2000);
    assert!(job(&p, SECOND).waiting);
    p.note_predecessor(FIRST, record(FIRST, "batch", "blue", Some(JobEnd::Done), 61), 2000);
    assert!(job(&p, SECOND).active() && p.external_predecessors().is_empty());
    assert_eq!(phase(p.status(SECOND)), Ok(JobPhase::Pending));
}

#[test]
fn a_job_is_cancelled_with_one_of_another_partition() {
    let mut p = with_external();
    p.note_predecessor(FIRST, record(FIRST, "batch", "blue", Some(JobEnd::Cancelled), 61), 2000);
    assert_eq!(phase(p.status(SECOND)), Ok(JobPhase::Cancelled));
    assert_eq!(job(&p, SECOND).unsaved, UnsavedChange::End(JobEnd::Cancelled));
}

// ---- one deadline over a pipeline ----

#[test]
fn the_last_job_s_deadline_and_priority_count_for_all_that_it_needs() {
    let mut p = chain();
    assert_eq!((job(&p, FIRST).due_ms(), job(&p, FIRST).urgency), (None, Urgency::Normal));
    accept_waiting(&mut p, "run-000004", &[THIRD], json!({"due_s": 100.0, "urgency": "urgent"}));
    // Ten seconds of run, one of fetch, one to react, half as much again, for each job between.
    let between = 1.5 * 12.0;
    let due: Vec<f64> = [FIRST, SECOND, THIRD].map(|id| job(&p, id).due_ms().unwrap() as f64 / 1000.0).into();
    assert_eq!(due, [101.0 - 3.0 * between, 101.0 - 2.0 * between, 101.0 - between]);
    assert!(p.cluster.jobs.iter().all(|job| job.urgency == Urgency::High));
}

#[test]
fn the_earliest_of_several_deadlines_counts_and_goes_with_its_job() {
    let mut p = chain();
    accept_waiting(&mut p, "run-000004", &[SECOND], json!({"due_s": 400.0, "urgency": "urgent"}));
    let late = job(&p, FIRST).due_ms();
    accept_waiting(&mut p, "run-000005", &[SECOND], json!({"due_s": 200.0}));
    assert_eq!(job(&p, FIRST).due_ms().map(|due| due + 200_000), late);
    cancel(&mut p, "run-000005");
    commit_all(&mut p, 2000);
    assert_eq!((job(&p, FIRST).due_ms(), job(&p, FIRST).urgency), (late, Urgency::High));
    cancel(&mut p, "run-000004");
    commit_all(&mut p, 2000);
    assert_eq!((job(&p, FIRST).due_ms(), job(&p, FIRST).urgency), (None, Urgency::Normal));
}

#[test]
fn a_takeover_reckons_the_same_deadlines_whatever_the_order_of_the_records() {
    let waits = |id: &str, on: &str, due: Option<f64>| {
        let mut item = record(id, "batch", "red", None, 50);
        item.value["spec"]["waits_on"] = json!(on);
        item.value["spec"]["due_s"] = json!(due);
        item
    };
    let mut records = vec![record(FIRST, "batch", "red", None, 49), waits(SECOND, FIRST, None)];
    records.push(waits(THIRD, SECOND, Some(100.0)));
    let due = |jobs: Vec<Item>| job(&partition_of(2, jobs, vec![]), FIRST).due_ms().unwrap();
    let forwards = due(records.clone());
    records.reverse();
    assert_eq!((forwards, due(records)), (900 + 100_000 - 36_000, forwards));
}

#[test]
fn room_is_planned_for_jobs_that_may_start_before_a_machine_is_up() {
    let mut p = chain();
    let index = |id: &str| p.cluster.job_index[id];
    let (second, third) = (index(SECOND), index(THIRD));
    // Each takes twelve seconds in all.
    assert_eq!(p.upcoming(11_000, 1000), [] as [usize; 0]);
    assert_eq!(p.upcoming(12_000, 1000), [second]);
    assert_eq!(p.upcoming(24_000, 1000), [second, third]);
    p.pass(1000, 1000);
    assert_eq!(p.upcoming(7_000, 6000), [second], "the first has run for five seconds");
    cancel(&mut p, FIRST);
    assert_eq!(p.upcoming(60_000, 6000), [] as [usize; 0], "nothing is rented for what is cancelled");
}

// ---- limits of the state service ----

#[test]
fn no_commit_holds_more_changes_than_the_limits_to_come_allow() {
    let mut s = settings();
    s.params.state.next = Some(NextStateLimits { value_kb: Some(2.0), txn_ops: Some(4), ..NextStateLimits::default() });
    let policy = Policy::new(&s, &Operator::default(), 0);
    let mut p = Partition::new(policy, 0, s.partitions_of_teams(1), s.write_limits());
    p.begin(1, 77, vec![], vec![], partition().cluster.flavors, 1000);
    let _waiters: Vec<_> = (1..10).map(|n| submit(&mut p, &body(&format!("run-{n:06}"), "batch", 1), 1000)).collect();
    let commit = p.next_commit(1000, 32).unwrap();
    assert_eq!(commit.apply.len(), 4);
}

#[test]
fn a_commit_that_is_not_taken_is_divided_until_the_record_at_fault_waits_alone() {
    let mut p = partition();
    let _waiters: Vec<_> = (1..=4).map(|n| submit(&mut p, &body(&format!("run-{n:06}"), "batch", 1), 1000)).collect();
    let mut recorded = 0;
    let mut commits = 0;
    while let Some(commit) = p.next_commit(1000, 32) {
        commits += 1;
        assert!(commits < 12, "it repeats for ever");
        let at_fault = commit.apply.iter().any(|a| a["put"] == "job/run-000001");
        let result = if at_fault { CommitResult::NotTaken } else { CommitResult::Done { revision: 100 + commits } };
        recorded += if at_fault { 0 } else { commit.apply.len() };
        p.committed(result).unwrap();
    }
    assert_eq!(recorded, 3, "the others are recorded");
    assert!(p.next_commit(1000 + p.policy.lease_ms, 32).is_some(), "it is tried again");
}

#[test]
fn progress_that_has_no_room_is_left_out_and_the_end_is_recorded() {
    let mut p = running("batch", 2);
    p.cluster.jobs[0].spec.image = "i".repeat(RECORD_BYTES + 4096);
    let first = attempt(&p, 0);
    let key = format!("run-000001/{}", p.cluster.host(0).unwrap().attempts[0].key.task);
    p.report(&report("h1", 1, 2, 1, vec![reported(&key, first, "ended", Some("done"))]), ReportSource::Heartbeat, 2000);
    let machines = p.next_commit(60_000, 32);
    assert!(machines.is_none_or(|c| c.apply.iter().all(|a| a["put"] != "job/run-000001")));
    p.tasks_done(0, &[0, 1], 61_000);
    if p.committing() {
        p.committed(CommitResult::Done { revision: 150 }).unwrap();
    }
    let end = p.next_commit(61_000, 32).unwrap();
    assert_eq!(end.apply[0]["data"]["end"], "Done");
    assert!(end.apply[0]["data"].to_string().len() <= RECORD_BYTES);
}
