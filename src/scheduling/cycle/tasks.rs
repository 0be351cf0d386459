//! Placement of arrays and services, task by task.

use super::candidates::Candidate;
use super::queue::QueueTier;
use super::request::PlacementRequest;
use super::victims::PreemptionPlan;
use super::{Assignment, SchedulingCycle};
use crate::model::{HostIndex, Place, Reservation, Task, TaskAttempt, TaskKey};
use crate::scheduling::task_requirements::ZoneCounts;

/// State carried from the placement of one task of a job to the next.
#[derive(Debug)]
struct PlacementState {
    /// Number of the job's tasks by zone, including those with reserved capacity.
    counts: ZoneCounts,
    /// Machines with capacity for a task; `None` if they must be determined again.
    candidates: Option<Vec<Candidate>>,
}

/// Result of placing one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskOutcome {
    Placed,
    /// The task waits for capacity that is being freed on a machine where its image is available sooner.
    AwaitsBetterHost,
    NoCapacity,
}

impl SchedulingCycle<'_> {
    /// Starts an attempt of a task on a machine.
    pub(super) fn start(&mut self, key: TaskKey, host_index: HostIndex, attempt: u64) {
        let job = &mut self.cluster.jobs[key.job];
        job.tasks.update(key.task, |task| {
            task.place = Place::OnHost(host_index, attempt);
            task.located_by_leader = true;
        });
        job.image_wait_until_ms = 0;
        self.index.record_start(&job.spec, key.job, host_index);
        self.borrowing.record_start(key.job, job.spec.demand);
        let (image, image_gb, demand) = (job.spec.image.clone(), job.spec.image_gb, job.spec.demand);
        let now = self.now;
        let reservation = self.usable_reservation(key, host_index);
        let cache_gb = self.cluster.instance_types[self.index.hosts[host_index].instance_type].cache_gb;
        if let Some(host) = self.cluster.host_mut(host_index) {
            if let Some(position) = reservation {
                let before = host.reservations.clone();
                host.reservations[position].demand.sub(&demand);
                if !demand.fits(&host.reservations[position].demand) {
                    host.reservations.remove(position);
                }
                self.index.update_reservations(&before, &host.reservations, host_index);
            }
            host.use_image(&image, image_gb, cache_gb, now);
            host.attempts.push(TaskAttempt::sent(key, attempt, demand, now));
        }
        self.decisions.starts.push(Assignment { key, host: host_index, attempt });
    }

    /// Returns the position of the reservation that a start on the machine consumes: one of the job itself,
    /// else one of its team.
    fn usable_reservation(&self, key: TaskKey, host_index: HostIndex) -> Option<usize> {
        let reservations = &self.cluster.host(host_index)?.reservations;
        let own = reservations.iter().position(|reservation| reservation.job == key.job);
        own.or_else(|| reservations.iter().position(|reservation| self.cluster.may_use(reservation, key.job)))
    }

    /// Places the idle tasks of an array or service. Returns `false` if there was no capacity for one of
    /// them.
    pub(super) fn place_tasks(&mut self, request: &PlacementRequest, next_attempt: &mut impl FnMut() -> u64) -> bool {
        let job_index = request.job_index;
        let mut state = PlacementState { counts: self.index.tasks_by_zone(job_index), candidates: None };
        let placeable = self.cluster.placeable_tasks(&self.cluster.jobs[job_index]);
        let stray_tasks = self.cluster.tasks_with_stray_attempts(job_index, self.index.hosts_of(job_index));
        let now = self.now;
        let may_start = |task: &Task| task.retry_after_ms <= now && placeable.includes(task);
        let mut tasks_examined = 0;
        let mut next_number = 0;
        while let Some(task_number) = self.cluster.jobs[job_index].tasks.next(next_number, may_start) {
            next_number = task_number + 1;
            if stray_tasks.contains(&task_number) {
                continue;
            }
            if self.must_wait(request, tasks_examined) {
                return true;
            }
            tasks_examined += 1;
            let key = TaskKey { job: job_index, task: task_number };
            if self.place_task(request, key, &mut state, next_attempt) == TaskOutcome::NoCapacity {
                return false;
            }
        }
        true
    }

    /// Returns whether the remaining tasks of the job must wait even if there is capacity: because of the
    /// team's limit, a later queue tier, or the number of attempts. `tasks_examined` of its tasks were
    /// examined before.
    fn must_wait(&self, request: &PlacementRequest, tasks_examined: u32) -> bool {
        let job = &self.cluster.jobs[request.job_index];
        !self.within_limit(&job.spec, 1.0)
            || (request.tier == QueueTier::Returned && tasks_examined >= self.returning_tasks(request.job_index))
            || (request.tier == QueueTier::Guaranteed && !self.within_guarantee(&job.spec, 1))
            || self.too_many_attempts(job)
    }

    /// Places one task where that costs least, preferably on a warm reservation.
    fn place_task(
        &mut self,
        request: &PlacementRequest,
        key: TaskKey,
        state: &mut PlacementState,
        next_attempt: &mut impl FnMut() -> u64,
    ) -> TaskOutcome {
        if let Some(position) = self.reservation_for_replica(request, &state.counts) {
            let host = self.claim_warm_reservation(position, key, next_attempt());
            state.counts.add(self.index.hosts[host].zone);
            state.candidates = None;
            return TaskOutcome::Placed;
        }
        let mut candidates = state.candidates.take().unwrap_or_else(|| self.candidates(request));
        let Some(host) = self.best_candidate(request, &candidates, &state.counts) else {
            return TaskOutcome::NoCapacity;
        };
        // Capacity freed for this job is not abandoned for a better machine.
        let reserved_here = |host_index: HostIndex| {
            let host = self.cluster.host(host_index);
            host.is_some_and(|host| host.reservations.iter().any(|reservation| reservation.job == key.job))
        };
        if !reserved_here(host)
            && let Some(max_cost) = self.earlier_image_gain(request, host)
            && self.wait_for_better_host(request, &state.counts, max_cost)
        {
            return TaskOutcome::AwaitsBetterHost;
        }
        state.counts.add(self.index.hosts[host].zone);
        self.start(key, host, next_attempt());
        self.refresh_candidate(request, &mut candidates, host);
        state.candidates = Some(candidates);
        TaskOutcome::Placed
    }

    /// Frees capacity on a machine where the image is ready, or ready sooner, if stopping work there costs
    /// at most `max_cost`. Returns whether the task waits for that capacity.
    fn wait_for_better_host(&mut self, request: &PlacementRequest, counts: &ZoneCounts, max_cost: f64) -> bool {
        if self.preemption_limit_reached() || !self.may_wait_for_image(request) {
            return false;
        }
        if self.index.reservations_of(request.job_index) > 0 {
            return true;
        }
        let Some((host_index, plan)) = self.cheapest_with_image(request, counts, max_cost) else { return false };
        self.execute_preemption(request, host_index, &plan.evictions);
        let until_ms = self.now + self.policy.react_ms;
        self.reserve(host_index, Reservation::of_job(request.job_index, request.requirements.demand, until_ms));
        true
    }

    /// Returns whether the job may still wait for capacity on a machine with its image. The wait is
    /// bounded, because the reserved capacity may disappear; after that any machine is used.
    fn may_wait_for_image(&mut self, request: &PlacementRequest) -> bool {
        let (now, max_wait_ms) = (self.now, 2 * self.policy.react_ms);
        let job = &mut self.cluster.jobs[request.job_index];
        if job.image_wait_until_ms == 0 {
            job.image_wait_until_ms = now + max_wait_ms;
            return true;
        }
        now < job.image_wait_until_ms
    }

    /// Returns the machine with the cheapest preemption, at most `max_cost`, among those that have the
    /// image sooner.
    fn cheapest_with_image(
        &self,
        request: &PlacementRequest,
        counts: &ZoneCounts,
        max_cost: f64,
    ) -> Option<(HostIndex, PreemptionPlan)> {
        let scope = self.preemption_scope(request);
        let mut best: Option<(HostIndex, PreemptionPlan)> = None;
        for (host_index, host) in self.index.hosts.iter().enumerate() {
            let allowed = host.reservations == 0
                && request.requirements.accepts(host, counts)
                && !request.avoided_hosts.contains(&host_index);
            if !allowed || self.earlier_image_gain(request, host_index).is_some_and(|gain| gain > max_cost / 2.0) {
                continue;
            }
            let demand = &request.requirements.demand;
            let Some(plan) = self.plan_preemption(request, scope, host_index, demand) else { continue };
            if self.stops_other_teams(request.job_index, &plan) {
                // Capacity exists elsewhere, and a later image does not justify a loan.
                continue;
            }
            if plan.cost <= max_cost && best.as_ref().is_none_or(|(_, best)| plan.cost < best.cost) {
                best = Some((host_index, plan));
            }
        }
        best
    }
}
