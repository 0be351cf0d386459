//! Tests of the protocols' messages, and helpers that build messages for the tests of other modules.

use super::{TaskStatus, parse_submission};
use crate::model::Shape;
use serde_json::{Value, json};

/// Returns a task as a heartbeat states it.
pub fn task_status(task: &str, attempt: u64, phase: &str, reason: Option<&str>) -> TaskStatus {
    serde_json::from_value(json!({"shard": task, "try_no": attempt, "phase": phase, "exit_reason": reason}))
        .expect("a task in a heartbeat")
}

/// Returns a valid submission, with one field that the protocol does not define.
pub fn submission() -> Value {
    json!({"id":"run-000412","jobclass":"train","owner":"vision","shape":"group","urgency":"urgent","shards":16,
 "cores":8.0,"cards":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,
 "flavors":["g8"],"region":null,"same_place":true,"apart":false,"preemptible":true,
 "expected_s":240.0,"checkpoint_every_s":30.0,"flush_s":4.0,"due_s":900.0, "novel": 1})
}

#[test]
fn valid_submission_is_parsed_and_the_error_for_a_wrong_value_names_its_field() {
    let spec = parse_submission(submission().to_string().as_bytes()).unwrap();
    assert_eq!((spec.tasks, spec.shape, spec.due_s), (16, Shape::Gang, Some(900.0)));
    for (field, value) in [
        ("jobclass", json!(3)),
        ("owner", json!(null)),
        ("shape", json!("ring")),
        ("urgency", json!("low")),
        ("shards", json!(0)),
        ("shards", json!(100_001)),
        ("shards", json!(2.5)),
        ("cores", json!(-1.0)),
        ("cards", json!("NaN")),
        ("mem_gb", json!(null)),
        ("bundle", json!("")),
        ("size_gb", json!(-0.1)),
        ("flavors", json!("g8")),
        ("region", json!(4)),
        ("same_place", json!("yes")),
        ("apart", json!(null)),
        ("preemptible", json!(1)),
        ("expected_s", json!([])),
        ("checkpoint_every_s", json!(-5)),
        ("flush_s", json!(null)),
        ("due_s", json!(-1)),
    ] {
        let mut body = submission();
        body[field] = value;
        let malformed = parse_submission(body.to_string().as_bytes()).unwrap_err();
        assert!(malformed.to_string().starts_with(field), "{field}: {malformed}");
        assert_eq!(malformed.id.as_deref(), Some("run-000412"));
    }
}

#[test]
fn submission_without_a_valid_job_id_is_refused_without_an_id() {
    for body in ["", "[]", "3", "{", "{\"id\":7}", "{\"id\":\"job-000001\"}", "{\"id\":\"run-1\"}"] {
        let malformed = parse_submission(body.as_bytes()).unwrap_err();
        assert!(malformed.id.is_none(), "{body}");
    }
}
