use super::*;
use crate::config::{Operator, Settings, tests::settings};
use crate::frame_format::FrameFormat;
use crate::http;
use crate::membership::Ownership;
use crate::model::{JobEnd, Predecessors};
use crate::net::Net;
use crate::partition::UserAnswer;
use crate::router::PartitionHandle;
use crate::{partition, task};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const ID: &str = "run-000001";

/// A state service that holds job records, and counts how often that of the first job is read.
#[derive(Clone, Default)]
struct StateService {
    records: Arc<Mutex<HashMap<String, JobRecord>>>,
    reads: Arc<AtomicU32>,
    /// The changes of the commits that were made.
    commits: Arc<Mutex<Vec<Value>>>,
}

impl StateService {
    fn answer(&self, request: &Request) -> Response {
        if request.path == "/commit" {
            let commit: Value = serde_json::from_slice(&request.body).unwrap();
            self.commits.lock().unwrap().push(commit["apply"].clone());
            return Response::json(200, &json!({ "epoch": 2 }));
        }
        if request.path.starts_with("/store?under=flavors") {
            let item = json!({ "path": "flavors", "data": [flavor()], "stamp": 1 });
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

    /// Holds the record of the first job, which waits for none.
    fn put(&self, end: Option<JobEnd>) {
        self.put_job(ID, end, &[]);
    }

    fn put_job(&self, id: &str, end: Option<JobEnd>, waits_on: &[&str]) {
        let mut spec = wire::parse_submission(&partition::tests::body(id, "batch", 2)).unwrap();
        spec.waits_on = Predecessors::new(waits_on.iter().map(|id| id.to_string()));
        let record = JobRecord { spec, accepted_ms: 0, end, done: Vec::new() };
        self.records.lock().unwrap().insert(id.to_string(), record);
    }

    /// What the commits so far put under this key.
    fn written(&self, key: &str) -> Option<Value> {
        let commits = self.commits.lock().unwrap();
        let changes = commits.iter().filter_map(|apply| apply.as_array()).flatten();
        changes.filter(|change| change["put"] == key).map(|change| change["data"].clone()).next_back()
    }

    fn reads(&self) -> u32 {
        self.reads.load(Ordering::SeqCst)
    }
}

fn flavor() -> Value {
    serde_json::to_value(&partition::tests::partition().cluster.flavors[0]).unwrap()
}

fn submission() -> Vec<u8> {
    partition::tests::body(ID, "batch", 2)
}

/// The interface of a node that knows no owner, at this state service.
async fn api_at(service: &StateService) -> Api {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings: Settings = settings();
    settings.endpoints.state = listener.local_addr().unwrap();
    let service = service.clone();
    let handler = move |request: Request| {
        let service = service.clone();
        async move { service.answer(&request) }
    };
    task::spawn(http::serve(listener, 10, Duration::from_secs(5), handler));
    let state = State::on(&Net::default(), &settings);
    clock::now_ms();
    tokio::time::sleep(Duration::from_millis(2)).await;
    state.get("none").await.unwrap();
    let grant_ttl_ms = settings.grant_ttl_ms();
    let request_budget = RequestBudget::new(settings.params.state.rps, 1);
    Api {
        job_reads: JobReads::new(state.clone(), request_budget.clone(), grant_ttl_ms),
        request_budget,
        state,
        ended_jobs: EndedJobs::new(1000),
        metrics: UserMetrics::default(),
        node_metrics: Default::default(),
        router: Router {
            bills: None,
            configuration: None,
            partitions: Default::default(),
            peers: Default::default(),
            grant_ttl_ms,
            heard_ms: Default::default(),
        },
        teams: Default::default(),
        policy: Arc::new(Policy::new(&settings, &Operator::default(), 0)),
        limits: settings.write_limits(),
        route_hints: Arc::new(Mutex::new(RouteHints::new(1000))),
    }
}

async fn call(api: &Api, method: &str, path: String, body: Vec<u8>) -> Response {
    api.clone().handle(Request { method: method.to_string(), path, body }).await
}

async fn poll(api: &Api) -> Response {
    call(api, "GET", format!("/v1/jobs/{ID}"), Vec::new()).await
}

fn phase(response: &Response) -> (u16, String) {
    let answer: Value = serde_json::from_slice(&response.body).unwrap();
    (response.status, answer["phase"].as_str().unwrap_or_default().to_string())
}

#[tokio::test]
async fn an_end_that_was_read_is_told_again_without_a_read() {
    let service = StateService::default();
    let api = api_at(&service).await;
    for end in [JobEnd::Done, JobEnd::Cancelled] {
        let api = Api { ended_jobs: EndedJobs::new(1000), ..api.clone() };
        service.put(Some(end));
        let told = poll(&api).await;
        let reads = service.reads();
        let withdrawal = call(&api, "POST", format!("/v1/jobs/{ID}/withdraw"), Vec::new()).await;
        let again = call(&api, "POST", "/v1/jobs".to_string(), submission()).await;
        let malformed = call(&api, "POST", "/v1/jobs".to_string(), format!("{{\"id\":\"{ID}\"}}").into_bytes()).await;
        for answer in [poll(&api).await, withdrawal, again, malformed] {
            assert_eq!((phase(&answer), &answer.body), (phase(&told), &told.body));
        }
        assert_eq!(service.reads(), reads, "nothing is read of a job whose end is known");
    }
}

#[tokio::test]
async fn an_end_that_an_owner_told_is_told_again_without_the_owner() {
    let mut api = api_at(&StateService::default()).await;
    let done = UserAnswer::Status { id: ID.to_string(), phase: JobPhase::Done, done: 2, running: 0 };
    let (_ownership, mailbox) = owned_here(&mut api, done);
    let told = poll(&api).await;
    mailbox.await.unwrap();
    let again = poll(&api).await;
    assert_eq!((phase(&again), again.body), ((200, "done".to_string()), told.body));
}

#[tokio::test]
async fn missing_and_live_jobs_are_read_for_every_question() {
    let service = StateService::default();
    let api = api_at(&service).await;
    assert_eq!(poll(&api).await.status, 404);
    assert_eq!(poll(&api).await.status, 404);
    assert_eq!(service.reads(), 2);
    service.put(None);
    assert_eq!(phase(&poll(&api).await), (200, "pending".to_string()));
    assert_eq!(phase(&poll(&api).await), (200, "pending".to_string()));
    assert_eq!(service.reads(), 4);
    service.put(Some(JobEnd::Done));
    assert_eq!(phase(&poll(&api).await), (200, "done".to_string()));
}

#[tokio::test]
async fn what_exceeds_the_budget_is_refused_at_once_with_when_to_come_back() {
    let service = StateService::default();
    let api = api_at(&service).await;
    while api.request_budget.admits(Purpose::Poll) {}
    let poll = poll(&api).await;
    assert_eq!((poll.status, poll.retry_after_s), (429, Some(1)));
    assert_eq!(service.reads(), 0);
    while api.request_budget.admits(Purpose::Change) {}
    let submission = call(&api, "POST", "/v1/jobs".to_string(), submission()).await;
    assert_eq!((submission.status, submission.retry_after_s), (429, Some(1)));
    assert_eq!(service.reads(), 0);
}

#[tokio::test]
async fn refusals_and_spared_reads_are_counted_at_metrics() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put(Some(JobEnd::Done));
    let (first, shares_its_read) = tokio::join!(poll(&api), poll(&api));
    assert_eq!((first.status, shares_its_read.status), (200, 200));
    poll(&api).await;
    while api.request_budget.admits(Purpose::Poll) {}
    call(&api, "GET", "/v1/jobs/run-000002".to_string(), Vec::new()).await;
    let text = call(&api, "GET", "/metrics".to_string(), Vec::new()).await.body;
    let expected = "\
        badgerdrift_refusals_total{reason=\"too_many_reads\",status=\"429\"} 1\n\
        badgerdrift_polls_from_remembered_ends_total 1\n\
        badgerdrift_shared_reads_total 1\n\
        badgerdrift_silent_peers 0\n\
        badgerdrift_peers{version=\"current\"} 0\n\
        badgerdrift_peers{version=\"old\"} 0\n\
        badgerdrift_peers{version=\"unknown\"} 0\n";
    assert_eq!(String::from_utf8(text).unwrap(), expected);
}

// The state service's time-outs add up to more where several calls follow each other.
#[tokio::test(start_paused = true)]
async fn an_answer_comes_before_its_user_has_given_up() {
    let start = Instant::now();
    assert_eq!(in_time(std::future::pending()).await.status, 503);
    assert_eq!(start.elapsed(), MAX_USER_WAIT);
    assert!(MAX_USER_WAIT < Duration::from_secs(5));
    assert_eq!(in_time(async { RefusalReason::NoDecisionInTime.response() }).await.status, 503);
}

// ---- jobs that wait for others ----

const SECOND: &str = "run-000002";
const THIRD: &str = "run-000003";

async fn poll_job(api: &Api, id: &str) -> Response {
    call(api, "GET", format!("/v1/jobs/{id}"), Vec::new()).await
}

async fn submit_waiting(api: &Api, id: &str, waits_on: Value) -> Response {
    let mut body: Value = serde_json::from_slice(&partition::tests::body(id, "batch", 2)).unwrap();
    body["waits_on"] = waits_on;
    call(api, "POST", "/v1/jobs".to_string(), body.to_string().into_bytes()).await
}

fn error(response: &Response) -> (u16, String) {
    (response.status, String::from_utf8_lossy(&response.body).into_owned())
}

#[tokio::test]
async fn a_job_is_called_cancelled_once_the_record_of_one_that_it_needs_says_so() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put(None);
    service.put_job(SECOND, None, &[ID]);
    service.put_job(THIRD, None, &[SECOND]);
    assert_eq!(phase(&poll_job(&api, THIRD).await), (200, "pending".to_string()));
    service.put(Some(JobEnd::Cancelled));
    assert_eq!(phase(&poll_job(&api, THIRD).await), (200, "cancelled".to_string()));
    let withdrawal = call(&api, "POST", format!("/v1/jobs/{THIRD}/withdraw"), Vec::new()).await;
    assert_eq!(phase(&withdrawal), (200, "cancelled".to_string()));
    assert_eq!(phase(&submit_waiting(&api, THIRD, json!([])).await), (200, "cancelled".to_string()));
}

