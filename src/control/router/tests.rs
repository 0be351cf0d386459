use super::*;
use crate::model::FencingToken;
use crate::transport::peer::tests::{LEASE_TTL_MS, scripted_peer};
use tokio::time::Instant;

/// A router to one partition, which is led by the given peer or else by this node, and the receiver
/// of the messages to its actor.
fn router(
    leader: Option<Peer>,
    leader_lease_ttl_ms: u64,
) -> (Router, mpsc::Receiver<partition_leader::PartitionMessage>) {
    let (leader_tx, leader_messages) = mpsc::channel(64);
    let leader_status =
        LeaderStatus { leader: leader.as_ref().map(|peer| peer.name.clone()), is_local: leader.is_none() };
    let handle = PartitionHandle {
        leader_status: watch::channel(leader_status).1,
        leader_lease: LeaderLease::default(),
        pledge_status: PledgeStatus::default(),
        leader_mailbox: leader_tx,
        election_mailbox: mpsc::channel(1).0,
    };
    let router = Router {
        bill_store: None,
        configuration: None,
        partitions: Arc::new(vec![handle]),
        peers: Arc::new(leader.into_iter().collect()),
        leader_lease_ttl_ms,
        last_pledge_request_ms: Arc::new(vec![AtomicU64::new(0)]),
    };
    (router, leader_messages)
}

fn status_call() -> UserCall {
    UserCall::Status("run-000001".into())
}

/// Returns how many milliseconds the router takes to answer a user's request.
async fn answer_time_ms(router: &Router, call: UserCall) -> u128 {
    let start = Instant::now();
    router.forward_user_call(0, call).await;
    start.elapsed().as_millis()
}

// A user waits 2 s for a poll and 5 s for other requests. Timeouts that derive from a long lease must
// not exceed that.
#[tokio::test(start_paused = true)]
async fn users_are_answered_within_their_timeouts_with_long_leases() {
    const LONG_LEASE_MS: u64 = 60_000;
    const MAX_POLL_MS: u128 = 1300;
    let (remote_leader, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router_to_peer, _leader_messages) = router(Some(remote_leader), LONG_LEASE_MS);
    assert!(answer_time_ms(&router_to_peer, status_call()).await <= MAX_POLL_MS);
    assert!(answer_time_ms(&router_to_peer, UserCall::Cancel("run-000001".into())).await <= MAX_POLL_MS);
    let (router_here, _leader_messages) = router(None, LONG_LEASE_MS);
    assert!(answer_time_ms(&router_here, status_call()).await <= MAX_POLL_MS);
    assert!(answer_time_ms(&router_here, UserCall::Cancel("run-000001".into())).await <= 4500);
    assert!(answer_time_ms(&router_here, UserCall::Submit(Vec::new())).await <= 4500);
}

#[tokio::test(start_paused = true)]
async fn polls_skip_an_unresponsive_leader_until_it_requests_a_pledge() {
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _leader_messages) = router(Some(peer), LEASE_TTL_MS);
    let (first, second) = (answer_time_ms(&router, status_call()).await, answer_time_ms(&router, status_call()).await);
    assert!(first > 0 && second > 0);
    assert_eq!(router.unresponsive_peers(), 1);
    for _ in 0..20 {
        assert_eq!(answer_time_ms(&router, status_call()).await, 0);
    }
    let pledge = PeerRequest::Pledge {
        partition: 0,
        leader: "b".into(),
        fencing_token: FencingToken(1),
        for_ms: 5,
        state_ok: true,
    };
    router.answer(pledge, FrameFormat::CURRENT).await;
    assert_eq!(router.unresponsive_peers(), 0);
    assert!(answer_time_ms(&router, status_call()).await > 0);
}

#[tokio::test(start_paused = true)]
async fn peer_version_is_taken_from_its_last_pledge_request() {
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _leader_messages) = router(Some(peer), LEASE_TTL_MS);
    let versions =
        |router: &Router| (router.has_outdated_peer(), router.leader_is_current(0), router.peer_versions().unknown);
    assert_eq!(versions(&router), (false, false, 1), "nothing was received from the peer yet");
    let pledge = || PeerRequest::Pledge {
        partition: 0,
        leader: "b".into(),
        fencing_token: FencingToken(1),
        for_ms: 5,
        state_ok: true,
    };
    router.answer(pledge(), FrameFormat::UNVERSIONED).await;
    assert_eq!(versions(&router), (true, false, 0));
    router.answer(pledge(), FrameFormat::CURRENT).await;
    assert_eq!(versions(&router), (false, true, 0));
}

// Guards against submissions that bypass a leader that is only slow. In large deployments 500
// submissions of the first ten seconds were accepted without the leader and used up its writes.
#[tokio::test(start_paused = true)]
async fn leader_counts_as_active_for_a_quarter_lease_after_a_pledge_request() {
    let last_pledge_request_ms = Arc::new(vec![AtomicU64::new(0)]);
    let router = Router {
        bill_store: None,
        partitions: Default::default(),
        peers: Default::default(),
        leader_lease_ttl_ms: 2500,
        configuration: None,
        last_pledge_request_ms,
    };
    assert!(!router.leader_is_active(0), "no request yet");
    router.last_pledge_request_ms[0].store(clock::now_ms().max(1), Ordering::Relaxed);
    assert!(router.leader_is_active(0));
    tokio::time::advance(Duration::from_millis(700)).await;
    assert!(!router.leader_is_active(0), "an active leader asks five times within the duration of a lease");
}

// Guards against a timeout that is too short for a slow leader. With a small share of the processor, a
// new leader was slow for two seconds: submissions to it timed out after half a second, were refused,
// and were retried a second later.
#[tokio::test(start_paused = true)]
async fn submission_waits_for_a_slow_leader_but_not_for_a_lost_one() {
    let submission = || UserCall::Submit(Vec::new());
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _leader_messages) = router(Some(peer), LEASE_TTL_MS);
    assert_eq!(
        answer_time_ms(&router, submission()).await,
        u128::from(LEASE_TTL_MS / LEADER_CHECKS_PER_LEASE),
        "nothing was received from the peer yet"
    );
    let asked_for_pledge =
        |after_ms: u64| router.last_pledge_request_ms[0].store(clock::now_ms() + after_ms, Ordering::Relaxed);
    asked_for_pledge(0);
    let lost_leader_wait_ms = answer_time_ms(&router, submission()).await;
    assert!(
        (u128::from(LEASE_TTL_MS / 4)..u128::from(LEASE_TTL_MS / 2)).contains(&lost_leader_wait_ms),
        "{lost_leader_wait_ms} ms"
    );
    // A time stamp in the future makes the leader look active during the whole wait.
    asked_for_pledge(60_000);
    router.peers[0].health.record_received();
    let slow_leader_wait_ms = answer_time_ms(&router, submission()).await;
    assert!((3500..=4000).contains(&slow_leader_wait_ms), "{slow_leader_wait_ms} ms: a user waits 5 s");
}
