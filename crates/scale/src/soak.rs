//! Soak run of one region: random faults, then a quiet end in which every accepted job must be answered.

use crate::faults::FaultTargets;
use crate::links::{LinkState, Links};
use crate::plan::RegionPlan;
use crate::results::SoakResult;
use crate::scenario::ANSWER_LIMIT_S;
use crate::soak_plan::{self, SoakFault, SoakFaultKind};
use badgerdrift_stand_ins::load_balancer::LoadBalancer;
use badgerdrift_stand_ins::users;
use badgerdrift_stand_ins::world::{Machine, SimulationState, secs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval between two polls of a job at the end.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the end of the run checks which jobs are answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A soak run under way.
pub struct SoakRun {
    result: Arc<Mutex<SoakResult>>,
    finished: watch::Receiver<bool>,
}

/// Carries out the faults of a soak run.
#[derive(Clone)]
struct SoakDriver {
    targets: FaultTargets,
    links: Links,
    seed: u64,
    result: Arc<Mutex<SoakResult>>,
}

/// Starts the soak run of a region, if the scenario has one.
pub fn start(targets: &FaultTargets, links: Option<Links>, plan: &RegionPlan) -> Option<SoakRun> {
    let (soak, links) = (plan.scenario.soak.as_ref()?, links?);
    let scenario = &plan.scenario;
    let faults = soak_plan::draw(soak, scenario.warm_up_s, scenario.controllers_per_region, plan.seed);
    let end_s = scenario.warm_up_s + soak.faults_s;
    let result = Arc::new(Mutex::new(SoakResult::default()));
    let (finished_sender, finished) = watch::channel(false);
    let driver = SoakDriver { targets: targets.clone(), links, seed: plan.seed, result: result.clone() };
    tokio::spawn(async move {
        driver.run(faults, end_s).await;
        finished_sender.send_replace(true);
    });
    Some(SoakRun { result, finished })
}

impl SoakRun {
    /// Returns whether the run is over.
    pub fn is_finished(&self) -> bool {
        *self.finished.borrow()
    }

    /// Returns the result until now.
    pub fn result(&self) -> SoakResult {
        self.result.lock().unwrap().clone()
    }
}

impl SoakDriver {
    async fn run(&self, faults: Vec<SoakFault>, end_s: f64) {
        let began = Instant::now();
        let balancer = LoadBalancer::start(&self.targets.context);
        self.result.lock().unwrap().faults = faults.len();
        for (number, fault) in faults.into_iter().enumerate() {
            let driver = self.clone();
            tokio::spawn(async move {
                sleep_until(began + secs(fault.at_s)).await;
                driver.log(format!("fault begins: {fault}"));
                driver.inject(&fault, number as u64).await;
                driver.log(format!("fault ends: {fault}"));
            });
        }
        sleep_until(began + secs(end_s)).await;
        self.end_faults().await;
        self.await_answers(&balancer).await;
    }

    fn log(&self, what: String) {
        self.targets.context.log(what);
    }

    fn with_world(&self, change: impl FnOnce(&mut SimulationState)) {
        change(&mut self.targets.context.world.lock().unwrap());
    }

    async fn inject(&self, fault: &SoakFault, number: u64) {
        let duration = secs(fault.for_s);
        match &fault.kind {
            SoakFaultKind::KillLeader => {
                self.targets.restart_controllers(&[self.targets.leader()], fault.for_s).await;
            }
            SoakFaultKind::Kill(nodes) => self.targets.restart_controllers(nodes, fault.for_s).await,
            SoakFaultKind::Pause(node) => self.targets.pause(*node, fault.for_s).await,
            SoakFaultKind::PauseLeader => self.targets.pause_leader(fault.for_s).await,
            SoakFaultKind::StateOutage => {
                self.targets.context.state_down(true);
                sleep(duration).await;
                self.targets.context.state_down(false);
            }
            SoakFaultKind::StateRefuses(node) => {
                self.targets.context.refuse_state(*node, true);
                sleep(duration).await;
                self.targets.context.refuse_state(*node, false);
            }
            SoakFaultKind::Links(links, state) => {
                links.iter().for_each(|link| self.links.set(*link, *state));
                sleep(duration).await;
                links.iter().for_each(|link| self.links.set(*link, LinkState::Open));
            }
            SoakFaultKind::LateWrites(share) => {
                self.with_share(*share, duration, |world, share| world.late_writes = share).await;
            }
            SoakFaultKind::LostAnswers(share) => {
                self.with_share(*share, duration, |world, share| world.lost_answers = share).await;
            }
            SoakFaultKind::LateReports(share) => {
                self.with_share(*share, duration, |world, share| world.late_reports = share).await;
            }
            SoakFaultKind::LateCommands(share) => {
                self.with_share(*share, duration, |world, share| world.late_commands = share).await;
            }
            SoakFaultKind::RepeatedCommands(share) => {
                self.with_share(*share, duration, |world, share| world.repeated_commands = share).await;
            }
            SoakFaultKind::Hang(share) => {
                self.for_machines(number, *share, |machine, until| machine.hang = until, fault);
            }
            SoakFaultKind::Deaf(share) => {
                self.for_machines(number, *share, |machine, until| machine.deaf = until, fault);
            }
            SoakFaultKind::Mute(share) => {
                self.for_machines(number, *share, |machine, until| machine.mute = until, fault);
            }
            SoakFaultKind::Die(count) => self.targets.stop_machines(*count, |_| true),
        }
    }

    /// Sets a share of the simulation for this time.
    async fn with_share(&self, share: f64, duration: Duration, set: impl Fn(&mut SimulationState, f64)) {
        self.with_world(|world| set(world, share));
        sleep(duration).await;
        self.with_world(|world| set(world, 0.0));
    }

    /// Applies a change, which ends with the fault, to a random share of the machines that are up.
    fn for_machines(&self, number: u64, share: f64, change: impl Fn(&mut Machine, Instant), fault: &SoakFault) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (number << 32));
        let now = Instant::now();
        let until = now + secs(fault.for_s);
        self.with_world(|world| {
            let up = world.machines.values_mut().filter(|machine| machine.alive(now));
            up.filter(|_| rng.random_bool(share)).for_each(|machine| change(machine, until));
        });
    }

    /// Ends all faults that are still under way.
    async fn end_faults(&self) {
        self.links.open_all();
        self.targets.context.state_down(false);
        self.with_world(|world| {
            world.refused.fill(false);
            (world.late_writes, world.lost_answers, world.late_reports) = (0.0, 0.0, 0.0);
            (world.late_commands, world.repeated_commands) = (0.0, 0.0);
        });
        self.targets.resume_all().await;
        self.log("all faults are over".into());
    }

    /// Waits until a user behind the load balancer was answered about each accepted job. A job without an answer within
    /// the limit breaks a rule.
    async fn await_answers(&self, balancer: &LoadBalancer) {
        let end = Instant::now();
        let accepted: Vec<String> = {
            let world = self.targets.context.world.lock().unwrap();
            world.jobs.values().filter(|job| job.accepted.is_some()).map(|job| job.id.clone()).collect()
        };
        let polls: Vec<_> =
            accepted.iter().map(|id| tokio::spawn(self.clone().poll(balancer.clone(), id.clone()))).collect();
        let limit = secs(ANSWER_LIMIT_S);
        while !polls.iter().all(tokio::task::JoinHandle::is_finished) && end.elapsed() < limit {
            sleep(CHECK_INTERVAL).await;
        }
        let unanswered: Vec<&String> =
            accepted.iter().zip(&polls).filter(|(_, poll)| !poll.is_finished()).map(|(id, _)| id).collect();
        if accepted.is_empty() {
            self.with_world(|world| world.fail("no job was accepted before the last fault ended".into()));
        }
        if let Some(first) = unanswered.first() {
            let count = unanswered.len();
            self.with_world(|world| {
                world.fail(format!(
                    "forgotten: no answer about {first} within {ANSWER_LIMIT_S} s of the last fault, and {count} in all"
                ));
            });
        }
        let mut result = self.result.lock().unwrap();
        result.accepted = accepted.len();
        result.unanswered = unanswered.len();
        result.answered_after_s = end.elapsed().as_secs_f64();
        result.leaderships = self.targets.context.world.lock().unwrap().store.claims;
    }

    /// Polls a job at the healthy controllers in turn until it is answered.
    async fn poll(self, balancer: LoadBalancer, id: String) {
        for count in 0_usize.. {
            let nodes = balancer.healthy_nodes();
            if let Some(node) = nodes.get(count % nodes.len().max(1))
                && users::poll(&self.targets.context, &id, *node).await
            {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
