//! Room on machines that is held for the replicas of warm pools.

use super::{Demand, HostIndex, TaskKey};
use std::sync::Arc;

/// Who may use a held room.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmReservationOffer {
    /// Names of the image with which jobs ask for what is warm there.
    pub images: Vec<String>,
    /// Teams whose jobs may; all if there are none.
    pub teams: Vec<String>,
    /// The team that pays for the room.
    pub payer: String,
}

impl WarmReservationOffer {
    /// May a job of this team with this image have the room?
    pub fn takes(&self, image: &str, team: &str) -> bool {
        self.images.iter().any(|name| name == image) && (self.teams.is_empty() || self.teams.iter().any(|t| t == team))
    }
}

/// Room that is held for a replica of a warm pool, and that no attempt takes.
#[derive(Debug, Clone)]
pub struct WarmReservation {
    /// Number of the pool's slot.
    pub slot: u64,
    /// The machine.
    pub host: HostIndex,
    /// How much room is held.
    pub demand: Demand,
    /// Who may have it; `None` while nobody may.
    pub offer: Option<Arc<WarmReservationOffer>>,
    /// The model is warm there, or the image ready.
    pub warm: bool,
    /// It may be given up for other work.
    pub may_yield: bool,
}

/// A task that was given a held room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmReservationClaim {
    /// Number of the pool's slot.
    pub slot: u64,
    /// The machine.
    pub host: HostIndex,
    /// The task.
    pub key: TaskKey,
    /// Number of its attempt.
    pub attempt: u64,
}
