//! What a scheduling cycle needs to know of a job that it places.

use super::SchedulingCycle;
use super::queue::QueueTier;
use crate::model::{HostIndex, InstanceType, Job, JobIndex, Reserve, Shape, Spec};
use crate::scheduling::task_requirements::TaskRequirements;
use std::collections::HashSet;

/// A class's start objective counts as no shorter than this, in seconds.
const LEAST_WITHIN_S: f64 = 0.1;
/// The cost of a placement that takes capacity for which another class has no other instance type.
const RESERVE_PENALTY: f64 = 1.0;
/// The same while that capacity is scarce.
const SCARCE_RESERVE_PENALTY: f64 = 5.0;

/// The cost of taking capacity that a class is expected to need.
pub(super) struct ReservePenalty {
    pub(super) reserve: Reserve,
    pub(super) cost: f64,
}

/// What a scheduling cycle needs to know of the job that it places, computed once a queue entry.
#[allow(clippy::struct_excessive_bools, reason = "independent facts of one job, computed once")]
pub(super) struct PlacementRequest {
    pub(super) job_index: JobIndex,
    /// Which of its tasks are placed.
    pub(super) tier: QueueTier,
    pub(super) requirements: TaskRequirements,
    pub(super) image: String,
    pub(super) image_gb: f64,
    pub(super) is_service: bool,
    /// Seconds until the job can't be in time any more.
    pub(super) slack_s: f64,
    /// Within how many seconds its tasks are to start.
    pub(super) within_s: f64,
    /// A further loss of its work would make it miss its deadline.
    pub(super) no_time_to_restart: bool,
    /// Seconds left to start within the class's objective; `None` if the job has a deadline instead.
    pub(super) objective_left_s: Option<f64>,
    /// Seconds left to start within the guarantee's objective; `None` if the team is beyond its guarantee
    /// or the time is over.
    pub(super) guarantee_left_s: Option<f64>,
    /// What taking capacity costs that other classes are expected to need.
    pub(super) reserve_penalties: Vec<ReservePenalty>,
    /// There are reservations of the job's own.
    pub(super) has_reservation: bool,
    /// Machines on which it failed.
    pub(super) avoided_hosts: HashSet<HostIndex>,
    /// It needs no accelerators and is not to strand any: they are short, and machines without them may
    /// still come.
    pub(super) without_accelerators: bool,
}

impl SchedulingCycle<'_> {
    /// Computes what the scheduling cycle needs to know of a job.
    pub(super) fn request(&self, job_index: JobIndex) -> PlacementRequest {
        let job = &self.cluster.jobs[job_index];
        let spec = &job.spec;
        let left_ms = self.policy.soft_deadline_ms(job) as f64 - self.wall as f64;
        // A replica that was lost is down until it is replaced: each second counts.
        let lost_replica_s = self.policy.react_ms as f64 / 1000.0;
        let within_s = self
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
            within_s: within_s.unwrap_or(self.policy.default_deadline_s).max(LEAST_WITHIN_S),
            no_time_to_restart: job.due_ms().is_some() && left_ms / 1000.0 < 2.0 * spec.expected_s,
            objective_left_s: spec
                .due_s
                .is_none()
                .then(|| if left_ms > 0.0 { left_ms / 1000.0 } else { lost_replica_s }),
            guarantee_left_s: self.guarantee_left_s(job),
            reserve_penalties: self.reserve_penalties(spec),
            has_reservation: self.index.reservations_of(job_index) > 0,
            avoided_hosts: job.avoided_hosts(self.cluster, self.now).clone(),
            without_accelerators: self.without_accelerators(job),
        }
    }

    /// Seconds left to start within the guarantee's objective, if the team is within its guarantee.
    fn guarantee_left_s(&self, job: &Job) -> Option<f64> {
        let waited_s = self.wall.saturating_sub(job.ready_ms) as f64 / 1000.0;
        let left_s = self.policy.guarantee_s? - waited_s;
        (left_s > 0.0 && self.within_guarantee(&job.spec, 1)).then_some(left_s)
    }

    /// The classes whose expected capacity its tasks could take, with the cost of that.
    fn reserve_penalties(&self, spec: &Spec) -> Vec<ReservePenalty> {
        let without_gpus = spec.demand.gpus <= 0.0;
        let concerns = |reserve: &&Reserve| {
            reserve.class != spec.class
                && (reserve.single_instance_type() || (without_gpus && reserve.demand.gpus > 0.0))
        };
        let cost = |reserve: &Reserve| {
            if self.scarce_classes.contains(&reserve.class) { SCARCE_RESERVE_PENALTY } else { RESERVE_PENALTY }
        };
        let reserves = self.cluster.reserves.iter().filter(concerns);
        reserves.map(|reserve| ReservePenalty { reserve: reserve.clone(), cost: cost(reserve) }).collect()
    }

    /// Must it leave machines with accelerators to work that needs them?
    fn without_accelerators(&self, job: &Job) -> bool {
        let spec = &job.spec;
        spec.demand.gpus <= 0.0
            && self.cluster.accelerators_short
            && self.wall < job.ready_ms + self.boot_ms(spec)
            && self.cpu_host_may_come(spec)
    }

    /// May the cloud still have machines without accelerators for it?
    fn cpu_host_may_come(&self, spec: &Spec) -> bool {
        let available = |(index, instance_type): (usize, &InstanceType)| {
            instance_type.cap.gpus <= 0.0
                && spec.allows_instance_type(instance_type)
                && !self.cluster.exhausted.contains(&index)
        };
        self.cluster.instance_types.iter().enumerate().any(available)
    }

    /// Boot time of the instance type on which the work costs least, in milliseconds.
    fn boot_ms(&self, spec: &Spec) -> u64 {
        let allowed = self.cluster.instance_types.iter().filter(|of_type| spec.allows_instance_type(of_type));
        let cost = |of_type: &InstanceType| of_type.price / of_type.cap.tasks_that_fit(&spec.demand).max(1.0);
        let cheapest = allowed.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        cheapest.map_or(0, |instance_type| instance_type.boot_ms())
    }
}
