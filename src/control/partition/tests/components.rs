//! Unit tests of the components of a partition.

use super::commit_builder::{CommitBuilder, ConditionalWrite};
use super::commit_queue::{CommitQueue, WritePriority};
use super::external_dependencies::ExternalDependencies;
use super::heartbeat_load::HeartbeatLoad;
use super::host_directory::HostDirectory;
use super::leadership_epoch::LeadershipEpoch;
use super::reconciliation::Reconciliation;
use super::scheduling_triggers::SchedulingTriggers;
use super::team_assignment::TeamAssignment;
use super::waiting_clients::WaitingClients;
use super::*;
use crate::model::{JobEnd, Shape, UnsavedChange, Urgency};

/// Returns accepted jobs with these unsaved changes and urgencies.
fn jobs(changes: &[(UnsavedChange, Urgency)]) -> Vec<Job> {
    let job = |(change, urgency): &(UnsavedChange, Urgency)| {
        let mut job = Job::new(wire::parse_submission(&job_submission("run-000001", "batch", 1)).unwrap(), 0, 0);
        // A version marks the job as accepted; only accepted jobs are active.
        job.version = 1;
        (job.unsaved, job.urgency, job.spec.urgency) = (*change, *urgency, *urgency);
        job
    };
    changes.iter().map(job).collect()
}

/// Returns a commit queue in which all jobs are marked.
fn commit_queue(jobs: &[Job]) -> CommitQueue {
    let mut queue = CommitQueue::new(settings().write_limits());
    (0..jobs.len()).for_each(|job| queue.mark_job(job));
    queue
}

#[test]
fn ends_are_written_before_creations_and_these_before_progress() {
    let jobs = jobs(&[
        (UnsavedChange::Progress, Urgency::High),
        (UnsavedChange::Creation, Urgency::Low),
        (UnsavedChange::End(JobEnd::Done), Urgency::Low),
        (UnsavedChange::Creation, Urgency::High),
        (UnsavedChange::Nothing, Urgency::High),
    ]);
    let queue = commit_queue(&jobs);
    let due = |now| queue.due_records(&jobs, 500, now).iter().map(|record| record.job).collect::<Vec<_>>();
    assert_eq!(due(1000), [2, 3, 1], "progress waits for three heartbeats");
    assert_eq!(due(1500), [2, 3, 1, 0]);
    assert_eq!((queue.creations_due(&jobs, Urgency::Low), queue.creations_due(&jobs, Urgency::High)), (2, 1));
}

#[test]
fn a_dependents_cancellation_is_written_after_creations() {
    let mut jobs =
        jobs(&[(UnsavedChange::End(JobEnd::Cancelled), Urgency::High), (UnsavedChange::Creation, Urgency::Low)]);
    jobs[0].end = Some(JobEnd::Cancelled);
    let due = commit_queue(&jobs).due_records(&jobs, 500, 0);
    assert_eq!(due.iter().map(|record| record.job).collect::<Vec<_>>(), [1, 0]);
    assert_eq!(due[1].priority, WritePriority::PropagatedCancellation);
}

#[test]
fn the_commit_size_shrinks_to_one_faulty_change_and_grows_again() {
    let mut queue = commit_queue(&[]);
    let most = queue.max_changes();
    assert!(!queue.lower_max_changes(8));
    assert_eq!(queue.max_changes(), 4);
    queue.raise_max_changes();
    assert_eq!(queue.max_changes(), 8);
    assert!(queue.lower_max_changes(1), "a commit of one change identifies the faulty one");
    assert_eq!(queue.max_changes(), most);
    queue.raise_max_changes();
    assert_eq!(queue.max_changes(), most);
}

#[test]
fn a_host_write_is_indeterminate_until_the_partitions_key_changes() {
    let mut queue = commit_queue(&[]);
    queue.set_indeterminate_host_write(77);
    assert!(queue.is_host_write_indeterminate(77) && !queue.is_host_write_indeterminate(78));
}

