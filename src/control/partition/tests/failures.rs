//! Tests of tasks that fail, and of who is blamed.

use super::*;

#[test]
fn a_task_that_fails_everywhere_backs_off_and_blames_no_machine() {
    let mut p = partition();
    for h in ["h1", "h2"] {
        p.heartbeat(&heartbeat(h, 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    }
    let _rx = submit(&mut p, &body("run-000001", "batch", 1), 1000);
    commit(&mut p, 1000, 100);
    let mut now = 1000;
    for round in 0..4 {
        p.cluster.jobs[0].tasks[0].retry_ms = 0;
        p.schedule(now, now);
        let Place::On(host_index, a) = p.cluster.jobs[0].tasks[0].place else { panic!("not placed in round {round}") };
        let host = p.cluster.host(host_index).unwrap().id.clone();
        now += 500;
        let ended = vec![reported("run-000001/0", a, "ended", Some("error"))];
        p.heartbeat(&heartbeat(&host, 1, now, 1, ended), StatusSource::Heartbeat, now);
        p.cluster.host_mut(host_index).unwrap().blocked_until_ms = if round == 0 { now + 600 } else { 0 };
    }
    assert!(p.cluster.jobs[0].tasks[0].retry_ms > now + 2000);
    assert!(p.cluster.each_host().all(|(_, h)| h.failed_jobs.is_empty()));
}

/// Two machines and a job of one task, which has failed on the machine that is returned.
fn failed_once() -> (Partition, HostIndex) {
    let mut p = partition();
    for h in ["h1", "h2"] {
        p.heartbeat(&heartbeat(h, 1, 1, 1, vec![]), StatusSource::Heartbeat, 1000);
    }
    let _rx = submit(&mut p, &body("run-000001", "batch", 1), 1000);
    commit(&mut p, 1000, 100);
    let failed = end_task(&mut p, "error", 1000);
    (p, failed)
}

/// Places the only task, and has it end; the machine on which it did.
fn end_task(p: &mut Partition, reason: &str, now: u64) -> HostIndex {
    p.schedule(now, now);
    let Place::On(host_index, attempt) = p.cluster.jobs[0].tasks[0].place else { panic!("not placed") };
    let host = p.cluster.host(host_index).unwrap().id.clone();
    let ended = vec![reported("run-000001/0", attempt, "ended", Some(reason))];
    p.heartbeat(&heartbeat(&host, 1, now, 1, ended), StatusSource::Heartbeat, now);
    host_index
}

#[test]
fn a_machine_is_faulty_if_what_failed_there_succeeds_on_another_one() {
    let (mut p, failed) = failed_once();
    assert!(!p.cluster.host(failed).unwrap().faulty(), "the job may be at fault");
    let sound = end_task(&mut p, "done", 2000);
    assert_ne!(sound, failed);
    assert!(p.cluster.host(failed).unwrap().faulty());
    assert!(!p.cluster.host(sound).unwrap().faulty());
}

#[test]
fn a_machine_is_not_faulty_if_the_job_fails_on_another_one_or_it_completes_something_itself() {
    let (mut p, failed) = failed_once();
    let other = end_task(&mut p, "error", 2000);
    assert_ne!(other, failed);
    p.cluster.jobs[0].tasks[0].retry_ms = 0;
    end_task(&mut p, "done", 3000);
    assert!(p.cluster.each_host().all(|(_, h)| !h.faulty()), "it failed on both");

    let (mut p, failed) = failed_once();
    p.cluster.host_mut(failed).unwrap().failed_jobs.clear();
    end_task(&mut p, "done", 2000);
    assert!(!p.cluster.host(failed).unwrap().faulty(), "it has completed a task since");
}

#[test]
fn a_gang_that_loses_a_task_starts_anew_only_when_all_are_gone() {
    let mut p = running("group", 2);
    let a = attempt(&p, 0);
    let tasks = |x: &str, why: Option<&str>, y: &str| {
        vec![reported("run-000001/0", a, x, why), reported("run-000001/1", a, y, None)]
    };
    p.heartbeat(
        &heartbeat("h1", 1, 2, 1, tasks("ended", Some("mates_gone"), "running")),
        StatusSource::Heartbeat,
        1100,
    );
    p.schedule(1100, 1100);
    assert_eq!(p.cluster.jobs[0].gang_attempt, a, "the old attempt is still there");
    let both = vec![
        reported("run-000001/0", a, "ended", Some("mates_gone")),
        reported("run-000001/1", a, "ended", Some("mates_gone")),
    ];
    p.heartbeat(&heartbeat("h1", 1, 3, 1, both), StatusSource::Heartbeat, 1200);
    p.schedule(1200, 1200);
    assert!(p.cluster.jobs[0].gang_attempt > a);
}
