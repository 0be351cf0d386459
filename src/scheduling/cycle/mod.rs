//! The scheduling cycle: one pass over the queue of pending jobs. Each job is placed on the machines where
//! its placement costs least. For a job that fits nowhere, `free_capacity` and `gang_preemption` stop work
//! of lower priority.
//!
//! All times without a unit suffix are in milliseconds. `now` and the fields of machines, attempts and
//! tasks refer to the steady clock; `wall` and the acceptance and deadline fields of jobs refer to the wall
//! clock.

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
mod preemption_turns;
mod queue;
mod request;
mod reservations;
mod tasks;
mod team_table;
mod victims;
mod warm_reservations;

use super::Policy;
use super::index::CapacityIndex;
use super::task_requirements::TaskRequirements;
use crate::model::{
    ClusterState, Demand, ExpectedDemand, HostIndex, JobIndex, Shape, TaskKey, Urgency, WarmReservationClaim,
};
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

/// Capacity for a class is scarce while no more tasks fit on its only instance type than this multiple of
/// the number expected.
const SCARCITY_RATIO: f64 = 2.0;

/// An order to start an attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Assignment {
    /// Task to start.
    pub key: TaskKey,
    /// Machine on which the attempt starts.
    pub host: HostIndex,
    /// Number of the new attempt.
    pub attempt: u64,
}

/// An order to stop an attempt so that its capacity becomes available to other work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Preemption {
    /// Machine that runs the attempt.
    pub host: HostIndex,
    /// Task of the attempt.
    pub key: TaskKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// Seconds that the attempt has to save its state; 0 if it saves none.
    pub grace_s: f64,
    /// Job that receives the capacity.
    pub preempting_job: JobIndex,
    /// Reason for the stop.
    pub cause: StopCause,
    /// Seconds of work that the stop discards, as far as known.
    pub lost_work_s: f64,
}

/// A pending job that may not take capacity from another team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedLoan {
    /// Job that was refused.
    pub job: JobIndex,
    /// Reason of the most recent refusal.
    pub reason: Refusal,
}

/// Decisions of one scheduling cycle.
#[derive(Debug, Default)]
pub struct CycleDecisions {
    /// Attempts to start.
    pub starts: Vec<Assignment>,
    /// Attempts to stop.
    pub stops: Vec<Preemption>,
    /// Starts that use a warm reservation; each of them is also in `starts`.
    pub warm_claims: Vec<WarmReservationClaim>,
    /// Pool slots whose warm reservations are released for other work.
    pub released_warm_reservations: Vec<u64>,
    /// Jobs with tasks for which no capacity was found.
    pub pending_jobs: Vec<JobIndex>,
    /// Jobs of `pending_jobs` that may not take capacity from another team; empty without borrowing.
    pub refused_loans: Vec<RefusedLoan>,
    /// Number of machine examinations, summed over all decisions.
    pub hosts_examined: u64,
    /// Number of those examinations that planned what to stop on a machine. They take most of the time of a long
    /// cycle.
    pub preemption_plans: u64,
    /// Whether the limit of preemption plans left pending jobs to the next cycles.
    pub interrupted: bool,
}

/// Working state of one scheduling cycle.
struct SchedulingCycle<'a> {
    cluster: &'a mut ClusterState,
    policy: &'a Policy,
    /// Time of the steady clock, in milliseconds.
    now: u64,
    /// Time of the wall clock, in milliseconds.
    wall: u64,
    /// Number of attempts on all machines at the beginning of the cycle, ended ones included.
    attempts_before: usize,
    index: CapacityIndex,
    /// Classes that can use one instance type only and for which it has hardly more capacity than expected
    /// to be needed.
    scarce_classes: HashSet<String>,
    /// Requirements of tasks that no longer fit on any machine.
    exhausted_requirements: Vec<TaskRequirements>,
    /// Requirements of tasks that would fit on no machine even if everything they may preempt were stopped.
    blocked_requirements: Vec<BlockedRequirements>,
    /// Upper bound, by team, of the demand of tasks that unreconciled machines may run.
    unlocated_demand: HashMap<String, Demand>,
    /// Capacity expected to become free soon as array tasks end; `None` until first needed.
    expected_releases: Option<Vec<ExpectedReleases>>,
    hosts_examined: Cell<u64>,
    preemption_plans: Cell<u64>,
    /// Jobs for which this cycle has planned preemption.
    preemption_turns: HashSet<JobIndex>,
    /// State of lending between teams.
    borrowing: BorrowingDecisions,
    decisions: CycleDecisions,
}

/// Runs one scheduling cycle at the steady time `now` and the wall time `wall`, both in milliseconds.
/// `next_attempt` returns a new attempt number, which never repeats.
///
/// Only work of urgency `min_urgency` or higher is placed, so that cycles for urgent work stay short.
pub fn schedule(
    cluster: &mut ClusterState,
    policy: &Policy,
    now: u64,
    wall: u64,
    min_urgency: Urgency,
    next_attempt: impl FnMut() -> u64,
) -> CycleDecisions {
    expire_reservations(cluster, now);
    if !queue::any_pending(cluster, now, min_urgency) {
        // With an empty queue, neither the index nor the sums by team are needed.
        cluster.accelerators_insufficient = false;
        return CycleDecisions::default();
    }
    schedule_with_index(cluster, policy, now, wall, min_urgency, next_attempt).0
}

