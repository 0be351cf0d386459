//! Distribution of machines over the partitions, by their capacity reports.

use super::scale_out::{Backoff, PendingScaleOut};
use super::{CloudRequest, Provisioner, frame_sizes};
use crate::control::partition::Partition;
use crate::model::{ClusterState, InstanceOffering};
use crate::scheduling::ScaleOut;
use crate::transport::peer::{CapacityReport, Machines};

/// Most machines of one request, by the protocol.
const MAX_REQUESTED: usize = 50;

/// The capacity report of a partition.
#[derive(Debug)]
pub(super) struct ReceivedReport {
    received_ms: u64,
    report: CapacityReport,
}

/// A machine that was asked to go to another partition, or is up for one and not known there yet.
#[derive(Debug)]
pub(super) struct PendingTransfer {
    /// The partition that is to get it.
    pub(super) to: u32,
    pub(super) offering: InstanceOffering,
    /// Until when it counts as coming there.
    pub(super) until_ms: u64,
}

/// A machine that its partition could do without.
struct SpareHost {
    partition: u32,
    id: String,
}

impl Provisioner {
    /// Takes in the capacity report of another partition; returns the machines that are coming to it, and
    /// the offerings that are refused. Reports and transfers count for `report_ttl_ms`.
    pub fn answer_capacity_report(
        &mut self,
        mut report: CapacityReport,
        partition: &Partition,
        now: u64,
        report_ttl_ms: u64,
    ) -> (Vec<Machines>, Vec<Machines>) {
        let to = report.partition;
        let pending_machines = self.pending_machines(to, partition, now, report_ttl_ms);
        // It was sent before the partition knew of what was requested for it meanwhile.
        if pending_machines.len() > report.assumed {
            report.wanted.clear();
        }
        self.capacity_reports.insert(to, ReceivedReport { received_ms: now, report });
        let named = |offering: InstanceOffering| {
            let instance_type = partition.cluster().instance_types.get(offering.instance_type)?.name.clone();
            Some(Machines { instance_type, zone: offering.zone, spot: offering.spot, count: 1 })
        };
        let refused = self.refused.iter().filter(|(_, backoff)| now < backoff.until_ms);
        let refused = refused.filter_map(|(offering, _)| named(offering.clone())).collect();
        let pending = pending_machines.into_iter().filter_map(named).collect();
        (frame_sizes::machines_for_frame(pending), refused)
    }

    /// Takes in which offerings the provisioner of partition 0 knows to be refused.
    pub fn set_refused(&mut self, refused: &[Machines], partition: &Partition, until_ms: u64) {
        self.refused.clear();
        for machines in refused {
            if let Some(offering) = offering(partition.cluster(), machines) {
                self.refused.insert(offering, Backoff { until_ms, pause_ms: 0 });
            }
        }
    }

    /// Serves the needs of all partitions, the one with the lowest pending bin first: spare machines of
    /// other partitions are transferred to it, the rest is requested.
    ///
    /// Invariant: nothing is requested before a list was read that shows what the last leader requested,
    /// for its machines may be booting.
    pub fn distribute(
        &mut self,
        own: CapacityReport,
        partition: &Partition,
        now: u64,
        report_ttl_ms: u64,
    ) -> Vec<CloudRequest> {
        if !self.predecessor_known || partition.cluster().instance_types.is_empty() {
            return Vec::new();
        }
        self.capacity_reports.retain(|_, received| now < received.received_ms + report_ttl_ms);
        self.capacity_reports.insert(partition.id(), ReceivedReport { received_ms: now, report: own });
        let mut spare = self.spare_hosts();
        let mut requests = Vec::new();
        for to in self.partitions_by_bin() {
            for wanted in self.take_wanted(to) {
                let Some(offering) = offering(partition.cluster(), &wanted) else { continue };
                let transfers = self.transfer_spare(to, &offering, wanted.count, &mut spare, now + report_ttl_ms);
                let left = wanted.count - transfers.len();
                requests.extend(transfers);
                if left > 0 && !self.is_refused(&offering, now) {
                    let scale_out = ScaleOut { offering, count: left.min(MAX_REQUESTED) };
                    requests.push(self.request(to, scale_out, partition));
                }
            }
        }
        requests
    }

    /// Machines that partitions could do without and that are not being transferred.
    fn spare_hosts(&self) -> Vec<SpareHost> {
        let mut spare = Vec::new();
        for (partition, received) in &self.capacity_reports {
            let ids = received.report.spare.iter().filter(|id| !self.transfers.contains_key(*id));
            spare.extend(ids.map(|id| SpareHost { partition: *partition, id: id.clone() }));
        }
        spare
    }

    /// The partitions, the one with the lowest pending bin first.
    fn partitions_by_bin(&self) -> Vec<u32> {
        let mut order: Vec<u32> = self.capacity_reports.keys().copied().collect();
        order.sort_by_key(|id| (self.capacity_reports[id].report.lowest_bin.unwrap_or(u64::MAX), *id));
        order
    }

    /// Takes what a partition needs from its report: what is requested now must not be requested again
    /// before the partition has seen it.
    fn take_wanted(&mut self, partition: u32) -> Vec<Machines> {
        let received = self.capacity_reports.get_mut(&partition);
        received.map(|received| std::mem::take(&mut received.report.wanted)).unwrap_or_default()
    }

    /// Transfers up to `most` spare machines of other partitions.
    fn transfer_spare(
        &mut self,
        to: u32,
        offering: &InstanceOffering,
        most: usize,
        spare: &mut Vec<SpareHost>,
        until_ms: u64,
    ) -> Vec<CloudRequest> {
        let mut transfers = Vec::new();
        while transfers.len() < most {
            let suits = |host: &SpareHost| host.partition != to && self.offerings.get(&host.id) == Some(offering);
            let Some(position) = spare.iter().position(suits) else { break };
            let SpareHost { partition: from, id: host } = spare.swap_remove(position);
            self.transfers.insert(host.clone(), PendingTransfer { to, offering: offering.clone(), until_ms });
            transfers.push(CloudRequest::TransferHost { from, host, to });
        }
        transfers
    }

    /// Requests machines for a partition, under a name that is not used again.
    fn request(&mut self, to: u32, scale_out: ScaleOut, partition: &Partition) -> CloudRequest {
        self.sequence += 1;
        let name = format!("r-{}-{}", partition.fencing_token(), self.sequence);
        let offering = &scale_out.offering;
        tracing::info!(
            name,
            instance_type = partition.cluster().instance_types[offering.instance_type].name,
            zone = offering.zone,
            spot = offering.spot,
            count = scale_out.count,
            "renting"
        );
        self.scale_outs.insert(name.clone(), PendingScaleOut::new(to, scale_out.clone()));
        CloudRequest::ScaleOut { name, scale_out, pause_ms: 0 }
    }
}

/// The offering of these machines; `None` if their type is not known.
fn offering(cluster: &ClusterState, machines: &Machines) -> Option<InstanceOffering> {
    let instance_type = cluster.instance_type(&machines.instance_type)?;
    Some(InstanceOffering { instance_type, zone: machines.zone.clone(), spot: machines.spot })
}
