//! Combinations of two faults, as one partition sees them.

use super::*;
use crate::model::FencingToken;
use crate::model::{JobPhase, JobRecord, Place};
use crate::wire::tests::reported;
use crate::wire::{self, Item, Order};

fn done_on_h1(partition: &mut Partition, now: u64) {
    let a = attempt(partition, 0);
    partition.heartbeat(
        &heartbeat("h1", 1, now, 1, vec![reported("run-000001/0", a, "ended", Some("done"))]),
        StatusSource::Heartbeat,
        now,
    );
}

fn phase_told(partition: &Partition) -> Option<JobPhase> {
    match partition.status("run-000001") {
        UserAnswer::Status { phase, .. } => Some(phase),
        UserAnswer::RetryLater(_) => None,
        other => panic!("{other:?}"),
    }
}

// An end that was sent may have been carried out, and another node may have read it and
// told it. Until that is settled the leader, whose memory has no end yet, says nothing.
#[test]
fn nothing_older_is_answered_while_an_end_may_have_been_recorded() {
    for at_once in [true, false] {
        let mut partition = running("batch", 1);
        done_on_h1(&mut partition, 1100);
        assert_eq!(phase_told(&partition), Some(JobPhase::Pending), "nothing was sent yet");
        partition.next_commit(1100, 32).unwrap();
        assert_eq!(phase_told(&partition), None, "under way");
        let mut again = submit(&mut partition, &body("run-000001", "batch", 1), 1100);
        assert!(matches!(again.try_recv(), Ok(UserAnswer::RetryLater(_))), "nor is a repeated submission");
        partition.committed(CommitOutcome::Indeterminate).unwrap();
        assert_eq!(phase_told(&partition), None, "it may have been carried out");
        // A later sending that is certainly refused settles nothing about the first.
        partition.next_commit(1200, 32).unwrap();
        partition.committed(CommitOutcome::Refused).unwrap();
        assert_eq!(phase_told(&partition), None);
        let c = partition.next_commit(1300, 32).unwrap();
        if at_once {
            let keys = partition.committed(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
            assert_eq!((keys.len(), phase_told(&partition)), (1, None));
            partition.reread(Item {
                key: "job/run-000001".into(),
                value: c.writes[0].to_json()["data"].clone(),
                version: 101,
            });
        } else {
            partition.committed(CommitOutcome::Done { revision: 102 }).unwrap();
        }
        assert_eq!(phase_told(&partition), Some(JobPhase::Done));
    }
}

#[test]
fn an_end_that_was_certainly_refused_hides_nothing() {
    for result in [CommitOutcome::Refused, CommitOutcome::Conflict { failed: vec!["job/run-000099".into()] }] {
        let mut partition = running("batch", 1);
        done_on_h1(&mut partition, 1100);
        partition.next_commit(1100, 32).unwrap();
        partition.committed(result).unwrap();
        assert_eq!(phase_told(&partition), Some(JobPhase::Pending));
    }
}

// One read after a write without an answer proves nothing, as that may be carried out
// later; a record that changed since does, as the write guards on its version.
#[test]
fn a_read_settles_an_open_end_only_if_the_record_changed_since() {
    let mut partition = running("batch", 1);
    done_on_h1(&mut partition, 1100);
    partition.next_commit(1100, 32).unwrap();
    partition.committed(CommitOutcome::Indeterminate).unwrap();
    let value = serde_json::to_value(JobRecord::of(&partition.cluster.jobs[0], None, RECORD_BYTES)).unwrap();
    let item = |version| Item { key: "job/run-000001".into(), value: value.clone(), version };
    partition.reread(item(100));
    assert_eq!(phase_told(&partition), None, "it may still come");
    partition.reread(item(103));
    assert_eq!(phase_told(&partition), Some(JobPhase::Pending), "it guards on a version that is gone");
    partition.reread(item(101));
    assert_eq!(partition.cluster.jobs[0].version, 103, "an answer that was overtaken");
}

// The state service is out, or refuses this node: the user is refused at once, what can
// be reached is stopped, and the end is recorded as soon as it can be.
#[test]
fn a_cancellation_in_an_outage_stops_what_can_be_reached() {
    let mut partition = running("service", 1);
    let a = attempt(&partition, 0);
    partition.heartbeat(
        &heartbeat("h1", 1, 2, 1, vec![reported("run-000001/0", a, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    let mut rx = request_cancellation(&mut partition, "run-000001", 1200, false);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::RetryLater(_))));
    let d = partition.next_direct_command(0, 1200, false).unwrap();
    assert!(matches!(d.orders[..], [Order::Stop { .. }]));
    partition.heartbeat(
        &heartbeat("h1", 1, 3, 1, vec![reported("run-000001/0", a, "ended", Some("halted"))]),
        StatusSource::DirectCommandReply,
        1300,
    );
    partition.schedule(1300, 1300);
    assert_eq!(partition.cluster.jobs[0].tasks[0].place, Place::Idle, "and not started again");
    commit_all_at(&mut partition, 1400, 101);
    assert_eq!(phase_told(&partition), Some(JobPhase::Cancelled));
}

#[test]
fn a_cancellation_that_an_unreachable_machine_delays_is_refused_at_once() {
    let mut partition = running("service", 1);
    partition.cluster.host_mut(0).unwrap().unanswered_probes = UNREACHABLE_AFTER_MISSES;
    let mut rx = request_cancellation(&mut partition, "run-000001", 1200, true);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::RetryLater(_))));
    partition.host_terminated("h1");
    commit_all_at(&mut partition, 1300, 101);
    assert_eq!(phase_told(&partition), Some(JobPhase::Cancelled), "and recorded without being asked again");
}

