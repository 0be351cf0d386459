//! Capacity plan of one partition: the machines that it needs, those that it does not need, and those that
//! it drains or returns.

use super::{CloudRequest, Provisioner, frame_sizes};
use crate::control::partition::Partition;
use crate::model::{ClusterState, Host, HostIndex, InstanceOffering, Spec};
use crate::scheduling::{self, Availability, CapacityPlan, ClassArrivals, ExpectedWork, ScaleOut};
use crate::transport::peer::{CapacityReport, MachineGroup};
use std::collections::BTreeMap;

/// Length of the window over which arrivals are counted, as a multiple of the longest boot time.
const ARRIVAL_WINDOW_BOOTS: f64 = 3.0;
/// Lower bound of the boot time, in seconds, from which the window is computed.
const MIN_BOOT_S: f64 = 1.0;

/// Totals of the jobs of a class that were accepted within the window.
struct ArrivalSums<'a> {
    /// Description of the last job.
    spec: &'a Spec,
    tasks: f64,
    /// Sum over the jobs of the squared number of tasks.
    squared_tasks: f64,
}

impl Provisioner {
    /// Computes the capacity plan of this partition. Returns its capacity report, with the machines that it
    /// lacks or does not need, and the requests that return machines to the cloud. `pending_machines` has one
    /// entry for each machine that is booting for the partition or being transferred to it. `wall` is wall
    /// time in milliseconds.
    pub fn plan_partition(
        &mut self,
        partition: &mut Partition,
        pending_machines: &[InstanceOffering],
        now: u64,
        wall: u64,
    ) -> (CapacityReport, Vec<CloudRequest>) {
        for (name, label) in self.pending_counts.drain(..) {
            partition.metrics_mut().count(name, &label);
        }
        let arrivals = class_arrivals(partition, wall);
        let exhausted = self.exhausted_instance_types(partition.cluster(), now);
        partition.set_exhausted_instance_types(exhausted);
        partition.reserve_expected_demand(&arrivals);
        let mut report = CapacityReport {
            partition: partition.id(),
            lowest_bin: partition.lowest_deadline_bin(wall),
            assumed: pending_machines.len(),
            wanted: Vec::new(),
            spare: Vec::new(),
        };
        if partition.cluster().instance_types.is_empty() || !partition.is_inventory_known(now) {
            return (report, Vec::new());
        }
        let plan = self.plan_capacity(partition, &arrivals, pending_machines, now);
        report.wanted = plan.scale_out.into_iter().map(|request| to_machines(partition.cluster(), request)).collect();
        let (spare, terminable) = spare_and_terminable(partition, plan.unneeded, now);
        report.spare = frame_sizes::truncate_names_to_frame(spare);
        let requests = self.terminate(terminable);
        for drain in &plan.drains {
            partition.drain(drain, now);
        }
        (report, requests)
    }

    /// Returns the indices of the instance types whose on-demand offerings are refused in all zones.
    fn exhausted_instance_types(&self, cluster: &ClusterState, now: u64) -> Vec<usize> {
        let refused = |instance_type: usize, zone: &String| {
            self.is_refused(&InstanceOffering { instance_type, zone: zone.clone(), spot: false }, now)
        };
        let instance_types = cluster.instance_types.iter().enumerate();
        instance_types
            .filter(|(index, instance_type)| instance_type.zones.iter().all(|zone| refused(*index, zone)))
            .map(|(index, _)| index)
            .collect()
    }

    fn plan_capacity(
        &self,
        partition: &Partition,
        arrivals: &[ClassArrivals],
        pending_machines: &[InstanceOffering],
        now: u64,
    ) -> CapacityPlan {
        let cluster = partition.cluster();
        let work = ExpectedWork {
            pending_jobs: partition.pending_jobs(),
            pool_replicas: &partition.pool_replicas_without_machine(now),
            upcoming_jobs: &partition.jobs_starting_within(longest_boot_ms(cluster), now),
            arrivals,
        };
        let availability = self.availability(partition, now);
        scheduling::plan_capacity(cluster, partition.policy(), now, &work, pending_machines, &availability)
    }

