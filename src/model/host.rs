//! Machines: their leases, the attempts of tasks on them and the capacity that is reserved there.

use super::FencingToken;
use super::{CachedImage, Demand, JobIndex, TaskAttempt, TaskKey};
use std::collections::HashSet;
use std::net::SocketAddr;

/// A machine is unreachable after so many direct commands in a row without an answer: that is no chance.
pub const UNREACHABLE_AFTER_MISSES: u32 = 2;

/// A machine on which so many jobs failed is faulty.
pub const FAULTY_AFTER_JOBS: usize = 3;

/// Index of a machine in [`ClusterState::hosts`](super::ClusterState::hosts).
pub type HostIndex = usize;

/// Capacity on a machine that is reserved for a job, or for its team, until a set time.
///
/// A scheduling cycle makes one where it preempts for a job, and `control::partition` where capacity is
/// returned to a team. It does not reduce what is free: others may not use it. Unlike a
/// [`WarmReservation`](super::WarmReservation) it expires, and it is not recorded.
#[derive(Debug, Clone, Copy)]
pub struct Reservation {
    /// The job that it is for.
    pub job: JobIndex,
    /// How much is reserved.
    pub demand: Demand,
    /// Steady time at which it expires.
    pub until_ms: u64,
    /// It is for all jobs of the job's team.
    pub for_team: bool,
}

impl Reservation {
    /// A reservation for this job alone.
    pub fn of_job(job: JobIndex, demand: Demand, until_ms: u64) -> Reservation {
        Reservation { job, demand, until_ms, for_team: false }
    }

    /// A reservation for all jobs of the team of this job, which may be over.
    pub fn of_team(job: JobIndex, demand: Demand, until_ms: u64) -> Reservation {
        Reservation { job, demand, until_ms, for_team: true }
    }
}

/// A machine, with all that is known of it.
#[allow(
    clippy::struct_excessive_bools,
    reason = "a lifecycle type is planned (ROADMAP.md); the flags are independent facts of a machine"
)]
#[derive(Debug, Clone)]
pub struct Host {
    /// The cloud's id of the machine.
    pub id: String,
    /// Where its worker takes direct commands; `None` until a heartbeat or record has it.
    pub addr: Option<SocketAddr>,
    /// Index of its type in `ClusterState::instance_types`; `None` if the type is not known.
    pub instance_type: Option<usize>,
    /// Zone in which it stands.
    pub zone: String,
    /// True if the cloud may take it back.
    pub spot: bool,
    /// Agent epoch of its worker, from the last heartbeat; 0 if there was none.
    pub agent_epoch: u64,
    /// Sequence of the last heartbeat in that epoch; 0 if there was none.
    pub sequence: u64,
    /// Highest fencing token that the worker is known to have seen; 0 if none.
    pub seen_token: FencingToken,
    /// The first fencing token of this leader: heartbeats count once the agent has seen it. One with a
    /// lower token may be a late copy, of a machine that is gone.
    pub required_token: FencingToken,
    /// The partition that it is being given to.
    pub transferring_to: Option<u32>,
    /// Steady time of the last heartbeat, in milliseconds.
    pub last_heartbeat_ms: u64,
    /// Steady time of the last answer that may have renewed the worker's lease.
    pub lease_renewed_ms: u64,
    /// Steady time of the answer to a report that showed the worker this leader's token; 0 if none.
    pub token_shown_ms: u64,
    /// In the registry, so that a successor knows that it may hold tasks.
    pub registered: bool,
    /// Has reported under this leader's token, or surely lost all it had.
    pub reconciled: bool,
    /// Reports tasks that this partition does not know.
    pub has_unknown_tasks: bool,
    /// The cloud has announced that it takes the machine back.
    pub preemption_notice: bool,
    /// Its return to the cloud was decided: nothing is placed on it any more.
    pub terminating: bool,
    /// Its worker keeps models loaded, by the extension for that.
    pub loads_models: bool,
    /// Being emptied, to be returned.
    pub draining: bool,
    /// Direct commands in a row that had no answer.
    pub unanswered_probes: u32,
    /// A direct command to it is in flight.
    pub do_in_flight: bool,
    /// Steady time before which no further direct command is sent (retry after); 0 if there is no wait.
    pub do_after_ms: u64,
    /// Steady time before which nothing is placed on it, as it refused a task; 0 if it did not.
    pub blocked_until_ms: u64,
    /// Jobs that failed here and on no other machine, since it last completed a task.
    pub failed_jobs: HashSet<JobIndex>,
    /// What failed here has succeeded on another machine.
    pub succeeded_elsewhere: bool,
    /// Steady time of the last report after which it had attempts, or at which it became known.
    pub idle_since_ms: u64,
    /// Steady time at which this leader came to know the machine.
    pub up_ms: u64,
    /// Attempts of tasks that are, or may be, on the machine.
    pub attempts: Vec<TaskAttempt>,
    /// Reservations for jobs and teams.
    pub reservations: Vec<Reservation>,
    /// Images in its cache or being fetched, as far as this leader knows.
    pub images: Vec<CachedImage>,
}

impl Host {
    /// A machine of which nothing is known but what it was rented as.
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
            required_token: FencingToken::NONE,
            transferring_to: None,
            last_heartbeat_ms: now,
            lease_renewed_ms: now,
            token_shown_ms: 0,
            registered: false,
            reconciled: false,
            has_unknown_tasks: false,
            preemption_notice: false,
            terminating: false,
            loads_models: false,
            draining: false,
            unanswered_probes: 0,
            do_in_flight: false,
            do_after_ms: 0,
            blocked_until_ms: 0,
            failed_jobs: HashSet::new(),
            succeeded_elsewhere: false,
            idle_since_ms: now,
            up_ms: now,
            attempts: Vec::new(),
            reservations: Vec::new(),
            images: Vec::new(),
        }
    }

    /// Is it the machine that is at fault for the tasks that failed on it?
    pub fn faulty(&self) -> bool {
        self.succeeded_elsewhere || self.failed_jobs.len() >= FAULTY_AFTER_JOBS
    }

    /// Where this attempt stands in the list of the machine's attempts. The search begins at
    /// `start`, so that a list in about the same order is looked through once altogether.
    pub fn attempt_position(&self, key: TaskKey, attempt: u64, start: usize) -> Option<usize> {
        let is_wanted = |own: &TaskAttempt| own.key == key && own.attempt == attempt;
        let start = start.min(self.attempts.len());
        let (before, after) = self.attempts.split_at(start);
        after.iter().position(is_wanted).map(|position| start + position).or_else(|| before.iter().position(is_wanted))
    }

    /// The attempt of this number, if it is on the machine.
    pub fn attempt_mut(&mut self, key: TaskKey, attempt: u64) -> Option<&mut TaskAttempt> {
        self.attempts.iter_mut().find(|own| own.key == key && own.attempt == attempt)
    }

    /// Has its agent seen a fencing token of this leader?
    ///
    /// Invariant: a direct command without an answer may still be carried out until its machine reports a
    /// higher token. After that no order of an earlier leader can be.
    pub fn token_confirmed(&self) -> bool {
        self.reconciled && self.seen_token >= self.required_token
    }

    /// Is it certain that the machine exists, beyond a heartbeat that may be a late copy?
    pub fn confirmed(&self) -> bool {
        self.registered || self.reconciled
    }
}
