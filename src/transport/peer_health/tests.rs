use super::*;

const LIMITS: HealthLimits = HealthLimits { heartbeat_timeout_ms: 1000, probe_interval_ms: 1250 };

fn silent_since(now_ms: u64) -> PeerHealth {
    let mut health = PeerHealth::new(LIMITS);
    health.unanswered(0, now_ms);
    assert_eq!(health.unanswered(0, now_ms), HealthChange::FoundSilent);
    health
}

#[test]
fn a_peer_is_silent_after_two_unanswered_requests_in_a_row() {
    let mut health = PeerHealth::new(LIMITS);
    assert_eq!(health.unanswered(0, 500), HealthChange::Unchanged);
    assert!(!health.is_silent());
    assert_eq!(health.unanswered(600, 1100), HealthChange::FoundSilent);
    assert!(health.is_silent());
}

#[test]
fn a_request_counts_only_if_nothing_was_heard_since_it_was_sent() {
    let mut health = PeerHealth::new(LIMITS);
    health.heard(100);
    for sent_ms in [0, 50, 100] {
        assert_eq!(health.unanswered(sent_ms, 5000), HealthChange::Unchanged);
    }
    health.unanswered(101, 5000);
    assert!(!health.is_silent());
}

#[test]
fn an_answer_in_between_begins_the_count_anew() {
    let mut health = PeerHealth::new(LIMITS);
    health.unanswered(0, 500);
    health.heard(600);
    health.unanswered(700, 5000);
    assert!(!health.is_silent());
}

// A busy leader answers late, and asks for pledges all the time.
#[test]
fn a_peer_heard_a_moment_ago_is_slow_and_not_silent() {
    let mut health = PeerHealth::new(LIMITS);
    health.heard(1000);
    for now_ms in [1300, 1600, 1999] {
        assert_eq!(health.unanswered(1001, now_ms), HealthChange::Unchanged);
    }
    assert_eq!(health.unanswered(1001, 2000), HealthChange::FoundSilent);
}

#[test]
fn a_silent_peer_is_asked_once_in_an_interval() {
    let mut health = silent_since(1000);
    let asked: Vec<u64> = (1000..=5000).step_by(10).filter(|now_ms| health.may_ask(*now_ms)).collect();
    assert_eq!(asked, [2250, 3500, 4750]);
}

#[test]
fn whatever_is_heard_ends_the_silence() {
    let mut health = silent_since(1000);
    assert!(!health.may_ask(1100));
    assert_eq!(health.heard(1200), HealthChange::Recovered);
    assert!(health.may_ask(1200) && health.may_ask(1200));
    assert_eq!(health.heard(1300), HealthChange::Unchanged);
}
