//! Bounds on what a controller stores and serves at a time, derived from the platform's settings.
//!
//! No bound follows from a number of machines: a larger fleet comes with larger limits of the
//! process. `docs/CAPACITY.md` lists what each one is at 4,000 and at 6,000 machines, and what
//! is seen when it is reached.

use crate::settings::{Limits, Settings};

/// Bytes in a megabyte, as the settings count them.
const BYTES_PER_MB: f64 = 1e6;
/// Memory that is assumed where the settings name none.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Share of the memory that remembered ends of jobs may take.
const ENDED_JOBS_SHARE: f64 = 1.0 / 16.0;
/// Bytes of a remembered end: its id, and an entry in a map and in a queue.
const ENDED_JOB_BYTES: f64 = 160.0;

/// Share of the memory that hints about jobs may take, and those about machines.
const ROUTE_HINTS_SHARE: f64 = 1.0 / 32.0;
/// Bytes of a hint: an id, and an entry in a map.
const ROUTE_HINT_BYTES: f64 = 80.0;

/// Share of the memory that attempts of tasks may take.
const ATTEMPTS_SHARE: f64 = 0.5;
/// Bytes of an attempt, with its task and its part of the heartbeat that is being read: twice the
/// 0.2 KB that were measured with 40 attempts on each of 6,000 machines.
const ATTEMPT_BYTES: f64 = 400.0;
/// Entries of attempts in heartbeats that a leader with a whole core can follow in a
/// second beside its other work.
const ENTRIES_PER_S_PER_CORE: f64 = 60_000.0;

/// How often in a second an attempt is listed: assumed until it was measured, and at the most.
/// Workers with short tasks send heartbeats more often than they have to.
pub const MOST_ENTRIES_PER_S: f64 = 1.0;

/// Messages that wait for the leader of a partition. It does not grow with the fleet: a heartbeat
/// that waits longer than its worker does is answered in vain, and a leader that is late answers
/// none in time. What does not fit is refused at once.
pub const QUEUED_FOR_LEADER: usize = 1024;

/// Part of the sockets that the server may use; the rest is for what this node opens itself.
const SERVER_SOCKETS_SHARE: (usize, usize) = (3, 4);
/// Idle connections to workers, as a part of the sockets. Of a thousand machines few are sent
/// orders at a time: what stays open to the others would use up the sockets that their heartbeats
/// need.
const WORKER_POOL_DIVISOR: usize = 16;
/// Direct commands to workers under way at a time, as a part of the sockets.
const DIRECT_COMMANDS_DIVISOR: usize = 8;

/// Machines that a leader with a whole core may probe in a second, beside its other work. A leader
/// with a small share that probed all machines at once after a failover would answer neither
/// heartbeats nor users for seconds.
const PROBES_PER_S_PER_CORE: f64 = 1000.0;
/// Fewest machines that may be probed in a second.
const MIN_PROBES_PER_S: f64 = 1.0;

/// Upper bounds of a controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Ends of jobs that are remembered; one that is forgotten is read from its record.
    pub ended_jobs: usize,
    /// Hints of a kind about where jobs and machines belong; without one all partitions are asked.
    pub route_hints: usize,
    /// Connections of users and workers; beyond them the longest idle one is closed.
    pub server_connections: usize,
    /// Idle connections to workers, for the next direct command.
    pub worker_connections: usize,
    /// Direct commands under way; further ones wait.
    pub direct_commands: usize,
    /// Machines that may be probed in a second; `None` if that is not limited.
    pub probes_per_s: Option<f64>,
    /// How many attempts a leader follows.
    pub attempts: AttemptBounds,
}

impl Bounds {
    /// The bounds under these settings.
    pub fn new(settings: &Settings) -> Bounds {
        let limits = &settings.params.limits;
        let sockets = limits.max_sockets;
        Bounds {
            ended_jobs: entries_in_memory_share(limits, ENDED_JOBS_SHARE, ENDED_JOB_BYTES),
            route_hints: entries_in_memory_share(limits, ROUTE_HINTS_SHARE, ROUTE_HINT_BYTES),
            server_connections: sockets * SERVER_SOCKETS_SHARE.0 / SERVER_SOCKETS_SHARE.1,
            worker_connections: (sockets / WORKER_POOL_DIVISOR).max(1),
            direct_commands: (sockets / DIRECT_COMMANDS_DIVISOR).max(1),
            probes_per_s: limits.core_share.map(|share| (share * PROBES_PER_S_PER_CORE).max(MIN_PROBES_PER_S)),
            attempts: AttemptBounds::new(limits),
        }
    }
}

/// How many entries of so many bytes fit into a share of the process's memory.
fn entries_in_memory_share(limits: &Limits, share: f64, entry_bytes: f64) -> usize {
    let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    (memory_mb * BYTES_PER_MB * share / entry_bytes) as usize
}

/// How many attempts a leader can follow, by its memory and its processor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBounds {
    /// Attempts that fit into its memory.
    by_memory: usize,
    /// Entries of attempts in heartbeats that it can follow in a second; `None` if that is not limited.
    entries_per_s: Option<usize>,
}

impl AttemptBounds {
    fn new(limits: &Limits) -> AttemptBounds {
        AttemptBounds {
            by_memory: entries_in_memory_share(limits, ATTEMPTS_SHARE, ATTEMPT_BYTES),
            entries_per_s: limits.core_share.map(|share| (share * ENTRIES_PER_S_PER_CORE) as usize),
        }
    }

    /// Most attempts while each one is listed so often a second.
    pub fn most(&self, entries_per_attempt_s: f64) -> usize {
        match self.entries_per_s {
            Some(entries) => self.by_memory.min((entries as f64 / entries_per_attempt_s) as usize),
            None => self.by_memory,
        }
    }
}

#[cfg(test)]
mod tests;
