//! Upper bounds on what a controller stores and serves at a time, derived from the platform's settings.
//!
//! No bound depends on the number of machines: a larger fleet comes with larger limits of the process.
//! `docs/CAPACITY.md` lists the value of each bound at 4,000 and at 6,000 machines, and the effect of
//! reaching it.

use crate::settings::{Limits, Settings};

/// Number of bytes in a megabyte of the settings.
const BYTES_PER_MB: f64 = 1e6;
/// Memory of the process, in megabytes, if the settings have no limit.
const DEFAULT_MEMORY_MB: f64 = 256.0;

/// Share of the memory for remembered ends of jobs.
const ENDED_JOBS_SHARE: f64 = 1.0 / 16.0;
/// Size, in bytes, of a remembered end: the job id, and an entry in a map and in a queue.
const ENDED_JOB_BYTES: f64 = 160.0;

/// Share of the memory for route hints about jobs; those about machines may take the same share.
const ROUTE_HINTS_SHARE: f64 = 1.0 / 32.0;
/// Size, in bytes, of a route hint: an id and an entry in a map.
const ROUTE_HINT_BYTES: f64 = 80.0;

/// Share of the memory for task attempts.
const ATTEMPTS_SHARE: f64 = 0.5;
/// Size, in bytes, of an attempt with its task and its part of the heartbeat that is being read. This is
/// twice the 0.2 KB that an attempt takes with 40 attempts on each of 6,000 machines.
const ATTEMPT_BYTES: f64 = 400.0;
/// Number of attempt entries in heartbeats that a leader with a whole core can process per second
/// beside its other work.
const ENTRIES_PER_S_PER_CORE: f64 = 60_000.0;

/// Number of times per second that an attempt is listed in heartbeats: the initial value while the actual rate
/// is unknown, and the maximum. Workers with short tasks send heartbeats more often than required.
pub const MAX_ENTRIES_PER_S: f64 = 1.0;

/// Capacity of the message queue of the leader of a partition; further messages are refused at once. It does
/// not grow with the fleet: the reply to a heartbeat is useless once its worker has timed out, and with a longer
/// queue a slow leader would answer no heartbeat in time.
pub const LEADER_QUEUE_CAPACITY: usize = 1024;

/// Share of the sockets that the server may use, as numerator and denominator; the rest is for connections
/// that this node opens.
const SERVER_SOCKETS_SHARE: (usize, usize) = (3, 4);
/// Divisor of the number of sockets that gives the number of idle connections to workers. Of a thousand
/// machines only a few are sent orders at a time; idle connections to all the others would use up the sockets
/// that their heartbeats need.
const WORKER_POOL_DIVISOR: usize = 16;
/// Divisor of the number of sockets that gives the number of concurrent direct commands to workers.
const DIRECT_COMMANDS_DIVISOR: usize = 8;

/// Number of machines that a leader with a whole core may probe per second beside its other work. A leader with
/// a small share of a core that probed all machines at once after a failover would respond to neither heartbeats
/// nor users for seconds.
const PROBES_PER_S_PER_CORE: f64 = 1000.0;
/// Minimum number of machines that may be probed per second.
const MIN_PROBES_PER_S: f64 = 1.0;

/// Number of preemption plans that a leader with a whole core makes per second.
const PREEMPTION_PLANS_PER_S_PER_CORE: f64 = 350_000.0;
/// Divisor of the duration of a leader lease that gives the time for the preemption plans of a scheduling cycle. The
/// lease is renewed five times in its duration, and nothing else runs during a cycle.
const CYCLE_LEASE_DIVISOR: f64 = 4.0;
/// Number of milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Upper bounds on what a controller stores and serves at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Number of ends of jobs that are remembered; a forgotten end is read from the record of its job.
    pub ended_jobs: usize,
    /// Number of route hints about the partitions of jobs, and as many about those of machines; without a hint all
    /// partitions are asked.
    pub route_hints: usize,
    /// Number of connections of users and workers; beyond it the connection that has been idle longest is closed.
    pub server_connections: usize,
    /// Number of idle connections to workers that are kept for later direct commands.
    pub worker_connections: usize,
    /// Number of concurrent direct commands; further ones wait.
    pub direct_commands: usize,
    /// Number of machines that may be probed per second; `None` if it is unlimited.
    pub probes_per_s: Option<f64>,
    /// Number of preemption plans in a scheduling cycle; further ones are left to the next cycles.
    pub preemption_plans_per_cycle: u64,
    /// Bounds on the number of attempts that a leader tracks.
    pub attempts: AttemptBounds,
}

impl Bounds {
    /// Returns the bounds under these settings.
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
            preemption_plans_per_cycle: preemption_plans_per_cycle(settings),
            attempts: AttemptBounds::new(limits),
        }
    }
}

/// Returns the number of preemption plans that a leader can make within its share of the time of a scheduling cycle.
fn preemption_plans_per_cycle(settings: &Settings) -> u64 {
    let cycle_s = settings.leader_lease_ttl_ms() as f64 / MS_PER_S / CYCLE_LEASE_DIVISOR;
    let core_share = settings.params.limits.core_share.unwrap_or(1.0);
    (cycle_s * core_share * PREEMPTION_PLANS_PER_S_PER_CORE) as u64
}

/// Returns the number of entries of `entry_bytes` bytes that fit into `share` of the memory of the process.
fn entries_in_memory_share(limits: &Limits, share: f64, entry_bytes: f64) -> usize {
    let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    (memory_mb * BYTES_PER_MB * share / entry_bytes) as usize
}

/// Bounds on the number of attempts that a leader tracks, by its memory and its processor share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBounds {
    /// Number of attempts that fit into the memory of the leader.
    by_memory: usize,
    /// Number of attempt entries in heartbeats that the leader can process per second; `None` if it is unlimited.
    entries_per_s: Option<usize>,
}

impl AttemptBounds {
    fn new(limits: &Limits) -> AttemptBounds {
        AttemptBounds {
            by_memory: entries_in_memory_share(limits, ATTEMPTS_SHARE, ATTEMPT_BYTES),
            entries_per_s: limits.core_share.map(|share| (share * ENTRIES_PER_S_PER_CORE) as usize),
        }
    }

    /// Returns the maximum number of attempts while each one is listed `entries_per_attempt_s` times per second.
    pub fn max_attempts(&self, entries_per_attempt_s: f64) -> usize {
        match self.entries_per_s {
            Some(entries) => self.by_memory.min((entries as f64 / entries_per_attempt_s) as usize),
            None => self.by_memory,
        }
    }
}

#[cfg(test)]
mod tests;
