use super::*;

// Found on the grown deployments: 500 submissions of the first ten seconds went
// a second way past an owner that was only slow, and used up its writes.
#[tokio::test(start_paused = true)]
async fn an_owner_counts_as_at_work_while_it_asks_for_promises() {
    let heard_ms = Arc::new(vec![AtomicU64::new(0)]);
    let router = Router { partitions: Default::default(), peers: Default::default(), grant_ttl_ms: 2500, heard_ms };
    assert!(!router.at_work(0), "never heard");
    router.heard_ms[0].store(clock::now_ms().max(1), Ordering::Relaxed);
    assert!(router.at_work(0));
    tokio::time::advance(Duration::from_millis(700)).await;
    assert!(!router.at_work(0), "it asks five times in a life");
}
