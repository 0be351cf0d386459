//! State of the simulation: machines with their tasks, jobs as their users know them, and the rules,
//! which are checked at each event.

mod gang;
mod history;
mod job;
mod machine;
mod parameters;
mod rental;
mod repeats;
mod rules;
mod slots;
mod terms;
mod worker;

pub use job::Job;
pub use machine::Machine;
pub use parameters::{
    CANCEL_S, FLAVORS, Flavor, GANG_PEER_S, GANG_WAIT_S, GUEST, LEASE_S, LIST_LAG_S, Parameters, REPORT_S, TEAMS,
    TeamLimit, ZONES, secs,
};
pub use rental::{BootFaults, machine_address};
pub use repeats::AgentMemory;
pub use slots::SlotAccount;

use crate::store::Store;
use gang::Gang;
use machine::Phase;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use terms::Term;
use tokio::time::Instant;

/// State shared by all simulated services.
pub struct SimulationState {
    pub parameters: Parameters,
    last_tick: Instant,
    requests_left: f64,
    requests_refilled: Option<Instant>,
    /// Number of requests that the state service accepted.
    pub requests: u64,
    /// Number of requests that the state service refused because of its rate limit.
    pub requests_refused: u64,
    /// Tasks that were started; kept apart from their jobs, which are copied often.
    started_tasks: HashSet<String>,
    /// Waits of tasks for their first start since the list was last taken.
    pub start_waits: Vec<StartWait>,
    pub rng: StdRng,
    pub start: Instant,
    pub store: Store,
    /// For each node, whether the state service refuses it.
    pub refused: Vec<bool>,
    /// For each node, whether it runs the version in production.
    pub production: Vec<bool>,
    /// For each node, the second of its last request to the state service and its requests in that second.
    pub asked: Vec<(u64, u32)>,
    /// Share of writes to the state service that get no answer and are carried out late.
    pub late_writes: f64,
    /// Share of writes to the state service that are carried out at once but get no answer.
    pub lost_answers: f64,
    /// Share of direct commands that get no answer and are carried out 2 to 16 s late.
    pub late_commands: f64,
    /// Share of direct commands that were carried out and answered and arrive once more, 1 to 150 s later.
    pub repeated_commands: f64,
    /// Latest commands that each machine carried out and answered while commands are repeated.
    answered_commands: BTreeMap<String, VecDeque<Value>>,
    /// Attempts that each machine was told to discard. None of them may start there again.
    discarded: HashSet<(String, (String, u64))>,
    pub cloud_down: bool,
    /// Share of machines on which every task fails.
    pub faulty: f64,
    pub boot_faults: BootFaults,
    /// Rate at which users poll their jobs, as a multiple of the default.
    pub poll_rate: f64,
    /// Share of worker reports of which copies arrive late.
    pub late_reports: f64,
    /// Whether copies of all reports are kept for the next leader.
    pub keeping: bool,
    /// Kept copies of reports by machine, with the sender's address.
    pub kept: BTreeMap<String, Vec<(IpAddr, String)>>,
    /// Whether orders under a superseded term break a rule. Must be off where cuts or hanging machines delay
    /// orders.
    pub check_terms: bool,
    terms: Vec<Term>,
    pub machines: BTreeMap<String, Machine>,
    rentals: HashMap<String, Vec<String>>,
    pub jobs: BTreeMap<String, Job>,
    gangs: BTreeMap<(String, u64), Gang>,
    pub starts: u64,
    /// Replies to reports that workers dropped for a token lower than the highest that they had seen.
    replies_dropped: u64,
    /// Size of the largest report of a worker, in bytes.
    largest_report: usize,
    slot_account: SlotAccount,
    /// Tasks of arrays and gangs that were stopped, or whose gang did not become complete, although
    /// their jobs were not cancelled.
    pub stopped: Vec<String>,
    /// Work lost by stopped tasks.
    pub lost_work: Vec<LostWork>,
    /// Latest events, with the seconds since the start.
    pub history: VecDeque<String>,
    /// First rule that was broken.
    pub broken: Option<String>,
    /// First failure of a simulated service itself, such as an address that cannot be bound. It ends the
    /// simulation without a verdict on the rules.
    pub service_failure: Option<String>,
}

