//! Tests of failing tasks and of the detection of faulty machines.

use super::*;

#[test]
fn a_task_that_fails_on_all_machines_backs_off_and_marks_none_faulty() {
    let mut partition = partition();
    for host in ["h1", "h2"] {
        partition.heartbeat(&heartbeat(host, 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    }
    let _rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 1), 1000);
    complete_next_commit(&mut partition, 1000, 100);
    let mut now = 1000;
    for round in 0..4 {
        partition.cluster.jobs[0].tasks.update(0, |task| task.retry_after_ms = 0);
        partition.schedule(now, now);
        let Place::OnHost(host_index, attempt) = partition.cluster.jobs[0].tasks.get(0).place else {
            panic!("not placed in round {round}")
        };
        let host = partition.cluster.host(host_index).unwrap().id.clone();
        now += 500;
        let ended = vec![task_status("run-000001/0", attempt, "ended", Some("error"))];
        partition.heartbeat(&heartbeat(&host, 1, now, 1, ended), StatusSource::Heartbeat, now);
        partition.cluster.host_mut(host_index).unwrap().blocked_until_ms = if round == 0 { now + 600 } else { 0 };
    }
    assert!(partition.cluster.jobs[0].tasks.get(0).retry_after_ms > now + 2000);
    assert!(partition.cluster.each_host().all(|(_, host)| host.failed_jobs.is_empty()));
}

/// Returns a partition with two machines and a job of one task, and the machine on which the task failed.
fn failed_once() -> (Partition, HostIndex) {
    let mut partition = partition();
    for host in ["h1", "h2"] {
        partition.heartbeat(&heartbeat(host, 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    }
    let _rx = submit_job(&mut partition, &job_submission("run-000001", "batch", 1), 1000);
    complete_next_commit(&mut partition, 1000, 100);
    let failed = end_task(&mut partition, "error", 1000);
    (partition, failed)
}

/// Places the only task and reports its end. Returns the machine on which it ran.
fn end_task(partition: &mut Partition, reason: &str, now: u64) -> HostIndex {
    partition.schedule(now, now);
    let Place::OnHost(host_index, attempt) = partition.cluster.jobs[0].tasks.get(0).place else { panic!("not placed") };
    let host = partition.cluster.host(host_index).unwrap().id.clone();
    let ended = vec![task_status("run-000001/0", attempt, "ended", Some(reason))];
    partition.heartbeat(&heartbeat(&host, 1, now, 1, ended), StatusSource::Heartbeat, now);
    host_index
}

#[test]
fn a_machine_is_faulty_if_what_failed_there_succeeds_on_another_one() {
    let (mut partition, failed) = failed_once();
    assert!(!partition.cluster.host(failed).unwrap().faulty(), "the job may be faulty");
    let sound = end_task(&mut partition, "done", 2000);
    assert_ne!(sound, failed);
    assert!(partition.cluster.host(failed).unwrap().faulty());
    assert!(!partition.cluster.host(sound).unwrap().faulty());
}

#[test]
fn a_machine_is_not_faulty_if_the_job_fails_on_another_one_or_it_completes_something_itself() {
    let (mut partition, failed) = failed_once();
    let other = end_task(&mut partition, "error", 2000);
    assert_ne!(other, failed);
    partition.cluster.jobs[0].tasks.update(0, |task| task.retry_after_ms = 0);
    end_task(&mut partition, "done", 3000);
    assert!(partition.cluster.each_host().all(|(_, host)| !host.faulty()), "the job failed on both machines");

    let (mut partition, failed) = failed_once();
    partition.cluster.host_mut(failed).unwrap().failed_jobs.clear();
    end_task(&mut partition, "done", 2000);
    assert!(!partition.cluster.host(failed).unwrap().faulty(), "the machine has completed a task since");
}

#[test]
fn a_gang_that_loses_a_task_restarts_once_all_its_attempts_ended() {
    let mut partition = partition_with_running_job("group", 2);
    let attempt = attempt_number(&partition, 0);
    let tasks = |first_phase: &str, reason: Option<&str>, second_phase: &str| {
        vec![
            task_status("run-000001/0", attempt, first_phase, reason),
            task_status("run-000001/1", attempt, second_phase, None),
        ]
    };
    partition.heartbeat(
        &heartbeat("h1", 1, 2, 1, tasks("ended", Some("mates_gone"), "running")),
        StatusSource::Heartbeat,
        1100,
    );
    partition.schedule(1100, 1100);
    assert_eq!(partition.cluster.jobs[0].gang_attempt, attempt, "an attempt of the old gang is still running");
    let both = vec![
        task_status("run-000001/0", attempt, "ended", Some("mates_gone")),
        task_status("run-000001/1", attempt, "ended", Some("mates_gone")),
    ];
    partition.heartbeat(&heartbeat("h1", 1, 3, 1, both), StatusSource::Heartbeat, 1200);
    partition.schedule(1200, 1200);
    assert!(partition.cluster.jobs[0].gang_attempt > attempt);
}
