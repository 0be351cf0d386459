use super::*;
use crate::settings::tests::settings;

/// Returns settings with the limits of the largest deployments, which are the same at 4,000 machines.
fn large_deployment() -> Settings {
    let mut settings = settings();
    settings.params.limits = Limits { max_sockets: 2677, memory_mb: Some(188.0), core_share: Some(0.4) };
    settings
}

// Guards against a fixed bound: it allowed only six attempts on each of 4,000 machines and left most of the
// capacity idle.
#[test]
fn attempts_are_bounded_by_memory_and_processor() {
    let bounds = Bounds::new(&large_deployment()).attempts;
    assert_eq!(bounds.max_attempts(MAX_ENTRIES_PER_S), 24_000);
    // A long task is listed in one heartbeat every 4 s.
    assert_eq!(bounds.max_attempts(0.25), 96_000);
    assert!(bounds.max_attempts(0.25) >= 16 * 6000);
    assert_eq!(bounds.max_attempts(1e-9), bounds.by_memory, "memory bounds the attempts at any rate of entries");
}

#[test]
fn bounds_grow_with_the_limits_of_the_process() {
    let (small, large) = (Bounds::new(&settings()), Bounds::new(&large_deployment()));
    assert!(large.ended_jobs > 3 * small.ended_jobs && large.route_hints > 3 * small.route_hints);
    assert!(large.attempts.by_memory > 3 * small.attempts.by_memory);
    assert_eq!(large.server_connections, 2007);
    assert_eq!((large.worker_connections, large.direct_commands), (167, 334));
}

#[test]
fn bounds_are_positive_without_memory_and_processor_limits() {
    let mut settings = settings();
    settings.params.limits = Limits { max_sockets: 16, memory_mb: None, core_share: None };
    let bounds = Bounds::new(&settings);
    assert!(bounds.ended_jobs > 0 && bounds.ended_jobs < 1_000_000);
    assert_eq!(bounds.attempts.max_attempts(MAX_ENTRIES_PER_S), bounds.attempts.by_memory);
    assert!(bounds.worker_connections >= 1 && bounds.direct_commands >= 1);
}

// Guards against a failover after which a leader with a small share of a core is blocked by probing all machines
// at once.
#[test]
fn the_probe_rate_is_proportional_to_the_processor_share() {
    let probes_per_s = |core_share| {
        let mut settings = settings();
        settings.params.limits.core_share = core_share;
        Bounds::new(&settings).probes_per_s
    };
    assert_eq!(probes_per_s(Some(0.4)), Some(400.0));
    assert_eq!(probes_per_s(Some(0.036)), Some(36.0));
    assert_eq!(probes_per_s(Some(1e-6)), Some(MIN_PROBES_PER_S));
    assert_eq!(probes_per_s(None), None);
}
