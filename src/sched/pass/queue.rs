//! The order in which a pass looks at jobs.

use super::Pass;
use crate::model::{Job, JobIndex, Shape, Urgency};
use std::cmp::Reverse;

/// Where a job is in the queue; the lowest is first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    urgency: Reverse<Urgency>,
    /// False for what may stop any equal work for its guarantee.
    yields: bool,
    bin: u64,
    ready_ms: u64,
    job: JobIndex,
}

impl Pass<'_> {
    /// Jobs with tasks to place: of those that may preempt one another the more
    /// urgent first, as preemption would turn any other order round; then the
    /// lowest bin, then the older.
    pub(super) fn queue(&self, least: Urgency) -> Vec<JobIndex> {
        let live = self.cluster.live.iter().copied();
        let waiting = live.filter(|job_index| self.waits_for_place(&self.cluster.jobs[*job_index], least));
        let mut queue: Vec<QueueRank> = waiting.map(|job_index| self.queue_rank(job_index)).collect();
        queue.sort_unstable();
        queue.into_iter().map(|rank| rank.job).collect()
    }

    /// Has it tasks to place, of this urgency at least?
    fn waits_for_place(&self, job: &Job, least: Urgency) -> bool {
        // A task that may be on a machine not accounted for waits; what
        // was seen alive since is certainly nowhere else.
        let placeable = self.cluster.placeable(job);
        job.urgency >= least && job.active() && job.tasks.iter().any(|t| t.retry_ms <= self.now && placeable.open(t))
    }

    fn queue_rank(&self, job_index: JobIndex) -> QueueRank {
        let job = &self.cluster.jobs[job_index];
        let bin = self.policy.bin(self.policy.effective_deadline_ms(job, self.wall));
        // What may stop any equal work for its guarantee would do so next.
        let waits = self.wall.saturating_sub(job.ready_ms) >= self.policy.hold_ms;
        let pushes = waits && job.spec.shape == Shape::Batch && self.within_guarantee(&job.spec);
        let urgency = Reverse(job.urgency);
        QueueRank { urgency, yields: !pushes, bin, ready_ms: job.ready_ms, job: job_index }
    }
}
