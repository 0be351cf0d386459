use super::*;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::sleep;

/// How long a scripted read takes.
const READ: Duration = Duration::from_millis(100);

/// Counts reads; each returns its own number once it is over.
#[derive(Clone, Default)]
struct Reads {
    sent: Arc<AtomicU32>,
    under_way: Arc<AtomicU32>,
    most_under_way: Arc<AtomicU32>,
}

impl Reads {
    fn reader(&self) -> impl Fn() -> std::pin::Pin<Box<dyn Future<Output = u32> + Send>> + Send + 'static {
        let reads = self.clone();
        move || {
            let reads = reads.clone();
            Box::pin(async move {
                let number = reads.sent.fetch_add(1, Ordering::SeqCst) + 1;
                let under_way = reads.under_way.fetch_add(1, Ordering::SeqCst) + 1;
                reads.most_under_way.fetch_max(under_way, Ordering::SeqCst);
                sleep(READ).await;
                reads.under_way.fetch_sub(1, Ordering::SeqCst);
                number
            })
        }
    }

    fn sent(&self) -> u32 {
        self.sent.load(Ordering::SeqCst)
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_answered_only_by_a_read_that_was_sent_after_it() {
    let (shared, reads) = (SharedReads::<u32>::default(), Reads::default());
    let first = shared.enter("a", || true, reads.reader()).unwrap();
    let with_first = shared.enter("a", || true, reads.reader()).unwrap();
    sleep(READ / 2).await;
    assert_eq!(reads.sent(), 1, "one read is under way");
    let late: Vec<_> = (0..50).map(|_| shared.enter("a", || true, reads.reader()).unwrap()).collect();
    assert_eq!((first.await, with_first.await), (Ok(1), Ok(1)), "both came before the first read");
    for answer in late {
        assert_eq!(answer.await, Ok(2), "came after the first read was sent");
    }
    assert_eq!(reads.sent(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_storm_about_one_id_has_one_read_under_way() {
    let (shared, reads) = (SharedReads::<u32>::default(), Reads::default());
    let mut answers = Vec::new();
    for _ in 0..200 {
        answers.push(shared.enter("a", || true, reads.reader()).unwrap());
        sleep(Duration::from_millis(5)).await;
    }
    for answer in answers {
        answer.await.unwrap();
    }
    assert_eq!(reads.most_under_way.load(Ordering::SeqCst), 1);
    assert!(reads.sent() <= 12, "{} reads for 200 requests in a second", reads.sent());
    assert!(shared.waiting.lock().unwrap().is_empty(), "nothing is kept of an id without requests");
}

#[tokio::test(start_paused = true)]
async fn only_a_request_that_needs_a_new_read_is_counted_against_the_budget() {
    let (shared, reads) = (SharedReads::<u32>::default(), Reads::default());
    let refused = || false;
    assert!(shared.enter("a", refused, reads.reader()).is_none());
    let first = shared.enter("a", || true, reads.reader()).unwrap();
    let shares_first = shared.enter("a", refused, reads.reader());
    assert!(shares_first.is_some(), "it costs nothing to share a read");
    sleep(READ / 2).await;
    assert!(shared.enter("a", refused, reads.reader()).is_none(), "the next read would be its own");
    assert_eq!(first.await, Ok(1));
    sleep(READ).await;
    assert_eq!(reads.sent(), 1);
}
