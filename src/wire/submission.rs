//! Submissions of jobs, as users send them.

use crate::model::{Demand, Dependencies, Shape, Spec, Urgency};
use serde_json::Value;
use thiserror::Error;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

/// The refusal of a malformed submission.
#[derive(Debug, Error)]
#[error("{reason}")]
pub struct Malformed {
    /// Id of the job; `None` if it could not be read. A known job is answered even if its submission
    /// is malformed.
    pub id: Option<String>,
    /// The fault of the submission.
    pub reason: SubmissionError,
}

/// The fault of a malformed submission; users see its displayed text.
#[derive(Debug, Error)]
pub enum SubmissionError {
    /// The body is not JSON.
    #[error("the body is not JSON")]
    NotJson(#[source] serde_json::Error),
    /// The body is JSON, but not an object.
    #[error("the body is not an object")]
    NotAnObject,
    /// A field is missing or has a wrong value.
    #[error("{field}: {fault}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// The fault of the field.
        fault: FieldFault,
    },
}

/// The fault of a field of a submission; the displayed text follows the name of the field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FieldFault {
    /// The field is absent or null.
    #[error("is missing")]
    Missing,
    /// The value is not a string or is empty.
    #[error("must be a non-empty string")]
    Text,
    /// The value is not a finite number of 0 or more.
    #[error("must be a number of 0 or more")]
    Amount,
    /// The value is not a boolean.
    #[error("must be true or false")]
    Flag,
    /// The value is not in the form of a job id.
    #[error("must be run- and at least six digits")]
    JobId,
    /// The value is none of the named ones.
    #[error("must be {0}")]
    Choice(&'static str),
    /// The value is not an integer from 1 to [`MAX_TASKS`].
    #[error("must be an integer from 1 to {MAX_TASKS}")]
    TaskCount,
    /// The value is neither an array of strings nor null.
    #[error("must be an array of strings or null")]
    Texts,
    /// The value is neither a string nor null.
    #[error("must be a string or null")]
    TextOrNull,
    /// The value is neither an array of job ids nor null.
    #[error("must be an array of job ids or null")]
    JobIds,
}

impl FieldFault {
    /// Returns the fault of a submission whose field with the given name has this fault.
    fn in_field(self, field: &'static str) -> SubmissionError {
        SubmissionError::Field { field, fault: self }
    }
}

/// Returns whether the text has the form of a job id: `run-` and 6 to 20 digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|digits| (6..=20).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit()))
}

/// The fields of a submission, by name; null counts as absent.
struct Fields<'a>(&'a serde_json::Map<String, Value>);

impl Fields<'_> {
    /// Returns the value of a field; `None` if it is absent or null.
    fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    /// Returns a field that has to be a non-empty string.
    fn text(&self, name: &'static str) -> Result<String, SubmissionError> {
        match self.get(name) {
            Some(Value::String(text)) if !text.is_empty() => Ok(text.clone()),
            Some(_) => Err(FieldFault::Text.in_field(name)),
            None => Err(FieldFault::Missing.in_field(name)),
        }
    }

    /// Returns a field that has to be a finite number of 0 or more.
    fn amount(&self, name: &'static str) -> Result<f64, SubmissionError> {
        let value = self.get(name).ok_or(FieldFault::Missing.in_field(name))?;
        match value.as_f64() {
            Some(amount) if amount.is_finite() && amount >= 0.0 => Ok(amount),
            _ => Err(FieldFault::Amount.in_field(name)),
        }
    }

    /// Returns a field that has to be a boolean.
    fn flag(&self, name: &'static str) -> Result<bool, SubmissionError> {
        let value = self.get(name).ok_or(FieldFault::Missing.in_field(name))?;
        value.as_bool().ok_or(FieldFault::Flag.in_field(name))
    }
}

/// Parses a submission.
///
/// # Errors
///
/// The first fault of the submission, with the id of the job if that could be read.
pub fn parse_submission(body: &[u8]) -> Result<Spec, Malformed> {
    let without_id = |reason| Malformed { id: None, reason };
    let value: Value = serde_json::from_slice(body).map_err(|error| without_id(SubmissionError::NotJson(error)))?;
    let Value::Object(map) = &value else {
        return Err(without_id(SubmissionError::NotAnObject));
    };
    let fields = Fields(map);
    let id = fields.text("id").map_err(without_id)?;
    if !is_job_id(&id) {
        return Err(without_id(FieldFault::JobId.in_field("id")));
    }
    parse_spec(&fields, &id).map_err(|reason| Malformed { id: Some(id), reason })
}

