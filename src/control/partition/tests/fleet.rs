//! A partition with a scripted fleet of 1,500 machines on a fake clock. What is counted
//! is work, writes and bytes, not time.

use super::*;
use crate::clients::RentResult;
use crate::model::FencingToken;
use crate::model::{Demand, InstanceType};
use crate::provisioning::provisioner::{CloudRequest, Provisioner};
use crate::settings::{Objective, Operator, tests::settings};
use crate::wire::tests::reported;
use crate::wire::{self, Heartbeat, Item, Order};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

const REPORT: u64 = 4000;
/// A change is reported no earlier than so many milliseconds after the last report.
const REPORT_AFTER_CHANGE: u64 = 500;

struct Machine {
    instance_type: String,
    zone: String,
    sequence: u64,
    seen_token: u64,
    next_ms: u64,
    /// By task: attempt, whether it ended, and when it will have, with why.
    tasks: BTreeMap<String, (u64, bool, u64, &'static str)>,
}

impl Machine {
    fn carry_out(&mut self, orders: &[Order], now: u64, runs_ms: u64) {
        for o in orders {
            match o {
                Order::Run { task, attempt } => {
                    self.tasks.entry(task.clone()).or_insert((*attempt, false, now + runs_ms, "done"));
                }
                Order::Stop { task, .. } => {
                    if let Some(t) = self.tasks.get_mut(task).filter(|t| !t.1) {
                        *t = (t.0, true, now, "halted");
                    }
                }
                Order::Reap { task, .. } => {
                    self.tasks.remove(task);
                }
                Order::Load { .. } | Order::Unload { .. } | Order::Attach { .. } => {
                    unreachable!("no worker here loads models")
                }
            }
        }
    }

    fn heartbeat(&mut self, id: &str, now: u64) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter_mut().map(|(name, t)| {
            t.1 |= now >= t.2;
            match t.1 {
                true => reported(name, t.0, "ended", Some(t.3)),
                false => reported(name, t.0, "running", None),
            }
        });
        let tasks = tasks.collect();
        let mut r: Heartbeat =
            serde_json::from_value(json!({"host": id, "addr": "10.1.0.1:9000", "flavor": self.instance_type,
            "region": self.zone, "tenure": 1, "serial": self.sequence, "fence": self.seen_token}))
            .unwrap();
        r.tasks = tasks;
        r
    }
}

/// The partition, its leader, its machines, and what was counted.
struct Fleet {
    partition: Partition,
    provisioner: Provisioner,
    machines: BTreeMap<String, Machine>,
    rng: StdRng,
    now: u64,
    next_pass: u64,
    next_plan: u64,
    next_commit: u64,
    /// Microseconds that a write takes.
    write_us: usize,
    jobs: u64,
    stored: BTreeMap<String, Value>,
    writes: usize,
    largest_commit: usize,
    rentals: usize,
    waiting: Vec<oneshot::Receiver<UserAnswer>>,
}

