//! Sending of direct commands to workers.

use super::leader::PartitionLeader;
use super::leadership::Leadership;
use super::messages::BackgroundEvent;
use crate::model::HostIndex;
use crate::runtime::task;
use crate::wire;

impl PartitionLeader {
    /// Probes machines whose heartbeats are missing.
    pub(super) fn probe(&self, leadership: &mut Leadership, hosts: impl IntoIterator<Item = HostIndex>, now: u64) {
        // No more probes are started than may be under way: a machine whose probe is queued here would
        // look unreachable.
        let capacity = self.worker.command_capacity();
        let capacity = capacity.free.saturating_sub(capacity.reserved_for_orders);
        let max_probes =
            leadership.probe_budget.as_mut().map_or(capacity, |budget| capacity.min(budget.available_tokens(now)));
        let mut sent = 0;
        for host_index in hosts {
            if sent == max_probes {
                break;
            }
            sent += usize::from(self.send_direct(leadership, host_index, now, true));
        }
        if let Some(budget) = &mut leadership.probe_budget {
            budget.spend(sent);
        }
    }

    /// Sends new orders to their machines, as far as the number of open requests allows.
    pub(super) fn send_orders(&self, leadership: &mut Leadership, now: u64) {
        let mut free = self.worker.command_capacity().free;
        for host_index in leadership.partition.take_dispatch_queue() {
            if free == 0 || leadership.partition.is_command_delayed(host_index, now) {
                leadership.partition.queue_dispatch(host_index);
            } else {
                free -= usize::from(self.send_direct(leadership, host_index, now, false));
            }
        }
    }

    /// Sends a machine its orders, or a probe. Returns false if there is nothing to send now.
    ///
    /// `run_due_work` has checked the lease. If the command is sent after the lease has expired, the
    /// worker refuses it once it has seen the token of the next leader.
    fn send_direct(&self, leadership: &mut Leadership, host_index: HostIndex, now: u64, probe: bool) -> bool {
        let Some(command) = leadership.partition.take_direct_command(host_index, now, probe) else { return false };
        let body = wire::direct_command_body(command.fencing_token, command.agent_epoch, &command.orders);
        let (worker, sender) = (self.worker.clone(), self.sender(leadership.epoch));
        task::spawn(async move {
            let result = worker.send_direct_command(command.addr, &body).await;
            sender.send(BackgroundEvent::DirectCommandEnded { command, result }).await;
        });
        true
    }
}