    /// Returns a function that gives the availability of an offering, based on refusals and recent boots.
    fn availability<'a>(
        &'a self,
        partition: &'a Partition,
        now: u64,
    ) -> impl Fn(&InstanceOffering) -> Availability + 'a {
        let late_by_offering = self.late_by_offering();
        move |offering| {
            if self.is_refused(offering, now) {
                return Availability::Refused;
            }
            let nominal_ms = partition.cluster().instance_types[offering.instance_type].boot_ms();
            let late = late_by_offering.get(offering).copied().unwrap_or(0);
            Availability::Available { cost_factor: self.boot_times.cost_factor(offering, nominal_ms, late, now) }
        }
    }
}

/// Converts a request for machines into an entry of a capacity report.
fn to_machines(cluster: &ClusterState, ScaleOut { offering, count }: ScaleOut) -> MachineGroup {
    let instance_type = cluster.instance_types[offering.instance_type].name.clone();
    MachineGroup { instance_type, zone: offering.zone, spot: offering.spot, count }
}

/// Returns the ids of the unneeded machines that other partitions may receive, and the ids of the machines
/// to return: those that were idle for too long, and those without attempts on which nothing may be
/// placed.
fn spare_and_terminable(partition: &Partition, unneeded: Vec<HostIndex>, now: u64) -> (Vec<String>, Vec<String>) {
    let cluster = partition.cluster();
    let (mut spare, mut terminable) = (Vec::new(), Vec::new());
    for host_index in unneeded {
        let Some(host) = cluster.host(host_index) else { continue };
        let Some(boot_s) = host.instance_type.map(|index| cluster.instance_types[index].boot_s) else { continue };
        let idle_limit_ms = (partition.policy().idle_keep * boot_s * 1000.0) as u64;
        if now > host.last_busy_ms + idle_limit_ms {
            terminable.push(host.id.clone());
        } else {
            spare.push(host.id.clone());
        }
    }
    let is_unusable =
        |host: &Host| host.attempts.is_empty() && (host.preemption_notice || host.draining || host.faulty());
    let unusable_hosts = cluster.each_host().filter(|(_, host)| is_unusable(host));
    terminable.extend(unusable_hosts.map(|(_, host)| host.id.clone()));
    (spare, terminable)
}

fn longest_boot_ms(cluster: &ClusterState) -> u64 {
    cluster.instance_types.iter().map(|instance_type| instance_type.boot_ms()).max().unwrap_or(0)
}

/// Returns the arrivals of each class, computed from the jobs that were accepted within the window.
fn class_arrivals(partition: &Partition, wall: u64) -> Vec<ClassArrivals> {
    let instance_types = partition.cluster().instance_types.iter();
    let boot_s = instance_types.map(|instance_type| instance_type.boot_s).fold(MIN_BOOT_S, f64::max);
    let window_s = ARRIVAL_WINDOW_BOOTS * boot_s;
    let since_ms = wall.saturating_sub((window_s * 1000.0) as u64).max(partition.policy().start_ms);
    let span_s = (wall.saturating_sub(since_ms) as f64 / 1000.0).max(boot_s);
    let mut by_class: BTreeMap<&str, ArrivalSums> = BTreeMap::new();
    for job in partition.cluster().jobs.iter().filter(|job| job.accepted_ms >= since_ms) {
        let tasks = f64::from(job.spec.tasks);
        let empty = ArrivalSums { spec: &job.spec, tasks: 0.0, squared_tasks: 0.0 };
        let arrivals = by_class.entry(&job.spec.class).or_insert(empty);
        arrivals.spec = &job.spec;
        arrivals.tasks += tasks;
        arrivals.squared_tasks += tasks * tasks;
    }
    let to_class_arrivals = |arrivals: ArrivalSums| ClassArrivals {
        spec: arrivals.spec.clone(),
        rate: arrivals.tasks / span_s,
        mean_burst: arrivals.squared_tasks / arrivals.tasks,
    };
    by_class.into_values().map(to_class_arrivals).collect()
}
