//! Records and frames as the version in production declares them. They must not change with this
//! version.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub enum Shape {
    Batch,
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub enum Urgency {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Demand {
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Spec {
    pub id: String,
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub urgency: Urgency,
    pub tasks: u32,
    pub demand: Demand,
    pub image: String,
    pub image_gb: f64,
    pub flavors: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub expected_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub due_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub enum JobEnd {
    Done,
    Cancelled,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct JobRecord {
    pub spec: Spec,
    pub accepted_ms: u64,
    pub end: Option<JobEnd>,
    pub done: Vec<(u32, u32)>,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct HostRecord {
    pub addr: Option<SocketAddr>,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    #[serde(default, rename = "part")]
    pub partition: u32,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PartitionRecord {
    #[serde(rename = "holder")]
    pub owner: String,
    pub term: u64,
    pub grant: u64,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TermRecord {
    pub n: u64,
    pub start_ms: u64,
    #[serde(default, rename = "holders")]
    pub owners: BTreeMap<u32, String>,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Flavor {
    pub name: String,
    pub cap: Demand,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Numbered<T> {
    pub n: u64,
    pub body: T,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub enum PeerRequest {
    Promise { partition: u32, owner: String, term: u64, for_ms: u64, state_ok: bool },
    Release { partition: u32, term: u64 },
    User { partition: u32, call: UserCall },
    CapacityReport(CapacityReport),
    TransferHost { partition: u32, host: String, to: u32 },
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub enum UserCall {
    Submit(Vec<u8>),
    Status(String),
    Cancel(String),
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Machines {
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    pub count: usize,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CapacityReport {
    pub partition: u32,
    pub lowest_bin: Option<u64>,
    pub assumed: usize,
    pub wanted: Vec<Machines>,
    pub spare: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub enum PeerResponse {
    Promised,
    No,
    PendingMachines {
        pending_machines: Vec<Machines>,
        refused: Vec<Machines>,
    },
    User {
        status: u16,
        body: Vec<u8>,
        retry_after_s: Option<u64>,
        #[serde(default)]
        refusal: Option<RefusalReason>,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    EndBeingRecorded,
    OwnerUnreachable,
    JobNotAccepted,
    MachineTypesUnknown,
    MachineUnowned,
    MachineUnreachable,
    NoDecisionInTime,
    NoSuchPartition,
    NotEntitled,
    NotOwner,
    NotReady,
    RecordUnreadable,
    StateServiceSilent,
    SubmissionSlow,
    TakeoverUnderWay,
    TooManyReads,
    TooManyReports,
    TooManyRequests,
    TooManySubmissions,
}
