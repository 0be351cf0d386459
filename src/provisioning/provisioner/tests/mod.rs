//! Tests of the provisioner's books, and a cloud for them.

mod frame_sizes;
mod late_boots;
mod rental_requests;

use super::*;
use crate::clients::RentResult;
use crate::control::partition::tests::{commit, heartbeat, partition, partition_of, submit};
use crate::control::partition::{CommitOutcome, Partition, StatusSource};
use crate::wire::tests::reported;
use crate::wire::{ListedInstance, Order};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Nominal boot time of the machines of these tests.
pub(super) const BOOT_MS: u64 = 30_000;

pub(super) const LAG_S: f64 = 4.0;

pub(super) const LAG_MS: u64 = 4000;

pub(super) const PATIENCE_MS: u64 = 3000;

pub(super) const ROUND_MS: u64 = 1000;

/// How long a machine takes to boot, by zone; none if it never comes up.
pub(super) type BootMs = fn(zone: &str) -> Option<u64>;

pub(super) fn usual(_zone: &str) -> Option<u64> {
    Some(BOOT_MS)
}

pub(super) fn never(_zone: &str) -> Option<u64> {
    None
}

/// A machine of the scripted cloud.
pub(super) struct Machine {
    pub(super) zone: String,
    pub(super) since_ms: u64,
    pub(super) up_ms: Option<u64>,
    pub(super) sequence: u64,
    /// Running tasks by name, with their attempts.
    pub(super) tasks: BTreeMap<String, u64>,
}

/// A leader with its partition and a scripted cloud, on a clock of their own.
pub(super) struct Bench {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    pub(super) now: u64,
    pub(super) boot_ms: BootMs,
    pub(super) machines: BTreeMap<String, Machine>,
    /// All machines ever rented by the provisioner, in order.
    pub(super) rented: Vec<String>,
    /// When the next list comes; never in an outage of the list.
    pub(super) next_list_ms: u64,
    /// Rental requests get no answer, and nothing comes of them.
    pub(super) rents_unanswered: bool,
    /// When which request without an answer was to be sent.
    pub(super) unanswered: Vec<(u64, String)>,
    /// What lists told, to be told late.
    pub(super) snapshots: Vec<(u64, Vec<ListedInstance>)>,
}

impl Bench {
    /// Of a leader that has been at work for a while, with nothing to do.
    pub(super) fn new() -> Bench {
        let mut bench = Bench::of(partition());
        bench.run(PATIENCE_MS + ROUND_MS);
        bench
    }

