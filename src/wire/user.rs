//! Messages between users and the service: submissions of jobs and answers about them.

use crate::model::{Demand, Dependencies, JobEnd, JobPhase, Shape, Spec, Urgency};
use serde::Deserialize;
use serde_json::{Value, json};

/// Most tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

/// A submission that is refused as malformed; the id, if it could be read,
/// lets a known job be answered all the same.
#[derive(Debug)]
pub struct Malformed {
    /// The id of the job, if it could be read.
    pub id: Option<String>,
    /// Names the field and what is wrong with it.
    pub message: String,
}

/// True for ids in the protocol's form.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|d| (6..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// The fields of a submission; null counts as absent.
struct Fields<'a>(&'a serde_json::Map<String, Value>);

impl Fields<'_> {
    fn get(&self, name: &str) -> Option<&Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn text(&self, name: &str) -> Result<String, String> {
        match self.get(name) {
            Some(Value::String(s)) if !s.is_empty() => Ok(s.clone()),
            Some(_) => Err(format!("{name}: must be a non-empty string")),
            None => Err(format!("{name}: is missing")),
        }
    }

    fn amount(&self, name: &str) -> Result<f64, String> {
        let v = self.get(name).ok_or_else(|| format!("{name}: is missing"))?;
        match v.as_f64() {
            Some(f) if f.is_finite() && f >= 0.0 => Ok(f),
            _ => Err(format!("{name}: must be a number of 0 or more")),
        }
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        let v = self.get(name).ok_or_else(|| format!("{name}: is missing"))?;
        v.as_bool().ok_or_else(|| format!("{name}: must be true or false"))
    }
}

/// Reads a submission.
pub fn parse_submission(body: &[u8]) -> Result<Spec, Malformed> {
    let bad = |id: Option<String>, message: String| Malformed { id, message };
    let value: Value = serde_json::from_slice(body).map_err(|_| bad(None, "the body is not JSON".into()))?;
    let Value::Object(map) = &value else {
        return Err(bad(None, "the body is not an object".into()));
    };
    let f = Fields(map);
    let id = f.text("id").map_err(|m| bad(None, m))?;
    if !is_job_id(&id) {
        return Err(bad(None, "id: must be run- and at least six digits".into()));
    }
    spec_of(&f, &id).map_err(|m| bad(Some(id), m))
}

fn spec_of(f: &Fields<'_>, id: &str) -> Result<Spec, String> {
    let shape = shape(f)?;
    let urgency = urgency(f)?;
    let tasks = task_count(f)?;
    let instance_types = instance_types(f)?;
    let zone = zone(f)?;
    let due_s = due_s(f)?;
    let dependencies = dependencies(f)?;
    Ok(Spec {
        id: id.to_string(),
        class: f.text("jobclass")?,
        team: f.text("owner")?,
        shape,
        urgency,
        tasks,
        demand: Demand { cpus: f.amount("cores")?, gpus: f.amount("cards")?, mem: f.amount("mem_gb")? },
        image: f.text("bundle")?,
        image_gb: f.amount("size_gb")?,
        instance_types,
        zone,
        one_zone: f.flag("same_place")?,
        spread: f.flag("apart")?,
        spot: f.flag("preemptible")?,
        expected_s: f.amount("expected_s")?,
        checkpoint_s: f.amount("checkpoint_every_s")?,
        save_s: f.amount("flush_s")?,
        due_s,
        dependencies,
    })
}

fn shape(f: &Fields<'_>) -> Result<Shape, String> {
    match f.text("shape")?.as_str() {
        "batch" => Ok(Shape::Batch),
        "group" => Ok(Shape::Gang),
        "service" => Ok(Shape::Service),
        _ => Err("shape: must be batch, group or service".into()),
    }
}

fn urgency(f: &Fields<'_>) -> Result<Urgency, String> {
    match f.text("urgency")?.as_str() {
        "production" => Ok(Urgency::Production),
        "urgent" => Ok(Urgency::High),
        "standard" => Ok(Urgency::Normal),
        "best_effort" => Ok(Urgency::Low),
        _ => Err("urgency: must be production, urgent, standard or best_effort".into()),
    }
}

fn task_count(f: &Fields<'_>) -> Result<u32, String> {
    match f.get("shards").and_then(Value::as_u64) {
        Some(n) if (1..=MAX_TASKS).contains(&n) => Ok(n as u32),
        _ => Err(format!("shards: must be an integer from 1 to {MAX_TASKS}")),
    }
}

fn instance_types(f: &Fields<'_>) -> Result<Option<Vec<String>>, String> {
    const EXPECTED: &str = "flavors: must be an array of strings or null";
    match f.get("flavors") {
        None => Ok(None),
        Some(Value::Array(names)) => {
            let names = names.iter().map(|v| v.as_str().map(str::to_string));
            Ok(Some(names.collect::<Option<Vec<_>>>().ok_or(EXPECTED)?))
        }
        Some(_) => Err(EXPECTED.into()),
    }
}

fn zone(f: &Fields<'_>) -> Result<Option<String>, String> {
    match f.get("region") {
        None => Ok(None),
        Some(Value::String(s)) => Ok(Some(s.clone())),
        Some(_) => Err("region: must be a string or null".into()),
    }
}

fn due_s(f: &Fields<'_>) -> Result<Option<f64>, String> {
    match f.get("due_s") {
        None => Ok(None),
        Some(_) => Ok(Some(f.amount("due_s")?)),
    }
}

/// The jobs that the job waits for; a name that is given again counts once.
fn dependencies(f: &Fields<'_>) -> Result<Dependencies, String> {
    const EXPECTED: &str = "waits_on: must be an array of job ids or null";
    match f.get("waits_on") {
        None => Ok(Dependencies::default()),
        Some(Value::Array(names)) => {
            let ids = names.iter().map(|name| name.as_str().filter(|id| is_job_id(id)).map(str::to_string));
            Ok(Dependencies::new(ids.collect::<Option<Vec<_>>>().ok_or(EXPECTED)?))
        }
        Some(_) => Err(EXPECTED.into()),
    }
}

/// What a user is told of a job.
pub fn job_answer(id: &str, phase: JobPhase, done: u32, running: u32) -> Value {
    json!({ "id": id, "phase": phase_name(phase), "done": done, "running": running })
}

/// The end that an answer about a job tells, and how many tasks were done by then; none
/// if the job has not ended.
pub fn told_end(answer: &[u8]) -> Option<(JobEnd, u32)> {
    #[derive(Deserialize)]
    struct Answer {
        phase: String,
        done: u32,
    }
    let answer: Answer = serde_json::from_slice(answer).ok()?;
    let end = [JobEnd::Done, JobEnd::Cancelled].into_iter().find(|end| phase_name(end.phase()) == answer.phase)?;
    Some((end, answer.done))
}

fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Pending => "pending",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Cancelled => "cancelled",
    }
}
