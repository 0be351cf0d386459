use super::*;

const LIMITS: HealthLimits = HealthLimits { receive_timeout_ms: 1000, probe_interval_ms: 1250 };

fn unresponsive_since(now_ms: u64) -> PeerHealth {
    let mut health = PeerHealth::new(LIMITS);
    health.record_unanswered(0, now_ms);
    assert_eq!(health.record_unanswered(0, now_ms), HealthChange::BecameUnresponsive);
    health
}

#[test]
fn a_peer_is_unresponsive_after_two_consecutive_unanswered_requests() {
    let mut health = PeerHealth::new(LIMITS);
    assert_eq!(health.record_unanswered(0, 500), HealthChange::Unchanged);
    assert!(!health.is_unresponsive());
    assert_eq!(health.record_unanswered(600, 1100), HealthChange::BecameUnresponsive);
    assert!(health.is_unresponsive());
}

#[test]
fn an_unanswered_request_is_not_counted_if_a_message_was_received_after_it_was_sent() {
    let mut health = PeerHealth::new(LIMITS);
    health.record_received(100);
    for sent_ms in [0, 50, 100] {
        assert_eq!(health.record_unanswered(sent_ms, 5000), HealthChange::Unchanged);
    }
    health.record_unanswered(101, 5000);
    assert!(!health.is_unresponsive());
}

#[test]
fn a_received_message_resets_the_count_of_unanswered_requests() {
    let mut health = PeerHealth::new(LIMITS);
    health.record_unanswered(0, 500);
    health.record_received(600);
    health.record_unanswered(700, 5000);
    assert!(!health.is_unresponsive());
}

// Guards against failing requests to a busy leader: it responds late but requests pledges all the time.
#[test]
fn a_peer_is_not_unresponsive_within_the_receive_timeout_of_its_last_message() {
    let mut health = PeerHealth::new(LIMITS);
    health.record_received(1000);
    for now_ms in [1300, 1600, 1999] {
        assert_eq!(health.record_unanswered(1001, now_ms), HealthChange::Unchanged);
    }
    assert_eq!(health.record_unanswered(1001, 2000), HealthChange::BecameUnresponsive);
}

#[test]
fn an_unresponsive_peer_is_probed_once_per_interval() {
    let mut health = unresponsive_since(1000);
    let probes: Vec<u64> = (1000..=5000).step_by(10).filter(|now_ms| health.may_send_user_request(*now_ms)).collect();
    assert_eq!(probes, [2250, 3500, 4750]);
}

#[test]
fn an_unresponsive_peer_is_responsive_again_after_a_received_message() {
    let mut health = unresponsive_since(1000);
    assert!(!health.may_send_user_request(1100));
    assert_eq!(health.record_received(1200), HealthChange::Recovered);
    assert!(health.may_send_user_request(1200) && health.may_send_user_request(1200));
    assert_eq!(health.record_received(1300), HealthChange::Unchanged);
}

#[test]
fn a_peer_is_reachable_from_a_received_message_until_a_request_fails() {
    let mut health = PeerHealth::new(LIMITS);
    assert!(!health.is_reachable(), "nothing was received yet");
    health.record_received(1000);
    assert!(health.is_reachable());
    // A request that was sent before the message shows nothing about the time after it.
    health.record_unanswered(900, 1100);
    assert!(health.is_reachable());
    health.record_unanswered(1050, 1200);
    assert!(!health.is_reachable());
    health.record_received(1300);
    health.record_not_sent();
    assert!(!health.is_reachable());
}
