//! Execution of preemption plans: orders to stop attempts, and reservations at the destinations of
//! migrating replicas.

use super::borrowing::StopCause;
use super::planned_stops::PlannedStops;
use super::request::PlacementRequest;
use super::reservations::RESERVATION_REACTIONS;
use super::victims::Eviction;
use super::{Preemption, SchedulingCycle};
use crate::model::{HostIndex, JobIndex, Reservation, Shape, Spec, TaskAttempt};

/// Properties shared by all stops of one eviction.
struct StopOrder {
    /// Job that receives the capacity.
    preempting_job: JobIndex,
    grace_s: f64,
    cause: StopCause,
}

impl SchedulingCycle<'_> {
    /// Executes the evictions that `plan_preemption` found for a machine.
    pub(super) fn execute_preemption(
        &mut self,
        request: &PlacementRequest,
        host_index: HostIndex,
        evictions: &[Eviction],
    ) {
        let until_ms = self.now + RESERVATION_REACTIONS * self.policy.react_ms;
        for Eviction { attempt, destination } in evictions {
            if let Some(destination_host) = destination {
                self.reserve(*destination_host, Reservation::of_job(attempt.key.job, attempt.demand, until_ms));
            }
            let cause = match destination {
                Some(_) => Ok(StopCause::Migration),
                None => self.stop_cause(request.job_index, attempt, &PlannedStops::default()),
            };
            // The plan was checked as a whole. An attempt that may no longer be stopped keeps running.
            let Ok(cause) = cause else { continue };
            let grace_s = match cause {
                StopCause::Loan(_) | StopCause::Reclaim => self.cluster.jobs[attempt.key.job].spec.grace_s(),
                _ => self.stop_grace_s(request, host_index, &self.cluster.jobs[attempt.key.job].spec),
            };
            self.stop(host_index, attempt, &StopOrder { preempting_job: request.job_index, grace_s, cause });
        }
    }

    /// Returns the seconds that a stopped task has to save its state. It is 0 for an array task if saving
    /// would make a start miss its class's objective that could otherwise be met; the task then resumes
    /// from its last checkpoint. A gang keeps its time, because each of its tasks would lose that much
    /// work.
    fn stop_grace_s(&self, request: &PlacementRequest, host_index: HostIndex, victim: &Spec) -> f64 {
        let grace_s = victim.grace_s();
        let fetch_s = self.fetch_s(request, host_index);
        let late_by_saving =
            request.objective_left_s.is_some_and(|left_s| fetch_s <= left_s && left_s < fetch_s + grace_s);
        if late_by_saving && victim.shape == Shape::Batch { 0.0 } else { grace_s }
    }

    /// Orders the stop of an attempt. A gang is stopped as a whole, on all its machines.
    fn stop(&mut self, host_index: HostIndex, attempt: &TaskAttempt, order: &StopOrder) {
        let job_index = attempt.key.job;
        let spec = &self.cluster.jobs[job_index].spec;
        let demand_per_task = spec.demand;
        let whole_gang = spec.shape == Shape::Gang;
        let tasks_stopped_together = if whole_gang { spec.tasks } else { 1 };
        let mut hosts: Vec<HostIndex> =
            if whole_gang { self.index.hosts_of(job_index).collect() } else { vec![host_index] };
        hosts.sort_unstable();
        hosts.dedup();
        let lost_work_s = self.lost_work_s(attempt, host_index) / f64::from(tasks_stopped_together);
        let mut stopped = 0;
        for host in hosts {
            let is_this_attempt = |other: &TaskAttempt| {
                host == host_index && other.key == attempt.key && other.attempt == attempt.attempt
            };
            let is_stopped = |other: &TaskAttempt| is_this_attempt(other) || (whole_gang && other.key.job == job_index);
            stopped += self.stop_on_host(host, is_stopped, order, lost_work_s);
        }
        self.borrowing.record_stop(job_index, demand_per_task, stopped, order.cause);
    }

    /// Orders the stops of the matching attempts on a machine and returns their number. Each loses `lost_work_s`
    /// seconds of work.
    fn stop_on_host(
        &mut self,
        host_index: HostIndex,
        is_stopped: impl Fn(&TaskAttempt) -> bool,
        order: &StopOrder,
        lost_work_s: f64,
    ) -> u32 {
        let Some(host) = self.cluster.hosts[host_index].as_mut() else { return 0 };
        let mut stopped = 0;
        for attempt in host.attempts.iter_mut().filter(|attempt| !attempt.ended() && attempt.stop.is_none()) {
            if !is_stopped(attempt) {
                continue;
            }
            attempt.stop = Some(order.grace_s);
            attempt.stop_awaits_record = matches!(order.cause, StopCause::Loan(_));
            stopped += 1;
            self.index.record_stop(&self.cluster.jobs[attempt.key.job].spec);
            self.decisions.stops.push(Preemption {
                host: host_index,
                key: attempt.key,
                attempt: attempt.attempt,
                grace_s: order.grace_s,
                preempting_job: order.preempting_job,
                cause: order.cause,
                lost_work_s,
            });
        }
        stopped
    }
}
