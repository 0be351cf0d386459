//! What a part knows: jobs with their tasks, machines with the copies of
//! tasks on them. Plain data; decisions are in `sched`, protocol in `part`.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

pub type JobIx = usize;
pub type HostIx = usize;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    Batch,
    Gang,
    Service,
}

/// Lowest first, so that the order of the values is the order of priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobPhase {
    Pending,
    Running,
    Done,
    Cancelled,
}

/// Amounts that a task takes, or that a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Demand {
    pub cpus: f64,
    pub gpus: f64,
    pub mem: f64,
}

/// Amounts are decimal; sums of them may be off by rounding.
const SLACK: f64 = 1e-6;

impl Demand {
    pub fn fits(&self, free: &Demand) -> bool {
        self.cpus <= free.cpus + SLACK && self.gpus <= free.gpus + SLACK && self.mem <= free.mem + SLACK
    }
    pub fn add(&mut self, d: &Demand) {
        self.cpus += d.cpus;
        self.gpus += d.gpus;
        self.mem += d.mem;
    }
    pub fn sub(&mut self, d: &Demand) {
        self.cpus -= d.cpus;
        self.gpus -= d.gpus;
        self.mem -= d.mem;
    }
    pub fn times(&self, n: f64) -> Demand {
        Demand { cpus: self.cpus * n, gpus: self.gpus * n, mem: self.mem * n }
    }
    /// The shares of `cap` that are left in `self`, for resources `cap` has.
    pub fn shares<'a>(&'a self, cap: &'a Demand) -> impl Iterator<Item = f64> + 'a {
        [(self.cpus, cap.cpus), (self.gpus, cap.gpus), (self.mem, cap.mem)]
            .into_iter()
            .filter(|(_, c)| *c > 0.0)
            .map(|(f, c)| f / c)
    }
    /// How many tasks like `d` fit in.
    pub fn slots(&self, d: &Demand) -> f64 {
        self.shares(d).fold(f64::INFINITY, f64::min).max(0.0).floor()
    }
}

/// A job as its user described it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    pub id: String,
    pub class: String,
    pub team: String,
    pub shape: Shape,
    pub urgency: Urgency,
    pub tasks: u32,
    pub demand: Demand,
    pub image: String,
    pub image_gb: f64,
    pub flavors: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub expected_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub due_s: Option<f64>,
}

impl Spec {
    pub fn allows_flavor(&self, flavor: &Flavor) -> bool {
        self.flavors.as_ref().is_none_or(|f| f.contains(&flavor.name)) && self.demand.fits(&flavor.cap)
    }
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|z| z == zone)
    }
    /// Most tasks in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread { self.tasks.div_ceil(2) } else { self.tasks }
    }
    /// Time that a stop must leave for saving; 0 where nothing is saved.
    pub fn grace_s(&self) -> f64 {
        if self.checkpoint_s > 0.0 { self.save_s } else { 0.0 }
    }
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Flavor {
    pub name: String,
    pub cap: Demand,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

impl Flavor {
    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_price } else { self.price }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    pub job: JobIx,
    pub task: u32,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExitReason {
    Done,
    Stopped { saved: bool },
    MatesGone,
    Incomplete,
    Error,
    NoRoom,
    InUse,
    NoSuch,
}

/// Where an attempt stands on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TaskPhase {
    /// Ordered, and not yet seen in a report.
    Sent,
    Fetching,
    Gathering,
    Running,
    Saving,
    Ended(ExitReason),
}

/// One attempt of a task on a machine, for as long as it may be there.
#[derive(Debug, Clone, Copy)]
pub struct Copy {
    pub key: TaskKey,
    pub attempt: u64,
    /// What it takes of its machine.
    pub demand: Demand,
    pub phase: TaskPhase,
    pub since_ms: u64,
    /// Told to stop, with this grace.
    pub stop: Option<f64>,
    /// Highest term of a direct command with its `run` that had no answer.
    pub risk: Option<u64>,
    /// Its `run` is in a direct command under way.
    pub in_flight: bool,
}

impl Copy {
    /// An attempt that is to be ordered, or was and is seen first.
    pub fn sent(key: TaskKey, attempt: u64, demand: Demand, now: u64) -> Copy {
        let phase = TaskPhase::Sent;
        Copy { key, attempt, demand, phase, since_ms: now, stop: None, risk: None, in_flight: false }
    }

    pub fn ended(&self) -> bool {
        matches!(self.phase, TaskPhase::Ended(_))
    }
    pub fn running(&self) -> bool {
        matches!(self.phase, TaskPhase::Running)
    }
}

/// Room on a machine that is held for one job until a set time.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    pub job: JobIx,
    pub demand: Demand,
    pub until_ms: u64,
}

