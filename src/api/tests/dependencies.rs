//! Tests of jobs with dependencies.

use super::*;

const SECOND: &str = "run-000002";
const THIRD: &str = "run-000003";

/// Polls a job.
async fn poll_job(api: &Api, id: &str) -> Response {
    call(api, "GET", format!("/v1/jobs/{id}"), Vec::new()).await
}

/// Submits a job with this value of `waits_on`.
async fn submit_with_dependencies(api: &Api, id: &str, dependencies: Value) -> Response {
    let mut body: Value = serde_json::from_slice(&partition::tests::job_submission(id, "batch", 2)).unwrap();
    body["waits_on"] = dependencies;
    call(api, "POST", "/v1/jobs".to_string(), body.to_string().into_bytes()).await
}

/// Returns the status and the body of a response.
fn status_and_body(response: &Response) -> (u16, String) {
    (response.status, String::from_utf8_lossy(&response.body).into_owned())
}

// The cancellation of a dependency may be recorded before those of its dependents; until then their own
// records state no end.
#[tokio::test]
async fn job_is_answered_as_cancelled_once_an_indirect_dependency_is_recorded_as_cancelled() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    service.put_first_job(None);
    service.put_job(SECOND, None, &[ID]);
    service.put_job(THIRD, None, &[SECOND]);
    assert_eq!(status_and_phase(&poll_job(&api, THIRD).await), (200, "pending".to_string()));
    service.put_first_job(Some(JobEnd::Cancelled));
    assert_eq!(status_and_phase(&poll_job(&api, THIRD).await), (200, "cancelled".to_string()));
    let cancellation = call(&api, "POST", format!("/v1/jobs/{THIRD}/withdraw"), Vec::new()).await;
    assert_eq!(status_and_phase(&cancellation), (200, "cancelled".to_string()));
    assert_eq!(
        status_and_phase(&submit_with_dependencies(&api, THIRD, json!([])).await),
        (200, "cancelled".to_string())
    );
}

#[tokio::test]
async fn dependencies_of_a_done_job_are_not_read() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    service.put_first_job(Some(JobEnd::Done));
    service.put_job(SECOND, Some(JobEnd::Done), &[ID]);
    service.put_job(THIRD, None, &[SECOND]);
    assert_eq!(status_and_phase(&poll_job(&api, THIRD).await), (200, "pending".to_string()));
    assert_eq!(service.reads(), 0);
}

// A dependency is accepted before its dependents, so a missing record does not show its state.
#[tokio::test]
async fn poll_of_a_job_whose_dependency_has_no_record_gets_503() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    service.put_job(SECOND, None, &[ID]);
    assert_eq!(poll_job(&api, SECOND).await.status, 503);
}

#[tokio::test]
async fn dependencies_are_checked_by_fresh_reads_without_a_leader() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    let (status, why) = status_and_body(&submit_with_dependencies(&api, SECOND, json!([ID])).await);
    assert!(status == 422 && why.contains(ID), "{why}");
    let (status, why) = status_and_body(&submit_with_dependencies(&api, SECOND, json!([SECOND])).await);
    assert!(status == 422 && why.contains("itself"), "{why}");
    service.put_first_job(None);
    assert_eq!(
        status_and_phase(&submit_with_dependencies(&api, SECOND, json!([ID, ID])).await),
        (201, "pending".to_string())
    );
    assert_eq!(service.last_written("job/run-000002").unwrap()["spec"]["waits_on"], ID);
    service.put_first_job(Some(JobEnd::Cancelled));
    assert_eq!(
        status_and_phase(&submit_with_dependencies(&api, THIRD, json!([ID])).await),
        (201, "cancelled".to_string())
    );
    assert_eq!(
        service.last_written("job/run-000003").unwrap()["end"],
        Value::Null,
        "the next leader records the cancellation"
    );
}

