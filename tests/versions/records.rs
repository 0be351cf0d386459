//! Records in the state service that the version in production and this one write and read.

use badgerdrift::control::membership::{FencingTokenRecord, PartitionRecord};
use badgerdrift::model::{Dependencies, HostRecord, InstanceType, Job, JobEnd, JobRecord};
use badgerdrift_stand_ins::production_format as production;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns keys and values that the version in production wrote.
fn production_records() -> Vec<(String, Value)> {
    let lines = include_str!("../data/production/records.txt").lines();
    let record = |line: &str| {
        let (key, value) = line.split_once(' ').unwrap();
        (key.to_string(), serde_json::from_str(value).unwrap())
    };
    lines.map(record).collect()
}

/// Reads a value as this version does and writes it again.
fn rewritten<T: DeserializeOwned + Serialize>(value: &Value) -> Value {
    serde_json::to_value(serde_json::from_value::<T>(value.clone()).unwrap()).unwrap()
}

#[test]
fn records_of_the_version_in_production_are_rewritten_unchanged() {
    let records = production_records();
    for (key, value) in &records {
        let again = match key.split('/').next().unwrap() {
            "job" => rewritten::<JobRecord>(value),
            "host" => rewritten::<HostRecord>(value),
            "part" => rewritten::<PartitionRecord>(value),
            "term" => rewritten::<FencingTokenRecord>(value),
            "flavors" => rewritten::<Vec<InstanceType>>(value),
            other => panic!("unknown kind of record: {other}"),
        };
        assert_eq!(&again, value, "{key}");
    }
    let jobs = records.iter().filter(|(key, _)| key.starts_with("job/"));
    let ends: Vec<&Value> = jobs.map(|(_, value)| &value["end"]).collect();
    assert!(ends.contains(&&Value::from("Cancelled")) && ends.contains(&&Value::Null), "{ends:?}");
}

/// Returns the record of a job with dependencies.
fn waiting_record() -> JobRecord {
    let (_, value) = production_records().into_iter().find(|(key, _)| key == "job/run-000004").unwrap();
    let mut record: JobRecord = serde_json::from_value(value).unwrap();
    record.spec.dependencies = Dependencies::new(["run-000001", "run-000002", "run-000001"].map(String::from));
    record
}

#[test]
fn dependencies_of_a_job_are_recorded_compactly_and_in_order() {
    let value = serde_json::to_value(waiting_record()).unwrap();
    assert_eq!(value["spec"]["waits_on"], "run-000001 run-000002");
    let record: JobRecord = serde_json::from_value(value).unwrap();
    assert_eq!(record.spec.dependencies.iter().collect::<Vec<_>>(), ["run-000001", "run-000002"]);
}

#[test]
fn the_version_in_production_reads_the_records_of_this_one() {
    let value = serde_json::to_value(waiting_record()).unwrap();
    let old: production::JobRecord = serde_json::from_value(value).unwrap();
    assert_eq!((old.spec.id.as_str(), old.spec.tasks, old.done), ("run-000004", 40, vec![(0, 10)]));
    for (key, value) in production_records().iter().filter(|(key, _)| key.starts_with("job/")) {
        let job = serde_json::from_value::<JobRecord>(value.clone()).unwrap().into_job(1, 0);
        for end in [None, Some(JobEnd::Done), Some(JobEnd::Cancelled)] {
            let record = JobRecord::from_job(&job, end, 4096).unwrap();
            let old: production::JobRecord = serde_json::from_value(serde_json::to_value(record).unwrap()).unwrap();
            assert_eq!(old.end.is_some(), end.is_some(), "{key}");
        }
    }
}

#[test]
fn an_ended_job_whose_texts_exceed_the_limit_is_recorded_in_a_form_that_both_versions_read() {
    let mut record = waiting_record();
    record.spec.image = "i".repeat(2500);
    record.spec.class = "c".repeat(2500);
    let job: Job = record.into_job(1, 0);
    assert_eq!(JobRecord::from_job(&job, None, 1920), None, "the record with the progress exceeds the limit");
    let ended = serde_json::to_value(JobRecord::from_job(&job, Some(JobEnd::Done), 1920)).unwrap();
    assert!(ended.to_string().len() <= 1920, "{ended}");
    let old: production::JobRecord = serde_json::from_value(ended.clone()).unwrap();
    assert_eq!((old.end, old.spec.tasks), (Some(production::JobEnd::Done), 40));
    let new: JobRecord = serde_json::from_value(ended).unwrap();
    assert_eq!((new.end, new.spec.id.as_str()), (Some(JobEnd::Done), "run-000004"));
}

#[test]
fn a_long_list_of_ranges_shrinks_to_the_limit() {
    let mut record = waiting_record();
    record.spec.tasks = 4000;
    record.done = (0..1000).map(|n| (4 * n, 4 * n + 1 + u32::from(n % 100 == 0))).collect();
    let job = record.into_job(1, 0);
    let small = JobRecord::from_job(&job, None, 1920).unwrap();
    assert!(serde_json::to_vec(&small).unwrap().len() <= 1920);
    assert!(small.done.len() > 30 && small.done.contains(&(0, 2)), "the widest ranges are kept: {:?}", small.done);
}
