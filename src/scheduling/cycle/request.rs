//! What a scheduling cycle needs to know of a job that it places.

use super::SchedulingCycle;
use super::queue::QueueTier;
use crate::model::{HostIndex, InstanceType, Job, JobIndex, Reserve, Shape, Spec};
use crate::scheduling::index::TaskRequirements;
use std::collections::HashSet;

/// A class's objective for the start counts as no shorter than this.
const LEAST_WITHIN_S: f64 = 0.1;
/// The cost of a place where the only room of another class shrinks.
const TRESPASS: f64 = 1.0;
/// The same if that class has no more room than it is expected to need.
const SCARCE_TRESPASS: f64 = 5.0;

/// The cost of taking room that a class is expected to need.
pub(super) struct ReservePenalty {
    pub(super) reserve: Reserve,
    pub(super) cost: f64,
}

/// What a scheduling cycle needs to know of the job that it places, worked out once.
pub(super) struct PlacementRequest {
    pub(super) job_index: JobIndex,
    /// Which of its tasks it is the turn of.
    pub(super) tier: QueueTier,
    pub(super) requirements: TaskRequirements,
    pub(super) image: String,
    pub(super) image_gb: f64,
    pub(super) service: bool,
    /// Seconds until the job can't be in time any more.
    pub(super) slack_s: f64,
    /// Within how long its tasks are to start.
    pub(super) within_s: f64,
    /// If it is lost once more it can't be in time.
    pub(super) last_chance: bool,
    /// Seconds left to start within the class's objective, and within the guarantee's.
    pub(super) wait_s: Option<f64>,
    pub(super) guarantee_s: Option<f64>,
    /// What taking another class's room costs.
    pub(super) reserved_costs: Vec<ReservePenalty>,
    pub(super) held: bool,
    /// Machines on which it failed.
    pub(super) avoided_hosts: HashSet<HostIndex>,
    /// Without accelerators, and not to take the places of work with them:
    /// there is too little room for that, and machines may still come.
    pub(super) without_accelerators: bool,
}

impl SchedulingCycle<'_> {
    /// Works out what the scheduling cycle needs to know of a job.
    pub(super) fn request(&self, job_index: JobIndex) -> PlacementRequest {
        let job = &self.cluster.jobs[job_index];
        let spec = &job.spec;
        let left_ms = self.policy.soft_deadline_ms(job) as f64 - self.wall as f64;
        // A replica that was lost is down until it is back: each second counts.
        let lost_s = self.policy.react_ms as f64 / 1000.0;
        let within = self.policy.waits.get(&spec.class).map(|w| w.0).or(self.policy.guarantee_s);
        PlacementRequest {
            job_index,
            tier: QueueTier::Ordinary,
            requirements: self.index.requirements(self.cluster, spec),
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            service: spec.shape == Shape::Service,
            slack_s: left_ms.max(0.0) / 1000.0 - spec.expected_s,
            within_s: within.unwrap_or(self.policy.default_deadline_s).max(LEAST_WITHIN_S),
            last_chance: job.due_ms().is_some() && left_ms / 1000.0 < 2.0 * spec.expected_s,
            wait_s: spec.due_s.is_none().then(|| if left_ms > 0.0 { left_ms / 1000.0 } else { lost_s }),
            guarantee_s: self.guarantee_left_s(job),
            reserved_costs: self.trespasses(spec),
            held: self.index.reservations_of(job_index) > 0,
            avoided_hosts: job.avoided_hosts(self.cluster, self.now).clone(),
            without_accelerators: self.without_accelerators(job),
        }
    }

    /// Seconds left to start within the guarantee, if its team is within that.
    fn guarantee_left_s(&self, job: &Job) -> Option<f64> {
        let waited_s = self.wall.saturating_sub(job.ready_ms) as f64 / 1000.0;
        let left_s = self.policy.guarantee_s? - waited_s;
        (left_s > 0.0 && self.within_guarantee(&job.spec, 1)).then_some(left_s)
    }

    /// The classes whose room its tasks could take, with what that costs.
    fn trespasses(&self, spec: &Spec) -> Vec<ReservePenalty> {
        let without_gpus = spec.demand.gpus <= 0.0;
        let concerns =
            |r: &&Reserve| r.class != spec.class && (r.single_instance_type() || (without_gpus && r.demand.gpus > 0.0));
        let cost = |r: &Reserve| if self.scarce_classes.contains(&r.class) { SCARCE_TRESPASS } else { TRESPASS };
        let reserves = self.cluster.reserves.iter().filter(concerns);
        reserves.map(|r| ReservePenalty { reserve: r.clone(), cost: cost(r) }).collect()
    }

    /// Is it to leave machines with accelerators to work that needs them?
    fn without_accelerators(&self, job: &Job) -> bool {
        let spec = &job.spec;
        spec.demand.gpus <= 0.0
            && self.cluster.accelerators_short
            && self.wall < job.ready_ms + self.boot_ms(spec)
            && self.cpu_host_may_come(spec)
    }

    /// May machines without accelerators still be had for it?
    fn cpu_host_may_come(&self, spec: &Spec) -> bool {
        let own = |(i, f): (usize, &InstanceType)| {
            f.cap.gpus <= 0.0 && spec.allows_flavor(f) && !self.cluster.exhausted.contains(&i)
        };
        self.cluster.instance_types.iter().enumerate().any(own)
    }

    /// How long the machine takes to boot on which the work costs least.
    fn boot_ms(&self, spec: &Spec) -> u64 {
        let allowed = self.cluster.instance_types.iter().filter(|f| spec.allows_flavor(f));
        let cost = |f: &InstanceType| f.price / f.cap.slots(&spec.demand).max(1.0);
        allowed.min_by(|a, b| cost(a).total_cmp(&cost(b))).map_or(0, |f| (f.boot_s * 1000.0) as u64)
    }
}
