//! Tests of combinations of two faults in one partition.

use super::*;
use crate::model::{JobPhase, JobRecord, Place};
use crate::wire::tests::task_status;
use crate::wire::{self, KeyValue, Order};

/// Reports the first attempt on h1 as done.
fn report_done_on_h1(partition: &mut Partition, now: u64) {
    let attempt = attempt_number(partition, 0);
    partition.heartbeat(
        &heartbeat("h1", 1, now, 1, vec![task_status("run-000001/0", attempt, "ended", Some("done"))]),
        StatusSource::Heartbeat,
        now,
    );
}

/// Returns the phase that a status request is answered with, or `None` if the user is asked to retry later.
fn answered_phase(partition: &Partition) -> Option<JobPhase> {
    match partition.status("run-000001") {
        UserAnswer::Status { phase, .. } => Some(phase),
        UserAnswer::RetryLater(_) => None,
        other => panic!("{other:?}"),
    }
}

// A write of an end may have been applied, and another node may have read and answered it. Until its result is
// known, the leader, which does not have the end in memory yet, must not answer an older status.
#[test]
fn no_older_status_is_answered_while_an_end_may_be_recorded() {
    for at_once in [true, false] {
        let mut partition = partition_with_running_job("batch", 1);
        report_done_on_h1(&mut partition, 1100);
        assert_eq!(answered_phase(&partition), Some(JobPhase::Pending), "the end was not sent yet");
        partition.next_commit(1100, 32).unwrap();
        assert_eq!(answered_phase(&partition), None, "the write is in flight");
        let mut again = submit_job(&mut partition, &job_submission("run-000001", "batch", 1), 1100);
        assert!(
            matches!(again.try_recv(), Ok(UserAnswer::RetryLater(_))),
            "a repeated submission is not answered either"
        );
        partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
        assert_eq!(answered_phase(&partition), None, "the write may have been applied");
        // A later write that is certainly refused does not decide the result of the first.
        partition.next_commit(1200, 32).unwrap();
        partition.apply_commit_outcome(CommitOutcome::Refused).unwrap();
        assert_eq!(answered_phase(&partition), None);
        let commit = partition.next_commit(1300, 32).unwrap();
        if at_once {
            let keys = partition
                .apply_commit_outcome(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] })
                .unwrap();
            assert_eq!((keys.len(), answered_phase(&partition)), (1, None));
            partition.apply_reread_record(KeyValue {
                key: "job/run-000001".into(),
                value: commit.writes[0].to_json()["data"].clone(),
                version: 101,
            });
        } else {
            partition.apply_commit_outcome(CommitOutcome::Done { revision: 102 }).unwrap();
        }
        assert_eq!(answered_phase(&partition), Some(JobPhase::Done));
    }
}

#[test]
fn a_certainly_refused_end_leaves_the_status_available() {
    for result in [CommitOutcome::Refused, CommitOutcome::Conflict { failed: vec!["job/run-000099".into()] }] {
        let mut partition = partition_with_running_job("batch", 1);
        report_done_on_h1(&mut partition, 1100);
        partition.next_commit(1100, 32).unwrap();
        partition.apply_commit_outcome(result).unwrap();
        assert_eq!(answered_phase(&partition), Some(JobPhase::Pending));
    }
}

// A read after an unanswered write proves nothing, because the write may still be applied later. A record with a newer
// version does, because the write's condition requires the older one.
#[test]
fn a_read_resolves_an_indeterminate_end_only_if_the_record_changed() {
    let mut partition = partition_with_running_job("batch", 1);
    report_done_on_h1(&mut partition, 1100);
    partition.next_commit(1100, 32).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
    let value = serde_json::to_value(JobRecord::from_job(&partition.cluster.jobs[0], None, MAX_RECORD_BYTES)).unwrap();
    let item = |version| KeyValue { key: "job/run-000001".into(), value: value.clone(), version };
    partition.apply_reread_record(item(100));
    assert_eq!(answered_phase(&partition), None, "the write may still be applied");
    partition.apply_reread_record(item(103));
    assert_eq!(answered_phase(&partition), Some(JobPhase::Pending), "the write's condition can't hold any more");
    partition.apply_reread_record(item(101));
    assert_eq!(partition.cluster.jobs[0].version, 103, "the older read is ignored");
}

