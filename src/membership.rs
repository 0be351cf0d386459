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
    Holding { grant: u64, term: u64, granted_until: u64, promised_until: Vec<u64> },
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
            && self.record.is_none()
            && now >= self.act_after
            && now >= self.promised_until
            && now >= self.retry_after
    }

    /// A holder asks not to be superseded for a while. Refused while this node
    /// itself takes or holds the part, or sees that only the asker has lost
    /// the state service.
    pub fn promise(&mut self, now: u64, term: u64, for_ms: u64, asker_state_ok: bool, own_state_ok: bool) -> bool {
        let ok = matches!(self.role, Role::Idle) && (asker_state_ok || !own_state_ok) && for_ms <= self.life_ms;
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
            Role::Holding { granted_until, promised_until, .. } => {
                let promised =
                    if self.peers == 0 { u64::MAX } else { promised_until.iter().copied().min().unwrap_or(0) };
                (*granted_until).max(promised)
            }
            _ => 0,
        }
    }

    fn begin(&mut self, t: &Taken, sent: u64) {
        self.role = Role::Holding {
            grant: t.grant,
            term: t.term,
            granted_until: sent + shorter(self.life_ms),
            promised_until: vec![0; self.peers],
        };
    }

    fn extended(&mut self, of: u64, sent: u64) {
        let until = sent + shorter(self.life_ms);
        if let Role::Holding { grant, granted_until, .. } = &mut self.role
            && *grant == of
        {
            *granted_until = (*granted_until).max(until);
        }
    }

    fn promised(&mut self, peer: usize, sent: u64) {
        let until = sent + shorter(self.life_ms);
        if let Role::Holding { promised_until, .. } = &mut self.role
            && let Some(p) = promised_until.get_mut(peer)
        {
            *p = (*p).max(until);
        }
    }
}

