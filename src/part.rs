//! The protocol of a part, without I/O and clock: its jobs, its machines, what
//! reports and answers mean, which orders follow, what must be recorded.

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
    Job(JobIx, Unsaved),
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
    Accepted { created: bool, id: String, phase: JobPhase },
    Status { id: String, phase: JobPhase, done: u32, running: u32 },
    Malformed(String),
    Impossible(String),
    Unknown,
    Later(&'static str),
}

/// Waits for a commit about a job.
pub type Waiter = tokio::sync::oneshot::Sender<UserAnswer>;

pub struct Part {
    pub world: World,
    pub policy: Policy,
    pub metrics: Metrics,
    pub term: u64,
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
    in_flight: Option<Vec<Saved>>,
    waiters: HashMap<JobIx, Vec<Waiter>>,
    /// Machines that have orders to get without waiting for their next report.
    pub kick: BTreeSet<HostIx>,
    /// Something changed that a pass may use.
    pub stirred: bool,
    pub unplaced: Vec<JobIx>,
    txn_ops: usize,
    value_bytes: usize,
    last_upkeep_ms: u64,
}

/// Ranges that certainly fit into half of a value: two numbers of six digits
/// and what is around them.
const RANGE_BYTES: usize = 18;
/// Most bytes of the changes of one commit, under the protocol's 64 KiB.
const COMMIT_BYTES: usize = 48 * 1024;
/// Most orders in one reply, so that a line stays under 64 KiB.
const REPLY_ORDERS: usize = 400;

