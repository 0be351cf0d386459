//! Which machines are not this partition's: those of others, those that are booting, those that are gone.

use std::collections::{BTreeSet, HashMap, HashSet};

/// What a partition knows of machines by name, besides its own.
#[derive(Debug, Default)]
pub(super) struct HostDirectory {
    /// Partitions of the machines that others hold, as far as the registry was read.
    other_partitions: HashMap<String, u32>,
    records_to_reread: BTreeSet<String>,
    /// Partitions that booting machines go to; others stay here.
    pending_transfers: HashMap<String, u32>,
    /// Terminated machines: late copies of their heartbeats mean nothing.
    terminated: HashSet<String>,
}

impl HostDirectory {
    /// The other partition that holds this machine, if one is known to.
    pub(super) fn other_partition_of(&self, host: &str) -> Option<u32> {
        self.other_partitions.get(host).copied()
    }

    /// The machine is another partition's.
    pub(super) fn assign(&mut self, host: String, partition: u32) {
        self.other_partitions.insert(host, partition);
    }

    /// No other partition holds the machine any more.
    pub(super) fn unassign(&mut self, host: &str) {
        self.other_partitions.remove(host);
    }

    /// The record of this machine is to be read again.
    pub(super) fn request_reread(&mut self, host: &str) {
        self.records_to_reread.insert(host.to_string());
    }

    /// Machines whose records are to be read again now.
    pub(super) fn take_records_to_reread(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.records_to_reread)
    }

    /// Replaces the partitions that booting machines go to.
    pub(super) fn set_pending_transfers(&mut self, pending_transfers: HashMap<String, u32>) {
        self.pending_transfers = pending_transfers;
    }

    /// The partition that a machine which is up now was started for, if it was for another.
    pub(super) fn take_pending_transfer(&mut self, host: &str) -> Option<u32> {
        self.pending_transfers.remove(host)
    }

    /// The cloud has confirmed that the machine is gone.
    pub(super) fn mark_terminated(&mut self, host: &str) {
        self.terminated.insert(host.to_string());
    }

    /// Is the machine certainly gone?
    pub(super) fn is_terminated(&self, host: &str) -> bool {
        self.terminated.contains(host)
    }
}
