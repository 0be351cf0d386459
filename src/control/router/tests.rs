use super::*;
use crate::model::FencingToken;
use crate::transport::peer::tests::{GRANT_TTL_MS, scripted_peer};
use tokio::time::Instant;

/// A router to one partition, held here or by the given peer, and what its leader's actor is sent.
fn router(leader: Option<Peer>, leader_lease_ttl_ms: u64) -> (Router, mpsc::Receiver<partition_leader::Message>) {
    let (owner_tx, owner_rx) = mpsc::channel(64);
    let leader_status = LeaderStatus { leader: leader.as_ref().map(|p| p.name.clone()), is_self: leader.is_none() };
    let handle = PartitionHandle {
        leader_status: watch::channel(leader_status).1,
        leader_lease: LeaderLease::default(),
        pledge_status: PledgeStatus::default(),
        leader: owner_tx,
        members: mpsc::channel(1).0,
    };
    let router = Router {
        bills: None,
        configuration: None,
        partitions: Arc::new(vec![handle]),
        peers: Arc::new(leader.into_iter().collect()),
        leader_lease_ttl_ms,
        last_heartbeat_ms: Arc::new(vec![AtomicU64::new(0)]),
    };
    (router, owner_rx)
}

fn poll() -> UserCall {
    UserCall::Status("run-000001".into())
}

async fn wait_ms(router: &Router, call: UserCall) -> u128 {
    let begin = Instant::now();
    router.user(0, call).await;
    begin.elapsed().as_millis()
}

// A user waits 2 s for a poll and 5 s for the rest; long leases have long leases.
#[tokio::test(start_paused = true)]
async fn users_are_answered_in_time_also_with_long_grants() {
    const LONG_GRANT_MS: u64 = 60_000;
    const MAX_POLL_MS: u128 = 1300;
    let (elsewhere, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router_to_peer, _owner) = router(Some(elsewhere), LONG_GRANT_MS);
    assert!(wait_ms(&router_to_peer, poll()).await <= MAX_POLL_MS);
    assert!(wait_ms(&router_to_peer, UserCall::Cancel("run-000001".into())).await <= MAX_POLL_MS);
    let (router_here, _owner) = router(None, LONG_GRANT_MS);
    assert!(wait_ms(&router_here, poll()).await <= MAX_POLL_MS);
    assert!(wait_ms(&router_here, UserCall::Cancel("run-000001".into())).await <= 4500);
    assert!(wait_ms(&router_here, UserCall::Submit(Vec::new())).await <= 4500);
}

#[tokio::test(start_paused = true)]
async fn polls_do_not_wait_for_an_owner_that_is_silent_until_it_asks_for_a_promise() {
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _owner) = router(Some(peer), GRANT_TTL_MS);
    let (first, second) = (wait_ms(&router, poll()).await, wait_ms(&router, poll()).await);
    assert!(first > 0 && second > 0);
    assert_eq!(router.silent_peers(), 1);
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
    assert_eq!(router.silent_peers(), 0);
    assert!(wait_ms(&router, poll()).await > 0);
}

#[tokio::test(start_paused = true)]
async fn a_controller_is_known_to_be_old_by_the_promises_that_it_asks_for_until_it_comes_back_new() {
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _owner) = router(Some(peer), GRANT_TTL_MS);
    let versions =
        |router: &Router| (router.has_old_peer(), router.owner_is_current(0), router.peer_versions().unknown);
    assert_eq!(versions(&router), (false, false, 1), "it was never heard");
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

// Found on the grown deployments: 500 submissions of the first ten seconds went
// a second way past a leader that was only slow, and used up its writes.
#[tokio::test(start_paused = true)]
async fn an_owner_counts_as_at_work_while_it_asks_for_promises() {
    let last_heartbeat_ms = Arc::new(vec![AtomicU64::new(0)]);
    let router = Router {
        bills: None,
        partitions: Default::default(),
        peers: Default::default(),
        leader_lease_ttl_ms: 2500,
        configuration: None,
        last_heartbeat_ms,
    };
    assert!(!router.at_work(0), "never heard");
    router.last_heartbeat_ms[0].store(clock::now_ms().max(1), Ordering::Relaxed);
    assert!(router.at_work(0));
    tokio::time::advance(Duration::from_millis(700)).await;
    assert!(!router.at_work(0), "it asks five times in a life");
}

// With a small processor share a new leader was slow for two seconds: submissions to it were given
// up after half a second, refused, and came again a second later.
#[tokio::test(start_paused = true)]
async fn a_submission_waits_for_a_slow_owner_and_not_for_one_that_is_gone() {
    let submission = || UserCall::Submit(Vec::new());
    let (peer, _accepted) = scripted_peer(Some(Duration::ZERO));
    let (router, _owner) = router(Some(peer), GRANT_TTL_MS);
    assert_eq!(wait_ms(&router, submission()).await, u128::from(GRANT_TTL_MS / OWNER_LOOKS), "it was never heard");
    let heard = |after_ms: u64| router.last_heartbeat_ms[0].store(clock::now_ms() + after_ms, Ordering::Relaxed);
    heard(0);
    let gone = wait_ms(&router, submission()).await;
    assert!((u128::from(GRANT_TTL_MS / 4)..u128::from(GRANT_TTL_MS / 2)).contains(&gone), "{gone} ms");
    // As if it asked for pledges all the time.
    heard(60_000);
    router.peers[0].health.heard();
    let slow = wait_ms(&router, submission()).await;
    assert!((3500..=4000).contains(&slow), "{slow} ms: a user waits 5 s");
}
