//! Who holds a part: grants of the state service, terms, promises between
//! controllers, takeover. One actor for each part.
//!
//! A part is held by the key `part/N`, which is attached to a grant. A holder
//! is entitled to act until the grant could end, counted from when its last
//! renewal was sent, or until the promises of all other controllers end.

use crate::clients::{Fail, State};
use crate::clock::{self, DRIFT};
use crate::part::CommitResult;
use crate::peer::{Ask, Peer, Reply};
use crate::task;
use crate::wire;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Key of the global counter of terms.
pub const TERM_KEY: &str = "term";

pub fn part_key(part: u32) -> String {
    format!("part/{part}")
}

/// Value of a part's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    pub holder: String,
    pub term: u64,
    pub grant: u64,
}

/// Value of the counter's key. `start_ms` is the one instant that bins count from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    pub n: u64,
    pub start_ms: u64,
    /// Who held each part last.
    #[serde(default)]
    pub holders: BTreeMap<u32, String>,
}

/// Until when this node may act for a part, on the steady clock.
#[derive(Debug, Clone, Default)]
pub struct Entitlement(Arc<AtomicU64>);

impl Entitlement {
    pub fn holds(&self, now: u64) -> bool {
        now < self.0.load(Ordering::Relaxed)
    }
    pub fn set(&self, until: u64) {
        self.0.store(until, Ordering::Relaxed);
    }
}

/// Whether leases may live on without the holder's doing, on the steady clock.
///
/// A controller that is bound by no promise may keep the tasks of workers alive
/// that find nobody else (`api`). A holder counts on the end of a lease only for
/// the time in which all other controllers were bound to it.
#[derive(Debug, Clone, Default)]
pub struct Bonds(Arc<[AtomicU64; 4]>);

impl Bonds {
    /// Until when this node is bound to leave leases to a holder.
    pub fn bound_until(&self) -> u64 {
        self.0[0].load(Ordering::Relaxed)
    }

    /// As a holder: the last instant at which another controller may have been unbound.
    pub fn unbound_ms(&self, now: u64) -> u64 {
        let (gap, until) = (self.0[1].load(Ordering::Relaxed), self.0[2].load(Ordering::Relaxed));
        if now <= until { gap } else { now }
    }

    /// The last term of the part that this node knows of; 0 if none.
    pub fn term(&self) -> u64 {
        self.0[3].load(Ordering::Relaxed)
    }

    fn set(&self, rules: &Rules) {
        let (gap_ms, until) = rules.bound_to_us();
        for (a, v) in self.0.iter().zip([rules.bound_until(), gap_ms, until, rules.last_term]) {
            a.store(v, Ordering::Relaxed);
        }
    }
}

/// What the rest of the node knows of the part's holder.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seat {
    pub holder: Option<String>,
    pub mine: bool,
}

/// What the part's actor is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Tenancy {
    Begin { term: u64, version: u64, grant: u64, start_ms: u64 },
    End,
}

