//! Periodic maintenance of loans: abandons loans that could not be recorded, settles those of the previous
//! leader, and follows the borrowers' needs and the lenders' restarted tasks.

use super::demand::{TeamDemands, missing_tasks};
use crate::control::partition::Partition;
use crate::model::ClusterState;
use badgerdrift_borrowing::{ClockReading, LendingJob, LoanId};

/// Time, as a multiple of `react_ms`, after which a loan that is not recorded yet is abandoned. Nothing is
/// stopped for it.
const RECORD_TIMEOUT_REACTIONS: u64 = 2;

impl Partition {
    /// Maintains the loans; does nothing if borrowing is disabled. `now` is the steady clock and `wall` the time
    /// of day, both in milliseconds.
    pub fn maintain_loans(&mut self, now: u64, wall: u64) {
        if self.borrowing.is_none() {
            return;
        }
        self.abandon_unrecorded_loans(wall);
        let Some(borrowing) = &mut self.borrowing else { return };
        let cluster = &self.cluster;
        if !borrowing.settled && cluster.all_reconciled {
            borrowing.settled = true;
            borrowing.loans.reconcile_restored(|job| lending_job(cluster, job));
            self.scheduling_triggers.request_cycle();
        }
        if borrowing.settled {
            let demands = TeamDemands::count(cluster, &self.policy.teams, &borrowing.settings, now);
            let clock_reading = ClockReading { steady_ms: now, wall_ms: wall };
            borrowing.loans.update_for_demand(|job| lending_job(cluster, job), &demands.needs, clock_reading);
        }
        self.report_loan_transitions();
    }

    /// Abandons the loans that were not recorded in time.
    fn abandon_unrecorded_loans(&mut self, wall: u64) {
        let Some(borrowing) = &self.borrowing else { return };
        let before_ms = wall.saturating_sub(RECORD_TIMEOUT_REACTIONS * self.policy.react_ms);
        for id in borrowing.loans.unrecorded_before(before_ms) {
            self.abandon_loan(id);
        }
    }

    /// Abandons a loan that could not be recorded. The tasks that were to be stopped for it keep running.
    fn abandon_loan(&mut self, id: LoanId) {
        let Some(borrowing) = &mut self.borrowing else { return };
        let borrowing_job =
            borrowing.loans.loans().find(|(_, _, loan)| loan.id == id).map(|(_, _, loan)| &loan.borrowing_job);
        let borrowing_job = borrowing_job.and_then(|job| self.cluster.job_index.get(job)).copied();
        borrowing.loans.abandon(id);
        for stop in borrowing.waiting_stops.remove(&id).unwrap_or_default() {
            let Some(host) = self.cluster.host_mut(stop.host) else { continue };
            // This capacity does not become free, so the borrowing job needs other capacity.
            host.reservations.retain(|reservation| Some(reservation.job) != borrowing_job);
            let attempt = host.attempt_mut(stop.key, stop.attempt);
            if let Some(attempt) = attempt.filter(|attempt| attempt.stop_awaits_record) {
                (attempt.stop, attempt.stop_awaits_record) = (None, false);
                self.dispatch_queue.insert(stop.host);
            }
        }
        self.scheduling_triggers.request_cycle();
    }
}

/// Returns the state of a lending job. An unknown job counts as over.
fn lending_job(cluster: &ClusterState, id: &str) -> LendingJob {
    let Some(&job_index) = cluster.job_index.get(id) else { return LendingJob { over: true, missing: 0 } };
    let job = &cluster.jobs[job_index];
    LendingJob { over: job.end.is_some() || job.cancelling, missing: missing_tasks(cluster, job_index) }
}