    pub(super) fn of(mut partition: Partition) -> Bench {
        partition.policy_mut().headroom = 0.0;
        Bench {
            partition,
            provisioner: Provisioner::new(LAG_S),
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
    pub(super) fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += ROUND_MS;
            self.heartbeat();
            if self.partition.next_commit(self.now, 32).is_some() {
                self.partition.committed(CommitOutcome::Done { revision: self.now }).unwrap();
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

    pub(super) fn entries(&self) -> Vec<ListedInstance> {
        let of = |(id, m): (&String, &Machine)| {
            let phase = if m.up_ms.is_some_and(|t| self.now >= t) { "running" } else { "starting" };
            entry(id, &m.zone, phase, self.now - m.since_ms)
        };
        self.machines.iter().map(of).collect()
    }

    pub(super) fn lagging_list(&self) -> Vec<ListedInstance> {
        let old = self.snapshots.iter().rfind(|(at, _)| at + LAG_MS <= self.now);
        old.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Machines that are up report, and do as they are told.
    pub(super) fn heartbeat(&mut self) {
        let (now, fencing_token) = (self.now, self.partition.fencing_token());
        for (id, machine) in &mut self.machines {
            if machine.up_ms.is_none_or(|t| now < t) {
                continue;
            }
            machine.sequence += 1;
            let tasks = machine.tasks.iter().map(|(task, attempt)| reported(task, *attempt, "running", None));
            let mut r = heartbeat(id, 1, machine.sequence, fencing_token.0, tasks.collect());
            r.zone.clone_from(&machine.zone);
            for order in self.partition.heartbeat(&r, StatusSource::Heartbeat, now) {
                match order {
                    Order::Run { task, attempt } => drop(machine.tasks.insert(task, attempt)),
                    Order::Stop { task, .. } | Order::Reap { task, .. } => drop(machine.tasks.remove(&task)),
                    Order::Load { .. } | Order::Unload { .. } | Order::Attach { .. } => {
                        unreachable!("no worker here loads models")
                    }
                }
            }
        }
    }

    /// The leader's round; returns what the cloud is asked.
    pub(super) fn round(&mut self) -> Vec<CloudRequest> {
        self.partition.schedule(self.now, self.now);
        let pending_machines = self.provisioner.pending_machines(0, &self.partition, self.now, PATIENCE_MS);
        let (capacity_report, mut ops) =
            self.provisioner.plan_partition(&mut self.partition, &pending_machines, self.now, self.now);
        ops.extend(self.provisioner.distribute(capacity_report, &self.partition, self.now, PATIENCE_MS));
        ops
    }

    pub(super) fn carry_out(&mut self, ops: Vec<CloudRequest>) {
        for op in ops {
            match op {
                CloudRequest::ScaleOut { name, pause_ms, .. } if self.rents_unanswered => {
                    self.unanswered.push((self.now + pause_ms, name));
                }
                CloudRequest::ScaleOut { name, scale_out, .. } => {
                    let ids: Vec<String> =
                        (0..scale_out.count).map(|_| self.machine(&scale_out.offering.zone)).collect();
                    self.rented.extend(ids.clone());
                    self.provisioner.scale_out_answered(&name, RentResult::Rented(ids), self.now);
                }
                CloudRequest::Terminate(ids) => {
                    ids.iter().for_each(|id| drop(self.machines.remove(id)));
                    self.provisioner.hosts_terminated(&ids);
                    ids.iter().for_each(|id| self.partition.host_terminated(id));
                }
                CloudRequest::TransferHost { .. } => panic!("there is one part"),
            }
        }
    }

    /// Requests that were sent by now turn out to have no answer.
    pub(super) fn lose_answers(&mut self) {
        let now = self.now;
        let sent: Vec<String> =
            self.unanswered.iter().filter(|(at, _)| (now - ROUND_MS..now).contains(at)).map(|u| u.1.clone()).collect();
        for name in sent {
            let again = self.provisioner.scale_out_answered(&name, RentResult::Again, now);
            self.carry_out(again.into_iter().collect());
        }
    }

    pub(super) fn machine(&mut self, zone: &str) -> String {
        let id = format!("host-{:04}", self.rented.len() + self.machines.len());
        let up_ms = (self.boot_ms)(zone).map(|ms| self.now + ms);
        let machine = Machine { zone: zone.into(), since_ms: self.now, up_ms, sequence: 0, tasks: BTreeMap::new() };
        self.machines.insert(id.clone(), machine);
        id
    }

    /// A job that needs as many machines as it has tasks.
    pub(super) fn submit(&mut self, id: &str, machines: u32) {
        let body = json!({"id": id, "jobclass": "chat", "owner": "blue", "shape": "service", "urgency": "standard",
            "shards": machines, "cores": 2.0, "cards": 8.0, "mem_gb": 8.0, "bundle": "i", "size_gb": 1.0,
            "flavors": null, "region": null, "same_place": false, "apart": false, "preemptible": false,
            "expected_s": 1000.0, "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null});
        submit(&mut self.partition, body.to_string().as_bytes(), self.now);
        commit(&mut self.partition, self.now, 5);
    }

    pub(super) fn zones(&self) -> Vec<&str> {
        self.machines.values().map(|m| m.zone.as_str()).collect()
    }

    /// Rounds alone, without the scripted cloud.
    pub(super) fn rounds_until(&mut self, until: u64) {
        while self.now < until {
            self.now += ROUND_MS.min(until - self.now);
            self.round();
        }
    }

    pub(super) fn list(&mut self, machines: &[ListedInstance]) -> Vec<CloudRequest> {
        self.provisioner.process_list(machines, &self.partition, self.now)
    }

    /// A machine was rented for this partition, and the scripted cloud knows nothing of it.
    pub(super) fn rent(&mut self, id: &str, zone: &str) {
        let request = scale_out(zone, 1);
        let name = format!("of-{id}");
        self.provisioner.pending_scale_outs.insert(name.clone(), PendingScaleOut::new(0, request));
        self.provisioner.scale_out_answered(&name, RentResult::Rented(vec![id.into()]), self.now);
    }

    pub(super) fn comes_up(&mut self, id: &str) {
        let fencing_token = self.partition.fencing_token();
        self.partition.heartbeat(&heartbeat(id, 1, 1, fencing_token.0, vec![]), StatusSource::Heartbeat, self.now);
        self.provisioner.pending_machines(0, &self.partition, self.now, PATIENCE_MS);
    }

    pub(super) fn pending_machines(&mut self) -> usize {
        self.provisioner.pending_machines(0, &self.partition, self.now, PATIENCE_MS).len()
    }
}

pub(super) fn entry(id: &str, zone: &str, phase: &str, age_ms: u64) -> ListedInstance {
    let held_s = age_ms as f64 / 1000.0;
    serde_json::from_value(json!({"id": id, "flavor": "g8", "region": zone, "phase": phase, "held_s": held_s})).unwrap()
}

pub(super) fn released(ops: &[CloudRequest]) -> Vec<String> {
    let ids = ops.iter().filter_map(|op| match op {
        CloudRequest::Terminate(ids) => Some(ids.clone()),
        _ => None,
    });
    ids.flatten().collect()
}

/// A request for ordinary machines of the only type.
pub(super) fn scale_out(zone: &str, count: usize) -> ScaleOut {
    ScaleOut { offering: InstanceOffering { instance_type: 0, zone: zone.into(), spot: false }, count }
}
