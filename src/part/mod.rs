//! The protocol of a part, without I/O and clock: its jobs, its machines, what
//! reports and answers mean, which orders follow, what must be recorded.

mod direct;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod meeting_tests;
mod records;
mod reports;
#[cfg(test)]
pub mod tests;
mod users;

use crate::clock::DRIFT;
use crate::metrics::Metrics;
use crate::model::*;
use crate::sched::{self, Policy};
use crate::wire::{self, Item, Order, Report};
use serde_json::Value;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("job/{id}")
}

/// Key of a machine in the registry.
pub fn host_key(id: &str) -> String {
    format!("host/{id}")
}

/// The refusal of a job whose record would be too large.
pub const TOO_LONG: &str = "bundle: the job's texts are too long";

/// Does the record of such a job fit into a value, with room for its progress?
pub fn fits(spec: &Spec, value_bytes: usize) -> bool {
    serde_json::to_vec(spec).is_ok_and(|v| v.len() <= value_bytes / 3)
}

/// Key that tells the holder of a part of a job that another node accepted.
pub fn inbox_key(part: u32, id: &str) -> String {
    format!("in/{part}/{id}")
}

/// How a report came. Only a reply to a beat proves that the replies before
/// it are over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Via {
    Beat,
    Direct,
}

/// A direct command to be sent.
#[derive(Debug)]
pub struct Direct {
    pub host: HostIx,
    pub id: String,
    pub addr: SocketAddr,
    pub term: u64,
    pub tenure: u64,
    pub orders: Vec<Order>,
}

/// How a direct command ended.
#[derive(Debug)]
pub enum DirectResult {
    /// 200 or 409, with the worker's report.
    Answered(Box<Report>),
    NotSent,
    Unclear,
}

/// What a commit under way will have told.
#[derive(Debug, Clone, PartialEq)]
pub enum Saved {
    /// Whether an earlier write of the job's end was open already.
    Job(JobIx, Unsaved, bool),
    Host(HostIx),
    Given(HostIx, u32),
    KeyGone(String),
}

/// A commit to be sent.
#[derive(Debug)]
pub struct Commit {
    pub guards: Vec<Value>,
    pub apply: Vec<Value>,
}

/// How a commit ended.
#[derive(Debug)]
pub enum CommitResult {
    Done { revision: u64 },
    Conflict { failed: Vec<String> },
    Refused,
    Unclear,
}

/// Whether a part takes a machine's reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belongs {
    Mine,
    /// Ours, but only under a term that is still to come.
    NotYet,
    Elsewhere(u32),
    Unknown,
}

/// The part has another holder, or none: its key is not as it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Superseded;

