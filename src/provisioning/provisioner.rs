//! The provisioner: tracks booting machines and refused offerings, and decides what to request and return.
//!
//! Every partition makes its own plan (`partition_plan`). Only the provisioner of partition 0 requests
//! machines from the cloud: it receives the capacity reports of the other partitions and distributes
//! machines over all of them (`distribution`). The needed capacity is computed by
//! `scheduling::plan_capacity`.
//!
//! All times are milliseconds of the steady clock, except `wall`, which is milliseconds of the wall clock.

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

/// Request that is to be sent to the cloud, or to another partition about a machine.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Request for new machines.
    ScaleOut {
        /// Name of the request, under which it can be repeated. No other request has the same name.
        name: String,
        /// Offering and number of the machines.
        scale_out: ScaleOut,
        /// Delay, in milliseconds, before the request is sent.
        pause_ms: u64,
    },
    /// Return of the machines with these ids to the cloud.
    Terminate(Vec<String>),
    /// Transfer of a machine from its partition to another one.
    TransferHost {
        /// Partition to which the machine belongs.
        from: u32,
        /// Id of the machine.
        host: String,
        /// Partition that receives the machine.
        to: u32,
    },
}

/// Maximum number of ids in one request to return machines, as defined by the cloud's protocol.
const MAX_IDS_PER_TERMINATION: usize = 100;

/// State of the provisioner: its requests, the booting machines and the needs of the partitions.
#[derive(Debug, Default)]
pub struct Provisioner {
    /// Requests for machines without a known outcome, by name.
    pending_scale_outs: BTreeMap<String, PendingScaleOut>,
    /// Last capacity report of each partition.
    capacity_reports: BTreeMap<u32, ReceivedReport>,
    /// Machines that are being transferred to another partition, by id.
    transfers: HashMap<String, PendingTransfer>,
    /// Machines that were requested and have not reported yet, by id.
    booting: HashMap<String, BootingHost>,
    boot_times: BootTimes,
    /// Time of the last round, in which the booting machines were checked.
    last_round_ms: u64,
    /// Time from which boots may be considered late or timed out.
    boot_checks_from_ms: u64,
    /// Offerings that the cloud refused, with the time until which they are not requested.
    refused_offerings: HashMap<InstanceOffering, Backoff>,
    /// Machines whose return was requested and is not confirmed.
    terminating: HashSet<String>,
    /// Machines whose return was confirmed.
    terminated: HashSet<String>,
    /// Time from which a list shows all machines that the previous leader requested; `None` before the first
    /// round or list.
    predecessor_listed_ms: Option<u64>,
    /// True once a list was read at or after `predecessor_listed_ms`.
    predecessor_requests_listed: bool,
    /// Offering of each machine that was listed or named in the answer to a request, by id.
    offering_by_host: HashMap<String, InstanceOffering>,
    /// Number of this leader's last request for machines.
    last_request_number: u64,
    /// Usual lag of the cloud's list behind the state of the cloud.
    list_lag_ms: u64,
    react_ms: u64,
    /// Increments of metrics that are not applied yet, each with the name and label of its counter.
    pending_counts: Vec<(&'static str, String)>,
}

impl Provisioner {
    /// Creates the provisioner of a leader that knows no machines yet. `list_lag_s` is the usual lag, in
    /// seconds, of the cloud's list.
    pub fn new(list_lag_s: f64) -> Provisioner {
        Provisioner { list_lag_ms: (list_lag_s * 1000.0) as u64, ..Provisioner::default() }
    }

    /// Returns the requests that return those of these machines to the cloud that are not being returned yet.
    pub fn terminate(&mut self, ids: impl IntoIterator<Item = String>) -> Vec<CloudRequest> {
        let new_ids: Vec<String> = ids.into_iter().filter(|id| self.terminating.insert(id.clone())).collect();
        new_ids.chunks(MAX_IDS_PER_TERMINATION).map(|ids| CloudRequest::Terminate(ids.to_vec())).collect()
    }

    /// Records that the cloud has confirmed the return of these machines.
    pub fn confirm_termination(&mut self, ids: &[String]) {
        for id in ids {
            self.offering_by_host.remove(id);
            self.terminating.remove(id);
            self.booting.remove(id);
            self.terminated.insert(id.clone());
        }
    }

    /// Returns whether the offering is not requested at present because the cloud refused it.
    fn is_refused(&self, offering: &InstanceOffering, now: u64) -> bool {
        self.refused_offerings.get(offering).is_some_and(|backoff| now < backoff.until_ms)
    }
}
