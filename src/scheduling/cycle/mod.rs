//! The scheduling cycle over the bins: placement and gangs; `room` makes room.

mod borrowing;
mod candidates;
mod cost;
mod displacement;
mod ending;
mod gang;
mod limits;
mod planned_stops;
mod preemption;
mod queue;
mod request;
mod reservations;
mod room;
mod tasks;
mod team_table;
mod warm_rooms;

use super::Policy;
use super::index::{Index, TaskRequirements};
use crate::model::{ClusterState, Demand, HostIndex, JobIndex, Reserve, Shape, TaskKey, Urgency, WarmReservationClaim};
use badgerdrift_borrowing::Refusal;
use borrowing::BorrowingDecisions;
pub use borrowing::StopCause;
use ending::EndingTasks;
use queue::{QueueTier, QueuedJob};
use request::PlacementRequest;
use room::BlockedRequirements;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use team_table::TeamTable;

/// A class is short of room with less than so many times what it is expected to need.
const SCARCE: f64 = 2.0;

/// Start this attempt on that machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assignment {
    /// The task.
    pub key: TaskKey,
    /// The machine.
    pub host: HostIndex,
    /// Number of the new attempt.
    pub attempt: u64,
}

/// Stop this attempt, to make room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Preemption {
    /// The machine that it is on.
    pub host: HostIndex,
    /// The task.
    pub key: TaskKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// Seconds that it has for saving its state; 0 if it saves none.
    pub grace_s: f64,
    /// The job that gets the room.
    pub by: JobIndex,
    /// Why it is stopped.
    pub cause: StopCause,
    /// Seconds of its work that are lost, as far as is known.
    pub lost_s: f64,
}

/// A job that waits, as no work of another team may be stopped for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedLoan {
    /// The job.
    pub job: JobIndex,
    /// Why, as found last.
    pub reason: Refusal,
}

/// What a scheduling cycle decided.
#[derive(Debug, Default)]
pub struct CycleDecisions {
    /// Attempts to be started.
    pub starts: Vec<Assignment>,
    /// Attempts to be stopped.
    pub stops: Vec<Preemption>,
    /// Tasks that were given rooms of warm pools; they are among the starts.
    pub warm_claims: Vec<WarmReservationClaim>,
    /// Slots of warm pools whose rooms are given to other work.
    pub warm_reservations_given_up: Vec<u64>,
    /// Jobs with tasks that found no room.
    pub pending_jobs: Vec<JobIndex>,
    /// Jobs among these for which no work of another team may be stopped; none without borrowing.
    pub refused_loans: Vec<RefusedLoan>,
    /// How many machines were looked at for how many decisions together.
    pub hosts_examined: u64,
}

/// Scratch values of one scheduling cycle.
struct SchedulingCycle<'a> {
    cluster: &'a mut ClusterState,
    policy: &'a Policy,
    now: u64,
    /// Attempts on all machines when the scheduling cycle began, ended ones included.
    attempts_before: usize,
    wall: u64,
    index: Index,
    /// Classes whose one machine type has no more room than is expected to be needed.
    scarce_classes: HashSet<String>,
    /// Kinds of tasks for which no machine has room any more.
    full: Vec<TaskRequirements>,
    /// The same even if all lesser work left.
    blocked: Vec<BlockedRequirements>,
    /// What machines that are not reconciled may hold of each team's tasks.
    unseen: HashMap<String, Demand>,
    /// Array tasks that end by themselves soon, once they were counted.
    ending: Option<Vec<EndingTasks>>,
    hosts_examined: Cell<u64>,
    /// Loans between teams.
    borrowing: BorrowingDecisions,
    out: CycleDecisions,
}

/// One scheduling cycle over the bins, lowest first. `attempt` yields numbers that never
/// repeat.
///
/// Only work of `least` urgency or more is placed: scheduling cycles for what can't wait are
/// short, whatever else does.
pub fn schedule(
    cluster: &mut ClusterState,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    attempt: impl FnMut() -> u64,
) -> CycleDecisions {
    expire_reservations(cluster, now);
    if !queue::any_waits(cluster, now, least) {
        // Nothing to decide: what a scheduling cycle counts first would be counted in vain.
        cluster.accelerators_short = false;
        return CycleDecisions::default();
    }
    schedule_with_index(cluster, policy, now, wall, least, attempt).0
}

