//! Warm reservations: capacity that warm pools reserve for replicas of their models.

use super::{Demand, HostIndex, TaskKey};
use std::sync::Arc;

/// Conditions under which a job may claim a warm reservation.
#[derive(Debug, Clone, PartialEq)]
pub struct WarmReservationOffer {
    /// Names of the images whose jobs may claim the reservation.
    pub images: Vec<String>,
    /// Teams whose jobs may claim the reservation; empty if the jobs of all teams may.
    pub teams: Vec<String>,
    /// Team that pays for the reservation.
    pub payer: String,
}

impl WarmReservationOffer {
    /// Returns whether a job of this team with this image may claim the reservation.
    pub fn takes(&self, image: &str, team: &str) -> bool {
        self.images.iter().any(|name| name == image)
            && (self.teams.is_empty() || self.teams.iter().any(|own| own == team))
    }
}

/// Capacity on a machine that a warm pool reserves for a replica and that no attempt uses.
///
/// It belongs to a slot of a pool, whose state is stored. `control::partition` lists the reservations
/// again before each cycle. A warm reservation reduces the free capacity of the machine. Unlike a
/// [`Reservation`](super::Reservation) it is for any job that its offer allows, and it does not expire.
#[derive(Debug, Clone)]
pub struct WarmReservation {
    /// Number of the pool slot.
    pub slot: u64,
    /// Machine on which the capacity is reserved.
    pub host: HostIndex,
    /// Reserved amounts.
    pub demand: Demand,
    /// Conditions for a claim; `None` while no job may claim the reservation.
    pub offer: Option<Arc<WarmReservationOffer>>,
    /// True if the model is loaded or the image is ready.
    pub warm: bool,
    /// True if the reservation may be released for other work.
    pub releasable: bool,
}

/// Start of a task on a warm reservation. The reservation ends with the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmReservationClaim {
    /// Number of the pool slot.
    pub slot: u64,
    /// Machine on which the task starts.
    pub host: HostIndex,
    /// Task that claims the reservation.
    pub key: TaskKey,
    /// Number of the attempt of the task.
    pub attempt: u64,
}
