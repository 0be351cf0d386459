//! Which partition a machine belongs to, and how one is given to another partition.

use super::{HostRouting, Partition};
use crate::model::HostRecord;
use crate::wire::Heartbeat;

impl Partition {
    /// Does this partition take the machine's reports?
    pub fn belongs(&mut self, r: &Heartbeat) -> HostRouting {
        if self.cluster.host_index.contains_key(&r.host) || self.host_directory.is_terminated(&r.host) {
            // A worker drops what carries a lower token than it has seen: a
            // higher fencing token first.
            if let Some(h) =
                self.cluster.host_index.get(&r.host).copied().and_then(|index| self.cluster.host_mut(index))
            {
                h.seen_token = h.seen_token.max(r.seen_token);
            }
            return if r.seen_token > self.epoch.fencing_token() { HostRouting::NotYet } else { HostRouting::Mine };
        }
        if self.id() == 0 && self.host_directory.other_partition_of(&r.host).is_none() {
            return if r.seen_token > self.epoch.fencing_token() { HostRouting::NotYet } else { HostRouting::Mine };
        }
        self.host_directory.request_reread(&r.host);
        match self.host_directory.other_partition_of(&r.host) {
            Some(partition) => HostRouting::Elsewhere(partition),
            None => HostRouting::Unknown,
        }
    }

    /// What the registry says now of a machine that reported here.
    pub fn rechecked(&mut self, id: &str, record: Option<HostRecord>, now: u64) {
        match record {
            // It is looked up again with its next report.
            Some(r) if r.partition == self.id() && self.moves_may_be_undone() => {}
            Some(r) if r.partition == self.id() => {
                self.host_directory.unassign(id);
                if !self.cluster.host_index.contains_key(id) {
                    // The giver made sure that nothing is left on it.
                    let fencing_token = self.epoch.fencing_token();
                    let host_index = self.add_registered(id.to_string(), r, now);
                    if let Some(h) = self.cluster.host_mut(host_index) {
                        h.reconciled = true;
                        h.required_token = fencing_token;
                        tracing::info!(host = h.id, "machine joins this partition");
                    }
                }
            }
            Some(r) => {
                self.host_directory.assign(id.to_string(), r.partition);
            }
            None => {
                self.host_directory.unassign(id);
            }
        }
    }

    /// Gives a free machine to another partition; false if it is not free.
    pub fn transfer_host(&mut self, id: &str, to: u32) -> bool {
        let undone = self.moves_may_be_undone();
        let Some(&host_index) = self.cluster.host_index.get(id) else { return false };
        let Some(h) = self.cluster.host_mut(host_index) else { return false };
        let free = h.attempts.is_empty() && h.reservations.is_empty() && !h.do_in_flight && !h.has_unknown_tasks;
        if !free
            || undone
            || !h.registered
            || !h.reconciled
            || h.terminating
            || h.preemption_notice
            || h.transferring_to.is_some()
        {
            return false;
        }
        h.transferring_to = Some(to);
        self.commit_queue.mark_host(host_index);
        true
    }
}
