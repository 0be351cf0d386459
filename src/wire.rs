//! The protocols' spellings; no other module knows them.

use crate::model::{Copy, Demand, ExitReason, Flavor, JobPhase, Shape, Spec, TaskPhase, Urgency};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Most tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

/// A submission that is refused as malformed; the id, if it could be read,
/// lets a known job be answered all the same.
#[derive(Debug)]
pub struct Malformed {
    pub id: Option<String>,
    pub message: String,
}

/// True for ids in the protocol's form.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|d| (6..=20).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

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
    let shape = match f.text("shape")?.as_str() {
        "batch" => Shape::Batch,
        "group" => Shape::Gang,
        "service" => Shape::Service,
        _ => return Err("shape: must be batch, group or service".into()),
    };
    let urgency = match f.text("urgency")?.as_str() {
        "production" => Urgency::Production,
        "urgent" => Urgency::High,
        "standard" => Urgency::Normal,
        "best_effort" => Urgency::Low,
        _ => return Err("urgency: must be production, urgent, standard or best_effort".into()),
    };
    let tasks = match f.get("shards").and_then(Value::as_u64) {
        Some(n) if (1..=MAX_TASKS).contains(&n) => n as u32,
        _ => return Err(format!("shards: must be an integer from 1 to {MAX_TASKS}")),
    };
    let flavors = match f.get("flavors") {
        None => None,
        Some(Value::Array(a)) => Some(
            a.iter()
                .map(|v| v.as_str().map(str::to_string))
                .collect::<Option<Vec<_>>>()
                .ok_or("flavors: must be an array of strings or null")?,
        ),
        Some(_) => return Err("flavors: must be an array of strings or null".into()),
    };
    let zone = match f.get("region") {
        None => None,
        Some(Value::String(s)) => Some(s.clone()),
        Some(_) => return Err("region: must be a string or null".into()),
    };
    let due_s = match f.get("due_s") {
        None => None,
        Some(_) => Some(f.amount("due_s")?),
    };
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
        flavors,
        zone,
        one_zone: f.flag("same_place")?,
        spread: f.flag("apart")?,
        spot: f.flag("preemptible")?,
        expected_s: f.amount("expected_s")?,
        checkpoint_s: f.amount("checkpoint_every_s")?,
        save_s: f.amount("flush_s")?,
        due_s,
    })
}

/// What a user is told of a job.
pub fn job_answer(id: &str, phase: JobPhase, done: u32, running: u32) -> Value {
    json!({ "id": id, "phase": phase_name(phase), "done": done, "running": running })
}

fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Pending => "pending",
        JobPhase::Running => "running",
        JobPhase::Done => "done",
        JobPhase::Cancelled => "cancelled",
    }
}

/// A worker's report.
#[derive(Debug, Clone, Deserialize)]
pub struct Report {
    pub host: String,
    pub addr: SocketAddr,
    pub flavor: String,
    #[serde(rename = "region")]
    pub zone: String,
    #[serde(default, rename = "preemptible")]
    pub spot: bool,
    pub tenure: u64,
    pub serial: u64,
    #[serde(default)]
    pub fence: u64,
    #[serde(default)]
    pub warning_s: Option<f64>,
    #[serde(default, rename = "shards")]
    pub tasks: Vec<ReportedTask>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "shard")]
    pub task: String,
    #[serde(rename = "try_no")]
    pub attempt: u64,
    phase: WirePhase,
    #[serde(default)]
    exit_reason: Option<WireReason>,
    #[serde(default)]
    stored: bool,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WirePhase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended,
    #[serde(other)]
    Unknown,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireReason {
    Done,
    Halted,
    MatesGone,
    Incomplete,
    Error,
    NoRoom,
    InUse,
    NoSuch,
    #[serde(other)]
    Unknown,
}