/// Messages to a membership actor.
#[derive(Debug)]
pub enum Msg {
    Promise {
        holder: String,
        term: u64,
        for_ms: u64,
        state_ok: bool,
        reply: oneshot::Sender<bool>,
    },
    /// The asker of a promise has stopped acting.
    Release {
        term: u64,
    },
    /// The part's actor found its commits superseded.
    Superseded,
    /// The part's actor hears its workers no more, and others may.
    Abdicate,
    /// The first look at the state service after the start.
    Looked {
        record: Option<PartRecord>,
        unbound: bool,
    },
    Seen(Option<PartRecord>),
    Extended {
        grant: u64,
        sent: u64,
        result: Result<(), Fail>,
    },
    Promised {
        peer: usize,
        sent: u64,
        ok: bool,
    },
    Taken {
        sent: u64,
        result: Option<Taken>,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Taken {
    pub grant: u64,
    pub term: u64,
    pub version: u64,
    pub start_ms: u64,
}

#[derive(Debug)]
enum Role {
    Idle,
    Taking,
    Holding {
        grant: u64,
        term: u64,
        granted_until: u64,
        promised_until: Vec<u64>,
        gap_ms: u64,
        /// There was a time in which neither the grant nor the promises held. Another may
        /// have held the part since, and ended: only the state service can tell.
        lapsed: bool,
    },
}

/// The rules of membership, without I/O.
#[derive(Debug)]
pub struct Rules {
    node: String,
    life_ms: u64,
    peers: usize,
    role: Role,
    /// Promises that this node has given end then, and the term they were for.
    promised_until: u64,
    promised_term: u64,
    /// Not again before then: if nobody hears the workers, it is not our fault.
    abdicate_after: u64,
    /// A restarted node waits out the promises of its earlier life.
    act_after: u64,
    /// False until the first look at the state service.
    looked: bool,
    /// The last term that this node knows of.
    last_term: u64,
    record: Option<PartRecord>,
    retry_after: u64,
}

/// A duration as the other side's clock may measure it at the shortest.
fn shorter(ms: u64) -> u64 {
    (ms as f64 * (1.0 - DRIFT)) as u64
}

fn longer(ms: u64) -> u64 {
    (ms as f64 * (1.0 + DRIFT)).ceil() as u64 + 1
}

impl Rules {
    pub fn new(node: &str, life_ms: u64, peers: usize, now: u64) -> Rules {
        Rules {
            node: node.into(),
            life_ms,
            peers,
            role: Role::Idle,
            promised_until: 0,
            promised_term: 0,
            abdicate_after: 0,
            act_after: now + longer(life_ms),
            looked: true,
            last_term: 0,
            record: None,
            retry_after: 0,
        }
    }

    /// No promise of an earlier life binds: the system is new, or this node
    /// itself was the last holder, so that nobody relied on its promises.
    pub fn unbound(&mut self) {
        self.act_after = 0;
    }

    /// May this node try to take the part now?
    pub fn may_take(&self, now: u64) -> bool {
        matches!(self.role, Role::Idle)
            && self.looked
            && self.record.is_none()
            && now >= self.act_after
            && now >= self.promised_until
            && now >= self.retry_after
    }

    /// A holder asks not to be superseded for a while. Refused while this node
    /// itself takes or holds the part, or sees that only the asker has lost
    /// the state service.
    pub fn promise(
        &mut self,
        now: u64,
        (holder, term): (&str, u64),
        for_ms: u64,
        asker_state_ok: bool,
        own_state_ok: bool,
    ) -> bool {
        let later = |r: &PartRecord| r.holder != holder && r.term > term;
        let ok = matches!(self.role, Role::Idle)
            && (asker_state_ok || !own_state_ok)
            && for_ms <= self.life_ms
            && !self.record.as_ref().is_some_and(later);
        if ok {
            self.promised_until = self.promised_until.max(now + longer(for_ms));
            self.promised_term = self.promised_term.max(term);
        }
        ok
    }

    /// A release counts for the latest promise only: a late copy of an older
    /// one must not undo what binds this node to another holder.
    pub fn release(&mut self, now: u64, term: u64) {
        if self.promised_term == term {
            self.promised_until = self.promised_until.min(now);
        }
    }

    /// May a holder that hears its workers no more leave the part to others?
    pub fn may_abdicate(&mut self, now: u64, pause_ms: u64) -> bool {
        let ok = self.peers > 0 && matches!(self.role, Role::Holding { .. }) && now >= self.abdicate_after;
        if ok {
            self.abdicate_after = now + 2 * pause_ms;
        }
        ok
    }

    /// Until when this node may act.
    pub fn entitled_until(&self) -> u64 {
        match &self.role {
            Role::Holding { granted_until, lapsed: true, .. } => *granted_until,
            Role::Holding { granted_until, promised_until, .. } => {
                let promised =
                    if self.peers == 0 { u64::MAX } else { promised_until.iter().copied().min().unwrap_or(0) };
                (*granted_until).max(promised)
            }
            _ => 0,
        }
    }

    fn note_term(&mut self) {
        let of_role = match self.role {
            Role::Holding { term, .. } => term,
            _ => 0,
        };
        let seen = self.record.as_ref().map_or(0, |r| r.term);
        self.last_term = self.last_term.max(seen).max(of_role).max(self.promised_term);
    }

    /// Until when this node is bound to leave leases to a holder.
    fn bound_until(&self) -> u64 {
        match self.role {
            Role::Idle => self.promised_until.max(self.act_after),
            Role::Taking => u64::MAX,
            Role::Holding { .. } => self.entitled_until().max(self.act_after),
        }
    }

    /// As a holder: the last known instant at which another controller was not
    /// bound to it, and until when all are.
    fn bound_to_us(&self) -> (u64, u64) {
        match &self.role {
            Role::Holding { promised_until, gap_ms, .. } => {
                (*gap_ms, promised_until.iter().copied().min().unwrap_or(u64::MAX))
            }
            _ => (0, 0),
        }
    }

    /// Another controller asks for a promise under a later term, and ours is
    /// over: it holds the part now, whatever we can learn from the state service.
    fn succeeded_by(&self, now: u64, asker_term: u64) -> bool {
        matches!(self.role, Role::Holding { term, .. } if term < asker_term) && now >= self.entitled_until()
    }

    fn begin(&mut self, t: &Taken, sent: u64) {
        self.role = Role::Holding {
            grant: t.grant,
            term: t.term,
            granted_until: sent + shorter(self.life_ms),
            promised_until: vec![0; self.peers],
            gap_ms: 0,
            lapsed: false,
        };
    }

    fn extended(&mut self, of: u64, sent: u64, now: u64) {
        self.note_lapse(now);
        let until = sent + shorter(self.life_ms);
        if let Role::Holding { grant, granted_until, lapsed, .. } = &mut self.role
            && *grant == of
        {
            *granted_until = (*granted_until).max(until);
            // The grant lives, and the part's key with it: nobody held the part since.
            *lapsed &= now >= until;
        }
    }

    /// Promises go on from an entitlement that holds; they bring none back.
    fn note_lapse(&mut self, now: u64) {
        let over = now >= self.entitled_until();
        if let Role::Holding { lapsed, .. } = &mut self.role {
            *lapsed |= over;
        }
    }

    fn promised(&mut self, peer: usize, sent: u64, now: u64) {
        self.note_lapse(now);
        let until = sent + shorter(self.life_ms);
        if let Role::Holding { promised_until, gap_ms, .. } = &mut self.role
            && let Some(p) = promised_until.get_mut(peer)
        {
            // Bound without a break only if this answer came while the last one held.
            if now > *p {
                *gap_ms = (*gap_ms).max(now);
            }
            *p = (*p).max(until);
        }
    }
}

/// What a membership actor works with.
pub struct Membership {
    pub part: u32,
    pub node: String,
    pub life_ms: u64,
    pub lease_ms: u64,
    pub state: State,
    pub peers: Vec<Peer>,
    pub entitled: Entitlement,
    pub bonds: Bonds,
    pub seat: watch::Sender<Seat>,
    pub tenancy: mpsc::Sender<Tenancy>,
    /// Parts that this node holds, so that parts spread over the nodes.
    pub held: Arc<AtomicUsize>,
    /// Pause before a first take, for a part that is rather another node's.
    pub courtesy_ms: u64,
}

impl Membership {
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
            self.entitled.set(rules.entitled_until());
            rules.note_term();
            self.bonds.set(&rules);
            let mine = matches!(rules.role, Role::Holding { .. });
            let holder = if mine { Some(self.node.clone()) } else { rules.record.as_ref().map(|r| r.holder.clone()) };
            let seat = Seat { holder, mine };
            self.seat.send_if_modified(|s| std::mem::replace(s, seat.clone()) != seat);
            let now = clock::now_ms();
            if rules.may_take(now) {
                rules.role = Role::Taking;
                task::spawn(take(self.state.clone(), self.part, self.node.clone(), self.life_ms, tx.clone()));
            }
        }
    }

