//! Reconciliation after a failover: tracks which hosts of the previous leader have not reported yet and
//! what they may hold.
//!
//! Nothing is placed that an unreconciled host may hold or may still start: the scheduler treats the
//! capacity of `ClusterState::unreconciled` as used. A host whose record cannot be read is unreconciled, and
//! may hold any task.

use crate::model::{ClusterState, Demand, HostOffering};
use std::collections::BTreeSet;

/// Demand that a host of unknown instance type may hold.
const UNBOUNDED: Demand = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };

/// Whether the unreconciled hosts are to be counted again.
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    count_due: bool,
    /// Ids of the hosts whose records could not be read, and that are not accounted for yet.
    unreadable_hosts: BTreeSet<String>,
}

impl Reconciliation {
    /// Requests a recount after a host of the previous leader was reconciled. Until then the host counts
    /// as unreconciled, which is conservative. After a failover thousands of hosts are reconciled within
    /// a second, and iterating over all hosts for each of them would cost more than all other work.
    pub(super) fn request_count(&mut self) {
        self.count_due = true;
    }

    /// Returns whether a host may have been reconciled since the last count.
    pub(super) fn is_count_due(&self) -> bool {
        self.count_due || !self.unreadable_hosts.is_empty()
    }

    /// Adds a host of the previous leader whose record cannot be read. It is accounted for once it reports
    /// under a token of this leader, its lease has certainly expired, or it is terminated.
    pub(super) fn add_unreadable_host(&mut self, id: String) {
        self.unreadable_hosts.insert(id);
    }

    /// Removes a host whose termination the cloud has confirmed.
    pub(super) fn host_terminated(&mut self, id: &str) {
        self.count_due |= self.unreadable_hosts.remove(id);
    }

    /// Removes all hosts whose records could not be read, since their leases have expired.
    pub(super) fn expire_unreadable_hosts(&mut self) {
        for id in std::mem::take(&mut self.unreadable_hosts) {
            tracing::info!(host = id, "lease of a host with an unreadable record expired");
            self.count_due = true;
        }
    }

    /// Counts the hosts of the previous leader that are still unreconciled. Returns `true` if this count
    /// is the first to find none.
    pub(super) fn count(&mut self, cluster: &mut ClusterState) -> bool {
        self.count_due = false;
        let mut unreconciled = Demand::default();
        let mut offerings = Vec::new();
        let is_reconciled = |id: &String| {
            let host = cluster.host_index.get(id).and_then(|host_index| cluster.host(*host_index));
            host.is_some_and(|host| host.reconciled)
        };
        self.unreadable_hosts.retain(|id| !is_reconciled(id));
        let may_hold_any_task = !self.unreadable_hosts.is_empty();
        if may_hold_any_task {
            unreconciled.add(&UNBOUNDED);
        }
        let mut all_reconciled = !may_hold_any_task;
        for (_, host) in cluster.each_host().filter(|(_, host)| host.registered && !host.reconciled) {
            all_reconciled = false;
            let offering = HostOffering { instance_type: host.instance_type, zone: host.zone.clone(), spot: host.spot };
            if !offerings.contains(&offering) {
                offerings.push(offering);
            }
            match host.instance_type {
                Some(index) => unreconciled.add(&cluster.instance_types[index].cap),
                None => unreconciled.add(&UNBOUNDED),
            }
        }
        let completed = all_reconciled && !cluster.all_reconciled;
        cluster.unreconciled = unreconciled;
        cluster.unreconciled_offerings = offerings;
        cluster.unknown_host_unreconciled = may_hold_any_task;
        cluster.all_reconciled = all_reconciled;
        completed
    }
}
