use super::*;
use crate::clients::RentResult;
use crate::partition::tests::{commit, partition, partition_of, report, submit};
use crate::partition::{CommitResult, Partition, ReportSource};
use crate::wire::tests::reported;
use crate::wire::{Listed, Order};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Nominal boot time of the machines of these tests.
const BOOT_MS: u64 = 30_000;
const LAG_S: f64 = 4.0;
const LAG_MS: u64 = 4000;
const PATIENCE_MS: u64 = 3000;
const ROUND_MS: u64 = 1000;

/// How long a machine takes to boot, by zone; none if it never comes up.
type BootMs = fn(zone: &str) -> Option<u64>;

fn usual(_zone: &str) -> Option<u64> {
    Some(BOOT_MS)
}

fn never(_zone: &str) -> Option<u64> {
    None
}

/// A machine of the scripted cloud.
struct Machine {
    zone: String,
    since_ms: u64,
    up_ms: Option<u64>,
    serial: u64,
    /// Running tasks by name, with their attempts.
    tasks: BTreeMap<String, u64>,
}

/// A leader with its partition and a scripted cloud, on a clock of their own.
struct Bench {
    partition: Partition,
    leader: Leader,
    now: u64,
    boot_ms: BootMs,
    machines: BTreeMap<String, Machine>,
    /// All machines ever rented by the leader, in order.
    rented: Vec<String>,
    /// When the next list comes; never in an outage of the list.
    next_list_ms: u64,
    /// Rental requests get no answer, and nothing comes of them.
    rents_unanswered: bool,
    /// When which request without an answer was to be sent.
    unanswered: Vec<(u64, String)>,
    /// What lists told, to be told late.
    snapshots: Vec<(u64, Vec<Listed>)>,
}

impl Bench {
    /// Of a leader that has been at work for a while, with nothing to do.
    fn new() -> Bench {
        let mut bench = Bench::of(partition());
        bench.run(PATIENCE_MS + ROUND_MS);
        bench
    }

    fn of(mut partition: Partition) -> Bench {
        partition.policy.headroom = 0.0;
        Bench {
            partition,
            leader: Leader::new(LAG_S),
            now: 1000,
            boot_ms: usual,
            machines: BTreeMap::new(),
            rented: Vec::new(),
            next_list_ms: 0,
            rents_unanswered: false,
            unanswered: Vec::new(),
            snapshots: Vec::new(),
        }
    }