#[tokio::test]
async fn what_a_done_job_needed_is_not_read() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put(Some(JobEnd::Done));
    service.put_job(SECOND, Some(JobEnd::Done), &[ID]);
    service.put_job(THIRD, None, &[SECOND]);
    assert_eq!(phase(&poll_job(&api, THIRD).await), (200, "pending".to_string()));
    assert_eq!(service.reads(), 0);
}

#[tokio::test]
async fn where_a_needed_job_can_t_be_read_nothing_is_told() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put_job(SECOND, None, &[ID]);
    assert_eq!(poll_job(&api, SECOND).await.status, 503);
}

#[tokio::test]
async fn without_an_owner_a_node_checks_what_a_job_waits_for_by_reads() {
    let service = StateService::default();
    let api = api_at(&service).await;
    let (status, why) = error(&submit_waiting(&api, SECOND, json!([ID])).await);
    assert!(status == 422 && why.contains(ID), "{why}");
    let (status, why) = error(&submit_waiting(&api, SECOND, json!([SECOND])).await);
    assert!(status == 422 && why.contains("itself"), "{why}");
    service.put(None);
    assert_eq!(phase(&submit_waiting(&api, SECOND, json!([ID, ID])).await), (201, "pending".to_string()));
    assert_eq!(service.written("job/run-000002").unwrap()["spec"]["waits_on"], ID);
    service.put(Some(JobEnd::Cancelled));
    assert_eq!(phase(&submit_waiting(&api, THIRD, json!([ID])).await), (201, "cancelled".to_string()));
    assert_eq!(service.written("job/run-000003").unwrap()["end"], Value::Null, "its owner records that");
}

