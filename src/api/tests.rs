use super::*;
use crate::config::{Operator, Settings, tests::settings};
use crate::http;
use crate::membership::Ownership;
use crate::model::JobEnd;
use crate::net::Net;
use crate::partition::UserAnswer;
use crate::router::PartitionHandle;
use crate::{partition, task};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const ID: &str = "run-000001";

/// A state service that holds one job's record, if any, and counts how often it is read.
#[derive(Clone, Default)]
struct StateService {
    record: Arc<Mutex<Option<JobRecord>>>,
    reads: Arc<AtomicU32>,
}

impl StateService {
    fn answer(&self, request: &Request) -> Response {
        if !request.path.ends_with(ID) {
            return Response::json(404, &json!({ "epoch": 1 }));
        }
        self.reads.fetch_add(1, Ordering::SeqCst);
        match &*self.record.lock().unwrap() {
            Some(record) => Response::json(200, &json!({ "path": job_key(ID), "data": record, "stamp": 1 })),
            None => Response::json(404, &json!({ "epoch": 1 })),
        }
    }

    fn put(&self, end: Option<JobEnd>) {
        let spec = wire::parse_submission(&submission()).unwrap();
        *self.record.lock().unwrap() = Some(JobRecord { spec, accepted_ms: 0, end, done: Vec::new() });
    }

    fn reads(&self) -> u32 {
        self.reads.load(Ordering::SeqCst)
    }
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
        ended_jobs: EndedJobs::default(),
        metrics: UserMetrics::default(),
        node_metrics: Default::default(),
        router: Router {
            partitions: Default::default(),
            peers: Default::default(),
            grant_ttl_ms,
            heard_ms: Default::default(),
        },
        teams: Default::default(),
        policy: Arc::new(Policy::new(&settings, &Operator::default(), 0)),
        limits: settings.write_limits(),
        route_hints: Default::default(),
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
        let api = Api { ended_jobs: EndedJobs::default(), ..api.clone() };
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
    let (owner, mut messages) = mpsc::channel(1);
    let (_ownership, ownership) = watch::channel(Ownership { mine: true, ..Ownership::default() });
    let members = mpsc::channel(1).0;
    let handle =
        PartitionHandle { ownership, entitled: Default::default(), promise_status: Default::default(), owner, members };
    api.router.partitions = Arc::new(vec![handle]);
    let answer = async {
        let Some(owner::Message::User { reply, .. }) = messages.recv().await else { panic!("the owner is asked") };
        reply.send(UserAnswer::Status { id: ID.to_string(), phase: JobPhase::Done, done: 2, running: 0 }).unwrap();
    };
    let (told, ()) = tokio::join!(poll(&api), answer);
    drop(messages);
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
        badgerdrift_silent_peers 0\n";
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
