//! Tests of the provisioner's state, with a simulated cloud.

mod frame_sizes;
mod late_boots;
mod scale_out_requests;

use super::*;
use crate::clients::RentResult;
use crate::control::partition::tests::{
    complete_next_commit, heartbeat, partition, partition_with_records, submit_job,
};
use crate::control::partition::{CommitOutcome, Partition, StatusSource};
use crate::wire::tests::task_status;
use crate::wire::{ListedInstance, Order};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Nominal boot time, in milliseconds, of the machines in these tests.
pub(super) const BOOT_MS: u64 = 30_000;

/// Usual lag of the cloud's list, in seconds.
pub(super) const LAG_S: f64 = 4.0;

/// `LAG_S` in milliseconds.
pub(super) const LAG_MS: u64 = 4000;

/// Time, in milliseconds, for which capacity reports and transfers are valid.
pub(super) const REPORT_TTL_MS: u64 = 3000;

/// Interval between two rounds of the leader, in milliseconds.
pub(super) const ROUND_MS: u64 = 1000;

/// Boot time of a machine, in milliseconds, by zone; `None` if it never comes up.
pub(super) type BootDuration = fn(zone: &str) -> Option<u64>;

pub(super) fn nominal_boot_ms(_zone: &str) -> Option<u64> {
    Some(BOOT_MS)
}

pub(super) fn never_up(_zone: &str) -> Option<u64> {
    None
}

/// A machine of the simulated cloud.
pub(super) struct Machine {
    pub(super) zone: String,
    pub(super) since_ms: u64,
    pub(super) up_ms: Option<u64>,
    pub(super) sequence: u64,
    /// Running tasks by name, with their attempts.
    pub(super) tasks: BTreeMap<String, u64>,
}

/// A leader with its partition and a simulated cloud, on a simulated clock.
pub(super) struct Simulation {
    pub(super) partition: Partition,
    pub(super) provisioner: Provisioner,
    pub(super) now: u64,
    pub(super) boot_ms: BootDuration,
    pub(super) machines: BTreeMap<String, Machine>,
    /// Ids of all machines that the provisioner has requested, in order.
    pub(super) requested_ids: Vec<String>,
    /// Time of the next list; `u64::MAX` while no list can be read.
    pub(super) next_list_ms: u64,
    /// True while requests for machines get no answer and start no machines.
    pub(super) requests_unanswered: bool,
    /// Send time and name of each request without an answer.
    pub(super) unanswered: Vec<(u64, String)>,
    /// State of the cloud at each time, from which delayed lists are made.
    pub(super) snapshots: Vec<(u64, Vec<ListedInstance>)>,
}

impl Simulation {
    /// Creates the simulation of a leader that has been running for a while without jobs.
    pub(super) fn new() -> Simulation {
        let mut simulation = Simulation::of(partition());
        simulation.run(REPORT_TTL_MS + ROUND_MS);
        simulation
    }

    pub(super) fn of(mut partition: Partition) -> Simulation {
        partition.policy_mut().headroom = 0.0;
        Simulation {
            partition,
            provisioner: Provisioner::new(LAG_S),
            now: 1000,
            boot_ms: nominal_boot_ms,
            machines: BTreeMap::new(),
            requested_ids: Vec::new(),
            next_list_ms: 0,
            requests_unanswered: false,
            unanswered: Vec::new(),
            snapshots: Vec::new(),
        }
    }

    /// Runs rounds for `for_ms`; the cloud carries out the requests.
    pub(super) fn run(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        while self.now < until {
            self.now += ROUND_MS;
            self.heartbeat();
            if self.partition.next_commit(self.now, 32).is_some() {
                self.partition.apply_commit_outcome(CommitOutcome::Done { revision: self.now }).unwrap();
            }
            let requests = self.round();
            self.execute(requests);
            self.report_unanswered();
            self.snapshots.push((self.now, self.listed_machines()));
            if self.now >= self.next_list_ms {
                self.next_list_ms = self.now + LAG_MS / 2;
                let list = self.delayed_list();
                let requests = self.list(&list);
                self.execute(requests);
            }
        }
    }

    pub(super) fn listed_machines(&self) -> Vec<ListedInstance> {
        let to_entry = |(id, machine): (&String, &Machine)| {
            let phase = if machine.up_ms.is_some_and(|up_ms| self.now >= up_ms) { "running" } else { "starting" };
            listed_instance(id, &machine.zone, phase, self.now - machine.since_ms)
        };
        self.machines.iter().map(to_entry).collect()
    }

