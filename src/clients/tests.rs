use super::*;

#[test]
fn a_bucket_allows_bursts_and_then_its_rate() {
    let mut b = TokenBucket::new(10.0, 1.0, 0);
    assert_eq!((0..20).filter(|_| b.take(0)).count(), 10);
    assert_eq!((0..20).filter(|_| b.take(500)).count(), 5);
    b.spend(3);
    assert!(!b.take(700));
    assert!(b.take(1000));
}