#[tokio::test]
async fn services_as_dependencies_and_malformed_dependency_lists_are_refused() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    service.put_first_job(None);
    service.records.lock().unwrap().get_mut(ID).unwrap().spec.shape = crate::model::Shape::Service;
    assert_eq!(submit_with_dependencies(&api, SECOND, json!([ID])).await.status, 422);
    for bad in [json!("run-000001"), json!({}), json!(["run-1"]), json!([7]), json!([null])] {
        let (status, why) = status_and_body(&submit_with_dependencies(&api, SECOND, bad.clone()).await);
        assert!(status == 400 && why.contains("waits_on"), "{bad}: {status} {why}");
    }
    let (status, _) = status_and_body(&submit_with_dependencies(&api, ID, json!("run-1")).await);
    assert_eq!(status, 200, "a known job is answered even if the body is malformed");
}

/// Returns the interface of a node with one peer, whose frames are in this format.
async fn api_with_peer(service: &SimulatedStateService, format: FrameFormat) -> Api {
    let mut api = api_without_leader(service).await;
    let limits = crate::transport::peer::PeerTimeouts::for_leader_lease(api.router.leader_lease_ttl_ms);
    let peer = crate::transport::peer::Peer::start("worker-1".into(), "127.0.0.1:1".parse().unwrap(), limits);
    peer.format.record_frame(format);
    api.router.peers = Arc::new(vec![peer]);
    api
}

// A controller of an earlier version ignores dependencies: as a leader it would start the job at once.
#[tokio::test]
async fn job_with_dependencies_is_refused_while_a_controller_is_outdated() {
    let service = SimulatedStateService::default();
    let api = api_with_peer(&service, FrameFormat::UNVERSIONED).await;
    service.put_first_job(None);
    let refused = submit_with_dependencies(&api, SECOND, json!([ID])).await;
    assert_eq!((refused.status, refused.retry_after_s), (503, Some(1)));
    assert!(service.last_written("job/run-000002").is_none());
    assert_eq!(
        submit_with_dependencies(&api, ID, json!([SECOND])).await.status,
        200,
        "a known job is answered as such"
    );
    let without_dependencies = partition::tests::job_submission(SECOND, "batch", 2);
    assert_eq!(
        call(&api, "POST", "/v1/jobs".to_string(), without_dependencies).await.status,
        201,
        "a job without dependencies is accepted"
    );
    let api = api_with_peer(&service, FrameFormat::CURRENT).await;
    assert_eq!(submit_with_dependencies(&api, THIRD, json!([ID])).await.status, 201);
}

// If this node accepted the job in spite of the refusal, a next leader of an earlier version would
// ignore the dependencies and start the job at once.
#[tokio::test]
async fn refusal_by_the_leader_for_an_outdated_controller_or_indeterminate_dependency_stands() {
    for reason in [RefusalReason::ControllerOutdated, RefusalReason::DependencyIndeterminate] {
        let service = SimulatedStateService::default();
        let mut api = api_without_leader(&service).await;
        service.put_first_job(None);
        let _leader = add_local_leader(&mut api, UserAnswer::RetryLater(reason));
        assert_eq!(submit_with_dependencies(&api, SECOND, json!([ID])).await.status, 503);
        assert!(service.last_written("job/run-000002").is_none());
    }
}

// A leader of an earlier version would accept the job as one without dependencies.
#[tokio::test]
async fn job_with_dependencies_is_forwarded_only_to_a_leader_of_the_current_version() {
    let service = SimulatedStateService::default();
    let mut api = api_with_peer(&service, FrameFormat::CURRENT).await;
    service.put_first_job(None);
    let (leader_status, _mailbox) = add_local_leader(&mut api, UserAnswer::Unknown);
    assert!(api.router.leader_is_current(0), "the leader is this node");
    let led_by_peer = LeaderStatus { is_local: false, leader: Some("worker-1".into()) };
    leader_status.send(led_by_peer).unwrap();
    assert!(api.router.leader_is_current(0));
    let peer_of_unknown_version = crate::transport::peer::Peer::start(
        "worker-1".into(),
        "127.0.0.1:1".parse().unwrap(),
        crate::transport::peer::PeerTimeouts::for_leader_lease(api.router.leader_lease_ttl_ms),
    );
    api.router.peers = Arc::new(vec![peer_of_unknown_version]);
    assert!(!api.router.leader_is_current(0), "the version of a peer that has sent nothing is not known");
}
