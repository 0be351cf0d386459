//! Reconciliation after a failover: which machines of the last leader have not reported yet, and
//! what they may hold.
//!
//! Nothing is placed that an unreconciled machine may hold or may still start: the scheduler
//! counts what `ClusterState::unreconciled` may hold as taken.

use crate::model::{ClusterState, Demand, InstanceKind};

/// What a machine of unknown type may hold.
const UNBOUNDED: Demand = Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY };

/// Whether unreconciled machines are to be counted again.
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    count_due: bool,
}

impl Reconciliation {
    /// A machine of the last leader was reconciled. Until the next count it is taken for one that is not,
    /// which holds back more and never less: after a failover thousands are reconciled within a
    /// second, and a look at all machines for each of them would take longer than all else.
    pub(super) fn request_count(&mut self) {
        self.count_due = true;
    }

    /// Was a machine reconciled since the last count?
    pub(super) fn is_count_due(&self) -> bool {
        self.count_due
    }

    /// Counts the machines of the last leader that are still unreconciled; true if the last of them
    /// was reconciled since.
    pub(super) fn count(&mut self, cluster: &mut ClusterState) -> bool {
        self.count_due = false;
        let mut unreconciled = Demand::default();
        let mut kinds = Vec::new();
        let mut all_reconciled = true;
        for (_, host) in cluster.each_host().filter(|(_, host)| host.registered && !host.reconciled) {
            all_reconciled = false;
            let kind = InstanceKind { instance_type: host.instance_type, zone: host.zone.clone(), spot: host.spot };
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
            match host.instance_type {
                Some(index) => unreconciled.add(&cluster.instance_types[index].cap),
                None => unreconciled.add(&UNBOUNDED),
            }
        }
        let completed = all_reconciled && !cluster.all_reconciled;
        cluster.unreconciled = unreconciled;
        cluster.unreconciled_kinds = kinds;
        cluster.all_reconciled = all_reconciled;
        completed
    }
}
