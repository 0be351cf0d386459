//! Tests of machines that boot late or never come up, and of their replacements.

use super::*;

/// Returns the age, in milliseconds since its request, at which a machine that stays listed as starting is
/// returned.
fn return_age_ms(simulation: &mut Simulation, id: &str) -> u64 {
    let since = simulation.now;
    simulation.add_booting_host(id, "a");
    loop {
        simulation.rounds_until(simulation.now + ROUND_MS);
        let age_ms = simulation.now - since;
        if terminated_ids(&simulation.list(&[listed_instance(id, "a", "starting", age_ms)])) == [id] {
            return age_ms;
        }
        assert!(age_ms < 100 * BOOT_MS, "the machine is never returned");
    }
}

#[test]
fn a_machine_that_never_comes_up_is_returned_after_a_multiple_of_the_expected_boot_time() {
    let mut simulation = Simulation::new();
    let first_age_ms = return_age_ms(&mut simulation, "host-1");
    assert!((2 * BOOT_MS..4 * BOOT_MS).contains(&first_age_ms), "{first_age_ms}");
    // All boots take 2.67 times the nominal time here, so that a longer boot time is expected.
    for index in 0..6 {
        let id = format!("slow-{index}");
        simulation.add_booting_host(&id, "a");
        simulation.rounds_until(simulation.now + 2 * BOOT_MS);
        simulation.list(&[listed_instance(&id, "a", "starting", 2 * BOOT_MS)]);
        simulation.rounds_until(simulation.now + BOOT_MS * 2 / 3);
        simulation.report_up(&id);
    }
    let slow_age_ms = return_age_ms(&mut simulation, "host-2");
    assert!(slow_age_ms > 7 * BOOT_MS, "{slow_age_ms}");
    assert!(slow_age_ms < 12 * BOOT_MS, "{slow_age_ms}");
}

#[test]
fn a_machine_listed_as_failed_is_returned_at_once() {
    let mut simulation = Simulation::new();
    simulation.add_booting_host("host-1", "a");
    simulation.rounds_until(simulation.now + ROUND_MS);
    assert_eq!(terminated_ids(&simulation.list(&[listed_instance("host-1", "a", "failed", ROUND_MS)])), ["host-1"]);
    assert_eq!(simulation.pending_machines(), 0);
}

// A machine that is up may be unreachable for a while. Returning it at once would lose it needlessly.
#[test]
fn a_machine_listed_as_up_is_given_time_to_report() {
    let mut simulation = Simulation::new();
    simulation.add_booting_host("host-1", "a");
    let since = simulation.now;
    simulation.rounds_until(since + BOOT_MS * 5 / 2);
    assert!(
        simulation.list(&[listed_instance("host-1", "a", "running", BOOT_MS * 5 / 2)]).is_empty(),
        "the machine has just come up"
    );
    simulation.rounds_until(since + BOOT_MS * 10 / 3);
    assert!(simulation.list(&[listed_instance("host-1", "a", "running", BOOT_MS * 10 / 3)]).is_empty());
    simulation.rounds_until(since + BOOT_MS * 4);
    assert_eq!(terminated_ids(&simulation.list(&[listed_instance("host-1", "a", "running", BOOT_MS * 4)])), ["host-1"]);
}

// Lists lag, so that a later one may show an older state, without the machine.
#[test]
fn an_older_list_does_not_remove_a_booting_machine() {
    let mut simulation = Simulation::new();
    simulation.add_booting_host("host-1", "a");
    simulation.rounds_until(simulation.now + LAG_MS);
    simulation.list(&[listed_instance("host-1", "a", "starting", LAG_MS)]);
    assert_eq!(simulation.pending_machines(), 1);
    // This list may be older than the one before, by up to twice the lag.
    simulation.rounds_until(simulation.now + LAG_MS);
    simulation.list(&[]);
    assert_eq!(simulation.pending_machines(), 1, "otherwise it would be requested a second time");
    simulation.rounds_until(simulation.now + LAG_MS + ROUND_MS);
    simulation.list(&[]);
    assert_eq!(simulation.pending_machines(), 0, "the machine is gone");
}

// After a stall the heartbeats of machines that came up in the meantime are still unread.
#[test]
fn a_leader_that_stalled_times_out_no_boot_before_reports_can_arrive() {
    let mut simulation = Simulation::new();
    simulation.add_booting_host("host-1", "a");
    simulation.rounds_until(simulation.now + BOOT_MS);
    simulation.now += 3 * BOOT_MS;
    simulation.pending_machines();
    let old_list = [listed_instance("host-1", "a", "starting", 4 * BOOT_MS)];
    assert!(simulation.list(&old_list).is_empty());
    simulation.rounds_until(simulation.now + REPORT_TTL_MS);
    assert_eq!(terminated_ids(&simulation.list(&old_list)), ["host-1"]);
}

