//! Tests of shared reads. A request that is answered by a read sent before it might get an answer older
//! than one that another node has already given.

use super::*;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::sleep;

/// Duration of a simulated read.
const READ_DURATION: Duration = Duration::from_millis(100);

/// Simulated reads, which are counted; each returns its own number, from 1, once it ends.
#[derive(Clone, Default)]
struct SimulatedReads {
    /// Number of reads that were sent.
    sent: Arc<AtomicU32>,
    /// Number of reads that are in flight now.
    in_flight: Arc<AtomicU32>,
    /// Maximum of `in_flight` so far.
    max_in_flight: Arc<AtomicU32>,
}

impl SimulatedReads {
    /// Returns a function that makes a simulated read.
    fn reader(&self) -> impl Fn() -> std::pin::Pin<Box<dyn Future<Output = u32> + Send>> + Send + 'static {
        let reads = self.clone();
        move || {
            let reads = reads.clone();
            Box::pin(async move {
                let number = reads.sent.fetch_add(1, Ordering::SeqCst) + 1;
                let in_flight = reads.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
                reads.max_in_flight.fetch_max(in_flight, Ordering::SeqCst);
                sleep(READ_DURATION).await;
                reads.in_flight.fetch_sub(1, Ordering::SeqCst);
                number
            })
        }
    }

    /// Returns the number of reads that were sent.
    fn sent(&self) -> u32 {
        self.sent.load(Ordering::SeqCst)
    }
}

#[tokio::test(start_paused = true)]
async fn request_is_answered_only_by_a_read_sent_after_the_request() {
    let (shared, reads) = (SharedReads::<u32>::default(), SimulatedReads::default());
    let first = shared.join_next_read("a", || true, reads.reader()).unwrap();
    let with_first = shared.join_next_read("a", || true, reads.reader()).unwrap();
    sleep(READ_DURATION / 2).await;
    assert_eq!(reads.sent(), 1, "one read is in flight");
    let late: Vec<_> = (0..50).map(|_| shared.join_next_read("a", || true, reads.reader()).unwrap()).collect();
    assert_eq!((first.await, with_first.await), (Ok(1), Ok(1)), "both arrived before the first read was sent");
    for answer in late {
        assert_eq!(answer.await, Ok(2), "arrived after the first read was sent");
    }
    assert_eq!(reads.sent(), 2);
}

#[tokio::test(start_paused = true)]
async fn many_requests_for_one_key_have_at_most_one_read_in_flight() {
    let (shared, reads) = (SharedReads::<u32>::default(), SimulatedReads::default());
    let mut answers = Vec::new();
    for _ in 0..200 {
        answers.push(shared.join_next_read("a", || true, reads.reader()).unwrap());
        sleep(Duration::from_millis(5)).await;
    }
    for answer in answers {
        answer.await.unwrap();
    }
    assert_eq!(reads.max_in_flight.load(Ordering::SeqCst), 1);
    assert!(reads.sent() <= 12, "{} reads for 200 requests in a second", reads.sent());
    assert!(shared.waiting.lock().unwrap().is_empty(), "a key without requests is removed");
}

#[tokio::test(start_paused = true)]
async fn admission_is_required_only_for_a_request_that_causes_a_read() {
    let (shared, reads) = (SharedReads::<u32>::default(), SimulatedReads::default());
    let refused = || false;
    assert!(shared.join_next_read("a", refused, reads.reader()).is_none());
    let first = shared.join_next_read("a", || true, reads.reader()).unwrap();
    let shares_first = shared.join_next_read("a", refused, reads.reader());
    assert!(shares_first.is_some(), "sharing a read needs no admission");
    sleep(READ_DURATION / 2).await;
    assert!(shared.join_next_read("a", refused, reads.reader()).is_none(), "the request would cause the next read");
    assert_eq!(first.await, Ok(1));
    sleep(READ_DURATION).await;
    assert_eq!(reads.sent(), 1);
}
