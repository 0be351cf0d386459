//! Warm reservations: capacity that warm pools keep for replicas of their models.

use super::{Demand, HostIndex, TaskKey};
use std::sync::Arc;

/// To whom a warm reservation is offered: which jobs may claim it.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmReservationOffer {
    /// Names of the image with which jobs ask for what is warm there.
    pub images: Vec<String>,
    /// Teams whose jobs may; all if there are none.
    pub teams: Vec<String>,
    /// The team that pays for the reservation.
    pub payer: String,
}

impl WarmReservationOffer {
    /// May a job of this team with this image claim it?
    pub fn takes(&self, image: &str, team: &str) -> bool {
        self.images.iter().any(|name| name == image)
            && (self.teams.is_empty() || self.teams.iter().any(|own| own == team))
    }
}

/// Capacity on a machine that a warm pool keeps for a replica, and that no attempt takes.
///
/// It belongs to a slot of a pool, whose state is recorded; `control::partition` lists the reservations
/// anew before each cycle. It does reduce what is free. Unlike a [`Reservation`](super::Reservation) it
/// is for any job that its offer allows, and it does not expire.
#[derive(Debug, Clone)]
pub struct WarmReservation {
    /// Number of the pool slot.
    pub slot: u64,
    /// The machine.
    pub host: HostIndex,
    /// How much is reserved.
    pub demand: Demand,
    /// Which jobs may claim it; `None` while none may.
    pub offer: Option<Arc<WarmReservationOffer>>,
    /// The model is warm there, or the image ready.
    pub warm: bool,
    /// It may be given up for other work.
    pub may_yield: bool,
}

/// The start of a task on a warm reservation: the reservation ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmReservationClaim {
    /// Number of the pool slot.
    pub slot: u64,
    /// The machine.
    pub host: HostIndex,
    /// The task.
    pub key: TaskKey,
    /// Number of its attempt.
    pub attempt: u64,
}