#[tokio::test]
async fn a_service_is_never_waited_for_and_bad_lists_are_named() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put(None);
    service.records.lock().unwrap().get_mut(ID).unwrap().spec.shape = crate::model::Shape::Service;
    assert_eq!(submit_waiting(&api, SECOND, json!([ID])).await.status, 422);
    for bad in [json!("run-000001"), json!({}), json!(["run-1"]), json!([7]), json!([null])] {
        let (status, why) = error(&submit_waiting(&api, SECOND, bad.clone()).await);
        assert!(status == 400 && why.contains("waits_on"), "{bad}: {status} {why}");
    }
    let (status, _) = error(&submit_waiting(&api, ID, json!("run-1")).await);
    assert_eq!(status, 200, "a known job is answered whatever its body says now");
}

/// The interface of a node that knows one other controller, whose frames are in this format.
async fn api_beside(service: &StateService, format: FrameFormat) -> Api {
    let mut api = api_at(service).await;
    let limits = crate::peer::PeerLimits::of_grant(api.router.grant_ttl_ms);
    let peer = crate::peer::Peer::start("worker-1".into(), "127.0.0.1:1".parse().unwrap(), limits);
    peer.format.heard(format);
    api.router.peers = Arc::new(vec![peer]);
    api
}

#[tokio::test]
async fn nothing_that_waits_is_accepted_while_a_controller_is_known_to_be_old() {
    let service = StateService::default();
    let api = api_beside(&service, FrameFormat::UNNAMED).await;
    service.put(None);
    let refused = submit_waiting(&api, SECOND, json!([ID])).await;
    assert_eq!((refused.status, refused.retry_after_s), (503, Some(1)));
    assert!(service.written("job/run-000002").is_none());
    assert_eq!(submit_waiting(&api, ID, json!([SECOND])).await.status, 200, "a known job is answered as such");
    let plain = partition::tests::body(SECOND, "batch", 2);
    assert_eq!(call(&api, "POST", "/v1/jobs".to_string(), plain).await.status, 201, "others are accepted as before");
    let api = api_beside(&service, FrameFormat::CURRENT).await;
    assert_eq!(submit_waiting(&api, THIRD, json!([ID])).await.status, 201);
}

