//! Tests of requests for machines: retries, and machines that the previous leader requested.

use super::*;

// Machines of the previous leader may be booting and not listed yet; they would be requested a second time.
#[test]
fn a_new_leader_requests_nothing_before_a_list_shows_the_requests_of_the_previous_one() {
    let mut simulation = Simulation::of(partition_with_records(2, vec![], vec![]));
    // Machines that the previous leader requested just before it ended. The first lists do not show them.
    (0..3).for_each(|_| drop(simulation.add_machine("a")));
    simulation.submit("run-000001", 4);
    simulation.run(LAG_MS / 2);
    assert!(simulation.requested_ids.is_empty());
    simulation.run(2 * LAG_MS);
    assert_eq!(simulation.requested_ids.len(), 1, "only the missing machine, within two lags of the list");
}

// The first leader has no predecessor whose requests it would have to wait for.
#[test]
fn the_first_leader_requests_machines_at_once() {
    let mut simulation = Simulation::of(partition());
    simulation.submit("run-000001", 4);
    simulation.run(2 * ROUND_MS);
    assert_eq!(simulation.requested_ids.len(), 4);
}

#[test]
fn an_unanswered_request_is_repeated_under_its_name_at_growing_intervals() {
    let mut simulation = Simulation::new();
    simulation.requests_unanswered = true;
    simulation.next_list_ms = u64::MAX;
    simulation.submit("run-000001", 1);
    simulation.run(20 * BOOT_MS);
    let names: BTreeSet<&String> = simulation.unanswered.iter().map(|request| &request.1).collect();
    assert_eq!(names.len(), 1, "no second request before a list shows that the first started no machine");
    let sent: Vec<u64> = simulation.unanswered.iter().map(|request| request.0).collect();
    assert_eq!(sent.len(), 8);
    let pauses: Vec<u64> = sent.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.is_sorted() && pauses[6] >= 8 * pauses[0], "{pauses:?}");
    let metrics = simulation.partition.metrics().text();
    assert!(metrics.contains(r#"rentals_total{of="unanswered"} 8"#), "{metrics}");
    assert!(metrics.contains(r#"rentals_total{of="abandoned"} 1"#), "{metrics}");
    // The cloud answers requests again.
    simulation.requests_unanswered = false;
    simulation.next_list_ms = 0;
    simulation.run(BOOT_MS);
    assert_eq!(simulation.requested_ids.len(), 1);
}

// An unanswered request may have started machines, which only a later list shows.
#[test]
fn machines_of_an_unanswered_request_are_not_requested_again() {
    let mut simulation = Simulation::new();
    simulation.requests_unanswered = true;
    simulation.submit("run-000001", 1);
    // Runs until the last try, which starts a machine.
    while simulation.unanswered.len() < 8 || simulation.now < simulation.unanswered[7].0 {
        simulation.run(ROUND_MS);
    }
    simulation.add_machine("a");
    simulation.run(ROUND_MS);
    simulation.requests_unanswered = false;
    simulation.run(20 * ROUND_MS);
    assert!(simulation.requested_ids.is_empty(), "{:?}", simulation.requested_ids);
}
