//! Tests of boot times: what is usual, what is late, what is lost.

use super::*;

const NOMINAL: u64 = 40_000;

fn offering(zone: &str) -> InstanceOffering {
    InstanceOffering { instance_type: 0, zone: zone.into(), spot: false }
}

#[test]
fn usual_boots_are_neither_late_nor_change_what_is_expected_by_much() {
    let mut times = BootTimes::default();
    let offering = offering("a");
    assert_eq!(times.expected_ms(&offering, NOMINAL, 0), NOMINAL, "nothing seen yet");
    // Boots of 0.6 to 1.5 times the nominal time, evenly.
    for i in 0..60 {
        let duration_ms = NOMINAL * (60 + i * 37 % 91) / 100;
        assert!(!times.is_late(&offering, NOMINAL, duration_ms, i * 1000));
        times.record_boot(&offering, duration_ms, i * 1000);
    }
    let expected = times.expected_ms(&offering, NOMINAL, 60_000);
    assert!((NOMINAL..NOMINAL * 3 / 2).contains(&expected), "{expected}");
    assert!(times.is_late(&offering, NOMINAL, expected * 17 / 10, 60_000));
    assert_eq!(times.cost_factor(&offering, NOMINAL, 0, 60_000), 1.0);
}

#[test]
fn one_slow_boot_changes_nothing_and_many_are_what_is_expected() {
    let mut times = BootTimes::default();
    let (slow, other) = (offering("a"), offering("b"));
    times.record_boot(&slow, 5 * NOMINAL, 1000);
    assert_eq!(times.expected_ms(&slow, NOMINAL, 1000), NOMINAL);
    for i in 0..5 {
        times.record_boot(&slow, 5 * NOMINAL, 2000 + i);
    }
    assert_eq!(times.expected_ms(&slow, NOMINAL, 3000), 5 * NOMINAL);
    assert!(!times.is_late(&slow, NOMINAL, 6 * NOMINAL, 3000));
    assert!(!times.exceeds_give_up_age(&slow, NOMINAL, 6 * NOMINAL, 3000));
    assert!(times.is_late(&other, NOMINAL, 2 * NOMINAL, 3000), "other zones are judged by themselves");
    // The spell is over: it is forgotten.
    assert_eq!(times.expected_ms(&slow, NOMINAL, 3000 + 21 * NOMINAL), NOMINAL);
}

#[test]
fn a_spell_of_fast_boots_makes_nobody_impatient() {
    let mut times = BootTimes::default();
    for i in 0..50 {
        times.record_boot(&offering("a"), NOMINAL / 20, i);
    }
    assert_eq!(times.expected_ms(&offering("a"), NOMINAL, 100), NOMINAL);
}

#[test]
fn failures_and_late_machines_make_a_kind_dearer_and_no_boot_longer() {
    let mut times = BootTimes::default();
    let offering = offering("a");
    let with_late = times.cost_factor(&offering, NOMINAL, 6, 0);
    assert!(with_late >= 3.0, "{with_late}");
    for i in 0..6 {
        times.record_failure(&offering, i);
    }
    assert!(times.cost_factor(&offering, NOMINAL, 0, 10) >= 3.0);
    assert_eq!(times.expected_ms(&offering, NOMINAL, 10), NOMINAL);
    assert!(times.exceeds_give_up_age(&offering, NOMINAL, 4 * NOMINAL, 10), "what never comes up makes nobody patient");
    assert_eq!(times.cost_factor(&offering, NOMINAL, 0, 21 * NOMINAL), 1.0, "failures are forgotten");
}

#[test]
fn a_bounded_number_of_boots_is_kept() {
    let mut times = BootTimes::default();
    for i in 0..10_000 {
        times.record_boot(&offering("a"), NOMINAL, i);
        times.record_failure(&offering("b"), i);
    }
    assert!(times.by_offering.values().all(|boots| boots.len() <= MAX_RECENT_BOOTS));
}
