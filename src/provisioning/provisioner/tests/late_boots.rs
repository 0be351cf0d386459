//! Tests of machines that come up late or never, and of their replacements.

use super::*;

/// When a machine that is listed as starting for ever is returned, counted from its rental.
fn given_up_after(bench: &mut Bench, id: &str) -> u64 {
    let since = bench.now;
    bench.rent(id, "a");
    loop {
        bench.rounds_until(bench.now + ROUND_MS);
        let age = bench.now - since;
        if released(&bench.list(&[entry(id, "a", "starting", age)])) == [id] {
            return age;
        }
        assert!(age < 100 * BOOT_MS, "never returned");
    }
}

#[test]
fn a_machine_that_never_comes_up_is_returned_after_what_its_kind_takes() {
    let mut bench = Bench::new();
    let usual = given_up_after(&mut bench, "host-1");
    assert!((2 * BOOT_MS..4 * BOOT_MS).contains(&usual), "{usual}");
    // All machines take four times as long here: that is awaited.
    for i in 0..6 {
        let id = format!("slow-{i}");
        bench.rent(&id, "a");
        bench.rounds_until(bench.now + 2 * BOOT_MS);
        bench.list(&[entry(&id, "a", "starting", 2 * BOOT_MS)]);
        bench.rounds_until(bench.now + BOOT_MS * 2 / 3);
        bench.comes_up(&id);
    }
    let patient = given_up_after(&mut bench, "host-2");
    assert!(patient > 7 * BOOT_MS, "{patient}");
    assert!(patient < 12 * BOOT_MS, "{patient}");
}

#[test]
fn what_failed_is_returned_at_once() {
    let mut bench = Bench::new();
    bench.rent("host-1", "a");
    bench.rounds_until(bench.now + ROUND_MS);
    assert_eq!(released(&bench.list(&[entry("host-1", "a", "failed", ROUND_MS)])), ["host-1"]);
    assert_eq!(bench.pending_machines(), 0);
}

#[test]
fn a_machine_that_is_up_by_the_list_is_given_time_to_reach_us() {
    let mut bench = Bench::new();
    bench.rent("host-1", "a");
    let since = bench.now;
    bench.rounds_until(since + BOOT_MS * 5 / 2);
    assert!(bench.list(&[entry("host-1", "a", "running", BOOT_MS * 5 / 2)]).is_empty(), "it has just come up");
    bench.rounds_until(since + BOOT_MS * 10 / 3);
    assert!(bench.list(&[entry("host-1", "a", "running", BOOT_MS * 10 / 3)]).is_empty());
    bench.rounds_until(since + BOOT_MS * 4);
    assert_eq!(released(&bench.list(&[entry("host-1", "a", "running", BOOT_MS * 4)])), ["host-1"]);
}

#[test]
fn an_older_list_takes_no_machine_from_the_books() {
    let mut bench = Bench::new();
    bench.rent("host-1", "a");
    bench.rounds_until(bench.now + LAG_MS);
    bench.list(&[entry("host-1", "a", "starting", LAG_MS)]);
    assert_eq!(bench.pending_machines(), 1);
    // Older than the one before, by up to twice the lag.
    bench.rounds_until(bench.now + LAG_MS);
    bench.list(&[]);
    assert_eq!(bench.pending_machines(), 1, "it would be rented a second time");
    bench.rounds_until(bench.now + LAG_MS + ROUND_MS);
    bench.list(&[]);
    assert_eq!(bench.pending_machines(), 0, "it is gone");
}

#[test]
fn a_leader_that_stood_still_first_hears_who_came_up_meanwhile() {
    let mut bench = Bench::new();
    bench.rent("host-1", "a");
    bench.rounds_until(bench.now + BOOT_MS);
    bench.now += 3 * BOOT_MS;
    bench.pending_machines();
    let stale = [entry("host-1", "a", "starting", 4 * BOOT_MS)];
    assert!(bench.list(&stale).is_empty());
    bench.rounds_until(bench.now + PATIENCE_MS);
    assert_eq!(released(&bench.list(&stale)), ["host-1"]);
}

