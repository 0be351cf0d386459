//! The pass over the bins: placement and gangs; `room` makes room.

mod candidates;
mod claims;
mod cost;
mod gang;
mod limits;
mod need;
mod preemption;
mod queue;
mod room;
mod tasks;

use super::Policy;
use super::index::{Index, Want};
use crate::model::{Demand, HostIx, JobIx, Reserve, Shape, TaskKey, Urgency, World};
use need::Need;
use room::Wall;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};

/// A class is short of room with less than so many times what it is expected to need.
const SCARCE: f64 = 2.0;

/// Start this attempt on that machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assignment {
    pub key: TaskKey,
    pub host: HostIx,
    pub attempt: u64,
}

/// Stop this attempt, to make room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Eviction {
    pub host: HostIx,
    pub key: TaskKey,
    pub attempt: u64,
    pub grace_s: f64,
    /// The job that gets the room.
    pub by: JobIx,
}

/// What a pass decided.
#[derive(Debug, Default)]
pub struct Outcome {
    pub starts: Vec<Assignment>,
    pub stops: Vec<Eviction>,
    /// Jobs with tasks that found no room.
    pub unplaced: Vec<JobIx>,
    /// How many machines were looked at for how many decisions together.
    pub looked: u64,
}

/// Scratch values of one pass.
struct Pass<'a> {
    world: &'a mut World,
    policy: &'a Policy,
    now: u64,
    wall: u64,
    index: Index,
    /// Classes whose one machine type has no more room than is expected to be needed.
    scarce: HashSet<String>,
    /// Kinds of tasks for which no machine has room any more.
    full: Vec<Want>,
    /// The same even if all lesser work left.
    walled: Vec<Wall>,
    /// What machines that are not accounted for may hold of each team's tasks.
    unseen: HashMap<String, Demand>,
    looked: Cell<u64>,
    out: Outcome,
}

/// One pass over the bins, lowest first. `attempt` yields numbers that never
/// repeat.
///
/// Only work of `least` urgency or more is placed: passes for what can't wait are
/// short, whatever else does.
pub fn pass(
    world: &mut World,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    attempt: impl FnMut() -> u64,
) -> Outcome {
    pass_and_index(world, policy, now, wall, least, attempt).0
}

/// The pass, with the index as it left it.
pub(super) fn pass_and_index(
    world: &mut World,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    mut attempt: impl FnMut() -> u64,
) -> (Outcome, Index) {
    for host in world.hosts.iter_mut().flatten() {
        host.claims.retain(|c| c.until_ms > now);
    }
    let index = Index::new(world, now);
    let unseen = world.unseen();
    let mut p = Pass {
        scarce: scarce(world, &index),
        index,
        world,
        policy,
        now,
        wall,
        full: Vec::new(),
        walled: Vec::new(),
        unseen,
        looked: Cell::new(0),
        out: Outcome::default(),
    };
    p.place_all(least, &mut attempt);
    if !p.out.unplaced.is_empty() {
        p.world.waited_ms = now;
    }
    let waits = |ix: &JobIx| {
        let spec = &p.world.jobs[*ix].spec;
        spec.demand.gpus > 0.0 && spec.urgency >= Urgency::High
    };
    p.world.hungry = p.out.unplaced.iter().any(waits);
    p.out.looked = p.looked.get();
    (p.out, p.index)
}

/// Classes that can run on one machine type alone and have hardly room there.
fn scarce(world: &World, index: &Index) -> HashSet<String> {
    let slots = |r: &Reserve| -> f64 {
        let hosts = index.slots.iter().filter(|s| s.usable && r.allows(s.flavor));
        hosts.map(|s| s.free.slots(&r.demand)).sum()
    };
    world.reserves.iter().filter(|r| slots(r) <= SCARCE * r.tasks).map(|r| r.class.clone()).collect()
}

impl Pass<'_> {
    /// Places what waits, and makes room for what found none.
    fn place_all(&mut self, least: Urgency, attempt: &mut impl FnMut() -> u64) {
        let mut gang_leads = false;
        for ix in self.queue(least) {
            let need = self.need(ix);
            if self.place(&need, attempt) {
                continue;
            }
            self.out.unplaced.push(ix);
            let gang = self.world.jobs[ix].spec.shape == Shape::Gang;
            if gang && !gang_leads {
                gang_leads = true;
                self.hold_for_gang(&need);
            } else {
                self.make_room(&need);
            }
        }
    }

    /// Places the waiting tasks of a job; false if room lacked.
    fn place(&mut self, need: &Need, attempt: &mut impl FnMut() -> u64) -> bool {
        match self.world.jobs[need.ix].spec.shape {
            Shape::Gang => self.place_gang(need, attempt),
            _ => self.place_tasks(need, attempt),
        }
    }
}
