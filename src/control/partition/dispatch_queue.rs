//! Queue of hosts that are to get orders without waiting for their next heartbeat.

use crate::model::HostIndex;
use std::collections::BTreeSet;

/// The queued hosts, without duplicates, ordered by index.
#[derive(Debug, Default)]
pub(super) struct DispatchQueue {
    hosts: BTreeSet<HostIndex>,
}

impl DispatchQueue {
    /// Adds a host that has an order to get.
    pub(super) fn insert(&mut self, host: HostIndex) {
        self.hosts.insert(host);
    }

    /// Adds hosts that have orders to get.
    pub(super) fn extend(&mut self, hosts: impl IntoIterator<Item = HostIndex>) {
        self.hosts.extend(hosts);
    }

    /// Empties the queue and returns the hosts.
    pub(super) fn take(&mut self) -> BTreeSet<HostIndex> {
        std::mem::take(&mut self.hosts)
    }

    /// Returns the queued hosts.
    #[cfg(test)]
    pub(super) fn hosts(&self) -> &BTreeSet<HostIndex> {
        &self.hosts
    }
}