// Jobs cancelled in the seconds in which work changes hands: the task is first seen when
// its machine answers the new leader, after the user asked. It ran on, and the job could
// neither be called cancelled nor end.
#[test]
fn a_task_first_seen_after_its_cancellation_was_asked_for_is_stopped() {
    let mut old = running("service", 1);
    let a = attempt(&old, 0);
    let (jobs, hosts) = items(&mut old);
    let mut partition = partition_of(5, jobs, hosts);
    let mut rx = request_cancellation(&mut partition, "run-000001", 1100, true);
    assert!(partition.next_commit(1100, 32).is_none() && rx.try_recv().is_err(), "it may be on h1");
    let there = heartbeat("h1", 1, 7, 5, vec![reported("run-000001/0", a, "running", None)]);
    let orders = partition.heartbeat(&there, StatusSource::Heartbeat, 1200);
    assert!(matches!(orders[..], [Order::Stop { .. }]));
    assert!(partition.next_commit(1200, 32).is_none());
    partition.heartbeat(
        &heartbeat("h1", 1, 8, 5, vec![reported("run-000001/0", a, "ended", Some("halted"))]),
        StatusSource::Heartbeat,
        1300,
    );
    commit_all_at(&mut partition, 1300, 101);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
}

// An old report reaches every controller just as a new leader begins, as the first that
// it sees of a machine: the machine is gone, its name was released, its task is elsewhere.
#[test]
fn an_old_report_brings_no_machine_into_use_and_places_no_task() {
    let mut old = running("service", 1);
    let a = attempt(&old, 0);
    let (jobs, hosts) = items(&mut old);
    let mut partition = partition_of(5, jobs, hosts);
    partition.heartbeat(
        &heartbeat("h0", 1, 9, 4, vec![reported("run-000001/0", 3, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    assert!(partition.next_commit(1100, 32).is_none(), "not registered");
    let quiet_from = |partition: &Partition| (2000..9000).find(|now| partition.is_isolated(*now));
    for i in 0..4 {
        partition.heartbeat(&heartbeat(&format!("g{i}"), 1, 9, 4, vec![]), StatusSource::Heartbeat, 1100);
    }
    assert_eq!(quiet_from(&partition), None, "nor does its silence count");
    // Where the task really is, it stays.
    let orders = partition.heartbeat(
        &heartbeat("h1", 1, 7, 5, vec![reported("run-000001/0", a, "running", None)]),
        StatusSource::Heartbeat,
        1200,
    );
    assert!(orders.is_empty());
    assert_eq!(partition.cluster.jobs[0].tasks[0].place, Place::On(0, a));
    // The same of the machine itself, with what was there before.
    let mut partition = partition_of(5, items(&mut old).0, items(&mut old).1);
    partition.heartbeat(
        &heartbeat("h1", 1, 5, 4, vec![reported("run-000001/0", 2, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    partition.heartbeat(
        &heartbeat("h1", 1, 7, 5, vec![reported("run-000001/0", a, "running", None)]),
        StatusSource::DirectCommandReply,
        1200,
    );
    assert_eq!(partition.cluster.jobs[0].tasks[0].place, Place::On(0, a));
}

// New machines get work at once, but only after they were shown a token of this leader.
#[test]
fn a_new_machine_is_asked_at_once_and_used_when_it_answers() {
    let mut partition = partition();
    let _rx = submit(&mut partition, &body("run-000001", "service", 1), 1000);
    partition.heartbeat(&heartbeat("h1", 1, 1, 0, vec![]), StatusSource::Heartbeat, 1000);
    commit_all_at(&mut partition, 1000, 100);
    partition.schedule(1000, 1000);
    assert_eq!(partition.cluster.jobs[0].tasks[0].place, Place::Idle);
    assert!(partition.dispatch_queue.hosts().contains(&0));
    let d = partition.next_direct_command(0, 1010, false).unwrap();
    assert!(d.orders.is_empty());
    partition.direct_command_done(&d, DirectCommandOutcome::Answered(Box::new(heartbeat("h1", 1, 2, 1, vec![]))), 1020);
    commit_all_at(&mut partition, 1020, 101);
    partition.schedule(1030, 1030);
    assert!(matches!(partition.cluster.jobs[0].tasks[0].place, Place::On(0, _)));
}

// Two attempts of a task, one of them unwanted and told to stop: when the wanted one is
// lost, the task is on a machine all the same and must not be started elsewhere.
#[test]
fn a_task_with_a_copy_that_lingers_is_not_started_again() {
    let mut old = running("service", 2);
    let (jobs, hosts) = items(&mut old);
    let mut partition = partition_of(5, jobs, hosts);
    let on = |host: &str, n, a| heartbeat(host, 1, n, 5, vec![reported("run-000001/0", a, "running", None)]);
    partition.heartbeat(&on("h1", 7, 8), StatusSource::Heartbeat, 1100);
    partition.heartbeat(&on("h2", 1, 9), StatusSource::Heartbeat, 1100);
    partition.heartbeat(&heartbeat("h3", 1, 1, 5, vec![]), StatusSource::Heartbeat, 1100);
    commit_all_at(&mut partition, 1100, 101);
    partition.heartbeat(&heartbeat("h1", 1, 8, 5, vec![]), StatusSource::Heartbeat, 1200);
    let place = |partition: &Partition, n: usize| partition.cluster.jobs[0].tasks[n].place;
    partition.schedule(1200, 1200);
    assert_eq!(place(&partition, 0), Place::Idle, "its copy on h2 is being stopped");
    assert!(matches!(place(&partition, 1), Place::On(..)), "the other one is nowhere");
    partition.heartbeat(&heartbeat("h2", 1, 2, 5, vec![]), StatusSource::Heartbeat, 1300);
    partition.schedule(1300, 1300);
    assert!(matches!(place(&partition, 0), Place::On(..)));
}

// A raise of the fencing token that was carried out late makes the next commit fail on the partition's
// key. What that commit was to say is not lost.
#[test]
fn what_a_superseded_commit_held_is_written_again_if_the_partition_is_still_ours() {
    let mut partition = running("batch", 1);
    done_on_h1(&mut partition, 1100);
    partition.next_commit(1100, 32).unwrap();
    assert_eq!(partition.committed(CommitOutcome::Conflict { failed: vec!["part/0".into()] }), Err(Superseded));
    partition.set_fencing_token(FencingToken(2), 90);
    let c = partition.next_commit(1200, 32).unwrap();
    assert_eq!(c.conditions[0], wire::condition("part/0", 90));
    partition.committed(CommitOutcome::Done { revision: 101 }).unwrap();
    assert_eq!(phase_told(&partition), Some(JobPhase::Done));
}

// Teams at their limit while the leader changes: what unreconciled machines may hold of a
// team counts, also of a job whose cancellation was asked for, and no longer than that.
#[test]
fn a_team_at_its_limit_waits_for_what_unreconciled_machines_may_hold() {
    let mut old = running("service", 8);
    let (jobs, hosts) = items(&mut old);
    let mut partition = partition_of(5, jobs, hosts);
    partition.policy.teams.get_mut("red").unwrap().limit.gpus = 8.0;
    partition.heartbeat(&heartbeat("h2", 1, 2, 5, vec![]), StatusSource::Heartbeat, 1100);
    let _rx = request_cancellation(&mut partition, "run-000001", 1100, true);
    let _rx = submit(&mut partition, &body("run-000002", "service", 1), 1100);
    commit_all_at(&mut partition, 1100, 101);
    let second = |partition: &Partition| partition.cluster.jobs[1].tasks[0].place;
    partition.schedule(1200, 1200);
    assert_eq!(second(&partition), Place::Idle, "the cancelled job may still be on h1");
    partition.host_terminated("h1");
    partition.schedule(1300, 1300);
    assert!(matches!(second(&partition), Place::On(..)), "and then it counts no more");
}

// Found in simulated time (close looks, answers lost): a creation that was found to exist
// while another write of it was under way was written once more, and its answer, 201, went
// to the user who had meanwhile asked to cancel the job.
#[test]
fn a_job_found_to_exist_is_not_created_again() {
    let mut partition = partition();
    let mut first = submit(&mut partition, &body("run-000001", "batch", 1), 1000);
    let c = partition.next_commit(1000, 32).unwrap();
    partition.committed(CommitOutcome::Indeterminate).unwrap();
    for _ in 0..2 {
        partition.next_commit(1100, 32).unwrap();
        partition.committed(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    }
    partition.next_commit(1200, 32).unwrap();
    partition.reread(Item { key: "job/run-000001".into(), value: c.writes[0].to_json()["data"].clone(), version: 101 });
    assert!(matches!(first.try_recv(), Ok(UserAnswer::Accepted { .. })));
    let mut rx = request_cancellation(&mut partition, "run-000001", 1200, true);
    partition.committed(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    let c = partition.next_commit(1300, 32).unwrap();
    assert_eq!(c.writes[0].to_json()["data"]["end"], "Cancelled");
    partition.committed(CommitOutcome::Done { revision: 103 }).unwrap();
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
}

// Writes of machines' records guard on the partition's key alone. One without an answer may be
// carried out after the machine has moved to another partition: first a new fencing token, which changes
// that key. With one partition there are no moves, and no fencing token is spent on it.
#[test]
fn no_machine_moves_while_a_late_write_may_undo_it() {
    for partitions in [1, 2] {
        let mut partition = partition();
        let mut teams = settings().partitions_of_teams(1);
        teams.insert("blue".into(), partitions - 1);
        partition.teams = team_assignment::TeamAssignment::new(0, teams);
        partition.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
        partition.next_commit(1000, 32).unwrap();
        partition.committed(CommitOutcome::Indeterminate).unwrap();
        commit_all_at(&mut partition, 1100, 101);
        assert_eq!(partition.needs_higher_token(), partitions > 1);
        if partitions > 1 {
            assert!(!partition.transfer_host("h1", 1), "the first write may still come");
            partition.set_fencing_token(FencingToken(2), 90);
            partition.heartbeat(&heartbeat("h1", 1, 2, 2, vec![]), StatusSource::Heartbeat, 1200);
            assert!(!partition.needs_higher_token() && partition.transfer_host("h1", 1));
        }
    }
}
