//! Burst of serving on machines that are full of night runs and fine-tuning. Measures what the borrower
//! gains, what the lenders keep, and when everything is returned, all from the tasks on the machines.

use crate::names::{leak, team_name};
use crate::plan::RegionPlan;
use crate::results::BorrowResult;
use crate::scenario::Borrowing;
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::users;
use badgerdrift_stand_ins::world::{Job, SimulationState, secs};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval at which shares are sampled.
const SAMPLE: Duration = Duration::from_millis(100);
/// First number of the burst's jobs, above those of all other jobs.
const FIRST_JOB: usize = 900_000;
/// Tolerance for rounding in sums of decimal amounts.
const ROUNDING: f64 = 1e-6;

/// A running burst.
pub struct BorrowRun {
    result: Arc<Mutex<BorrowResult>>,
}

/// Samples a burst during a run.
struct Observer {
    context: SimulationContext,
    borrowing: Borrowing,
    /// Accelerators that each team is guaranteed.
    guaranteed: f64,
    teams: Vec<&'static str>,
    result: Arc<Mutex<BorrowResult>>,
}

/// Starts the burst of a region, if the scenario has one.
pub fn start(context: &SimulationContext, plan: &RegionPlan) -> BorrowRun {
    let run = BorrowRun { result: Arc::default() };
    if let Some(borrowing) = plan.scenario.borrowing.clone() {
        let teams = (1..plan.scenario.teams.count).map(|team| leak(team_name(team))).collect();
        let guaranteed = plan.part(plan.scenario.teams.guaranteed_cards);
        let result = run.result.clone();
        let observer = Observer { context: context.clone(), borrowing, guaranteed, teams, result };
        tokio::spawn(observer.run(plan.seed));
    }
    run
}

impl BorrowRun {
    /// Returns the result until now.
    pub fn finish(self) -> BorrowResult {
        self.result.lock().unwrap().clone()
    }
}

impl Observer {
    async fn run(self, seed: u64) {
        sleep(secs(self.borrowing.at_s)).await;
        let begin = Instant::now();
        let (used_before, stops_before, losses_before) = {
            let world = self.context.world.lock().unwrap();
            (self.lenders_cards(&world), world.stopped.len(), world.lost_work.len())
        };
        let jobs = self.submit_replicas(seed);
        let end = begin + secs(self.borrowing.for_s);
        let mut cancelled = false;
        self.result.lock().unwrap().least_share_of_floor = f64::INFINITY;
        for sample in 1u32.. {
            sleep_until(begin + sample * SAMPLE).await;
            if !cancelled && Instant::now() >= end {
                cancelled = true;
                self.cancel(&jobs, seed);
            }
            let world = self.context.world.lock().unwrap();
            let mut result = self.result.lock().unwrap();
            Observer::sample_gain(&world, &jobs, begin, &mut result);
            self.sample_floors(&world, &mut result);
            result.stops = world.stopped.len() - stops_before;
            let losses = world.lost_work[losses_before..].iter().filter(|lost| lost.checkpoint_s > 0.0);
            result.most_lost_s = losses.map(|lost| lost.lost_s).fold(0.0, f64::max);
            if cancelled && result.returned_ms.is_none() {
                let wanted = used_before.min(cards_of_machines(&world));
                let back = self.lenders_cards(&world) >= wanted - ROUNDING;
                result.returned_ms = back.then(|| end.elapsed().as_millis() as u32);
            }
        }
    }

    /// Submits the replicas as users of the first team, each as a separate job. Returns the jobs' identifiers.
    fn submit_replicas(&self, seed: u64) -> Vec<String> {
        let team = leak(team_name(0));
        let submit = |number: usize| {
            let mut job = Job::new(&format!("run-{:06}", FIRST_JOB + number), "service", 1);
            (job.team, job.urgency) = (team, "urgent");
            (job.cores, job.cards, job.mem_gb) = (self.borrowing.cores, self.borrowing.cards, self.borrowing.mem_gb);
            let id = job.id.clone();
            self.context.world.lock().unwrap().jobs.insert(id.clone(), job);
            tokio::spawn(users::user(self.context.clone(), id.clone(), seed.wrapping_add(number as u64)));
            id
        };
        (0..self.borrowing.replicas).map(submit).collect()
    }

    fn cancel(&self, jobs: &[String], seed: u64) {
        let nodes: Vec<usize> = (0..self.context.doors.len()).collect();
        for (number, id) in jobs.iter().enumerate() {
            let seed = seed.wrapping_add(number as u64);
            tokio::spawn(users::cancel(self.context.clone(), id.clone(), nodes.clone(), seed));
        }
    }

    /// Accelerators of the lending teams' attempts on machines, including attempts that fetch their image.
    fn lenders_cards(&self, world: &SimulationState) -> f64 {
        let used = world.placed_cards_by_team();
        self.teams.iter().filter_map(|team| used.get(team)).sum()
    }

    fn sample_gain(world: &SimulationState, jobs: &[String], begin: Instant, result: &mut BorrowResult) {
        let began = jobs.iter().filter_map(|id| world.jobs[id].began);
        result.gained_ms = began.map(|at| at.saturating_duration_since(begin).as_millis() as u32).collect();
        result.without_room = jobs.len() - result.gained_ms.len();
    }

    fn sample_floors(&self, world: &SimulationState, result: &mut BorrowResult) {
        let used = world.placed_cards_by_team();
        let mut demand: BTreeMap<&str, f64> = BTreeMap::new();
        for job in world.jobs.values().filter(|job| job.accepted.is_some() && !job.over() && !job.cancel_asked) {
            *demand.entry(job.team).or_default() += job.cards * f64::from(job.shards - job.done.len() as u32);
        }
        let mut below = false;
        for team in &self.teams {
            let floor = self.guaranteed.min(demand.get(team).copied().unwrap_or(0.0));
            if floor > 0.0 {
                let share = used.get(team).copied().unwrap_or(0.0) / floor;
                result.least_share_of_floor = result.least_share_of_floor.min(share);
                below |= share < 1.0 - ROUNDING;
            }
        }
        if below {
            result.below_floor_ms += SAMPLE.as_millis() as u64;
        }
    }
}

/// Accelerators of all machines that are up.
fn cards_of_machines(world: &SimulationState) -> f64 {
    let now = Instant::now();
    world.machines.values().filter(|machine| machine.alive(now)).map(|machine| machine.flavor.cards).sum()
}
