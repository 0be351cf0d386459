//! Requests to the cloud, and the watch of its machine types and of its list of machines.

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

/// The machine types are read once in so many reads of the list.
const LISTS_PER_INSTANCE_TYPE_READ: u32 = 8;

impl PartitionLeader {
    /// Starts a request.
    pub(super) fn send_cloud_request(&self, leadership: &mut Leadership, request: CloudRequest) {
        match request {
            CloudRequest::ScaleOut { name, scale_out, pause_ms } => self.rent(leadership, name, scale_out, pause_ms),
            CloudRequest::TransferHost { from, host, to } => {
                let router = self.router.clone();
                task::spawn(async move {
                    router.request(from, PeerRequest::TransferHost { partition: from, host, to }).await
                });
            }
            CloudRequest::Terminate(hosts) => self.release(leadership, hosts),
        }
    }

    fn rent(&self, leadership: &Leadership, name: String, scale_out: ScaleOut, pause_ms: u64) {
        let (cloud, sender) = (self.cloud.clone(), self.sender(leadership.epoch));
        let ScaleOut { offering, count } = scale_out;
        let instance_type = leadership.partition.cluster().instance_types[offering.instance_type].name.clone();
        task::spawn(async move {
            sleep(Duration::from_millis(pause_ms)).await;
            let result = cloud.rent(&name, &instance_type, &offering.zone, offering.spot, count).await;
            sender.send(BackgroundEvent::RentEnded { name, result }).await;
        });
    }

    fn release(&self, leadership: &mut Leadership, hosts: Vec<String>) {
        let (cloud, sender, pause) = (self.cloud.clone(), self.sender(leadership.epoch), self.cloud_pause());
        for id in &hosts {
            leadership.partition.mark_terminating(id);
        }
        task::spawn(async move {
            let confirmed = cloud.release(&hosts).await;
            if !confirmed {
                sleep(pause).await;
            }
            sender.send(BackgroundEvent::ReleaseEnded { hosts, confirmed }).await;
        });
    }

    /// Pause before a request that failed is repeated.
    fn cloud_pause(&self) -> Duration {
        Duration::from_millis(self.settings.react_ms())
    }

    /// Handles the outcome of a rental request.
    pub(super) fn rent_ended(&self, leadership: &mut Leadership, name: &str, result: RentResult, now: u64) {
        if let Some(request) = leadership.provisioner.scale_out_answered(name, result, now) {
            self.send_cloud_request(leadership, request);
        }
    }

    /// Handles the outcome of a request to terminate machines. It is repeated until the cloud
    /// confirms it: only then are their tasks free to run elsewhere.
    pub(super) fn release_ended(&self, leadership: &mut Leadership, hosts: Vec<String>, confirmed: bool) {
        if !confirmed {
            self.send_cloud_request(leadership, CloudRequest::Terminate(hosts));
            return;
        }
        leadership.provisioner.hosts_terminated(&hosts);
        for id in &hosts {
            if let Some(addr) = leadership
                .partition
                .cluster()
                .host_index
                .get(id)
                .and_then(|index| leadership.partition.cluster().host(*index)?.addr)
            {
                self.worker.forget(addr);
            }
            leadership.partition.host_terminated(id);
        }
    }

    /// Reads the machine types, and as the provisioner the list of machines, until leadership ends.
    pub(super) fn watch_cloud(&self, leadership_epoch: u64, known: Vec<InstanceType>) {
        let (cloud, state, sender) = (self.cloud.clone(), self.state.clone(), self.sender(leadership_epoch));
        let pause = Duration::from_secs_f64((self.settings.params.cloud.list_lag_s / 2.0).max(1.0));
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
                sleep(if known.is_empty() { pause / 4 } else { pause }).await;
                // A later leadership starts its own watch.
                if !sender.is_current() {
                    return;
                }
            }
        });
    }
}

/// Reads the machine types and keeps them for a restart; false if the actor has ended.
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