    fn renew(&self, rules: &mut Rules, tx: &mpsc::Sender<Msg>) {
        let sent = clock::now_ms();
        rules.note_lapse(sent);
        let Role::Holding { grant, term, lapsed, .. } = rules.role else { return };
        let (state, life, tx2) = (self.state.clone(), self.life_ms, tx.clone());
        task::spawn(async move {
            let result = state.extend_grant(grant, life).await;
            let _ = tx2.send(Msg::Extended { grant, sent, result }).await;
        });
        // Promises would only keep the others from keeping leases alive.
        if lapsed {
            return;
        }
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
                if rules.succeeded_by(now, term) {
                    self.step_down(rules, "another holds it").await;
                }
                let own_state_ok = self.state.answers(self.life_ms);
                let ok = rules.promise(now, (&holder, term), for_ms, state_ok, own_state_ok);
                // Without the state service, who asks is the only news of who holds the part.
                if ok && !own_state_ok {
                    rules.record = Some(PartRecord { holder, term, grant: 0 });
                }
                let _ = reply.send(ok);
            }
            Msg::Looked { record, unbound } => {
                rules.looked = true;
                rules.record = record;
                if unbound {
                    rules.unbound();
                }
                rules.retry_after = now + self.courtesy_ms;
            }
            Msg::Seen(record) => {
                // What a holder sees of itself is no news, and may be old.
                if !matches!(rules.role, Role::Holding { .. }) {
                    if record.is_none() && rules.record.is_some() {
                        // Who holds less goes first.
                        let held = self.held.load(Ordering::Relaxed) as u64;
                        rules.retry_after = rules.retry_after.max(now + held * self.life_ms / 10);
                    }
                    rules.record = record;
                }
            }
            Msg::Extended { grant, sent, result } => match result {
                Ok(()) => rules.extended(grant, sent, now),
                Err(Fail::Missing) => {
                    if matches!(rules.role, Role::Holding { grant: g, .. } if g == grant) {
                        self.step_down(rules, "the grant has ended").await;
                    }
                }
                Err(_) => {}
            },
            Msg::Promised { peer, sent, ok } => {
                if ok {
                    rules.promised(peer, sent, now);
                }
            }
            Msg::Release { term } => rules.release(now, term),
            Msg::Abdicate => {
                let pause_ms = 2 * self.lease_ms;
                let Role::Holding { term, .. } = rules.role else { return };
                if rules.may_abdicate(now, pause_ms) {
                    self.step_down(rules, "its workers are not heard").await;
                    rules.retry_after = now + pause_ms;
                    for p in &self.peers {
                        let (p, ask) = (p.clone(), Ask::Release { part: self.part, term });
                        let limit = Duration::from_millis(self.life_ms / 2);
                        task::spawn(async move { p.ask(ask, limit).await });
                    }
                }
            }
            Msg::Superseded => {
                if matches!(rules.role, Role::Holding { .. }) {
                    self.step_down(rules, "superseded").await;
                }
            }
            Msg::Taken { sent, result } => match result {
                Some(t) => {
                    tracing::info!(part = self.part, term = t.term, "part taken");
                    self.held.fetch_add(1, Ordering::Relaxed);
                    rules.begin(&t, sent);
                    rules.record = Some(PartRecord { holder: rules.node.clone(), term: t.term, grant: t.grant });
                    let (term, version, grant, start_ms) = (t.term, t.version, t.grant, t.start_ms);
                    let _ = self.tenancy.send(Tenancy::Begin { term, version, grant, start_ms }).await;
                }
                None => {
                    rules.role = Role::Idle;
                    rules.retry_after = now + self.life_ms / 10;
                }
            },
        }
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

