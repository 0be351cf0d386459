//! Reservations of capacity for jobs, kept consistent between the machines and the index.

use super::SchedulingCycle;
use super::request::PlacementRequest;
use crate::model::{Host, HostIndex, JobIndex, Reservation};
use crate::scheduling::task_requirements::ZoneCounts;

/// Capacity freed for a task stays reserved for this multiple of `Policy::react_ms`, the time within which
/// an order shows its effect, because stopped work may have to save its state.
pub(super) const RESERVATION_REACTIONS: u64 = 10;

fn reserved_for(host: &Host, job_index: JobIndex) -> bool {
    host.reservations.iter().any(|reservation| reservation.job == job_index)
}

impl SchedulingCycle<'_> {
    /// Reserves capacity on a machine.
    pub(super) fn reserve(&mut self, host_index: HostIndex, reservation: Reservation) {
        self.borrowing.record_change();
        if let Some(host) = self.cluster.host_mut(host_index) {
            let before = host.reservations.clone();
            host.reservations.push(reservation);
            self.index.update_reservations(&before, &host.reservations, host_index);
        }
    }

    /// Releases all reservations of a job.
    pub(super) fn release_reservations(&mut self, job_index: JobIndex) {
        if self.index.reservations_of(job_index) == 0 {
            return;
        }
        self.borrowing.record_change();
        for (host_index, host) in self.cluster.hosts.iter_mut().enumerate() {
            let Some(host) = host.as_mut().filter(|host| reserved_for(host, job_index)) else { continue };
            let before = host.reservations.clone();
            host.reservations.retain(|reservation| reservation.job != job_index);
            self.index.update_reservations(&before, &host.reservations, host_index);
        }
    }

    /// Keeps the job's reservations in zones that still allow its tasks, counts them in `counts` and
    /// releases the others. Returns the number kept. Without this, a reservation in a zone filled by other
    /// tasks of the job since then would keep the last task pending until the reservation expires.
    pub(super) fn keep_usable_reservations(&mut self, request: &PlacementRequest, counts: &mut ZoneCounts) -> usize {
        if self.index.reservations_of(request.job_index) == 0 {
            return 0;
        }
        self.borrowing.record_change();
        let mut kept = 0;
        for host_index in 0..self.index.hosts.len() {
            if self.index.hosts[host_index].reservations == 0 {
                continue;
            }
            let host = self.cluster.hosts[host_index].as_mut();
            let Some(host) = host.filter(|host| reserved_for(host, request.job_index)) else { continue };
            let before = host.reservations.clone();
            let host_info = &self.index.hosts[host_index];
            host.reservations.retain(|reservation| {
                let own = reservation.job == request.job_index;
                let keep = !own || request.requirements.accepts(host_info, counts);
                if keep && own {
                    counts.add(host_info.zone);
                    kept += 1;
                }
                keep
            });
            self.index.update_reservations(&before, &host.reservations, host_index);
        }
        kept
    }
}