/// Removes the reservations that have expired.
fn expire_reservations(cluster: &mut ClusterState, now: u64) {
    for host in cluster.hosts.iter_mut().flatten() {
        host.reservations.retain(|reservation| reservation.until_ms > now);
    }
}

/// Runs the scheduling cycle and returns the decisions together with the index in its final state.
pub(super) fn schedule_with_index(
    cluster: &mut ClusterState,
    policy: &Policy,
    now: u64,
    wall: u64,
    min_urgency: Urgency,
    mut next_attempt: impl FnMut() -> u64,
) -> (CycleDecisions, CapacityIndex) {
    expire_reservations(cluster, now);
    let mut cycle = SchedulingCycle::new(cluster, policy, now, wall);
    cycle.place_all(min_urgency, &mut next_attempt);
    cycle.end_preemption_turns(min_urgency);
    cycle.finish()
}

/// Returns the classes that can run on one instance type only and for which that type has hardly any
/// capacity left.
fn scarce_classes(cluster: &ClusterState, index: &CapacityIndex) -> HashSet<String> {
    let task_capacity = |expected: &ExpectedDemand| -> f64 {
        let hosts = index.hosts.iter().filter(|host| host.usable && expected.allows(host.instance_type));
        hosts.map(|host| host.free.tasks_that_fit(&expected.demand)).sum()
    };
    let scarce =
        cluster.expected_demands.iter().filter(|expected| task_capacity(expected) <= SCARCITY_RATIO * expected.tasks);
    scarce.map(|expected| expected.class.clone()).collect()
}

impl<'a> SchedulingCycle<'a> {
    fn new(cluster: &'a mut ClusterState, policy: &'a Policy, now: u64, wall: u64) -> SchedulingCycle<'a> {
        let index = CapacityIndex::new(cluster, now);
        SchedulingCycle {
            now,
            wall,
            attempts_before: cluster.each_host().map(|(_, host)| host.attempts.len()).sum(),
            scarce_classes: scarce_classes(cluster, &index),
            exhausted_requirements: Vec::new(),
            blocked_requirements: Vec::new(),
            unlocated_demand: cluster.unlocated_demand(),
            expected_releases: None,
            hosts_examined: Cell::new(0),
            preemption_plans: Cell::new(0),
            preemption_turns: HashSet::new(),
            borrowing: BorrowingDecisions::new(TeamTable::new(cluster, policy, &index)),
            decisions: CycleDecisions::default(),
            index,
            cluster,
            policy,
        }
    }

    /// Completes the decisions and records in the cluster state what the next cycle needs.
    fn finish(mut self) -> (CycleDecisions, CapacityIndex) {
        self.borrowing.store_refusal();
        if !self.decisions.pending_jobs.is_empty() {
            self.cluster.last_pending_ms = self.now;
        }
        let lacks_accelerators = |job_index: &JobIndex| {
            let job = &self.cluster.jobs[*job_index];
            job.spec.demand.gpus > 0.0 && job.urgency >= Urgency::High
        };
        self.cluster.accelerators_insufficient = self.decisions.pending_jobs.iter().any(lacks_accelerators);
        self.decisions.hosts_examined = self.hosts_examined.get();
        self.decisions.preemption_plans = self.preemption_plans.get();
        let refused_loan = |job: &JobIndex| Some(RefusedLoan { job: *job, reason: self.borrowing.refusal(*job)? });
        self.decisions.refused_loans = self.decisions.pending_jobs.iter().filter_map(refused_loan).collect();
        (self.decisions, self.index)
    }

    /// Places the pending jobs in queue order, and frees capacity for those that fit nowhere.
    fn place_all(&mut self, min_urgency: Urgency, next_attempt: &mut impl FnMut() -> u64) {
        let mut leading_gang_found = false;
        for QueuedJob { job_index, tier } in self.queue(min_urgency) {
            self.borrowing.store_refusal();
            let request = PlacementRequest { tier, ..self.request(job_index) };
            if self.place(&request, next_attempt)
                || (self.release_warm_reservations(&request) && self.place(&request, next_attempt))
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
                // The job is in the queue again, in a later tier.
                continue;
            }
            if gang && !leading_gang_found {
                leading_gang_found = true;
                self.reserve_for_gang(&request);
            } else if !self.take_preemption_turn(job_index) {
                continue;
            } else if gang {
                self.free_capacity_for_gang(&request);
            } else {
                self.free_capacity(&request);
            }
        }
    }

    /// Places the pending tasks of a job. Returns `false` if there was no capacity for one of them.
    fn place(&mut self, request: &PlacementRequest, next_attempt: &mut impl FnMut() -> u64) -> bool {
        match self.cluster.jobs[request.job_index].spec.shape {
            Shape::Gang => self.place_gang(request, next_attempt),
            _ => self.place_tasks(request, next_attempt),
        }
    }
}
