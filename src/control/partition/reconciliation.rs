//! Reconciliation after a failover: tracks which hosts of the previous leader have not reported yet and
//! what they may hold.
//!
//! Nothing is placed that an unreconciled host may hold or may still start: the scheduler treats the
//! capacity of `ClusterState::unreconciled` as used.

use crate::model::{ClusterState, Demand, HostOffering};

/// Demand that a host of unknown instance type may hold.
const UNBOUNDED: Demand = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };

/// Whether the unreconciled hosts are to be counted again.
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    count_due: bool,
}

impl Reconciliation {
    /// Requests a recount after a host of the previous leader was reconciled. Until then the host counts
    /// as unreconciled, which is conservative. After a failover thousands of hosts are reconciled within
    /// a second, and iterating over all hosts for each of them would cost more than all other work.
    pub(super) fn request_count(&mut self) {
        self.count_due = true;
    }

    /// Returns whether a host was reconciled since the last count.
    pub(super) fn is_count_due(&self) -> bool {
        self.count_due
    }

    /// Counts the hosts of the previous leader that are still unreconciled. Returns `true` if this count
    /// is the first to find none.
    pub(super) fn count(&mut self, cluster: &mut ClusterState) -> bool {
        self.count_due = false;
        let mut unreconciled = Demand::default();
        let mut offerings = Vec::new();
        let mut all_reconciled = true;
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
        cluster.all_reconciled = all_reconciled;
        completed
    }
}