#[test]
fn a_commit_takes_one_record_of_any_size_and_no_more_over_the_size_limit() {
    let mut builder = CommitBuilder::new(wire::condition("part/0", 1), 32);
    assert!(builder.build().is_none(), "an empty commit is not built");
    builder = CommitBuilder::new(wire::condition("part/0", 1), 2);
    assert!(builder.reserve_job_record("job/1", 60 * 1024));
    let write = wire::put("job/1", &json!(1), None);
    builder.add_conditional(wire::condition("job/1", 0), write, PendingWrite::DeletedKey("job/1".into()));
    assert!(builder.is_over_size() && !builder.reserve_job_record("job/2", 1));
    assert_eq!(builder.changes_left_for_reservations(), None, "job records take more than half of the commit");
    builder.add_group(
        vec![ConditionalWrite { condition: wire::condition("pool/1", 0), write: wire::delete("pool/1") }],
        PendingWrite::Pools,
    );
    assert!(builder.is_full());
    let (commit, pending) = builder.build().unwrap();
    assert_eq!((commit.conditions.len(), commit.writes.len(), pending.len()), (3, 2, 2));
}

#[test]
fn numbers_of_a_later_fencing_token_exceed_all_earlier_ones() {
    let mut epoch = LeadershipEpoch::new("part/0".into());
    assert_eq!((epoch.partition_version(), epoch.fencing_token()), (0, FencingToken::NONE));
    epoch.begin(single_token(3), 77, 1000);
    let first = epoch.next_number();
    assert_eq!(epoch.peek_next_number(), first + 1);
    epoch.set_tokens(single_token(3), 78);
    assert_eq!((epoch.next_number(), epoch.condition().version), (first + 1, 78));
    epoch.set_tokens(single_token(4), 79);
    assert!(epoch.next_number() >= 4 << 32);
    assert_eq!((epoch.first_token(), epoch.begun_ms()), (FencingToken(3), 1000));
}

#[test]
fn all_clients_that_wait_for_a_job_are_answered_at_its_end() {
    let mut clients = WaitingClients::default();
    let (submitter, mut submitted) = oneshot::channel();
    let (canceller, mut cancelled) = oneshot::channel();
    let (gone, receiver) = oneshot::channel();
    drop(receiver);
    clients.await_acceptance(1, submitter);
    clients.await_end(1, gone);
    clients.await_end(1, canceller);
    clients.answer_all(2, &UserAnswer::Unknown);
    assert!(submitted.try_recv().is_err(), "another job has ended");
    clients.answer_all(1, &UserAnswer::Unknown);
    assert_eq!((submitted.try_recv(), cancelled.try_recv()), (Ok(UserAnswer::Unknown), Ok(UserAnswer::Unknown)));
    assert!(clients.take_submitters(1).is_empty());
}

#[test]
fn a_machine_is_assigned_to_one_other_partition_at_a_time() {
    let mut directory = HostDirectory::default();
    directory.assign("h1".into(), 1);
    directory.assign("h1".into(), 2);
    assert_eq!(directory.other_partition_of("h1"), Some(2));
    directory.unassign("h1");
    assert_eq!(directory.other_partition_of("h1"), None);
    directory.set_pending_transfers([("h2".to_string(), 1)].into());
    assert_eq!((directory.take_pending_transfer("h2"), directory.take_pending_transfer("h2")), (Some(1), None));
    directory.request_reread("h3");
    directory.request_reread("h3");
    assert_eq!((directory.take_records_to_reread().len(), directory.take_records_to_reread().len()), (1, 0));
    directory.mark_terminated("h1");
    assert!(directory.is_terminated("h1") && !directory.is_terminated("h2"));
}

