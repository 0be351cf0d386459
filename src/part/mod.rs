//! The protocol of a part, without I/O and clock: its jobs, its machines, what
//! reports and answers mean, which orders follow, what must be recorded.

mod attempts;
mod direct;
mod drain;
#[cfg(test)]
mod fleet_tests;
mod keys;
#[cfg(test)]
mod meeting_tests;
mod passes;
mod records;
mod reports;
mod takeover;
#[cfg(test)]
mod tests;
mod types;
mod upkeep;
mod users;

pub use keys::{TOO_LONG, fits, host_key, inbox_key, job_key};
pub use types::{Belongs, Commit, CommitResult, Direct, DirectResult, Saved, Superseded, UserAnswer, Via, Waiter};
pub use upkeep::DEAF;

use crate::metrics::Metrics;
use crate::model::{HostIx, JobIx, World};
use crate::sched::Policy;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Bytes in a KiB.
const KIB: f64 = 1024.0;

/// The state of one part, and the protocol over it.
pub struct Part {
    pub world: World,
    pub policy: Policy,
    pub metrics: Metrics,
    pub term: u64,
    /// The term with which this holder began: it may have raised it since.
    first_term: u64,
    /// This part's number, and whether its holder leads.
    pub id: u32,
    teams: HashMap<String, u32>,
    /// Machines of other parts, as far as the leader knows.
    pub elsewhere: HashMap<String, u32>,
    /// Machines whose record is to be read again.
    pub recheck: BTreeSet<String>,
    /// Where machines go that are on their way, by name; others stay here.
    pub destined: HashMap<String, u32>,
    part_key: String,
    part_version: u64,
    begun_ms: u64,
    next_attempt: u64,
    dirty: BTreeSet<JobIx>,
    new_hosts: BTreeSet<HostIx>,
    /// Keys that are of no more use.
    gone_keys: BTreeSet<String>,
    /// Names of machines that were released: late copies of their reports mean nothing.
    released: HashSet<String>,
    /// The version of the part's key under which a record of a machine was written without
    /// an answer. Such a write may come late, after the machine has moved to another part
    /// or back, and undo that; it can't once the key has changed.
    open_host_write: Option<u64>,
    in_flight: Option<Vec<Saved>>,
    /// Who waits for a job to be accepted, and for it to end.
    submitters: HashMap<JobIx, Vec<Waiter>>,
    cancellers: HashMap<JobIx, Vec<Waiter>>,
    /// Jobs whose cancellation waits for their tasks to be gone.
    cancelling: BTreeSet<JobIx>,
    /// Machines that have orders to get without waiting for their next report.
    pub kick: BTreeSet<HostIx>,
    /// Something changed that a pass may use.
    pub stirred: bool,
    /// The same, for urgent work.
    pub urgent: bool,
    pub unplaced: Vec<JobIx>,
    /// Machines that passes have looked at so far.
    pub looked: u64,
    txn_ops: usize,
    value_bytes: usize,
    last_upkeep_ms: u64,
}

impl Part {
    /// A part whose records were not read yet.
    pub fn new(policy: Policy, id: u32, teams: HashMap<String, u32>, txn_ops: usize, value_kb: f64) -> Part {
        Part {
            world: World { all_accounted: true, ..World::default() },
            policy,
            metrics: Metrics::default(),
            term: 0,
            first_term: 0,
            id,
            teams,
            elsewhere: HashMap::new(),
            recheck: BTreeSet::new(),
            destined: HashMap::new(),
            part_key: crate::membership::part_key(id),
            part_version: 0,
            begun_ms: 0,
            next_attempt: 0,
            dirty: BTreeSet::new(),
            new_hosts: BTreeSet::new(),
            gone_keys: BTreeSet::new(),
            released: HashSet::new(),
            open_host_write: None,
            in_flight: None,
            submitters: HashMap::new(),
            cancellers: HashMap::new(),
            cancelling: BTreeSet::new(),
            kick: BTreeSet::new(),
            stirred: true,
            urgent: false,
            unplaced: Vec::new(),
            looked: 0,
            txn_ops,
            value_bytes: (value_kb * KIB) as usize,
            last_upkeep_ms: 0,
        }
    }
}