fn types() -> Vec<InstanceType> {
    let of = |name: &str, cpus, gpus, mem, price: f64| InstanceType {
        name: name.into(),
        cap: Demand { cpus, gpus, mem },
        cache_gb: 300.0,
        fetch_gb_per_s: 3.0,
        price,
        spot_price: price * 0.4,
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![of("c", 64.0, 0.0, 128.0, 2.0), of("g4", 24.0, 4.0, 96.0, 9.0), of("g8", 64.0, 8.0, 512.0, 15.0)]
}

impl Fleet {
    /// Without machines yet; made for so many.
    fn new(seed: u64, size: usize) -> Fleet {
        let mut s = settings();
        s.params.limits.memory_mb = Some(188.0);
        s.params.limits.core_share = Some(0.4);
        s.params.workers.report_s = 4.0;
        s.params.workers.lease_s = 22.0;
        s.params.state.write_rps = size as f64 / 10.0;
        for t in &mut s.params.teams {
            (t.gpus, t.gpus_max) = (size as f64 * 4.0 / 3.0, size as f64 * 10.0 / 3.0);
        }
        let guarantee = s.params.objectives[0].clone();
        s.params.objectives.push(Objective { kind: "guarantee".into(), class: None, within_s: Some(5.0), ..guarantee });
        let policy = Policy::new(&s, &Operator::default(), 0);
        let mut partition = Partition::new(policy, 0, s.partitions_of_teams(1), s.write_limits());
        partition.begin(FencingToken(1), 77, vec![], vec![], types(), 1000);
        Fleet {
            partition,
            provisioner: Provisioner::new(10.0),
            machines: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            now: 1000,
            next_pass: 0,
            next_plan: 0,
            next_commit: 0,
            write_us: 10_500_000 / size,
            jobs: 0,
            stored: BTreeMap::new(),
            writes: 0,
            largest_commit: 0,
            rentals: 0,
            waiting: Vec::new(),
        }
    }

    fn boot(&mut self, instance_type: &str, zone: &str) {
        let id = format!("host-{:06}", self.machines.len());
        let next_ms = self.now + self.rng.random_range(0..REPORT);
        let (instance_type, zone) = (instance_type.to_string(), zone.to_string());
        let m = Machine { instance_type, zone, sequence: 0, seen_token: 0, next_ms, tasks: BTreeMap::new() };
        self.machines.insert(id, m);
    }

    fn submit(&mut self, class: &str, shape: &str, urgency: &str, tasks: u32, (cores, cards, mem): (f64, f64, f64)) {
        self.jobs += 1;
        let due = (shape == "batch").then_some(200.0);
        let image = format!("{class}-{}", self.rng.random_range(0..10));
        let team = if self.rng.random_bool(0.8) { "red" } else { "blue" };
        let body = json!({"id": format!("run-{:06}", self.jobs), "jobclass": class, "owner": team, "shape": shape,
            "urgency": urgency, "shards": tasks, "cores": cores, "cards": cards, "mem_gb": mem, "bundle": image,
            "size_gb": 40.0, "flavors": null, "region": null, "same_place": false, "apart": shape == "service",
            "preemptible": shape == "batch", "expected_s": 60.0, "checkpoint_every_s": 0.0, "flush_s": 0.0,
            "due_s": due});
        let (tx, rx) = oneshot::channel();
        self.partition.submit(body.to_string().as_bytes(), self.now, self.now, tx);
        self.waiting.push(rx);
    }

    fn arrivals(&mut self, n: usize) {
        for _ in 0..n {
            match self.rng.random_range(0..10) {
                0..4 => self.submit("lookup", "service", "production", 6, (4.0, 0.0, 7.0)),
                4..7 => self.submit("surge", "service", "urgent", 3, (5.0, 1.0, 35.0)),
                7 => self.submit("replica", "service", "production", 2, (22.0, 4.0, 150.0)),
                _ => self.submit("sweep", "batch", "standard", 20, (5.0, 1.0, 35.0)),
            }
        }
    }

    /// A tenth of a second: reports, the scheduling cycle, orders, commits, now and then a plan.
    fn step(&mut self) {
        self.now += 100;
        let now = self.now;
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| now >= m.next_ms) {
            m.next_ms = now + REPORT;
            let r = m.heartbeat(id, now);
            let orders = self.partition.heartbeat(&r, StatusSource::Heartbeat, now);
            if self.partition.fencing_token().0 > m.seen_token {
                // A higher token is a change, which is reported after half a second.
                m.seen_token = self.partition.fencing_token().0;
                m.next_ms = now + REPORT_AFTER_CHANGE;
            }
            m.carry_out(&orders, now, 60_000);
        }
        if self.partition.is_cycle_due() && now >= self.next_pass {
            self.partition.schedule(now, now);
            self.next_pass = now + 200;
        }
        for host_index in self.partition.take_dispatch_queue() {
            let Some(d) = self.partition.next_direct_command(host_index, now, false) else { continue };
            let m = self.machines.get_mut(&d.id).unwrap();
            if m.next_ms == u64::MAX {
                self.partition.direct_command_done(&d, DirectCommandOutcome::NotSent, now);
                continue;
            }
            m.carry_out(&d.orders, now, 60_000);
            let r = m.heartbeat(&d.id, now);
            self.partition.direct_command_done(&d, DirectCommandOutcome::Answered(Box::new(r)), now);
        }
        if now >= self.next_commit
            && let Some(c) = self.partition.next_commit(now, 32)
        {
            self.next_commit = now + (c.writes.len() * self.write_us) as u64 / 1000;
            self.writes += c.writes.len();
            self.largest_commit = self.largest_commit.max(wire::commit_body(&c.conditions, &c.writes).len());
            for write in c.writes {
                match write {
                    Write::Put { key, value, .. } => _ = self.stored.insert(key, value),
                    Write::Delete { key } => _ = self.stored.remove(&key),
                }
            }
            self.partition.committed(CommitOutcome::Done { revision: now }).unwrap();
        }
        if now >= self.next_plan {
            self.next_plan = now + 1100;
            self.partition.detect_failures(now, 0);
            let pending_machines = self.provisioner.pending_machines(0, &self.partition, now, 5000);
            let (capacity_report, mut ops) =
                self.provisioner.plan_partition(&mut self.partition, &pending_machines, now, now);
            self.provisioner.process_list(&[], &self.partition, now);
            ops.extend(self.provisioner.distribute(capacity_report, &self.partition, now, 5000));
            for op in ops {
                if let CloudRequest::ScaleOut { name, .. } = op {
                    self.rentals += 1;
                    // This cloud has no more: what is up is all there is.
                    self.provisioner.scale_out_answered(&name, RentResult::NoCapacity, now);
                }
            }
        }
        self.waiting.retain_mut(|rx| rx.try_recv().is_err());
    }

    /// The tasks that are alive, each on one machine.
    fn check(&self) {
        let mut on: BTreeMap<&str, &str> = BTreeMap::new();
        for (id, m) in &self.machines {
            for (task, _) in m.tasks.iter().filter(|(_, t)| !t.1 && self.now < t.2) {
                if let Some(other) = on.insert(task, id) {
                    panic!("{task} is on {other} and {id}");
                }
            }
        }
        assert!(self.largest_commit <= 64 * 1024, "{} bytes", self.largest_commit);
    }

    /// Another leader begins with what is stored; the machines named are dead.
    fn fail_over(&mut self, fencing_token: u64) {
        let item = |(key, value): (&String, &Value)| Item { key: key.clone(), value: value.clone(), version: 50 };
        let under = |prefix: &'static str| self.stored.iter().filter(move |(k, _)| k.starts_with(prefix));
        let (jobs, hosts) = (under("job/").map(item).collect(), under("host/").map(item).collect());
        let policy = self.partition.policy.clone();
        let teams = self.partition.teams.clone();
        self.partition = Partition::new(policy, 0, HashMap::new(), settings().write_limits());
        self.partition.teams = teams;
        self.partition.begin(FencingToken(fencing_token), 78, jobs, hosts, types(), self.now);
    }
}

