//! Reservations of capacity that a borrower no longer uses, kept for its team while the need may come back.

use super::demand::TeamDemands;
use crate::control::partition::Partition;
use crate::model::{Host, HostIndex, JobIndex, Reservation};
use badgerdrift_borrowing::{Amounts, Priority};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

impl Partition {
    /// Reserves the capacity of a borrower's cancelled job, whose tasks are being stopped, for its team. The
    /// reservation lasts as long as a loan outlives its need, so that a burst that ends and returns soon does
    /// not stop other tasks a second time. It is made before the tasks are gone because the capacity would
    /// otherwise be reserved for other jobs by then.
    pub(in crate::control::partition) fn reserve_capacity_of_cancelled(&mut self, job_index: JobIndex, now: u64) {
        if !self.borrows(job_index) {
            return;
        }
        let attempts_of_job = |host: &Host| {
            host.attempts.iter().filter(|attempt| attempt.key.job == job_index && !attempt.ended()).count()
        };
        let hosts: Vec<(HostIndex, usize)> =
            self.cluster.each_host().map(|(host_index, host)| (host_index, attempts_of_job(host))).collect();
        for (host_index, tasks) in hosts {
            (0..tasks).for_each(|_| self.reserve_for_team(host_index, job_index, now));
        }
    }

    /// Reserves the capacity of a borrower's task that is done for its team, if the job is done with it.
    pub(in crate::control::partition) fn reserve_capacity_of_done(
        &mut self,
        host_index: HostIndex,
        job_index: JobIndex,
        now: u64,
    ) {
        let job = &self.cluster.jobs[job_index];
        if !job.active() && !job.cancelling && self.borrows(job_index) {
            self.reserve_for_team(host_index, job_index, now);
        }
    }

    /// Returns whether the job's team may borrow for it.
    fn borrows(&self, job_index: JobIndex) -> bool {
        let job = &self.cluster.jobs[job_index];
        let borrower = self.borrowing.as_ref().and_then(|borrowing| borrowing.settings.borrowers.get(&job.spec.team));
        borrower.is_some_and(|team| Priority::from(job.urgency) >= team.from)
    }

    /// Reserves the capacity of one task of the job on a machine, unless that exceeds the team's maximum.
    fn reserve_for_team(&mut self, host_index: HostIndex, job_index: JobIndex, now: u64) {
        let Some(borrowing) = &self.borrowing else { return };
        let job = &self.cluster.jobs[job_index];
        let each = Amounts::from(job.spec.demand);
        let reserved = self.reserved_for_team(&job.spec.team).sum_with(each);
        if !self.max_reserved_for_team(&job.spec.team).covers_task(reserved, each) {
            return;
        }
        // Lasts until the loan is returned, which one of the next plans takes into account.
        let until_ms = now + (borrowing.settings.return_after_s * MS_PER_S) as u64 + 2 * self.policy.react_ms;
        let reservation = Reservation::of_team(job_index, job.spec.demand, until_ms);
        if let Some(host) = self.cluster.host_mut(host_index) {
            host.reservations.push(reservation);
        }
    }

    /// Returns the maximum capacity that is reserved for a team: the loans that it need not return yet, plus its
    /// guarantee, because it would stop other teams' tasks for the guaranteed part again. Empty without such loans.
    fn max_reserved_for_team(&self, team: &str) -> Amounts {
        let Some(borrowing) = &self.borrowing else { return Amounts::default() };
        let open = borrowing.loans.open_amounts_of(team);
        if open.is_zero() {
            return open;
        }
        open.sum_with(self.policy.teams.get(team).map(|rule| Amounts::from(rule.guarantee)).unwrap_or_default())
    }

    /// Returns the capacity that is reserved for all jobs of a team.
    fn reserved_for_team(&self, team: &str) -> Amounts {
        let reservations = self.cluster.each_host().flat_map(|(_, host)| &host.reservations);
        let of_team = reservations
            .filter(|reservation| reservation.for_team && self.cluster.jobs[reservation.job].spec.team == team);
        of_team.fold(Amounts::default(), |sum, reservation| sum.sum_with(Amounts::from(reservation.demand)))
    }

    /// Releases the capacity reserved for borrowers whose loans are returned, and for borrowers that owe capacity
    /// to a lender below its floor, which does not have to wait for the return.
    pub(super) fn release_team_reservations(&mut self, demands: &TeamDemands) {
        let Some(borrowing) = &self.borrowing else { return };
        let has_shortfall = |team: &str| demands.shares.get(team).is_some_and(|share| !share.shortfall().is_zero());
        let owing_borrowers = borrowing
            .loans
            .owed_by_pair()
            .into_keys()
            .filter(|(lender, _)| has_shortfall(lender))
            .map(|(_, borrower)| borrower);
        let borrowers_without_loans =
            borrowing.settings.borrowers.keys().filter(|team| borrowing.loans.open_amounts_of(team).is_zero()).cloned();
        let released_teams: Vec<String> = owing_borrowers.chain(borrowers_without_loans).collect();
        let jobs = &self.cluster.jobs;
        let is_released = |reservation: &Reservation| {
            reservation.for_team && released_teams.contains(&jobs[reservation.job].spec.team)
        };
        for host in self.cluster.hosts.iter_mut().flatten() {
            host.reservations.retain(|reservation| !is_released(reservation));
        }
    }
}
