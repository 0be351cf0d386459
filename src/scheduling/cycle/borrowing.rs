//! Loans between teams: which work of another team may be stopped, and what that costs. The one
//! place that decides it; without borrowing every stop is an ordinary preemption.

use super::SchedulingCycle;
use super::planned_stops::{PlannedStops, stopped_together};
use super::team_table::{TeamEntry, TeamTable};
use crate::model::{BorrowingState, Demand, HostIndex, JobIndex, Shape, Spec, TaskAttempt, Urgency};
use badgerdrift_borrowing::{Amounts, LoanKind, Refusal, StoppedWork};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// The cost of stopping a job that was preempted for a loan lately: any other is stopped before it.
const GAVE_WAY_LATELY_COST: f64 = 1000.0;

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// For more urgent work, or for a guarantee, without a loan.
    Preemption,
    /// It moves to another machine.
    Move,
    /// Its team lends the capacity; the loan is recorded before the stop is ordered.
    Loan(LoanKind),
    /// It runs in borrowed capacity that the lender needs for its floor.
    Reclaim,
}

/// Which work of each team may be stopped for a job, by urgency; looked up once.
#[derive(Debug, Default)]
struct Permits {
    job: Option<JobIndex>,
    by_team: Vec<[Option<Result<(), Refusal>>; Urgency::COUNT]>,
}

/// Whether the next start of a job is within its team's guarantee, as long as nothing changes.
#[derive(Debug, Clone, Copy)]
struct GuaranteeCheck {
    job: JobIndex,
    changes: u64,
    within: bool,
}

/// What a scheduling cycle looks up and has decided about loans.
#[derive(Debug, Default)]
pub(super) struct BorrowingDecisions {
    pub(super) teams: TeamTable,
    permits: RefCell<Permits>,
    guarantee: Cell<Option<GuaranteeCheck>>,
    /// Changes of use and of reservations so far.
    changes: Cell<u64>,
    /// Why work of others was not stopped for the job that was looked at last.
    refused: Cell<Option<(JobIndex, Refusal)>>,
    /// The same for all jobs before it: the last reason.
    refusals: BTreeMap<JobIndex, Refusal>,
}

impl BorrowingDecisions {
    pub(super) fn new(teams: TeamTable) -> BorrowingDecisions {
        BorrowingDecisions { teams, ..BorrowingDecisions::default() }
    }

    /// Why work of others was not stopped for this job, if it was not.
    pub(super) fn refusal(&self, job_index: JobIndex) -> Option<Refusal> {
        self.refusals.get(&job_index).copied()
    }

    /// Keeps the reason found for the job that was looked at.
    pub(super) fn keep_refusal(&mut self) {
        if let Some((job, refusal)) = self.refused.take() {
            self.refusals.insert(job, refusal);
        }
    }

    /// Use or reservations have changed.
    pub(super) fn note_change(&self) {
        self.changes.set(self.changes.get() + 1);
    }

    /// A task was placed.
    pub(super) fn started(&mut self, job: JobIndex, demand: Demand) {
        self.note_change();
        if let Some(team) = self.teams.of_mut(job) {
            team.share.in_use = team.share.in_use.plus(Amounts::from(demand));
        }
    }

    /// So many tasks of a job are stopped.
    pub(super) fn stopped(&mut self, job: JobIndex, each: Demand, tasks: u32, cause: StopCause) {
        self.note_change();
        let amounts = Amounts::from(each).times(f64::from(tasks));
        let Some(team) = self.teams.of_mut(job) else { return };
        team.share.in_use = team.share.in_use.minus(amounts);
        match cause {
            StopCause::Loan(LoanKind::Borrowed) => team.lent = team.lent.plus(amounts),
            StopCause::Reclaim => team.borrowed = team.borrowed.minus(amounts),
            _ => {}
        }
    }
}

