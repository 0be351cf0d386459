//! Tests of the boot time statistics: expected boot times, late machines and boot timeouts.

use super::*;

const NOMINAL: u64 = 40_000;

fn offering(zone: &str) -> InstanceOffering {
    InstanceOffering { instance_type: 0, zone: zone.into(), spot: false }
}

#[test]
fn ordinary_boots_are_not_late_and_hardly_change_the_expected_boot_time() {
    let mut times = BootTimes::default();
    let offering = offering("a");
    assert_eq!(times.expected_ms(&offering, NOMINAL, 0), NOMINAL, "no boot recorded yet");
    // Boots of 0.6 to 1.5 times the nominal time, evenly distributed.
    for index in 0..60 {
        let duration_ms = NOMINAL * (60 + index * 37 % 91) / 100;
        assert!(!times.is_late(&offering, NOMINAL, duration_ms, index * 1000));
        times.record_boot(&offering, duration_ms, index * 1000);
    }
    let expected = times.expected_ms(&offering, NOMINAL, 60_000);
    assert!((NOMINAL..NOMINAL * 3 / 2).contains(&expected), "{expected}");
    assert!(times.is_late(&offering, NOMINAL, expected * 17 / 10, 60_000));
    assert_eq!(times.cost_factor(&offering, NOMINAL, 0, 60_000), 1.0);
}

#[test]
fn one_slow_boot_does_not_change_the_expected_boot_time_and_many_do() {
    let mut times = BootTimes::default();
    let (slow, other) = (offering("a"), offering("b"));
    times.record_boot(&slow, 5 * NOMINAL, 1000);
    assert_eq!(times.expected_ms(&slow, NOMINAL, 1000), NOMINAL);
    for index in 0..5 {
        times.record_boot(&slow, 5 * NOMINAL, 2000 + index);
    }
    assert_eq!(times.expected_ms(&slow, NOMINAL, 3000), 5 * NOMINAL);
    assert!(!times.is_late(&slow, NOMINAL, 6 * NOMINAL, 3000));
    assert!(!times.has_timed_out(&slow, NOMINAL, 6 * NOMINAL, 3000));
    assert!(times.is_late(&other, NOMINAL, 2 * NOMINAL, 3000), "other zones have their own statistics");
    // After the retention time the slow boots no longer count.
    assert_eq!(times.expected_ms(&slow, NOMINAL, 3000 + 21 * NOMINAL), NOMINAL);
}

// Otherwise ordinary boots would count as late after a series of fast ones, and be replaced needlessly.
#[test]
fn fast_boots_do_not_lower_the_expected_boot_time() {
    let mut times = BootTimes::default();
    for index in 0..50 {
        times.record_boot(&offering("a"), NOMINAL / 20, index);
    }
    assert_eq!(times.expected_ms(&offering("a"), NOMINAL, 100), NOMINAL);
}

// A failed boot has no duration: it must not make the provisioner wait longer for other machines.
#[test]
fn failures_and_late_machines_raise_the_cost_factor_and_not_the_expected_boot_time() {
    let mut times = BootTimes::default();
    let offering = offering("a");
    let with_late = times.cost_factor(&offering, NOMINAL, 6, 0);
    assert!(with_late >= 3.0, "{with_late}");
    for index in 0..6 {
        times.record_failure(&offering, index);
    }
    assert!(times.cost_factor(&offering, NOMINAL, 0, 10) >= 3.0);
    assert_eq!(times.expected_ms(&offering, NOMINAL, 10), NOMINAL);
    assert!(
        times.has_timed_out(&offering, NOMINAL, 4 * NOMINAL, 10),
        "failed boots do not raise the expected boot time"
    );
    assert_eq!(times.cost_factor(&offering, NOMINAL, 0, 21 * NOMINAL), 1.0, "failures expire");
}

// Memory must not grow with the number of boots.
#[test]
fn the_number_of_recorded_boots_per_offering_is_bounded() {
    let mut times = BootTimes::default();
    for index in 0..10_000 {
        times.record_boot(&offering("a"), NOMINAL, index);
        times.record_failure(&offering("b"), index);
    }
    assert!(times.by_offering.values().all(|boots| boots.len() <= MAX_RECENT_BOOTS));
}