// The next size: decisions, records and rentals must not cost machines times jobs.
#[test]
fn fifteen_hundred_machines_start_take_a_burst_and_fail_over() {
    a_fleet_starts_takes_a_burst_and_is_taken_over(1500);
}

// No bound of ours may stand below 4,000 machines, with half as many again.
#[test]
fn six_thousand_machines_start_take_a_burst_and_fail_over() {
    a_fleet_starts_takes_a_burst_and_is_taken_over(6000);
}

fn a_fleet_starts_takes_a_burst_and_is_taken_over(size: usize) {
    let mut f = Fleet::new(7, size);
    f.arrivals(size * 2 / 5);
    let mut most = 0;
    for tenth in 0..300 {
        if (20..70).contains(&tenth) {
            (0..size / 50).for_each(|i| f.boot(["c", "g4", "g8"][i % 3], ["a", "b"][i % 2]));
        }
        // More arrays than there is room for.
        if tenth > 150 {
            for _ in 0..size / 1500 {
                f.submit("sweep", "batch", "standard", 60, (5.0, 1.0, 35.0));
                f.submit("surge", "service", "urgent", 3, (5.0, 1.0, 35.0));
            }
        }
        let before = f.partition.scheduling_triggers.hosts_examined();
        f.step();
        most = most.max(f.partition.scheduling_triggers.hosts_examined() - before);
    }
    f.check();
    let running: usize = f.partition.cluster.each_host().map(|(_, h)| h.attempts.len()).sum();
    assert!(
        running > size * 10 / 3 && f.partition.pending_jobs().len() > 50,
        "{running} tasks, {} jobs wait",
        f.partition.pending_jobs().len()
    );
    // A scheduling cycle looks at each machine once for a job that it places, not for each of its tasks.
    let scale = size / 1500;
    assert!(most <= (150 * scale * size) as u64, "{most} machines looked at in a pass");
    assert!(f.writes <= 2 * f.jobs as usize + size, "{} writes for {} jobs", f.writes, f.jobs);
    assert!(f.rentals <= 60, "{} rentals", f.rentals);
    assert!(f.waiting.len() <= 150 * scale, "{} submissions without an answer", f.waiting.len());

    let dead: Vec<String> = f.machines.keys().step_by(40).cloned().collect();
    for id in &dead {
        if let Some(m) = f.machines.get_mut(id) {
            m.next_ms = u64::MAX;
        }
    }
    f.fail_over(2);
    for _ in 0..60 {
        f.step();
    }
    assert!(!f.partition.cluster.all_reconciled, "nothing was heard of the dead ones");
    f.check();
    dead.iter().for_each(|id| {
        f.machines.remove(id);
        f.partition.host_terminated(id);
    });
    for _ in 0..20 {
        f.step();
    }
    assert!(f.partition.cluster.all_reconciled);
    f.check();
}