/// An owner on this node that gives this answer to the one user who asks. Its mailbox is
/// closed once the task has ended.
fn owned_here(api: &mut Api, answer: UserAnswer) -> (watch::Sender<Ownership>, tokio::task::JoinHandle<()>) {
    let (owner, mut messages) = mpsc::channel(1);
    let (ownership_tx, ownership) = watch::channel(Ownership { mine: true, ..Ownership::default() });
    let members = mpsc::channel(1).0;
    let handle =
        PartitionHandle { ownership, entitled: Default::default(), promise_status: Default::default(), owner, members };
    api.router.partitions = Arc::new(vec![handle]);
    let mailbox = task::spawn(async move {
        let Some(owner::Message::User { reply, .. }) = messages.recv().await else { panic!("the owner is asked") };
        reply.send(answer).unwrap();
    });
    (ownership_tx, mailbox)
}

// Accepted past the owner, an old next owner would start it at once.
#[tokio::test]
async fn what_the_owner_refuses_for_an_old_controller_or_an_unclear_one_is_not_accepted_past_it() {
    for reason in [RefusalReason::ControllerOutdated, RefusalReason::PredecessorUnclear] {
        let service = StateService::default();
        let mut api = api_at(&service).await;
        service.put(None);
        let _owner = owned_here(&mut api, UserAnswer::RetryLater(reason));
        assert_eq!(submit_waiting(&api, SECOND, json!([ID])).await.status, 503);
        assert!(service.written("job/run-000002").is_none());
    }
}

// It would accept the job as one that waits for none.
#[tokio::test]
async fn a_job_that_waits_is_passed_on_only_to_an_owner_that_is_known_to_let_it_wait() {
    let service = StateService::default();
    let mut api = api_beside(&service, FrameFormat::CURRENT).await;
    service.put(None);
    let (ownership, _mailbox) = owned_here(&mut api, UserAnswer::Unknown);
    assert!(api.router.owner_is_current(0), "it is this node");
    let other = Ownership { mine: false, owner: Some("worker-1".into()) };
    ownership.send(other).unwrap();
    assert!(api.router.owner_is_current(0));
    let unheard = crate::peer::Peer::start(
        "worker-1".into(),
        "127.0.0.1:1".parse().unwrap(),
        crate::peer::PeerLimits::of_grant(api.router.grant_ttl_ms),
    );
    api.router.peers = Arc::new(vec![unheard]);
    assert!(!api.router.owner_is_current(0), "a silent one is not known to");
}
