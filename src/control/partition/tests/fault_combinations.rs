//! Combinations of two faults, as one partition sees them.

use super::*;
use crate::model::FencingToken;
use crate::model::{JobPhase, JobRecord, Place};
use crate::wire::tests::reported;
use crate::wire::{self, Item, Order};
use tokio::sync::oneshot;

/// Takes all commits that are due, with this answer to each.
fn commits(p: &mut Partition, now: u64, revision: u64) {
    while p.next_commit(now, 32).is_some() {
        p.committed(CommitOutcome::Done { revision }).unwrap();
    }
}

fn cancel(p: &mut Partition, id: &str, now: u64, recordable: bool) -> oneshot::Receiver<UserAnswer> {
    let (tx, rx) = oneshot::channel();
    p.cancel(id, now, recordable, tx);
    rx
}

fn done_on_h1(p: &mut Partition, now: u64) {
    let a = attempt(p, 0);
    p.heartbeat(
        &heartbeat("h1", 1, now, 1, vec![reported("run-000001/0", a, "ended", Some("done"))]),
        StatusSource::Heartbeat,
        now,
    );
}

fn phase_told(p: &Partition) -> Option<JobPhase> {
    match p.status("run-000001") {
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
        let mut p = running("batch", 1);
        done_on_h1(&mut p, 1100);
        assert_eq!(phase_told(&p), Some(JobPhase::Pending), "nothing was sent yet");
        p.next_commit(1100, 32).unwrap();
        assert_eq!(phase_told(&p), None, "under way");
        let mut again = submit(&mut p, &body("run-000001", "batch", 1), 1100);
        assert!(matches!(again.try_recv(), Ok(UserAnswer::RetryLater(_))), "nor is a repeated submission");
        p.committed(CommitOutcome::Indeterminate).unwrap();
        assert_eq!(phase_told(&p), None, "it may have been carried out");
        // A later sending that is certainly refused settles nothing about the first.
        p.next_commit(1200, 32).unwrap();
        p.committed(CommitOutcome::Refused).unwrap();
        assert_eq!(phase_told(&p), None);
        let c = p.next_commit(1300, 32).unwrap();
        if at_once {
            let keys = p.committed(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
            assert_eq!((keys.len(), phase_told(&p)), (1, None));
            p.reread(Item { key: "job/run-000001".into(), value: c.writes[0].to_json()["data"].clone(), version: 101 });
        } else {
            p.committed(CommitOutcome::Done { revision: 102 }).unwrap();
        }
        assert_eq!(phase_told(&p), Some(JobPhase::Done));
    }
}

#[test]
fn an_end_that_was_certainly_refused_hides_nothing() {
    for result in [CommitOutcome::Refused, CommitOutcome::Conflict { failed: vec!["job/run-000099".into()] }] {
        let mut p = running("batch", 1);
        done_on_h1(&mut p, 1100);
        p.next_commit(1100, 32).unwrap();
        p.committed(result).unwrap();
        assert_eq!(phase_told(&p), Some(JobPhase::Pending));
    }
}

// One read after a write without an answer proves nothing, as that may be carried out
// later; a record that changed since does, as the write guards on its version.
#[test]
fn a_read_settles_an_open_end_only_if_the_record_changed_since() {
    let mut p = running("batch", 1);
    done_on_h1(&mut p, 1100);
    p.next_commit(1100, 32).unwrap();
    p.committed(CommitOutcome::Indeterminate).unwrap();
    let value = serde_json::to_value(JobRecord::of(&p.cluster.jobs[0], None, RECORD_BYTES)).unwrap();
    let item = |version| Item { key: "job/run-000001".into(), value: value.clone(), version };
    p.reread(item(100));
    assert_eq!(phase_told(&p), None, "it may still come");
    p.reread(item(103));
    assert_eq!(phase_told(&p), Some(JobPhase::Pending), "it guards on a version that is gone");
    p.reread(item(101));
    assert_eq!(p.cluster.jobs[0].version, 103, "an answer that was overtaken");
}

// The state service is out, or refuses this node: the user is refused at once, what can
// be reached is stopped, and the end is recorded as soon as it can be.
#[test]
fn a_cancellation_in_an_outage_stops_what_can_be_reached() {
    let mut p = running("service", 1);
    let a = attempt(&p, 0);
    p.heartbeat(
        &heartbeat("h1", 1, 2, 1, vec![reported("run-000001/0", a, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    let mut rx = cancel(&mut p, "run-000001", 1200, false);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::RetryLater(_))));
    let d = p.next_direct_command(0, 1200, false).unwrap();
    assert!(matches!(d.orders[..], [Order::Stop { .. }]));
    p.heartbeat(
        &heartbeat("h1", 1, 3, 1, vec![reported("run-000001/0", a, "ended", Some("halted"))]),
        StatusSource::DirectCommandReply,
        1300,
    );
    p.schedule(1300, 1300);
    assert_eq!(p.cluster.jobs[0].tasks[0].place, Place::Idle, "and not started again");
    commits(&mut p, 1400, 101);
    assert_eq!(phase_told(&p), Some(JobPhase::Cancelled));
}

#[test]
fn a_cancellation_that_an_unreachable_machine_delays_is_refused_at_once() {
    let mut p = running("service", 1);
    p.cluster.host_mut(0).unwrap().unanswered_probes = UNREACHABLE_AFTER_MISSES;
    let mut rx = cancel(&mut p, "run-000001", 1200, true);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::RetryLater(_))));
    p.host_terminated("h1");
    commits(&mut p, 1300, 101);
    assert_eq!(phase_told(&p), Some(JobPhase::Cancelled), "and recorded without being asked again");
}