/// Wait of a task from the first attempt to submit its job until its image was fetched.
#[derive(Debug, Clone, Copy)]
pub struct StartWait {
    pub urgency: &'static str,
    pub shape: &'static str,
    pub submitted: Instant,
    pub wait: Duration,
}

/// Work lost by a stopped task, or by a gang as a whole.
#[derive(Debug, Clone)]
pub struct LostWork {
    pub job: String,
    pub team: &'static str,
    /// Seconds of progress since the last save.
    pub lost_s: f64,
    /// Seconds of progress between checkpoints; 0 if the job saves none.
    pub checkpoint_s: f64,
}

pub type Shared = Arc<Mutex<SimulationState>>;

impl SimulationState {
    pub fn new(seed: u64, nodes: usize) -> SimulationState {
        SimulationState::of(Parameters::default(), seed, nodes)
    }

    pub fn of(parameters: Parameters, seed: u64, nodes: usize) -> SimulationState {
        SimulationState {
            parameters,
            last_tick: Instant::now(),
            requests_left: 0.0,
            requests_refilled: None,
            requests: 0,
            requests_refused: 0,
            started_tasks: HashSet::new(),
            start_waits: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            store: Store::default(),
            refused: vec![false; nodes],
            production: vec![false; nodes],
            asked: vec![(0, 0); nodes],
            late_writes: 0.0,
            lost_answers: 0.0,
            late_commands: 0.0,
            repeated_commands: 0.0,
            answered_commands: BTreeMap::new(),
            discarded: HashSet::new(),
            cloud_down: false,
            faulty: 0.0,
            boot_faults: BootFaults::default(),
            poll_rate: 1.0,
            late_reports: 0.0,
            keeping: false,
            kept: BTreeMap::new(),
            check_terms: false,
            terms: Vec::new(),
            machines: BTreeMap::new(),
            rentals: HashMap::new(),
            jobs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            starts: 0,
            replies_dropped: 0,
            largest_report: 0,
            slot_account: SlotAccount::default(),
            stopped: Vec::new(),
            lost_work: Vec::new(),
            history: VecDeque::new(),
            broken: None,
            service_failure: None,
        }
    }

    /// Counts a request of a node to the state service. Returns false, and records a broken rule, if the rate
    /// is far beyond `state.rps`.
    pub fn may_ask(&mut self, node: usize) -> bool {
        let second = self.start.elapsed().as_secs();
        let (at, count) = &mut self.asked[node];
        *count = if *at == second { *count + 1 } else { 1 };
        *at = second;
        let ok = *count <= 1000;
        if !ok {
            self.fail(format!("n{node} sent over 1000 requests in a second to the state service"));
        }
        ok
    }

    /// Counts a request and returns whether the state service accepts it under its rate limit, which allows
    /// bursts of up to one second's requests.
    pub fn takes_request(&mut self) -> bool {
        let Some(rate) = self.parameters.state_requests_per_s else { return true };
        let now = Instant::now();
        let since_s = self.requests_refilled.replace(now).map_or(1.0, |at| (now - at).as_secs_f64());
        self.requests_left = (self.requests_left + since_s * rate).min(rate);
        let takes = self.requests_left >= 1.0;
        if takes {
            self.requests_left -= 1.0;
            self.requests += 1;
        } else {
            self.requests_refused += 1;
        }
        takes
    }

    /// Number of tasks that are on machines now.
    pub fn running_tasks(&self) -> usize {
        self.machines.values().flat_map(|machine| machine.copies.values()).filter(|attempt| attempt.phase.on()).count()
    }

