//! The provisioner: which machines are booting or refused, what to request and what to return.
//!
//! Every partition plans for itself (`partition_plan`). The provisioner of partition 0 alone asks the
//! cloud: it takes the other partitions' capacity reports and distributes machines over all of them
//! (`distribution`). What the machines need is decided by `scheduling::plan_capacity`.
//!
//! All times are milliseconds of the steady clock, but for `wall`.

mod booting;
mod distribution;
mod frame_sizes;
mod partition_plan;
mod scale_out;
#[cfg(test)]
mod tests;

use crate::model::InstanceOffering;
use crate::provisioning::boot_times::BootTimes;
use crate::scheduling::ScaleOut;
use booting::BootingHost;
use distribution::{PendingTransfer, ReceivedReport};
use scale_out::{Backoff, PendingScaleOut};
use std::collections::{BTreeMap, HashMap, HashSet};

/// What the cloud is to be asked.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Request machines.
    ScaleOut {
        /// Name of the request, by which it can be repeated. Names never repeat for other requests.
        name: String,
        /// The machines.
        scale_out: ScaleOut,
        /// How many milliseconds to wait before the request is sent.
        pause_ms: u64,
    },
    /// Return the machines with these ids.
    Terminate(Vec<String>),
    /// Have the machine's partition give it to another one.
    TransferHost {
        /// Partition that the machine belongs to.
        from: u32,
        /// Id of the machine.
        host: String,
        /// Partition that is to get it.
        to: u32,
    },
}

/// Most ids of one request to return machines, by the protocol.
const MAX_TERMINATED: usize = 100;

/// What the provisioner knows of its requests, of booting machines and of the partitions' needs.
#[derive(Debug, Default)]
pub struct Provisioner {
    /// Requests for machines without a known outcome, by name.
    scale_outs: BTreeMap<String, PendingScaleOut>,
    /// The last capacity report of each partition.
    capacity_reports: BTreeMap<u32, ReceivedReport>,
    /// Machines that were asked to go to another partition, by id.
    transfers: HashMap<String, PendingTransfer>,
    /// Machines that were requested and have not reported yet, by id.
    booting: HashMap<String, BootingHost>,
    boot_times: BootTimes,
    /// When booting machines were last looked after.
    last_round_ms: u64,
    /// From when on machines may be called late or given up.
    judges_from_ms: u64,
    /// Offerings that the cloud refused.
    refused: HashMap<InstanceOffering, Backoff>,
    /// Machines whose return was requested and is not confirmed.
    terminating: HashSet<String>,
    /// Machines whose return was confirmed.
    terminated: HashSet<String>,
    /// From when on a list shows what the last leader requested.
    predecessor_listed_ms: Option<u64>,
    /// A list was read since then.
    predecessor_known: bool,
    /// The offering of each listed machine.
    offerings: HashMap<String, InstanceOffering>,
    /// Number of the last request for machines.
    sequence: u64,
    /// How far the cloud's list usually lags behind.
    list_lag_ms: u64,
    react_ms: u64,
    /// Counters that are to be raised, by name and label.
    counts: Vec<(&'static str, String)>,
}

impl Provisioner {
    /// The provisioner of a leader that knows nothing yet; the cloud's list lags by up to `list_lag_s`.
    pub fn new(list_lag_s: f64) -> Provisioner {
        Provisioner { list_lag_ms: (list_lag_s * 1000.0) as u64, ..Provisioner::default() }
    }

    /// Asks for the return of machines that are not being returned yet.
    pub fn terminate(&mut self, ids: impl IntoIterator<Item = String>) -> Vec<CloudRequest> {
        let new: Vec<String> = ids.into_iter().filter(|id| self.terminating.insert(id.clone())).collect();
        new.chunks(MAX_TERMINATED).map(|ids| CloudRequest::Terminate(ids.to_vec())).collect()
    }

    /// Notes that the cloud has confirmed the return of these machines.
    pub fn hosts_terminated(&mut self, ids: &[String]) {
        for id in ids {
            self.offerings.remove(id);
            self.terminating.remove(id);
            self.booting.remove(id);
            self.terminated.insert(id.clone());
        }
    }

    /// Does the cloud refuse machines of this offering now?
    fn is_refused(&self, offering: &InstanceOffering, now: u64) -> bool {
        self.refused.get(offering).is_some_and(|backoff| now < backoff.until_ms)
    }
}
