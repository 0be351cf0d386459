//! Tests of the deadlines and priorities that jobs inherit from their dependents.

use super::dependencies::*;
use super::*;
use crate::model::Urgency;

#[test]
fn the_last_jobs_deadline_and_priority_apply_to_its_dependencies() {
    let mut partition = chain();
    assert_eq!((job(&partition, FIRST).due_ms(), job(&partition, FIRST).urgency), (None, Urgency::Normal));
    accept_waiting(&mut partition, "run-000004", &[THIRD], json!({"due_s": 100.0, "urgency": "urgent"}));
    // Each job in between takes 10 s to run, 1 s to fetch its image and 1 s to react, with a margin of half as much again.
    let per_job_s = 1.5 * 12.0;
    let due: Vec<f64> = [FIRST, SECOND, THIRD].map(|id| job(&partition, id).due_ms().unwrap() as f64 / 1000.0).into();
    assert_eq!(due, [101.0 - 3.0 * per_job_s, 101.0 - 2.0 * per_job_s, 101.0 - per_job_s]);
    assert!(partition.cluster.jobs.iter().all(|job| job.urgency == Urgency::High));
}

#[test]
fn the_earliest_deadline_applies_until_its_job_is_cancelled() {
    let mut partition = chain();
    accept_waiting(&mut partition, "run-000004", &[SECOND], json!({"due_s": 400.0, "urgency": "urgent"}));
    let late = job(&partition, FIRST).due_ms();
    accept_waiting(&mut partition, "run-000005", &[SECOND], json!({"due_s": 200.0}));
    assert_eq!(job(&partition, FIRST).due_ms().map(|due| due + 200_000), late);
    cancel(&mut partition, "run-000005");
    commit_all(&mut partition, 2000);
    assert_eq!((job(&partition, FIRST).due_ms(), job(&partition, FIRST).urgency), (late, Urgency::High));
    cancel(&mut partition, "run-000004");
    commit_all(&mut partition, 2000);
    assert_eq!((job(&partition, FIRST).due_ms(), job(&partition, FIRST).urgency), (None, Urgency::Normal));
}

#[test]
fn a_failover_computes_the_same_deadlines_whatever_the_order_of_the_records() {
    let waits = |id: &str, on: &str, due: Option<f64>| {
        let mut item = record(id, "batch", "red", None, 50);
        item.value["spec"]["waits_on"] = json!(on);
        item.value["spec"]["due_s"] = json!(due);
        item
    };
    let mut records = vec![record(FIRST, "batch", "red", None, 49), waits(SECOND, FIRST, None)];
    records.push(waits(THIRD, SECOND, Some(100.0)));
    let due = |jobs: Vec<KeyValue>| job(&partition_with_records(2, jobs, vec![]), FIRST).due_ms().unwrap();
    let forwards = due(records.clone());
    records.reverse();
    assert_eq!((forwards, due(records)), (900 + 100_000 - 36_000, forwards));
}

#[test]
fn capacity_is_planned_for_jobs_that_may_start_before_a_machine_is_up() {
    let mut partition = chain();
    let index = |id: &str| partition.cluster.job_index[id];
    let (second, third) = (index(SECOND), index(THIRD));
    // Each job takes 12 s in all.
    assert_eq!(partition.jobs_starting_within(11_000, 1000), [] as [usize; 0]);
    assert_eq!(partition.jobs_starting_within(12_000, 1000), [second]);
    assert_eq!(partition.jobs_starting_within(24_000, 1000), [second, third]);
    partition.schedule(1000, 1000);
    assert_eq!(partition.jobs_starting_within(7_000, 6000), [second], "the first has run for five seconds");
    cancel(&mut partition, FIRST);
    assert_eq!(partition.jobs_starting_within(60_000, 6000), [] as [usize; 0], "nothing is rented for cancelled jobs");
}