#[test]
fn a_cycle_for_urgent_jobs_leaves_a_cycle_for_all_jobs_due() {
    let jobs = jobs(&[(UnsavedChange::Nothing, Urgency::Low), (UnsavedChange::Nothing, Urgency::High)]);
    let mut triggers = SchedulingTriggers::new();
    triggers.request_cycle_for(Urgency::Low);
    assert!(triggers.is_cycle_due() && !triggers.is_urgent_cycle_due());
    triggers.request_cycle_for(Urgency::High);
    triggers.begin_cycle(Urgency::Low);
    assert!(!triggers.is_cycle_due() && !triggers.is_urgent_cycle_due(), "the cycle for all jobs includes urgent ones");
    triggers.end_cycle(&jobs, Urgency::Low, vec![0, 1], 3);
    triggers.request_cycle();
    triggers.request_urgent_cycle();
    triggers.begin_cycle(Urgency::High);
    assert!(triggers.is_cycle_due() && !triggers.is_urgent_cycle_due());
    triggers.end_cycle(&jobs, Urgency::High, vec![], 2);
    assert_eq!(
        (triggers.pending_jobs(), triggers.hosts_examined()),
        (&[0][..], 5),
        "the cycle does not try less urgent jobs"
    );
}

#[test]
fn teams_without_an_assignment_belong_to_every_partition() {
    let teams = TeamAssignment::new(0, [("red".to_string(), 0), ("blue".to_string(), 1)].into());
    assert!(teams.owns_team("red") && teams.owns_team("green") && !teams.owns_team("blue"));
    assert!(!teams.owns_all_teams() && TeamAssignment::new(1, [("blue".to_string(), 1)].into()).owns_all_teams());
}

#[test]
fn a_machine_of_unknown_type_may_hold_anything_until_it_is_reconciled() {
    let mut cluster = ClusterState { all_reconciled: true, ..ClusterState::default() };
    let mut host = Host::new("h1".into(), "a".into(), false, None, 0);
    host.registered = true;
    let index = cluster.add_host(host);
    let mut reconciliation = Reconciliation::default();
    assert!(!reconciliation.count(&mut cluster));
    assert!(!cluster.all_reconciled && cluster.unreconciled.gpus.is_infinite());
    assert_eq!(cluster.unreconciled_offerings.len(), 1);
    cluster.host_mut(index).unwrap().reconciled = true;
    reconciliation.request_count();
    assert!(reconciliation.is_count_due() && reconciliation.count(&mut cluster), "the last machine is reconciled");
    assert!(cluster.all_reconciled && !reconciliation.is_count_due());
    assert!(!reconciliation.count(&mut cluster), "the count is unchanged");
}

#[test]
fn the_end_of_an_external_job_is_reported_once() {
    let mut external = ExternalDependencies::default();
    external.insert("run-000001".into());
    assert_eq!(external.open(), ["run-000001"]);
    assert_eq!(external.update("run-000001", Shape::Batch, None), None);
    assert_eq!(external.update("run-000001", Shape::Batch, Some(JobEnd::Done)), Some(JobEnd::Done));
    assert_eq!(external.update("run-000001", Shape::Batch, Some(JobEnd::Done)), None);
    assert_eq!((external.end_of("run-000001"), external.open().len()), (Some(JobEnd::Done), 0));
    assert_eq!(external.update("run-000002", Shape::Service, None), None);
    assert!(external.is_service("run-000002") && external.is_known("run-000002") && !external.is_known("run-000003"));
}

#[test]
fn more_entries_in_heartbeats_allow_fewer_attempts() {
    let bounds = partition().policy.attempt_bounds;
    let mut load = HeartbeatLoad::new(1000);
    let unmeasured = load.max_attempts(&bounds, 10, 0);
    load.record(30);
    let once_a_heartbeat = load.max_attempts(&bounds, 10, 3000);
    load.record(120);
    let four_times = load.max_attempts(&bounds, 10, 6000);
    assert!(unmeasured <= four_times && four_times <= once_a_heartbeat);
}