#[test]
fn a_late_machine_is_replaced_once_in_another_zone() {
    let mut simulation = Simulation::new();
    simulation.boot_ms = |zone| if zone == "a" { None } else { Some(BOOT_MS) };
    simulation.submit("run-000001", 1);
    simulation.run(BOOT_MS * 3 / 2);
    assert_eq!(simulation.zones(), ["a"], "not late yet");
    simulation.run(BOOT_MS / 2);
    assert_eq!(simulation.zones(), ["a", "b"]);
    simulation.run(BOOT_MS);
    assert_eq!(simulation.requested_ids.len(), 2, "one replacement");
    simulation.run(10 * BOOT_MS);
    let metrics = simulation.partition.metrics().text();
    for expected in [r#"boots_late_total{of="g8/a"} 1"#, r#"boots_failed_total{of="g8/a"} 1"#] {
        assert!(metrics.contains(expected), "{expected} in {metrics}");
    }
    assert!(metrics.contains(r#"rentals_total{of="filled"} 2"#), "{metrics}");
    assert_eq!(simulation.zones(), ["b"], "the machine that never came up is returned");
    assert_eq!(simulation.requested_ids.len(), 2);
}

// If replacements are late too, each would be replaced in turn without the minimum share that counts as
// capacity.
#[test]
fn replacements_of_late_machines_are_bounded() {
    let mut simulation = Simulation::new();
    simulation.boot_ms = never_up;
    simulation.submit("run-000001", 5);
    for _ in 0..40 {
        simulation.run(BOOT_MS / 4);
        let outstanding = simulation.machines.len();
        assert!(outstanding <= 10, "{outstanding} machines for a need of 5");
    }
    // Ten boot times pass, and each boot times out after three.
    assert!(simulation.requested_ids.len() <= 10 * 5, "{} machines requested", simulation.requested_ids.len());
}

// Without a list no machine is returned, so that requests could accumulate.
#[test]
fn replacements_of_late_machines_are_bounded_without_a_list() {
    let mut simulation = Simulation::new();
    simulation.boot_ms = never_up;
    simulation.next_list_ms = u64::MAX;
    simulation.submit("run-000001", 5);
    simulation.run(20 * BOOT_MS);
    assert_eq!(simulation.requested_ids.len(), 10, "one replacement for each machine");
}

#[test]
fn slow_boots_are_not_replaced_once_the_expected_boot_time_has_risen() {
    let mut simulation = Simulation::new();
    simulation.boot_ms = |_| Some(BOOT_MS * 5 / 2);
    simulation.submit("run-000001", 4);
    simulation.run(4 * BOOT_MS);
    let before = simulation.requested_ids.len();
    assert!((5..=8).contains(&before), "{before}");
    simulation.submit("run-000002", 8);
    simulation.run(3 * BOOT_MS);
    assert!(simulation.requested_ids.len() <= before + 8, "{} machines requested", simulation.requested_ids.len());
}

#[test]
fn a_replacement_is_returned_once_the_late_machine_comes_up() {
    let mut simulation = Simulation::new();
    simulation.boot_ms = |zone| Some(if zone == "a" { BOOT_MS * 5 / 2 } else { BOOT_MS });
    simulation.submit("run-000001", 1);
    simulation.run(BOOT_MS * 9 / 4);
    assert_eq!(simulation.zones(), ["a", "b"]);
    // The machine is up after 2.5 boot times; its replacement then stays idle for the maximum idle time.
    let keep_ms = (simulation.partition.policy().idle_keep * BOOT_MS as f64) as u64;
    simulation.run(BOOT_MS / 2 + keep_ms);
    assert_eq!(simulation.zones(), ["a"], "the replacement is returned");
    assert_eq!(simulation.requested_ids.len(), 2);
}

// Warm pools start their replicas the expected boot time before they are wanted.
#[test]
fn the_expected_boot_time_rises_after_slow_boots() {
    let mut simulation = Simulation::new();
    assert_eq!(simulation.provisioner.expected_boot_ms(&simulation.partition, simulation.now), BOOT_MS);
    simulation.boot_ms = |_| Some(2 * BOOT_MS);
    // A job that fills ten machines, of a team without a limit.
    let job = String::from_utf8(crate::control::partition::tests::job_submission("run-000001", "service", 80)).unwrap();
    let _answer = submit_job(&mut simulation.partition, job.replace("\"red\"", "\"blue\"").as_bytes(), simulation.now);
    simulation.run(6 * BOOT_MS);
    assert!(simulation.provisioner.expected_boot_ms(&simulation.partition, simulation.now) > BOOT_MS);
}
