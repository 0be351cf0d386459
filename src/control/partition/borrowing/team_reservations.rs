//! Capacity that a borrower has left, and that stays reserved for its team while its need may come back.

use super::demand::TeamDemands;
use crate::control::partition::Partition;
use crate::model::{Host, HostIndex, JobIndex, Reservation};
use badgerdrift_borrowing::{Amounts, Priority};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

impl Partition {
    /// A borrower's job is cancelled, and its tasks are being stopped: their capacity is reserved for the team
    /// for as long as a loan outlives its need, so that a burst that flickers stops nothing a second
    /// time. Reserved only once the tasks are gone, it would be reserved for others by then.
    pub(in crate::control::partition) fn reserve_capacity_of_cancelled(&mut self, job_index: JobIndex, now: u64) {
        if !self.borrows(job_index) {
            return;
        }
        let of_job = |host: &Host| host.attempts.iter().filter(|own| own.key.job == job_index && !own.ended()).count();
        let hosts: Vec<(HostIndex, usize)> =
            self.cluster.each_host().map(|(host_index, host)| (host_index, of_job(host))).collect();
        for (host_index, tasks) in hosts {
            (0..tasks).for_each(|_| self.reserve_for_team(host_index, job_index, now));
        }
    }

    /// A task of a borrower is done, and its job with it: its capacity is reserved as well.
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

    /// Is it a job that its team may borrow for?
    fn borrows(&self, job_index: JobIndex) -> bool {
        let job = &self.cluster.jobs[job_index];
        let borrower = self.borrowing.as_ref().and_then(|borrowing| borrowing.settings.borrowers.get(&job.spec.team));
        borrower.is_some_and(|team| Priority::from(job.urgency) >= team.from)
    }

    fn reserve_for_team(&mut self, host_index: HostIndex, job_index: JobIndex, now: u64) {
        let Some(borrowing) = &self.borrowing else { return };
        let job = &self.cluster.jobs[job_index];
        let each = Amounts::from(job.spec.demand);
        let held = self.reserved_for_team(&job.spec.team).plus(each);
        if !self.max_reserved_for_team(&job.spec.team).covers_for(held, each) {
            return;
        }
        // Until the loan is returned, which is seen with one of the next plans.
        let until_ms = now + (borrowing.settings.return_after_s * MS_PER_S) as u64 + 2 * self.policy.react_ms;
        let claim = Reservation::of_team(job_index, job.spec.demand, until_ms);
        if let Some(host) = self.cluster.host_mut(host_index) {
            host.reservations.push(claim);
        }
    }

    /// Most capacity that is reserved for a team: what it has borrowed and need not return yet, and what it
    /// is guaranteed, as it would stop others for that again.
    fn max_reserved_for_team(&self, team: &str) -> Amounts {
        let Some(borrowing) = &self.borrowing else { return Amounts::default() };
        let open = borrowing.loans.open_to(team);
        if open.is_nothing() {
            return open;
        }
        open.plus(self.policy.teams.get(team).map(|rule| Amounts::from(rule.guarantee)).unwrap_or_default())
    }

    /// Capacity that is reserved for all jobs of a team.
    fn reserved_for_team(&self, team: &str) -> Amounts {
        let reservations = self.cluster.each_host().flat_map(|(_, host)| &host.reservations);
        let of_team = reservations.filter(|claim| claim.for_team && self.cluster.jobs[claim.job].spec.team == team);
        of_team.fold(Amounts::default(), |sum, claim| sum.plus(Amounts::from(claim.demand)))
    }

    /// Releases capacity that is reserved for borrowers whose loans are returned. A lender that lacks capacity to
    /// its floor need not wait for that.
    pub(super) fn release_team_reservations(&mut self, demands: &TeamDemands) {
        let Some(borrowing) = &self.borrowing else { return };
        let lacks = |team: &str| demands.shares.get(team).is_some_and(|share| !share.shortfall().is_nothing());
        let owing =
            borrowing.loans.owed().into_keys().filter(|(lender, _)| lacks(lender)).map(|(_, borrower)| borrower);
        let returned =
            borrowing.settings.borrowers.keys().filter(|team| borrowing.loans.open_to(team).is_nothing()).cloned();
        let given_up: Vec<String> = owing.chain(returned).collect();
        let jobs = &self.cluster.jobs;
        let released = |claim: &Reservation| claim.for_team && given_up.contains(&jobs[claim.job].spec.team);
        for host in self.cluster.hosts.iter_mut().flatten() {
            host.reservations.retain(|claim| !released(claim));
        }
    }
}
