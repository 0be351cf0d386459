//! Lending between teams: decides which work of another team may be stopped and at what cost. No other
//! module decides this; without borrowing, every stop is an ordinary preemption.

use super::SchedulingCycle;
use super::planned_stops::{PlannedStops, demand_lost_by_stop};
use super::team_table::{TeamEntry, TeamTable};
use crate::model::{BorrowingState, Demand, HostIndex, JobIndex, Shape, Spec, TaskAttempt, Urgency};
use badgerdrift_borrowing::{Amounts, LoanKind, PreemptibleWork, Refusal};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Cost of stopping a job that was recently preempted for a loan. It exceeds the other costs, so that any
/// other job is stopped first.
const RECENTLY_PREEMPTED_COST: f64 = 1000.0;

/// Reason for stopping an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// Preemption for more urgent work or for a guarantee, without a loan.
    Preemption,
    /// Migration to another machine.
    Migration,
    /// A loan by the team of the attempt. The loan is recorded before the stop is ordered.
    Loan(LoanKind),
    /// Return of borrowed capacity that the lender needs to reach its floor.
    Reclaim,
}

/// Cached answers of the settings for one job: which work of each team may be stopped for it, by urgency.
#[derive(Debug, Default)]
struct PermissionCache {
    job: Option<JobIndex>,
    by_team: Vec<[Option<Result<(), Refusal>>; Urgency::COUNT]>,
}

/// Cached result of whether the next start of a job is within the guarantee of its team. It is valid while
/// `change_count` stays the same.
#[derive(Debug, Clone, Copy)]
struct GuaranteeCheck {
    job: JobIndex,
    change_count: u64,
    within: bool,
}

/// Team sums, caches and decisions that concern lending in one scheduling cycle.
#[derive(Debug, Default)]
pub(super) struct BorrowingDecisions {
    pub(super) teams: TeamTable,
    permissions: RefCell<PermissionCache>,
    guarantee_check: Cell<Option<GuaranteeCheck>>,
    /// Number of changes of usage and reservations in this cycle.
    change_count: Cell<u64>,
    /// Reason why work of other teams was not stopped for the job examined last.
    pending_refusal: Cell<Option<(JobIndex, Refusal)>>,
    /// The last refusal of each job examined before.
    refusals: BTreeMap<JobIndex, Refusal>,
}

impl BorrowingDecisions {
    pub(super) fn new(teams: TeamTable) -> BorrowingDecisions {
        BorrowingDecisions { teams, ..BorrowingDecisions::default() }
    }

    /// Returns the reason why work of other teams was not stopped for this job, or `None` if there was no
    /// refusal.
    pub(super) fn refusal(&self, job_index: JobIndex) -> Option<Refusal> {
        self.refusals.get(&job_index).copied()
    }

    /// Stores the pending refusal under its job.
    pub(super) fn store_refusal(&mut self) {
        if let Some((job, refusal)) = self.pending_refusal.take() {
            self.refusals.insert(job, refusal);
        }
    }

    /// Records that usage or reservations have changed, which invalidates the cached guarantee check.
    pub(super) fn record_change(&self) {
        self.change_count.set(self.change_count.get() + 1);
    }

    /// Adds the demand of a started task to the usage of its team.
    pub(super) fn record_start(&mut self, job: JobIndex, demand: Demand) {
        self.record_change();
        if let Some(team) = self.teams.team_mut(job) {
            team.share.in_use = team.share.in_use.sum_with(Amounts::from(demand));
        }
    }

    /// Subtracts stopped tasks of a job from the usage of its team, and updates the amounts lent or
    /// borrowed. `demand_per_task` is the demand of one task.
    pub(super) fn record_stop(&mut self, job: JobIndex, demand_per_task: Demand, tasks: u32, cause: StopCause) {
        self.record_change();
        let amounts = Amounts::from(demand_per_task).times(f64::from(tasks));
        let Some(team) = self.teams.team_mut(job) else { return };
        team.share.in_use = team.share.in_use.minus(amounts);
        match cause {
            StopCause::Loan(LoanKind::Borrowed) => team.lent = team.lent.sum_with(amounts),
            StopCause::Reclaim => team.borrowed = team.borrowed.minus(amounts),
            _ => {}
        }
    }
}

