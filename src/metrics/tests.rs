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
