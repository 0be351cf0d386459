use super::*;
use crate::part::tests::{part, report};
use crate::part::{Part, Via};
use crate::wire::Listed;
use serde_json::json;

/// Nominal boot time of the machines of these tests.
const BOOT_MS: u64 = 30_000;
const LAG_S: f64 = 4.0;
const LAG_MS: u64 = 4000;
const PATIENCE_MS: u64 = 3000;
const ROUND_MS: u64 = 1000;

/// A leader with its part, on a clock of its own. The cloud is played by the tests.
struct Bench {
    part: Part,
    leader: Leader,
    now: u64,
}

impl Bench {
    fn new() -> Bench {
        let mut bench = Bench { part: part(), leader: Leader::new(LAG_S), now: 1000 };
        bench.list(&[]);
        bench.rounds_until(1000 + PATIENCE_MS + ROUND_MS);
        bench
    }

    /// Rounds over time, as the holder makes them; returns what the cloud is asked.
    fn rounds_until(&mut self, until: u64) -> Vec<CloudOp> {
        let mut ops = Vec::new();
        while self.now < until {
            self.now += ROUND_MS.min(until - self.now);
            ops.extend(self.round());
        }
        ops
    }

    fn round(&mut self) -> Vec<CloudOp> {
        let coming = self.leader.coming(0, &self.part, self.now, PATIENCE_MS);
        let (needs, mut ops) = self.leader.plan(&mut self.part, &coming, self.now, self.now);
        ops.extend(self.leader.lead(needs, &self.part, self.now, PATIENCE_MS));
        ops
    }

    fn list(&mut self, machines: &[Listed]) -> Vec<CloudOp> {
        self.leader.listed(machines, &self.part, self.now)
    }

    /// The cloud has rented a machine for this part.
    fn rent(&mut self, id: &str, zone: &str) {
        let rental = Rental { flavor: 0, zone: zone.into(), spot: false, count: 1 };
        let name = format!("of-{id}");
        self.leader.renting.insert(name.clone(), (0, rental));
        self.leader.rented(&name, RentResult::Rented(vec![id.into()]), self.now);
    }

    fn comes_up(&mut self, id: &str) {
        let term = self.part.term;
        self.part.report(&report(id, 1, 1, term, vec![]), Via::Beat, self.now);
        self.leader.coming(0, &self.part, self.now, PATIENCE_MS);
    }

    fn coming(&mut self) -> usize {
        self.leader.coming(0, &self.part, self.now, PATIENCE_MS).len()
    }
}

fn entry(id: &str, zone: &str, phase: &str, age_ms: u64) -> Listed {
    let held_s = age_ms as f64 / 1000.0;
    serde_json::from_value(json!({"id": id, "flavor": "g8", "region": zone, "phase": phase, "held_s": held_s})).unwrap()
}

fn released(ops: &[CloudOp]) -> Vec<String> {
    let ids = ops.iter().filter_map(|op| match op {
        CloudOp::Release(ids) => Some(ids.clone()),
        _ => None,
    });
    ids.flatten().collect()
}

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
    assert_eq!(bench.coming(), 0);
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
    assert_eq!(bench.coming(), 1);
    // Older than the one before, by up to twice the lag.
    bench.rounds_until(bench.now + LAG_MS);
    bench.list(&[]);
    assert_eq!(bench.coming(), 1, "it would be rented a second time");
    bench.rounds_until(bench.now + LAG_MS + ROUND_MS);
    bench.list(&[]);
    assert_eq!(bench.coming(), 0, "it is gone");
}

#[test]
fn a_leader_that_stood_still_first_hears_who_came_up_meanwhile() {
    let mut bench = Bench::new();
    bench.rent("host-1", "a");
    bench.rounds_until(bench.now + BOOT_MS);
    bench.now += 3 * BOOT_MS;
    bench.coming();
    let stale = [entry("host-1", "a", "starting", 4 * BOOT_MS)];
    assert!(bench.list(&stale).is_empty());
    bench.rounds_until(bench.now + PATIENCE_MS);
    assert_eq!(released(&bench.list(&stale)), ["host-1"]);
}
