use super::*;

// Found on the grown deployments: 500 submissions of the first ten seconds went
// a second way past a holder that was only slow, and used up its writes.
#[tokio::test(start_paused = true)]
async fn a_holder_counts_as_at_work_while_it_asks_for_promises() {
    let heard_ms = Arc::new(vec![AtomicU64::new(0)]);
    let doors = Doors { parts: Default::default(), peers: Default::default(), life_ms: 2500, heard_ms };
    assert!(!doors.at_work(0), "never heard");
    doors.heard_ms[0].store(clock::now_ms().max(1), Ordering::Relaxed);
    assert!(doors.at_work(0));
    tokio::time::advance(Duration::from_millis(700)).await;
    assert!(!doors.at_work(0), "it asks five times in a life");
}
