//! A machine with the tasks that are on it.

use super::parameters::Flavor;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::Instant;

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

    /// It has its image and has not exited.
    pub(super) fn on(self) -> bool {
        matches!(self, Phase::Gathering | Phase::Running | Phase::Flushing)
    }
}

/// A task on a machine, under one attempt.
#[derive(Debug, Clone)]
pub struct TaskAttempt {
    pub job: String,
    pub team: &'static str,
    pub n: u32,
    pub phase: Phase,
    pub(super) why: Option<&'static str>,
    pub(super) stored: bool,
    /// Its next step by itself is due then.
    pub(super) due: Instant,
    pub(super) since: Instant,
    /// It answers requests from then on; none before it has its image.
    pub(super) answers_from: Option<Instant>,
    /// It took a loaded model over.
    pub(super) attached: bool,
}

/// A model that is loaded, or being loaded, and that no task has taken over.
#[derive(Debug, Clone)]
pub struct LoadedSlot {
    pub image: String,
    pub(super) cores: f64,
    pub(super) cards: f64,
    pub(super) mem_gb: f64,
    pub ready: Instant,
    pub(super) since: Instant,
}

#[allow(clippy::struct_excessive_bools, reason = "independent faults of a simulated machine")]
pub struct Machine {
    pub id: String,
    pub addr: SocketAddr,
    pub flavor: &'static Flavor,
    pub zone: String,
    pub spot: bool,
    pub life: u64,
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
    /// Loaded models, by the number of their slot.
    pub slots: BTreeMap<u64, LoadedSlot>,
    pub deaf: Instant,
    pub mute: Instant,
    pub hang: Instant,
    /// The cloud takes it away then.
    pub taken: Option<Instant>,
    /// Its tasks fail.
    pub faulty: bool,
    pub changed: bool,
    pub(super) told_fence: Instant,
}

impl Machine {
    pub fn alive(&self, now: Instant) -> bool {
        self.exists() && self.up <= now
    }

    pub fn exists(&self) -> bool {
        self.gone.is_none() && self.died.is_none()
    }
}