#[derive(Debug, Clone)]
pub struct CachedImage {
    pub name: String,
    pub gb: f64,
    pub used_ms: u64,
    /// False while it is fetched.
    pub ready: bool,
}

#[derive(Debug, Clone)]
pub struct Host {
    pub id: String,
    pub addr: Option<SocketAddr>,
    pub flavor: Option<usize>,
    pub zone: String,
    pub spot: bool,
    pub tenure: u64,
    pub serial: u64,
    pub fence: u64,
    /// What the worker says counts once it has seen this token, the first one of this
    /// holder: a report with a lower one may be a late copy, from a machine that is gone.
    pub min_fence: u64,
    /// The part that it is being given to.
    pub giving: Option<u32>,
    /// Steady time of the last report, and of the last answer that may have renewed the lease.
    pub heard_ms: u64,
    pub answered_ms: u64,
    /// In the registry, so that a successor knows that it may hold tasks.
    pub registered: bool,
    /// Has reported under this holder's token, or surely lost all it had.
    pub accounted: bool,
    /// Reports tasks that this part does not know.
    pub strays: bool,
    pub notice: bool,
    pub releasing: bool,
    /// Being emptied, to be returned.
    pub draining: bool,
    /// Direct commands in a row that had no answer.
    pub missed: u32,
    pub do_in_flight: bool,
    pub do_after_ms: u64,
    pub blocked_until_ms: u64,
    /// Jobs that failed here and on no other machine, since it last completed a task.
    pub failed_jobs: HashSet<JobIx>,
    /// What failed here has succeeded on another machine.
    pub succeeded_elsewhere: bool,
    pub idle_since_ms: u64,
    pub up_ms: u64,
    pub copies: Vec<Copy>,
    pub claims: Vec<Claim>,
    pub images: Vec<CachedImage>,
}

impl Host {
    pub fn new(id: String, zone: String, spot: bool, flavor: Option<usize>, now: u64) -> Host {
        Host {
            id,
            addr: None,
            flavor,
            zone,
            spot,
            tenure: 0,
            serial: 0,
            fence: 0,
            min_fence: 0,
            giving: None,
            heard_ms: now,
            answered_ms: now,
            registered: false,
            accounted: false,
            strays: false,
            notice: false,
            releasing: false,
            draining: false,
            missed: 0,
            do_in_flight: false,
            do_after_ms: 0,
            blocked_until_ms: 0,
            failed_jobs: HashSet::new(),
            succeeded_elsewhere: false,
            idle_since_ms: now,
            up_ms: now,
            copies: Vec::new(),
            claims: Vec::new(),
            images: Vec::new(),
        }
    }

    pub fn copy_mut(&mut self, key: TaskKey, attempt: u64) -> Option<&mut Copy> {
        self.copies.iter_mut().find(|c| c.key == key && c.attempt == attempt)
    }

    /// Is it the machine that is at fault for the tasks that failed on it?
    pub fn faulty(&self) -> bool {
        self.succeeded_elsewhere || self.failed_jobs.len() >= FAULTY_AFTER_JOBS
    }

    /// Has its worker seen a token of this holder? Then no order of an earlier one can
    /// reach it any more.
    pub fn shown(&self) -> bool {
        self.accounted && self.fence >= self.min_fence
    }

    /// More than a report that may be a late copy says that it exists.
    pub fn vouched(&self) -> bool {
        self.registered || self.accounted
    }

    /// Seconds until `image` would be on the machine.
    pub fn fetch_s(&self, image: &str, gb: f64, rate: f64) -> f64 {
        let rate = rate.max(1e-3);
        let under_way: f64 = self.images.iter().filter(|i| !i.ready).map(|i| i.gb).sum();
        match self.images.iter().find(|i| i.name == image) {
            Some(i) if i.ready => 0.0,
            Some(_) => under_way / rate * 0.5,
            None => (under_way + gb) / rate,
        }
    }

    /// Notes that a task here needs `image`; the oldest ones leave a full cache.
    pub fn use_image(&mut self, image: &str, gb: f64, cache_gb: f64, now: u64) {
        match self.images.iter_mut().find(|i| i.name == image) {
            Some(i) => i.used_ms = now,
            None => self.images.push(CachedImage { name: image.into(), gb, used_ms: now, ready: false }),
        }
        let mut total: f64 = self.images.iter().map(|i| i.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            let Some(oldest) = (0..self.images.len())
                .filter(|i| self.images[*i].name != image)
                .min_by_key(|i| self.images[*i].used_ms)
            else {
                return;
            };
            total -= self.images.remove(oldest).gb;
        }
    }

    pub fn image_ready(&mut self, image: &str) {
        if let Some(i) = self.images.iter_mut().find(|i| i.name == image) {
            i.ready = true;
        }
    }
}

