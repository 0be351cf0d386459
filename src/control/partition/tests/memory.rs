//! Memory of a partition's leader, by what it grows with. Users may submit arrays of 100,000 tasks, of which a
//! deployment runs a few hundred at a time: the memory must follow the tasks that run, not those submitted.

mod allocations;

use super::*;
use crate::model::{JobEnd, JobTasks};
use crate::scheduling::{Availability, ExpectedWork};
use allocations::{MemoryUse, measure};

/// Number of jobs in each measurement.
const JOBS: u32 = 10;
/// Largest number of tasks of an array that the protocol allows.
const MAX_TASKS: u32 = 100_000;
/// Memory, in bytes, that a job with many tasks may use beyond a job with one task.
const MAX_EXTRA_BYTES_PER_JOB: usize = 512;
/// Number of tasks that the machine takes at a time.
const RUNNING_TASKS: usize = 8;

/// Fails unless `JOBS` large arrays use next to nothing beyond as many small jobs.
#[track_caller]
fn assert_size_is_free(state: &str, small: MemoryUse, large: MemoryUse) {
    println!("{state}: {JOBS} small jobs {small:?}, of {MAX_TASKS} tasks {large:?}");
    let extra = MAX_EXTRA_BYTES_PER_JOB * JOBS as usize;
    assert!(large.kept <= small.kept + extra, "{state}: keeps {} bytes, small jobs {}", large.kept, small.kept);
    assert!(large.peak <= small.peak + extra, "{state}: peak of {} bytes, small jobs {}", large.peak, small.peak);
}

/// Submits `JOBS` arrays with this many tasks and records them. `first` is the number of the first job.
fn accept_arrays(partition: &mut Partition, first: u32, tasks: u32) {
    for number in first..first + JOBS {
        let _rx = submit_job(partition, &job_submission(&format!("run-{number:06}"), "batch", tasks), 1000);
        complete_all_commits(partition, 1000, 100);
    }
}

/// Returns a leader that has read the records of `JOBS` arrays with this many tasks, of which these ranges are done.
fn leader_with_records(tasks: u32, done: &[(u32, u32)], end: Option<JobEnd>) -> Partition {
    let record = |number: u32| {
        let id = format!("run-{number:06}");
        let spec = wire::parse_submission(&job_submission(&id, "batch", tasks)).unwrap();
        let record = JobRecord { spec, accepted_ms: 1000, end, done: done.to_vec() };
        KeyValue { key: job_key(&id), value: serde_json::to_value(record).unwrap(), version: 50 }
    };
    partition_with_records(1, (0..JOBS).map(record).collect(), vec![])
}

// Guards against memory for tasks that were never started: each accepted array of 100,000 tasks took 4 MB of the
// leader, which was ended for memory at the tenth.
#[test]
fn accepted_arrays_take_no_memory_for_tasks_that_never_started() {
    let accept = |tasks: u32| {
        let mut partition = partition();
        accept_arrays(&mut partition, 0, tasks);
        partition.schedule(1000, 1000);
        let accept_more = || {
            accept_arrays(&mut partition, JOBS, tasks);
            partition.schedule(1001, 1001);
        };
        measure(accept_more).1
    };
    assert_size_is_free("accepted", accept(1), accept(MAX_TASKS));
}

// Guards against the same memory in a new leader, which was ended in turn as soon as it had read the records: for tasks
// that were never started, for done ones and for those of ended jobs.
#[test]
fn a_new_leader_takes_no_memory_for_the_size_of_the_arrays_that_it_reads() {
    let half = [(0, MAX_TASKS / 2)];
    for (state, done, end) in [
        ("read, nothing done", &[][..], None),
        ("read, half done", &half, None),
        ("read, ended", &half, Some(JobEnd::Done)),
        ("read, cancelled", &half, Some(JobEnd::Cancelled)),
    ] {
        let read = |tasks: u32| measure(|| leader_with_records(tasks, done, end)).1;
        assert_size_is_free(state, read(1), read(MAX_TASKS));
    }
    // A record has at most some hundred ranges, as its size is limited.
    let scattered: Vec<(u32, u32)> = (0..800).map(|range| (100 * range, 100 * range + 1)).collect();
    let read = |tasks: u32| measure(|| leader_with_records(tasks, &scattered, None)).1;
    assert_size_is_free("read, 800 ranges done", read(MAX_TASKS / 10 * 8), read(MAX_TASKS));
}

