//! Tasks, and the attempts of them that are on machines.

use super::FencingToken;
use super::{Demand, HostIndex, JobIndex};

/// Identifies a task: its job, and its number in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobIndex,
    /// Number of the task in the job, from 0.
    pub task: u32,
}

/// Where a task is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Place {
    /// Not placed on any machine.
    Idle,
    /// Placed on this machine, as the attempt of this number.
    On(HostIndex, u64),
    /// Completed.
    Done,
}

/// The state of one task of a job.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Where it is placed.
    pub place: Place,
    /// Seen running, or started, by this leader: it is on no unreconciled machine.
    pub located: bool,
    /// Failures so far, up to the largest value.
    pub fails: u16,
    /// Steady time before which it is not placed again; 0 if there is no wait.
    pub retry_ms: u64,
}

/// Why an attempt ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExitReason {
    /// It completed.
    Done,
    /// It was ordered to stop.
    Stopped {
        /// True if its state was saved.
        saved: bool,
    },
    /// Other tasks of its gang stopped.
    MatesGone,
    /// Its gang was not complete in time.
    Incomplete,
    /// It failed.
    Error,
    /// The worker had no capacity for it.
    NoRoom,
    /// Another attempt of the task was still on the machine.
    InUse,
    /// The worker does not know the task.
    NoSuch,
}

/// Where an attempt stands on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TaskPhase {
    /// Ordered, and not yet seen in a report.
    Sent,
    /// Waits for its image.
    Fetching,
    /// Waits for the other tasks of its gang.
    Gathering,
    /// Runs.
    Running,
    /// Ordered to stop, and saves its state.
    Saving,
    /// Ended, and still listed by its worker.
    Ended(ExitReason),
}

/// One attempt of a task on a machine, for as long as it may be there.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    /// The task.
    pub key: TaskKey,
    /// Number of the attempt, which is not used again.
    pub attempt: u64,
    /// What it takes of its machine.
    pub demand: Demand,
    /// How far it is.
    pub phase: TaskPhase,
    /// Steady time at which it was ordered, or first seen by this leader.
    pub since_ms: u64,
    /// Ordered to stop, with this grace in seconds.
    pub stop: Option<f64>,
    /// Highest fencing token of a direct command with its `run` that had no answer.
    pub indeterminate_order_token: Option<FencingToken>,
    /// Its `run` is in a direct command in flight.
    pub in_flight: bool,
    /// Sequence of the last heartbeat of its machine that listed it; 0 if none did.
    pub listed_sequence: u64,
    /// It claims a warm reservation, and the claim is not recorded yet: it must not be ordered.
    pub awaits_record: bool,
    /// Number of the pool slot whose loaded model it takes over, if it takes one over.
    pub slot: Option<u64>,
    /// It is to be stopped for a loan that is not recorded yet: the stop must not be ordered.
    pub stop_awaits_record: bool,
}

impl TaskAttempt {
    /// An attempt that is to be ordered, or was and is seen first.
    pub fn sent(key: TaskKey, attempt: u64, demand: Demand, now: u64) -> TaskAttempt {
        let phase = TaskPhase::Sent;
        TaskAttempt {
            key,
            attempt,
            demand,
            phase,
            since_ms: now,
            stop: None,
            indeterminate_order_token: None,
            in_flight: false,
            listed_sequence: 0,
            awaits_record: false,
            slot: None,
            stop_awaits_record: false,
        }
    }

    /// Is it to be stopped, and may that be ordered?
    pub fn stop_due(&self) -> Option<f64> {
        self.stop.filter(|_| !self.stop_awaits_record)
    }

    /// Has the attempt ended?
    pub fn ended(&self) -> bool {
        matches!(self.phase, TaskPhase::Ended(_))
    }
    /// Does the attempt run?
    pub fn running(&self) -> bool {
        matches!(self.phase, TaskPhase::Running)
    }
}
