//! Tests of rental requests, and of what the last leader rented.

use super::*;

#[test]
fn a_new_leader_awaits_the_list_of_what_the_last_one_rented() {
    let mut bench = Bench::of(partition_of(2, vec![], vec![]));
    // The last provisioner's, rented just before it ended, and not in the first lists.
    (0..3).for_each(|_| drop(bench.machine("a")));
    bench.submit("run-000001", 4);
    bench.run(LAG_MS / 2);
    assert!(bench.rented.is_empty());
    bench.run(2 * LAG_MS);
    assert_eq!(bench.rented.len(), 1, "only what is missing, and soon");
}

#[test]
fn the_first_leader_of_all_rents_at_once() {
    let mut bench = Bench::of(partition());
    bench.submit("run-000001", 4);
    bench.run(2 * ROUND_MS);
    assert_eq!(bench.rented.len(), 4);
}

#[test]
fn a_rental_without_an_answer_is_repeated_under_its_name_ever_more_rarely() {
    let mut bench = Bench::new();
    bench.rents_unanswered = true;
    bench.next_list_ms = u64::MAX;
    bench.submit("run-000001", 1);
    bench.run(20 * BOOT_MS);
    let names: BTreeSet<&String> = bench.unanswered.iter().map(|u| &u.1).collect();
    assert_eq!(names.len(), 1, "no second rental before a list shows that nothing came of the first");
    let sent: Vec<u64> = bench.unanswered.iter().map(|u| u.0).collect();
    assert_eq!(sent.len(), 8);
    let pauses: Vec<u64> = sent.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(pauses.is_sorted() && pauses[6] >= 8 * pauses[0], "{pauses:?}");
    let metrics = bench.partition.metrics().text();
    assert!(metrics.contains(r#"rentals_total{of="unanswered"} 8"#), "{metrics}");
    assert!(metrics.contains(r#"rentals_total{of="abandoned"} 1"#), "{metrics}");
    // The cloud answers again.
    bench.rents_unanswered = false;
    bench.next_list_ms = 0;
    bench.run(BOOT_MS);
    assert_eq!(bench.rented.len(), 1);
}

#[test]
fn what_came_of_a_rental_without_an_answer_is_not_rented_again() {
    let mut bench = Bench::new();
    bench.rents_unanswered = true;
    bench.submit("run-000001", 1);
    // Until the last try, which rents a machine.
    while bench.unanswered.len() < 8 || bench.now < bench.unanswered[7].0 {
        bench.run(ROUND_MS);
    }
    bench.machine("a");
    bench.run(ROUND_MS);
    bench.rents_unanswered = false;
    bench.run(20 * ROUND_MS);
    assert!(bench.rented.is_empty(), "{:?}", bench.rented);
}
