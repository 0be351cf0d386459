//! Tests of the token bucket.

use super::*;

#[test]
fn token_bucket_allows_a_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 1.0, 0);
    assert_eq!((0..20).filter(|_| bucket.try_take(0)).count(), 10);
    assert_eq!((0..20).filter(|_| bucket.try_take(500)).count(), 5);
    bucket.spend(3);
    assert!(!bucket.try_take(700));
    assert!(bucket.try_take(1000));
}