/// Starts as many tasks as the machine takes, and ends them for this reason. `round` numbers the calls, from 1 on.
fn run_tasks(partition: &mut Partition, round: u64, reason: &str) {
    let now = 1000 + round * 10_000;
    let mut sequence = 10 * round;
    let mut report = |partition: &mut Partition, tasks| {
        sequence += 1;
        partition.heartbeat(&heartbeat("h1", 1, sequence, 1, tasks), StatusSource::Heartbeat, now);
        complete_all_commits(partition, now, 100 + sequence);
    };
    report(partition, vec![]);
    partition.schedule(now, now);
    let attempts = partition.cluster.host(0).unwrap().attempts.clone();
    assert_eq!(attempts.len(), RUNNING_TASKS);
    for (phase, reason) in [("running", None), ("ended", Some(reason))] {
        let status = |attempt: &TaskAttempt| {
            let id = &partition.cluster.jobs[attempt.key.job].spec.id;
            task_status(&format!("{id}/{}", attempt.key.task), attempt.attempt, phase, reason)
        };
        let tasks = attempts.iter().map(status).collect();
        report(partition, tasks);
    }
    report(partition, vec![]);
    assert!(partition.cluster.host(0).unwrap().attempts.is_empty());
}

// Guards against memory for the tasks that an array has completed, or that were stopped, while the rest of it waits.
#[test]
fn tasks_that_ran_take_no_memory_in_their_leader() {
    for reason in ["done", "halted"] {
        let run = |tasks: u32| {
            let mut partition = partition();
            accept_arrays(&mut partition, 0, tasks);
            (1..5).for_each(|round| run_tasks(&mut partition, round, reason));
            measure(|| (5..50).for_each(|round| run_tasks(&mut partition, round, reason))).1
        };
        assert_size_is_free(reason, run(1000), run(MAX_TASKS));
    }
}

// Guards against memory for each task of an array that fails everywhere: those with low numbers are tried again first, so
// that the tasks that have failed are as many as start within the longest pause.
#[test]
fn an_array_that_fails_everywhere_keeps_few_of_its_tasks() {
    let mut partition = partition();
    accept_arrays(&mut partition, 0, MAX_TASKS);
    (1..50).for_each(|round| run_tasks(&mut partition, round, "error"));
    let failed = |partition: &Partition| partition.cluster.jobs[0].tasks.count(|task| task.failures > 0);
    let before = failed(&partition);
    let (_, used) = measure(|| (50..200).for_each(|round| run_tasks(&mut partition, round, "error")));
    println!("failed: {before} tasks, {} after 150 more rounds, {used:?}", failed(&partition));
    assert_eq!(failed(&partition), before);
    assert!(used.kept <= MAX_EXTRA_BYTES_PER_JOB, "{used:?}");
}

// Guards against sets of done tasks that grow beyond two bits for each task when tasks end in any order.
#[test]
fn done_tasks_take_at_most_two_bits_each_in_any_order() {
    for step in [1, 2, 3, 100] {
        let complete = || {
            let mut tasks = JobTasks::new(MAX_TASKS);
            (0..MAX_TASKS).rev().step_by(step).for_each(|task| _ = tasks.complete(task, task + 1));
            tasks
        };
        let (_, used) = measure(complete);
        println!("every {step}: {used:?}");
        assert!(used.kept <= MAX_TASKS as usize / 4 + MAX_EXTRA_BYTES_PER_JOB, "every {step}: {used:?}");
    }
}

// Guards against a plan that lists a machine for each task that waits: ten arrays whose tasks take a machine each would
// have ended the leader for memory with each plan.
#[test]
fn a_plan_takes_no_memory_for_tasks_beyond_the_machines_that_it_can_request() {
    let plan = |tasks: u32| {
        let mut partition = partition();
        for number in 0..JOBS {
            let mut submission: Value =
                serde_json::from_slice(&job_submission(&format!("run-{number:06}"), "batch", tasks)).unwrap();
            submission["cards"] = json!(8.0);
            let _rx = submit_job(&mut partition, submission.to_string().as_bytes(), 1000);
            complete_all_commits(&mut partition, 1000, 100);
        }
        partition.schedule(1000, 1000);
        let work = ExpectedWork {
            pending_jobs: partition.pending_jobs(),
            pool_replicas: &[],
            upcoming_jobs: &[],
            arrivals: &[],
        };
        assert_eq!(work.pending_jobs.len() as u32, JOBS);
        let available = |_: &_| Availability::Available { cost_factor: 1.0 };
        measure(|| scheduling::plan_capacity(partition.cluster(), partition.policy(), 1000, &work, &[], &available)).1
    };
    assert_size_is_free("planned", plan(1000), plan(MAX_TASKS));
}
