//! Machines that have orders to get without waiting for their next heartbeat.

use crate::model::HostIndex;
use std::collections::BTreeSet;

/// The machines, each once; in the order of their indices.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue {
    hosts: BTreeSet<HostIndex>,
}

impl DispatchQueue {
    /// This machine has an order to get.
    pub(super) fn insert(&mut self, host: HostIndex) {
        self.hosts.insert(host);
    }

    /// These machines have orders to get.
    pub(super) fn extend(&mut self, hosts: impl IntoIterator<Item = HostIndex>) {
        self.hosts.extend(hosts);
    }

    /// Empties the queue.
    pub(super) fn take(&mut self) -> BTreeSet<HostIndex> {
        std::mem::take(&mut self.hosts)
    }

    /// The machines that are queued.
    #[cfg(test)]
    pub(super) fn hosts(&self) -> &BTreeSet<HostIndex> {
        &self.hosts
    }
}