impl SchedulingCycle<'_> {
    /// Why this attempt may be stopped for the job, beside the stops that are planned for the same
    /// start; or why not, where it is another team's.
    pub(super) fn stop_cause(
        &self,
        job_index: JobIndex,
        attempt: &TaskAttempt,
        planned: &PlannedStops,
    ) -> Result<StopCause, Refusal> {
        let Some(borrowing) = &self.cluster.borrowing else { return Ok(StopCause::Preemption) };
        if self.same_team(job_index, attempt.key.job) {
            Ok(StopCause::Preemption)
        } else if self.reclaims(job_index, attempt, planned) {
            Ok(StopCause::Reclaim)
        } else {
            let kind = self.loan_kind(borrowing, job_index, attempt.key.job, planned);
            if let Err(refusal) = kind {
                self.borrowing.refused.set(Some((job_index, refusal)));
            }
            kind.map(StopCause::Loan)
        }
    }

    /// May the attempt migrate for a job of another team? It counts for its team no more until it
    /// runs again.
    pub(super) fn may_migrate(&self, job_index: JobIndex, attempt: &TaskAttempt, planned: &PlannedStops) -> bool {
        self.cluster.borrowing.is_none()
            || self.same_team(job_index, attempt.key.job)
            || self.keeps_floor(attempt.key.job, planned)
    }

    /// Are both jobs of one team? Asked only with loans between teams.
    fn same_team(&self, job: JobIndex, other: JobIndex) -> bool {
        self.borrowing.teams.team_of(job) == self.borrowing.teams.team_of(other)
    }

    /// What the team of a job will have less once a task of it is stopped too, beside all that is
    /// planned.
    fn taken_with(&self, victim: JobIndex, planned: &PlannedStops) -> Amounts {
        let team = self.borrowing.teams.of(victim);
        let mut taken = planned.taken_from(self.cluster, &team.name);
        if !planned.stops_whole(self.cluster, victim) {
            taken.add(&stopped_together(self.cluster, victim));
        }
        Amounts::from(taken)
    }

    /// Is the job's team at or above its floor once a task of the job is stopped, with the rest of
    /// its gang, and all that is planned?
    fn keeps_floor(&self, victim: JobIndex, planned: &PlannedStops) -> bool {
        planned.stops_whole(self.cluster, victim)
            || self.borrowing.teams.of(victim).share.keeps_floor_without(self.taken_with(victim, planned))
    }

    /// What kind of loan a stop would be.
    fn loan_kind(
        &self,
        borrowing: &BorrowingState,
        job_index: JobIndex,
        victim: JobIndex,
        planned: &PlannedStops,
    ) -> Result<LoanKind, Refusal> {
        if let Some(refusal) = borrowing.closed {
            return Err(refusal);
        }
        if !self.keeps_floor(victim, planned) {
            return Err(Refusal::LenderAtFloor);
        }
        if self.starts_within_guarantee(job_index) {
            return Ok(LoanKind::Guaranteed);
        }
        self.permitted(borrowing, job_index, victim)?;
        let lender = self.borrowing.teams.of(victim);
        let lent = lender.lent.plus(self.taken_with(victim, planned));
        let within_most = Amounts::new(f64::INFINITY, lender.most_gpus).covers(lent);
        if within_most { Ok(LoanKind::Borrowed) } else { Err(Refusal::LendsItsMost) }
    }

    /// Do the settings let the one job's work be stopped for the other's?
    fn permitted(&self, borrowing: &BorrowingState, job_index: JobIndex, victim: JobIndex) -> Result<(), Refusal> {
        let mut permits = self.borrowing.permits.borrow_mut();
        if permits.job != Some(job_index) {
            permits.job = Some(job_index);
            permits.by_team.clear();
            permits.by_team.resize(self.borrowing.teams.len(), [None; Urgency::COUNT]);
        }
        let (job, gives) = (&self.cluster.jobs[job_index], self.cluster.jobs[victim].urgency);
        let known = &mut permits.by_team[self.borrowing.teams.team_of(victim)][gives as usize];
        *known.get_or_insert_with(|| {
            let lender = &self.borrowing.teams.of(victim).name;
            borrowing.settings.permits(lender, gives.into(), &job.spec.team, job.urgency.into())
        })
    }

    /// Is the next start of the job, or all of a gang, within its team's guarantee, beside what runs
    /// and what is reserved?
    fn starts_within_guarantee(&self, job_index: JobIndex) -> bool {
        let changes = self.borrowing.changes.get();
        let known = self.borrowing.guarantee.get().filter(|known| known.job == job_index && known.changes == changes);
        if let Some(known) = known {
            return known.within;
        }
        let spec = &self.cluster.jobs[job_index].spec;
        let together = if spec.shape == Shape::Gang { spec.tasks as usize } else { 1 };
        let within = self.tasks_within_guarantee(spec, together) == together;
        self.borrowing.guarantee.set(Some(GuaranteeCheck { job: job_index, changes, within }));
        within
    }

    /// Does the attempt's team owe capacity to the job's team, and does that one lack capacity to its floor?
    /// Then what it has borrowed, from whomever, may be stopped whatever the urgencies, while it
    /// stays beyond its guarantee, and one replica of a service at a time.
    fn reclaims(&self, job_index: JobIndex, attempt: &TaskAttempt, planned: &PlannedStops) -> bool {
        let teams = &self.borrowing.teams;
        let lender = teams.of(job_index);
        let victim = attempt.key.job;
        if !lender.debtors.contains(&teams.team_of(victim)) || !lacks(lender, &self.cluster.jobs[job_index].spec) {
            return false;
        }
        let borrower = teams.of(victim);
        let back = Amounts::from(planned.taken_from(self.cluster, &borrower.name));
        let owes_more = !borrower.borrowed.beyond(back).is_nothing();
        let is_service = self.cluster.jobs[victim].spec.shape == Shape::Service;
        owes_more
            && self.starts_within_guarantee(job_index)
            && self.keeps_floor(victim, planned)
            && (!is_service || self.service_stays_up(victim, planned))
    }

    /// Could work of other teams be stopped for the job whatever the urgencies, as they owe it capacity?
    pub(super) fn may_reclaim(&self, job_index: JobIndex) -> bool {
        if self.cluster.borrowing.is_none() {
            return false;
        }
        let lender = self.borrowing.teams.of(job_index);
        !lender.debtors.is_empty() && lacks(lender, &self.cluster.jobs[job_index].spec)
    }

    /// Does nothing stop another replica of the service?
    fn service_stays_up(&self, service: JobIndex, planned: &PlannedStops) -> bool {
        let stops = |host: HostIndex| {
            let attempts = self.cluster.host(host).map_or(&[][..], |host| &host.attempts);
            attempts.iter().any(|own| own.key.job == service && !own.ended() && own.stop.is_some())
        };
        !planned.includes(service) && !self.index.hosts_of(service).any(stops)
    }

    /// How much a team lacks to its floor, in whole accelerators, or CPUs where it lacks none of
    /// those: of several lenders the one that lacks most comes first.
    pub(super) fn shortfall_rank(&self, job_index: JobIndex) -> u64 {
        if self.cluster.borrowing.is_none() {
            return 0;
        }
        let team = self.borrowing.teams.of(job_index);
        if team.lent.is_nothing() {
            return 0;
        }
        let shortfall = team.share.shortfall();
        let lacking = if shortfall.gpus > 0.0 { shortfall.gpus } else { shortfall.cpus };
        lacking.ceil() as u64
    }

    /// How many tasks of the job are placed first, as their capacity is being returned.
    pub(super) fn returning_tasks(&self, job_index: JobIndex) -> u32 {
        let borrowing = self.cluster.borrowing.as_ref();
        borrowing.and_then(|borrowing| borrowing.returning.get(&job_index)).copied().unwrap_or(0)
    }

    /// Was the job preempted for a loan lately?
    pub(super) fn gave_way_lately(&self, job_index: JobIndex) -> bool {
        self.cluster.borrowing.as_ref().is_some_and(|borrowing| borrowing.quiet.contains(&job_index))
    }

    /// Seconds of work that are lost if the attempt is stopped.
    pub(super) fn lost_s(&self, attempt: &TaskAttempt, host_index: HostIndex) -> f64 {
        let spec = &self.cluster.jobs[attempt.key.job].spec;
        let instance_type = &self.cluster.instance_types[self.index.hosts[host_index].instance_type];
        let rate = instance_type.fetch_gb_per_s;
        StoppedWork {
            ran_s: self.now.saturating_sub(attempt.since_ms) as f64 / 1000.0,
            checkpoint_every_s: spec.checkpoint_s,
            flush_s: spec.save_s,
            fetch_s: if rate > 0.0 { spec.image_gb / rate } else { 0.0 },
            tasks: if spec.shape == Shape::Gang { spec.tasks } else { 1 },
        }
        .lost_s()
    }

    /// What the work costs that is lost if another team's attempt is stopped: as much work as a worker's lease is long costs
    /// as much as a stopped task.
    pub(super) fn loan_cost(&self, attempt: &TaskAttempt, host_index: HostIndex) -> f64 {
        let lease_s = self.policy.lease_ms as f64 / 1000.0;
        let gave_way_lately = if self.gave_way_lately(attempt.key.job) { GAVE_WAY_LATELY_COST } else { 0.0 };
        gave_way_lately + self.lost_s(attempt, host_index) / lease_s
    }

    /// How many more tasks of this kind its team's limit allows, beside what is reserved.
    pub(super) fn tasks_within_limit(&self, spec: &Spec, most: usize) -> usize {
        let Some(team) = self.policy.teams.get(&spec.team) else { return 0 };
        if team.limit.cpus == f64::INFINITY && team.limit.gpus == f64::INFINITY {
            return most;
        }
        let mut taken = self.index.usage.get(&spec.team).copied().unwrap_or_default();
        taken.add(&self.unlocated_demand.get(&spec.team).copied().unwrap_or_default());
        taken.add(&self.reserved_by_team(&spec.team));
        let mut left = team.limit;
        left.sub(&taken);
        let fits = left.tasks_that_fit(&Demand { mem: 0.0, ..spec.demand });
        if fits.is_finite() { most.min(fits as usize) } else { most }
    }
}

/// Does the team lack, to its floor, anything that the job takes?
fn lacks(team: &TeamEntry, job: &Spec) -> bool {
    let shortfall = team.share.shortfall();
    let lacks = |lacking: f64, taken: f64| lacking > 0.0 && taken > 0.0;
    lacks(shortfall.gpus, job.demand.gpus) || lacks(shortfall.cpus, job.demand.cpus)
}
