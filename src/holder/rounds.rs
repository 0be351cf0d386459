//! What the actor does again and again: upkeep, passes of the scheduler, plans of machines.

use super::actor::Holder;
use super::messages::SessionEvent;
use super::tenure::Tenure;
use crate::clock;
use crate::membership;
use crate::peer::{Ask, Needs, Reply};
use crate::task;

impl Holder {
    /// Does what is due.
    pub(super) fn drive(&self, h: &mut Tenure) {
        let now = clock::now_ms();
        if !self.entitled.holds(now) {
            return;
        }
        if now >= h.next_upkeep_ms {
            self.upkeep(h, now);
        }
        run_pass(h, now);
        self.send_orders(h, now);
        self.commit(h, now);
        if now >= h.next_plan_ms {
            h.next_plan_ms = now + self.settings.react_ms();
            // A waiting task's back-off may have ended, or a hold.
            h.part.stirred = true;
            timed(h, "plan_ms", "all", |h| self.plan(h, now));
        }
    }

    /// Looks after machines that are not heard or not needed.
    fn upkeep(&self, h: &mut Tenure, now: u64) {
        let react = self.settings.react_ms();
        h.next_upkeep_ms = now + react / 3;
        let stalled = now > h.upkeep_ms + 2 * react;
        h.upkeep_ms = now;
        if !stalled && h.part.cut_off(now) {
            let _ = self.members.try_send(membership::Msg::Abdicate);
        }
        let (release, probe) = h.part.upkeep(now, self.bonds.unbound_ms(now));
        for op in h.leader.release(release) {
            self.cloud_op(h, op);
        }
        self.probe(h, probe, now);
    }

    /// Plans machines; what is needed goes to the leader.
    fn plan(&self, h: &mut Tenure, now: u64) {
        let wall = clock::wall_ms();
        if self.id == 0 {
            h.coming = h.leader.coming(0, &h.part, now, self.patience());
        }
        let (needs, mut ops) = h.leader.plan(&mut h.part, &h.coming, now, wall);
        if self.id == 0 {
            ops.extend(h.leader.lead(needs, &h.part, now, self.patience()));
            h.part.destined = h.leader.destined(0);
        } else {
            self.ask_leader(h.n, needs);
        }
        for op in ops {
            self.cloud_op(h, op);
        }
        for host in std::mem::take(&mut h.part.recheck) {
            self.recheck(h.n, host);
        }
    }

    /// Tells the leader what this part needs.
    fn ask_leader(&self, session: u64, needs: Needs) {
        let (doors, sender) = (self.doors.clone(), self.sender(session));
        task::spawn(async move {
            if let Some(Reply::Coming { coming, refused }) = doors.ask(0, Ask::Needs(needs)).await {
                sender.send(SessionEvent::Coming { coming, refused }).await;
            }
        });
    }
}

/// Runs the scheduler if there is something to decide.
fn run_pass(h: &mut Tenure, now: u64) {
    if h.part.stirred && now >= h.next_pass_ms {
        let took = timed(h, "pass_ms", "all", |h| h.part.pass(now, clock::wall_ms()));
        // Rounds widen with the load: the costlier, the rarer.
        h.next_pass_ms = now + 2 + 5 * took;
        h.next_urgent_ms = h.next_urgent_ms.max(now + took);
    } else if h.part.urgent && now >= h.next_urgent_ms {
        // What is urgent need not wait for the next round of all work.
        let took = timed(h, "pass_ms", "urgent", |h| h.part.urgent_pass(now, clock::wall_ms()));
        h.next_urgent_ms = now + 2 + 5 * took;
    }
}

/// Does a piece of work and notes how many milliseconds it took.
fn timed(h: &mut Tenure, name: &'static str, label: &'static str, work: impl FnOnce(&mut Tenure)) -> u64 {
    let began = tokio::time::Instant::now();
    work(h);
    let took = began.elapsed().as_millis() as u64;
    h.part.metrics.observe(name, label, took);
    tracing::debug!(name, label, took, "done");
    took
}
