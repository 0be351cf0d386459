//! Tests of the responses to refused requests.

use super::*;

#[test]
fn refusal_has_status_reason_retry_after_and_body() {
    let overload = RefusalReason::TooManySubmissions.response_after(7);
    assert_eq!((overload.status, overload.retry_after_s), (429, Some(7)));
    assert_eq!(overload.refusal, Some(RefusalReason::TooManySubmissions));
    let outage = RefusalReason::StateServiceSilent.response();
    assert_eq!((outage.status, outage.retry_after_s), (503, Some(1)));
    assert_eq!(outage.body, br#"{"error":"the state service gives no answer"}"#);
}