/// Where a task stands in its job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Place {
    Idle,
    On(HostIx, u64),
    Done,
}

#[derive(Debug, Clone, Copy)]
pub struct Task {
    pub place: Place,
    /// Seen alive, or started, by this holder: it is on no machine that is not
    /// accounted for.
    pub located: bool,
    pub fails: u16,
    pub retry_ms: u64,
}

/// What the record of a job still has to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsaved {
    Nothing,
    Progress,
    End(JobEnd),
    Creation,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    Done,
    Cancelled,
}

/// A machine on which so many jobs failed is faulty.
pub const FAULTY_AFTER_JOBS: usize = 3;

/// A job shuns so many machines at the most.
const MOST_SHUNNED: usize = 3;

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Spec,
    pub accepted_ms: u64,
    /// Version of its record; 0 while it is not created.
    pub version: u64,
    /// The end that its record holds.
    pub end: Option<JobEnd>,
    pub unsaved: Unsaved,
    pub unsaved_since_ms: u64,
    /// Its record is in a commit under way.
    pub saving: bool,
    /// A write of its end was sent and may be carried out or not, now or later. Until
    /// that is settled another node may read the end, and tell it.
    pub end_open: bool,
    pub tasks: Vec<Task>,
    /// Tasks that are done, whether recorded or not.
    pub done: u32,
    /// The attempt of a gang that is starting or running.
    pub gang_attempt: u64,
    pub hold_until_ms: u64,
    pub no_hold_until_ms: u64,
    /// Until when it waits for room next to its image; 0 if it does not yet.
    pub soon_until_ms: u64,
    /// Accepted in this term: no earlier holder can have started its tasks.
    pub fresh: bool,
    /// Its user has asked for its cancellation, which is said once all its tasks are gone.
    pub cancelling: bool,
    /// Machines on which its tasks failed, and until when it keeps away from them.
    pub failed_on: HashSet<HostIx>,
    pub shuns_until_ms: u64,
}

impl Job {
    pub fn new(spec: Spec, accepted_ms: u64, now: u64) -> Job {
        let tasks = vec![Task { place: Place::Idle, located: false, fails: 0, retry_ms: 0 }; spec.tasks as usize];
        Job {
            spec,
            accepted_ms,
            version: 0,
            end: None,
            unsaved: Unsaved::Nothing,
            unsaved_since_ms: now,
            saving: false,
            end_open: false,
            tasks,
            done: 0,
            gang_attempt: 0,
            hold_until_ms: 0,
            no_hold_until_ms: 0,
            soon_until_ms: 0,
            fresh: false,
            cancelling: false,
            failed_on: HashSet::new(),
            shuns_until_ms: 0,
        }
    }

    /// May its tasks be started?
    pub fn active(&self) -> bool {
        self.version > 0 && self.end.is_none() && !self.cancelling && !matches!(self.unsaved, Unsaved::End(_))
    }

    /// Machines that it is not placed on again for a while, as it failed there: they
    /// are mostly faulty, and others are rented instead.
    pub fn shuns(&self, world: &World, now: u64) -> &HashSet<HostIx> {
        static NONE: std::sync::LazyLock<HashSet<HostIx>> = std::sync::LazyLock::new(HashSet::new);
        if now < self.shuns_until_ms && !self.fails_everywhere(world) { &self.failed_on } else { &NONE }
    }

    /// It failed on many machines, or on several and no other is left: it is at fault itself.
    fn fails_everywhere(&self, world: &World) -> bool {
        let all = || world.host_ix.values().all(|host| self.failed_on.contains(host));
        self.failed_on.len() > MOST_SHUNNED || (self.failed_on.len() > 1 && all())
    }

    /// Frees what a job that is over no longer needs.
    pub fn retire(&mut self) {
        if self.end == Some(JobEnd::Done) {
            self.done = self.spec.tasks;
        }
    }

    pub fn phase(&self, running: u32) -> JobPhase {
        match self.end {
            Some(JobEnd::Done) => JobPhase::Done,
            Some(JobEnd::Cancelled) => JobPhase::Cancelled,
            None if running > 0 => JobPhase::Running,
            None => JobPhase::Pending,
        }
    }
}

/// Room that a class is expected to need.
#[derive(Debug, Clone, PartialEq)]
pub struct Reserve {
    pub class: String,
    /// Where it can run, by machine type.
    pub flavors: Vec<bool>,
    pub demand: Demand,
    pub tasks: f64,
}