// Jobs cancelled in the seconds in which work changes hands: the task is first seen when
// its machine answers the new leader, after the user asked. It ran on, and the job could
// neither be called cancelled nor end.
#[test]
fn a_task_first_seen_after_its_cancellation_was_asked_for_is_stopped() {
    let mut old = running("service", 1);
    let a = attempt(&old, 0);
    let (jobs, hosts) = items(&mut old);
    let mut p = partition_of(5, jobs, hosts);
    let mut rx = cancel(&mut p, "run-000001", 1100, true);
    assert!(p.next_commit(1100, 32).is_none() && rx.try_recv().is_err(), "it may be on h1");
    let there = heartbeat("h1", 1, 7, 5, vec![reported("run-000001/0", a, "running", None)]);
    let orders = p.heartbeat(&there, StatusSource::Heartbeat, 1200);
    assert!(matches!(orders[..], [Order::Stop { .. }]));
    assert!(p.next_commit(1200, 32).is_none());
    p.heartbeat(
        &heartbeat("h1", 1, 8, 5, vec![reported("run-000001/0", a, "ended", Some("halted"))]),
        StatusSource::Heartbeat,
        1300,
    );
    commits(&mut p, 1300, 101);
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
}

// An old report reaches every controller just as a new leader begins, as the first that
// it sees of a machine: the machine is gone, its name was released, its task is elsewhere.
#[test]
fn an_old_report_brings_no_machine_into_use_and_places_no_task() {
    let mut old = running("service", 1);
    let a = attempt(&old, 0);
    let (jobs, hosts) = items(&mut old);
    let mut p = partition_of(5, jobs, hosts);
    p.heartbeat(
        &heartbeat("h0", 1, 9, 4, vec![reported("run-000001/0", 3, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    assert!(p.next_commit(1100, 32).is_none(), "not registered");
    let quiet_from = |p: &Partition| (2000..9000).find(|now| p.is_isolated(*now));
    for i in 0..4 {
        p.heartbeat(&heartbeat(&format!("g{i}"), 1, 9, 4, vec![]), StatusSource::Heartbeat, 1100);
    }
    assert_eq!(quiet_from(&p), None, "nor does its silence count");
    // Where the task really is, it stays.
    let orders = p.heartbeat(
        &heartbeat("h1", 1, 7, 5, vec![reported("run-000001/0", a, "running", None)]),
        StatusSource::Heartbeat,
        1200,
    );
    assert!(orders.is_empty());
    assert_eq!(p.cluster.jobs[0].tasks[0].place, Place::On(0, a));
    // The same of the machine itself, with what was there before.
    let mut p = partition_of(5, items(&mut old).0, items(&mut old).1);
    p.heartbeat(
        &heartbeat("h1", 1, 5, 4, vec![reported("run-000001/0", 2, "running", None)]),
        StatusSource::Heartbeat,
        1100,
    );
    p.heartbeat(
        &heartbeat("h1", 1, 7, 5, vec![reported("run-000001/0", a, "running", None)]),
        StatusSource::DirectCommandReply,
        1200,
    );
    assert_eq!(p.cluster.jobs[0].tasks[0].place, Place::On(0, a));
}

// New machines get work at once, but only after they were shown a token of this leader.
#[test]
fn a_new_machine_is_asked_at_once_and_used_when_it_answers() {
    let mut p = partition();
    let _rx = submit(&mut p, &body("run-000001", "service", 1), 1000);
    p.heartbeat(&heartbeat("h1", 1, 1, 0, vec![]), StatusSource::Heartbeat, 1000);
    commits(&mut p, 1000, 100);
    p.schedule(1000, 1000);
    assert_eq!(p.cluster.jobs[0].tasks[0].place, Place::Idle);
    assert!(p.dispatch_queue.hosts().contains(&0));
    let d = p.next_direct_command(0, 1010, false).unwrap();
    assert!(d.orders.is_empty());
    p.direct_command_done(&d, DirectCommandOutcome::Answered(Box::new(heartbeat("h1", 1, 2, 1, vec![]))), 1020);
    commits(&mut p, 1020, 101);
    p.schedule(1030, 1030);
    assert!(matches!(p.cluster.jobs[0].tasks[0].place, Place::On(0, _)));
}

// Two attempts of a task, one of them unwanted and told to stop: when the wanted one is
// lost, the task is on a machine all the same and must not be started elsewhere.
#[test]
fn a_task_with_a_copy_that_lingers_is_not_started_again() {
    let mut old = running("service", 2);
    let (jobs, hosts) = items(&mut old);
    let mut p = partition_of(5, jobs, hosts);
    let on = |host: &str, n, a| heartbeat(host, 1, n, 5, vec![reported("run-000001/0", a, "running", None)]);
    p.heartbeat(&on("h1", 7, 8), StatusSource::Heartbeat, 1100);
    p.heartbeat(&on("h2", 1, 9), StatusSource::Heartbeat, 1100);
    p.heartbeat(&heartbeat("h3", 1, 1, 5, vec![]), StatusSource::Heartbeat, 1100);
    commits(&mut p, 1100, 101);
    p.heartbeat(&heartbeat("h1", 1, 8, 5, vec![]), StatusSource::Heartbeat, 1200);
    let place = |p: &Partition, n: usize| p.cluster.jobs[0].tasks[n].place;
    p.schedule(1200, 1200);
    assert_eq!(place(&p, 0), Place::Idle, "its copy on h2 is being stopped");
    assert!(matches!(place(&p, 1), Place::On(..)), "the other one is nowhere");
    p.heartbeat(&heartbeat("h2", 1, 2, 5, vec![]), StatusSource::Heartbeat, 1300);
    p.schedule(1300, 1300);
    assert!(matches!(place(&p, 0), Place::On(..)));
}

// A raise of the fencing token that was carried out late makes the next commit fail on the partition's
// key. What that commit was to say is not lost.
#[test]
fn what_a_superseded_commit_held_is_written_again_if_the_partition_is_still_ours() {
    let mut p = running("batch", 1);
    done_on_h1(&mut p, 1100);
    p.next_commit(1100, 32).unwrap();
    assert_eq!(p.committed(CommitOutcome::Conflict { failed: vec!["part/0".into()] }), Err(Superseded));
    p.set_fencing_token(FencingToken(2), 90);
    let c = p.next_commit(1200, 32).unwrap();
    assert_eq!(c.conditions[0], wire::condition("part/0", 90));
    p.committed(CommitOutcome::Done { revision: 101 }).unwrap();
    assert_eq!(phase_told(&p), Some(JobPhase::Done));
}

// Teams at their limit while the leader changes: what unreconciled machines may hold of a
// team counts, also of a job whose cancellation was asked for, and no longer than that.
#[test]
fn a_team_at_its_limit_waits_for_what_unreconciled_machines_may_hold() {
    let mut old = running("service", 8);
    let (jobs, hosts) = items(&mut old);
    let mut p = partition_of(5, jobs, hosts);
    p.policy.teams.get_mut("red").unwrap().limit.gpus = 8.0;
    p.heartbeat(&heartbeat("h2", 1, 2, 5, vec![]), StatusSource::Heartbeat, 1100);
    let _rx = cancel(&mut p, "run-000001", 1100, true);
    let _rx = submit(&mut p, &body("run-000002", "service", 1), 1100);
    commits(&mut p, 1100, 101);
    let second = |p: &Partition| p.cluster.jobs[1].tasks[0].place;
    p.schedule(1200, 1200);
    assert_eq!(second(&p), Place::Idle, "the cancelled job may still be on h1");
    p.host_terminated("h1");
    p.schedule(1300, 1300);
    assert!(matches!(second(&p), Place::On(..)), "and then it counts no more");
}

// Found in simulated time (close looks, answers lost): a creation that was found to exist
// while another write of it was under way was written once more, and its answer, 201, went
// to the user who had meanwhile asked to cancel the job.
#[test]
fn a_job_found_to_exist_is_not_created_again() {
    let mut p = partition();
    let mut first = submit(&mut p, &body("run-000001", "batch", 1), 1000);
    let c = p.next_commit(1000, 32).unwrap();
    p.committed(CommitOutcome::Indeterminate).unwrap();
    for _ in 0..2 {
        p.next_commit(1100, 32).unwrap();
        p.committed(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    }
    p.next_commit(1200, 32).unwrap();
    p.reread(Item { key: "job/run-000001".into(), value: c.writes[0].to_json()["data"].clone(), version: 101 });
    assert!(matches!(first.try_recv(), Ok(UserAnswer::Accepted { .. })));
    let mut rx = cancel(&mut p, "run-000001", 1200, true);
    p.committed(CommitOutcome::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
    let c = p.next_commit(1300, 32).unwrap();
    assert_eq!(c.writes[0].to_json()["data"]["end"], "Cancelled");
    p.committed(CommitOutcome::Done { revision: 103 }).unwrap();
    assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
}

// Writes of machines' records guard on the partition's key alone. One without an answer may be
// carried out after the machine has moved to another partition: first a new fencing token, which changes
// that key. With one partition there are no moves, and no fencing token is spent on it.
#[test]
fn no_machine_moves_while_a_late_write_may_undo_it() {
    for partitions in [1, 2] {
        let mut p = partition();
        let mut teams = settings().partitions_of_teams(1);
        teams.insert("blue".into(), partitions - 1);
        p.teams = team_assignment::TeamAssignment::new(0, teams);
        p.heartbeat(&heartbeat("h1", 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
        p.next_commit(1000, 32).unwrap();
        p.committed(CommitOutcome::Indeterminate).unwrap();
        commits(&mut p, 1100, 101);
        assert_eq!(p.needs_higher_token(), partitions > 1);
        if partitions > 1 {
            assert!(!p.transfer_host("h1", 1), "the first write may still come");
            p.set_fencing_token(FencingToken(2), 90);
            p.heartbeat(&heartbeat("h1", 1, 2, 2, vec![]), StatusSource::Heartbeat, 1200);
            assert!(!p.needs_higher_token() && p.transfer_host("h1", 1));
        }
    }
}
