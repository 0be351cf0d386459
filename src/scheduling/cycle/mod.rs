//! The scheduling cycle: one run over the queue of waiting jobs. Each job is placed where that costs
//! least; for one that fits nowhere, `free_capacity` and `gang` preempt lesser work.
//!
//! All times without a suffix of their own are milliseconds: `now` and fields of machines, attempts and
//! tasks on the steady clock, `wall` and fields of jobs' acceptance and deadlines on the wall clock.

mod borrowing;
mod candidates;
mod cost;
mod expected_releases;
mod free_capacity;
mod gang;
mod gang_preemption;
mod gang_reservations;
mod limits;
mod migration;
mod planned_stops;
mod preemption_eligibility;
mod preemption_orders;
mod queue;
mod request;
mod reservations;
mod tasks;
mod team_table;
mod victims;
mod warm_reservations;

use super::Policy;
use super::index::Index;
use super::task_requirements::TaskRequirements;
use crate::model::{ClusterState, Demand, HostIndex, JobIndex, Reserve, Shape, TaskKey, Urgency, WarmReservationClaim};
use badgerdrift_borrowing::Refusal;
use borrowing::BorrowingDecisions;
pub use borrowing::StopCause;
use expected_releases::ExpectedReleases;
use free_capacity::BlockedRequirements;
use queue::{QueueTier, QueuedJob};
use request::PlacementRequest;
use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use team_table::TeamTable;

/// Capacity for a class is scarce while its one instance type fits no more than this multiple of
/// the tasks that are expected.
const SCARCITY_RATIO: f64 = 2.0;

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

/// Stop this attempt, to free capacity for other work.
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
    /// The job that gets the capacity.
    pub by: JobIndex,
    /// Why it is stopped.
    pub cause: StopCause,
    /// Seconds of its work that are lost, as far as is known.
    pub lost_s: f64,
}

/// A pending job for which no work of another team may be stopped.
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
    /// Starts that take over a warm reservation; they are among `starts`.
    pub warm_claims: Vec<WarmReservationClaim>,
    /// Pool slots whose warm reservations are given up for other work.
    pub warm_reservations_given_up: Vec<u64>,
    /// Jobs with tasks for which no capacity was found.
    pub pending_jobs: Vec<JobIndex>,
    /// Jobs among these for which no work of another team may be stopped; none without borrowing.
    pub refused_loans: Vec<RefusedLoan>,
    /// Machines examined, summed over all decisions.
    pub hosts_examined: u64,
}

/// Working state of one scheduling cycle.
struct SchedulingCycle<'a> {
    cluster: &'a mut ClusterState,
    policy: &'a Policy,
    /// Steady clock, milliseconds.
    now: u64,
    /// Wall clock, milliseconds.
    wall: u64,
    /// Attempts on all machines when the scheduling cycle began, ended ones included.
    attempts_before: usize,
    index: Index,
    /// Classes whose one instance type has hardly more capacity than they are expected to need.
    scarce_classes: HashSet<String>,
    /// Kinds of tasks that fit no machine any more.
    exhausted_requirements: Vec<TaskRequirements>,
    /// Kinds of tasks that would fit no machine even if all that may be preempted for them were.
    blocked: Vec<BlockedRequirements>,
    /// By team, what unreconciled machines may hold of its tasks.
    unlocated_demand: HashMap<String, Demand>,
    /// Array tasks that are expected to end by themselves soon; counted when first needed.
    expected_releases: Option<Vec<ExpectedReleases>>,
    hosts_examined: Cell<u64>,
    /// Loans between teams.
    borrowing: BorrowingDecisions,
    decisions: CycleDecisions,
}

/// Runs one scheduling cycle at the steady time `now` and the wall time `wall`, both in milliseconds.
/// `attempt` yields numbers of attempts, which never repeat.
///
/// Only work of `least` urgency or more is placed, so that cycles for urgent work stay short.
pub fn schedule(
    cluster: &mut ClusterState,
    policy: &Policy,
    now: u64,
    wall: u64,
    least: Urgency,
    attempt: impl FnMut() -> u64,
) -> CycleDecisions {
    expire_reservations(cluster, now);
    if !queue::any_pending(cluster, now, least) {
        // The index and the teams' sums need not be counted for an empty queue.
        cluster.accelerators_short = false;
        return CycleDecisions::default();
    }
    schedule_with_index(cluster, policy, now, wall, least, attempt).0
}