// While the state service is unavailable or refuses this node, a cancellation is refused at once, tasks on reachable
// machines are stopped, and the end is recorded as soon as possible.
#[test]
fn a_cancellation_in_an_outage_stops_tasks_on_reachable_machines() {
    let mut partition = partition_with_running_job("service", 1);
    let attempt = attempt_number(&partition, 0);
    partition.heartbeat(
        &heartbeat("h1", 1, 2, 1, vec![task_status("run-000001/0", attempt, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    let mut rx = request_cancellation(&mut partition, "run-000001", 1200, false);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::RetryLater(_))));
    let command = partition.take_direct_command(0, 1200, false).unwrap();
    assert!(matches!(command.orders[..], [Order::Stop { .. }]));
    partition.heartbeat(
        &heartbeat("h1", 1, 3, 1, vec![task_status("run-000001/0", attempt, "ended", Some("halted"))]),
        StatusSource::DirectCommandReply,
        1300,
    );
    partition.schedule(1300, 1300);
    assert_eq!(partition.cluster.jobs[0].tasks.get(0).place, Place::Idle, "the task is not started again");
    complete_all_commits(&mut partition, 1400, 101);
    assert_eq!(answered_phase(&partition), Some(JobPhase::Cancelled));
}

#[test]
fn a_cancellation_that_an_unreachable_machine_delays_is_refused_at_once() {
    let mut partition = partition_with_running_job("service", 1);
    partition.cluster.host_mut(0).unwrap().unanswered_commands = UNREACHABLE_AFTER_UNANSWERED;
    let mut rx = request_cancellation(&mut partition, "run-000001", 1200, true);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::RetryLater(_))));
    partition.host_terminated("h1");
    complete_all_commits(&mut partition, 1300, 101);
    assert_eq!(answered_phase(&partition), Some(JobPhase::Cancelled), "the end is recorded without another request");
}

// A job is cancelled during a failover, before its machine has answered the new leader. The task that the machine then
// reported kept running, and the job's cancellation never completed.
#[test]
fn a_task_first_reported_after_its_job_was_cancelled_is_stopped() {
    let mut old = partition_with_running_job("service", 1);
    let attempt = attempt_number(&old, 0);
    let (jobs, hosts) = stored_records(&mut old);
    let mut partition = partition_with_records(5, jobs, hosts);
    let mut rx = request_cancellation(&mut partition, "run-000001", 1100, true);
    assert!(partition.next_commit(1100, 32).is_none() && rx.try_recv().is_err(), "the task may be on h1");
    let running_task = heartbeat("h1", 1, 7, 5, vec![task_status("run-000001/0", attempt, "running", None)]);
    let orders = partition.heartbeat(&running_task, StatusSource::Heartbeat, 1200);
    assert!(matches!(orders[..], [Order::Stop { .. }]));
    assert!(partition.next_commit(1200, 32).is_none());
    partition.heartbeat(
        &heartbeat("h1", 1, 8, 5, vec![task_status("run-000001/0", attempt, "ended", Some("halted"))]),
        StatusSource::Heartbeat,
        1300,
    );
    complete_all_commits(&mut partition, 1300, 101);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
}