/// At the start: is this node bound by promises that it does not remember?
async fn first_look(state: State, part: u32, node: String, life_ms: u64, tx: mpsc::Sender<Msg>) {
    let key = part_key(part);
    let (record, term) = loop {
        match (state.get(&key).await, state.get(TERM_KEY).await) {
            (Ok(p), Ok(t)) => break (p.0, t.0),
            _ => tokio::time::sleep(Duration::from_millis(life_ms / 5)).await,
        }
    };
    let term: Option<TermRecord> = term.and_then(|t| serde_json::from_value(t.value).ok());
    let mut record: Option<PartRecord> = record.and_then(|p| serde_json::from_value(p.value).ok());
    let unbound = match (&record, term) {
        // Our own earlier life held it: that one is over.
        (Some(r), _) if r.holder == node => {
            tracing::info!(term = r.term, "ending the grant of an earlier life");
            state.end_grant(r.grant).await.is_ok()
        }
        (None, Some(t)) => t.holders.get(&part).is_none_or(|h| *h == node),
        (None, None) => true,
        _ => false,
    };
    if unbound {
        record = None;
    }
    let _ = tx.send(Msg::Looked { record, unbound }).await;
}

/// Takes a part that nobody holds.
async fn take(state: State, part: u32, node: String, life_ms: u64, tx: mpsc::Sender<Msg>) {
    let sent = clock::now_ms();
    let result = try_take(&state, part, &node, life_ms).await;
    let _ = tx.send(Msg::Taken { sent, result }).await;
}

