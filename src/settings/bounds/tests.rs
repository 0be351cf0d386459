use super::*;
use crate::settings::tests::settings;

/// The limits of the users' largest deployments, which are the same at 4,000 machines.
fn large_deployment() -> Settings {
    let mut settings = settings();
    settings.params.limits = Limits { max_sockets: 2677, memory_mb: Some(188.0), core_share: Some(0.4) };
    settings
}

// A fixed count of attempts gave six to each of 4,000 machines, with most of the capacity idle.
#[test]
fn attempts_are_bounded_by_memory_and_processor() {
    let bounds = Bounds::new(&large_deployment()).attempts;
    assert_eq!(bounds.most(MOST_ENTRIES_PER_S), 24_000);
    // Long tasks are listed once in a heartbeat, every 4 s.
    assert_eq!(bounds.most(0.25), 96_000);
    assert!(bounds.most(0.25) >= 16 * 6000);
    assert_eq!(bounds.most(1e-9), bounds.by_memory, "memory bounds them in any case");
}

#[test]
fn bounds_grow_with_the_process() {
    let (small, large) = (Bounds::new(&settings()), Bounds::new(&large_deployment()));
    assert!(large.ended_jobs > 3 * small.ended_jobs && large.route_hints > 3 * small.route_hints);
    assert!(large.attempts.by_memory > 3 * small.attempts.by_memory);
    assert_eq!(large.server_connections, 2007);
    assert_eq!((large.worker_connections, large.direct_commands), (167, 334));
}

#[test]
fn absent_limits_have_defaults() {
    let mut settings = settings();
    settings.params.limits = Limits { max_sockets: 16, memory_mb: None, core_share: None };
    let bounds = Bounds::new(&settings);
    assert!(bounds.ended_jobs > 0 && bounds.ended_jobs < 1_000_000);
    assert_eq!(bounds.attempts.most(MOST_ENTRIES_PER_S), bounds.attempts.by_memory);
    assert!(bounds.worker_connections >= 1 && bounds.direct_commands >= 1);
}

// Probed all at once after a failover, the machines of a fleet held up a leader with a small share.
#[test]
fn probes_follow_the_processor_share() {
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
