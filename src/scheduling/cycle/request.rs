//! Properties of a job that a scheduling cycle needs for its placement.

use super::SchedulingCycle;
use super::queue::QueueTier;
use crate::model::{ExpectedDemand, HostIndex, InstanceType, Job, JobIndex, Shape, Spec};
use crate::scheduling::task_requirements::TaskRequirements;
use std::collections::HashSet;

/// Lower bound of a class's start objective, in seconds.
const MIN_START_OBJECTIVE_S: f64 = 0.1;
/// Cost of a placement that takes capacity of an instance type that another class depends on.
const RESERVE_PENALTY: f64 = 1.0;
/// Cost of such a placement while that capacity is scarce.
const SCARCE_RESERVE_PENALTY: f64 = 5.0;

/// Cost of taking capacity that a class is expected to need.
pub(super) struct ReservePenalty {
    pub(super) expected_demand: ExpectedDemand,
    pub(super) cost: f64,
}

/// Properties of the job to be placed, computed once for each queue entry.
#[allow(clippy::struct_excessive_bools, reason = "independent facts of one job, computed once")]
pub(super) struct PlacementRequest {
    pub(super) job_index: JobIndex,
    /// Tier that selects the tasks to place.
    pub(super) tier: QueueTier,
    pub(super) requirements: TaskRequirements,
    pub(super) image: String,
    pub(super) image_gb: f64,
    pub(super) is_service: bool,
    /// Seconds until the job can no longer meet its deadline.
    pub(super) slack_s: f64,
    /// Seconds within which the tasks should start.
    pub(super) start_within_s: f64,
    /// Whether losing its work once more would make the job miss its deadline.
    pub(super) no_time_to_restart: bool,
    /// Seconds left to start within the class's objective; `None` if the job has a deadline instead.
    pub(super) objective_left_s: Option<f64>,
    /// Seconds left to start within the guarantee's objective; `None` if the team exceeds its guarantee or
    /// the time has passed.
    pub(super) guarantee_left_s: Option<f64>,
    /// Costs of taking capacity that other classes are expected to need.
    pub(super) reserve_penalties: Vec<ReservePenalty>,
    /// Whether capacity is reserved for this job.
    pub(super) has_reservation: bool,
    /// Machines on which the job failed.
    pub(super) avoided_hosts: HashSet<HostIndex>,
    /// Whether the job, which needs no accelerators, must not strand any: accelerators are short, and
    /// machines without them may still become available.
    pub(super) must_avoid_accelerators: bool,
}

impl SchedulingCycle<'_> {
    /// Computes the placement properties of a job.
    pub(super) fn request(&self, job_index: JobIndex) -> PlacementRequest {
        let job = &self.cluster.jobs[job_index];
        let spec = &job.spec;
        let left_ms = self.policy.soft_deadline_ms(job) as f64 - self.wall as f64;
        // A lost replica is unavailable until it is replaced, so each second counts.
        let lost_replica_s = self.policy.react_ms as f64 / 1000.0;
        let start_within_s = self
            .policy
            .start_objectives
            .get(&spec.class)
            .map(|objective| objective.within_s)
            .or(self.policy.guarantee_s);
        PlacementRequest {
            job_index,
            tier: QueueTier::Ordinary,
            requirements: self.index.requirements(self.cluster, spec),
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            is_service: spec.shape == Shape::Service,
            slack_s: left_ms.max(0.0) / 1000.0 - spec.expected_s,
            start_within_s: start_within_s.unwrap_or(self.policy.default_deadline_s).max(MIN_START_OBJECTIVE_S),
            no_time_to_restart: job.due_ms().is_some() && left_ms / 1000.0 < 2.0 * spec.expected_s,
            objective_left_s: spec
                .due_s
                .is_none()
                .then(|| if left_ms > 0.0 { left_ms / 1000.0 } else { lost_replica_s }),
            guarantee_left_s: self.guarantee_left_s(job),
            reserve_penalties: self.reserve_penalties(spec),
            has_reservation: self.index.reservations_of(job_index) > 0,
            avoided_hosts: job.avoided_hosts(self.cluster, self.now).clone(),
            must_avoid_accelerators: self.must_avoid_accelerators(job),
        }
    }

    /// Returns the seconds left to start within the guarantee's objective, or `None` if the team exceeds
    /// its guarantee or the time has passed.
    fn guarantee_left_s(&self, job: &Job) -> Option<f64> {
        let waited_s = self.wall.saturating_sub(job.ready_ms) as f64 / 1000.0;
        let left_s = self.policy.guarantee_s? - waited_s;
        (left_s > 0.0 && self.within_guarantee(&job.spec, 1)).then_some(left_s)
    }

    /// Returns the classes whose expected capacity the job's tasks could take, each with the cost of taking
    /// it.
    fn reserve_penalties(&self, spec: &Spec) -> Vec<ReservePenalty> {
        let without_gpus = spec.demand.gpus <= 0.0;
        let affects = |expected_demand: &&ExpectedDemand| {
            expected_demand.class != spec.class
                && (expected_demand.single_instance_type() || (without_gpus && expected_demand.demand.gpus > 0.0))
        };
        let cost = |expected_demand: &ExpectedDemand| {
            if self.scarce_classes.contains(&expected_demand.class) { SCARCE_RESERVE_PENALTY } else { RESERVE_PENALTY }
        };
        let expected_demands = self.cluster.expected_demands.iter().filter(affects);
        expected_demands
            .map(|expected_demand| ReservePenalty {
                expected_demand: expected_demand.clone(),
                cost: cost(expected_demand),
            })
            .collect()
    }

    /// Returns whether the job must leave machines with accelerators to work that needs them.
    fn must_avoid_accelerators(&self, job: &Job) -> bool {
        let spec = &job.spec;
        spec.demand.gpus <= 0.0
            && self.cluster.accelerators_insufficient
            && self.wall < job.ready_ms + self.boot_ms(spec)
            && self.cpu_host_may_become_available(spec)
    }

    /// Returns whether the cloud may still provide machines without accelerators for the job.
    fn cpu_host_may_become_available(&self, spec: &Spec) -> bool {
        let available = |(index, instance_type): (usize, &InstanceType)| {
            instance_type.cap.gpus <= 0.0
                && spec.allows_instance_type(instance_type)
                && !self.cluster.exhausted_instance_types.contains(&index)
        };
        self.cluster.instance_types.iter().enumerate().any(available)
    }

    /// Returns the boot time, in milliseconds, of the instance type on which the work is cheapest.
    fn boot_ms(&self, spec: &Spec) -> u64 {
        let allowed =
            self.cluster.instance_types.iter().filter(|instance_type| spec.allows_instance_type(instance_type));
        let cost = |instance_type: &InstanceType| {
            instance_type.price / instance_type.cap.tasks_that_fit(&spec.demand).max(1.0)
        };
        let cheapest = allowed.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        cheapest.map_or(0, |instance_type| instance_type.boot_ms())
    }
}
