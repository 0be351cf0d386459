//! Direct commands to workers.

use super::actor::Holder;
use super::messages::SessionEvent;
use super::tenure::Tenure;
use crate::model::HostIx;
use crate::task;
use crate::wire;

impl Holder {
    /// Asks machines that have not been heard how they are.
    pub(super) fn probe(&self, h: &mut Tenure, hosts: impl IntoIterator<Item = HostIx>, now: u64) {
        // Not more than there are places for: one that waits here for its turn
        // would look deaf.
        let (free, kept) = self.worker.places();
        let mut left = free.saturating_sub(kept);
        for hix in hosts {
            if left == 0 {
                break;
            }
            left -= usize::from(self.send_direct(h, hix, now, true));
        }
    }

    /// Sends their orders to the machines that have new ones.
    pub(super) fn send_orders(&self, h: &mut Tenure, now: u64) {
        let (mut free, _) = self.worker.places();
        for hix in std::mem::take(&mut h.part.kick) {
            if free == 0 || h.part.held_up(hix, now) {
                h.part.kick.insert(hix);
            } else {
                free -= usize::from(self.send_direct(h, hix, now, false));
            }
        }
    }

    /// Sends a machine what it is due; false if that is nothing now.
    fn send_direct(&self, h: &mut Tenure, hix: HostIx, now: u64, probe: bool) -> bool {
        let Some(command) = h.part.direct(hix, now, probe) else { return false };
        let body = wire::direct(command.term, command.tenure, &command.orders);
        let (worker, sender) = (self.worker.clone(), self.sender(h.n));
        task::spawn(async move {
            let result = worker.direct(command.addr, &body).await;
            sender.send(SessionEvent::DirectDone { command, result }).await;
        });
        true
    }
}