// The first heartbeat that a new leader gets from a machine is an old copy: the machine is terminated, and its task
// runs on another one.
#[test]
fn an_old_heartbeat_neither_registers_a_machine_nor_places_a_task() {
    let mut old = partition_with_running_job("service", 1);
    let attempt = attempt_number(&old, 0);
    let (jobs, hosts) = stored_records(&mut old);
    let mut partition = partition_with_records(5, jobs, hosts);
    partition.heartbeat(
        &heartbeat("h0", 1, 9, 4, vec![task_status("run-000001/0", 3, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    assert!(partition.next_commit(1100, 32).is_none(), "the machine is not registered");
    let isolated_from = |partition: &Partition| (2000..9000).find(|now| partition.is_isolated(*now));
    for number in 0..4 {
        partition.heartbeat(&heartbeat(&format!("g{number}"), 1, 9, 4, vec![]), StatusSource::Heartbeat, 1100);
    }
    assert_eq!(isolated_from(&partition), None, "machines known only from old heartbeats do not count as unreachable");
    // The task stays on the machine that runs it.
    let orders = partition.heartbeat(
        &heartbeat("h1", 1, 7, 5, vec![task_status("run-000001/0", attempt, "running", None)]),
        StatusSource::Heartbeat,
        1200,
    );
    assert!(orders.is_empty());
    assert_eq!(partition.cluster.jobs[0].tasks.get(0).place, Place::OnHost(0, attempt));
    // The same with an old heartbeat of the machine that runs the task, with an older attempt.
    let mut partition = partition_with_records(5, stored_records(&mut old).0, stored_records(&mut old).1);
    partition.heartbeat(
        &heartbeat("h1", 1, 5, 4, vec![task_status("run-000001/0", 2, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    partition.heartbeat(
        &heartbeat("h1", 1, 7, 5, vec![task_status("run-000001/0", attempt, "running", None)]),
        StatusSource::DirectCommandReply,
        1200,
    );
    assert_eq!(partition.cluster.jobs[0].tasks.get(0).place, Place::OnHost(0, attempt));
}

// A new machine must see this leader's fencing token before it gets tasks, and is probed at once to save time.
#[test]
fn a_new_machine_is_probed_at_once_and_used_when_it_answers() {
    let mut partition = partition();
    let _rx = submit_job(&mut partition, &job_submission("run-000001", "service", 1), 1000);
    partition.heartbeat(&heartbeat("h1", 1, 1, 0, vec![]), StatusSource::Heartbeat, 1000);
    complete_all_commits(&mut partition, 1000, 100);
    partition.schedule(1000, 1000);
    assert_eq!(partition.cluster.jobs[0].tasks.get(0).place, Place::Idle);
    assert!(partition.dispatch_queue.hosts().contains(&0));
    let command = partition.take_direct_command(0, 1010, false).unwrap();
    assert!(command.orders.is_empty());
    partition.apply_direct_command_outcome(
        &command,
        DirectCommandOutcome::Answered(Box::new(heartbeat("h1", 1, 2, 1, vec![]))),
        1020,
    );
    complete_all_commits(&mut partition, 1020, 101);
    partition.schedule(1030, 1030);
    assert!(matches!(partition.cluster.jobs[0].tasks.get(0).place, Place::OnHost(0, _)));
}

// A task has two attempts, one of which is being stopped. When the other one is lost, the task still runs on a machine
// and must not be started elsewhere.
#[test]
fn a_task_with_another_attempt_still_stopping_is_not_started_again() {
    let mut old = partition_with_running_job("service", 2);
    let (jobs, hosts) = stored_records(&mut old);
    let mut partition = partition_with_records(5, jobs, hosts);
    let on = |host: &str, sequence, attempt| {
        heartbeat(host, 1, sequence, 5, vec![task_status("run-000001/0", attempt, "running", None)])
    };
    partition.heartbeat(&on("h1", 7, 8), StatusSource::Heartbeat, 1100);
    partition.heartbeat(&on("h2", 1, 9), StatusSource::Heartbeat, 1100);
    partition.heartbeat(&heartbeat("h3", 1, 1, 5, vec![]), StatusSource::Heartbeat, 1100);
    complete_all_commits(&mut partition, 1100, 101);
    partition.heartbeat(&heartbeat("h1", 1, 8, 5, vec![]), StatusSource::Heartbeat, 1200);
    let place = |partition: &Partition, task: u32| partition.cluster.jobs[0].tasks.get(task).place;
    partition.schedule(1200, 1200);
    assert_eq!(place(&partition, 0), Place::Idle, "its attempt on h2 is still being stopped");
    assert!(matches!(place(&partition, 1), Place::OnHost(..)), "the other task has no attempt");
    partition.heartbeat(&heartbeat("h2", 1, 2, 5, vec![]), StatusSource::Heartbeat, 1300);
    partition.schedule(1300, 1300);
    assert!(matches!(place(&partition, 0), Place::OnHost(..)));
}

// A late increase of the fencing token makes the next commit fail on the partition's key. The changes of that commit
// must not be lost.
#[test]
fn a_superseded_commit_is_written_again_if_leadership_is_kept() {
    let mut partition = partition_with_running_job("batch", 1);
    report_done_on_h1(&mut partition, 1100);
    partition.next_commit(1100, 32).unwrap();
    assert_eq!(
        partition.apply_commit_outcome(CommitOutcome::Conflict { failed: vec!["part/0".into()] }),
        Err(Superseded)
    );
    partition.set_fencing_tokens(single_token(2), 90);
    let commit = partition.next_commit(1200, 32).unwrap();
    assert_eq!(commit.conditions[0], wire::condition("part/0", 90));
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 101 }).unwrap();
    assert_eq!(answered_phase(&partition), Some(JobPhase::Done));
}

// During a failover, tasks that unreconciled machines may run count against their team's limit, even those of a job
// whose cancellation was requested, until the machines are reconciled or terminated.
#[test]
fn a_team_at_its_limit_waits_for_what_unreconciled_machines_may_hold() {
    let mut old = partition_with_running_job("service", 8);
    let (jobs, hosts) = stored_records(&mut old);
    let mut partition = partition_with_records(5, jobs, hosts);
    partition.policy.teams.get_mut("red").unwrap().limit.gpus = 8.0;
    partition.heartbeat(&heartbeat("h2", 1, 2, 5, vec![]), StatusSource::Heartbeat, 1100);
    let _rx = request_cancellation(&mut partition, "run-000001", 1100, true);
    let _rx = submit_job(&mut partition, &job_submission("run-000002", "service", 1), 1100);
    complete_all_commits(&mut partition, 1100, 101);
    let second = |partition: &Partition| partition.cluster.jobs[1].tasks.get(0).place;
    partition.schedule(1200, 1200);
    assert_eq!(second(&partition), Place::Idle, "the cancelled job may still run on h1");
    partition.host_terminated("h1");
    partition.schedule(1300, 1300);
    assert!(matches!(second(&partition), Place::OnHost(..)), "it no longer counts against the limit");
}

// A creation was found recorded while another write of it was in flight. It was written once more, and its answer, 201,
// went to the user who had meanwhile requested the job's cancellation. Found in simulation with lost answers.
#[test]
fn a_job_found_to_exist_is_not_created_again() {
    let mut partition = partition();
    let mut first = submit_job(&mut partition, &job_submission("run-000001", "batch", 1), 1000);
    let commit = partition.next_commit(1000, 32).unwrap();
    partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
    for _ in 0..2 {
        partition.next_commit(1100, 32).unwrap();
        partition.apply_commit_outcome(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    }
    partition.next_commit(1200, 32).unwrap();
    partition.apply_reread_record(KeyValue {
        key: "job/run-000001".into(),
        value: commit.writes[0].to_json()["data"].clone(),
        version: 101,
    });
    assert!(matches!(first.try_recv(), Ok(UserAnswer::Accepted { .. })));
    let mut rx = request_cancellation(&mut partition, "run-000001", 1200, true);
    partition.apply_commit_outcome(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    let commit = partition.next_commit(1300, 32).unwrap();
    assert_eq!(commit.writes[0].to_json()["data"]["end"], "Cancelled");
    partition.apply_commit_outcome(CommitOutcome::Done { revision: 103 }).unwrap();
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
}

// Writes of machine records are conditional on the partition's key alone, so an unanswered one could be applied after
// the machine was transferred to another partition. A new fencing token, which changes that key, is therefore required
// first. With a single partition there are no transfers, and no fencing token is used for this.
#[test]
fn no_machine_is_transferred_while_a_late_write_may_undo_it() {
    for partitions in [1, 2] {
        let mut partition = partition();
        let mut teams = settings().partitions_of_teams(1);
        teams.insert("blue".into(), partitions - 1);
        partition.teams = team_assignment::TeamAssignment::new(0, teams);
        partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
        partition.next_commit(1000, 32).unwrap();
        partition.apply_commit_outcome(CommitOutcome::Indeterminate).unwrap();
        complete_all_commits(&mut partition, 1100, 101);
        assert_eq!(partition.needs_higher_token(), partitions > 1);
        if partitions > 1 {
            assert!(!partition.transfer_host("h1", 1), "the first write may still be applied");
            partition.set_fencing_tokens(single_token(2), 90);
            partition.heartbeat(&heartbeat("h1", 1, 2, 2, vec![]), StatusSource::Heartbeat, 1200);
            assert!(!partition.needs_higher_token() && partition.transfer_host("h1", 1));
        }
    }
}
