//! Directory of hosts that are not in the state of this partition: hosts of other partitions, booting
//! hosts and terminated hosts.

use std::collections::{BTreeSet, HashMap, HashSet};

/// What the partition knows, by id, about hosts that it does not hold.
#[derive(Debug, Default)]
pub(super) struct HostDirectory {
    /// Partitions of the hosts that other partitions hold, as of the last read of the registry.
    other_partitions: HashMap<String, u32>,
    /// Ids of the hosts whose records are to be read again.
    records_to_reread: BTreeSet<String>,
    /// Partitions that booting hosts are intended for. Hosts without an entry stay in this partition.
    pending_transfers: HashMap<String, u32>,
    /// Terminated hosts. Late copies of their heartbeats are ignored.
    terminated: HashSet<String>,
}

impl HostDirectory {
    /// Returns the other partition that holds this host; `None` if none is known.
    pub(super) fn other_partition_of(&self, host: &str) -> Option<u32> {
        self.other_partitions.get(host).copied()
    }

    /// Records that the host belongs to another partition.
    pub(super) fn assign(&mut self, host: String, partition: u32) {
        self.other_partitions.insert(host, partition);
    }

    /// Records that no other partition holds the host any more.
    pub(super) fn unassign(&mut self, host: &str) {
        self.other_partitions.remove(host);
    }

    /// Requests that the record of this host is read again.
    pub(super) fn request_reread(&mut self, host: &str) {
        self.records_to_reread.insert(host.to_string());
    }

    /// Removes and returns the hosts whose records are to be read again.
    pub(super) fn take_records_to_reread(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.records_to_reread)
    }

    /// Replaces the map of partitions that booting hosts are intended for.
    pub(super) fn set_pending_transfers(&mut self, pending_transfers: HashMap<String, u32>) {
        self.pending_transfers = pending_transfers;
    }

    /// Removes and returns the partition that a host was rented for; `None` if it was rented for this
    /// one.
    pub(super) fn take_pending_transfer(&mut self, host: &str) -> Option<u32> {
        self.pending_transfers.remove(host)
    }

    /// Records that the cloud has confirmed the termination of the host.
    pub(super) fn mark_terminated(&mut self, host: &str) {
        self.terminated.insert(host.to_string());
    }

    /// Returns whether the host is known to be terminated.
    pub(super) fn is_terminated(&self, host: &str) -> bool {
        self.terminated.contains(host)
    }
}
