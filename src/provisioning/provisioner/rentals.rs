//! Rental requests and their outcomes.

use super::boots::BootingMachine;
use super::{CloudRequest, Provisioner};
use crate::clients::RentResult;
use crate::scheduling::{PendingMachine, Rental};

/// A request without an outcome is sent so many times.
const MAX_TRIES: u32 = 8;
/// Pauses between tries double up to this multiple of `react_ms`.
const MAX_PAUSE_RATIO: u64 = 16;
/// What came of a request must be listed after this multiple of the list's lag.
const LISTED_LAGS: u64 = 2;

/// A rental request whose outcome is not known.
#[derive(Debug, Clone)]
pub(super) struct RentalRequest {
    pub(super) partition: u32,
    pub(super) rental: Rental,
    tries: u32,
    /// When it was given up without an outcome. Machines may have come of it.
    abandoned_ms: Option<u64>,
}

impl RentalRequest {
    pub(super) fn new(partition: u32, rental: Rental) -> RentalRequest {
        RentalRequest { partition, rental, tries: 1, abandoned_ms: None }
    }
}

impl Provisioner {
    /// Takes the outcome of a rental request; returns the request if it is to be repeated.
    pub fn rented(&mut self, name: &str, result: RentResult, now: u64) -> Option<CloudRequest> {
        let request = self.renting.get(name)?.clone();
        self.events.push(("rentals", outcome_label(&result, &request.rental).to_string()));
        match result {
            RentResult::Rented(ids) => {
                if ids.len() < request.rental.count {
                    self.refuse(&request.rental, now);
                } else {
                    let rental = &request.rental;
                    self.refused.remove(&(rental.instance_type, rental.zone.clone(), rental.spot));
                }
                self.renting.remove(name);
                ids.into_iter().for_each(|id| self.note_rented(id, &request, now));
                None
            }
            RentResult::NoCapacity | RentResult::Malformed => {
                self.refuse(&request.rental, now);
                self.renting.remove(name);
                None
            }
            RentResult::Again => self.repeat(name, now),
        }
    }

    fn note_rented(&mut self, id: String, request: &RentalRequest, now: u64) {
        let rental = &request.rental;
        let pending_machine =
            PendingMachine { instance_type: rental.instance_type, zone: rental.zone.clone(), spot: rental.spot };
        self.kinds.insert(id.clone(), pending_machine.clone());
        self.booting.entry(id).or_insert_with(|| BootingMachine::rented(request.partition, pending_machine, now));
    }

    /// Asks for no more machines of a kind for a while: ever longer pauses, up to some
    /// lags of the list.
    fn refuse(&mut self, rental: &Rental, now: u64) {
        let key = (rental.instance_type, rental.zone.clone(), rental.spot);
        let lag_ms = self.lag_ms.max(1000);
        let pause = self.refused.get(&key).map_or(lag_ms, |r| r.1 * 2).min(lag_ms * 8);
        self.refused.insert(key, (now + pause, pause));
    }

    /// The outcome of a request is not known: it is sent again under the same name, which
    /// rents nothing twice. After many tries it is given up, and the kind avoided.
    fn repeat(&mut self, name: &str, now: u64) -> Option<CloudRequest> {
        let request = self.renting.get_mut(name)?;
        let rental = request.rental.clone();
        if request.tries < MAX_TRIES {
            let pause_ms = self.react_ms * (1 << (request.tries - 1)).min(MAX_PAUSE_RATIO);
            request.tries += 1;
            return Some(CloudRequest::Rent { name: name.to_string(), rental, pause_ms });
        }
        tracing::info!(name, zone = rental.zone, spot = rental.spot, "rental without an outcome");
        self.events.push(("rentals", "abandoned".to_string()));
        request.abandoned_ms = Some(now);
        self.refuse(&rental, now);
        None
    }

    /// A list was read: what came of requests that were given up long enough before is in
    /// it, and no longer counts as asked for.
    pub(super) fn forget_abandoned(&mut self, now: u64) {
        let listed_after_ms = LISTED_LAGS * self.lag_ms;
        self.renting.retain(|_, r| r.abandoned_ms.is_none_or(|t| now < t + listed_after_ms));
    }
}

/// The label by which the answer to a rental request is counted.
fn outcome_label(result: &RentResult, rental: &Rental) -> &'static str {
    match result {
        RentResult::Rented(ids) if ids.len() < rental.count => "partly_filled",
        RentResult::Rented(_) => "filled",
        RentResult::NoCapacity => "refused",
        RentResult::Malformed => "malformed",
        RentResult::Again => "unanswered",
    }
}