/// What a membership actor works with.
pub struct Membership {
    pub part: u32,
    pub node: String,
    pub life_ms: u64,
    pub state: State,
    pub peers: Vec<Peer>,
    pub entitled: Entitlement,
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
        self.first_look(&mut rules).await;
        rules.retry_after = clock::now_ms() + self.courtesy_ms;
        tokio::spawn(look_out(self.state.clone(), self.part, self.life_ms, tx.clone()));
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
            let mine = matches!(rules.role, Role::Holding { .. });
            let holder = if mine { Some(self.node.clone()) } else { rules.record.as_ref().map(|r| r.holder.clone()) };
            let seat = Seat { holder, mine };
            self.seat.send_if_modified(|s| std::mem::replace(s, seat.clone()) != seat);
            let now = clock::now_ms();
            if rules.may_take(now) {
                rules.role = Role::Taking;
                tokio::spawn(take(self.state.clone(), self.part, self.node.clone(), self.life_ms, tx.clone()));
            }
        }
    }

    /// At the start: is this node bound by promises that it does not remember?
    async fn first_look(&self, rules: &mut Rules) {
        let key = part_key(self.part);
        let (part, term) = loop {
            match (self.state.get(&key).await, self.state.get(TERM_KEY).await) {
                (Ok(p), Ok(t)) => break (p.0, t.0),
                _ => tokio::time::sleep(Duration::from_millis(self.life_ms / 5)).await,
            }
        };
        let term: Option<TermRecord> = term.and_then(|t| serde_json::from_value(t.value).ok());
        rules.record = part.and_then(|p| serde_json::from_value(p.value).ok());
        match (&rules.record, term) {
            // Our own earlier life held it: that one is over.
            (Some(r), _) if r.holder == self.node => {
                tracing::info!(term = r.term, "ending the grant of an earlier life");
                if self.state.end_grant(r.grant).await.is_ok() {
                    rules.record = None;
                    rules.unbound();
                }
            }
            (None, Some(t)) if t.holders.get(&self.part).is_none_or(|h| *h == self.node) => rules.unbound(),
            (None, None) => rules.unbound(),
            _ => {}
        }
    }

    fn renew(&self, rules: &mut Rules, tx: &mpsc::Sender<Msg>) {
        let Role::Holding { grant, term, .. } = rules.role else { return };
        let sent = clock::now_ms();
        let (state, life, tx2) = (self.state.clone(), self.life_ms, tx.clone());
        tokio::spawn(async move {
            let result = state.extend_grant(grant, life).await;
            let _ = tx2.send(Msg::Extended { grant, sent, result }).await;
        });
        let ask =
            Ask::Promise { part: self.part, term, for_ms: self.life_ms, state_ok: self.state.answers(self.life_ms) };
        for (i, p) in self.peers.iter().enumerate() {
            let (p, ask, tx) = (p.clone(), ask.clone(), tx.clone());
            let limit = Duration::from_millis(self.life_ms / 2);
            tokio::spawn(async move {
                let ok = p.ask(ask, limit).await == Some(Reply::Promised);
                let _ = tx.send(Msg::Promised { peer: i, sent, ok }).await;
            });
        }
    }

    async fn handle(&self, rules: &mut Rules, m: Msg) {
        let now = clock::now_ms();
        match m {
            Msg::Promise { term, for_ms, state_ok, reply } => {
                let _ = reply.send(rules.promise(now, term, for_ms, state_ok, self.state.answers(self.life_ms)));
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
                Ok(()) => rules.extended(grant, sent),
                Err(Fail::Missing) => {
                    if matches!(rules.role, Role::Holding { grant: g, .. } if g == grant) {
                        self.step_down(rules, "the grant has ended").await;
                    }
                }
                Err(_) => {}
            },
            Msg::Promised { peer, sent, ok } => {
                if ok {
                    rules.promised(peer, sent);
                }
            }
            Msg::Release { term } => rules.release(now, term),
            Msg::Abdicate => {
                // Twice a worker's lease, which is four of our lives.
                let pause_ms = 8 * self.life_ms;
                let Role::Holding { term, .. } = rules.role else { return };
                if rules.may_abdicate(now, pause_ms) {
                    self.step_down(rules, "its workers are not heard").await;
                    rules.retry_after = now + pause_ms;
                    for p in &self.peers {
                        let (p, ask) = (p.clone(), Ask::Release { part: self.part, term });
                        let limit = Duration::from_millis(self.life_ms / 2);
                        tokio::spawn(async move { p.ask(ask, limit).await });
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
            tokio::spawn(async move { state.end_grant(grant).await });
        }
        rules.role = Role::Idle;
        rules.record = None;
        rules.retry_after = clock::now_ms() + self.life_ms / 5;
        self.entitled.set(0);
        let _ = self.tenancy.send(Tenancy::End).await;
    }
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
    tokio::spawn(async move {
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
mod tests {
    use super::*;

    const LIFE: u64 = 2500;

    fn holding(peers: usize) -> Rules {
        let mut r = Rules::new("a", LIFE, peers, 0);
        r.begin(&Taken { grant: 1, term: 7, version: 3, start_ms: 0 }, 1000);
        r
    }

    #[test]
    fn entitlement_counts_from_when_the_renewal_was_sent() {
        let mut r = holding(2);
        let first = r.entitled_until();
        assert!(first < 1000 + LIFE && first > 1000 + LIFE - 10, "less drift");
        r.extended(1, 2000);
        assert_eq!(r.entitled_until(), first + 1000);
        r.extended(1, 1500);
        assert_eq!(r.entitled_until(), first + 1000, "a late answer takes nothing back");
        r.extended(2, 9000);
        assert_eq!(r.entitled_until(), first + 1000, "another grant is another's");
    }

    #[tokio::test(start_paused = true)]
    async fn entitlement_ends_by_itself_on_the_steady_clock() {
        let (e, now) = (Entitlement::default(), clock::now_ms());
        assert!(!e.holds(now), "none before the first grant");
        e.set(now + LIFE);
        tokio::time::advance(Duration::from_millis(LIFE - 10)).await;
        assert!(e.holds(clock::now_ms()));
        tokio::time::advance(Duration::from_millis(20)).await;
        assert!(!e.holds(clock::now_ms()), "no message is needed for it to end");
    }

    #[test]
    fn promises_count_only_if_all_others_gave_them() {
        let mut r = holding(2);
        let first = r.entitled_until();
        r.promised(0, 5000);
        assert_eq!(r.entitled_until(), first);
        r.promised(1, 4000);
        assert!(r.entitled_until() > 4000 && r.entitled_until() < 4000 + LIFE, "the earliest one counts");
    }

    #[test]
    fn a_promise_binds_longer_than_the_asker_counts_it() {
        let mut r = Rules::new("b", LIFE, 2, 0);
        r.unbound();
        assert!(r.may_take(10));
        assert!(r.promise(1000, 7, LIFE, true, true));
        let mut asker = holding(1);
        asker.promised(0, 1000);
        assert!(!r.may_take(asker.entitled_until()));
        assert!(r.may_take(1000 + LIFE + 10));
    }

    #[test]
    fn only_the_one_without_the_state_service_gets_no_promise() {
        let mut r = Rules::new("b", LIFE, 2, 0);
        assert!(!r.promise(1000, 7, LIFE, false, true), "others have it");
        assert!(r.promise(1000, 7, LIFE, false, false), "an outage");
        assert!(!holding(2).promise(1000, 7, LIFE, true, true), "a holder promises nothing");
    }

    #[test]
    fn a_restarted_node_waits_out_promises_it_has_forgotten() {
        let mut r = Rules::new("b", LIFE, 2, 10_000);
        assert!(!r.may_take(10_000 + LIFE));
        assert!(r.may_take(10_000 + LIFE + 10));
        r = Rules::new("b", LIFE, 2, 10_000);
        r.unbound();
        assert!(r.may_take(10_000), "nobody relied on them");
    }

    #[test]
    fn a_late_release_does_not_undo_a_later_promise() {
        let mut r = Rules::new("b", LIFE, 2, 0);
        r.unbound();
        assert!(r.promise(1000, 7, LIFE, true, true));
        r.release(1100, 7);
        assert!(r.may_take(1100));
        assert!(r.promise(1200, 8, LIFE, true, true));
        r.release(1300, 7);
        assert!(!r.may_take(1300));
    }

    #[test]
    fn a_holder_does_not_abdicate_again_and_again() {
        let mut r = holding(2);
        assert!(r.may_abdicate(1000, 20_000));
        assert!(!r.may_abdicate(30_000, 20_000));
        assert!(r.may_abdicate(50_000, 20_000));
        assert!(!holding(0).may_abdicate(1000, 20_000), "there is nobody else");
    }
}