impl Reserve {
    /// It can do without none of its machine types, having one alone.
    pub fn sole(&self) -> bool {
        self.flavors.iter().filter(|f| **f).count() == 1
    }
    /// May it run on this type? One that became known later counts from the next plan on.
    pub fn allows(&self, flavor: usize) -> bool {
        self.flavors.get(flavor).is_some_and(|f| *f)
    }
    /// Is its room lost when that of a machine of this type shrinks so?
    pub fn loses(&self, flavor: usize, before: &Demand, after: &Demand) -> bool {
        self.allows(flavor) && before.slots(&self.demand) > after.slots(&self.demand)
    }
}

/// Everything that one part knows.
#[derive(Debug, Default)]
pub struct World {
    pub jobs: Vec<Job>,
    pub job_ix: HashMap<String, JobIx>,
    pub hosts: Vec<Option<Host>>,
    pub host_ix: HashMap<String, HostIx>,
    pub flavors: Vec<Flavor>,
    /// Jobs that are not over.
    pub live: Vec<JobIx>,
    /// Room that classes are expected to need.
    pub reserves: Vec<Reserve>,
    /// Machine types of which the cloud has none left.
    pub exhausted: Vec<usize>,
    /// Work with accelerators found no room in the last pass, and may not wait long.
    pub hungry: bool,
    /// When a pass last left work without room.
    pub waited_ms: u64,
    /// What machines that are not accounted for may hold.
    pub unaccounted: Demand,
    /// Their kinds: type if known, zone, whether cheap.
    pub unaccounted_kinds: Vec<(Option<usize>, String, bool)>,
    /// False until every machine of the last holder is accounted for.
    pub all_accounted: bool,
}

impl World {
    pub fn add_job(&mut self, job: Job) -> JobIx {
        let ix = self.jobs.len();
        self.job_ix.insert(job.spec.id.clone(), ix);
        if job.end.is_none() {
            self.live.push(ix);
        }
        self.jobs.push(job);
        ix
    }

    pub fn add_host(&mut self, host: Host) -> HostIx {
        let ix = self.hosts.len();
        self.host_ix.insert(host.id.clone(), ix);
        self.hosts.push(Some(host));
        ix
    }

    pub fn remove_host(&mut self, ix: HostIx) -> Option<Host> {
        let host = self.hosts[ix].take()?;
        self.host_ix.remove(&host.id);
        Some(host)
    }

    pub fn host(&self, ix: HostIx) -> Option<&Host> {
        self.hosts.get(ix)?.as_ref()
    }

    pub fn host_mut(&mut self, ix: HostIx) -> Option<&mut Host> {
        self.hosts.get_mut(ix)?.as_mut()
    }

    pub fn each_host(&self) -> impl Iterator<Item = (HostIx, &Host)> {
        self.hosts.iter().enumerate().filter_map(|(i, h)| Some((i, h.as_ref()?)))
    }

    pub fn flavor(&self, name: &str) -> Option<usize> {
        self.flavors.iter().position(|f| f.name == name)
    }
}

/// A job as its record in the state service tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: Spec,
    pub accepted_ms: u64,
    pub end: Option<JobEnd>,
    /// Done tasks as ranges, first and one past the last.
    pub done: Vec<(u32, u32)>,
}

impl JobRecord {
    /// The record of `job`, with as many of the widest ranges as `most`
    /// allows. A range that is left out only makes its tasks run once more:
    /// their results are kept.
    pub fn of(job: &Job, end: Option<JobEnd>, most: usize) -> JobRecord {
        let mut done = ranges(job);
        if end.is_some() {
            done.clear();
        }
        if done.len() > most {
            done.sort_unstable_by_key(|r| std::cmp::Reverse(r.1 - r.0));
            done.truncate(most);
            done.sort_unstable();
        }
        JobRecord { spec: job.spec.clone(), accepted_ms: job.accepted_ms, end, done }
    }

    pub fn into_job(self, version: u64, now: u64) -> Job {
        let mut job = Job::new(self.spec, self.accepted_ms, now);
        job.version = version;
        job.end = self.end;
        for (a, b) in self.done {
            for t in a..b.min(job.spec.tasks) {
                job.tasks[t as usize].place = Place::Done;
                job.done += 1;
            }
        }
        if job.end.is_some() {
            job.retire();
        }
        job
    }
}

/// A machine that may hold tasks, as the registry tells it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    pub addr: Option<SocketAddr>,
    pub flavor: String,
    pub zone: String,
    pub spot: bool,
    /// The part that it belongs to.
    #[serde(default)]
    pub part: u32,
}

/// Numbers of done tasks as ranges, first and one past the last.
pub fn ranges(job: &Job) -> Vec<(u32, u32)> {
    let mut out: Vec<(u32, u32)> = Vec::new();
    for (i, t) in job.tasks.iter().enumerate() {
        if t.place == Place::Done {
            let i = i as u32;
            match out.last_mut() {
                Some(last) if last.1 == i => last.1 = i + 1,
                _ => out.push((i, i + 1)),
            }
        }
    }
    out
}
