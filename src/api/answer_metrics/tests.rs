//! Tests of the text of the metrics about answers to users and workers.

use super::*;

#[test]
fn refusals_are_counted_by_reason_and_status() {
    let metrics = AnswerMetrics::default();
    metrics.count_answer(&RefusalReason::TooManyReads.response());
    metrics.count_answer(&RefusalReason::TooManyReads.response());
    metrics.count_answer(&RefusalReason::StateServiceSilent.response());
    metrics.count_answer(&Response::error(404, "no such job"));
    metrics.count_poll_from_remembered_end();
    let expected = "\
        badgerdrift_refusals_total{reason=\"state_service_silent\",status=\"503\"} 1\n\
        badgerdrift_refusals_total{reason=\"too_many_reads\",status=\"429\"} 2\n\
        badgerdrift_polls_from_remembered_ends_total 1\n\
        badgerdrift_shared_reads_total 7\n";
    assert_eq!(metrics.text(7), expected);
}