/// Drops the claims of room that have run out.
fn expire_reservations(cluster: &mut ClusterState, now: u64) {
    for host in cluster.hosts.iter_mut().flatten() {
        host.reservations.retain(|c| c.until_ms > now);
    }
}

/// The scheduling cycle, with the index as it left it.
pub(super) fn schedule_with_index(
    cluster: &mut ClusterState,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    mut attempt: impl FnMut() -> u64,
) -> (CycleDecisions, Index) {
    expire_reservations(cluster, now);
    let index = Index::new(cluster, now);
    let unseen = cluster.unseen();
    let attempts_before = cluster.each_host().map(|(_, h)| h.attempts.len()).sum();
    let borrowing = BorrowingDecisions::new(TeamTable::new(cluster, policy, &index));
    let mut p = SchedulingCycle {
        attempts_before,
        scarce_classes: scarce_classes(cluster, &index),
        index,
        cluster,
        policy,
        now,
        wall,
        full: Vec::new(),
        blocked: Vec::new(),
        unseen,
        ending: None,
        hosts_examined: Cell::new(0),
        borrowing,
        out: CycleDecisions::default(),
    };
    p.place_all(least, &mut attempt);
    p.borrowing.keep_refusal();
    if !p.out.pending_jobs.is_empty() {
        p.cluster.waited_ms = now;
    }
    let waits = |job_index: &JobIndex| {
        let job = &p.cluster.jobs[*job_index];
        job.spec.demand.gpus > 0.0 && job.urgency >= Urgency::High
    };
    p.cluster.accelerators_short = p.out.pending_jobs.iter().any(waits);
    p.out.hosts_examined = p.hosts_examined.get();
    let refused = |job: &JobIndex| Some(RefusedLoan { job: *job, reason: p.borrowing.refusal(*job)? });
    p.out.refused_loans = p.out.pending_jobs.iter().filter_map(refused).collect();
    (p.out, p.index)
}

/// Classes that can run on one machine type alone and have hardly room there.
fn scarce_classes(cluster: &ClusterState, index: &Index) -> HashSet<String> {
    let slots = |r: &Reserve| -> f64 {
        let hosts = index.slots.iter().filter(|s| s.usable && r.allows(s.instance_type));
        hosts.map(|s| s.free.slots(&r.demand)).sum()
    };
    cluster.reserves.iter().filter(|r| slots(r) <= SCARCE * r.tasks).map(|r| r.class.clone()).collect()
}

impl SchedulingCycle<'_> {
    /// Places what waits, and makes room for what found none.
    fn place_all(&mut self, least: Urgency, attempt: &mut impl FnMut() -> u64) {
        let mut gang_leads = false;
        for QueuedJob { job_index, tier } in self.queue(least) {
            self.borrowing.keep_refusal();
            let request = PlacementRequest { tier, ..self.request(job_index) };
            if self.place(&request, attempt)
                || (self.yield_warm_reservations(&request) && self.place(&request, attempt))
            {
                continue;
            }
            if self.out.pending_jobs.last() != Some(&job_index) && !self.out.pending_jobs.contains(&job_index) {
                self.out.pending_jobs.push(job_index);
            }
            let gang = self.cluster.jobs[job_index].spec.shape == Shape::Gang;
            if tier == QueueTier::Returned && !gang {
                // Its ordinary turn comes.
                continue;
            }
            if gang && !gang_leads {
                gang_leads = true;
                self.reserve_for_gang(&request);
            } else if gang {
                self.free_capacity_for_gang(&request);
            } else {
                self.free_capacity(&request);
            }
        }
    }

    /// Places the waiting tasks of a job; false if room lacked.
    fn place(&mut self, request: &PlacementRequest, attempt: &mut impl FnMut() -> u64) -> bool {
        match self.cluster.jobs[request.job_index].spec.shape {
            Shape::Gang => self.place_gang(request, attempt),
            _ => self.place_tasks(request, attempt),
        }
    }
}