    /// Cores and accelerators that the tasks of each team use now.
    pub fn usage_by_team(&self) -> BTreeMap<&'static str, (f64, f64)> {
        let mut usage: BTreeMap<&'static str, (f64, f64)> = BTreeMap::new();
        for attempt in
            self.machines.values().flat_map(|machine| machine.copies.values()).filter(|attempt| attempt.phase.on())
        {
            let job = &self.jobs[&attempt.job];
            let used = usage.entry(attempt.team).or_default();
            used.0 += job.cores;
            used.1 += job.cards;
        }
        usage
    }

    /// Accelerators that the attempts of each team take on machines, including attempts that wait for their
    /// image.
    pub fn placed_cards_by_team(&self) -> BTreeMap<&'static str, f64> {
        let mut cards: BTreeMap<&'static str, f64> = BTreeMap::new();
        for attempt in self
            .machines
            .values()
            .flat_map(|machine| machine.copies.values())
            .filter(|attempt| attempt.phase != Phase::Ended)
        {
            if let Some(job) = self.jobs.get(&attempt.job) {
                *cards.entry(attempt.team).or_default() += job.cards;
            }
        }
        cards
    }

    /// Records work that a job lost by a stop.
    fn note_lost_work(&mut self, job: &str, lost_s: f64) {
        let Job { team, checkpoint_s, .. } = self.jobs[job];
        self.lost_work.push(LostWork { job: job.into(), team, lost_s, checkpoint_s });
    }

    /// Runs [`SimulationState::tick`] unless it ran within `tick_every`.
    pub fn tick_if_due(&mut self) {
        if self.last_tick.elapsed() >= self.parameters.tick_every {
            self.tick();
        }
    }

    /// Applies every event that is due: expiry of leases, reclaimed machines, next phases of tasks. Checks the
    /// deadline of cancellations.
    pub fn tick(&mut self) {
        let now = Instant::now();
        self.last_tick = now;
        self.expire_leases();
        let taken: Vec<String> = self
            .machines
            .values()
            .filter(|machine| machine.exists() && machine.taken.is_some_and(|t| t <= now))
            .map(|machine| machine.id.clone())
            .collect();
        taken.iter().for_each(|id| self.remove(id, "is reclaimed"));
        let due: Vec<(String, (String, u64))> = self
            .machines
            .values()
            .filter(|machine| machine.alive(now) && machine.hang <= now)
            .flat_map(|machine| {
                machine
                    .copies
                    .iter()
                    .filter(|(_, attempt)| attempt.due <= now)
                    .map(|(k, _)| (machine.id.clone(), k.clone()))
            })
            .collect();
        for (id, key) in due {
            let Some(attempt) = self.machines[&id].copies.get(&key).cloned() else { continue };
            let shape = self.jobs[&attempt.job].shape;
            match attempt.phase {
                Phase::Fetching => self.begin(&id, &key),
                Phase::Gathering => self.end(&id, &key, "incomplete", false),
                Phase::Running if self.jobs[&attempt.job].mistaken => self.end(&id, &key, "error", false),
                Phase::Running if shape == "batch" => {
                    if self.machines[&id].faulty {
                        self.end(&id, &key, "error", false);
                    } else {
                        self.jobs.get_mut(&attempt.job).unwrap().done.insert(attempt.n);
                        self.end(&id, &key, "done", false);
                    }
                }
                Phase::Flushing if shape == "batch" => {
                    let ran = (attempt.due - attempt.since).as_secs_f64();
                    let job = self.jobs.get_mut(&attempt.job).unwrap();
                    *job.saved_s.entry(attempt.n).or_default() += (ran - job.flush_s).max(0.0);
                    self.end(&id, &key, "halted", true);
                }
                _ => {}
            }
        }
        self.gangs_step(now);
        let late = |job: &&Job| job.cancelled.is_some_and(|told_at| told_at + secs(CANCEL_S) < now);
        for id in self.jobs.values().filter(late).map(|job| job.id.clone()).collect::<Vec<_>>() {
            let on = self
                .machines
                .values()
                .find(|machine| machine.copies.values().any(|attempt| attempt.job == id && attempt.phase.on()));
            if let Some(machine) = on.map(|machine| machine.id.clone()) {
                self.fail(format!(
                    "ran_cancelled: {id} is on {machine} more than cancel_s after the answer `cancelled`"
                ));
            }
        }
    }
}