impl SchedulingCycle<'_> {
    /// Returns the cause for which this attempt may be stopped for the job, given the stops that are
    /// planned for the same start.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the attempt belongs to another team and may not be stopped.
    pub(super) fn stop_cause(
        &self,
        job_index: JobIndex,
        attempt: &TaskAttempt,
        planned: &PlannedStops,
    ) -> Result<StopCause, Refusal> {
        let Some(borrowing) = &self.cluster.borrowing else { return Ok(StopCause::Preemption) };
        if self.same_team(job_index, attempt.key.job) {
            Ok(StopCause::Preemption)
        } else if self.is_reclaim(job_index, attempt, planned) {
            Ok(StopCause::Reclaim)
        } else {
            let kind = self.loan_kind(borrowing, job_index, attempt.key.job, planned);
            if let Err(refusal) = kind {
                self.borrowing.pending_refusal.set(Some((job_index, refusal)));
            }
            kind.map(StopCause::Loan)
        }
    }

    /// Returns whether the attempt may migrate for a job of another team. During the migration it does not
    /// count as usage of its own team, so that team must stay at or above its floor.
    pub(super) fn may_migrate(&self, job_index: JobIndex, attempt: &TaskAttempt, planned: &PlannedStops) -> bool {
        self.cluster.borrowing.is_none()
            || self.same_team(job_index, attempt.key.job)
            || self.keeps_floor(attempt.key.job, planned)
    }

    /// Returns whether both jobs belong to one team. Valid only with borrowing enabled.
    fn same_team(&self, job: JobIndex, other: JobIndex) -> bool {
        self.borrowing.teams.team_index(job) == self.borrowing.teams.team_index(other)
    }

    /// Returns the amounts that the team of `victim` loses if a task of it is stopped in addition to the
    /// planned stops.
    fn taken_if_stopped(&self, victim: JobIndex, planned: &PlannedStops) -> Amounts {
        let team = self.borrowing.teams.team(victim);
        let mut taken = planned.taken_from(self.cluster, &team.name);
        if !planned.includes_whole_gang(self.cluster, victim) {
            taken.add(&demand_lost_by_stop(self.cluster, victim));
        }
        Amounts::from(taken)
    }

    /// Returns whether the team of `victim` stays at or above its floor if a task of it, or the whole gang,
    /// is stopped in addition to the planned stops.
    fn keeps_floor(&self, victim: JobIndex, planned: &PlannedStops) -> bool {
        planned.includes_whole_gang(self.cluster, victim)
            || self.borrowing.teams.team(victim).share.keeps_floor_without(self.taken_if_stopped(victim, planned))
    }

    /// Returns the kind of loan that a stop of `victim` for the job would be.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no loan is possible now, if the lender would fall below its floor, if the
    /// settings forbid the loan, or if it exceeds the amount that the lender may lend.
    fn loan_kind(
        &self,
        borrowing: &BorrowingState,
        job_index: JobIndex,
        victim: JobIndex,
        planned: &PlannedStops,
    ) -> Result<LoanKind, Refusal> {
        if let Some(refusal) = borrowing.refusal {
            return Err(refusal);
        }
        if !self.keeps_floor(victim, planned) {
            return Err(Refusal::LenderAtFloor);
        }
        if self.starts_within_guarantee(job_index) {
            return Ok(LoanKind::Guaranteed);
        }
        self.check_permission(borrowing, job_index, victim)?;
        let lender = self.borrowing.teams.team(victim);
        let lent = lender.lent.sum_with(self.taken_if_stopped(victim, planned));
        let within_max = Amounts::new(f64::INFINITY, lender.max_lent_gpus).covers(lent);
        if within_max { Ok(LoanKind::Borrowed) } else { Err(Refusal::LenderAtLimit) }
    }

    /// Checks whether the settings allow work of `victim` to be stopped for the job. Answers are cached by
    /// team and urgency.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the settings.
    fn check_permission(
        &self,
        borrowing: &BorrowingState,
        job_index: JobIndex,
        victim: JobIndex,
    ) -> Result<(), Refusal> {
        let mut permissions = self.borrowing.permissions.borrow_mut();
        if permissions.job != Some(job_index) {
            permissions.job = Some(job_index);
            permissions.by_team.clear();
            permissions.by_team.resize(self.borrowing.teams.len(), [None; Urgency::COUNT]);
        }
        let (job, victim_urgency) = (&self.cluster.jobs[job_index], self.cluster.jobs[victim].urgency);
        let permission = &mut permissions.by_team[self.borrowing.teams.team_index(victim)][victim_urgency as usize];
        *permission.get_or_insert_with(|| {
            let lender = &self.borrowing.teams.team(victim).name;
            borrowing.settings.check_permitted(lender, victim_urgency.into(), &job.spec.team, job.urgency.into())
        })
    }

    /// Returns whether the next start of the job, or of the whole gang, is within the guarantee of its
    /// team, given current usage and reservations.
    fn starts_within_guarantee(&self, job_index: JobIndex) -> bool {
        let change_count = self.borrowing.change_count.get();
        let cached = self
            .borrowing
            .guarantee_check
            .get()
            .filter(|cached| cached.job == job_index && cached.change_count == change_count);
        if let Some(cached) = cached {
            return cached.within;
        }
        let spec = &self.cluster.jobs[job_index].spec;
        let started_together = if spec.shape == Shape::Gang { spec.tasks as usize } else { 1 };
        let within = self.tasks_within_guarantee(spec, started_together) == started_together;
        self.borrowing.guarantee_check.set(Some(GuaranteeCheck { job: job_index, change_count, within }));
        within
    }

    /// Returns whether stopping the attempt returns borrowed capacity to the job's team. This requires that
    /// the attempt's team owes it capacity, that the job's team is below its floor and that the job starts
    /// within its guarantee. Anything that the debtor has borrowed, from any team, may then be stopped
    /// regardless of urgency while the debtor keeps its floor; of a service, one replica at a time.
    fn is_reclaim(&self, job_index: JobIndex, attempt: &TaskAttempt, planned: &PlannedStops) -> bool {
        let teams = &self.borrowing.teams;
        let lender = teams.team(job_index);
        let victim = attempt.key.job;
        if !lender.debtors.contains(&teams.team_index(victim))
            || !is_below_floor_for(lender, &self.cluster.jobs[job_index].spec)
        {
            return false;
        }
        let borrower = teams.team(victim);
        let returned = Amounts::from(planned.taken_from(self.cluster, &borrower.name));
        let still_owes = !borrower.borrowed.saturating_sub(returned).is_zero();
        let is_service = self.cluster.jobs[victim].spec.shape == Shape::Service;
        still_owes
            && self.starts_within_guarantee(job_index)
            && self.keeps_floor(victim, planned)
            && (!is_service || self.no_other_replica_stops(victim, planned))
    }

    /// Returns whether work of other teams could be stopped for the job regardless of urgency, because they
    /// owe capacity to its team.
    pub(super) fn may_reclaim(&self, job_index: JobIndex) -> bool {
        if self.cluster.borrowing.is_none() {
            return false;
        }
        let lender = self.borrowing.teams.team(job_index);
        !lender.debtors.is_empty() && is_below_floor_for(lender, &self.cluster.jobs[job_index].spec)
    }

    /// Returns whether no other replica of the service is being stopped or planned to be.
    fn no_other_replica_stops(&self, service: JobIndex, planned: &PlannedStops) -> bool {
        let stops = |host: HostIndex| {
            let attempts = self.cluster.host(host).map_or(&[][..], |host| &host.attempts);
            attempts.iter().any(|own| own.key.job == service && !own.ended() && own.stop.is_some())
        };
        !planned.includes_job(service) && !self.index.hosts_of(service).any(stops)
    }

    /// Returns by how much the job's team is below its floor, in whole accelerators, or in CPUs if it lacks
    /// no accelerators. It is 0 if the team lends nothing. Of several lenders, the one with the largest
    /// shortfall is placed first.
    pub(super) fn floor_shortfall(&self, job_index: JobIndex) -> u64 {
        if self.cluster.borrowing.is_none() {
            return 0;
        }
        let team = self.borrowing.teams.team(job_index);
        if team.lent.is_zero() {
            return 0;
        }
        let shortfall = team.share.shortfall();
        let missing = if shortfall.gpus > 0.0 { shortfall.gpus } else { shortfall.cpus };
        missing.ceil() as u64
    }

    /// Returns how many tasks of the job are placed first because their lent capacity is being returned.
    pub(super) fn returning_tasks(&self, job_index: JobIndex) -> u32 {
        let borrowing = self.cluster.borrowing.as_ref();
        borrowing.and_then(|borrowing| borrowing.returning_tasks.get(&job_index)).copied().unwrap_or(0)
    }

    /// Returns whether the job was recently preempted for a loan.
    pub(super) fn recently_preempted_for_loan(&self, job_index: JobIndex) -> bool {
        self.cluster.borrowing.as_ref().is_some_and(|borrowing| borrowing.recently_preempted.contains(&job_index))
    }

    /// Returns the seconds of work that are lost if the attempt is stopped.
    pub(super) fn lost_work_s(&self, attempt: &TaskAttempt, host_index: HostIndex) -> f64 {
        let spec = &self.cluster.jobs[attempt.key.job].spec;
        let instance_type = &self.cluster.instance_types[self.index.hosts[host_index].instance_type];
        let rate = instance_type.fetch_gb_per_s;
        PreemptibleWork {
            ran_s: self.now.saturating_sub(attempt.since_ms) as f64 / 1000.0,
            checkpoint_every_s: spec.checkpoint_s,
            flush_s: spec.save_s,
            fetch_s: if rate > 0.0 { spec.image_gb / rate } else { 0.0 },
            tasks: if spec.shape == Shape::Gang { spec.tasks } else { 1 },
        }
        .lost_work_s()
    }

    /// Returns the cost of the work that is lost if an attempt of another team is stopped. Work of the
    /// duration of one worker lease costs as much as one stopped task.
    pub(super) fn loan_cost(&self, attempt: &TaskAttempt, host_index: HostIndex) -> f64 {
        let lease_s = self.policy.lease_ms as f64 / 1000.0;
        let recent_preemption_cost =
            if self.recently_preempted_for_loan(attempt.key.job) { RECENTLY_PREEMPTED_COST } else { 0.0 };
        recent_preemption_cost + self.lost_work_s(attempt, host_index) / lease_s
    }

    /// Returns how many more tasks of this kind the limit of the team allows in addition to usage and
    /// reservations, at most `max_tasks`.
    pub(super) fn tasks_within_limit(&self, spec: &Spec, max_tasks: usize) -> usize {
        let Some(team) = self.policy.teams.get(&spec.team) else { return 0 };
        if team.limit.cpus == f64::INFINITY && team.limit.gpus == f64::INFINITY {
            return max_tasks;
        }
        let mut taken = self.index.usage.get(&spec.team).copied().unwrap_or_default();
        taken.add(&self.unlocated_demand.get(&spec.team).copied().unwrap_or_default());
        taken.add(&self.reserved_by_team(&spec.team));
        let mut remaining = team.limit;
        remaining.sub(&taken);
        let fits = remaining.tasks_that_fit(&Demand { mem: 0.0, ..spec.demand });
        if fits.is_finite() { max_tasks.min(fits as usize) } else { max_tasks }
    }
}

/// Returns whether the team is below its floor in any resource that the job uses.
fn is_below_floor_for(team: &TeamEntry, job: &Spec) -> bool {
    let shortfall = team.share.shortfall();
    let is_short = |missing: f64, needed: f64| missing > 0.0 && needed > 0.0;
    is_short(shortfall.gpus, job.demand.gpus) || is_short(shortfall.cpus, job.demand.cpus)
}