impl ReportedTask {
    pub fn phase(&self) -> TaskPhase {
        match self.phase {
            WirePhase::Fetching => TaskPhase::Fetching,
            WirePhase::Gathering => TaskPhase::Gathering,
            WirePhase::Running | WirePhase::Unknown => TaskPhase::Running,
            WirePhase::Flushing => TaskPhase::Saving,
            WirePhase::Ended => TaskPhase::Ended(match self.exit_reason {
                Some(WireReason::Done) => ExitReason::Done,
                Some(WireReason::Halted) => ExitReason::Stopped { saved: self.stored },
                Some(WireReason::MatesGone) => ExitReason::MatesGone,
                Some(WireReason::Incomplete) => ExitReason::Incomplete,
                Some(WireReason::NoRoom) => ExitReason::NoRoom,
                Some(WireReason::InUse) => ExitReason::InUse,
                Some(WireReason::NoSuch) => ExitReason::NoSuch,
                Some(WireReason::Error | WireReason::Unknown) | None => ExitReason::Error,
            }),
        }
    }

    /// Job id and task number.
    pub fn key(&self) -> Option<(&str, u32)> {
        let (job, n) = self.task.rsplit_once('/')?;
        Some((job, n.parse().ok()?))
    }
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    Run {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
    },
    Stop {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
        #[serde(rename = "drain_s")]
        grace_s: f64,
    },
    Reap {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try_no")]
        attempt: u64,
    },
}

impl Order {
    pub fn run(job: &str, c: &Copy) -> Order {
        Order::Run { task: format!("{job}/{}", c.key.task), attempt: c.attempt }
    }
    pub fn stop(job: &str, c: &Copy, grace_s: f64) -> Order {
        Order::Stop { task: format!("{job}/{}", c.key.task), attempt: c.attempt, grace_s }
    }
    pub fn reap(job: &str, c: &Copy) -> Order {
        Order::Reap { task: format!("{job}/{}", c.key.task), attempt: c.attempt }
    }
}

/// The reply to a report.
pub fn orders(term: u64, orders: &[Order]) -> Value {
    json!({ "fence": term, "orders": orders })
}

/// The body of a direct command.
pub fn direct(term: u64, tenure: u64, orders: &[Order]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "fence": term, "tenure": tenure, "orders": orders })).unwrap_or_default()
}

/// The refusal of a report by a node that does not hold the machine's part.
pub fn redirect(node: Option<&str>) -> Value {
    match node {
        Some(n) => json!({ "reports_to": n }),
        None => json!({}),
    }
}

/// The path of a direct command.
pub const DO_PATH: &str = "/do";

#[derive(Deserialize)]
struct WireFlavor {
    sku: String,
    cores: f64,
    #[serde(default)]
    cards: f64,
    mem_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    #[serde(default)]
    rate: f64,
    #[serde(default)]
    low_price: f64,
    #[serde(default)]
    startup_s: f64,
    #[serde(default)]
    regions: Vec<String>,
}

#[derive(Deserialize)]
struct WireFlavors {
    flavors: Vec<WireFlavor>,
}

/// Reads the machine types.
pub fn parse_flavors(body: &[u8]) -> Option<Vec<Flavor>> {
    let w: WireFlavors = serde_json::from_slice(body).ok()?;
    Some(
        w.flavors
            .into_iter()
            .map(|f| Flavor {
                name: f.sku,
                cap: Demand { cpus: f.cores, gpus: f.cards, mem: f.mem_gb },
                cache_gb: f.cache_gb,
                fetch_gb_per_s: f.fetch_gb_per_s,
                price: f.rate,
                spot_price: f.low_price,
                boot_s: f.startup_s,
                zones: f.regions,
            })
            .collect(),
    )
}

/// A machine as the cloud lists it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct Listed {
    pub id: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default, rename = "region")]
    pub zone: String,
    #[serde(default, rename = "preemptible")]
    pub spot: bool,
    #[serde(default)]
    phase: String,
    #[serde(default, rename = "held_s")]
    pub age_s: f64,
}

