//! Tests of a partition with a scripted fleet of 1,500 or 6,000 machines on a fake clock. They bound the amounts
//! of work, writes and bytes instead of measuring time.

use super::*;
use crate::clients::RentResult;
use crate::model::{Demand, InstanceType};
use crate::model::{FencingToken, FencingTokenRange};
use crate::provisioning::provisioner::{CloudRequest, Provisioner};
use crate::settings::{Objective, OperatorSettings, tests::settings};
use crate::wire::tests::task_status;
use crate::wire::{self, Heartbeat, KeyValue, Order};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Interval between two heartbeats of a machine, in milliseconds.
const HEARTBEAT_MS: u64 = 4000;
/// Minimum time between a heartbeat and the next one that reports a change, in milliseconds.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Scripted machine.
struct Machine {
    instance_type: String,
    zone: String,
    sequence: u64,
    seen_token: u64,
    next_ms: u64,
    /// Tasks by name: attempt number, whether it ended, time of its end in milliseconds, and reason of the end.
    tasks: BTreeMap<String, (u64, bool, u64, &'static str)>,
}

impl Machine {
    fn carry_out(&mut self, orders: &[Order], now: u64, runs_ms: u64) {
        for order in orders {
            match order {
                Order::Run { task, attempt } => {
                    self.tasks.entry(task.clone()).or_insert((*attempt, false, now + runs_ms, "done"));
                }
                Order::Stop { task, .. } => {
                    if let Some(task) = self.tasks.get_mut(task).filter(|task| !task.1) {
                        *task = (task.0, true, now, "halted");
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
        let tasks = self.tasks.iter_mut().map(|(name, task)| {
            task.1 |= now >= task.2;
            match task.1 {
                true => task_status(name, task.0, "ended", Some(task.3)),
                false => task_status(name, task.0, "running", None),
            }
        });
        let tasks = tasks.collect();
        let mut heartbeat: Heartbeat =
            serde_json::from_value(json!({"host": id, "addr": "10.1.0.1:9000", "flavor": self.instance_type,
            "region": self.zone, "tenure": 1, "serial": self.sequence, "fence": self.seen_token}))
            .unwrap();
        heartbeat.tasks = tasks;
        heartbeat
    }
}

/// Partition with its provisioner, machines and stored records, and the counters that the tests bound.
struct Fleet {
    partition: Partition,
    provisioner: Provisioner,
    machines: BTreeMap<String, Machine>,
    rng: StdRng,
    now: u64,
    next_cycle: u64,
    next_plan: u64,
    next_commit: u64,
    /// Time that a write takes, in microseconds.
    write_us: usize,
    jobs: u64,
    stored: BTreeMap<String, Value>,
    writes: usize,
    largest_commit: usize,
    rentals: usize,
    pending_answers: Vec<oneshot::Receiver<UserAnswer>>,
}

fn instance_types() -> Vec<InstanceType> {
    let instance_type = |name: &str, cpus, gpus, mem, price: f64| InstanceType {
        name: name.into(),
        cap: Demand { cpus, gpus, mem },
        cache_gb: 300.0,
        fetch_gb_per_s: 3.0,
        price,
        spot_price: price * 0.4,
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![
        instance_type("c", 64.0, 0.0, 128.0, 2.0),
        instance_type("g4", 24.0, 4.0, 96.0, 9.0),
        instance_type("g8", 64.0, 8.0, 512.0, 15.0),
    ]
}

impl Fleet {
    /// Returns a fleet without machines whose settings suit `size` machines.
    fn new(seed: u64, size: usize) -> Fleet {
        let mut settings = settings();
        settings.params.limits.memory_mb = Some(188.0);
        settings.params.limits.core_share = Some(0.4);
        settings.params.workers.report_s = 4.0;
        settings.params.workers.lease_s = 22.0;
        settings.params.state.write_rps = size as f64 / 10.0;
        for team in &mut settings.params.teams {
            (team.gpus, team.gpus_max) = (size as f64 * 4.0 / 3.0, size as f64 * 10.0 / 3.0);
        }
        let guarantee = settings.params.objectives[0].clone();
        settings.params.objectives.push(Objective {
            kind: "guarantee".into(),
            class: None,
            within_s: Some(5.0),
            ..guarantee
        });
        let policy = Policy::new(&settings, &OperatorSettings::default(), 0);
        let mut partition = Partition::new(policy, 0, settings.partitions_of_teams(1), settings.write_limits());
        partition.begin_leadership(
            FencingTokenRange::following(FencingToken::NONE),
            77,
            vec![],
            vec![],
            instance_types(),
            1000,
        );
        Fleet {
            partition,
            provisioner: Provisioner::new(10.0),
            machines: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            now: 1000,
            next_cycle: 0,
            next_plan: 0,
            next_commit: 0,
            write_us: 10_500_000 / size,
            jobs: 0,
            stored: BTreeMap::new(),
            writes: 0,
            largest_commit: 0,
            rentals: 0,
            pending_answers: Vec::new(),
        }
    }

    fn boot(&mut self, instance_type: &str, zone: &str) {
        let id = format!("host-{:06}", self.machines.len());
        let next_ms = self.now + self.rng.random_range(0..HEARTBEAT_MS);
        let (instance_type, zone) = (instance_type.to_string(), zone.to_string());
        let machine = Machine { instance_type, zone, sequence: 0, seen_token: 0, next_ms, tasks: BTreeMap::new() };
        self.machines.insert(id, machine);
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
        self.pending_answers.push(rx);
    }

    fn submit_random_jobs(&mut self, count: usize) {
        for _ in 0..count {
            match self.rng.random_range(0..10) {
                0..4 => self.submit("lookup", "service", "production", 6, (4.0, 0.0, 7.0)),
                4..7 => self.submit("surge", "service", "urgent", 3, (5.0, 1.0, 35.0)),
                7 => self.submit("replica", "service", "production", 2, (22.0, 4.0, 150.0)),
                _ => self.submit("sweep", "batch", "standard", 20, (5.0, 1.0, 35.0)),
            }
        }
    }

    /// Advances the clock by 100 ms and runs what is due: heartbeats, the scheduling cycle, orders, commits and the
    /// provisioning plan.
    fn step(&mut self) {
        self.now += 100;
        let now = self.now;
        for (id, machine) in self.machines.iter_mut().filter(|(_, machine)| now >= machine.next_ms) {
            machine.next_ms = now + HEARTBEAT_MS;
            let heartbeat = machine.heartbeat(id, now);
            let orders = self.partition.heartbeat(&heartbeat, StatusSource::Heartbeat, now);
            let reply_token = self.partition.reply_token(&heartbeat).0;
            if reply_token > machine.seen_token {
                // A higher token is a change, which the machine reports before its next regular heartbeat.
                machine.seen_token = reply_token;
                machine.next_ms = now + MIN_HEARTBEAT_INTERVAL_MS;
            }
            machine.carry_out(&orders, now, 60_000);
        }
        if self.partition.is_cycle_due() && now >= self.next_cycle {
            self.partition.schedule(now, now);
            self.next_cycle = now + 200;
        }
        for host_index in self.partition.take_dispatch_queue() {
            let Some(command) = self.partition.take_direct_command(host_index, now, false) else { continue };
            let machine = self.machines.get_mut(&command.id).unwrap();
            if machine.next_ms == u64::MAX {
                self.partition.apply_direct_command_outcome(&command, DirectCommandOutcome::NotSent, now);
                continue;
            }
            machine.seen_token = machine.seen_token.max(command.fencing_token.0);
            machine.carry_out(&command.orders, now, 60_000);
            let outcome = DirectCommandOutcome::Answered(Box::new(machine.heartbeat(&command.id, now)));
            self.partition.apply_direct_command_outcome(&command, outcome, now);
        }
        if now >= self.next_commit
            && let Some(commit) = self.partition.next_commit(now, 32)
        {
            self.next_commit = now + (commit.writes.len() * self.write_us) as u64 / 1000;
            self.writes += commit.writes.len();
            self.largest_commit = self.largest_commit.max(wire::commit_body(&commit.conditions, &commit.writes).len());
            for write in commit.writes {
                match write {
                    Write::Put { key, value, .. } => _ = self.stored.insert(key, value),
                    Write::Delete { key } => _ = self.stored.remove(&key),
                }
            }
            self.partition.apply_commit_outcome(CommitOutcome::Done { revision: now }).unwrap();
        }
        if now >= self.next_plan {
            self.next_plan = now + 1100;
            self.partition.detect_failures(now, 0);
            let pending_machines = self.provisioner.pending_machines(0, &self.partition, now, 5000);
            let (capacity_report, mut ops) =
                self.provisioner.plan_partition(&mut self.partition, &pending_machines, now, now);
            self.provisioner.process_list(&[], &self.partition, now);
            ops.extend(self.provisioner.distribute_machines(capacity_report, &self.partition, now, 5000));
            for op in ops {
                if let CloudRequest::ScaleOut { name, .. } = op {
                    self.rentals += 1;
                    // This cloud has no capacity beyond the machines that are up.
                    self.provisioner.apply_scale_out_result(&name, RentResult::NoCapacity, now);
                }
            }
        }
        self.pending_answers.retain_mut(|rx| rx.try_recv().is_err());
    }

    /// Checks that each running task is on one machine only, and that no commit was too large.
    fn check_invariants(&self) {
        let mut machine_of_task: BTreeMap<&str, &str> = BTreeMap::new();
        for (id, machine) in &self.machines {
            for (task, _) in machine.tasks.iter().filter(|(_, task)| !task.1 && self.now < task.2) {
                if let Some(other) = machine_of_task.insert(task, id) {
                    panic!("{task} runs on {other} and on {id}");
                }
            }
        }
        assert!(self.largest_commit <= 64 * 1024, "{} bytes", self.largest_commit);
    }

    /// Lets a new leader begin with the stored records.
    fn fail_over(&mut self) {
        let tokens = FencingTokenRange::following(self.partition.fencing_tokens().last);
        let item = |(key, value): (&String, &Value)| KeyValue { key: key.clone(), value: value.clone(), version: 50 };
        let under = |prefix: &'static str| self.stored.iter().filter(move |(key, _)| key.starts_with(prefix));
        let (jobs, hosts) = (under("job/").map(item).collect(), under("host/").map(item).collect());
        let policy = self.partition.policy.clone();
        let teams = self.partition.teams.clone();
        self.partition = Partition::new(policy, 0, HashMap::new(), settings().write_limits());
        self.partition.teams = teams;
        self.partition.begin_leadership(tokens, 78, jobs, hosts, instance_types(), self.now);
    }
}

// Guards against decisions, records and rentals whose cost grows with the product of machines and jobs.
#[test]
fn a_burst_and_a_failover_with_1500_machines_stay_within_bounds() {
    check_burst_and_failover(1500);
}

// Guards against bounds that hold only below the supported 4,000 machines; 6,000 leave a margin of half as many.
#[test]
fn a_burst_and_a_failover_with_6000_machines_stay_within_bounds() {
    check_burst_and_failover(6000);
}

fn check_burst_and_failover(size: usize) {
    let mut fleet = Fleet::new(7, size);
    fleet.submit_random_jobs(size * 2 / 5);
    let mut max_examined = 0;
    for step in 0..300 {
        if (20..70).contains(&step) {
            (0..size / 50).for_each(|index| fleet.boot(["c", "g4", "g8"][index % 3], ["a", "b"][index % 2]));
        }
        // Submits more arrays than fit on the machines.
        if step > 150 {
            for _ in 0..size / 1500 {
                fleet.submit("sweep", "batch", "standard", 60, (5.0, 1.0, 35.0));
                fleet.submit("surge", "service", "urgent", 3, (5.0, 1.0, 35.0));
            }
        }
        let before = fleet.partition.scheduling_triggers.hosts_examined();
        fleet.step();
        max_examined = max_examined.max(fleet.partition.scheduling_triggers.hosts_examined() - before);
    }
    fleet.check_invariants();
    let running: usize = fleet.partition.cluster.each_host().map(|(_, host)| host.attempts.len()).sum();
    assert!(
        running > size * 10 / 3 && fleet.partition.pending_jobs().len() > 50,
        "{running} running tasks, {} pending jobs",
        fleet.partition.pending_jobs().len()
    );
    // A scheduling cycle examines each machine once per placed job, not once per task.
    let scale = size / 1500;
    assert!(max_examined <= (150 * scale * size) as u64, "{max_examined} machines examined in a cycle");
    assert!(fleet.writes <= 2 * fleet.jobs as usize + size, "{} writes for {} jobs", fleet.writes, fleet.jobs);
    assert!(fleet.rentals <= 60, "{} rentals", fleet.rentals);
    assert!(
        fleet.pending_answers.len() <= 150 * scale,
        "{} submissions without an answer",
        fleet.pending_answers.len()
    );

    let dead: Vec<String> = fleet.machines.keys().step_by(40).cloned().collect();
    for id in &dead {
        if let Some(machine) = fleet.machines.get_mut(id) {
            machine.next_ms = u64::MAX;
        }
    }
    fleet.fail_over();
    for _ in 0..60 {
        fleet.step();
    }
    assert!(!fleet.partition.cluster.all_reconciled, "the dead machines have not reported");
    fleet.check_invariants();
    dead.iter().for_each(|id| {
        fleet.machines.remove(id);
        fleet.partition.host_terminated(id);
    });
    for _ in 0..20 {
        fleet.step();
    }
    assert!(fleet.partition.cluster.all_reconciled);
    fleet.check_invariants();
}