/// What a user is told.
#[derive(Debug, Clone, PartialEq)]
pub enum UserAnswer {
    Accepted {
        created: bool,
        id: String,
        phase: JobPhase,
    },
    Status {
        id: String,
        phase: JobPhase,
        done: u32,
        running: u32,
    },
    Malformed(String),
    Impossible(String),
    Unknown,
    Later(&'static str),
    /// More is waiting to be recorded than can be soon: again in so many seconds.
    Busy(u64),
}

/// Waits for a commit about a job.
pub type Waiter = tokio::sync::oneshot::Sender<UserAnswer>;

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

/// Ranges that certainly fit into half of a value: two numbers of six digits
/// and what is around them.
const RANGE_BYTES: usize = 18;
/// Most bytes of the changes of one commit, under the protocol's 64 KiB.
const COMMIT_BYTES: usize = 48 * 1024;
/// So many direct commands in a row without an answer are no chance.
pub const DEAF: u32 = 2;
/// Most orders in one reply, so that a line stays under 64 KiB.
const REPLY_ORDERS: usize = 400;

impl Part {
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
            value_bytes: (value_kb * 1024.0) as usize,
            last_upkeep_ms: 0,
        }
    }

    /// Begins a term with what the state service holds. Nothing is known of
    /// the machines until they report under this term.
    pub fn begin(
        &mut self,
        term: u64,
        version: u64,
        jobs: Vec<Item>,
        hosts: Vec<Item>,
        flavors: Vec<Flavor>,
        now: u64,
    ) {
        self.set_term(term, version);
        self.first_term = term;
        self.begun_ms = now;
        self.last_upkeep_ms = now;
        self.world.flavors = flavors;
        for item in jobs {
            match serde_json::from_value::<JobRecord>(item.value) {
                Ok(r) => {
                    if self.teams.get(&r.spec.team).is_none_or(|p| *p == self.id) {
                        self.world.add_job(r.into_job(item.version, now));
                    }
                }
                Err(e) => tracing::error!(key = item.key, error = %e, "unreadable job record"),
            }
        }
        for item in hosts {
            let Some(id) = item.key.strip_prefix("host/") else { continue };
            match serde_json::from_value::<HostRecord>(item.value) {
                Ok(r) if r.part == self.id => {
                    self.add_registered(id.to_string(), r, now);
                }
                Ok(r) => {
                    self.elsewhere.insert(id.to_string(), r.part);
                }
                Err(e) => tracing::error!(key = item.key, error = %e, "unreadable machine record"),
            }
        }
        self.recount();
    }

    fn add_registered(&mut self, id: String, r: HostRecord, now: u64) -> HostIx {
        let flavor = self.world.flavor(&r.flavor);
        let mut h = Host::new(id, r.zone, r.spot, flavor, now);
        h.addr = r.addr;
        h.registered = true;
        h.min_fence = self.first_term;
        self.world.add_host(h)
    }

    /// A job that another node accepted while it could not reach this one. It
    /// was not there when the records were read, so no earlier holder has
    /// started any of it.
    pub fn adopt_job(&mut self, item: Item, now: u64) {
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        self.gone_keys.insert(inbox_key(self.id, &record.spec.id));
        if !self.world.job_ix.contains_key(&record.spec.id) {
            tracing::info!(job = record.spec.id, "job accepted by another node");
            let mut job = record.into_job(item.version, now);
            job.fresh = true;
            self.world.add_job(job);
            self.stirred = true;
        }
    }

    /// A new term: attempts count on from it, so that none repeats. The same one again,
    /// with the key's version as it is now, begins no count anew.
    pub fn set_term(&mut self, term: u64, version: u64) {
        if term > self.term {
            self.next_attempt = term << 32;
        }
        self.term = term;
        self.part_version = version;
    }

    /// Takes the machine types as the cloud tells them now. Places in the list
    /// stay, for machines refer to them.
    pub fn set_flavors(&mut self, flavors: Vec<Flavor>) {
        for f in flavors {
            match self.world.flavors.iter_mut().find(|o| o.name == f.name) {
                Some(old) => *old = f,
                None => self.world.flavors.push(f),
            }
        }
        self.stirred = true;
    }

    /// Looks again which machines of the last holder are still unaccounted for.
    fn recount(&mut self) {
        let mut open = Demand::default();
        let mut kinds = Vec::new();
        let mut all = true;
        for (_, h) in self.world.each_host().filter(|(_, h)| h.registered && !h.accounted) {
            all = false;
            let kind = (h.flavor, h.zone.clone(), h.spot);
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
            match h.flavor {
                Some(f) => open.add(&self.world.flavors[f].cap),
                None => open.add(&Demand { cpus: f64::INFINITY, gpus: f64::INFINITY, mem: f64::INFINITY }),
            }
        }
        if all && !self.world.all_accounted {
            tracing::info!(term = self.term, "all machines accounted for");
            self.stirred = true;
        }
        self.world.unaccounted = open;
        self.world.unaccounted_kinds = kinds;
        self.world.all_accounted = all;
    }

    // ---- decisions ----

    /// One pass; the machines with new orders are in `kick`.
    pub fn pass(&mut self, now: u64, wall: u64) {
        self.stirred = false;
        self.pass_from(Urgency::Low, now, wall);
    }

    /// A pass for what is urgent alone, while the next one for all is not due.
    pub fn urgent_pass(&mut self, now: u64, wall: u64) {
        self.pass_from(Urgency::High, now, wall);
    }

    fn pass_from(&mut self, least: Urgency, now: u64, wall: u64) {
        self.urgent = false;
        let next = &mut self.next_attempt;
        let out = sched::pass(&mut self.world, &self.policy, now, wall, least, || {
            *next += 1;
            *next
        });
        for s in &out.starts {
            let job = &self.world.jobs[s.key.job];
            let waited = wall.saturating_sub(job.accepted_ms);
            self.metrics.observe("decision_ms", &job.spec.class, waited);
            if let Some(h) = self.world.host(s.host) {
                let fetch_s =
                    h.flavor.map_or(0.0, |f| job.spec.image_gb / self.world.flavors[f].fetch_gb_per_s.max(1e-3));
                let cached = h.images.iter().any(|i| i.ready && i.name == job.spec.image);
                tracing::debug!(
                    job = job.spec.id,
                    class = job.spec.class,
                    task = s.key.task,
                    attempt = s.attempt,
                    host = h.id,
                    term = self.term,
                    waited,
                    cached,
                    fetch_s,
                    spot = h.spot,
                    "start"
                );
            }
            self.kick.insert(s.host);
        }
        for s in &out.stops {
            let job = &self.world.jobs[s.key.job];
            let by = &self.world.jobs[s.by].spec;
            tracing::debug!(
                job = job.spec.id,
                class = job.spec.class,
                task = s.key.task,
                attempt = s.attempt,
                by = by.id,
                by_class = by.class,
                "preempted"
            );
            self.metrics.count("tasks_preempted", &job.spec.class);
            self.kick.insert(s.host);
        }
        tracing::debug!(
            least = ?least,
            looked = out.looked,
            starts = out.starts.len(),
            stops = out.stops.len(),
            unplaced = out.unplaced.len(),
            "pass"
        );
        let jobs = &self.world.jobs;
        self.unplaced.retain(|ix| jobs[*ix].spec.urgency < least && jobs[*ix].active());
        self.unplaced.extend(out.unplaced);
        self.looked += out.looked;
        if !self.unplaced.is_empty() {
            self.undrain();
        }
    }

    /// For how long a sound machine may be silent: reports come a quarter late at
    /// the most, and take a moment.
    fn quiet_ms(&self) -> u64 {
        self.policy.report_ms * 13 / 10
    }

    /// Silent for so long, and without an answer to two probes: it is lost.
    fn lost_ms(&self) -> u64 {
        self.quiet_ms() + self.policy.react_ms * 3 / 2
    }

    /// Looks after silent machines; returns those to be released, and those to
    /// be asked directly.
    ///
    /// `unbound_ms`: another controller may have kept leases alive until then.
    pub fn upkeep(&mut self, now: u64, unbound_ms: u64) -> (Vec<String>, Vec<HostIx>) {
        let gap = now.saturating_sub(self.last_upkeep_ms);
        self.last_upkeep_ms = now;
        if gap > 2 * self.policy.react_ms {
            // We stood still: the silence was ours, and what was said meanwhile
            // is still to be read.
            for h in self.world.hosts.iter_mut().flatten() {
                h.heard_ms = (h.heard_ms + gap).min(now);
                h.missed = 0;
            }
        }
        let lease = self.policy.lease_ms;
        let outlived = (lease as f64 * (1.0 + DRIFT)) as u64 + self.policy.react_ms;
        let (quiet_ms, lost_ms) = (self.quiet_ms(), self.lost_ms());
        let mut lapsed = Vec::new();
        let mut silent = Vec::new();
        let mut probe = Vec::new();
        // By zone: machines, and those that are quiet.
        let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
        for (hix, h) in self.world.each_host() {
            if h.releasing {
                continue;
            }
            let quiet = now.saturating_sub(h.heard_ms);
            if h.vouched() {
                if now > h.answered_ms.max(unbound_ms) + outlived && (!h.copies.is_empty() || !h.accounted) {
                    lapsed.push(hix);
                }
                let zone = zones.entry(&h.zone).or_default();
                zone.0 += 1;
                zone.1 += usize::from(quiet > quiet_ms || h.missed >= DEAF);
            }
            // One that is heard and can't be told anything is of no use either.
            let deaf = h.missed >= DEAF && (quiet > lost_ms || u64::from(h.missed) * self.policy.react_ms > lease);
            if deaf || (h.addr.is_none() && quiet > lease) {
                silent.push(hix);
            }
            // After a takeover all are asked at once: most look for us elsewhere first.
            if quiet > quiet_ms || !h.shown() || h.missed > 0 {
                probe.push(hix);
            }
        }
        // Many machines of a zone that fall silent together: it is rather the zone
        // that is cut off, or we are. The first of them must not be released before
        // the rest shows it.
        let cut: HashSet<String> =
            zones.into_iter().filter(|(_, (all, quiet))| quiet * 3 > (*all).max(3)).map(|(z, _)| z.into()).collect();
        for hix in lapsed {
            self.lose_all(hix);
            if let Some(h) = self.world.host_mut(hix) {
                tracing::info!(host = h.id, "lease surely outlived");
                h.accounted = true;
            }
            self.recount();
        }
        let mut release = Vec::new();
        for hix in silent {
            let Some(h) = self.world.host_mut(hix).filter(|h| !h.vouched() || !cut.contains(&h.zone)) else { continue };
            h.releasing = true;
            tracing::info!(host = h.id, "machine is silent, releasing it");
            release.push(h.id.clone());
        }
        (release, probe)
    }

    /// May machines be rented and returned? What is up is known, or as much as
    /// will be for now.
    pub fn counted(&self, now: u64) -> bool {
        self.world.all_accounted || now > self.begun_ms + self.lost_ms()
    }

    /// Begins to empty a machine: each replica is stopped with room held for it
    /// where it goes.
    pub fn drain(&mut self, d: &sched::Drain, now: u64) {
        let until_ms = now + self.policy.lease_ms;
        let Some(h) = self.world.host_mut(d.host) else { return };
        h.draining = true;
        tracing::info!(host = h.id, moves = d.moves.len(), "emptying a machine");
        for (key, attempt, _) in &d.moves {
            if let Some(c) = h.copy_mut(*key, *attempt) {
                c.stop = Some(0.0);
            }
        }
        self.kick.insert(d.host);
        for (key, _, to) in &d.moves {
            let demand = self.world.jobs[key.job].spec.demand;
            if let Some(h) = self.world.host_mut(*to) {
                h.claims.push(Claim { job: key.job, demand, until_ms });
            }
        }
    }

    /// Takes machines that were being emptied into use again.
    fn undrain(&mut self) {
        for h in self.world.hosts.iter_mut().flatten().filter(|h| h.draining && !h.releasing) {
            h.draining = false;
            self.stirred = true;
        }
    }

    /// True if most machines that were heard before, or asked twice in vain, are
    /// silent at once: then it is this node that is cut off from them, and another
    /// may not be.
    pub fn cut_off(&self, now: u64) -> bool {
        let (mut all, mut known, mut silent) = (0, 0, 0);
        for (_, h) in self.world.each_host().filter(|(_, h)| !h.releasing && h.vouched()) {
            all += 1;
            // After a takeover those that were not asked yet may be on their way here.
            let heard = h.tenure > 0;
            if heard || h.missed >= DEAF {
                known += 1;
                let patience = if heard { self.policy.react_ms } else { 0 };
                silent += usize::from(now.saturating_sub(h.heard_ms) > self.quiet_ms() + patience);
            }
        }
        known >= 3 && known * 2 >= all && silent * 3 >= known * 2
    }

    /// Marks a machine for release; true if it was not marked yet.
    pub fn mark_releasing(&mut self, id: &str) -> bool {
        let Some(&hix) = self.world.host_ix.get(id) else { return true };
        self.world.host_mut(hix).is_some_and(|h| !std::mem::replace(&mut h.releasing, true))
    }

    /// The lowest bin that waits for room.
    pub fn lowest_bin(&self, wall: u64) -> Option<u64> {
        let bin = |ix: &JobIx| self.policy.bin(self.policy.effective_deadline_ms(&self.world.jobs[*ix], wall));
        self.unplaced.iter().map(bin).min()
    }

    /// The cloud has confirmed: the machine and all on it are gone.
    pub fn host_gone(&mut self, id: &str) {
        self.released.insert(id.to_string());
        let Some(&hix) = self.world.host_ix.get(id) else { return };
        self.lose_all(hix);
        self.new_hosts.remove(&hix);
        if self.world.remove_host(hix).is_some_and(|h| h.registered) {
            self.gone_keys.insert(host_key(id));
        }
        self.recount();
    }
}
