//! Room that is held for jobs.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{HostIndex, JobIndex, Reservation};
use crate::scheduling::index::ZoneCounts;

/// Room that is made for a task is held for so many times what an order takes
/// to show: what is in the way may have to save.
pub(super) const RESERVATION_REACTIONS: u64 = 10;

impl SchedulingCycle<'_> {
    /// Holds room on a machine.
    pub(super) fn reserve(&mut self, host_index: HostIndex, claim: Reservation) {
        self.borrowing.note_change();
        if let Some(h) = self.cluster.host_mut(host_index) {
            let before = h.reservations.clone();
            h.reservations.push(claim);
            self.index.update_reservations(&before, &h.reservations, host_index);
        }
    }

    /// Gives up the room that is held for a job.
    pub(super) fn release_reservations(&mut self, job_index: JobIndex) {
        if self.index.reservations_of(job_index) == 0 {
            return;
        }
        self.borrowing.note_change();
        for (host_index, h) in self.cluster.hosts.iter_mut().enumerate() {
            let Some(h) = h.as_mut().filter(|h| h.reservations.iter().any(|c| c.job == job_index)) else { continue };
            let before = h.reservations.clone();
            h.reservations.retain(|c| c.job != job_index);
            self.index.update_reservations(&before, &h.reservations, host_index);
        }
    }

    /// How many tasks room is held for where zones still allow them, which are
    /// counted; what is held elsewhere is given up. Room in a zone that the job's
    /// other tasks filled meanwhile would keep the last one waiting for its end.
    pub(super) fn keep_usable_reservations(&mut self, request: &PlacementRequest, counts: &mut ZoneCounts) -> usize {
        if self.index.reservations_of(request.job_index) == 0 {
            return 0;
        }
        self.borrowing.note_change();
        let mut of_use = 0;
        for host_index in 0..self.index.hosts.len() {
            if self.index.hosts[host_index].reservations == 0 {
                continue;
            }
            let Some(h) = self.cluster.hosts[host_index]
                .as_mut()
                .filter(|h| h.reservations.iter().any(|c| c.job == request.job_index))
            else {
                continue;
            };
            let before = h.reservations.clone();
            let slot = &self.index.hosts[host_index];
            h.reservations.retain(|c| {
                let fits = c.job != request.job_index || request.requirements.accepts(slot, counts);
                if fits && c.job == request.job_index {
                    counts.add(slot.zone);
                    of_use += 1;
                }
                fits
            });
            self.index.update_reservations(&before, &h.reservations, host_index);
        }
        of_use
    }
}
