//! Hosts, which are the machines of the fleet: their leases, the task attempts on them and the capacity
//! reserved on them.

use super::FencingToken;
use super::{CachedImage, Demand, JobIndex, TaskAttempt, TaskKey};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Number of consecutive direct commands that could not be sent or got no answer, from which a machine
/// counts as unreachable.
/// A single unanswered command may be a chance loss of a message.
pub const UNREACHABLE_AFTER_UNANSWERED: u32 = 2;

/// Number of jobs in [`Host::failed_jobs`] from which a machine counts as faulty.
pub const FAULTY_AFTER_JOBS: usize = 3;

/// Index of a machine in [`ClusterState::hosts`](super::ClusterState::hosts).
pub type HostIndex = usize;

/// Capacity on a machine that is reserved for a job, or for its team, until a fixed instant.
///
/// A scheduling cycle creates a reservation where it preempts for a job, and `control::partition` where
/// lent capacity is returned to a team. A reservation does not reduce the free capacity of the machine,
/// but other jobs may not use it. Unlike a [`WarmReservation`](super::WarmReservation) it expires and is
/// not stored.
#[derive(Debug, Clone, Copy)]
pub struct Reservation {
    /// Job for which the capacity is reserved.
    pub job: JobIndex,
    /// Reserved amounts.
    pub demand: Demand,
    /// Steady time, in milliseconds, at which the reservation expires.
    pub until_ms: u64,
    /// True if all jobs of the job's team may use the reservation.
    pub for_team: bool,
}

impl Reservation {
    /// Creates a reservation for this job only.
    pub fn of_job(job: JobIndex, demand: Demand, until_ms: u64) -> Reservation {
        Reservation { job, demand, until_ms, for_team: false }
    }

    /// Creates a reservation for all jobs of the team of this job. The job itself may have ended.
    pub fn of_team(job: JobIndex, demand: Demand, until_ms: u64) -> Reservation {
        Reservation { job, demand, until_ms, for_team: true }
    }
}

/// State of a machine, as the leader knows it.
#[allow(
    clippy::struct_excessive_bools,
    reason = "a lifecycle type is planned (ROADMAP.md); the flags are independent facts of a machine"
)]
#[derive(Debug, Clone)]
pub struct Host {
    /// Id that the cloud gave the machine.
    pub id: String,
    /// Address at which the worker accepts direct commands; `None` until a heartbeat or a record states it.
    pub addr: Option<SocketAddr>,
    /// Index of the instance type in `ClusterState::instance_types`; `None` if the type is not known.
    pub instance_type: Option<usize>,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot machine, which the cloud may take back.
    pub spot: bool,
    /// Agent epoch of the worker in the last heartbeat; 0 if there was none. A higher agent epoch means that
    /// the lease and all attempts of the previous one have ended.
    pub agent_epoch: u64,
    /// Sequence number of the last heartbeat in `agent_epoch`; 0 if there was none.
    pub sequence: u64,
    /// Highest fencing token that the worker is known to have seen; [`FencingToken::NONE`] if none is known.
    pub seen_token: FencingToken,
    /// Fencing token that the worker showed in its last heartbeat.
    pub reported_token: FencingToken,
    /// True if the agent does not remember the token or the number of its last heartbeat. It may carry out commands that
    /// it must refuse, and its heartbeats tell nothing about them, until the machine is terminated.
    pub lost_memory: bool,
    /// First fencing token of this leader. Heartbeats count only once the worker has seen it: a heartbeat
    /// with a lower token may be a delayed copy from a machine that no longer exists.
    pub required_token: FencingToken,
    /// Fencing token to which this leader has raised its orders to the machine; [`FencingToken::NONE`] if it has not.
    pub raised_token: FencingToken,
    /// Highest fencing token of a direct command with a `run` that was sent to the machine.
    pub start_token: FencingToken,
    /// Partition to which the machine is being transferred; `None` if it is not being transferred.
    pub transferring_to: Option<u32>,
    /// Steady time, in milliseconds, from which the silence of the worker is counted: the last heartbeat or
    /// answer to a direct command, or the time at which the machine became known. Pauses of this leader are
    /// added.
    pub last_heartbeat_ms: u64,
    /// Steady time, in milliseconds, of the last heartbeat whose answer may have renewed the worker's lease,
    /// or at which the machine became known or a new agent epoch was noticed, if that was later.
    pub lease_renewed_ms: u64,
    /// Steady time, in milliseconds, of the answer that showed the worker this leader's token; 0 if there
    /// was none.
    pub token_shown_ms: u64,
    /// True if the machine has a record in the registry, which is in the state service. A succeeding
    /// leader then knows that it may hold tasks.
    pub registered: bool,
    /// True if the machine has reported under this leader's token, or has certainly lost all its tasks.
    pub reconciled: bool,
    /// True if the machine reports tasks that this partition does not know.
    pub has_unknown_tasks: bool,
    /// True if the cloud has announced that it will take the machine back.
    pub preemption_notice: bool,
    /// True if its return to the cloud was decided. No task is placed on it any more.
    pub terminating: bool,
    /// True if its worker supports the extension for keeping models loaded.
    pub can_load_models: bool,
    /// True while its tasks are moved away so that it can be returned to the cloud.
    pub draining: bool,
    /// Number of consecutive direct commands that could not be sent or got no answer.
    pub unanswered_commands: u32,
    /// True while a direct command to the machine is in flight.
    pub command_in_flight: bool,
    /// Steady time, in milliseconds, before which no further direct command is sent; 0 if there is no
    /// pause.
    pub next_command_ms: u64,
    /// Steady time, in milliseconds, before which no task is placed on the machine because it refused one;
    /// 0 if it refused none.
    pub blocked_until_ms: u64,
    /// Jobs that have failed on this machine and on no other since it last completed a task.
    pub failed_jobs: HashSet<JobIndex>,
    /// True if a job that failed on this machine has succeeded on another one.
    pub succeeded_elsewhere: bool,
    /// Steady time, in milliseconds, of the last report after which the machine had attempts, or at which
    /// the machine became known.
    pub last_busy_ms: u64,
    /// Steady time, in milliseconds, at which the machine became known to this leader.
    pub known_since_ms: u64,
    /// Task attempts that are, or may be, on the machine.
    pub attempts: Vec<TaskAttempt>,
    /// Capacity on the machine that is reserved for jobs and teams.
    pub reservations: Vec<Reservation>,
    /// Images in the cache of the machine or being fetched, as far as this leader knows.
    pub images: Vec<CachedImage>,
}

