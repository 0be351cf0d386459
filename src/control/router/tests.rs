use super::*;
use crate::model::FencingToken;
use crate::transport::peer::tests::{LEASE_TTL_MS, scripted_peer};
use tokio::time::Instant;

/// A router to one partition, led here or by the given peer, and the messages to its actor.
fn router(leader: Option<Peer>, leader_lease_ttl_ms: u64) -> (Router, mpsc::Receiver<partition_leader::Message>) {
    let (leader_tx, leader_messages) = mpsc::channel(64);
    let leader_status =
        LeaderStatus { leader: leader.as_ref().map(|peer| peer.name.clone()), is_self: leader.is_none() };
    let handle = PartitionHandle {
        leader_status: watch::channel(leader_status).1,
        leader_lease: LeaderLease::default(),
        pledge_status: PledgeStatus::default(),
        leader: leader_tx,
        election: mpsc::channel(1).0,
    };
    let router = Router {
        bills: None,
        configuration: None,
        partitions: Arc::new(vec![handle]),
        peers: Arc::new(leader.into_iter().collect()),
        leader_lease_ttl_ms,
        last_pledge_request_ms: Arc::new(vec![AtomicU64::new(0)]),
    };
    (router, leader_messages)
}

fn poll() -> UserCall {
    UserCall::Status("run-000001".into())
}

async fn wait_ms(router: &Router, call: UserCall) -> u128 {
    let begin = Instant::now();
    router.user(0, call).await;
    begin.elapsed().as_millis()
}

// A user waits 2 s for a poll and 5 s for the rest, also where leases are long.
#[tokio::test(start_paused = true)]
async fn users_are_answered_in_time_also_with_long_leases() {
    const LONG_LEASE_MS: u64 = 60_000;
    const MAX_POLL_MS: u128 = 1300;
    let (elsewhere, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router_to_peer, _leader_messages) = router(Some(elsewhere), LONG_LEASE_MS);
    assert!(wait_ms(&router_to_peer, poll()).await <= MAX_POLL_MS);
    assert!(wait_ms(&router_to_peer, UserCall::Cancel("run-000001".into())).await <= MAX_POLL_MS);
    let (router_here, _leader_messages) = router(None, LONG_LEASE_MS);
    assert!(wait_ms(&router_here, poll()).await <= MAX_POLL_MS);
    assert!(wait_ms(&router_here, UserCall::Cancel("run-000001".into())).await <= 4500);
    assert!(wait_ms(&router_here, UserCall::Submit(Vec::new())).await <= 4500);
}

#[tokio::test(start_paused = true)]
async fn polls_do_not_wait_for_an_unresponsive_leader_until_it_asks_for_a_pledge() {
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _leader_messages) = router(Some(peer), LEASE_TTL_MS);
    let (first, second) = (wait_ms(&router, poll()).await, wait_ms(&router, poll()).await);
    assert!(first > 0 && second > 0);
    assert_eq!(router.unresponsive_peers(), 1);
    for _ in 0..20 {
        assert_eq!(wait_ms(&router, poll()).await, 0);
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
    assert!(wait_ms(&router, poll()).await > 0);
}

#[tokio::test(start_paused = true)]
async fn the_version_of_a_controller_is_that_of_its_last_request_for_a_pledge() {
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _leader_messages) = router(Some(peer), LEASE_TTL_MS);
    let versions =
        |router: &Router| (router.has_old_peer(), router.leader_is_current(0), router.peer_versions().unknown);
    assert_eq!(versions(&router), (false, false, 1), "nothing was ever received from it");
    let pledge = || PeerRequest::Pledge {
        partition: 0,
        leader: "b".into(),
        fencing_token: FencingToken(1),
        for_ms: 5,
        state_ok: true,
    };
    router.answer(pledge(), FrameFormat::UNNAMED).await;
    assert_eq!(versions(&router), (true, false, 0));
    router.answer(pledge(), FrameFormat::CURRENT).await;
    assert_eq!(versions(&router), (false, true, 0));
}

// In large deployments 500 submissions of the first ten seconds were accepted without a leader that
// was only slow, and used up its writes.
#[tokio::test(start_paused = true)]
async fn a_leader_is_active_while_it_asks_for_pledges() {
    let last_pledge_request_ms = Arc::new(vec![AtomicU64::new(0)]);
    let router = Router {
        bills: None,
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
    assert!(!router.leader_is_active(0), "it asks five times in the duration of a lease");
}

// With a small share of the processor a new leader was slow for two seconds: submissions to it were
// given up after half a second, refused, and retried a second later.
#[tokio::test(start_paused = true)]
async fn a_submission_waits_for_a_slow_leader_and_not_for_one_that_is_lost() {
    let submission = || UserCall::Submit(Vec::new());
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _leader_messages) = router(Some(peer), LEASE_TTL_MS);
    assert_eq!(
        wait_ms(&router, submission()).await,
        u128::from(LEASE_TTL_MS / LEADER_CHECKS_PER_LEASE),
        "nothing was ever received from it"
    );
    let asked_for_pledge =
        |after_ms: u64| router.last_pledge_request_ms[0].store(clock::now_ms() + after_ms, Ordering::Relaxed);
    asked_for_pledge(0);
    let lost = wait_ms(&router, submission()).await;
    assert!((u128::from(LEASE_TTL_MS / 4)..u128::from(LEASE_TTL_MS / 2)).contains(&lost), "{lost} ms");
    // As if it asked for pledges all the time.
    asked_for_pledge(60_000);
    router.peers[0].health.received();
    let slow = wait_ms(&router, submission()).await;
    assert!((3500..=4000).contains(&slow), "{slow} ms: a user waits 5 s");
}
