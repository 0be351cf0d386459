//! Answers to workers, users and other parts.

use super::actor::Holder;
use super::messages::{BeatAnswer, Msg};
use super::tenure::Tenure;
use crate::clock;
use crate::part::{Belongs, UserAnswer, Via, Waiter};
use crate::peer::{Machines, Needs, Reply, UserCall};
use crate::sched::Coming;
use crate::wire::Report;

impl Holder {
    /// Answers the report of a worker.
    pub(super) fn beat(&self, h: &mut Tenure, r: &Report, now: u64) -> BeatAnswer {
        let term = h.part.term;
        if !h.loaded {
            // Leases live on while the records are read; but which machines
            // are whose is only known for sure if there is one part.
            let sure = self.operator.parts == 1 && r.fence <= term;
            return if sure { BeatAnswer::Orders { term, orders: Vec::new() } } else { BeatAnswer::NotEntitled };
        }
        match h.part.belongs(r) {
            Belongs::Mine => BeatAnswer::Orders { term, orders: h.part.report(r, Via::Beat, now) },
            Belongs::NotYet => BeatAnswer::NotEntitled,
            Belongs::Elsewhere(p) => BeatAnswer::Elsewhere(p),
            Belongs::Unknown => BeatAnswer::Unknown,
        }
    }

    /// As the leader, answers a part that tells which machines it needs.
    pub(super) fn needs(&self, h: &mut Tenure, needs: Needs, now: u64) -> Reply {
        let (coming, refused) = h.leader.needs(needs, &h.part, now, self.patience());
        Reply::Coming { coming, refused }
    }

    /// Takes in the answer of the leader.
    pub(super) fn coming(&self, h: &mut Tenure, coming: Vec<Machines>, refused: &[Machines], now: u64) {
        let world = &h.part.world;
        h.coming = coming
            .into_iter()
            .filter_map(|m| Some(Coming { flavor: world.flavor(&m.flavor)?, zone: m.zone, spot: m.spot }))
            .collect();
        h.leader.set_refused(refused, &h.part, now + self.patience());
    }

    /// Answers a user.
    pub(super) fn user(&self, h: &mut Tenure, call: UserCall, reply: Waiter, now: u64) {
        // Refused at once: nothing can be recorded now.
        let silent = !self.state.answers(self.settings.grant_life_ms());
        match call {
            UserCall::Submit(_) if silent => {
                let _ = reply.send(UserAnswer::Later("the state service gives no answer"));
            }
            UserCall::Submit(body) => h.part.submit(&body, now, clock::wall_ms(), reply),
            UserCall::Status(id) => {
                let _ = reply.send(h.part.status(&id));
            }
            UserCall::Cancel(id) => h.part.cancel(&id, now, !silent, reply),
        }
    }
}

/// Without the part, users and workers are sent away.
pub(super) fn handle_idle(m: Msg) {
    match m {
        Msg::Beat { reply, .. } => {
            let _ = reply.send(BeatAnswer::NotEntitled);
        }
        Msg::User { reply, .. } => {
            let _ = reply.send(UserAnswer::Later("this node does not hold the jobs"));
        }
        Msg::Metrics(reply) => {
            let _ = reply.send(String::new());
        }
        Msg::Needs { reply, .. } | Msg::Give { reply, .. } => {
            let _ = reply.send(Reply::No);
        }
        Msg::Session { .. } => {}
    }
}
