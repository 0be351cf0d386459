//! The floor of a team: the amounts that borrowing must leave it.

use crate::amounts::{Amounts, covers, exceeds_rounding};

/// Demand of one job that could be met now.
///
/// | case | counted as |
/// | --- | --- |
/// | the job waits for other jobs, is cancelled or has ended | nothing: the job is left out |
/// | no machine that is up can hold a task of the job | the running tasks, and no waiting ones |
/// | a task in back-off | nothing until the back-off ends |
/// | a task that may be on a machine not accounted for | nothing: it cannot start now |
/// | an attempt that is being stopped | waiting: the task can start again once the attempt has ended |
/// | a gang | all of its tasks, or none if one of them neither runs nor could start |
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobDemand {
    /// Amounts that one task takes.
    pub per_task: Amounts,
    /// Number of tasks that are on a machine and are not being stopped.
    pub running: u32,
    /// Number of tasks that could start if there were free capacity.
    pub waiting: u32,
    /// Number of tasks of a gang, which run together or not at all; `None` for other jobs.
    pub gang_size: Option<u32>,
}

impl JobDemand {
    /// Returns the amounts that the job could use now; 0 for a gang that is incomplete.
    pub fn amounts(&self) -> Amounts {
        let tasks = self.running + self.waiting;
        let can_run = self.gang_size.is_none_or(|size| tasks >= size);
        self.per_task.times(f64::from(if can_run { tasks } else { 0 }))
    }
}

/// Guarantee, demand and use of a team.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamShare {
    /// Amounts that the team is guaranteed; 0 without a guarantee.
    pub guarantee: Amounts,
    /// Amounts that the team's jobs could use now: the sum of [`JobDemand::amounts`].
    pub runnable: Amounts,
    /// Amounts that the team's attempts take on machines that are accounted for. Attempts that are
    /// being started count, attempts that are being stopped do not.
    pub in_use: Amounts,
}

impl TeamShare {
    /// Returns the amounts that other teams must leave the team: for each resource, the smaller of
    /// its guarantee and its demand that could be met now.
    pub fn floor(&self) -> Amounts {
        self.guarantee.min(self.runnable)
    }

    /// Returns the amounts by which the team's use is below its floor.
    pub fn shortfall(&self) -> Amounts {
        self.floor().saturating_sub(self.in_use)
    }

    /// Returns whether the team stays at or above its floor in each resource of `stopped` once work
    /// that takes these amounts is stopped.
    ///
    /// Stopped work could start again at once, so the demand after the stop is at least the use
    /// before it. A use below the floor is therefore below the guarantee, and comparing with the
    /// guarantee is enough; other waiting work makes no difference.
    pub fn keeps_floor_without(&self, stopped: Amounts) -> bool {
        let left = self.in_use.minus(stopped);
        let keeps = |stopped: f64, left: f64, guarantee: f64| {
            !exceeds_rounding(stopped) || !exceeds_rounding(guarantee) || covers(left, guarantee)
        };
        keeps(stopped.cpus, left.cpus, self.guarantee.cpus) && keeps(stopped.gpus, left.gpus, self.guarantee.gpus)
    }

    /// Returns the amounts of the team's demand that exceed its guarantee.
    pub fn need_beyond_guarantee(&self) -> Amounts {
        self.runnable.saturating_sub(self.guarantee)
    }
}