#[test]
fn a_late_machine_is_replaced_elsewhere_and_once() {
    let mut bench = Bench::new();
    bench.boot_ms = |zone| if zone == "a" { None } else { Some(BOOT_MS) };
    bench.submit("run-000001", 1);
    bench.run(BOOT_MS * 3 / 2);
    assert_eq!(bench.zones(), ["a"], "not late yet");
    bench.run(BOOT_MS / 2);
    assert_eq!(bench.zones(), ["a", "b"]);
    bench.run(BOOT_MS);
    assert_eq!(bench.rented.len(), 2, "one replacement");
    bench.run(10 * BOOT_MS);
    let metrics = bench.partition.metrics().text();
    for counted in [r#"boots_late_total{of="g8/a"} 1"#, r#"boots_failed_total{of="g8/a"} 1"#] {
        assert!(metrics.contains(counted), "{counted} in {metrics}");
    }
    assert!(metrics.contains(r#"rentals_total{of="filled"} 2"#), "{metrics}");
    assert_eq!(bench.zones(), ["b"], "what never came up is returned");
    assert_eq!(bench.rented.len(), 2);
}

#[test]
fn machines_that_are_all_late_are_not_replaced_without_end() {
    let mut bench = Bench::new();
    bench.boot_ms = never;
    bench.submit("run-000001", 5);
    for _ in 0..40 {
        bench.run(BOOT_MS / 4);
        let outstanding = bench.machines.len();
        assert!(outstanding <= 10, "{outstanding} for a need of 5");
    }
    // Ten boot times, of which each machine is awaited for three.
    assert!(bench.rented.len() <= 10 * 5, "{} rented", bench.rented.len());
}

#[test]
fn late_machines_are_not_replaced_without_end_while_there_is_no_list_either() {
    let mut bench = Bench::new();
    bench.boot_ms = never;
    bench.next_list_ms = u64::MAX;
    bench.submit("run-000001", 5);
    bench.run(20 * BOOT_MS);
    assert_eq!(bench.rented.len(), 10, "one replacement for each");
}

#[test]
fn boots_that_are_all_slow_are_awaited_once_that_is_known() {
    let mut bench = Bench::new();
    bench.boot_ms = |_| Some(BOOT_MS * 5 / 2);
    bench.submit("run-000001", 4);
    bench.run(4 * BOOT_MS);
    let before = bench.rented.len();
    assert!((5..=8).contains(&before), "{before}");
    bench.submit("run-000002", 8);
    bench.run(3 * BOOT_MS);
    assert!(bench.rented.len() <= before + 8, "{} rented", bench.rented.len());
}

#[test]
fn a_late_machine_that_comes_up_leaves_its_replacement_to_be_returned() {
    let mut bench = Bench::new();
    bench.boot_ms = |zone| Some(if zone == "a" { BOOT_MS * 5 / 2 } else { BOOT_MS });
    bench.submit("run-000001", 1);
    bench.run(BOOT_MS * 9 / 4);
    assert_eq!(bench.zones(), ["a", "b"]);
    // Up after 2.6 boot times, and idle for as long as any machine may be.
    let keep_ms = (bench.partition.policy().idle_keep * BOOT_MS as f64) as u64;
    bench.run(BOOT_MS / 2 + keep_ms);
    assert_eq!(bench.zones(), ["a"], "the surplus is returned");
    assert_eq!(bench.rented.len(), 2);
}

// Pools of warm replicas are begun with as long before they are wanted.
#[test]
fn the_expected_boot_follows_what_was_seen() {
    let mut bench = Bench::new();
    assert_eq!(bench.provisioner.expected_boot_ms(&bench.partition, bench.now), BOOT_MS);
    bench.boot_ms = |_| Some(2 * BOOT_MS);
    // A job of a team without a limit that fills ten machines.
    let job = String::from_utf8(crate::control::partition::tests::body("run-000001", "service", 80)).unwrap();
    let _rx = submit(&mut bench.partition, job.replace("\"red\"", "\"blue\"").as_bytes(), bench.now);
    bench.run(6 * BOOT_MS);
    assert!(bench.provisioner.expected_boot_ms(&bench.partition, bench.now) > BOOT_MS);
}
