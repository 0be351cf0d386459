use super::*;

#[test]
fn the_text_lists_metrics_by_name_and_label() {
    let mut metrics = Metrics::default();
    for duration_ms in 1..=100 {
        metrics.observe("decision_ms", "chat", duration_ms);
    }
    metrics.count("preempted", "sweep");
    let text = metrics.text();
    assert!(text.contains("badgerdrift_decision_ms_count{of=\"chat\"} 100"));
    assert!(text.contains("badgerdrift_preempted_total{of=\"sweep\"} 1"));
}

#[test]
fn clones_of_shared_metrics_share_their_counters() {
    let metrics = SharedMetrics::default();
    metrics.clone().count("partitions_lost", "superseded");
    metrics.count("partitions_lost", "superseded");
    assert_eq!(metrics.text(), "badgerdrift_partitions_lost_total{of=\"superseded\"} 2\n");
    assert_eq!(gauge_line("silent_peers", 1), "badgerdrift_silent_peers 1\n");
}
