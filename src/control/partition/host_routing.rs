//! Assignment of hosts to partitions, and the transfer of hosts between partitions.

use super::{HostRouting, Partition};
use crate::model::HostRecord;
use crate::wire::Heartbeat;

impl Partition {
    /// Returns whether this partition handles the host's heartbeats, and otherwise which one does.
    pub fn route_heartbeat(&mut self, heartbeat: &Heartbeat) -> HostRouting {
        if self.cluster.host_index.contains_key(&heartbeat.host) || self.host_directory.is_terminated(&heartbeat.host) {
            // A worker discards messages with a lower token than it has seen, so this leader needs a
            // higher fencing token first.
            if let Some(host) =
                self.cluster.host_index.get(&heartbeat.host).copied().and_then(|index| self.cluster.host_mut(index))
            {
                host.seen_token = host.seen_token.max(heartbeat.seen_token);
            }
            return if heartbeat.seen_token > self.epoch.last_token() {
                HostRouting::AwaitsHigherToken
            } else {
                HostRouting::Local
            };
        }
        if self.id() == 0 && self.host_directory.other_partition_of(&heartbeat.host).is_none() {
            return if heartbeat.seen_token > self.epoch.last_token() {
                HostRouting::AwaitsHigherToken
            } else {
                HostRouting::Local
            };
        }
        self.host_directory.request_reread(&heartbeat.host);
        match self.host_directory.other_partition_of(&heartbeat.host) {
            Some(partition) => HostRouting::OtherPartition(partition),
            None => HostRouting::Unknown,
        }
    }

    /// Applies the current registry record of a host that reported here; `None` if it has no record.
    pub fn apply_host_record(&mut self, id: &str, record: Option<HostRecord>, now: u64) {
        match record {
            // The host is looked up again with its next heartbeat.
            Some(record) if record.partition == self.id() && self.is_transfer_indeterminate() => {}
            Some(record) if record.partition == self.id() => {
                self.host_directory.unassign(id);
                if !self.cluster.host_index.contains_key(id) {
                    // The partition that transferred the host made sure that nothing is left on it.
                    let fencing_token = self.epoch.fencing_token();
                    let host_index = self.add_registered(id.to_string(), record, now);
                    if let Some(host) = self.cluster.host_mut(host_index) {
                        host.reconciled = true;
                        host.required_token = fencing_token;
                        tracing::info!(host = host.id, "host joined this partition");
                    }
                }
            }
            Some(record) => {
                self.host_directory.assign(id.to_string(), record.partition);
            }
            None => {
                self.host_directory.unassign(id);
            }
        }
    }

    /// Transfers an unused host to another partition. Returns `false` if the host is not in a state that
    /// allows it.
    pub fn transfer_host(&mut self, id: &str, to: u32) -> bool {
        let transfer_indeterminate = self.is_transfer_indeterminate();
        let Some(&host_index) = self.cluster.host_index.get(id) else { return false };
        let Some(host) = self.cluster.host_mut(host_index) else { return false };
        let unused = host.attempts.is_empty()
            && host.reservations.is_empty()
            && !host.command_in_flight
            && !host.has_unknown_tasks;
        if !unused
            || transfer_indeterminate
            || !host.registered
            || !host.reconciled
            || host.terminating
            || host.preemption_notice
            || host.transferring_to.is_some()
        {
            return false;
        }
        host.transferring_to = Some(to);
        self.commit_queue.mark_host(host_index);
        true
    }
}