impl Part {
    pub fn new(policy: Policy, id: u32, teams: HashMap<String, u32>, txn_ops: usize, value_kb: f64) -> Part {
        Part {
            world: World { all_accounted: true, ..World::default() },
            policy,
            metrics: Metrics::default(),
            term: 0,
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
            in_flight: None,
            waiters: HashMap::new(),
            kick: BTreeSet::new(),
            stirred: true,
            unplaced: Vec::new(),
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

    /// A new term: attempts count on from it, so that none repeats.
    pub fn set_term(&mut self, term: u64, version: u64) {
        self.term = term;
        self.part_version = version;
        self.next_attempt = term << 32;
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
        let mut all = true;
        for (_, h) in self.world.each_host().filter(|(_, h)| h.registered && !h.accounted) {
            all = false;
            if let Some(f) = h.flavor {
                open.add(&self.world.flavors[f].cap);
            }
        }
        if all && !self.world.all_accounted {
            tracing::info!(term = self.term, "all machines accounted for");
            self.stirred = true;
        }
        self.world.unaccounted = open;
        self.world.all_accounted = all;
    }

    // ---- users ----

    /// A submission. The answer comes at once or, through the waiter, after
    /// the commit.
    pub fn submit(&mut self, body: &[u8], now: u64, wall: u64, waiter: Waiter) {
        let (id, spec) = match wire::parse_submission(body) {
            Ok(spec) => (Some(spec.id.clone()), Ok(spec)),
            Err(e) => (e.id, Err(e.message)),
        };
        // A known id is answered before any judgement of the rest.
        if let Some(&ix) = id.as_ref().and_then(|id| self.world.job_ix.get(id)) {
            if self.world.jobs[ix].version == 0 {
                self.waiters.entry(ix).or_default().push(waiter);
            } else {
                let _ = waiter.send(self.accepted(ix, false));
            }
            return;
        }
        let answer = match spec {
            Err(message) => UserAnswer::Malformed(message),
            Ok(_) if self.world.flavors.is_empty() => UserAnswer::Later("the machine types are not known yet"),
            Ok(spec) => match sched::impossible(&spec, &self.policy, &self.world.flavors) {
                Some(message) => UserAnswer::Impossible(message),
                None if !fits(&spec, self.value_bytes) => {
                    UserAnswer::Malformed("bundle: the job's texts are too long".into())
                }
                None => {
                    let mut job = Job::new(spec, wall, now);
                    job.unsaved = Unsaved::Creation;
                    job.fresh = true;
                    let ix = self.world.add_job(job);
                    self.dirty.insert(ix);
                    self.waiters.entry(ix).or_default().push(waiter);
                    return;
                }
            },
        };
        let _ = waiter.send(answer);
    }

    fn accepted(&self, ix: JobIx, created: bool) -> UserAnswer {
        let job = &self.world.jobs[ix];
        UserAnswer::Accepted { created, id: job.spec.id.clone(), phase: job.phase(self.running(ix)) }
    }

    fn running(&self, ix: JobIx) -> u32 {
        let runs = |n: usize, t: &Task| match t.place {
            Place::On(hix, attempt) => self.world.host(hix).is_some_and(|h| {
                h.copies
                    .iter()
                    .any(|c| c.key.job == ix && c.key.task as usize == n && c.attempt == attempt && c.running())
            }),
            _ => false,
        };
        self.world.jobs[ix].tasks.iter().enumerate().filter(|(n, t)| runs(*n, t)).count() as u32
    }

    pub fn status(&self, id: &str) -> UserAnswer {
        match self.world.job_ix.get(id) {
            Some(&ix) if self.world.jobs[ix].version > 0 => self.status_of(ix),
            Some(_) => UserAnswer::Later("the job is not accepted yet"),
            None => UserAnswer::Unknown,
        }
    }

    fn status_of(&self, ix: JobIx) -> UserAnswer {
        let job = &self.world.jobs[ix];
        let running = if job.end.is_some() { 0 } else { self.running(ix) };
        // All tasks may be done before the record says so; the end is said later.
        let done = if job.end.is_some() { job.done } else { job.done.min(job.spec.tasks) };
        UserAnswer::Status { id: job.spec.id.clone(), phase: job.phase(running), done, running }
    }

    /// A cancellation; answered after its commit.
    pub fn cancel(&mut self, id: &str, waiter: Waiter) {
        let Some(&ix) = self.world.job_ix.get(id) else {
            let _ = waiter.send(UserAnswer::Unknown);
            return;
        };
        let job = &mut self.world.jobs[ix];
        if job.end.is_some() {
            let _ = waiter.send(self.status_of(ix));
            return;
        }
        // A completion may be in a commit under way: it goes first.
        if job.version > 0 && !job.saving {
            job.unsaved = Unsaved::End(JobEnd::Cancelled);
            self.dirty.insert(ix);
            self.waiters.entry(ix).or_default().push(waiter);
        } else {
            let _ = waiter.send(UserAnswer::Later("the job's record is being written"));
        }
    }

    // ---- records ----

    /// The next commit, if one is due: ends and creations first, then machines,
    /// then progress that has waited for a while. At most `ops` changes.
    pub fn next_commit(&mut self, now: u64, ops: usize) -> Option<Commit> {
        if self.in_flight.is_some() || self.part_version == 0 {
            return None;
        }
        let ops = ops.min(self.txn_ops);
        let patience = 3 * self.policy.report_ms;
        let mut picked: Vec<(u8, JobIx)> = self
            .dirty
            .iter()
            .filter_map(|ix| {
                let j = &self.world.jobs[*ix];
                match j.unsaved {
                    Unsaved::End(_) => Some((0, *ix)),
                    Unsaved::Creation => Some((1, *ix)),
                    Unsaved::Progress if now >= j.unsaved_since_ms + patience => Some((3, *ix)),
                    _ => None,
                }
            })
            .collect();
        picked.sort_unstable();
        let hosts_at = picked.partition_point(|p| p.0 < 3);
        let mut commit = Commit { guards: vec![wire::guard(&self.part_key, self.part_version)], apply: Vec::new() };
        let mut saved = Vec::new();
        let mut bytes = 0;
        let most = (self.value_bytes / 2 / RANGE_BYTES).max(1);
        let jobs =
            |me: &mut Part, range: &[(u8, JobIx)], commit: &mut Commit, saved: &mut Vec<Saved>, bytes: &mut usize| {
                for (_, ix) in range {
                    if commit.apply.len() >= ops || *bytes > COMMIT_BYTES {
                        break;
                    }
                    let job = &mut me.world.jobs[*ix];
                    let end = match job.unsaved {
                        Unsaved::End(e) => Some(e),
                        _ => None,
                    };
                    let key = job_key(&job.spec.id);
                    let Ok(value) = serde_json::to_value(JobRecord::of(job, end, most)) else { continue };
                    *bytes += value.to_string().len() + 2 * key.len() + 64;
                    if *bytes > COMMIT_BYTES && !commit.apply.is_empty() {
                        break;
                    }
                    commit.guards.push(wire::guard(&key, job.version));
                    commit.apply.push(wire::put(&key, &value, None));
                    saved.push(Saved::Job(*ix, job.unsaved));
                    job.saving = true;
                    job.unsaved = Unsaved::Nothing;
                    me.dirty.remove(ix);
                }
            };
        jobs(self, &picked[..hosts_at], &mut commit, &mut saved, &mut bytes);
        for hix in self.new_hosts.clone() {
            if commit.apply.len() >= ops {
                break;
            }
            self.new_hosts.remove(&hix);
            let Some(h) = self.world.host(hix) else { continue };
            let flavor = h.flavor.map_or(String::new(), |f| self.world.flavors[f].name.clone());
            let part = h.giving.unwrap_or(self.id);
            let record = HostRecord { addr: h.addr, flavor, zone: h.zone.clone(), spot: h.spot, part };
            let Ok(value) = serde_json::to_value(record) else { continue };
            commit.apply.push(wire::put(&host_key(&h.id), &value, None));
            saved.push(h.giving.map_or(Saved::Host(hix), |to| Saved::Given(hix, to)));
        }
        jobs(self, &picked[hosts_at..], &mut commit, &mut saved, &mut bytes);
        while commit.apply.len() < ops {
            let Some(key) = self.gone_keys.pop_first() else { break };
            commit.apply.push(wire::delete(&key));
            saved.push(Saved::KeyGone(key));
        }
        if commit.apply.is_empty() {
            return None;
        }
        self.in_flight = Some(saved);
        Some(commit)
    }

    pub fn committing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Takes the result of the commit under way; returns the keys of jobs
    /// whose records must be read again, or `Err` if the part is lost.
    pub fn committed(&mut self, result: CommitResult) -> Result<Vec<String>, Superseded> {
        let saved = self.in_flight.take().unwrap_or_default();
        let mut reread = Vec::new();
        match result {
            CommitResult::Done { revision } => {
                for s in saved {
                    match s {
                        Saved::Job(ix, what) => self.job_saved(ix, what, revision),
                        Saved::Host(hix) => {
                            if let Some(h) = self.world.host_mut(hix) {
                                h.registered = true;
                                self.stirred = true;
                            }
                        }
                        Saved::Given(hix, to) => {
                            if let Some(h) = self.world.remove_host(hix) {
                                tracing::info!(host = h.id, to, "machine given to another part");
                                self.elsewhere.insert(h.id, to);
                            }
                        }
                        Saved::KeyGone(_) => {}
                    }
                }
                return Ok(reread);
            }
            CommitResult::Conflict { failed } => {
                if failed.contains(&self.part_key) {
                    return Err(Superseded);
                }
                reread = failed.into_iter().filter(|k| k.starts_with("job/")).collect();
            }
            CommitResult::Refused | CommitResult::Unclear => {}
        }
        for s in saved {
            match s {
                Saved::Job(ix, what) => {
                    let job = &mut self.world.jobs[ix];
                    job.saving = false;
                    // What came meanwhile weighs more, except against a creation or an end.
                    if !matches!(job.unsaved, Unsaved::End(_)) || matches!(what, Unsaved::End(_)) {
                        job.unsaved = what;
                    }
                    self.dirty.insert(ix);
                }
                Saved::Host(hix) | Saved::Given(hix, _) => {
                    self.new_hosts.insert(hix);
                }
                Saved::KeyGone(key) => {
                    self.gone_keys.insert(key);
                }
            }
        }
        Ok(reread)
    }

    fn job_saved(&mut self, ix: JobIx, what: Unsaved, version: u64) {
        let job = &mut self.world.jobs[ix];
        job.saving = false;
        job.version = version;
        match what {
            Unsaved::End(end) => self.ended(ix, end),
            Unsaved::Creation => {
                self.stirred = true;
                let spec = &job.spec;
                tracing::debug!(
                    job = spec.id,
                    class = spec.class,
                    team = spec.team,
                    tasks = spec.tasks,
                    expected_s = spec.expected_s,
                    due_s = spec.due_s.unwrap_or(0.0),
                    "accepted"
                );
                let answer = self.accepted(ix, true);
                self.answer(ix, &answer);
            }
            _ => {}
        }
    }

    /// The job's record says that it is over.
    fn ended(&mut self, ix: JobIx, end: JobEnd) {
        let job = &mut self.world.jobs[ix];
        job.end = Some(end);
        job.unsaved = Unsaved::Nothing;
        job.retire();
        self.dirty.remove(&ix);
        self.world.live.retain(|l| *l != ix);
        self.stop_all(ix);
        let answer = self.status_of(ix);
        self.answer(ix, &answer);
        self.stirred = true;
    }

    fn answer(&mut self, ix: JobIx, answer: &UserAnswer) {
        for w in self.waiters.remove(&ix).unwrap_or_default() {
            let _ = w.send(answer.clone());
        }
    }

    /// A record as read again after a conflict: what it holds is true, what it
    /// lacks stays to be written.
    pub fn reread(&mut self, item: Item) {
        let Some(&ix) = item.key.strip_prefix("job/").and_then(|id| self.world.job_ix.get(id)) else { return };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else { return };
        let job = &mut self.world.jobs[ix];
        let created = job.version == 0;
        job.version = item.version;
        if let Some(end) = record.end {
            if job.end.is_none() {
                self.ended(ix, end);
            }
            return;
        }
        if created {
            if job.unsaved == Unsaved::Creation {
                job.unsaved = Unsaved::Nothing;
                self.dirty.remove(&ix);
            }
            // Known already, maybe by our own commit whose answer was lost.
            job.accepted_ms = record.accepted_ms;
            self.stirred = true;
            let answer = self.accepted(ix, false);
            self.answer(ix, &answer);
        }
    }

    // ---- reports ----

    /// Does this part take the machine's reports?
    pub fn belongs(&mut self, r: &Report) -> Belongs {
        if self.world.host_ix.contains_key(&r.host) || self.released.contains(&r.host) {
            // A worker drops what carries a lower token than it has seen: a
            // higher term first.
            if let Some(h) = self.world.host_ix.get(&r.host).copied().and_then(|ix| self.world.host_mut(ix)) {
                h.fence = h.fence.max(r.fence);
            }
            return if r.fence > self.term { Belongs::NotYet } else { Belongs::Mine };
        }
        if self.id == 0 && !self.elsewhere.contains_key(&r.host) {
            return if r.fence > self.term { Belongs::NotYet } else { Belongs::Mine };
        }
        self.recheck.insert(r.host.clone());
        match self.elsewhere.get(&r.host) {
            Some(p) => Belongs::Elsewhere(*p),
            None => Belongs::Unknown,
        }
    }

    /// What the registry says now of a machine that reported here.
    pub fn rechecked(&mut self, id: &str, record: Option<HostRecord>, now: u64) {
        match record {
            Some(r) if r.part == self.id => {
                self.elsewhere.remove(id);
                if !self.world.host_ix.contains_key(id) {
                    // The giver made sure that nothing is left on it.
                    let term = self.term;
                    let hix = self.add_registered(id.to_string(), r, now);
                    if let Some(h) = self.world.host_mut(hix) {
                        h.accounted = true;
                        h.min_fence = term;
                        tracing::info!(host = h.id, "machine joins this part");
                    }
                }
            }
            Some(r) => {
                self.elsewhere.insert(id.to_string(), r.part);
            }
            None => {
                self.elsewhere.remove(id);
            }
        }
    }

    /// Gives a free machine to another part; false if it is not free.
    pub fn give(&mut self, id: &str, to: u32) -> bool {
        let Some(&hix) = self.world.host_ix.get(id) else { return false };
        let Some(h) = self.world.host_mut(hix) else { return false };
        let free = h.copies.is_empty() && h.claims.is_empty() && !h.do_in_flight && !h.strays;
        if !free || !h.registered || !h.accounted || h.releasing || h.notice || h.giving.is_some() {
            return false;
        }
        h.giving = Some(to);
        self.new_hosts.insert(hix);
        true
    }

    /// Takes a report and returns the orders of its reply.
    pub fn report(&mut self, r: &Report, via: Via, now: u64) -> Vec<Order> {
        if self.released.contains(&r.host) {
            return Vec::new();
        }
        let hix = match self.world.host_ix.get(&r.host) {
            Some(&hix) => hix,
            None => {
                let flavor = self.world.flavor(&r.flavor);
                let mut h = Host::new(r.host.clone(), r.zone.clone(), r.spot, flavor, now);
                // Not in the registry: no holder before us placed anything on it.
                h.accounted = true;
                // Rented for another part: it is given away once it is registered.
                h.giving = self.destined.remove(&r.host).filter(|p| *p != self.id);
                let hix = self.world.add_host(h);
                self.new_hosts.insert(hix);
                tracing::info!(host = r.host, flavor = r.flavor, zone = r.zone, spot = r.spot, "machine is up");
                hix
            }
        };
        let flavor = self.world.flavor(&r.flavor);
        let Some(h) = self.world.host_mut(hix) else { return Vec::new() };
        if via == Via::Beat {
            h.answered_ms = now;
        }
        // Late copies of older reports change nothing.
        if (r.tenure, r.serial) <= (h.tenure, h.serial) {
            return Vec::new();
        }
        if r.tenure > h.tenure && h.tenure > 0 {
            tracing::info!(host = h.id, tenure = r.tenure, "machine lost its lease");
            self.lose_all(hix);
        }
        let term = self.term;
        let Some(h) = self.world.host_mut(hix) else { return Vec::new() };
        if r.tenure > h.tenure {
            // A session's lease counts from its beginning, whenever we answered.
            h.answered_ms = h.answered_ms.max(now);
        }
        h.tenure = r.tenure;
        h.serial = r.serial;
        h.fence = h.fence.max(r.fence);
        h.addr = Some(r.addr);
        h.flavor = flavor;
        h.heard_ms = now;
        h.probed_ms = 0;
        h.deaf = false;
        if r.warning_s.is_some() && !h.notice {
            h.notice = true;
            tracing::info!(host = h.id, "machine will be taken back");
        }
        // A worker that has seen a higher token refuses older direct commands.
        for c in &mut h.copies {
            if c.risk.is_some_and(|t| r.fence > t) {
                c.risk = None;
            }
        }
        if !h.accounted && r.fence >= term {
            h.accounted = true;
            self.recount();
        }
        let mut orders = Vec::new();
        self.reported_tasks(hix, r, &mut orders, now);
        self.missing_tasks(hix, r, via);
        if via == Via::Beat {
            self.orders_for(hix, &mut orders);
        }
        if let Some(h) = self.world.host_mut(hix) {
            if !h.copies.is_empty() {
                h.idle_since_ms = now;
            }
            if !h.accounted && via == Via::Beat {
                self.kick.insert(hix);
            }
        }
        orders
    }

    fn reported_tasks(&mut self, hix: HostIx, r: &Report, orders: &mut Vec<Order>, now: u64) {
        let mut strays = false;
        for t in &r.tasks {
            let Some((job, n)) = t.key() else { continue };
            let Some(&ix) = self.world.job_ix.get(job).filter(|ix| n < self.world.jobs[**ix].spec.tasks) else {
                // No such job: whatever it is must go.
                strays = true;
                if matches!(t.phase(), TaskPhase::Ended(_)) {
                    orders.push(Order::Reap { task: t.task.clone(), attempt: t.attempt });
                } else {
                    orders.push(Order::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
                }
                continue;
            };
            let key = TaskKey { job: ix, task: n };
            let known = self.world.host_mut(hix).and_then(|h| h.copy_mut(key, t.attempt)).map(|c| c.phase);
            let before = match known {
                Some(phase) => phase,
                None => {
                    self.adopt(hix, key, t.attempt, t.phase(), now);
                    TaskPhase::Sent
                }
            };
            self.phase_seen(hix, key, t.attempt, before, t.phase(), now);
        }
        if let Some(h) = self.world.host_mut(hix) {
            if h.strays && !strays {
                self.stirred = true;
            }
            h.strays = strays;
        }
    }

    /// A copy that we did not start: an earlier holder did, or a late order.
    fn adopt(&mut self, hix: HostIx, key: TaskKey, attempt: u64, phase: TaskPhase, now: u64) {
        let job = &mut self.world.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        let ended = matches!(phase, TaskPhase::Ended(_));
        let mut wanted = job.end.is_none() && !ended && task.place == Place::Idle;
        if wanted && job.spec.shape == Shape::Gang {
            if attempt > job.gang_attempt {
                job.gang_attempt = attempt;
            }
            wanted = attempt == job.gang_attempt;
        }
        if wanted {
            job.tasks[key.task as usize].place = Place::On(hix, attempt);
        }
        let spec = &self.world.jobs[key.job].spec;
        let (image, gb, demand) = (spec.image.clone(), spec.image_gb, spec.demand);
        let cache = self.world.host(hix).and_then(|h| h.flavor).map_or(0.0, |f| self.world.flavors[f].cache_gb);
        if let Some(h) = self.world.host_mut(hix) {
            h.use_image(&image, gb, cache, now);
            let stop = (!wanted && !ended).then_some(0.0);
            h.copies.push(Copy { stop, ..Copy::sent(key, attempt, demand, now) });
        }
    }

    fn phase_seen(&mut self, hix: HostIx, key: TaskKey, attempt: u64, before: TaskPhase, phase: TaskPhase, now: u64) {
        let image = self.world.jobs[key.job].spec.image.clone();
        let Some(h) = self.world.host_mut(hix) else { return };
        let Some(c) = h.copy_mut(key, attempt) else { return };
        c.phase = phase;
        let since = c.since_ms;
        match phase {
            TaskPhase::Gathering | TaskPhase::Running => {
                h.image_ready(&image);
                if before != phase && phase == TaskPhase::Running {
                    let (class, waited) = {
                        let j = &self.world.jobs[key.job];
                        (j.spec.class.clone(), now.saturating_sub(since))
                    };
                    tracing::debug!(
                        job = self.world.jobs[key.job].spec.id,
                        class,
                        task = key.task,
                        attempt,
                        after_order = waited,
                        "running"
                    );
                    self.metrics.observe("start_after_order_ms", &class, waited);
                }
            }
            TaskPhase::Ended(reason) if before != phase => self.copy_ended(hix, key, attempt, reason, now),
            _ => {}
        }
    }

    fn copy_ended(&mut self, hix: HostIx, key: TaskKey, attempt: u64, reason: ExitReason, now: u64) {
        self.stirred = true;
        let report_ms = self.policy.report_ms;
        let hosts = self.world.hosts.len();
        let job = &mut self.world.jobs[key.job];
        tracing::debug!(job = job.spec.id, task = key.task, attempt, reason = ?reason, "task ended");
        let shape = job.spec.shape;
        if reason == ExitReason::Done && shape != Shape::Service {
            // The tasks of a gang complete together.
            let done: Vec<u32> = if shape == Shape::Gang { (0..job.spec.tasks).collect() } else { vec![key.task] };
            self.tasks_done(key.job, &done, now);
            if let Some(h) = self.world.host_mut(hix) {
                h.failed_jobs.clear();
            }
            return;
        }
        let task = &mut job.tasks[key.task as usize];
        if task.place != Place::On(hix, attempt) {
            return;
        }
        task.place = Place::Idle;
        match reason {
            ExitReason::Error | ExitReason::NoSuch => {
                task.fails = task.fails.saturating_add(1);
                if task.fails >= 2 {
                    // Fails wherever it runs: ever longer pauses, so that it
                    // doesn't retake room in each pass.
                    task.retry_ms = now + report_ms * (1 << task.fails.min(6));
                }
                if reason == ExitReason::Error {
                    job.failed_on.insert(hix);
                    let blames_job = job.failed_on.len() > 1 || hosts == 1;
                    for h in self.world.hosts.iter_mut().flatten() {
                        if blames_job {
                            h.failed_jobs.remove(&key.job);
                        }
                    }
                    if !blames_job && let Some(h) = self.world.host_mut(hix) {
                        h.failed_jobs.insert(key.job);
                    }
                }
            }
            ExitReason::NoRoom | ExitReason::InUse => {
                if let Some(h) = self.world.host_mut(hix) {
                    h.blocked_until_ms = now + 2 * report_ms;
                }
            }
            _ => {}
        }
        if shape == Shape::Gang {
            self.stop_all(key.job);
        }
    }

    fn tasks_done(&mut self, ix: JobIx, tasks: &[u32], now: u64) {
        let job = &mut self.world.jobs[ix];
        let mut new = 0;
        for t in tasks {
            let task = &mut job.tasks[*t as usize];
            if task.place != Place::Done {
                task.place = Place::Done;
                new += 1;
            }
        }
        if new == 0 || job.end.is_some() {
            return;
        }
        job.done += new;
        if job.done >= job.spec.tasks {
            // A cancellation that is on its way goes first; else the job is done.
            if !matches!(job.unsaved, Unsaved::End(_)) {
                job.unsaved = Unsaved::End(JobEnd::Done);
            }
        } else if job.unsaved == Unsaved::Nothing {
            job.unsaved = Unsaved::Progress;
            job.unsaved_since_ms = now;
        }
        self.dirty.insert(ix);
        // Another copy of a task that is done has nothing left to do.
        if job.spec.shape == Shape::Batch {
            for h in self.world.hosts.iter_mut().flatten() {
                for c in h.copies.iter_mut().filter(|c| c.key.job == ix && tasks.contains(&c.key.task)) {
                    if !c.ended() && c.stop.is_none() {
                        c.stop = Some(0.0);
                    }
                }
            }
        }
    }

    /// Stops all copies of a job at once: it is over, or a gang that lost a
    /// task, whose rest must go before the next attempt.
    fn stop_all(&mut self, ix: JobIx) {
        for (hix, h) in self.world.hosts.iter_mut().enumerate() {
            let Some(h) = h else { continue };
            for c in h.copies.iter_mut().filter(|c| c.key.job == ix && !c.ended()) {
                if c.stop.is_none_or(|g| g > 0.0) {
                    c.stop = Some(0.0);
                    self.kick.insert(hix);
                }
            }
        }
    }

    /// Copies that we know of and the report does not.
    fn missing_tasks(&mut self, hix: HostIx, r: &Report, via: Via) {
        let Some(h) = self.world.host(hix) else { return };
        let listed: HashSet<(&str, u64)> = r.tasks.iter().map(|t| (t.task.as_str(), t.attempt)).collect();
        let gone: Vec<(TaskKey, u64)> = h
            .copies
            .iter()
            .filter(|c| {
                let name = format!("{}/{}", self.world.jobs[c.key.job].spec.id, c.key.task);
                if listed.contains(&(name.as_str(), c.attempt)) {
                    return false;
                }
                match c.phase {
                    // Its `run` may still come: from a direct command that had
                    // no answer, or from a reply that is not over yet.
                    TaskPhase::Sent => c.stop.is_some() && via == Via::Beat && c.risk.is_none() && !c.in_flight,
                    _ => true,
                }
            })
            .map(|c| (c.key, c.attempt))
            .collect();
        for (key, attempt) in gone {
            self.lose(hix, key, attempt);
        }
    }

    /// The copy is certainly not on the machine any more.
    fn lose(&mut self, hix: HostIx, key: TaskKey, attempt: u64) {
        let Some(h) = self.world.host_mut(hix) else { return };
        let ended = h.copy_mut(key, attempt).is_some_and(|c| c.ended());
        h.copies.retain(|c| c.key != key || c.attempt != attempt);
        self.stirred = true;
        self.copy_lost(hix, key, attempt, ended);
    }

    fn copy_lost(&mut self, hix: HostIx, key: TaskKey, attempt: u64, ended: bool) {
        let job = &mut self.world.jobs[key.job];
        let task = &mut job.tasks[key.task as usize];
        if task.place == Place::On(hix, attempt) {
            task.place = Place::Idle;
            self.metrics.count("tasks_lost", &job.spec.class);
            if !ended && job.spec.shape == Shape::Gang {
                self.stop_all(key.job);
            }
        }
    }

    /// All copies are gone: the machine, or its lease, ended.
    fn lose_all(&mut self, hix: HostIx) {
        let Some(h) = self.world.host_mut(hix) else { return };
        let copies = std::mem::take(&mut h.copies);
        h.strays = false;
        for c in copies {
            self.copy_lost(hix, c.key, c.attempt, c.ended());
        }
        self.stirred = true;
    }

    /// The orders of a reply: everything that the worker should have done and,
    /// by its report, has not.
    fn orders_for(&mut self, hix: HostIx, orders: &mut Vec<Order>) {
        let Some(h) = self.world.host(hix) else { return };
        for c in &h.copies {
            if orders.len() >= REPLY_ORDERS {
                break;
            }
            let job = &self.world.jobs[c.key.job];
            let id = &job.spec.id;
            match (c.phase, c.stop) {
                (TaskPhase::Ended(reason), _) => {
                    let safe = reason != ExitReason::Done
                        || job.end.is_some()
                        || (job.unsaved == Unsaved::Nothing && !job.saving);
                    if safe && c.risk.is_none() && !c.in_flight {
                        orders.push(Order::reap(id, c));
                    }
                }
                (TaskPhase::Saving, Some(grace)) if grace > 0.0 => {}
                (_, Some(grace)) => orders.push(Order::stop(id, c, grace)),
                (TaskPhase::Sent, None) => orders.push(Order::run(id, c)),
                _ => {}
            }
        }
    }

    // ---- direct commands ----

    /// The direct command that a machine is due, if any.
    pub fn direct(&mut self, hix: HostIx, now: u64, probe: bool) -> Option<Direct> {
        let term = self.term;
        let h = self.world.hosts.get_mut(hix)?.as_mut()?;
        let addr = h.addr?;
        if h.do_in_flight || now < h.do_after_ms {
            return None;
        }
        // A machine that is not accounted for is shown our token, and its tasks
        // are read from the answer. Its tenure may not be known yet: then the
        // answer tells it.
        let probe = probe || !h.accounted;
        let mut orders = Vec::new();
        for c in h.copies.iter_mut().filter(|_| h.accounted) {
            let id = &self.world.jobs[c.key.job].spec.id;
            match (c.phase, c.stop) {
                (TaskPhase::Ended(_), _) => {}
                (TaskPhase::Saving, Some(grace)) if grace > 0.0 => {}
                (_, Some(grace)) => orders.push(Order::stop(id, c, grace)),
                (TaskPhase::Sent, None) => {
                    orders.push(Order::run(id, c));
                    c.in_flight = true;
                }
                _ => {}
            }
            if orders.len() >= REPLY_ORDERS {
                break;
            }
        }
        if orders.is_empty() && !probe {
            return None;
        }
        h.do_in_flight = true;
        Some(Direct { host: hix, id: h.id.clone(), addr, term, tenure: h.tenure, orders })
    }

    pub fn direct_done(&mut self, d: &Direct, result: DirectResult, now: u64) {
        let retry = now + self.policy.report_ms;
        let Some(h) = self.world.host_mut(d.host).filter(|h| h.id == d.id) else { return };
        h.do_in_flight = false;
        for c in h.copies.iter_mut().filter(|c| c.in_flight) {
            c.in_flight = false;
            if matches!(result, DirectResult::Unclear) {
                // It may be carried out minutes later.
                c.risk = Some(c.risk.unwrap_or(0).max(d.term));
            }
        }
        match result {
            DirectResult::Answered(r) => {
                if r.host == d.id {
                    self.report(&r, Via::Direct, now);
                }
                let again = |h: &Host| !h.accounted || h.copies.iter().any(|c| c.phase == TaskPhase::Sent);
                if self.world.host(d.host).is_some_and(again) {
                    self.kick.insert(d.host);
                }
            }
            DirectResult::NotSent | DirectResult::Unclear => {
                h.do_after_ms = retry;
                h.deaf = true;
            }
        }
    }

    /// True if a copy can only be settled by a higher token.
    pub fn needs_new_term(&self) -> bool {
        self.world.each_host().any(|(_, h)| h.fence > self.term)
            || self.world.each_host().any(|(_, h)| {
                h.copies.iter().any(|c| c.risk.is_some_and(|t| t >= self.term) && (c.stop.is_some() || c.ended()))
            })
    }

    // ---- decisions ----

    /// One pass; the machines with new orders are in `kick`.
    pub fn pass(&mut self, now: u64, wall: u64) {
        self.stirred = false;
        let next = &mut self.next_attempt;
        let out = sched::pass(&mut self.world, &self.policy, now, wall, || {
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
        self.unplaced = out.unplaced;
        if !self.unplaced.is_empty() {
            self.undrain();
        }
    }

    /// Looks after silent machines; returns those to be released, and those to
    /// be asked directly.
    pub fn upkeep(&mut self, now: u64) -> (Vec<String>, Vec<HostIx>) {
        let report = self.policy.report_ms;
        let lease = self.policy.lease_ms;
        // After a stall of our own, the silence may be ours.
        let stalled = now.saturating_sub(self.last_upkeep_ms) > report;
        self.last_upkeep_ms = now;
        let outlived = (lease as f64 * (1.0 + DRIFT)) as u64 + report / 2;
        let mut lapsed = Vec::new();
        let mut silent = Vec::new();
        let mut probe = Vec::new();
        let (mut total, mut quieter) = (0, 0);
        for (hix, h) in self.world.each_host() {
            if h.releasing {
                continue;
            }
            if now > h.answered_ms + outlived && (!h.copies.is_empty() || !h.accounted) {
                lapsed.push(hix);
            }
            let quiet = now.saturating_sub(h.heard_ms);
            total += 1;
            quieter += usize::from(quiet > 2 * report);
            // One that has not found us yet may be on its way from node to node.
            let limit = match (h.tenure, h.deaf) {
                (0, false) => lease * 7 / 10,
                (_, true) => 3 * report,
                (_, false) => 4 * report,
            };
            if quiet > limit {
                silent.push((hix, h.id.clone()));
            } else if h.probed_ms == 0 && quiet > if h.tenure == 0 { report } else { 2 * report } {
                probe.push(hix);
            }
        }
        for hix in lapsed {
            self.lose_all(hix);
            if let Some(h) = self.world.host_mut(hix) {
                tracing::info!(host = h.id, "lease surely outlived");
                h.accounted = true;
            }
            self.recount();
        }
        for hix in &probe {
            if let Some(h) = self.world.host_mut(*hix) {
                h.probed_ms = now;
            }
        }
        let mut release = Vec::new();
        // Many machines that fall silent together: it is rather we who are cut
        // off. The first of them must not be released before the rest shows it.
        if !stalled && quieter * 3 <= total.max(3) {
            for (hix, id) in silent {
                if let Some(h) = self.world.host_mut(hix) {
                    h.releasing = true;
                    tracing::info!(host = id, "machine is silent, releasing it");
                }
                release.push(id);
            }
        }
        (release, probe)
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

    /// True if most machines that were heard before are silent at once: then it
    /// is this node that is cut off from them, and another may not be.
    pub fn cut_off(&self, now: u64) -> bool {
        let known = self.world.each_host().filter(|(_, h)| h.tenure > 0 && !h.releasing);
        let (mut all, mut silent) = (0, 0);
        for (_, h) in known {
            all += 1;
            silent += usize::from(now.saturating_sub(h.heard_ms) > self.policy.report_ms * 5 / 2);
        }
        all >= 3 && silent * 3 >= all * 2
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{Operator, tests::settings};
    use crate::wire::reported;
    use serde_json::json;
    use tokio::sync::oneshot;

    const LEASE: u64 = 10_000;

    fn flavor() -> Flavor {
        Flavor {
            name: "g8".into(),
            cap: Demand { cpus: 32.0, gpus: 8.0, mem: 256.0 },
            cache_gb: 200.0,
            fetch_gb_per_s: 1.0,
            price: 10.0,
            spot_price: 4.0,
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        }
    }

    fn part_of(term: u64, jobs: Vec<Item>, hosts: Vec<Item>) -> Part {
        let s = settings();
        let policy = Policy::new(&s, &Operator::default(), 0);
        let mut p = Part::new(policy, 0, s.parts_of_teams(1), 32, 32.0);
        p.begin(term, 77, jobs, hosts, vec![flavor()], 1000);
        p
    }

    fn part() -> Part {
        part_of(1, vec![], vec![])
    }

    fn report(host: &str, tenure: u64, serial: u64, fence: u64, tasks: Vec<wire::ReportedTask>) -> Report {
        let mut r: Report = serde_json::from_value(json!({"host": host, "addr": "10.1.0.1:9000", "flavor": "g8",
            "region": "a", "tenure": tenure, "serial": serial, "fence": fence}))
        .unwrap();
        r.tasks = tasks;
        r
    }

    fn body(id: &str, shape: &str, tasks: u32) -> Vec<u8> {
        json!({"id": id, "jobclass": "chat", "owner": "red", "shape": shape, "urgency": "standard", "shards": tasks,
            "cores": 2.0, "cards": 1.0, "mem_gb": 8.0, "bundle": "i", "size_gb": 1.0, "flavors": null, "region": null,
            "same_place": false, "apart": false, "preemptible": false, "expected_s": 10.0,
            "checkpoint_every_s": 0.0, "flush_s": 0.0, "due_s": null})
        .to_string()
        .into_bytes()
    }

    fn submit(p: &mut Part, b: &[u8], now: u64) -> oneshot::Receiver<UserAnswer> {
        let (tx, rx) = oneshot::channel();
        p.submit(b, now, now, tx);
        rx
    }

    fn commit(p: &mut Part, now: u64, revision: u64) {
        assert!(p.next_commit(now, 32).is_some());
        assert_eq!(p.committed(CommitResult::Done { revision }), Ok(vec![]));
    }

    /// A part with one machine in use and one accepted job, placed.
    fn running(shape: &str, tasks: u32) -> Part {
        let mut p = part();
        p.report(&report("h1", 1, 1, 1, vec![]), Via::Beat, 1000);
        let _rx = submit(&mut p, &body("run-000001", shape, tasks), 1000);
        commit(&mut p, 1000, 100);
        p.pass(1001, 1001);
        assert_eq!(p.kick.len(), 1);
        p
    }

    fn attempt(p: &Part, n: usize) -> u64 {
        p.world.host(0).unwrap().copies[n].attempt
    }

    fn runs(orders: &[Order]) -> usize {
        orders.iter().filter(|o| matches!(o, Order::Run { .. })).count()
    }

    fn reaps(orders: &[Order]) -> usize {
        orders.iter().filter(|o| matches!(o, Order::Reap { .. })).count()
    }

    #[test]
    fn a_job_is_accepted_after_its_commit_and_known_ever_after() {
        let mut p = part();
        let mut rx = submit(&mut p, &body("run-000001", "batch", 2), 1000);
        assert!(rx.try_recv().is_err(), "nothing is said before the commit");
        assert!(matches!(p.status("run-000001"), UserAnswer::Later(_)));
        commit(&mut p, 1000, 100);
        assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { created: true, .. })));
        // A retry is answered even if its content would be refused now.
        let mut rx = submit(&mut p, br#"{"id":"run-000001"}"#, 1000);
        assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { created: false, .. })));
        let mut rx = submit(&mut p, br#"{"id":"run-000002"}"#, 1000);
        assert!(matches!(rx.try_recv(), Ok(UserAnswer::Malformed(_))));
        assert_eq!(p.status("run-000009"), UserAnswer::Unknown);
    }

    #[test]
    fn a_job_that_another_node_accepted_is_placed_and_its_notice_deleted() {
        let mut p = part();
        p.report(&report("h1", 1, 1, 1, vec![]), Via::Beat, 1000);
        commit(&mut p, 1000, 99);
        let spec = wire::parse_submission(&body("run-000005", "batch", 1)).unwrap();
        let record = JobRecord { spec, accepted_ms: 900, end: None, done: vec![] };
        let value = serde_json::to_value(record).unwrap();
        for _ in 0..2 {
            p.adopt_job(Item { key: "job/run-000005".into(), value: value.clone(), version: 50 }, 1000);
        }
        p.pass(1000, 1000);
        assert_eq!((p.kick.len(), p.world.jobs.len()), (1, 1));
        let c = p.next_commit(1000, 32).unwrap();
        assert_eq!(c.apply, [wire::delete("in/0/run-000005")]);
    }

    #[test]
    fn an_unclear_creation_is_written_again_and_found() {
        let mut p = part();
        let mut rx = submit(&mut p, &body("run-000001", "batch", 2), 1000);
        let first = p.next_commit(1000, 32).unwrap();
        p.committed(CommitResult::Unclear).unwrap();
        assert!(rx.try_recv().is_err());
        p.next_commit(1100, 32).unwrap();
        let keys = p.committed(CommitResult::Conflict { failed: vec!["job/run-000001".into()] }).unwrap();
        assert_eq!(keys, ["job/run-000001"]);
        let value = first.apply[0]["data"].clone();
        p.reread(Item { key: "job/run-000001".into(), value, version: 99 });
        assert!(matches!(rx.try_recv(), Ok(UserAnswer::Accepted { .. })));
        assert!(p.next_commit(1200, 32).is_none(), "nothing is left to write");
    }

    #[test]
    fn a_superseded_holder_learns_it_from_its_commit() {
        let mut p = part();
        let _rx = submit(&mut p, &body("run-000001", "batch", 2), 1000);
        let c = p.next_commit(1000, 32).unwrap();
        assert_eq!(c.guards[0], wire::guard("part/0", 77), "every commit guards on the part's key");
        assert_eq!(p.committed(CommitResult::Conflict { failed: vec!["part/0".into()] }), Err(Superseded));
    }

    #[test]
    fn a_machine_is_used_once_it_is_registered() {
        let mut p = part();
        let _rx = submit(&mut p, &body("run-000001", "batch", 2), 1000);
        p.report(&report("h1", 1, 1, 1, vec![]), Via::Beat, 1000);
        p.pass(1000, 1000);
        assert!(p.kick.is_empty());
        commit(&mut p, 1000, 100);
        p.pass(1001, 1001);
        assert_eq!(p.kick.len(), 1);
    }

    #[test]
    fn done_is_said_after_its_commit_and_reaped_then() {
        let mut p = running("batch", 1);
        let a = attempt(&p, 0);
        let done = || vec![reported("run-000001/0", a, "ended", Some("done"))];
        assert_eq!(reaps(&p.report(&report("h1", 1, 2, 1, done()), Via::Beat, 1100)), 0);
        assert!(matches!(p.status("run-000001"), UserAnswer::Status { phase: JobPhase::Pending, .. }));
        commit(&mut p, 1100, 101);
        assert!(matches!(p.status("run-000001"), UserAnswer::Status { phase: JobPhase::Done, done: 1, .. }));
        assert_eq!(reaps(&p.report(&report("h1", 1, 3, 1, done()), Via::Beat, 1200)), 1);
        // It is over: a cancellation that comes now changes nothing.
        let (tx, mut rx) = oneshot::channel();
        p.cancel("run-000001", tx);
        assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Done, .. })));
    }

    #[test]
    fn a_cancellation_stops_every_copy() {
        let mut p = running("service", 2);
        let (tx, mut rx) = oneshot::channel();
        p.cancel("run-000001", tx);
        assert!(rx.try_recv().is_err());
        commit(&mut p, 1100, 101);
        assert!(matches!(rx.try_recv(), Ok(UserAnswer::Status { phase: JobPhase::Cancelled, .. })));
        let d = p.direct(0, 1100, false).unwrap();
        assert!(d.orders.iter().all(|o| matches!(o, Order::Stop { .. })) && d.orders.len() == 2);
        p.pass(1200, 1200);
        assert_eq!(runs(&p.report(&report("h1", 1, 2, 1, vec![]), Via::Direct, 1200)), 0);
    }

    #[test]
    fn a_direct_command_without_an_answer_binds_its_tasks_until_a_higher_token() {
        let mut p = running("service", 1);
        let d = p.direct(0, 1001, false).unwrap();
        p.direct_done(&d, DirectResult::Unclear, 2000);
        // The machine does not list it, and it may still come.
        let orders = p.report(&report("h1", 1, 2, 1, vec![]), Via::Beat, 2100);
        assert_eq!(runs(&orders), 1, "the same attempt, again");
        assert!(!p.needs_new_term());
        let (tx, _rx) = oneshot::channel();
        p.cancel("run-000001", tx);
        commit(&mut p, 2200, 101);
        assert!(p.needs_new_term());
        p.report(&report("h1", 1, 3, 1, vec![]), Via::Beat, 2300);
        assert_eq!(p.world.host(0).unwrap().copies.len(), 1);
        p.set_term(2, 78);
        p.report(&report("h1", 1, 4, 2, vec![]), Via::Beat, 2400);
        assert!(p.world.host(0).unwrap().copies.is_empty());
    }

    #[test]
    fn an_ended_attempt_is_not_reaped_while_its_run_may_come() {
        let mut p = running("service", 1);
        let a = attempt(&p, 0);
        let d = p.direct(0, 1001, false).unwrap();
        let ended = || vec![reported("run-000001/0", a, "ended", Some("error"))];
        assert_eq!(reaps(&p.report(&report("h1", 1, 2, 1, ended()), Via::Beat, 1100)), 0, "a command is under way");
        p.direct_done(&d, DirectResult::Unclear, 2000);
        assert_eq!(reaps(&p.report(&report("h1", 1, 3, 1, ended()), Via::Beat, 2100)), 0);
        p.set_term(2, 78);
        assert_eq!(reaps(&p.report(&report("h1", 1, 4, 2, ended()), Via::Beat, 2200)), 1);
    }

    #[test]
    fn late_copies_of_reports_change_nothing() {
        let mut p = running("service", 1);
        let a = attempt(&p, 0);
        let up = || vec![reported("run-000001/0", a, "running", None)];
        p.report(&report("h1", 1, 9, 1, up()), Via::Beat, 1100);
        p.report(&report("h1", 1, 3, 1, vec![]), Via::Beat, 1200);
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::On(0, a));
        // A new session has lost everything, whatever an old report says.
        p.report(&report("h1", 2, 10, 1, vec![]), Via::Beat, 1300);
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::Idle);
        p.report(&report("h1", 1, 11, 1, up()), Via::Beat, 1400);
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::Idle);
    }

    #[test]
    fn attempts_never_repeat_across_terms() {
        let mut p = running("batch", 3);
        let last = p.world.host(0).unwrap().copies.iter().map(|c| c.attempt).max().unwrap();
        p.set_term(2, 78);
        assert!(p.next_attempt > last);
    }

    fn items(p: &mut Part) -> (Vec<Item>, Vec<Item>) {
        let job = JobRecord::of(&p.world.jobs[0], None, 10);
        let host = HostRecord { addr: None, flavor: "g8".into(), zone: "a".into(), spot: false, part: 0 };
        let jobs = Item { key: "job/run-000001".into(), value: serde_json::to_value(job).unwrap(), version: 100 };
        let hosts = Item { key: "host/h1".into(), value: serde_json::to_value(host).unwrap(), version: 90 };
        (vec![jobs], vec![hosts])
    }

    #[test]
    fn a_takeover_places_nothing_before_every_machine_is_accounted_for() {
        let mut old = running("service", 1);
        let a = attempt(&old, 0);
        let (jobs, hosts) = items(&mut old);
        let mut p = part_of(5, jobs, hosts);
        // Another, new machine has room.
        p.report(&report("h2", 1, 1, 5, vec![]), Via::Beat, 1100);
        commit(&mut p, 1100, 101);
        p.pass(1100, 1100);
        assert!(p.kick.is_empty());
        // The first report is answered, but shows an older token: the old
        // holder's command may still come.
        let up = || vec![reported("run-000001/0", a, "running", None)];
        p.report(&report("h1", 1, 7, 1, vec![]), Via::Beat, 1200);
        p.kick.clear();
        p.pass(1200, 1200);
        assert!(p.kick.is_empty() && !p.world.all_accounted);
        p.report(&report("h1", 1, 8, 5, up()), Via::Beat, 1300);
        p.pass(1300, 1300);
        assert!(p.kick.is_empty() && p.world.all_accounted, "the task runs already");
        assert!(matches!(p.world.jobs[0].tasks[0].place, Place::On(_, n) if n == a));
    }

    #[test]
    fn a_takeover_goes_on_without_a_machine_that_outlived_its_lease_or_is_gone() {
        for gone in [true, false] {
            let mut old = running("service", 1);
            let (jobs, hosts) = items(&mut old);
            let mut p = part_of(5, jobs, hosts);
            p.upkeep(1000 + LEASE);
            assert!(!p.world.all_accounted, "its lease may still live");
            if gone {
                p.host_gone("h1");
            } else {
                p.upkeep(1000 + LEASE + 1000);
            }
            assert!(p.world.all_accounted);
        }
    }

    #[test]
    fn new_jobs_need_not_wait_for_unaccounted_machines() {
        let mut old = running("service", 1);
        let (jobs, hosts) = items(&mut old);
        let mut p = part_of(5, jobs, hosts);
        p.report(&report("h2", 1, 1, 5, vec![]), Via::Beat, 1100);
        let _rx = submit(&mut p, &body("run-000002", "service", 1), 1100);
        commit(&mut p, 1100, 101);
        p.pass(1100, 1100);
        assert!(p.world.jobs[1].tasks[0].place != Place::Idle);
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::Idle);
    }

    #[test]
    fn a_silent_machine_keeps_its_tasks_until_its_lease_or_release() {
        let mut p = running("service", 1);
        let a = attempt(&p, 0);
        p.report(&report("h1", 1, 2, 1, vec![reported("run-000001/0", a, "running", None)]), Via::Beat, 2000);
        let mut released = Vec::new();
        for now in (2000..=7000).step_by(250) {
            released.extend(p.upkeep(now).0);
        }
        assert_eq!(released, ["h1"], "a silent machine is released early");
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::On(0, a), "its tasks are there until the cloud confirms");
        p.host_gone("h1");
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::Idle);
        // What it still had to say comes too late.
        assert!(p.report(&report("h1", 1, 3, 1, vec![]), Via::Beat, 7200).is_empty());
        assert!(p.world.host_ix.is_empty());
    }

    // Found on a day with three parts: the machine was heard by direct commands
    // only, in a session that began after our last answer.
    #[test]
    fn a_new_sessions_lease_counts_from_its_beginning() {
        let mut p = running("service", 1);
        p.report(&report("h1", 2, 3, 1, vec![]), Via::Direct, 9000);
        p.pass(9001, 9001);
        let a = attempt(&p, 0);
        p.report(&report("h1", 2, 4, 1, vec![reported("run-000001/0", a, "running", None)]), Via::Direct, 9100);
        p.upkeep(1000 + LEASE + 1000);
        assert_eq!(p.world.jobs[0].tasks[0].place, Place::On(0, a));
    }

    #[test]
    fn many_silent_machines_at_once_are_not_released() {
        let mut p = part();
        for i in 0..6 {
            p.report(&report(&format!("h{i}"), 1, 1, 1, vec![]), Via::Beat, 1000);
        }
        // Some were last heard a little earlier than the rest.
        for i in 3..6 {
            p.report(&report(&format!("h{i}"), 1, 2, 1, vec![]), Via::Beat, 2900);
        }
        for now in (2900..=9000).step_by(250) {
            assert!(p.upkeep(now).0.is_empty());
        }
    }

    // Found on a day of cuts: the holder kept the part while no report reached
    // it, and every lease ran out.
    #[test]
    fn a_holder_that_hears_no_worker_any_more_is_cut_off() {
        let mut p = part();
        for i in 0..4 {
            p.report(&report(&format!("h{i}"), 1, 1, 1, vec![]), Via::Beat, 1000);
        }
        assert!(!p.cut_off(2500));
        assert!(p.cut_off(4000));
        for i in 0..2 {
            p.report(&report(&format!("h{i}"), 1, 2, 1, vec![]), Via::Beat, 3900);
        }
        assert!(!p.cut_off(4000), "only some are silent");
        let host = |i| HostRecord { addr: None, flavor: "g8".into(), zone: "a".into(), spot: false, part: i };
        let item =
            |n: u64| Item { key: format!("host/h{n}"), value: serde_json::to_value(host(0)).unwrap(), version: n };
        let p = part_of(5, vec![], (1..6).map(item).collect());
        assert!(!p.cut_off(9000), "after a takeover they may still be on their way here");
    }

    #[test]
    fn a_task_that_fails_everywhere_backs_off_and_blames_no_machine() {
        let mut p = part();
        for h in ["h1", "h2"] {
            p.report(&report(h, 1, 1, 1, vec![]), Via::Beat, 1000);
        }
        let _rx = submit(&mut p, &body("run-000001", "batch", 1), 1000);
        commit(&mut p, 1000, 100);
        let mut now = 1000;
        for round in 0..4 {
            p.world.jobs[0].tasks[0].retry_ms = 0;
            p.pass(now, now);
            let Place::On(hix, a) = p.world.jobs[0].tasks[0].place else { panic!("not placed in round {round}") };
            let host = p.world.host(hix).unwrap().id.clone();
            now += 500;
            let ended = vec![reported("run-000001/0", a, "ended", Some("error"))];
            p.report(&report(&host, 1, now, 1, ended), Via::Beat, now);
            p.world.host_mut(hix).unwrap().blocked_until_ms = if round == 0 { now + 600 } else { 0 };
        }
        assert!(p.world.jobs[0].tasks[0].retry_ms > now + 2000);
        assert!(p.world.each_host().all(|(_, h)| h.failed_jobs.is_empty()));
    }

    #[test]
    fn a_gang_that_loses_a_task_starts_anew_only_when_all_are_gone() {
        let mut p = running("group", 2);
        let a = attempt(&p, 0);
        let tasks = |x: &str, why: Option<&str>, y: &str| {
            vec![reported("run-000001/0", a, x, why), reported("run-000001/1", a, y, None)]
        };
        p.report(&report("h1", 1, 2, 1, tasks("ended", Some("mates_gone"), "running")), Via::Beat, 1100);
        p.pass(1100, 1100);
        assert_eq!(p.world.jobs[0].gang_attempt, a, "the old attempt is still there");
        let both = vec![
            reported("run-000001/0", a, "ended", Some("mates_gone")),
            reported("run-000001/1", a, "ended", Some("mates_gone")),
        ];
        p.report(&report("h1", 1, 3, 1, both), Via::Beat, 1200);
        p.pass(1200, 1200);
        assert!(p.world.jobs[0].gang_attempt > a);
    }

    #[test]
    fn unknown_tasks_are_stopped_and_then_reaped() {
        let mut p = part();
        let tasks = |phase: &str| vec![reported("run-000077/0", 9, phase, None)];
        let orders = p.report(&report("h1", 1, 1, 1, tasks("running")), Via::Beat, 1000);
        assert!(matches!(orders[..], [Order::Stop { .. }]));
        let orders = p.report(&report("h1", 1, 2, 1, tasks("ended")), Via::Beat, 1100);
        assert!(matches!(orders[..], [Order::Reap { .. }]));
    }

    #[test]
    fn a_machine_moves_between_parts_only_when_it_is_free() {
        let mut p = running("service", 1);
        assert!(!p.give("h1", 1), "a task is on it");
        p.report(&report("h2", 1, 1, 1, vec![]), Via::Beat, 1100);
        assert!(!p.give("h2", 1), "not registered yet");
        commit(&mut p, 1100, 101);
        assert!(p.give("h2", 1));
        commit(&mut p, 1200, 102);
        assert_eq!(p.belongs(&report("h2", 1, 2, 1, vec![])), Belongs::Elsewhere(1));
        // One that comes from a part with a higher term needs a higher one here.
        let record = HostRecord { addr: None, flavor: "g8".into(), zone: "a".into(), spot: false, part: 0 };
        p.rechecked("h3", Some(record), 1300);
        assert_eq!(p.belongs(&report("h3", 1, 5, 4, vec![])), Belongs::NotYet);
        assert!(p.needs_new_term());
    }

    #[test]
    fn a_large_job_fits_into_its_record() {
        let mut p = part();
        let mut b: Value = serde_json::from_slice(&body("run-000001", "batch", 100_000)).unwrap();
        b["cards"] = json!(0.0);
        let _rx = submit(&mut p, b.to_string().as_bytes(), 1000);
        commit(&mut p, 1000, 100);
        let every_other: Vec<u32> = (0..100_000).step_by(2).collect();
        p.tasks_done(0, &every_other, 1100);
        let c = p.next_commit(1100 + 60_000, 32).unwrap();
        assert!(c.apply[0].to_string().len() < 32 * 1024);
    }
}