impl Host {
    /// Returns the state of a machine of which only the id, the zone, the instance type and whether it is a
    /// spot machine are known. `now` is steady time in milliseconds.
    pub fn new(id: String, zone: String, spot: bool, instance_type: Option<usize>, now: u64) -> Host {
        Host {
            id,
            addr: None,
            instance_type,
            zone,
            spot,
            agent_epoch: 0,
            sequence: 0,
            seen_token: FencingToken::NONE,
            reported_token: FencingToken::NONE,
            lost_memory: false,
            required_token: FencingToken::NONE,
            raised_token: FencingToken::NONE,
            start_token: FencingToken::NONE,
            transferring_to: None,
            last_heartbeat_ms: now,
            lease_renewed_ms: now,
            token_shown_ms: 0,
            registered: false,
            reconciled: false,
            has_unknown_tasks: false,
            preemption_notice: false,
            terminating: false,
            can_load_models: false,
            draining: false,
            unanswered_commands: 0,
            command_in_flight: false,
            next_command_ms: 0,
            blocked_until_ms: 0,
            failed_jobs: HashSet::new(),
            succeeded_elsewhere: false,
            last_busy_ms: now,
            known_since_ms: now,
            attempts: Vec::new(),
            reservations: Vec::new(),
            images: Vec::new(),
        }
    }

    /// Returns whether the machine, rather than the jobs, is taken to be the cause of the failures on it.
    pub fn faulty(&self) -> bool {
        self.succeeded_elsewhere || self.failed_jobs.len() >= FAULTY_AFTER_JOBS
    }

    /// Returns the position of an attempt in `attempts`; `None` if it is not there. The search begins at
    /// `start`, so that a caller whose list is in nearly the same order reads `attempts` about once in total.
    pub fn attempt_position(&self, key: TaskKey, attempt: u64, start: usize) -> Option<usize> {
        let is_wanted = |own: &TaskAttempt| own.key == key && own.attempt == attempt;
        let start = start.min(self.attempts.len());
        let (before, after) = self.attempts.split_at(start);
        after.iter().position(is_wanted).map(|position| start + position).or_else(|| before.iter().position(is_wanted))
    }

    /// Returns the attempt with this task and number; `None` if it is not on the machine.
    pub fn attempt_mut(&mut self, key: TaskKey, attempt: u64) -> Option<&mut TaskAttempt> {
        self.attempts.iter_mut().find(|own| own.key == key && own.attempt == attempt)
    }

    /// Returns whether the worker has seen a fencing token of this leader.
    ///
    /// Invariant: a direct command without an answer may still be carried out until its machine reports a
    /// higher token. After that no order of an earlier leader can be carried out.
    pub fn token_confirmed(&self) -> bool {
        self.reconciled && self.seen_token >= self.required_token
    }

    /// Returns whether the machine certainly exists. A heartbeat alone does not prove it, as it may be a
    /// delayed copy.
    pub fn certainly_exists(&self) -> bool {
        self.registered || self.reconciled
    }
}
