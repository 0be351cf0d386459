use super::*;

#[test]
fn figures_are_told_by_name_and_label() {
    let mut m = Metrics::default();
    for ms in 1..=100 {
        m.observe("decision_ms", "chat", ms);
    }
    m.count("preempted", "sweep");
    let text = m.text();
    assert!(text.contains("badgerdrift_decision_ms_count{of=\"chat\"} 100"));
    assert!(text.contains("badgerdrift_preempted_total{of=\"sweep\"} 1"));
}

#[test]
fn figures_of_a_node_are_counted_by_all_its_parts() {
    let metrics = SharedMetrics::default();
    metrics.clone().count("partitions_lost", "superseded");
    metrics.count("partitions_lost", "superseded");
    assert_eq!(metrics.text(), "badgerdrift_partitions_lost_total{of=\"superseded\"} 2\n");
    assert_eq!(gauge_line("silent_peers", 1), "badgerdrift_silent_peers 1\n");
}
