//! Tests of ends that are remembered, fresh reads, budgets and time limits.

use super::*;

#[tokio::test]
async fn a_recorded_end_is_read_once() {
    let service = StateService::default();
    let api = api_at(&service).await;
    for end in [JobEnd::Done, JobEnd::Cancelled] {
        let api = Api { ended_jobs: EndedJobs::new(1000), ..api.clone() };
        service.put(Some(end));
        let first = poll(&api).await;
        let reads = service.reads();
        let withdrawal = call(&api, "POST", format!("/v1/jobs/{ID}/withdraw"), Vec::new()).await;
        let again = call(&api, "POST", "/v1/jobs".to_string(), submission()).await;
        let malformed = call(&api, "POST", "/v1/jobs".to_string(), format!("{{\"id\":\"{ID}\"}}").into_bytes()).await;
        for answer in [poll(&api).await, withdrawal, again, malformed] {
            assert_eq!((phase(&answer), &answer.body), (phase(&first), &first.body));
        }
        assert_eq!(service.reads(), reads, "nothing is read of a job whose end is known");
    }
}

#[tokio::test]
async fn an_end_stated_by_a_leader_is_answered_without_it() {
    let mut api = api_at(&StateService::default()).await;
    let done = UserAnswer::Status { id: ID.to_string(), phase: JobPhase::Done, done: 2, running: 0 };
    let (_leadership, mailbox) = led_here(&mut api, done);
    let first = poll(&api).await;
    mailbox.await.unwrap();
    let again = poll(&api).await;
    assert_eq!((phase(&again), again.body), ((200, "done".to_string()), first.body));
}

#[tokio::test]
async fn missing_and_live_jobs_are_read_for_each_poll() {
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
async fn requests_beyond_the_budget_are_refused_at_once_with_retry_after() {
    let service = StateService::default();
    let api = api_at(&service).await;
    while api.request_budget.try_admit(Purpose::Poll) {}
    let poll = poll(&api).await;
    assert_eq!((poll.status, poll.retry_after_s), (429, Some(1)));
    assert_eq!(service.reads(), 0);
    while api.request_budget.try_admit(Purpose::Change) {}
    let submission = call(&api, "POST", "/v1/jobs".to_string(), submission()).await;
    assert_eq!((submission.status, submission.retry_after_s), (429, Some(1)));
    assert_eq!(service.reads(), 0);
}

#[tokio::test]
async fn metrics_count_refusals_and_saved_reads() {
    let service = StateService::default();
    let api = api_at(&service).await;
    service.put(Some(JobEnd::Done));
    let (first, shares_its_read) = tokio::join!(poll(&api), poll(&api));
    assert_eq!((first.status, shares_its_read.status), (200, 200));
    poll(&api).await;
    while api.request_budget.try_admit(Purpose::Poll) {}
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
async fn an_answer_comes_within_the_wait_of_users() {
    let start = Instant::now();
    assert_eq!(in_time(std::future::pending()).await.status, 503);
    assert_eq!(start.elapsed(), MAX_USER_WAIT);
    assert!(MAX_USER_WAIT < Duration::from_secs(5));
    assert_eq!(in_time(async { RefusalReason::NoDecisionInTime.response() }).await.status, 503);
}
