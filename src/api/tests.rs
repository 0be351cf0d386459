//! Tests of the answers to users and workers, against a simulated state service.

mod answers;
mod dependencies;

use super::*;
use crate::clients::request_budget::RequestPurpose;
use crate::control::membership::LeaderStatus;
use crate::control::partition;
use crate::control::partition::{UserAnswer, job_key};
use crate::control::partition_leader;
use crate::control::router::PartitionHandle;
use crate::model::{Dependencies, JobEnd, JobPhase, JobRecord};
use crate::runtime::{clock, task};
use crate::settings::{OperatorSettings, Settings, tests::settings};
use crate::transport::frame_format::FrameFormat;
use crate::transport::http;
use crate::transport::network::Net;
use crate::wire;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const ID: &str = "run-000001";

/// A simulated state service with job records. It counts the reads of the record of job [`ID`].
#[derive(Clone, Default)]
struct SimulatedStateService {
    /// Job records by job id.
    records: Arc<Mutex<HashMap<String, JobRecord>>>,
    /// Number of reads of the record of job [`ID`].
    reads: Arc<AtomicU32>,
    /// Writes of each commit, in the order of the commits.
    commits: Arc<Mutex<Vec<Value>>>,
}

impl SimulatedStateService {
    fn answer(&self, request: &Request) -> Response {
        if request.path == "/commit" {
            let commit: Value = serde_json::from_slice(&request.body).unwrap();
            self.commits.lock().unwrap().push(commit["apply"].clone());
            return Response::json(200, &json!({ "epoch": 2 }));
        }
        if request.path.starts_with("/store?under=flavors") {
            let item = json!({ "path": "flavors", "data": [instance_type()], "stamp": 1 });
            return Response::json(200, &json!({ "items": [item], "more": false, "epoch": 1 }));
        }
        let id = request.path.strip_prefix("/store/job/").unwrap_or_default();
        if id == ID {
            self.reads.fetch_add(1, Ordering::SeqCst);
        }
        match self.records.lock().unwrap().get(id) {
            Some(record) => Response::json(200, &json!({ "path": job_key(id), "data": record, "stamp": 1 })),
            None => Response::json(404, &json!({ "epoch": 1 })),
        }
    }

    /// Stores the record of job [`ID`], without dependencies.
    fn put_first_job(&self, end: Option<JobEnd>) {
        self.put_job(ID, end, &[]);
    }

    /// Stores the record of a job with two tasks.
    fn put_job(&self, id: &str, end: Option<JobEnd>, dependencies: &[&str]) {
        let mut spec = wire::parse_submission(&partition::tests::job_submission(id, "batch", 2)).unwrap();
        spec.dependencies = Dependencies::new(dependencies.iter().map(|id| id.to_string()));
        let record = JobRecord { spec, accepted_ms: 0, end, done: Vec::new() };
        self.records.lock().unwrap().insert(id.to_string(), record);
    }

    /// Returns the last value that a commit has written to the key; `None` if none has.
    fn last_written(&self, key: &str) -> Option<Value> {
        let commits = self.commits.lock().unwrap();
        let writes = commits.iter().filter_map(|apply| apply.as_array()).flatten();
        writes.filter(|write| write["put"] == key).map(|write| write["data"].clone()).next_back()
    }

    /// Returns the number of reads of the record of job [`ID`].
    fn reads(&self) -> u32 {
        self.reads.load(Ordering::SeqCst)
    }
}

fn instance_type() -> Value {
    serde_json::to_value(&partition::tests::partition().cluster().instance_types[0]).unwrap()
}

fn submission() -> Vec<u8> {
    partition::tests::job_submission(ID, "batch", 2)
}

/// Returns the interface of a node that knows no leader and uses this state service.
async fn api_without_leader(service: &SimulatedStateService) -> Api {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings: Settings = settings();
    settings.endpoints.state = listener.local_addr().unwrap();
    let service = service.clone();
    let handler = move |request: Request| {
        let service = service.clone();
        async move { service.answer(&request) }
    };
    task::spawn(http::serve(listener, 10, Duration::from_secs(5), handler));
    let state = StateStore::on(&Net::default(), &settings);
    clock::now_ms();
    tokio::time::sleep(Duration::from_millis(2)).await;
    state.get("none").await.unwrap();
    let leader_lease_ttl_ms = settings.leader_lease_ttl_ms();
    let request_budget = RequestBudget::new(settings.params.state.rps, 1);
    Api {
        job_reads: JobReads::new(state.clone(), request_budget.clone(), leader_lease_ttl_ms),
        request_budget,
        state,
        ended_jobs: EndedJobs::new(1000),
        answer_metrics: AnswerMetrics::default(),
        connection_metrics: Default::default(),
        node_metrics: Default::default(),
        router: Router {
            bill_store: None,
            configuration: None,
            partitions: Default::default(),
            peers: Default::default(),
            leader_lease_ttl_ms,
            last_pledge_request_ms: Default::default(),
        },
        partition_by_team: Default::default(),
        policy: Arc::new(Policy::new(&settings, &OperatorSettings::default(), 0)),
        limits: settings.write_limits(),
        route_hints: Arc::new(Mutex::new(RouteHints::new(1000))),
    }
}

/// Sends a request to the interface.
async fn call(api: &Api, method: &str, path: String, body: Vec<u8>) -> Response {
    api.clone().handle(Request { method: method.to_string(), path, body }).await
}

/// Polls job [`ID`].
async fn poll(api: &Api) -> Response {
    call(api, "GET", format!("/v1/jobs/{ID}"), Vec::new()).await
}

/// Returns the status of a response and the phase of the job that it states.
fn status_and_phase(response: &Response) -> (u16, String) {
    let answer: Value = serde_json::from_slice(&response.body).unwrap();
    (response.status, answer["phase"].as_str().unwrap_or_default().to_string())
}

/// Adds a leader of partition 0 on this node that gives this answer to one user. Returns the sender of
/// its leader status, and the task of its mailbox, which is closed once the task has ended.
fn add_local_leader(api: &mut Api, answer: UserAnswer) -> (watch::Sender<LeaderStatus>, tokio::task::JoinHandle<()>) {
    let (leader_mailbox, mut messages) = mpsc::channel(1);
    let (leader_status_tx, leader_status) = watch::channel(LeaderStatus { is_local: true, ..LeaderStatus::default() });
    let election_mailbox = mpsc::channel(1).0;
    let handle = PartitionHandle {
        leader_status,
        leader_lease: Default::default(),
        pledge_status: Default::default(),
        leader_mailbox,
        election_mailbox,
    };
    api.router.partitions = Arc::new(vec![handle]);
    let mailbox = task::spawn(async move {
        let Some(partition_leader::PartitionMessage::User { reply, .. }) = messages.recv().await else {
            panic!("the leader is asked")
        };
        reply.send(answer).unwrap();
    });
    (leader_status_tx, mailbox)
}