async fn try_take(state: &State, part: u32, node: &str, life_ms: u64) -> Option<Taken> {
    let (item, _) = state.get(TERM_KEY).await.ok()?;
    let (last, version) = match item {
        Some(i) => (serde_json::from_value::<TermRecord>(i.value).ok()?, i.version),
        None => (TermRecord { n: 0, start_ms: clock::wall_ms(), holders: BTreeMap::new() }, 0),
    };
    let grant = state.new_grant(life_ms).await.ok()?;
    match next_term(state, part, node, (0, grant), (&last, version)).await {
        Ok(taken) => Some(taken),
        Err(_) => {
            let _ = state.end_grant(grant).await;
            None
        }
    }
}

/// A fresh term for a part that is held: all workers will refuse older tokens.
pub async fn raise_term(
    state: &State,
    part: u32,
    node: &str,
    version: u64,
    grant: u64,
) -> Result<(u64, u64), CommitResult> {
    match state.get(TERM_KEY).await {
        Ok((Some(item), _)) => match serde_json::from_value(item.value) {
            Ok(last) => {
                next_term(state, part, node, (version, grant), (&last, item.version)).await.map(|t| (t.term, t.version))
            }
            Err(_) => Err(CommitResult::Refused),
        },
        _ => Err(CommitResult::Refused),
    }
}

/// Commits the term after `last` and puts the part under it.
async fn next_term(
    state: &State,
    part: u32,
    node: &str,
    (part_version, grant): (u64, u64),
    (last, term_version): (&TermRecord, u64),
) -> Result<Taken, CommitResult> {
    let term = last.n + 1;
    let record = json!({ "holder": node, "term": term, "grant": grant });
    let mut holders = last.holders.clone();
    holders.insert(part, node.to_string());
    let next = json!({ "n": term, "start_ms": last.start_ms, "holders": holders });
    let key = part_key(part);
    let guards = [wire::guard(&key, part_version), wire::guard(TERM_KEY, term_version)];
    let apply = [wire::put(&key, &record, Some(grant)), wire::put(TERM_KEY, &next, None)];
    let version = match state.commit(&guards, &apply).await {
        CommitResult::Done { revision } => revision,
        // It may have been carried out: the key tells.
        CommitResult::Unclear => match state.get(&key).await {
            Ok((Some(i), _)) if i.value == record => i.version,
            _ => return Err(CommitResult::Unclear),
        },
        other => return Err(other),
    };
    Ok(Taken { grant, term, version, start_ms: last.start_ms })
}

/// Follows the part's key and keeps the health of the state service known.
async fn look_out(state: State, part: u32, life_ms: u64, tx: mpsc::Sender<Msg>) {
    let key = part_key(part);
    let probe = (state.clone(), key.clone(), tx.clone());
    task::spawn(async move {
        let (state, key, tx) = probe;
        loop {
            tokio::time::sleep(Duration::from_millis(life_ms / 4)).await;
            if let Ok((item, _)) = state.get(&key).await {
                let record = item.and_then(|i| serde_json::from_value(i.value).ok());
                if tx.send(Msg::Seen(record)).await.is_err() {
                    return;
                }
            }
        }
    });
    let mut after = None;
    loop {
        let from = match after {
            Some(a) => a,
            None => match state.get(&key).await {
                Ok((item, revision)) => {
                    let record = item.and_then(|i| serde_json::from_value(i.value).ok());
                    let _ = tx.send(Msg::Seen(record)).await;
                    revision
                }
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(life_ms / 5)).await;
                    continue;
                }
            },
        };
        match state.changes(&key, from, life_ms * 4).await {
            Ok(c) => {
                for e in c.events.into_iter().filter(|e| e.key() == key) {
                    let record = if e.deleted() { None } else { e.value.and_then(|v| serde_json::from_value(v).ok()) };
                    if tx.send(Msg::Seen(record)).await.is_err() {
                        return;
                    }
                }
                after = Some(c.revision.max(from));
            }
            Err(_) => {
                after = None;
                tokio::time::sleep(Duration::from_millis(life_ms / 5)).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
