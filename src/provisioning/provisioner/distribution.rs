//! Distribution of machines over the partitions, based on their capacity reports.

use super::scale_out::{Backoff, PendingScaleOut};
use super::{CloudRequest, Provisioner, frame_sizes};
use crate::control::partition::Partition;
use crate::model::{ClusterState, InstanceOffering};
use crate::scheduling::{MAX_NEW_MACHINES, ScaleOut};
use crate::transport::peer::{CapacityReport, MachineGroup};

/// Capacity report of a partition, with the time of its receipt.
#[derive(Debug)]
pub(super) struct ReceivedReport {
    received_ms: u64,
    report: CapacityReport,
}

/// A machine that is being transferred to another partition, or came up for one that may not know it yet.
#[derive(Debug)]
pub(super) struct PendingTransfer {
    /// Partition that receives the machine.
    pub(super) to: u32,
    pub(super) offering: InstanceOffering,
    /// Time until which the machine counts as pending capacity of that partition.
    pub(super) until_ms: u64,
}

/// A machine that its partition does not need.
struct SpareHost {
    partition: u32,
    id: String,
}

impl Provisioner {
    /// Processes the capacity report of another partition. Returns its pending machines and the offerings
    /// that the cloud refuses. Reports and transfers are valid for `report_ttl_ms`.
    pub fn handle_capacity_report(
        &mut self,
        mut report: CapacityReport,
        partition: &Partition,
        now: u64,
        report_ttl_ms: u64,
    ) -> (Vec<MachineGroup>, Vec<MachineGroup>) {
        let to = report.partition;
        let pending_machines = self.pending_machines(to, partition, now, report_ttl_ms);
        // The report predates requests that were made for the partition in the meantime.
        if pending_machines.len() > report.assumed {
            report.wanted.clear();
        }
        self.capacity_reports.insert(to, ReceivedReport { received_ms: now, report });
        let to_machines = |offering: InstanceOffering| {
            let instance_type = partition.cluster().instance_types.get(offering.instance_type)?.name.clone();
            Some(MachineGroup { instance_type, zone: offering.zone, spot: offering.spot, count: 1 })
        };
        let refused = self.refused_offerings.iter().filter(|(_, backoff)| now < backoff.until_ms);
        let refused = refused.filter_map(|(offering, _)| to_machines(offering.clone())).collect();
        let pending = pending_machines.into_iter().filter_map(to_machines).collect();
        (frame_sizes::merge_machines_to_frame(pending), refused)
    }

    /// Replaces the refused offerings by those that the provisioner of partition 0 has sent. They count as
    /// refused until `until_ms`.
    pub fn set_refused_offerings(&mut self, refused: &[MachineGroup], partition: &Partition, until_ms: u64) {
        self.refused_offerings.clear();
        for machines in refused {
            if let Some(offering) = resolve_offering(partition.cluster(), machines) {
                self.refused_offerings.insert(offering, Backoff { until_ms, pause_ms: 0 });
            }
        }
    }

    /// Returns the transfers and requests that serve the needs of all partitions, in ascending order of the
    /// lowest deadline bin of their pending jobs. Spare machines of other partitions are transferred; the rest
    /// is requested from the cloud.
    ///
    /// Invariant: nothing is requested before a list was read that shows the requests of the previous leader,
    /// whose machines may still be booting.
    pub fn distribute_machines(
        &mut self,
        own: CapacityReport,
        partition: &Partition,
        now: u64,
        report_ttl_ms: u64,
    ) -> Vec<CloudRequest> {
        if !self.predecessor_requests_listed || partition.cluster().instance_types.is_empty() {
            return Vec::new();
        }
        self.capacity_reports.retain(|_, received| now < received.received_ms + report_ttl_ms);
        self.capacity_reports.insert(partition.id(), ReceivedReport { received_ms: now, report: own });
        let mut spare = self.spare_hosts();
        let mut requests = Vec::new();
        for to in self.partitions_by_lowest_bin() {
            for wanted in self.take_wanted(to) {
                let Some(offering) = resolve_offering(partition.cluster(), &wanted) else { continue };
                let transfers = self.transfer_spare(to, &offering, wanted.count, &mut spare, now + report_ttl_ms);
                let left = wanted.count - transfers.len();
                requests.extend(transfers);
                if left > 0 && !self.is_refused(&offering, now) {
                    let scale_out = ScaleOut { offering, count: left.min(MAX_NEW_MACHINES) };
                    requests.push(self.request_scale_out(to, scale_out, partition));
                }
            }
        }
        requests
    }