/// Drops the reservations that have expired.
fn expire_reservations(cluster: &mut ClusterState, now: u64) {
    for host in cluster.hosts.iter_mut().flatten() {
        host.reservations.retain(|reservation| reservation.until_ms > now);
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
    let mut cycle = SchedulingCycle::new(cluster, policy, now, wall);
    cycle.place_all(least, &mut attempt);
    cycle.finish()
}

/// Classes that can run on one instance type alone and for which hardly any capacity is left there.
fn scarce_classes(cluster: &ClusterState, index: &Index) -> HashSet<String> {
    let task_capacity = |reserve: &Reserve| -> f64 {
        let hosts = index.hosts.iter().filter(|host| host.usable && reserve.allows(host.instance_type));
        hosts.map(|host| host.free.tasks_that_fit(&reserve.demand)).sum()
    };
    let scarce = cluster.reserves.iter().filter(|reserve| task_capacity(reserve) <= SCARCITY_RATIO * reserve.tasks);
    scarce.map(|reserve| reserve.class.clone()).collect()
}

impl<'a> SchedulingCycle<'a> {
    fn new(cluster: &'a mut ClusterState, policy: &'a Policy, now: u64, wall: u64) -> SchedulingCycle<'a> {
        let index = Index::new(cluster, now);
        SchedulingCycle {
            now,
            wall,
            attempts_before: cluster.each_host().map(|(_, host)| host.attempts.len()).sum(),
            scarce_classes: scarce_classes(cluster, &index),
            exhausted_requirements: Vec::new(),
            blocked: Vec::new(),
            unlocated_demand: cluster.unlocated_demand(),
            expected_releases: None,
            hosts_examined: Cell::new(0),
            borrowing: BorrowingDecisions::new(TeamTable::new(cluster, policy, &index)),
            decisions: CycleDecisions::default(),
            index,
            cluster,
            policy,
        }
    }

    /// Sums up the cycle for the next one and for the caller.
    fn finish(mut self) -> (CycleDecisions, Index) {
        self.borrowing.keep_refusal();
        if !self.decisions.pending_jobs.is_empty() {
            self.cluster.last_pending_ms = self.now;
        }
        let lacks_accelerators = |job_index: &JobIndex| {
            let job = &self.cluster.jobs[*job_index];
            job.spec.demand.gpus > 0.0 && job.urgency >= Urgency::High
        };
        self.cluster.accelerators_short = self.decisions.pending_jobs.iter().any(lacks_accelerators);
        self.decisions.hosts_examined = self.hosts_examined.get();
        let refused = |job: &JobIndex| Some(RefusedLoan { job: *job, reason: self.borrowing.refusal(*job)? });
        self.decisions.refused_loans = self.decisions.pending_jobs.iter().filter_map(refused).collect();
        (self.decisions, self.index)
    }

    /// Places what is pending, and frees capacity for what fits nowhere.
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
            if self.decisions.pending_jobs.last() != Some(&job_index)
                && !self.decisions.pending_jobs.contains(&job_index)
            {
                self.decisions.pending_jobs.push(job_index);
            }
            let gang = self.cluster.jobs[job_index].spec.shape == Shape::Gang;
            if tier == QueueTier::Returned && !gang {
                // The job is queued once more, in a later tier.
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

    /// Places the pending tasks of a job; false if capacity for one of them lacked.
    fn place(&mut self, request: &PlacementRequest, attempt: &mut impl FnMut() -> u64) -> bool {
        match self.cluster.jobs[request.job_index].spec.shape {
            Shape::Gang => self.place_gang(request, attempt),
            _ => self.place_tasks(request, attempt),
        }
    }
}
