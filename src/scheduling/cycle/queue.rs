//! Queue of a scheduling cycle: the order in which jobs are examined.

use super::SchedulingCycle;
use crate::model::{ClusterState, Job, JobIndex, Shape, Urgency};
use std::cmp::Reverse;

/// Part of a job's tasks that is placed. A job has one queue entry for each tier that applies to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum QueueTier {
    /// Tasks whose capacity was lent to another team and is being returned. They come first and use free
    /// capacity only.
    Returned,
    /// Tasks within the guarantee of the team, which may stop work of equal urgency that exceeds the
    /// guarantee of its team. They precede ordinary ones, which they would otherwise stop right after their
    /// placement.
    Guaranteed,
    /// All pending tasks.
    Ordinary,
}

/// An entry of the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedJob {
    pub(super) job_index: JobIndex,
    pub(super) tier: QueueTier,
}

/// Position of a job in the queue; the lowest rank comes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    returned: Reverse<bool>,
    urgency: Reverse<Urgency>,
    tier: QueueTier,
    /// Shortfall of the team to its floor while it lends to others.
    shortfall: Reverse<u64>,
    deadline_bin: u64,
    ready_ms: u64,
    job: JobIndex,
}

/// Returns whether any job of at least this urgency has tasks to place.
pub(super) fn any_pending(cluster: &ClusterState, now: u64, min_urgency: Urgency) -> bool {
    cluster
        .runnable_jobs
        .iter()
        .any(|job_index| has_pending_tasks(cluster, &cluster.jobs[*job_index], now, min_urgency))
}

/// Returns whether the job has at least this urgency and tasks to place.
fn has_pending_tasks(cluster: &ClusterState, job: &Job, now: u64, min_urgency: Urgency) -> bool {
    if job.urgency < min_urgency || !job.active() {
        return false;
    }
    // A task that an unreconciled machine may run is not placed. A task located since then is certain to
    // run on no other machine.
    let placeable = cluster.placeable_tasks(job);
    job.tasks.any(|task| task.retry_after_ms <= now && placeable.includes(task))
}

impl SchedulingCycle<'_> {
    /// Returns the jobs with tasks to place. Higher urgency comes first, since preemption would reverse any
    /// other order; then work within guarantees, then the lowest deadline bin, then the oldest job.
    pub(super) fn queue(&self, min_urgency: Urgency) -> Vec<QueuedJob> {
        let runnable = self.cluster.runnable_jobs.iter().copied();
        let pending = runnable
            .filter(|job_index| has_pending_tasks(self.cluster, &self.cluster.jobs[*job_index], self.now, min_urgency));
        let mut queue: Vec<QueueRank> = pending.flat_map(|job_index| self.queue_ranks(job_index)).collect();
        queue.sort_unstable();
        queue.into_iter().map(|rank| QueuedJob { job_index: rank.job, tier: rank.tier }).collect()
    }

    /// Returns one rank for each tier that applies to the job.
    fn queue_ranks(&self, job_index: JobIndex) -> impl Iterator<Item = QueueRank> {
        let job = &self.cluster.jobs[job_index];
        let deadline_bin = self.policy.deadline_bin(self.policy.effective_deadline_ms(job, self.wall));
        let shortfall = self.floor_shortfall(job_index);
        let rank = move |tier: QueueTier| QueueRank {
            returned: Reverse(tier == QueueTier::Returned),
            urgency: Reverse(job.urgency),
            tier,
            shortfall: Reverse(shortfall),
            deadline_bin,
            ready_ms: job.ready_ms,
            job: job_index,
        };
        let guaranteed = self.in_guaranteed_tier(job).then(|| rank(QueueTier::Guaranteed));
        let returned = (self.returning_tasks(job_index) > 0).then(|| rank(QueueTier::Returned));
        returned.into_iter().chain(guaranteed).chain([rank(QueueTier::Ordinary)])
    }

    /// Returns whether the job may stop work of equal urgency for the guarantee of its team.
    fn in_guaranteed_tier(&self, job: &Job) -> bool {
        let waited_ms = self.wall.saturating_sub(job.ready_ms);
        let in_time = self.policy.guarantee_s.is_some_and(|within_s| (waited_ms as f64) < within_s * 1000.0);
        let may_stop_equals = in_time || waited_ms >= self.policy.gang_reservation_ms;
        job.spec.shape == Shape::Batch && may_stop_equals && self.within_guarantee(&job.spec, 1)
    }
}
