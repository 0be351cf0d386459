//! Machines with their tasks and loaded models.

use super::parameters::Flavor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Phase of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Fetching,
    Gathering,
    Running,
    Flushing,
    Ended,
}

impl Phase {
    pub(super) fn name(self) -> &'static str {
        match self {
            Phase::Fetching => "fetching",
            Phase::Gathering => "gathering",
            Phase::Running => "running",
            Phase::Flushing => "flushing",
            Phase::Ended => "ended",
        }
    }

    /// Returns whether the task has its image and has not exited.
    pub(super) fn on(self) -> bool {
        matches!(self, Phase::Gathering | Phase::Running | Phase::Flushing)
    }
}

/// An attempt of a task on a machine.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    pub job: String,
    pub team: &'static str,
    pub n: u32,
    pub phase: Phase,
    pub(super) why: Option<&'static str>,
    pub(super) stored: bool,
    /// Instant at which its next phase is due.
    pub(super) due: Instant,
    pub(super) since: Instant,
    /// Instant from which it answers requests; `None` before it has its image.
    pub(super) answers_from: Option<Instant>,
    /// Whether it took over a loaded model.
    pub(super) attached: bool,
}

/// A model that is loaded or being loaded and that no task has taken over.
#[derive(Debug, Clone)]
pub struct LoadedSlot {
    pub image: String,
    pub(super) cores: f64,
    pub(super) cards: f64,
    pub(super) mem_gb: f64,
    pub ready: Instant,
    pub(super) since: Instant,
}

/// A rented machine.
#[allow(clippy::struct_excessive_bools, reason = "independent faults of a simulated machine")]
pub struct Machine {
    pub id: String,
    pub addr: SocketAddr,
    pub flavor: &'static Flavor,
    pub zone: String,
    pub spot: bool,
    /// Number of the worker's process.
    pub process_id: u64,
    pub(super) rented: Instant,
    pub up: Instant,
    pub gone: Option<Instant>,
    pub died: Option<Instant>,
    pub(super) listed: bool,
    pub(super) tenure: u64,
    pub(super) serial: u64,
    pub fence: u64,
    pub(super) lease_from: Instant,
    pub copies: BTreeMap<(String, u64), TaskAttempt>,
    /// Loaded models by slot number.
    pub slots: BTreeMap<u64, LoadedSlot>,
    /// Instant until which the machine receives nothing.
    pub deaf: Instant,
    /// Instant until which its reports are lost.
    pub mute: Instant,
    /// Instant until which the machine executes nothing.
    pub hang: Instant,
    /// Instant at which the cloud reclaims the machine, if it will.
    pub taken: Option<Instant>,
    /// Whether every task on it fails.
    pub faulty: bool,
    pub changed: bool,
    pub(super) reported_token_at: Instant,
}

impl Machine {
    /// Returns whether the machine has booted and exists.
    pub fn alive(&self, now: Instant) -> bool {
        self.exists() && self.up <= now
    }

    /// Returns whether the machine has neither been removed nor crashed.
    pub fn exists(&self) -> bool {
        self.gone.is_none() && self.died.is_none()
    }
}
