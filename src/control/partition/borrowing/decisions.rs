//! Input about loans for a scheduling cycle, and application of the loan decisions of a cycle.

use super::demand::TeamDemands;
use super::{PartitionBorrowing, WaitingStop};
use crate::control::partition::Partition;
use crate::model::{BorrowingState, JobIndex};
use crate::scheduling::{CycleDecisions, Preemption, RefusedLoan, StopCause};
use badgerdrift_borrowing::{Amounts, ClockReading, LoanKind, Proposal, Refusal};
use std::collections::BTreeMap;

/// Parties and kind of a loan. All stops of a scheduling cycle with equal values belong to one loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LoanParties {
    lending_job: JobIndex,
    borrowing_job: JobIndex,
    guaranteed: bool,
}

impl Partition {
    /// Updates the scheduler's view of which tasks may be stopped for other teams.
    pub(in crate::control::partition) fn update_borrowing_state(&mut self, now: u64, wall: u64) {
        let Some(borrowing) = &self.borrowing else { return };
        let demands = TeamDemands::count(&self.cluster, &self.policy.teams, &borrowing.settings, now);
        let lending = borrowing.lending_state(self, &demands, wall);
        self.release_team_reservations(&demands);
        let reserves_for_teams =
            self.cluster.each_host().any(|(_, host)| host.reservations.iter().any(|reservation| reservation.for_team));
        self.cluster.borrowing = Some(BorrowingState { reserves_for_teams, ..lending });
    }

    /// Applies the loan decisions of a scheduling cycle. The stops wait until the loans are recorded.
    pub(in crate::control::partition) fn apply_loan_decisions(
        &mut self,
        outcome: &CycleDecisions,
        now: u64,
        wall: u64,
    ) {
        if self.borrowing.is_none() {
            return;
        }
        let mut stops: BTreeMap<LoanParties, Vec<&Preemption>> = BTreeMap::new();
        for stop in &outcome.stops {
            if let StopCause::Loan(kind) = stop.cause {
                let guaranteed = kind == LoanKind::Guaranteed;
                let parties = LoanParties { lending_job: stop.key.job, borrowing_job: stop.preempting_job, guaranteed };
                stops.entry(parties).or_default().push(stop);
            }
        }
        let now = ClockReading { steady_ms: now, wall_ms: wall };
        for (parties, stops) in stops {
            self.propose_loan(parties, &stops, now);
        }
        self.count_lost_work(outcome);
        self.report_refused_loans(&outcome.refused_loans);
        self.report_loan_transitions();
    }

    /// Proposes one loan for these stops, which are held back until the loan is recorded.
    fn propose_loan(&mut self, parties: LoanParties, stops: &[&Preemption], now: ClockReading) {
        let id = self.epoch.next_number();
        let lending = &self.cluster.jobs[parties.lending_job].spec;
        let borrowing = &self.cluster.jobs[parties.borrowing_job].spec;
        let machine = stops.first().and_then(|stop| self.cluster.host(stop.host)?.instance_type);
        let proposal = Proposal {
            id,
            lending_job: lending.id.clone(),
            lender: lending.team.clone(),
            borrower: borrowing.team.clone(),
            borrowing_job: borrowing.id.clone(),
            machine: machine
                .map_or(String::new(), |instance_type| self.cluster.instance_types[instance_type].name.clone()),
            tasks: stops.len() as u32,
            each: Amounts::from(lending.demand),
            kind: if parties.guaranteed { LoanKind::Guaranteed } else { LoanKind::Borrowed },
        };
        let waiting = stops.iter().map(|stop| WaitingStop { host: stop.host, key: stop.key, attempt: stop.attempt });
        let Some(borrowing) = &mut self.borrowing else { return };
        borrowing.waiting_stops.insert(id, waiting.collect());
        borrowing.loans.propose(proposal, now);
    }

    /// Adds the work lost by stops for other teams, in seconds, to the metrics.
    fn count_lost_work(&mut self, outcome: &CycleDecisions) {
        for stop in outcome.stops.iter().filter(|stop| matches!(stop.cause, StopCause::Loan(_) | StopCause::Reclaim)) {
            let team = &self.cluster.jobs[stop.key.job].spec.team;
            self.metrics.add("loan_work_lost_s", team, stop.lost_work_s.ceil() as u64);
        }
    }

    /// Logs and counts refused loans, once for each job and change of reason.
    fn report_refused_loans(&mut self, refused: &[RefusedLoan]) {
        let Some(borrowing) = &mut self.borrowing else { return };
        for RefusedLoan { job, reason } in refused {
            if borrowing.last_refusals.insert(*job, *reason) != Some(*reason) {
                let spec = &self.cluster.jobs[*job].spec;
                tracing::info!(job = spec.id, team = spec.team, reason = reason.label(), "loan refused");
                self.metrics.count("loans_refused", reason.label());
            }
        }
        let is_refused = |job: &JobIndex| refused.iter().any(|refused| refused.job == *job);
        borrowing.last_refusals.retain(|job, _| is_refused(job) || self.cluster.jobs[*job].active());
    }

    /// Logs and counts the state transitions of loans since the last call.
    pub(in crate::control::partition) fn report_loan_transitions(&mut self) {
        let Some(borrowing) = &mut self.borrowing else { return };
        for transition in borrowing.loans.take_transitions() {
            let loan = &transition.loan;
            let cause = match loan.state {
                badgerdrift_borrowing::LoanState::Ended(cause) => cause.label(),
                _ => "",
            };
            tracing::info!(
                loan = loan.id,
                state = loan.state.label(),
                cause,
                lender = transition.lender,
                lending_job = transition.lending_job,
                borrower = loan.borrower,
                borrowing_job = loan.borrowing_job,
                tasks = loan.tasks,
                gpus = loan.amounts().gpus,
                cpus = loan.amounts().cpus,
                "loan changed state"
            );
            self.metrics.count("loans", if cause.is_empty() { loan.state.label() } else { cause });
        }
    }
}

impl PartitionBorrowing {
    /// Returns the lending state that the scheduler uses.
    fn lending_state(&self, partition: &Partition, demands: &TeamDemands, wall: u64) -> BorrowingState {
        let cluster = &partition.cluster;
        let index = |id: &str| cluster.job_index.get(id).copied();
        let refusal = if !self.settled || !cluster.all_reconciled {
            Some(Refusal::MachinesUnaccounted)
        } else if !partition.conditions.reservations_recordable {
            Some(Refusal::NotRecordable)
        } else {
            None
        };
        BorrowingState {
            settings: self.settings.clone(),
            refusal,
            runnable: demands.shares.iter().map(|(team, share)| (team.clone(), share.runnable)).collect(),
            lent_by_team: self.loans.lent_by_team(),
            owed_by_pair: self.loans.owed_by_pair(),
            recently_preempted: self.loans.recently_preempted_jobs(wall).filter_map(index).collect(),
            reserves_for_teams: false,
            returning_tasks: self.returning_tasks(index),
        }
    }

    /// Returns, for each job that gets lent capacity back, the number of tasks that are placed first.
    fn returning_tasks(&self, index: impl Fn(&str) -> Option<JobIndex>) -> std::collections::HashMap<JobIndex, u32> {
        let mut returning_tasks = std::collections::HashMap::new();
        for (job, tasks) in self.loans.returning_tasks() {
            if let Some(job_index) = index(job) {
                *returning_tasks.entry(job_index).or_default() += tasks;
            }
        }
        returning_tasks
    }
}