impl Listed {
    pub fn failed(&self) -> bool {
        self.phase == "failed"
    }
    pub fn booting(&self) -> bool {
        self.phase == "starting"
    }
}

#[derive(Deserialize)]
struct ListPage {
    hosts: Vec<Listed>,
    #[serde(default)]
    more: bool,
}

/// Reads a page of the machine list; true if there are more.
pub fn parse_list(body: &[u8]) -> Option<(Vec<Listed>, bool)> {
    let p: ListPage = serde_json::from_slice(body).ok()?;
    Some((p.hosts, p.more))
}

/// Path of a page of the machine list.
pub fn list_path(after: &str) -> String {
    if after.is_empty() { "/hosts?most=500".into() } else { format!("/hosts?from={after}&most=500") }
}

pub fn rent_body(name: &str, flavor: &str, zone: &str, spot: bool, count: usize) -> Vec<u8> {
    let v = json!({"rental": name, "flavor": flavor, "region": zone, "preemptible": spot, "number": count});
    serde_json::to_vec(&v).unwrap_or_default()
}

pub fn release_body(hosts: &[String]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "hosts": hosts })).unwrap_or_default()
}

#[derive(Deserialize)]
struct Rented {
    hosts: Vec<String>,
}

pub fn parse_rented(body: &[u8]) -> Option<Vec<String>> {
    serde_json::from_slice::<Rented>(body).ok().map(|r| r.hosts)
}

/// A key of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One change that a watch reports: the key, and its value unless deleted.
#[derive(Debug, Clone, Deserialize)]
pub struct Change {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    delete: Option<String>,
    #[serde(default, rename = "data")]
    pub value: Option<Value>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Change {
    pub fn key(&self) -> &str {
        self.put.as_deref().or(self.delete.as_deref()).unwrap_or("")
    }
    pub fn deleted(&self) -> bool {
        self.put.is_none()
    }
}

#[derive(Deserialize)]
pub struct Changes {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default, rename = "log")]
    pub events: Vec<Change>,
}

#[derive(Deserialize)]
pub struct Revision {
    #[serde(rename = "epoch")]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Deserialize)]
pub struct Grant {
    #[serde(rename = "grant")]
    pub id: u64,
}

pub fn guard(key: &str, version: u64) -> Value {
    json!({ "path": key, "stamp": version })
}

pub fn put(key: &str, value: &Value, grant: Option<u64>) -> Value {
    match grant {
        Some(g) => json!({ "put": key, "data": value, "grant": g }),
        None => json!({ "put": key, "data": value }),
    }
}

pub fn delete(key: &str) -> Value {
    json!({ "delete": key })
}

pub fn commit_body(guards: &[Value], apply: &[Value]) -> Vec<u8> {
    serde_json::to_vec(&json!({ "guards": guards, "apply": apply })).unwrap_or_default()
}

pub fn grant_body(life_ms: u64) -> Vec<u8> {
    serde_json::to_vec(&json!({ "life_ms": life_ms })).unwrap_or_default()
}

/// Paths of the state service.
pub mod store {
    pub const COMMIT: &str = "/commit";
    pub const GRANTS: &str = "/grants";
    pub fn key(key: &str) -> String {
        format!("/store/{key}")
    }
    pub fn page(prefix: &str, after: &str, most: usize) -> String {
        if after.is_empty() {
            format!("/store?under={prefix}&most={most}")
        } else {
            format!("/store?under={prefix}&from={after}&most={most}")
        }
    }
    pub fn changes(prefix: &str, after: u64, wait_ms: u64) -> String {
        format!("/changes?under={prefix}&from={after}&hold_ms={wait_ms}")
    }
    pub fn extend(grant: u64) -> String {
        format!("/grants/{grant}/extend")
    }
    pub fn grant(grant: u64) -> String {
        format!("/grants/{grant}")
    }
}

#[cfg(test)]
pub mod tests;
