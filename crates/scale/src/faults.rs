//! Faults of one region: named faults at set times, and random machine failures at an ordinary daily rate.

use crate::controllers::Controllers;
use crate::plan::RegionPlan;
use crate::relays::Cuts;
use crate::scenario::{Fault, FaultKind};
use badgerdrift_stand_ins::ground::SimulationContext;
use badgerdrift_stand_ins::world::secs;
use badgerdrift_stand_ins::{late_copies, machines};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Objects that faults act on.
#[derive(Clone)]
pub struct FaultTargets {
    pub context: SimulationContext,
    pub controllers: Arc<Mutex<Controllers>>,
    pub cuts: Cuts,
}

/// Starts the region's named faults and its random machine failures.
pub fn start(targets: &FaultTargets, plan: &RegionPlan) {
    // A region is cut off at the relays of all regions, so that each region carries out such a fault.
    let concerns = |fault: &&Fault| fault.region == plan.region || fault.kind == FaultKind::RegionCut;
    for fault in plan.scenario.fault.values().filter(concerns) {
        let (targets, fault) = (targets.clone(), fault.clone());
        tokio::spawn(async move {
            sleep(secs(fault.at_s)).await;
            targets.inject(&fault).await;
        });
    }
    let failures = &plan.scenario.failures;
    let a_day = plan.part(failures.machines_a_day + failures.replaced_a_day);
    let per_s = a_day * failures.compression / SECONDS_PER_DAY;
    if per_s > 0.0 {
        tokio::spawn(ordinary_failures(targets.clone(), per_s, plan.seed ^ plan.region as u64));
    }
}

async fn ordinary_failures(targets: FaultTargets, per_s: f64, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        sleep(secs(-uniform.ln() / per_s)).await;
        targets.stop_machines(1, |_| true);
    }
}

impl FaultTargets {
    async fn inject(&self, fault: &Fault) {
        match fault.kind {
            FaultKind::Machines => self.stop_machines(fault.count, |_| true),
            FaultKind::Rack => self.stop_in_one_zone(fault.count),
            FaultKind::Zone => self.stop_in_one_zone(usize::MAX),
            FaultKind::ControllerKilled => self.restart_controllers(&[self.leader()], fault.for_s).await,
            FaultKind::ControllersRestarted => {
                let all: Vec<usize> = (0..self.context.doors.len()).collect();
                self.restart_controllers(&all, fault.for_s).await;
            }
            FaultKind::ControllerHeld => self.pause_leader(fault.for_s).await,
            FaultKind::StateOutage => {
                self.context.state_down(true);
                sleep(secs(fault.for_s)).await;
                self.context.state_down(false);
            }
            FaultKind::RegionCut => {
                self.cuts.set(fault.region, true);
                sleep(secs(fault.for_s)).await;
                self.cuts.set(fault.region, false);
            }
            FaultKind::StateAnswersLost => {
                self.context.world.lock().unwrap().lost_answers = 1.0;
                sleep(secs(fault.for_s)).await;
                self.context.world.lock().unwrap().lost_answers = 0.0;
            }
        }
    }

    /// Stops up to `count` random machines that are up and whose zone `which` accepts.
    pub fn stop_machines(&self, count: usize, which: impl Fn(&str) -> bool) {
        let stopped: Vec<String> = {
            let world = self.context.world.lock().unwrap();
            let now = Instant::now();
            let up = world.machines.values().filter(|machine| machine.alive(now) && which(&machine.zone));
            up.take(count).map(|machine| machine.id.clone()).collect()
        };
        stopped.iter().for_each(|id| machines::die(&self.context, id));
    }

    fn stop_in_one_zone(&self, count: usize) {
        let zone = self.context.world.lock().unwrap().parameters.zones[0];
        self.stop_machines(count, |other| other == zone);
    }

    /// Returns the controller that owns the jobs according to the state service; the first one if none does.
    pub fn leader(&self) -> usize {
        leader(&self.context).unwrap_or(0)
    }

    pub async fn restart_controllers(&self, numbers: &[usize], after_s: f64) {
        for number in numbers {
            report(self.controllers.lock().await.kill(*number).await);
        }
        sleep(secs(after_s)).await;
        for number in numbers {
            report(self.controllers.lock().await.start_one(*number));
        }
        late_copies::repeat_answered_commands(&self.context, None);
    }

    pub async fn pause_leader(&self, for_s: f64) {
        self.pause(self.leader(), for_s).await;
    }

    /// Suspends a controller for this many seconds.
    pub async fn pause(&self, number: usize, for_s: f64) {
        report(self.controllers.lock().await.hold(number, true));
        sleep(secs(for_s)).await;
        report(self.controllers.lock().await.hold(number, false));
    }

    /// Resumes all suspended controllers and starts those that do not run.
    pub async fn resume_all(&self) {
        let mut controllers = self.controllers.lock().await;
        for number in 0..controllers.count() {
            report(controllers.hold(number, false));
            report(controllers.start_one(number));
        }
    }
}

/// Returns the controller that owns the jobs according to the state service, if one does.
pub fn leader(context: &SimulationContext) -> Option<usize> {
    let record = context.world.lock().unwrap().store.value("part/0");
    record["holder"].as_str()?.strip_prefix('n')?.parse().ok()
}

fn report(result: std::io::Result<()>) {
    if let Err(error) = result {
        eprintln!("badgerdrift-scale: injection of a fault failed: {error}");
    }
}
