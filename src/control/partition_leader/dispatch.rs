//! Direct commands to workers.

use super::context::PartitionLeader;
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::model::HostIndex;
use crate::runtime::task;
use crate::wire;

impl PartitionLeader {
    /// Asks machines that have not been heard how they are.
    pub(super) fn probe(&self, leadership: &mut Leadership, hosts: impl IntoIterator<Item = HostIndex>, now: u64) {
        // Not more than there are places for: one that waits here for its turn
        // would look deaf.
        let (free, kept) = self.worker.places();
        let places = free.saturating_sub(kept);
        let most = leadership.probes.as_mut().map_or(places, |probes| places.min(probes.available_tokens(now)));
        let mut sent = 0;
        for host_index in hosts {
            if sent == most {
                break;
            }
            sent += usize::from(self.send_direct(leadership, host_index, now, true));
        }
        if let Some(probes) = &mut leadership.probes {
            probes.spend(sent);
        }
    }

    /// Sends their orders to the machines that have new ones.
    pub(super) fn send_orders(&self, leadership: &mut Leadership, now: u64) {
        let (mut free, _) = self.worker.places();
        for host_index in leadership.partition.take_dispatch_queue() {
            if free == 0 || leadership.partition.is_command_delayed(host_index, now) {
                leadership.partition.queue_dispatch(host_index);
            } else {
                free -= usize::from(self.send_direct(leadership, host_index, now, false));
            }
        }
    }

    /// Sends a machine what it is due; false if that is nothing now.
    fn send_direct(&self, leadership: &mut Leadership, host_index: HostIndex, now: u64, probe: bool) -> bool {
        let Some(command) = leadership.partition.next_direct_command(host_index, now, probe) else { return false };
        let body = wire::direct(command.fencing_token, command.agent_epoch, &command.orders);
        let (worker, sender) = (self.worker.clone(), self.sender(leadership.n));
        task::spawn(async move {
            let result = worker.direct(command.addr, &body).await;
            sender.send(BackgroundEvent::DirectDone { command, result }).await;
        });
        true
    }
}
