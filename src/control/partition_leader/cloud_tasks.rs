//! Operations of the cloud, and the watch of its machine types and its list.

use super::context::PartitionLeader;
use super::leadership::Leadership;
use super::messages::{BackgroundEvent, BackgroundSender};
use super::stored_records::flavor_changes;
use crate::clients::{Cloud, RentResult, State};
use crate::model::InstanceType;
use crate::provisioning::provisioner::CloudRequest;
use crate::runtime::task;
use crate::scheduling::Rental;
use crate::transport::peer::PeerRequest;
use std::time::Duration;
use tokio::time::sleep;

/// The machine types are read in one of so many rounds of the watch.
const ROUNDS_PER_FLAVORS: u32 = 8;

impl PartitionLeader {
    /// Starts an operation.
    pub(super) fn cloud_request(&self, leadership: &mut Leadership, op: CloudRequest) {
        match op {
            CloudRequest::Rent { name, rental, pause_ms } => self.rent(leadership, name, rental, pause_ms),
            CloudRequest::TransferHost { from, host, to } => {
                let router = self.router.clone();
                task::spawn(async move {
                    router.request(from, PeerRequest::TransferHost { partition: from, host, to }).await
                });
            }
            CloudRequest::Release(hosts) => self.release(leadership, hosts),
        }
    }

    fn rent(&self, leadership: &Leadership, name: String, rental: Rental, pause_ms: u64) {
        let (cloud, sender) = (self.cloud.clone(), self.sender(leadership.n));
        let instance_type = leadership.partition.cluster().instance_types[rental.instance_type].name.clone();
        task::spawn(async move {
            sleep(Duration::from_millis(pause_ms)).await;
            let result = cloud.rent(&name, &instance_type, &rental.zone, rental.spot, rental.count).await;
            sender.send(BackgroundEvent::Rented { name, result }).await;
        });
    }

    fn release(&self, leadership: &mut Leadership, hosts: Vec<String>) {
        let (cloud, sender, pause) = (self.cloud.clone(), self.sender(leadership.n), self.cloud_pause());
        for id in &hosts {
            leadership.partition.mark_terminating(id);
        }
        task::spawn(async move {
            let confirmed = cloud.release(&hosts).await;
            if !confirmed {
                sleep(pause).await;
            }
            sender.send(BackgroundEvent::Released { hosts, confirmed }).await;
        });
    }

    /// Pause before an operation that failed is started again.
    fn cloud_pause(&self) -> Duration {
        Duration::from_millis(self.settings.react_ms())
    }

    /// Takes in how a rental request ended.
    pub(super) fn rented(&self, leadership: &mut Leadership, name: &str, result: RentResult, now: u64) {
        if let Some(op) = leadership.provisioner.rented(name, result, now) {
            self.cloud_request(leadership, op);
        }
    }

    /// Takes in how a request to release machines ended.
    pub(super) fn released(&self, leadership: &mut Leadership, hosts: Vec<String>, confirmed: bool) {
        if !confirmed {
            self.cloud_request(leadership, CloudRequest::Release(hosts));
            return;
        }
        leadership.provisioner.released(&hosts);
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

    /// Reads the machine types and the list for as long as the session lasts.
    pub(super) fn watch_cloud(&self, leadership_epoch: u64, known: Vec<InstanceType>) {
        let (cloud, state, sender) = (self.cloud.clone(), self.state.clone(), self.sender(leadership_epoch));
        let pause = Duration::from_secs_f64((self.settings.params.cloud.list_lag_s / 2.0).max(1.0));
        let value_bytes = self.settings.write_limits().value_bytes;
        let leads = self.id == 0;
        task::spawn(async move {
            let mut known = known;
            let mut round = 0u32;
            loop {
                if (round.is_multiple_of(ROUNDS_PER_FLAVORS) || known.is_empty())
                    && !read_flavors(&cloud, &state, &sender, &mut known, value_bytes).await
                {
                    return;
                }
                if leads
                    && let Some(list) = cloud.list().await
                    && !sender.send(BackgroundEvent::ListedInstance(list)).await
                {
                    return;
                }
                round += 1;
                sleep(if known.is_empty() { pause / 4 } else { pause }).await;
                // A later session starts its own.
                if !sender.is_current() {
                    return;
                }
            }
        });
    }
}

/// Reads the machine types and keeps them for a restart; false if the actor has ended.
async fn read_flavors(
    cloud: &Cloud,
    state: &State,
    sender: &BackgroundSender,
    known: &mut Vec<InstanceType>,
    value_bytes: usize,
) -> bool {
    let Some(instance_types) = cloud.instance_types().await else { return true };
    if known.len() != instance_types.len() {
        for change in flavor_changes(&instance_types, value_bytes) {
            state.commit(&[], &[change]).await;
        }
    }
    known.clone_from(&instance_types);
    sender.send(BackgroundEvent::InstanceTypes(instance_types)).await
}
