//! The actor of a part's membership: carries out what the rules say.

use super::entitlement::{Bonds, Entitlement};
use super::messages::{Msg, Seat, Taken, Tenancy};
use super::records::PartRecord;
use super::rules::{Role, Rules};
use super::takeover::{first_look, take};
use super::watch::look_out;
use crate::clients::{Fail, State};
use crate::clock;
use crate::peer::{Ask, Peer, Reply};
use crate::task;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// What a membership actor works with.
pub struct Membership {
    /// Number of the part.
    pub part: u32,
    /// Name of this node.
    pub node: String,
    /// Life of grants and promises.
    pub life_ms: u64,
    /// Length of the leases of workers.
    pub lease_ms: u64,
    /// The state service.
    pub state: State,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// Published: until when this node may act.
    pub entitled: Entitlement,
    /// Published: the promises given and had.
    pub bonds: Bonds,
    /// Published: who holds the part.
    pub seat: watch::Sender<Seat>,
    /// The way to the part's actor.
    pub tenancy: mpsc::Sender<Tenancy>,
    /// Parts that this node holds, so that parts spread over the nodes.
    pub held: Arc<AtomicUsize>,
    /// Pause before a first take, for a part that is rather another node's.
    pub courtesy_ms: u64,
}

impl Membership {
    /// Runs until nobody can send messages any more.
    pub async fn run(self, tx: mpsc::Sender<Msg>, mut rx: mpsc::Receiver<Msg>) {
        let mut rules = Rules::new(&self.node, self.life_ms, self.peers.len(), clock::now_ms());
        rules.looked = false;
        self.bonds.set(&rules);
        // Promises are given meanwhile: in an outage the look takes as long as that.
        task::spawn(first_look(self.state.clone(), self.part, self.node.clone(), self.life_ms, tx.clone()));
        task::spawn(look_out(self.state.clone(), self.part, self.life_ms, tx.clone()));
        let mut tick = tokio::time::interval(Duration::from_millis(self.life_ms / 5));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                m = rx.recv() => match m {
                    Some(m) => self.handle(&mut rules, m).await,
                    None => return,
                },
                _ = tick.tick() => self.renew(&mut rules, &tx),
            }
            self.publish(&mut rules);
            if rules.may_take(clock::now_ms()) {
                rules.role = Role::Taking;
                task::spawn(take(self.state.clone(), self.part, self.node.clone(), self.life_ms, tx.clone()));
            }
        }
    }

    /// Lets the rest of the node know how things stand.
    fn publish(&self, rules: &mut Rules) {
        self.entitled.set(rules.entitled_until());
        rules.note_term();
        self.bonds.set(rules);
        let mine = matches!(rules.role, Role::Holding { .. });
        let holder = if mine { Some(self.node.clone()) } else { rules.record.as_ref().map(|r| r.holder.clone()) };
        let seat = Seat { holder, mine };
        self.seat.send_if_modified(|s| std::mem::replace(s, seat.clone()) != seat);
    }

    /// Renews the grant and the promises of the part that this node holds.
    fn renew(&self, rules: &mut Rules, tx: &mpsc::Sender<Msg>) {
        let sent = clock::now_ms();
        rules.note_lapse(sent);
        let Role::Holding { grant, term, lapsed, .. } = rules.role else { return };
        self.renew_grant(grant, sent, tx);
        // Promises would only keep the others from keeping leases alive.
        if !lapsed {
            self.renew_promises(term, sent, tx);
        }
    }

    fn renew_grant(&self, grant: u64, sent: u64, tx: &mpsc::Sender<Msg>) {
        let (state, life, tx) = (self.state.clone(), self.life_ms, tx.clone());
        task::spawn(async move {
            let result = state.extend_grant(grant, life).await;
            let _ = tx.send(Msg::Extended { grant, sent, result }).await;
        });
    }

    fn renew_promises(&self, term: u64, sent: u64, tx: &mpsc::Sender<Msg>) {
        let ask = Ask::Promise {
            part: self.part,
            holder: self.node.clone(),
            term,
            for_ms: self.life_ms,
            state_ok: self.state.answers(self.life_ms),
        };
        for (i, p) in self.peers.iter().enumerate() {
            let (p, ask, tx) = (p.clone(), ask.clone(), tx.clone());
            let limit = Duration::from_millis(self.life_ms / 2);
            task::spawn(async move {
                let ok = p.ask(ask, limit).await == Some(Reply::Promised);
                let _ = tx.send(Msg::Promised { peer: i, sent, ok }).await;
            });
        }
    }

    async fn handle(&self, rules: &mut Rules, m: Msg) {
        let now = clock::now_ms();
        match m {
            Msg::Promise { holder, term, for_ms, state_ok, reply } => {
                let ok = self.promise(rules, now, holder, term, for_ms, state_ok).await;
                let _ = reply.send(ok);
            }
            Msg::Looked { record, unbound } => self.looked(rules, now, record, unbound),
            Msg::Seen(record) => self.seen(rules, now, record),
            Msg::Extended { grant, sent, result } => self.extended(rules, now, grant, sent, result).await,
            Msg::Promised { peer, sent, ok: true } => rules.promised(peer, sent, now),
            Msg::Promised { ok: false, .. } => {}
            Msg::Release { term } => rules.release(now, term),
            Msg::Abdicate => self.abdicate(rules, now).await,
            Msg::Superseded => {
                if matches!(rules.role, Role::Holding { .. }) {
                    self.step_down(rules, "superseded").await;
                }
            }
            Msg::Taken { sent, result: Some(taken) } => self.taken(rules, &taken, sent).await,
            Msg::Taken { result: None, .. } => {
                rules.role = Role::Idle;
                rules.retry_after = now + self.life_ms / 10;
            }
        }
    }

    /// Answers a holder that asks for a promise.
    async fn promise(
        &self,
        rules: &mut Rules,
        now: u64,
        holder: String,
        term: u64,
        for_ms: u64,
        state_ok: bool,
    ) -> bool {
        if rules.succeeded_by(now, term) {
            self.step_down(rules, "another holds it").await;
        }
        let own_state_ok = self.state.answers(self.life_ms);
        let ok = rules.promise(now, (&holder, term), for_ms, state_ok, own_state_ok);
        // Without the state service, who asks is the only news of who holds the part.
        if ok && !own_state_ok {
            rules.record = Some(PartRecord { holder, term, grant: 0 });
        }
        ok
    }

    fn looked(&self, rules: &mut Rules, now: u64, record: Option<PartRecord>, unbound: bool) {
        rules.looked = true;
        rules.record = record;
        if unbound {
            rules.unbound();
        }
        rules.retry_after = now + self.courtesy_ms;
    }

    fn seen(&self, rules: &mut Rules, now: u64, record: Option<PartRecord>) {
        // What a holder sees of itself is no news, and may be old.
        if matches!(rules.role, Role::Holding { .. }) {
            return;
        }
        if record.is_none() && rules.record.is_some() {
            // Who holds less goes first.
            let held = self.held.load(Ordering::Relaxed) as u64;
            rules.retry_after = rules.retry_after.max(now + held * self.life_ms / 10);
        }
        rules.record = record;
    }

    async fn extended(&self, rules: &mut Rules, now: u64, of: u64, sent: u64, result: Result<(), Fail>) {
        match result {
            Ok(()) => rules.extended(of, sent, now),
            Err(Fail::Missing) => {
                if matches!(rules.role, Role::Holding { grant, .. } if grant == of) {
                    self.step_down(rules, "the grant has ended").await;
                }
            }
            Err(_) => {}
        }
    }

    /// Leaves the part to the others, and lets them know at once.
    async fn abdicate(&self, rules: &mut Rules, now: u64) {
        let pause_ms = 2 * self.lease_ms;
        let Role::Holding { term, .. } = rules.role else { return };
        if !rules.may_abdicate(now, pause_ms) {
            return;
        }
        self.step_down(rules, "its workers are not heard").await;
        rules.retry_after = now + pause_ms;
        for p in &self.peers {
            let (p, ask) = (p.clone(), Ask::Release { part: self.part, term });
            let limit = Duration::from_millis(self.life_ms / 2);
            task::spawn(async move { p.ask(ask, limit).await });
        }
    }

    async fn taken(&self, rules: &mut Rules, t: &Taken, sent: u64) {
        tracing::info!(part = self.part, term = t.term, "part taken");
        self.held.fetch_add(1, Ordering::Relaxed);
        rules.begin(t, sent);
        rules.record = Some(PartRecord { holder: rules.node.clone(), term: t.term, grant: t.grant });
        let (term, version, grant, start_ms) = (t.term, t.version, t.grant, t.start_ms);
        let _ = self.tenancy.send(Tenancy::Begin { term, version, grant, start_ms }).await;
    }

    async fn step_down(&self, rules: &mut Rules, why: &str) {
        tracing::warn!(part = self.part, why, "part lost");
        self.held.fetch_sub(1, Ordering::Relaxed);
        if let Role::Holding { grant, .. } = rules.role {
            let state = self.state.clone();
            task::spawn(async move { state.end_grant(grant).await });
        }
        rules.role = Role::Idle;
        rules.record = None;
        rules.retry_after = clock::now_ms() + self.life_ms / 5;
        self.entitled.set(0);
        let _ = self.tenancy.send(Tenancy::End).await;
    }
}
