//! Random faults of a soak run, drawn from its seed.

use crate::links::{Link, LinkState};
use crate::scenario::Soak;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// Keeps the draws of the plan apart from those of the workload with the same seed.
const PLAN_SEED: u64 = 0x50a4;

/// A fault of a soak run. Times are seconds from the start of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakFault {
    pub at_s: f64,
    pub for_s: f64,
    pub kind: SoakFaultKind,
}

/// Kind of a fault; each ends after the duration of the fault.
#[derive(Debug, Clone, PartialEq)]
pub enum SoakFaultKind {
    /// The controller that leads at that moment is killed.
    KillLeader,
    /// These controllers are killed.
    Kill(Vec<usize>),
    /// A controller is suspended.
    Pause(usize),
    /// The controller that leads at that moment is suspended.
    PauseLeader,
    /// The state service refuses all controllers.
    StateOutage,
    /// The state service refuses a controller.
    StateRefuses(usize),
    /// Links refuse, hold or delay.
    Links(Vec<Link>, LinkState),
    /// This share of writes to the state service is carried out late and without an answer.
    LateWrites(f64),
    /// This share of writes to the state service is carried out, but its answers are lost.
    LostAnswers(f64),
    /// Copies of this share of the workers' reports arrive again later.
    LateReports(f64),
    /// This share of direct commands is carried out late.
    LateCommands(f64),
    /// This share of direct commands arrives once more after they were carried out and answered.
    RepeatedCommands(f64),
    /// This share of the machines hangs.
    Hang(f64),
    /// Answers and commands to this share of the machines are lost.
    Deaf(f64),
    /// Reports of this share of the machines are lost.
    Mute(f64),
    /// This number of machines stops.
    Die(usize),
}

impl fmt::Display for SoakFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {:.2} s for {:.2} s: {:?}", self.at_s, self.for_s, self.kind)
    }
}

/// Returns the faults of a run with this seed, in the order of their times.
pub fn draw(soak: &Soak, begin_s: f64, controllers: usize, seed: u64) -> Vec<SoakFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ PLAN_SEED);
    let count = rng.random_range(soak.faults.0..=soak.faults.1);
    let mut faults = Vec::new();
    while faults.len() < count {
        let at_s = begin_s + rng.random_range(0.0..soak.faults_s * 0.8);
        let longest_s = begin_s + soak.faults_s - at_s;
        if rng.random_bool(0.15) {
            faults.extend(leaders_in_series(&mut rng, soak, begin_s));
        } else {
            let for_s = rng.random_range(0.3..soak.longest_s).min(longest_s);
            faults.push(SoakFault { at_s, for_s, kind: kind(&mut rng, controllers) });
        }
    }
    // Drawn last, so that recorded seeds repeat their other faults.
    let kind = SoakFaultKind::RepeatedCommands(rng.random_range(0.2..0.9));
    faults.push(SoakFault { at_s: begin_s, for_s: soak.faults_s, kind });
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    faults
}

/// Draws leaders that end one after the other.
fn leaders_in_series(rng: &mut StdRng, soak: &Soak, begin_s: f64) -> Vec<SoakFault> {
    let ends = rng.random_range(2..=4);
    let every_s = soak.faults_s / f64::from(ends + 1);
    let first_s = rng.random_range(0.0..every_s);
    let at_s = |number: i32| begin_s + first_s + f64::from(number) * every_s;
    (0..ends).map(|number| SoakFault { at_s: at_s(number), for_s: 0.5, kind: SoakFaultKind::KillLeader }).collect()
}

fn kind(rng: &mut StdRng, controllers: usize) -> SoakFaultKind {
    let node = rng.random_range(0..controllers);
    let other = (node + rng.random_range(1..controllers)) % controllers;
    let share = rng.random_range(0.2..0.9);
    match rng.random_range(0..17) {
        0 => SoakFaultKind::KillLeader,
        1 => SoakFaultKind::Kill(vec![node]),
        2 => SoakFaultKind::Kill((0..controllers).collect()),
        3 => SoakFaultKind::Pause(node),
        4 => SoakFaultKind::PauseLeader,
        5 | 6 => SoakFaultKind::StateOutage,
        7 => SoakFaultKind::StateRefuses(node),
        8 => {
            let between = vec![Link::Peer { from: node, to: other }, Link::Peer { from: other, to: node }];
            SoakFaultKind::Links(between, link_state(rng))
        }
        9 => SoakFaultKind::Links(vec![Link::State { controller: node }], link_state(rng)),
        10 => SoakFaultKind::Links(vec![Link::Door { controller: node }], link_state(rng)),
        11 => SoakFaultKind::Links(links_of(node, controllers), link_state(rng)),
        12 => SoakFaultKind::LateWrites(share * 0.5),
        13 => SoakFaultKind::LostAnswers(share * 0.5),
        14 => [SoakFaultKind::LateReports(share), SoakFaultKind::LateCommands(share)][rng.random_range(0..2)].clone(),
        15 => [SoakFaultKind::Hang(share), SoakFaultKind::Deaf(share), SoakFaultKind::Mute(share)]
            [rng.random_range(0..3)]
        .clone(),
        _ => SoakFaultKind::Die(rng.random_range(1..4)),
    }
}

/// Returns all links of a controller to the state service and to the other controllers.
fn links_of(node: usize, controllers: usize) -> Vec<Link> {
    let others = (0..controllers).filter(|other| *other != node);
    let peers = others.flat_map(|other| [Link::Peer { from: node, to: other }, Link::Peer { from: other, to: node }]);
    [Link::State { controller: node }].into_iter().chain(peers).collect()
}

fn link_state(rng: &mut StdRng) -> LinkState {
    match rng.random_range(0..3) {
        0 => LinkState::Refusing,
        1 => LinkState::Holding,
        _ => LinkState::Delaying(Duration::from_millis(rng.random_range(50..600))),
    }
}