    pub(super) fn delayed_list(&self) -> Vec<ListedInstance> {
        let snapshot = self.snapshots.iter().rfind(|(at, _)| at + LAG_MS <= self.now);
        snapshot.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Machines that are up send heartbeats and carry out the orders in the answers.
    pub(super) fn heartbeat(&mut self) {
        let (now, fencing_token) = (self.now, self.partition.fencing_token());
        for (id, machine) in &mut self.machines {
            if machine.up_ms.is_none_or(|up_ms| now < up_ms) {
                continue;
            }
            machine.sequence += 1;
            let tasks = machine.tasks.iter().map(|(task, attempt)| task_status(task, *attempt, "running", None));
            let mut report = heartbeat(id, 1, machine.sequence, fencing_token.0, tasks.collect());
            report.zone.clone_from(&machine.zone);
            for order in self.partition.heartbeat(&report, StatusSource::Heartbeat, now) {
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

    /// Runs one round of the leader; returns its requests to the cloud.
    pub(super) fn round(&mut self) -> Vec<CloudRequest> {
        self.partition.schedule(self.now, self.now);
        let pending_machines = self.provisioner.pending_machines(0, &self.partition, self.now, REPORT_TTL_MS);
        let (capacity_report, mut requests) =
            self.provisioner.plan_partition(&mut self.partition, &pending_machines, self.now, self.now);
        requests.extend(self.provisioner.distribute_machines(
            capacity_report,
            &self.partition,
            self.now,
            REPORT_TTL_MS,
        ));
        requests
    }

    pub(super) fn execute(&mut self, requests: Vec<CloudRequest>) {
        for request in requests {
            match request {
                CloudRequest::ScaleOut { name, pause_ms, .. } if self.requests_unanswered => {
                    self.unanswered.push((self.now + pause_ms, name));
                }
                CloudRequest::ScaleOut { name, scale_out, .. } => {
                    let ids: Vec<String> =
                        (0..scale_out.count).map(|_| self.add_machine(&scale_out.offering.zone)).collect();
                    self.requested_ids.extend(ids.clone());
                    self.provisioner.apply_scale_out_result(&name, RentResult::Rented(ids), self.now);
                }
                CloudRequest::Terminate(ids) => {
                    ids.iter().for_each(|id| drop(self.machines.remove(id)));
                    self.provisioner.confirm_termination(&ids);
                    ids.iter().for_each(|id| self.partition.host_terminated(id));
                }
                CloudRequest::TransferHost { .. } => panic!("there is only one partition"),
            }
        }
    }

    /// Reports an indeterminate outcome for the unanswered requests that were sent in this round.
    pub(super) fn report_unanswered(&mut self) {
        let now = self.now;
        let sent: Vec<String> = self
            .unanswered
            .iter()
            .filter(|(at, _)| (now - ROUND_MS..now).contains(at))
            .map(|request| request.1.clone())
            .collect();
        for name in sent {
            let repeated = self.provisioner.apply_scale_out_result(&name, RentResult::Indeterminate, now);
            self.execute(repeated.into_iter().collect());
        }
    }

    pub(super) fn add_machine(&mut self, zone: &str) -> String {
        let id = format!("host-{:04}", self.requested_ids.len() + self.machines.len());
        let up_ms = (self.boot_ms)(zone).map(|ms| self.now + ms);
        let machine = Machine { zone: zone.into(), since_ms: self.now, up_ms, sequence: 0, tasks: BTreeMap::new() };
        self.machines.insert(id.clone(), machine);
        id
    }

    /// Submits a job with `machines` tasks, each of which fills a machine.
    pub(super) fn submit(&mut self, id: &str, machines: u32) {
        let body = json!({"id": id, "jobclass": "chat", "owner": "blue", "shape": "service", "urgency": "standard",
            "shards": machines, "cores": 2.0, "cards": 8.0, "mem_gb": 8.0, "bundle": "i", "size_gb": 1.0,
            "flavors": null, "region": null, "same_place": false, "apart": false, "preemptible": false,
            "expected_s": 1000.0, "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null});
        submit_job(&mut self.partition, body.to_string().as_bytes(), self.now);
        complete_next_commit(&mut self.partition, self.now, 5);
    }

    pub(super) fn zones(&self) -> Vec<&str> {
        self.machines.values().map(|machine| machine.zone.as_str()).collect()
    }

    /// Runs rounds until `until` without the simulated cloud.
    pub(super) fn rounds_until(&mut self, until: u64) {
        while self.now < until {
            self.now += ROUND_MS.min(until - self.now);
            self.round();
        }
    }

    pub(super) fn list(&mut self, machines: &[ListedInstance]) -> Vec<CloudRequest> {
        self.provisioner.process_list(machines, &self.partition, self.now)
    }

    /// Records that a machine was started for this partition, without adding it to the simulated cloud.
    pub(super) fn add_booting_host(&mut self, id: &str, zone: &str) {
        let request = scale_out(zone, 1);
        let name = format!("of-{id}");
        self.provisioner.pending_scale_outs.insert(name.clone(), PendingScaleOut::new(0, request));
        self.provisioner.apply_scale_out_result(&name, RentResult::Rented(vec![id.into()]), self.now);
    }

    pub(super) fn report_up(&mut self, id: &str) {
        let fencing_token = self.partition.fencing_token();
        self.partition.heartbeat(&heartbeat(id, 1, 1, fencing_token.0, vec![]), StatusSource::Heartbeat, self.now);
        self.provisioner.pending_machines(0, &self.partition, self.now, REPORT_TTL_MS);
    }

    pub(super) fn pending_machines(&mut self) -> usize {
        self.provisioner.pending_machines(0, &self.partition, self.now, REPORT_TTL_MS).len()
    }
}

pub(super) fn listed_instance(id: &str, zone: &str, phase: &str, age_ms: u64) -> ListedInstance {
    let held_s = age_ms as f64 / 1000.0;
    serde_json::from_value(json!({"id": id, "flavor": "g8", "region": zone, "phase": phase, "held_s": held_s})).unwrap()
}

pub(super) fn terminated_ids(requests: &[CloudRequest]) -> Vec<String> {
    let ids = requests.iter().filter_map(|request| match request {
        CloudRequest::Terminate(ids) => Some(ids.clone()),
        _ => None,
    });
    ids.flatten().collect()
}

/// Returns a request for on-demand machines of the only type.
pub(super) fn scale_out(zone: &str, count: usize) -> ScaleOut {
    ScaleOut { offering: InstanceOffering { instance_type: 0, zone: zone.into(), spot: false }, count }
}