/// Reads the fields of the submission of the job with the given id.
fn parse_spec(fields: &Fields<'_>, id: &str) -> Result<Spec, SubmissionError> {
    let shape = shape(fields)?;
    let urgency = urgency(fields)?;
    let tasks = task_count(fields)?;
    let instance_types = instance_types(fields)?;
    let zone = zone(fields)?;
    let due_s = due_s(fields)?;
    let dependencies = dependencies(fields)?;
    Ok(Spec {
        id: id.to_string(),
        class: fields.text("jobclass")?,
        team: fields.text("owner")?,
        shape,
        urgency,
        tasks,
        demand: Demand { cpus: fields.amount("cores")?, gpus: fields.amount("cards")?, mem: fields.amount("mem_gb")? },
        image: fields.text("bundle")?,
        image_gb: fields.amount("size_gb")?,
        instance_types,
        zone,
        one_zone: fields.flag("same_place")?,
        spread: fields.flag("apart")?,
        spot: fields.flag("preemptible")?,
        expected_s: fields.amount("expected_s")?,
        checkpoint_s: fields.amount("checkpoint_every_s")?,
        save_s: fields.amount("flush_s")?,
        due_s,
        dependencies,
    })
}

fn shape(fields: &Fields<'_>) -> Result<Shape, SubmissionError> {
    match fields.text("shape")?.as_str() {
        "batch" => Ok(Shape::Batch),
        "group" => Ok(Shape::Gang),
        "service" => Ok(Shape::Service),
        _ => Err(FieldFault::Choice("batch, group or service").in_field("shape")),
    }
}

fn urgency(fields: &Fields<'_>) -> Result<Urgency, SubmissionError> {
    match fields.text("urgency")?.as_str() {
        "production" => Ok(Urgency::Production),
        "urgent" => Ok(Urgency::High),
        "standard" => Ok(Urgency::Normal),
        "best_effort" => Ok(Urgency::Low),
        _ => Err(FieldFault::Choice("production, urgent, standard or best_effort").in_field("urgency")),
    }
}

fn task_count(fields: &Fields<'_>) -> Result<u32, SubmissionError> {
    match fields.get("shards").and_then(Value::as_u64) {
        Some(count) if (1..=MAX_TASKS).contains(&count) => Ok(count as u32),
        _ => Err(FieldFault::TaskCount.in_field("shards")),
    }
}

fn instance_types(fields: &Fields<'_>) -> Result<Option<Vec<String>>, SubmissionError> {
    match fields.get("flavors") {
        None => Ok(None),
        Some(Value::Array(names)) => {
            let names = names.iter().map(|name| name.as_str().map(str::to_string));
            let names = names.collect::<Option<Vec<_>>>().ok_or(FieldFault::Texts.in_field("flavors"))?;
            Ok(Some(names))
        }
        Some(_) => Err(FieldFault::Texts.in_field("flavors")),
    }
}

fn zone(fields: &Fields<'_>) -> Result<Option<String>, SubmissionError> {
    match fields.get("region") {
        None => Ok(None),
        Some(Value::String(zone)) => Ok(Some(zone.clone())),
        Some(_) => Err(FieldFault::TextOrNull.in_field("region")),
    }
}

fn due_s(fields: &Fields<'_>) -> Result<Option<f64>, SubmissionError> {
    match fields.get("due_s") {
        None => Ok(None),
        Some(_) => Ok(Some(fields.amount("due_s")?)),
    }
}

/// Returns the jobs that the job depends on; a repeated id counts once.
fn dependencies(fields: &Fields<'_>) -> Result<Dependencies, SubmissionError> {
    match fields.get("waits_on") {
        None => Ok(Dependencies::default()),
        Some(Value::Array(names)) => {
            let ids = names.iter().map(|name| name.as_str().filter(|id| is_job_id(id)).map(str::to_string));
            let ids = ids.collect::<Option<Vec<_>>>().ok_or(FieldFault::JobIds.in_field("waits_on"))?;
            Ok(Dependencies::new(ids))
        }
        Some(_) => Err(FieldFault::JobIds.in_field("waits_on")),
    }
}
