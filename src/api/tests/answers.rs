//! Tests of remembered ends, fresh reads, request budgets and time limits.

use super::*;

#[tokio::test]
async fn recorded_end_is_read_once_and_then_answered_from_memory() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    for end in [JobEnd::Done, JobEnd::Cancelled] {
        let api = Api { ended_jobs: EndedJobs::new(1000), ..api.clone() };
        service.put_first_job(Some(end));
        let first = poll(&api).await;
        let reads = service.reads();
        let cancellation = call(&api, "POST", format!("/v1/jobs/{ID}/withdraw"), Vec::new()).await;
        let resubmission = call(&api, "POST", "/v1/jobs".to_string(), submission()).await;
        let malformed = call(&api, "POST", "/v1/jobs".to_string(), format!("{{\"id\":\"{ID}\"}}").into_bytes()).await;
        for answer in [poll(&api).await, cancellation, resubmission, malformed] {
            assert_eq!((status_and_phase(&answer), &answer.body), (status_and_phase(&first), &first.body));
        }
        assert_eq!(service.reads(), reads, "the record of a job whose end is remembered is not read again");
    }
}

// A recorded end never changes, so the leader need not be asked again.
#[tokio::test]
async fn end_stated_by_a_leader_is_answered_later_without_the_leader() {
    let mut api = api_without_leader(&SimulatedStateService::default()).await;
    let done = UserAnswer::Status { id: ID.to_string(), phase: JobPhase::Done, done: 2, running: 0 };
    let (_leader_status, mailbox) = add_local_leader(&mut api, done);
    let first = poll(&api).await;
    mailbox.await.unwrap();
    let again = poll(&api).await;
    assert_eq!((status_and_phase(&again), again.body), ((200, "done".to_string()), first.body));
}

// A remembered answer about such a job would be wrong once the job is submitted or ends.
#[tokio::test]
async fn record_of_a_missing_or_live_job_is_read_for_each_poll() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    assert_eq!(poll(&api).await.status, 404);
    assert_eq!(poll(&api).await.status, 404);
    assert_eq!(service.reads(), 2);
    service.put_first_job(None);
    assert_eq!(status_and_phase(&poll(&api).await), (200, "pending".to_string()));
    assert_eq!(status_and_phase(&poll(&api).await), (200, "pending".to_string()));
    assert_eq!(service.reads(), 4);
    service.put_first_job(Some(JobEnd::Done));
    assert_eq!(status_and_phase(&poll(&api).await), (200, "done".to_string()));
}

// A request that waited for the budget, or was sent beyond it, would take the rate of the state service
// from lease renewals, heartbeats and commits.
#[tokio::test]
async fn requests_over_the_budget_are_refused_without_a_read_and_with_retry_after() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    while api.request_budget.try_admit(RequestPurpose::Poll) {}
    let poll = poll(&api).await;
    assert_eq!((poll.status, poll.retry_after_s), (429, Some(1)));
    assert_eq!(service.reads(), 0);
    while api.request_budget.try_admit(RequestPurpose::Change) {}
    let submission = call(&api, "POST", "/v1/jobs".to_string(), submission()).await;
    assert_eq!((submission.status, submission.retry_after_s), (429, Some(1)));
    assert_eq!(service.reads(), 0);
}

#[tokio::test]
async fn metrics_count_refusals_remembered_polls_and_shared_reads() {
    let service = SimulatedStateService::default();
    let api = api_without_leader(&service).await;
    service.put_first_job(Some(JobEnd::Done));
    let (first, concurrent) = tokio::join!(poll(&api), poll(&api));
    assert_eq!((first.status, concurrent.status), (200, 200));
    poll(&api).await;
    while api.request_budget.try_admit(RequestPurpose::Poll) {}
    call(&api, "GET", "/v1/jobs/run-000002".to_string(), Vec::new()).await;
    let text = call(&api, "GET", "/metrics".to_string(), Vec::new()).await.body;
    let expected = "\
        badgerdrift_refusals_total{reason=\"too_many_reads\",status=\"429\"} 1\n\
        badgerdrift_poll_answers_total{of=\"record\"} 2\n\
        badgerdrift_poll_answers_total{of=\"remembered_end\"} 1\n\
        badgerdrift_poll_answers_total{of=\"refused\"} 1\n\
        badgerdrift_polls_from_remembered_ends_total 1\n\
        badgerdrift_shared_reads_total 1\n\
        badgerdrift_state_requests_total{kind=\"read\",outcome=\"answered\"} 2\n\
        badgerdrift_silent_peers 0\n\
        badgerdrift_peers{version=\"current\"} 0\n\
        badgerdrift_peers{version=\"old\"} 0\n\
        badgerdrift_peers{version=\"unknown\"} 0\n";
    assert_eq!(String::from_utf8(text).unwrap(), expected);
}

// An answer may take several calls to the state service in a row, whose timeouts together exceed the
// time that users wait.
#[tokio::test(start_paused = true)]
async fn answer_is_refused_after_the_time_limit_of_users() {
    let start = Instant::now();
    assert_eq!(answer_within_timeout(std::future::pending()).await.status, 503);
    assert_eq!(start.elapsed(), USER_ANSWER_TIMEOUT);
    assert!(USER_ANSWER_TIMEOUT < Duration::from_secs(5));
    assert_eq!(answer_within_timeout(async { RefusalReason::NoDecisionInTime.response() }).await.status, 503);
}
