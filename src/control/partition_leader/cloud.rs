//! Requests to the cloud, and periodic reads of its machine types and of its list of machines.

use super::leader::{PROVISIONER_PARTITION, PartitionLeader};
use super::leadership::Leadership;
use super::messages::{BackgroundEvent, BackgroundSender};
use super::stored_records::instance_type_writes;
use crate::clients::{Cloud, RentResult, StateStore};
use crate::model::InstanceType;
use crate::provisioning::provisioner::CloudRequest;
use crate::runtime::task;
use crate::scheduling::ScaleOut;
use crate::transport::peer::PeerRequest;
use std::time::Duration;
use tokio::time::sleep;

/// Number of reads of the list of machines per read of the machine types.
const LISTS_PER_INSTANCE_TYPE_READ: u32 = 8;

impl PartitionLeader {
    /// Starts a request to the cloud, or to the partition that is to transfer a machine.
    pub(super) fn send_cloud_request(&self, leadership: &mut Leadership, request: CloudRequest) {
        match request {
            CloudRequest::ScaleOut { name, scale_out, pause_ms } => {
                self.request_scale_out(leadership, name, scale_out, pause_ms);
            }
            CloudRequest::TransferHost { from, host, to } => {
                let router = self.router.clone();
                task::spawn(async move {
                    router.request(from, PeerRequest::TransferHost { partition: from, host, to }).await
                });
            }
            CloudRequest::Terminate(hosts) => self.request_termination(leadership, hosts),
        }
    }

    /// Requests machines from the cloud after `pause_ms` milliseconds.
    fn request_scale_out(&self, leadership: &Leadership, name: String, scale_out: ScaleOut, pause_ms: u64) {
        let (cloud, sender) = (self.cloud.clone(), self.sender(leadership.epoch));
        let ScaleOut { offering, count } = scale_out;
        let instance_type = leadership.partition.cluster().instance_types[offering.instance_type].name.clone();
        task::spawn(async move {
            sleep(Duration::from_millis(pause_ms)).await;
            let result = cloud.rent(&name, &instance_type, &offering.zone, offering.spot, count).await;
            sender.send(BackgroundEvent::ScaleOutEnded { name, result }).await;
        });
    }

    /// Requests the termination of machines by the cloud.
    fn request_termination(&self, leadership: &mut Leadership, hosts: Vec<String>) {
        let (cloud, sender, retry_delay) =
            (self.cloud.clone(), self.sender(leadership.epoch), self.cloud_retry_delay());
        for id in &hosts {
            leadership.partition.mark_terminating(id);
        }
        task::spawn(async move {
            let confirmed = cloud.terminate(&hosts).await;
            if !confirmed {
                sleep(retry_delay).await;
            }
            sender.send(BackgroundEvent::TerminationEnded { hosts, confirmed }).await;
        });
    }

    /// Returns the delay before a failed request is repeated.
    fn cloud_retry_delay(&self) -> Duration {
        Duration::from_millis(self.settings.react_ms())
    }

    /// Handles the outcome of a scale-out request.
    pub(super) fn scale_out_ended(&self, leadership: &mut Leadership, name: &str, result: RentResult, now: u64) {
        if let Some(request) = leadership.provisioner.apply_scale_out_result(name, result, now) {
            self.send_cloud_request(leadership, request);
        }
    }

    /// Handles the outcome of a request to terminate machines. The request is repeated until the cloud
    /// confirms it: only then may their tasks run on other machines.
    pub(super) fn termination_ended(&self, leadership: &mut Leadership, hosts: Vec<String>, confirmed: bool) {
        if !confirmed {
            self.send_cloud_request(leadership, CloudRequest::Terminate(hosts));
            return;
        }
        leadership.provisioner.confirm_termination(&hosts);
        for id in &hosts {
            if let Some(addr) = leadership
                .partition
                .cluster()
                .host_index
                .get(id)
                .and_then(|index| leadership.partition.cluster().host(*index)?.addr)
            {
                self.worker.close_idle_connections(addr);
            }
            leadership.partition.host_terminated(id);
        }
    }

    /// Starts periodic reads of the machine types and, on the provisioner, of the list of machines, until
    /// leadership ends.
    pub(super) fn watch_cloud(&self, leadership_epoch: u64, known: Vec<InstanceType>) {
        let (cloud, state, sender) = (self.cloud.clone(), self.state.clone(), self.sender(leadership_epoch));
        let list_interval = Duration::from_secs_f64((self.settings.params.cloud.list_lag_s / 2.0).max(1.0));
        let value_bytes = self.settings.write_limits().value_bytes;
        let is_provisioner = self.id == PROVISIONER_PARTITION;
        task::spawn(async move {
            let mut known = known;
            let mut reads = 0u32;
            loop {
                if (reads.is_multiple_of(LISTS_PER_INSTANCE_TYPE_READ) || known.is_empty())
                    && !read_instance_types(&cloud, &state, &sender, &mut known, value_bytes).await
                {
                    return;
                }
                if is_provisioner
                    && let Some(list) = cloud.list().await
                    && !sender.send(BackgroundEvent::InstancesListed(list)).await
                {
                    return;
                }
                reads += 1;
                sleep(if known.is_empty() { list_interval / 4 } else { list_interval }).await;
                // A later leadership starts reads of its own.
                if !sender.is_current() {
                    return;
                }
            }
        });
    }
}

/// Reads the machine types and stores them for a restart. Returns false if the actor has ended.
async fn read_instance_types(
    cloud: &Cloud,
    state: &StateStore,
    sender: &BackgroundSender,
    known: &mut Vec<InstanceType>,
    value_bytes: usize,
) -> bool {
    let Some(instance_types) = cloud.instance_types().await else { return true };
    if known.len() != instance_types.len() {
        for change in instance_type_writes(&instance_types, value_bytes) {
            state.commit(&[], &[change]).await;
        }
    }
    known.clone_from(&instance_types);
    sender.send(BackgroundEvent::InstanceTypesRead(instance_types)).await
}
