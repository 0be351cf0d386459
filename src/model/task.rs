//! Tasks of jobs, and the attempts to run them on machines.

use super::FencingToken;
use super::{Demand, HostIndex, JobIndex};

/// Identifies a task by its job and its number in the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Job to which the task belongs.
    pub job: JobIndex,
    /// Number of the task in the job, starting at 0.
    pub task: u32,
}

/// Placement of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Place {
    /// The task is on no machine.
    Idle,
    /// The task is on this machine, as the attempt with this number.
    OnHost(HostIndex, u64),
    /// The task is completed.
    Done,
}

/// State of one task of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Task {
    /// Placement of the task.
    pub place: Place,
    /// True if this leader has started the task or seen it run. It is then on no unreconciled machine.
    pub located_by_leader: bool,
    /// Number of failures so far, saturating at the largest value of the type.
    pub failures: u16,
    /// Steady time, in milliseconds, before which the task is not placed again; 0 if there is no delay.
    pub retry_after_ms: u64,
}

/// Reason why an attempt ended, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// The attempt was ordered to stop.
    Stopped {
        /// True if the state of the task was saved.
        saved: bool,
    },
    /// Other tasks of its gang had stopped.
    MatesGone,
    /// The tasks of its gang did not all start in time.
    Incomplete,
    /// The task failed.
    Error,
    /// The worker had no capacity for the task.
    NoRoom,
    /// Another attempt of the task was still on the machine.
    InUse,
    /// The worker does not know the task.
    NoSuch,
}

/// Phase of an attempt on its machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TaskPhase {
    /// The attempt is ordered and has not appeared in a report yet.
    Sent,
    /// The attempt waits for its image.
    Fetching,
    /// The attempt waits for the other tasks of its gang.
    Gathering,
    /// The attempt runs.
    Running,
    /// The attempt was ordered to stop and saves its state.
    Saving,
    /// The attempt has ended and its worker still lists it.
    Ended(ExitReason),
}

/// One attempt to run a task on a machine. It is kept for as long as it may be on the machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskAttempt {
    /// Task that the attempt runs.
    pub key: TaskKey,
    /// Number of the attempt, which is never reused.
    pub attempt: u64,
    /// Resources of its machine that the attempt uses.
    pub demand: Demand,
    /// Phase of the attempt.
    pub phase: TaskPhase,
    /// Steady time, in milliseconds, at which the attempt was ordered, or first reported to this leader.
    pub since_ms: u64,
    /// Grace period, in seconds, of the stop that was decided; `None` if the attempt is not to be stopped.
    pub stop: Option<f64>,
    /// Highest fencing token of a direct command with the `run` of this attempt, answered or not; `None` if there is
    /// none. The command, or a copy of it, may start the attempt until the worker has seen a higher token.
    pub start_token: Option<FencingToken>,
    /// True while a direct command with the `run` of this attempt is in flight.
    pub in_flight: bool,
    /// Sequence number of the machine's last heartbeat that listed the attempt; 0 if none did.
    pub listed_sequence: u64,
    /// True while the attempt's claim of a warm reservation is not stored. The attempt must not be ordered
    /// before.
    pub start_awaits_record: bool,
    /// Number of the pool slot whose loaded model the attempt takes over; `None` if it takes over none.
    pub slot: Option<u64>,
    /// True while the loan for which the attempt is to be stopped is not stored. The stop must not be
    /// ordered before.
    pub stop_awaits_record: bool,
}

impl TaskAttempt {
    /// Creates an attempt that is to be ordered, or that was ordered and appears for the first time. `now` is
    /// steady time in milliseconds.
    pub fn sent(key: TaskKey, attempt: u64, demand: Demand, now: u64) -> TaskAttempt {
        let phase = TaskPhase::Sent;
        TaskAttempt {
            key,
            attempt,
            demand,
            phase,
            since_ms: now,
            stop: None,
            start_token: None,
            in_flight: false,
            listed_sequence: 0,
            start_awaits_record: false,
            slot: None,
            stop_awaits_record: false,
        }
    }

    /// Returns the grace period, in seconds, of a stop that may be ordered now; `None` if the attempt is not
    /// to be stopped or the stop must not be ordered yet.
    pub fn stop_due(&self) -> Option<f64> {
        self.stop.filter(|_| !self.stop_awaits_record)
    }

    /// Returns whether a direct command may still start the attempt on a worker that has seen this token.
    pub fn may_start_after(&self, seen_token: FencingToken) -> bool {
        self.in_flight || self.start_token.is_some_and(|token| token >= seen_token)
    }

    /// Returns whether the attempt has ended.
    pub fn ended(&self) -> bool {
        matches!(self.phase, TaskPhase::Ended(_))
    }
    /// Returns whether the attempt runs.
    pub fn running(&self) -> bool {
        matches!(self.phase, TaskPhase::Running)
    }
}