    /// Returns the machines that their partitions do not need and that are not being transferred.
    fn spare_hosts(&self) -> Vec<SpareHost> {
        let mut spare = Vec::new();
        for (partition, received) in &self.capacity_reports {
            let ids = received.report.spare.iter().filter(|id| !self.transfers.contains_key(*id));
            spare.extend(ids.map(|id| SpareHost { partition: *partition, id: id.clone() }));
        }
        spare
    }

    /// Returns the partitions in ascending order of the lowest deadline bin of their pending jobs; partitions
    /// without pending jobs are last.
    fn partitions_by_lowest_bin(&self) -> Vec<u32> {
        let mut order: Vec<u32> = self.capacity_reports.keys().copied().collect();
        order.sort_by_key(|id| (self.capacity_reports[id].report.lowest_bin.unwrap_or(u64::MAX), *id));
        order
    }

    /// Removes the wanted machines from the report of a partition and returns them. They must not be
    /// requested again before the partition knows of the request.
    fn take_wanted(&mut self, partition: u32) -> Vec<MachineGroup> {
        let received = self.capacity_reports.get_mut(&partition);
        received.map(|received| std::mem::take(&mut received.report.wanted)).unwrap_or_default()
    }

    /// Returns the transfers of up to `max_count` spare machines of other partitions to partition `to`.
    fn transfer_spare(
        &mut self,
        to: u32,
        offering: &InstanceOffering,
        max_count: usize,
        spare: &mut Vec<SpareHost>,
        until_ms: u64,
    ) -> Vec<CloudRequest> {
        let mut transfers = Vec::new();
        while transfers.len() < max_count {
            let is_suitable =
                |host: &SpareHost| host.partition != to && self.offering_by_host.get(&host.id) == Some(offering);
            let Some(position) = spare.iter().position(is_suitable) else { break };
            let SpareHost { partition: from, id: host } = spare.swap_remove(position);
            self.transfers.insert(host.clone(), PendingTransfer { to, offering: offering.clone(), until_ms });
            transfers.push(CloudRequest::TransferHost { from, host, to });
        }
        transfers
    }

    /// Records a request for machines for partition `to` and returns it. Its name is not reused.
    fn request_scale_out(&mut self, to: u32, scale_out: ScaleOut, partition: &Partition) -> CloudRequest {
        self.last_request_number += 1;
        let name = format!("r-{}-{}", partition.fencing_token(), self.last_request_number);
        let offering = &scale_out.offering;
        tracing::info!(
            name,
            instance_type = partition.cluster().instance_types[offering.instance_type].name,
            zone = offering.zone,
            spot = offering.spot,
            count = scale_out.count,
            "requesting machines"
        );
        self.pending_scale_outs.insert(name.clone(), PendingScaleOut::new(to, scale_out.clone()));
        CloudRequest::ScaleOut { name, scale_out, pause_ms: 0 }
    }
}

/// Returns the offering of these machines; `None` if their type is not known.
fn resolve_offering(cluster: &ClusterState, machines: &MachineGroup) -> Option<InstanceOffering> {
    let instance_type = cluster.instance_type(&machines.instance_type)?;
    Some(InstanceOffering { instance_type, zone: machines.zone.clone(), spot: machines.spot })
}
