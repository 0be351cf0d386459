//! Tests of jobs with dependencies.

use super::*;

const SECOND: &str = "run-000002";
const THIRD: &str = "run-000003";

async fn poll_job(api: &Api, id: &str) -> Response {
    call(api, "GET", format!("/v1/jobs/{id}"), Vec::new()).await
}

async fn submit_waiting(api: &Api, id: &str, dependencies: Value) -> Response {
    let mut body: Value = serde_json::from_slice(&partition::tests::body(id, "batch", 2)).unwrap();
    body["waits_on"] = dependencies;
    call(api, "POST", "/v1/jobs".to_string(), body.to_string().into_bytes()).await
}

fn error(response: &Response) -> (u16, String) {
    (response.status, String::from_utf8_lossy(&response.body).into_owned())
}

#[tokio::test]
async fn a_job_is_cancelled_once_a_dependency_is_recorded_as_cancelled() {
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
async fn dependencies_of_a_done_job_are_not_read() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put(Some(JobEnd::Done));
    service.put_job(SECOND, Some(JobEnd::Done), &[ID]);
    service.put_job(THIRD, None, &[SECOND]);
    assert_eq!(phase(&poll_job(&api, THIRD).await), (200, "pending".to_string()));
    assert_eq!(service.reads(), 0);
}

#[tokio::test]
async fn a_job_with_an_unreadable_dependency_gets_503() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put_job(SECOND, None, &[ID]);
    assert_eq!(poll_job(&api, SECOND).await.status, 503);
}

#[tokio::test]
async fn without_a_leader_dependencies_are_checked_by_reads() {
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
    assert_eq!(service.written("job/run-000003").unwrap()["end"], Value::Null, "its leader records that");
}

#[tokio::test]
async fn a_service_is_no_dependency_and_malformed_lists_are_refused() {
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
    assert_eq!(status, 200, "a known job is answered whatever its body is now");
}

/// The interface of a node that knows one other controller, whose frames are in this format.
async fn api_beside(service: &StateService, format: FrameFormat) -> Api {
    let mut api = api_at(service).await;
    let limits = crate::transport::peer::PeerTimeouts::for_leader_lease(api.router.leader_lease_ttl_ms);
    let peer = crate::transport::peer::Peer::start("worker-1".into(), "127.0.0.1:1".parse().unwrap(), limits);
    peer.format.received(format);
    api.router.peers = Arc::new(vec![peer]);
    api
}

#[tokio::test]
async fn no_job_with_dependencies_is_accepted_beside_an_outdated_controller() {
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

// Accepted past the leader, an old next leader would start it at once.
#[tokio::test]
async fn a_leaders_refusal_for_outdated_or_indeterminate_dependencies_stands() {
    for reason in [RefusalReason::ControllerOutdated, RefusalReason::DependencyIndeterminate] {
        let service = StateService::default();
        let mut api = api_at(&service).await;
        service.put(None);
        let _leader = led_here(&mut api, UserAnswer::RetryLater(reason));
        assert_eq!(submit_waiting(&api, SECOND, json!([ID])).await.status, 503);
        assert!(service.written("job/run-000002").is_none());
    }
}

// It would accept the job as one that waits for none.
#[tokio::test]
async fn a_job_with_dependencies_is_forwarded_only_to_a_current_leader() {
    let service = StateService::default();
    let mut api = api_beside(&service, FrameFormat::CURRENT).await;
    service.put(None);
    let (leader_status, _mailbox) = led_here(&mut api, UserAnswer::Unknown);
    assert!(api.router.leader_is_current(0), "it is this node");
    let other = LeaderStatus { is_self: false, leader: Some("worker-1".into()) };
    leader_status.send(other).unwrap();
    assert!(api.router.leader_is_current(0));
    let unknown = crate::transport::peer::Peer::start(
        "worker-1".into(),
        "127.0.0.1:1".parse().unwrap(),
        crate::transport::peer::PeerTimeouts::for_leader_lease(api.router.leader_lease_ttl_ms),
    );
    api.router.peers = Arc::new(vec![unknown]);
    assert!(!api.router.leader_is_current(0), "one without an answer is not known to be current");
}