    /// Time passes, and the cloud does what it is asked.
    fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += ROUND_MS;
            self.report();
            if self.partition.next_commit(self.now, 32).is_some() {
                self.partition.committed(CommitResult::Done { revision: self.now }).unwrap();
            }
            let ops = self.round();
            self.carry_out(ops);
            self.lose_answers();
            self.snapshots.push((self.now, self.entries()));
            if self.now >= self.next_list_ms {
                self.next_list_ms = self.now + LAG_MS / 2;
                let list = self.lagging_list();
                let ops = self.list(&list);
                self.carry_out(ops);
            }
        }
    }

    fn entries(&self) -> Vec<Listed> {
        let of = |(id, m): (&String, &Machine)| {
            let phase = if m.up_ms.is_some_and(|t| self.now >= t) { "running" } else { "starting" };
            entry(id, &m.zone, phase, self.now - m.since_ms)
        };
        self.machines.iter().map(of).collect()
    }

    fn lagging_list(&self) -> Vec<Listed> {
        let old = self.snapshots.iter().rfind(|(at, _)| at + LAG_MS <= self.now);
        old.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Machines that are up report, and do as they are told.
    fn report(&mut self) {
        let (now, term) = (self.now, self.partition.term);
        for (id, machine) in &mut self.machines {
            if machine.up_ms.is_none_or(|t| now < t) {
                continue;
            }
            machine.serial += 1;
            let tasks = machine.tasks.iter().map(|(task, attempt)| reported(task, *attempt, "running", None));
            let mut r = report(id, 1, machine.serial, term, tasks.collect());
            r.zone.clone_from(&machine.zone);
            for order in self.partition.report(&r, ReportSource::Heartbeat, now) {
                match order {
                    Order::Run { task, attempt } => drop(machine.tasks.insert(task, attempt)),
                    Order::Stop { task, .. } | Order::Reap { task, .. } => drop(machine.tasks.remove(&task)),
                }
            }
        }
    }

    /// The owner's round; returns what the cloud is asked.
    fn round(&mut self) -> Vec<CloudOp> {
        self.partition.pass(self.now, self.now);
        let pending_machines = self.leader.pending_machines(0, &self.partition, self.now, PATIENCE_MS);
        let (capacity_report, mut ops) = self.leader.plan(&mut self.partition, &pending_machines, self.now, self.now);
        ops.extend(self.leader.lead(capacity_report, &self.partition, self.now, PATIENCE_MS));
        ops
    }

    fn carry_out(&mut self, ops: Vec<CloudOp>) {
        for op in ops {
            match op {
                CloudOp::Rent { name, pause_ms, .. } if self.rents_unanswered => {
                    self.unanswered.push((self.now + pause_ms, name));
                }
                CloudOp::Rent { name, rental, .. } => {
                    let ids: Vec<String> = (0..rental.count).map(|_| self.machine(&rental.zone)).collect();
                    self.rented.extend(ids.clone());
                    self.leader.rented(&name, RentResult::Rented(ids), self.now);
                }
                CloudOp::Release(ids) => {
                    ids.iter().for_each(|id| drop(self.machines.remove(id)));
                    self.leader.released(&ids);
                    ids.iter().for_each(|id| self.partition.host_gone(id));
                }
                CloudOp::TransferHost { .. } => panic!("there is one part"),
            }
        }
    }

    /// Requests that were sent by now turn out to have no answer.
    fn lose_answers(&mut self) {
        let now = self.now;
        let sent: Vec<String> =
            self.unanswered.iter().filter(|(at, _)| (now - ROUND_MS..now).contains(at)).map(|u| u.1.clone()).collect();
        for name in sent {
            let again = self.leader.rented(&name, RentResult::Again, now);
            self.carry_out(again.into_iter().collect());
        }
    }

    fn machine(&mut self, zone: &str) -> String {
        let id = format!("host-{:04}", self.rented.len() + self.machines.len());
        let up_ms = (self.boot_ms)(zone).map(|ms| self.now + ms);
        let machine = Machine { zone: zone.into(), since_ms: self.now, up_ms, serial: 0, tasks: BTreeMap::new() };
        self.machines.insert(id.clone(), machine);
        id
    }

    /// A job that needs as many machines as it has tasks.
    fn submit(&mut self, id: &str, machines: u32) {
        let body = json!({"id": id, "jobclass": "chat", "owner": "blue", "shape": "service", "urgency": "standard",
            "shards": machines, "cores": 2.0, "cards": 8.0, "mem_gb": 8.0, "bundle": "i", "size_gb": 1.0,
            "flavors": null, "region": null, "same_place": false, "apart": false, "preemptible": false,
            "expected_s": 1000.0, "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null});
        submit(&mut self.partition, body.to_string().as_bytes(), self.now);
        commit(&mut self.partition, self.now, 5);
    }

    fn zones(&self) -> Vec<&str> {
        self.machines.values().map(|m| m.zone.as_str()).collect()
    }

    /// Rounds alone, without the scripted cloud.
    fn rounds_until(&mut self, until: u64) {
        while self.now < until {
            self.now += ROUND_MS.min(until - self.now);
            self.round();
        }
    }

    fn list(&mut self, machines: &[Listed]) -> Vec<CloudOp> {
        self.leader.listed(machines, &self.partition, self.now)
    }

    /// A machine was rented for this partition, and the scripted cloud knows nothing of it.
    fn rent(&mut self, id: &str, zone: &str) {
        let rental = Rental { flavor: 0, zone: zone.into(), spot: false, count: 1 };
        let name = format!("of-{id}");
        self.leader.renting.insert(name.clone(), RentalRequest::new(0, rental));
        self.leader.rented(&name, RentResult::Rented(vec![id.into()]), self.now);
    }

    fn comes_up(&mut self, id: &str) {
        let term = self.partition.term;
        self.partition.report(&report(id, 1, 1, term, vec![]), ReportSource::Heartbeat, self.now);
        self.leader.pending_machines(0, &self.partition, self.now, PATIENCE_MS);
    }

    fn pending_machines(&mut self) -> usize {
        self.leader.pending_machines(0, &self.partition, self.now, PATIENCE_MS).len()
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
    let metrics = bench.partition.metrics.text();
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
fn a_new_leader_awaits_the_list_of_what_the_last_one_rented() {
    let mut bench = Bench::of(partition_of(2, vec![], vec![]));
    // The last leader's, rented just before it ended, and not in the first lists.
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
    let metrics = bench.partition.metrics.text();
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

#[test]
fn a_late_machine_that_comes_up_leaves_its_replacement_to_be_returned() {
    let mut bench = Bench::new();
    bench.boot_ms = |zone| Some(if zone == "a" { BOOT_MS * 5 / 2 } else { BOOT_MS });
    bench.submit("run-000001", 1);
    bench.run(BOOT_MS * 9 / 4);
    assert_eq!(bench.zones(), ["a", "b"]);
    // Up after 2.6 boot times, and idle for as long as any machine may be.
    let keep_ms = (bench.partition.policy.idle_keep * BOOT_MS as f64) as u64;
    bench.run(BOOT_MS / 2 + keep_ms);
    assert_eq!(bench.zones(), ["a"], "the surplus is returned");
    assert_eq!(bench.rented.len(), 2);
}
